"""Grants in use: the slots and cap units that requests hold.

A slot is busy from the grant until its exchange is known to have ended at the
server, or until a time after which the request cannot run there any more.
"""

import heapq

from chiverun.core.health import aged_slowness
from chiverun.core.healthtable import HealthTable
from chiverun.core.ids import SeatIndex
from chiverun.core.ids import ServerName
from chiverun.core.overdue import OVERDUE_MEDIANS
from chiverun.core.overdue import OVERDUE_MIN_S
from chiverun.core.overdue import OverdueTable
from chiverun.core.slots import RegionUnits
from chiverun.core.slots import SlotTable
from chiverun.core.timestable import TimesTable
from chiverun.core.waiting import QueueKey
from chiverun.core.work import Grant
from chiverun.core.work import Work


class GrantTable:
    """Grants by number; not thread-safe, times are monotonic seconds."""

    def __init__(self, *, health: HealthTable, times: TimesTable) -> None:
        self.slots = SlotTable()
        self.units = RegionUnits()
        self._health = health
        self._times = times
        self._overdue = OverdueTable()
        self._busy: dict[int, Grant] = {}
        # Heap of grants whose slots stay occupied until a time, by number.
        self._occupied: list[tuple[float, int, Grant]] = []
        self._numbers = 0

    def allocate(self, work: Work, name: ServerName, now: float) -> Grant:
        """Allocate a free slot of a server and a unit of the region's cap."""
        slot = self.slots.allocate(name, is_long=work.is_long)
        self._numbers += 1
        grant = Grant(
            number=self._numbers,
            server=self.slots.server(name).server,
            slot=slot.index,
            seat=slot.seat,
            unit=self.units.charge(now),
            work=work,
            granted_at=now,
        )
        self._busy[grant.number] = grant
        typical_s = self._times.median_s(work.key)
        if not work.is_long and typical_s:
            slowness = aged_slowness(self._health[name], now)
            limit_s = OVERDUE_MEDIANS * typical_s * max(1.0, slowness)
            due_at = now + max(OVERDUE_MIN_S, limit_s)
            self._overdue.watch(grant.number, work.key, name, due_at)
        return grant

    def try_release(self, grant: Grant) -> bool:
        """Release a grant; return False if it has been released before.

        The slot stays busy until `end`, or the time given to `occupy`.
        """
        return self._busy.pop(grant.number, None) is not None

    def occupy(self, grant: Grant, until: float) -> None:
        """Keep a slot busy until a time; the server may still run it."""
        heapq.heappush(self._occupied, (until, grant.number, grant))

    def end(self, grant: Grant) -> None:
        """Free the slot and unit of a grant whose exchange has ended."""
        self.slots.free((grant.server.name, grant.slot))
        self.units.refund(grant.unit)
        server = self._overdue.end(grant.number)
        if server is not None:
            self._count_overdue(server, -1)

    def advance(self, now: float) -> None:
        """Open and free slots, and mark requests overdue, up to `now`."""
        for name in self._overdue.advance(now):
            self._count_overdue(name, 1)
        self.slots.advance(now)
        while self._occupied and self._occupied[0][0] <= now:
            self.end(heapq.heappop(self._occupied)[2])

    def in_use(self) -> int:
        """Return the number of grants that requests hold."""
        return len(self._busy)

    def seat_in_use(self, seat: SeatIndex) -> bool:
        """Return whether a slot or a unit of a seat is busy."""
        return self.slots.seat_in_use(seat) or self.units.in_use(seat)

    def is_suspect(self, key: QueueKey, slots: int, now: float) -> bool:
        """Return whether a class has or recently had many overdue requests."""
        return self._overdue.is_suspect(key, slots, now)

    def _count_overdue(self, name: ServerName, change: int) -> None:
        if name in self._health:
            row = self.slots.server(name)
            row.overdue = max(0, row.overdue + change)
