"""Selects the server that a request is sent to."""

import collections
import dataclasses
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Mapping

from chiverun.core.catalog import Machine
from chiverun.core.catalog import Route
from chiverun.core.catalog import ServiceSpec
from chiverun.core.demand import ServiceCapacity
from chiverun.core.edgesettings import EdgeBounds
from chiverun.core.health import Eligibility
from chiverun.core.health import eligibility
from chiverun.core.ids import InstanceId
from chiverun.core.ids import RegionName
from chiverun.core.ids import ServerName
from chiverun.core.ids import ServiceName
from chiverun.core.ids import ZoneName
from chiverun.core.placement import bounded_key
from chiverun.core.placement import choose_place
from chiverun.core.placement import rendezvous
from chiverun.core.placement import zone_first
from chiverun.core.regiondemand import ShareOffsets
from chiverun.core.regiondemand import shifted_shares
from chiverun.runtime.coldshares import ColdShares
from chiverun.runtime.limitshares import LimitShares
from chiverun.runtime.servertable import CONNECTIONS_FRACTION
from chiverun.runtime.servertable import ServerRow
from chiverun.runtime.servertable import ServerTable

# A server is stalled, and gets no further requests, while a send to it has
# waited this many times the route's typical latency for a response.
STALL_FACTOR = 4.0
STALL_MIN_S = 0.4
# Number of servers that a key's requests are spread over. Servers cache the
# data of a limited number of keys, so a key sent to all servers would be
# cold on all of them.
KEY_SERVERS = 2
# A server without a free slot still gets a key's requests while the expected
# latency is within this multiple of the objective: on another server the key
# may be cold.
OPEN_OBJECTIVE_FACTOR = 1.0
# A run slower than this fraction of its objective counts as a run on a cold
# cache; the next run on that server is expected to be warm.
RUN_OBJECTIVE_FRACTION = 0.5
# A server whose load is below this fraction of its slots serves keys of
# servers that are not open, so that these requests are not rejected.
IDLE_LOAD_FRACTION = 0.3
# A key's second server takes its place if the wait there is shorter by this
# many usual runs: its data may be cold there.
SWITCH_RUNS = 0.5
# While both have longer queues, keys keep their first server: evenly filled
# queues make all answers late under overload.
SWITCH_WAIT_RUNS = 1.0
_RANKINGS_MAX = 4096

Shares = dict[RegionName, float]
ZoneShares = dict[ZoneName, float]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Placement:
    """Routing key, permitted regions and expected latency of a request.

    `typical_s` is the typical response time, `run_s` the part of it without
    the wait for a slot.
    """

    service: ServiceName
    key: str
    permitted_regions: tuple[RegionName, ...]
    typical_s: float
    run_s: float
    objective_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Overloaded:
    """No server could respond in time; `wait_s` is the shortest wait."""

    wait_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class LimitReached:
    """This machine may send nothing to any server for a while.

    It has used its share of their limits, or they have asked for a pause.

    `wait_s` is the time until the first of them may be sent a request.
    """

    wait_s: float


class Selector:
    """Selects servers by region share, key affinity and load."""

    def __init__(
        self,
        *,
        table: ServerTable,
        region: RegionName,
        zone: ZoneName,
        regions: Mapping[ZoneName, RegionName],
        bounds: EdgeBounds,
        machine: InstanceId,
        fleet: Callable[[], Collection[Machine]],
        region_zones: Callable[[], list[ZoneName]],
        offsets: ShareOffsets | None = None,
    ) -> None:
        self._table = table
        self._region = region
        self._zone = zone
        self._region_zones = region_zones
        self._regions = regions
        self._fleet = fleet
        self._cold_shares = ColdShares(bounds=bounds, fleet=fleet)
        self._limit_shares = LimitShares(
            table=table, machine=machine, regions=regions, fleet=fleet
        )
        self._offsets = offsets or ShareOffsets(
            source=region, regions=(), now=0.0
        )
        self._generation = -1
        self._offsets_generation = -1
        self._rankings: dict[tuple, list[ServerRow]] = {}
        self._shares: dict[tuple, Shares] = {}
        self._zone_shares: dict[ServiceName, ZoneShares] = {}

    def choose(
        self,
        placement: Placement,
        spec: ServiceSpec | None,
        tried: set[ServerName],
        now: float,
    ) -> ServerRow | Overloaded | LimitReached | None:
        """Return the server for the next send, or None if none is eligible.

        An overloaded region does not spill over to another region: only the
        region shares move requests between regions. A region whose servers
        have been sent all that their limits allow has no eligible one.
        """
        self._refresh()
        reached = None
        for region in self._preferred_regions(placement):
            rows = [
                row
                for row in self._ranked_rows(placement, region)
                if row.is_usable
                and row.server.name not in tried
                and self._has_free_connection(row, spec)
            ]
            chosen = self._select(rows, placement, spec, now)
            if isinstance(chosen, LimitReached):
                reached = _sooner(reached, chosen)
            elif chosen is not None:
                return chosen
        return reached

    def _refresh(self) -> None:
        stale = self._generation != self._table.generation
        if stale or len(self._rankings) > _RANKINGS_MAX:
            self._generation = self._table.generation
            self._rankings.clear()
            self._shares.clear()
            self._zone_shares.clear()
        if self._offsets_generation != self._offsets.generation:
            self._offsets_generation = self._offsets.generation
            self._shares.clear()

    def _preferred_regions(self, placement: Placement) -> list[RegionName]:
        """Return the permitted regions in order of preference."""
        shares = self._shares_of(
            placement.service, placement.permitted_regions
        )
        first = choose_place(
            "region",
            placement.key,
            shares,
            self._region,
            self._offsets.before,
        )
        others = {
            row.region
            for row in self._table.by_service.get(placement.service, ())
        }
        if placement.permitted_regions:
            others &= set(placement.permitted_regions)
        ordered = [first]
        if self._region in others and self._region != first:
            ordered.append(self._region)
        ordered += sorted(others - set(ordered))
        return [region for region in ordered if region in others]

    def _shares_of(
        self, service: ServiceName, permitted_regions: tuple[RegionName, ...]
    ) -> Shares:
        shares = self._shares.get((service, permitted_regions))
        if shares is None:
            shares = self._compute_shares(service, permitted_regions)
            self._shares[service, permitted_regions] = shares
        return shares

    def _compute_shares(
        self, service: ServiceName, permitted_regions: tuple[RegionName, ...]
    ) -> Shares:
        servers = [
            row.server
            for row in self._table.by_service.get(service, ())
            if row.is_usable
            and (not permitted_regions or row.region in permitted_regions)
        ]
        capacity = ServiceCapacity.of(servers, self._regions)
        shares = capacity.region_shares(self._region)
        if permitted_regions:
            # The offsets hold for all regions together.
            return shares
        return shifted_shares(
            shares,
            self._offsets.of(service),
            capacity.by_region,
            self._region,
            self._offsets.before,
        )

    def _ranked_rows(
        self, placement: Placement, region: RegionName
    ) -> list[ServerRow]:
        key = (placement.service, region, placement.key)
        rows = self._rankings.get(key)
        if rows is None:
            servers = [
                row.server
                for row in self._table.by_service.get(placement.service, ())
                if row.region == region and row.is_usable
            ]
            ranked = rendezvous(placement.key, servers)
            if region == self._region:
                ranked = zone_first(ranked, self._preferred_zone(placement))
            elif ranked:
                # The same two servers as for the region's own machines.
                ranked = zone_first(ranked, ranked[0].zone)
            rows = [self._table.rows[server.name] for server in ranked]
            self._rankings[key] = rows
        return rows

    def _preferred_zone(self, placement: Placement) -> ZoneName:
        """Return the preferred zone of a key in the local region."""
        shares = self._zone_shares.get(placement.service)
        if shares is None:
            servers = [
                row.server
                for row in self._table.by_service.get(placement.service, ())
                if row.is_usable
            ]
            capacity = ServiceCapacity.of(servers, self._regions)
            # Clients spread evenly over the machines of their region.
            demand = collections.Counter([*self._region_zones(), self._zone])
            shares = capacity.zone_shares(demand, self._zone)
            self._zone_shares[placement.service] = shares
        return choose_place("zone", placement.key, shares, self._zone)

    def _has_free_connection(
        self, row: ServerRow, spec: ServiceSpec | None
    ) -> bool:
        if row.idle or spec is None:
            return True
        limit = spec.connections_max * CONNECTIONS_FRACTION
        return row.connections < max(
            1, int(limit / max(1, len(self._fleet())))
        )

    def _select(
        self,
        rows: list[ServerRow],
        placement: Placement,
        spec: ServiceSpec | None,
        now: float,
    ) -> ServerRow | Overloaded | LimitReached | None:
        stall_s = max(STALL_MIN_S, STALL_FACTOR * placement.typical_s)
        waits = [self._limit_wait_s(row, now) for row in rows]
        if waits and min(waits) > 0:
            return LimitReached(wait_s=min(waits))
        # The key's next servers take the place of those at their limit.
        rows = [
            row for row, wait_s in zip(rows, waits, strict=True) if wait_s <= 0
        ]
        eligible = [
            row
            for row in rows
            if now >= row.misdirected_until
            and eligibility(row.health, now) is Eligibility.OPEN
        ]
        # If all servers are stalled, they are overloaded, not unresponsive.
        responsive = [
            row for row in eligible if not row.is_stalled(now, stall_s)
        ] or eligible
        if not responsive:
            return self._first_permitted(_by_load(rows, now), spec, now)
        preferred = responsive[:KEY_SERVERS]
        open_rows = [row for row in preferred if _is_open(row, placement, now)]
        # The key's data is most likely cold on any other server.
        idle = [
            row
            for row in responsive
            if row.load.total(now) < IDLE_LOAD_FRACTION * row.server.slots
        ]
        open_rows = _shortest_wait_first(open_rows, now)
        if not open_rows and not idle:
            waits = [_wait_s(row, placement, now) for row in preferred]
            return Overloaded(wait_s=min(waits))
        # The other open servers are used if those of the key are cold and have
        # reached their rate limit.
        others = [row for row in responsive if _is_open(row, placement, now)]
        ordered = [*open_rows, *_by_load(idle, now), *_by_load(others, now)]
        return self._first_permitted(ordered, spec, now)

    def _limit_wait_s(self, row: ServerRow, now: float) -> float:
        """Return how long the server itself wants nothing more."""
        return max(self._limit_shares.wait_s(row, now), row.paused_until - now)

    def _first_permitted(
        self, rows: list[ServerRow], spec: ServiceSpec | None, now: float
    ) -> ServerRow | None:
        for row in rows:
            if self._may_send(row, spec, now):
                self._limit_shares.take(row, now)
                row.cold.record(now)
                return row
        return None

    def _may_send(
        self, row: ServerRow, spec: ServiceSpec | None, now: float
    ) -> bool:
        if now >= row.cold_until or spec is None:
            return True
        return self._cold_shares.allows(row, spec, now)

    def exceeds_cold_part(
        self, row: ServerRow, spec: ServiceSpec, now: float
    ) -> bool:
        """Return whether a server gets more than it may while it is cold."""
        is_used = row.cold.recent_sends(now) > 0
        return is_used and not self._cold_shares.allows(row, spec, now)


def _sooner(first: LimitReached | None, other: LimitReached) -> LimitReached:
    """Return the one with the shorter wait."""
    if first is None or other.wait_s < first.wait_s:
        return other
    return first


def _is_open(row: ServerRow, placement: Placement, now: float) -> bool:
    """Return whether a server has a free slot or could respond in time."""
    if row.load.total(now) < row.server.slots:
        return True
    expected_s = _expected_s(row, placement, now)
    return expected_s <= OPEN_OBJECTIVE_FACTOR * placement.objective_s


def _by_load(rows: list[ServerRow], now: float) -> list[ServerRow]:
    return sorted(rows, key=lambda row: row.load.total(now) / row.server.slots)


def _shortest_wait_first(
    open_rows: list[ServerRow], now: float
) -> list[ServerRow]:
    """Order the key's open servers by the totals of the region.

    The order of affinity holds unless the wait at a later server is clearly
    shorter. A server that rejects requests because its queue is full is
    avoided by this as well, which saves the budget of retries.
    """
    if not open_rows or not open_rows[0].load.has_totals(now):
        return open_rows
    first = open_rows[0]
    shortest = min(open_rows, key=lambda row: _wait_runs(row, now))
    gain = _wait_runs(first, now) - _wait_runs(shortest, now)
    if gain <= SWITCH_RUNS or _wait_runs(shortest, now) > SWITCH_WAIT_RUNS:
        return open_rows
    return [shortest, *(row for row in open_rows if row is not shortest)]


def _wait_runs(row: ServerRow, now: float) -> float:
    """Return the expected wait in usual runs, by the totals of the region."""
    slots = row.server.slots
    rounds = max(0.0, row.load.total_by_region(now) - slots + 1) / slots
    return rounds * row.load.run_ratio


def queue_factor(row: ServerRow, now: float) -> float:
    """Return the expected queueing slowdown of a request sent now."""
    slots = row.server.slots
    return 1 + max(0.0, row.load.total(now) - slots + 1) / slots


def _wait_s(row: ServerRow, placement: Placement, now: float) -> float:
    """Return the expected wait for a slot of a request sent now."""
    return placement.run_s * (queue_factor(row, now) - 1)


def _expected_s(row: ServerRow, placement: Placement, now: float) -> float:
    """Return the expected response time of a request sent now."""
    run_s = min(
        placement.run_s, RUN_OBJECTIVE_FRACTION * placement.objective_s
    )
    return _wait_s(row, placement, now) + run_s


def make_placement(
    route: Route,
    service: ServiceName,
    permitted: tuple[RegionName, ...],
    affinity_key: str,
    request_id: str,
    typical_s: float,
    run_s: float,
) -> Placement:
    """Return the placement of a request.

    Requests without an affinity key are spread evenly.
    """
    key = affinity_key if affinity_key and route.sticky else request_id
    return Placement(
        service=service,
        key=bounded_key(f"{route.host}{route.prefix}\0{key}"),
        permitted_regions=permitted,
        typical_s=typical_s,
        run_s=run_s,
        objective_s=route.objective_s,
    )
