"""Slots of backend servers that an instance may use, with exact counts.

Free slots are kept by server, and servers with free slots in a set that
allows a random draw in constant time. A grant scans all servers only when
few of them are eligible for the request.
"""

import dataclasses
import heapq
import random
from collections.abc import Iterable
from collections.abc import Sequence
from typing import TYPE_CHECKING

from chiverun.core.portions import region_zones
from chiverun.core.portions import seat_portion
from chiverun.core.portions import slot_seat
from chiverun.core.ticket import Region

if TYPE_CHECKING:
    from chiverun.core.ids import SeatIndex
    from chiverun.core.ids import ServerName
    from chiverun.core.ids import ServiceName
    from chiverun.core.snapshot import HeldSeat
    from chiverun.core.snapshot import Snapshot
    from chiverun.core.ticket import Server
    from chiverun.core.ticket import Zone

SlotKey = tuple["ServerName", int]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Slot:
    """A slot of a held seat; usable from `opens_at` (monotonic seconds)."""

    server: "ServerName"
    service: "ServiceName"
    index: int
    seat: "SeatIndex"
    is_long: bool
    opens_at: float

    @property
    def key(self) -> SlotKey:
        """Server and index."""
        return self.server, self.index


class NameSet:
    """A set of names with random draws in constant time."""

    def __init__(self) -> None:
        self.names: list[ServerName] = []
        self._positions: dict[ServerName, int] = {}

    def __len__(self) -> int:
        return len(self.names)

    def add(self, name: "ServerName") -> None:
        """Add a name if it is not present."""
        if name not in self._positions:
            self._positions[name] = len(self.names)
            self.names.append(name)

    def discard(self, name: "ServerName") -> None:
        """Remove a name if it is present."""
        position = self._positions.pop(name, None)
        if position is None:
            return
        last = self.names.pop()
        if last != name:
            self.names[position] = last
            self._positions[last] = position

    def draw(self, rng: random.Random) -> "ServerName":
        """Return one of the names at random."""
        return self.names[int(rng.random() * len(self.names))]


@dataclasses.dataclass(kw_only=True)
class ServerSlots:
    """This instance's slots of one server.

    `capacity` is the number of slots that belong to held seats.
    `in_flight` counts used and occupied slots of all seats, including seats
    that are no longer held. `overdue` counts slots of short requests that
    have run so long that they count as long ones.
    """

    server: "Server"
    free_short: list[Slot] = dataclasses.field(default_factory=list)
    free_long: list[Slot] = dataclasses.field(default_factory=list)
    capacity: int = 0
    long_capacity: int = 0
    in_flight: int = 0
    long_in_flight: int = 0
    overdue: int = 0

    @property
    def free(self) -> int:
        """The number of free slots."""
        return len(self.free_short) + len(self.free_long)


@dataclasses.dataclass(kw_only=True)
class _SlotUse:
    """A use of a slot by a request."""

    seat: "SeatIndex"
    is_long: bool


class SlotTable:
    """Free and used slots; methods are called with a lock held."""

    def __init__(self) -> None:
        self._servers: dict[ServerName, ServerSlots] = {}
        self._free: dict[ServiceName, NameSet] = {}
        self._free_long: dict[ServiceName, NameSet] = {}
        self._server_names: dict[ServiceName, list[ServerName]] = {}
        self._layout: dict[SlotKey, Slot] = {}
        self._used: dict[SlotKey, _SlotUse] = {}
        self._opening: list[tuple[float, SlotKey]] = []
        # Slots that have not opened yet, whether in use or free.
        self._unopened: set[SlotKey] = set()

    def server(self, name: "ServerName") -> ServerSlots:
        """Return the slots of a server."""
        return self._servers[name]

    def servers(self, service: "ServiceName") -> Sequence["ServerName"]:
        """Return the servers of a service with slots of held seats."""
        return self._server_names.get(service, ())

    def free_servers(
        self, service: "ServiceName", *, is_long: bool
    ) -> NameSet | None:
        """Return the servers with a free slot for a long or short request."""
        return (self._free_long if is_long else self._free).get(service)

    def used(self) -> int:
        """Return the number of slots that are in use or occupied."""
        return len(self._used)

    def seat_in_use(self, seat: "SeatIndex") -> bool:
        """Return whether a slot of a seat is in use or occupied."""
        return any(use.seat == seat for use in self._used.values())

    def allocate(self, server: "ServerName", *, is_long: bool) -> Slot:
        """Allocate a free slot; short requests use long slots last."""
        row = self._servers[server]
        stack = (
            row.free_long if is_long or not row.free_short else row.free_short
        )
        slot = stack.pop()
        self._used[slot.key] = _SlotUse(seat=slot.seat, is_long=is_long)
        row.in_flight += 1
        row.long_in_flight += is_long
        self._update_free_sets(row)
        return slot

    def free(self, key: SlotKey) -> None:
        """Release a slot."""
        use = self._used.pop(key)
        row = self._servers.get(key[0])
        if row is None:
            return
        row.in_flight -= 1
        row.long_in_flight -= use.is_long
        slot = self._layout.get(key)
        if slot is not None and key not in self._unopened:
            self._free_list(row, slot).append(slot)
            self._update_free_sets(row)

    def advance(self, now: float) -> None:
        """Open the slots whose opening time is at or before `now`."""
        while self._opening and self._opening[0][0] <= now:
            _, key = heapq.heappop(self._opening)
            self._unopened.discard(key)
            if key not in self._used:
                slot = self._layout[key]
                row = self._servers[slot.server]
                self._free_list(row, slot).append(slot)
                self._update_free_sets(row)

    def rebuild(
        self,
        servers: Iterable["Server"],
        held: Sequence["HeldSeat"],
        seats: int,
        now: float,
    ) -> None:
        """Rebuild the layout; used slots stay in use.

        Slots beyond a server's `connections_max` are left out, since each
        slot uses at most one connection at a time.
        """
        by_index = {seat.index: seat for seat in held}
        old = self._servers
        self._servers, self._layout, self._opening = {}, {}, []
        self._unopened = set()
        self._free, self._free_long, self._server_names = {}, {}, {}
        for server in servers:
            row = ServerSlots(server=server)
            if server.name in old:
                row.overdue = old[server.name].overdue
            self._servers[server.name] = row
            for index in range(min(server.slots, server.connections_max)):
                seat = by_index.get(slot_seat(server.name, index, seats))
                if seat is not None:
                    self._add(row, index, seat, now)
            if row.capacity:
                self._server_names.setdefault(server.service, []).append(
                    server.name
                )
        for key, use in self._used.items():
            used_row = self._servers.get(key[0])
            if used_row is not None:
                used_row.in_flight += 1
                used_row.long_in_flight += use.is_long
        heapq.heapify(self._opening)

    def _add(
        self, row: ServerSlots, index: int, seat: "HeldSeat", now: float
    ) -> None:
        server = row.server
        is_long = index < server.long_slots
        slot = Slot(
            server=server.name,
            service=server.service,
            index=index,
            seat=seat.index,
            is_long=is_long,
            opens_at=seat.long_opens_at if is_long else seat.short_opens_at,
        )
        self._layout[slot.key] = slot
        row.capacity += 1
        row.long_capacity += is_long
        if slot.opens_at > now:
            self._opening.append((slot.opens_at, slot.key))
            self._unopened.add(slot.key)
        elif slot.key not in self._used:
            self._free_list(row, slot).append(slot)
            self._update_free_sets(row)

    def _free_list(self, row: ServerSlots, slot: Slot) -> list[Slot]:
        return row.free_long if slot.is_long else row.free_short

    def _update_free_sets(self, row: ServerSlots) -> None:
        service, name = row.server.service, row.server.name
        free = self._free.setdefault(service, NameSet())
        free.add(name) if row.free else free.discard(name)
        long_ = self._free_long.setdefault(service, NameSet())
        long_.add(name) if row.free_long else long_.discard(name)


class RegionUnits:
    """Units of a region's cap on requests in flight, each bound to a seat.

    A request charges a unit of one seat, not necessarily the seat of its
    slot. The unit stays charged until the request has ended, and its seat
    counts as in use, so a seat is never transferred with a charged unit.
    """

    def __init__(self) -> None:
        self._portions: dict[SeatIndex, tuple[int, float]] | None = None
        self._charged: dict[SeatIndex, int] = {}

    def rebuild(
        self,
        name: str,
        cap: int,
        held: Sequence["HeldSeat"],
        first: int,
        total: int,
    ) -> None:
        """Set the portions of held seats; a cap of 0 means no limit.

        The units of a claimed seat open only when no request of its earlier
        holder can still be running, long requests included.
        """
        self._portions = None
        if cap:
            self._portions = {
                seat.index: (
                    seat_portion(name, cap, first + seat.index, total),
                    max(seat.short_opens_at, seat.long_opens_at),
                )
                for seat in held
            }

    def rebuild_from_snapshot(
        self, snapshot: "Snapshot", zone: "Zone | None"
    ) -> None:
        """Set the portions of held seats from the cap of the zone's region."""
        state = snapshot.state
        region = state.of(Region).get(zone.region) if zone else None
        if zone is None or region is None:
            self.rebuild("", 0, (), 0, 1)
            return
        zones = region_zones(state, region.name)
        position = [z.name for z in zones].index(zone.name)
        self.rebuild(
            f"region:{region.name}",
            region.in_flight_max,
            snapshot.seats,
            sum(z.seats for z in zones[:position]),
            sum(z.seats for z in zones),
        )

    def has_free_unit(self, now: float) -> bool:
        """Return whether a unit is free, or there is no cap."""
        return self._portions is None or self._find_free_seat(now) is not None

    def charge(self, now: float) -> "SeatIndex | None":
        """Charge a unit and return its seat; None if there is no cap.

        `has_free_unit` must have returned true at `now`.
        """
        if self._portions is None:
            return None
        seat = self._find_free_seat(now)
        assert seat is not None
        self._charged[seat] = self._charged.get(seat, 0) + 1
        return seat

    def refund(self, seat: "SeatIndex | None") -> None:
        """Release a charged unit."""
        if seat is not None:
            self._charged[seat] -= 1

    def in_use(self, seat: "SeatIndex") -> bool:
        """Return whether a unit of a seat is charged."""
        return self._charged.get(seat, 0) > 0

    def _find_free_seat(self, now: float) -> "SeatIndex | None":
        for seat, (units, opens_at) in (self._portions or {}).items():
            if now >= opens_at and self._charged.get(seat, 0) < units:
                return seat
        return None
