"""Slots of backend servers that an instance may use, with exact counts.

A grant costs time in the number of servers only when few of them may take
the request: free slots are kept by server, and servers with free slots in a
set from which one is drawn in constant time.
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
    """A set of names that can be drawn from at random in constant time."""

    def __init__(self) -> None:
        self.names: list[ServerName] = []
        self._places: dict[ServerName, int] = {}

    def __len__(self) -> int:
        return len(self.names)

    def add(self, name: "ServerName") -> None:
        """Add a name unless it is there."""
        if name not in self._places:
            self._places[name] = len(self.names)
            self.names.append(name)

    def discard(self, name: "ServerName") -> None:
        """Remove a name if it is there."""
        place = self._places.pop(name, None)
        if place is None:
            return
        last = self.names.pop()
        if last != name:
            self.names[place] = last
            self._places[last] = place

    def draw(self, rng: random.Random) -> "ServerName":
        """Return one of the names at random."""
        return self.names[int(rng.random() * len(self.names))]


@dataclasses.dataclass(kw_only=True)
class ServerSlots:
    """This instance's slots of one server.

    `in_flight` counts used and occupied slots of all seats, also of seats
    that are no longer held; `overdue` those of short requests that have run
    for so long that they count as long ones.
    """

    server: "Server"
    free_short: list[Slot] = dataclasses.field(default_factory=list)
    free_long: list[Slot] = dataclasses.field(default_factory=list)
    mine: int = 0
    mine_long: int = 0
    in_flight: int = 0
    long_in_flight: int = 0
    overdue: int = 0

    @property
    def free(self) -> int:
        """The number of free slots."""
        return len(self.free_short) + len(self.free_long)


@dataclasses.dataclass(kw_only=True)
class _Use:
    """What holds a slot."""

    seat: "SeatIndex"
    is_long: bool


class SlotTable:
    """Free and used slots; callers hold a lock."""

    def __init__(self) -> None:
        self._servers: dict[ServerName, ServerSlots] = {}
        self._free: dict[ServiceName, NameSet] = {}
        self._free_long: dict[ServiceName, NameSet] = {}
        self._members: dict[ServiceName, list[ServerName]] = {}
        self._layout: dict[SlotKey, Slot] = {}
        self._used: dict[SlotKey, _Use] = {}
        self._opening: list[tuple[float, SlotKey]] = []
        # Slots that are not open yet, whatever else becomes of them.
        self._closed: set[SlotKey] = set()

    def server(self, name: "ServerName") -> ServerSlots:
        """Return the slots of a server of the layout."""
        return self._servers[name]

    def servers(self, service: "ServiceName") -> Sequence["ServerName"]:
        """Return the servers of a service that have slots here."""
        return self._members.get(service, ())

    def free_servers(
        self, service: "ServiceName", *, is_long: bool
    ) -> NameSet | None:
        """Return the servers with a free slot for a long or short request."""
        return (self._free_long if is_long else self._free).get(service)

    def used(self) -> int:
        """Return the number of slots that are in use or occupied."""
        return len(self._used)

    def seat_in_use(self, seat: "SeatIndex") -> bool:
        """Tell whether a slot of a seat is in use or occupied."""
        return any(use.seat == seat for use in self._used.values())

    def take(self, server: "ServerName", *, is_long: bool) -> Slot:
        """Take a free slot; short requests use those for long ones last."""
        row = self._servers[server]
        stack = (
            row.free_long if is_long or not row.free_short else row.free_short
        )
        slot = stack.pop()
        self._used[slot.key] = _Use(seat=slot.seat, is_long=is_long)
        row.in_flight += 1
        row.long_in_flight += is_long
        self._index(row)
        return slot

    def free(self, key: SlotKey) -> None:
        """Give a slot back."""
        use = self._used.pop(key)
        row = self._servers.get(key[0])
        if row is None:
            return
        row.in_flight -= 1
        row.long_in_flight -= use.is_long
        slot = self._layout.get(key)
        if slot is not None and key not in self._closed:
            self._stack(row, slot).append(slot)
            self._index(row)

    def advance(self, now: float) -> None:
        """Open the slots whose time has come by `now`."""
        while self._opening and self._opening[0][0] <= now:
            _, key = heapq.heappop(self._opening)
            self._closed.discard(key)
            if key not in self._used:
                slot = self._layout[key]
                row = self._servers[slot.server]
                self._stack(row, slot).append(slot)
                self._index(row)

    def rebuild(
        self,
        servers: Iterable["Server"],
        held: Sequence["HeldSeat"],
        seats: int,
        now: float,
    ) -> None:
        """Lay the slots out anew; used ones stay used.

        A server's connections_max is kept by leaving out slots: a slot uses
        at most one connection at a time.
        """
        by_index = {seat.index: seat for seat in held}
        old = self._servers
        self._servers, self._layout, self._opening = {}, {}, []
        self._closed = set()
        self._free, self._free_long, self._members = {}, {}, {}
        for server in servers:
            row = ServerSlots(server=server)
            if server.name in old:
                row.overdue = old[server.name].overdue
            self._servers[server.name] = row
            for index in range(min(server.slots, server.connections_max)):
                seat = by_index.get(slot_seat(server.name, index, seats))
                if seat is not None:
                    self._add(row, index, seat, now)
            if row.mine:
                self._members.setdefault(server.service, []).append(
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
        row.mine += 1
        row.mine_long += is_long
        if slot.opens_at > now:
            self._opening.append((slot.opens_at, slot.key))
            self._closed.add(slot.key)
        elif slot.key not in self._used:
            self._stack(row, slot).append(slot)
            self._index(row)

    def _stack(self, row: ServerSlots, slot: Slot) -> list[Slot]:
        return row.free_long if slot.is_long else row.free_short

    def _index(self, row: ServerSlots) -> None:
        service, name = row.server.service, row.server.name
        free = self._free.setdefault(service, NameSet())
        free.add(name) if row.free else free.discard(name)
        long_ = self._free_long.setdefault(service, NameSet())
        long_.add(name) if row.free_long else long_.discard(name)


class RegionUnits:
    """Units of a region's cap, each bound to a seat.

    A request charges a unit of one seat, which need not be the seat of its
    slot. The unit stays charged until the request has ended, and its seat
    counts as in use, so that a seat is not handed over with a unit that is
    still charged.
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
        """Set the portions of held seats; cap 0 means no limit.

        The units of a claimed seat open only when no work of its earlier
        holder can be running, long requests included.
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

    def lay_out(self, snapshot: "Snapshot", zone: "Zone | None") -> None:
        """Set the portions of the held seats of a zone from its region."""
        state = snapshot.state
        region = state.of(Region).get(zone.region) if zone else None
        if zone is None or region is None:
            self.rebuild("", 0, (), 0, 1)
            return
        zones = region_zones(state, region.name)
        place = [z.name for z in zones].index(zone.name)
        self.rebuild(
            f"region:{region.name}",
            region.in_flight_max,
            snapshot.seats,
            sum(z.seats for z in zones[:place]),
            sum(z.seats for z in zones),
        )

    def has_room(self, now: float) -> bool:
        """Tell whether a request may be charged."""
        return self._portions is None or self._find(now) is not None

    def charge(self, now: float) -> "SeatIndex | None":
        """Charge a unit; None if there is no cap. `has_room` was true."""
        if self._portions is None:
            return None
        seat = self._find(now)
        assert seat is not None
        self._charged[seat] = self._charged.get(seat, 0) + 1
        return seat

    def refund(self, seat: "SeatIndex | None") -> None:
        """Give a unit back."""
        if seat is not None:
            self._charged[seat] -= 1

    def in_use(self, seat: "SeatIndex") -> bool:
        """Tell whether a unit of a seat is charged."""
        return self._charged.get(seat, 0) > 0

    def _find(self, now: float) -> "SeatIndex | None":
        for seat, (units, opens_at) in (self._portions or {}).items():
            if now >= opens_at and self._charged.get(seat, 0) < units:
                return seat
        return None
