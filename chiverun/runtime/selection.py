"""Which server a request is sent to."""

import collections
import dataclasses
from collections.abc import Callable

from chiverun.core.catalog import Route
from chiverun.core.catalog import ServiceSpec
from chiverun.core.edgesettings import EdgeBounds
from chiverun.core.health import Eligibility
from chiverun.core.health import eligibility
from chiverun.core.ids import InstanceId
from chiverun.core.ids import RegionName
from chiverun.core.ids import ServerName
from chiverun.core.ids import ServiceName
from chiverun.core.ids import ZoneName
from chiverun.core.placement import fair_shares
from chiverun.core.placement import place_of
from chiverun.core.placement import rendezvous
from chiverun.core.placement import zone_first
from chiverun.runtime.servertable import CONNECTIONS_PART
from chiverun.runtime.servertable import ServerRow
from chiverun.runtime.servertable import ServerTable

# A send without a response for this many times the usual time of its route
# keeps further requests away from its server.
STALL_FACTOR = 4.0
STALL_MIN_S = 0.4
# Servers that a key's requests are spread over. Servers keep what they need
# for a limited number of keys, so a key that goes everywhere is cold
# everywhere.
KEY_SERVERS = 2
# A server whose slots are all taken still gets a key's requests while they
# are expected within so many objectives: on another server they may run cold.
OPEN_OBJECTIVES = 1.0
# A run that is slower than this part of its objective is taken as one of a
# cold object, which is expected to be warm the next time.
RUN_OBJECTIVE_PART = 0.5
# A server that is loaded less runs keys of servers that are not open, rather
# than that they are refused.
IDLE_LOAD_PART = 0.3
_ORDERS_MAX = 4096

Shares = dict[RegionName, float]
ZoneShares = dict[ZoneName, float]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Placement:
    """A request's key, what it may use and how long it takes.

    `usual_s` is the usual time of a response, `run_s` its part without the
    wait for a slot.
    """

    service: ServiceName
    key: str
    homes: tuple[RegionName, ...]
    usual_s: float
    run_s: float
    objective_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Overloaded:
    """No server of a key would answer in time; `wait_s` is the shortest."""

    wait_s: float


class Selector:
    """Chooses servers by region share, affinity and load."""

    def __init__(
        self,
        *,
        table: ServerTable,
        region: RegionName,
        zone: ZoneName,
        bounds: EdgeBounds,
        machines: Callable[[], set[InstanceId]],
        region_zones: Callable[[], list[ZoneName]],
    ) -> None:
        self._table = table
        self._region = region
        self._zone = zone
        self._region_zones = region_zones
        self._bounds = bounds
        self._machines = machines
        self._generation = -1
        self._orders: dict[tuple, list[ServerRow]] = {}
        self._shares: dict[tuple, Shares] = {}
        self._zone_shares: dict[ServiceName, ZoneShares] = {}

    def choose(
        self,
        place: Placement,
        spec: ServiceSpec | None,
        tried: set[ServerName],
        now: float,
    ) -> ServerRow | Overloaded | None:
        """Return the server for the next send; None if none may get it.

        A region that is overloaded does not send to another one, so that
        load moves no more requests between regions than the shares do.
        """
        self._refresh()
        for region in self._regions(place):
            rows = [
                row
                for row in self._order(place, region)
                if row.server.name not in tried and self._has_room(row, spec)
            ]
            chosen = self._pick(rows, place, spec, now)
            if chosen is not None:
                return chosen
        return None

    def _refresh(self) -> None:
        stale = self._generation != self._table.generation
        if stale or len(self._orders) > _ORDERS_MAX:
            self._generation = self._table.generation
            self._orders.clear()
            self._shares.clear()
            self._zone_shares.clear()

    def _regions(self, place: Placement) -> list[RegionName]:
        """Return regions in the order in which they may be used."""
        shares = self._shares_of(place.service, place.homes)
        first = place_of("region", place.key, shares, self._region)
        others = {
            row.region for row in self._table.by_service.get(place.service, ())
        }
        if place.homes:
            others &= set(place.homes)
        ordered = [first]
        if self._region in others and self._region != first:
            ordered.append(self._region)
        ordered += sorted(others - set(ordered))
        return [region for region in ordered if region in others]

    def _shares_of(
        self, service: ServiceName, homes: tuple[RegionName, ...]
    ) -> Shares:
        shares = self._shares.get((service, homes))
        if shares is None:
            shares = self._compute_shares(service, homes)
            self._shares[service, homes] = shares
        return shares

    def _compute_shares(
        self, service: ServiceName, homes: tuple[RegionName, ...]
    ) -> Shares:
        capacity: dict[RegionName, float] = {}
        for row in self._table.by_service.get(service, ()):
            allowed = not homes or row.region in homes
            if row.is_usable and allowed:
                slots = capacity.get(row.region, 0.0) + row.server.slots
                capacity[row.region] = slots
        demand = dict.fromkeys(capacity, 1.0)
        demand[self._region] = 1.0
        return fair_shares(capacity, demand, self._region)

    def _order(self, place: Placement, region: RegionName) -> list[ServerRow]:
        key = (place.service, region, place.key)
        rows = self._orders.get(key)
        if rows is None:
            servers = [
                row.server
                for row in self._table.by_service.get(place.service, ())
                if row.region == region and row.is_usable
            ]
            ranked = rendezvous(place.key, servers)
            if region == self._region:
                ranked = zone_first(ranked, self._zone_of(place))
            rows = [self._table.rows[server.name] for server in ranked]
            self._orders[key] = rows
        return rows

    def _zone_of(self, place: Placement) -> ZoneName:
        """Return the zone of the own region that a key goes to first."""
        shares = self._zone_shares.get(place.service)
        if shares is None:
            capacity: dict[ZoneName, float] = {}
            for row in self._table.by_service.get(place.service, ()):
                if row.region == self._region and row.is_usable:
                    zone = row.server.zone
                    capacity[zone] = capacity.get(zone, 0) + row.server.slots
            # Clients choose evenly among the machines of their region.
            demand = collections.Counter([*self._region_zones(), self._zone])
            shares = fair_shares(capacity, demand, self._zone)
            self._zone_shares[place.service] = shares
        return place_of("zone", place.key, shares, self._zone)

    def _has_room(self, row: ServerRow, spec: ServiceSpec | None) -> bool:
        if row.idle or spec is None:
            return True
        limit = spec.connections_max * CONNECTIONS_PART
        return row.connections < max(
            1, int(limit / max(1, len(self._machines())))
        )

    def _pick(
        self,
        rows: list[ServerRow],
        place: Placement,
        spec: ServiceSpec | None,
        now: float,
    ) -> ServerRow | Overloaded | None:
        stall_s = max(STALL_MIN_S, STALL_FACTOR * place.usual_s)
        sound = [
            row
            for row in rows
            if now >= row.misdirected_until
            and eligibility(row.health, now) is Eligibility.OPEN
        ]
        # Where all servers stall, they are overloaded rather than silent.
        lively = [
            row for row in sound if not row.is_stalled(now, stall_s)
        ] or sound
        if not lively:
            return self._first_allowed(_by_load(rows, now), spec, now)
        preferred = lively[:KEY_SERVERS]
        open_rows = [row for row in preferred if _is_open(row, place, now)]
        # On any other server the object is most likely cold.
        idle = [
            row
            for row in lively
            if row.load.total(now) < IDLE_LOAD_PART * row.server.slots
        ]
        if not open_rows and not idle:
            waits = [_wait_s(row, place, now) for row in preferred]
            return Overloaded(wait_s=min(waits))
        # Others follow for keys whose servers bear no more while cold.
        others = [row for row in lively if _is_open(row, place, now)]
        ordered = [*open_rows, *_by_load(idle, now), *_by_load(others, now)]
        return self._first_allowed(ordered, spec, now)

    def _first_allowed(
        self, rows: list[ServerRow], spec: ServiceSpec | None, now: float
    ) -> ServerRow | None:
        for row in rows:
            if self._may_send(row, spec, now):
                return row
        return None

    def _may_send(
        self, row: ServerRow, spec: ServiceSpec | None, now: float
    ) -> bool:
        if now >= row.cold_until or spec is None:
            return True
        per_s = (
            spec.cold_per_s * self._bounds.cold_excess
            + self._bounds.cold_extra
        )
        return row.cold.try_consume(now, per_s, self._machines())


def _is_open(row: ServerRow, place: Placement, now: float) -> bool:
    """Tell whether a server has a slot or would answer in time."""
    if row.load.total(now) < row.server.slots:
        return True
    expected_s = _expected_s(row, place, now)
    return expected_s <= OPEN_OBJECTIVES * place.objective_s


def _by_load(rows: list[ServerRow], now: float) -> list[ServerRow]:
    return sorted(rows, key=lambda row: row.load.total(now) / row.server.slots)


def queue_factor(row: ServerRow, now: float) -> float:
    """Return by how much the wait for a slot prolongs a run sent now."""
    slots = row.server.slots
    return 1 + max(0.0, row.load.total(now) - slots + 1) / slots


def _wait_s(row: ServerRow, place: Placement, now: float) -> float:
    """Return how long a request sent now would wait for a slot."""
    return place.run_s * (queue_factor(row, now) - 1)


def _expected_s(row: ServerRow, place: Placement, now: float) -> float:
    """Return when a request sent now would be answered."""
    run_s = min(place.run_s, RUN_OBJECTIVE_PART * place.objective_s)
    return _wait_s(row, place, now) + run_s


def placement(
    route: Route,
    service: ServiceName,
    affinity_key: str,
    request_id: str,
    usual_s: float,
    run_s: float,
) -> Placement:
    """Return the placement of a request.

    One without an affinity key is spread evenly.
    """
    key = affinity_key if affinity_key and route.sticky else request_id
    return Placement(
        service=service,
        key=f"{route.host}{route.prefix}\0{key}",
        homes=route.homes,
        usual_s=usual_s,
        run_s=run_s,
        objective_s=route.objective_s,
    )
