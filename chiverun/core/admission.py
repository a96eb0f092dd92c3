"""Admission of requests to the slots of this zone's backend servers.

An instance uses only the slots of the seats it holds, so the sum over all
instances of a zone never exceeds a server's slots. Counts are exact: a slot
is busy from the grant until the exchange has provably ended at the server,
which for an unknown outcome is the request's deadline.
"""

import math
import random
import threading
from collections.abc import Callable
from typing import TYPE_CHECKING

from chiverun.core import exchange
from chiverun.core.choice import choose
from chiverun.core.errors import ChiverunError
from chiverun.core.errors import ResultCode
from chiverun.core.exchange import ExchangeEnd
from chiverun.core.grants import GrantTable
from chiverun.core.health import mark_draining
from chiverun.core.health import ServerHealth
from chiverun.core.healthtable import HealthTable
from chiverun.core.ids import SeatIndex
from chiverun.core.ids import ServerName
from chiverun.core.ids import ServiceName
from chiverun.core.ids import ZoneName
from chiverun.core.queuelimits import QueueLimits
from chiverun.core.shiftcaps import ShiftCaps
from chiverun.core.slots import ServerSlots
from chiverun.core.ticket import Length
from chiverun.core.ticket import Server
from chiverun.core.ticket import Service
from chiverun.core.ticket import Zone
from chiverun.core.timestable import TimesTable
from chiverun.core.waiting import QueueKey
from chiverun.core.waiting import Waiter
from chiverun.core.waiting import WaitQueues
from chiverun.core.work import Grant
from chiverun.core.work import late_refusal
from chiverun.core.work import refusal
from chiverun.core.work import Work

if TYPE_CHECKING:
    from chiverun.core.clock import Clock
    from chiverun.core.snapshot import Snapshot

# A snapshot older than this means that the control tick did not run: the
# process was paused, and its seats may have been claimed.
PAUSE_LIMIT_S = 2.0
# Covers clock differences between an instance and a backend server, which
# enforces absolute deadlines.
CLOCK_MARGIN_S = 0.25


class Admission:
    """Slots, caps and queues of this instance; thread-safe.

    Parameters
    ----------
    zone : ZoneName
        The zone of this instance.
    clock : Clock
    rng : random.Random
        Source of the two candidates in the choice of a server.
    waiters_max : int or None
        Most requests of one service that wait. Each holds a thread of the
        entry, and one overloaded service must not hold them all.
    """

    def __init__(
        self,
        *,
        zone: ZoneName,
        clock: "Clock",
        rng: random.Random,
        waiters_max: int | None = None,
    ) -> None:
        self._zone = zone
        self._clock = clock
        self._rng = rng
        self._lock = threading.Lock()
        self._snapshot: Snapshot | None = None
        self._layout: tuple | None = None
        self._queues: WaitQueues[Work, Grant] = WaitQueues()
        self._health = HealthTable()
        self._times = TimesTable()
        self._grants = GrantTable(health=self._health, times=self._times)
        self._slots = self._grants.slots
        self._units = self._grants.units
        self._limits = QueueLimits(
            queues=self._queues,
            times=self._times,
            slots=self._slots,
            health=self._health,
            waiters_max=waiters_max,
        )
        self._shift_caps = ShiftCaps(zone=zone)

    def update(self, snapshot: "Snapshot") -> None:
        """Take over a newly published snapshot."""
        now = self._clock.monotonic()
        with self._lock:
            layout = (snapshot.state.digest, snapshot.state.number)
            layout = (*layout, snapshot.seats)
            self._snapshot = snapshot
            self._limits.note_snapshot()
            if layout != self._layout:
                self._layout = layout
                self._rebuild(snapshot, now)
            self._health.note_returned(snapshot, now)
            self._grants.advance(now)
            self._serve(now)

    def try_acquire(
        self, work: Work, excluded: frozenset[ServerName] = frozenset()
    ) -> Grant:
        """Take a slot now.

        Raises
        ------
        ChiverunError
            With a 3xx code; the request was not run.
        """
        now = self._clock.monotonic()
        with self._lock:
            self._check(work, now)
            if self._queues.length(work.key):
                raise refusal(ResultCode.NO_CAPACITY, work, "queue waits")
            grant = self._grant(work, excluded, now)
            if grant is None:
                raise refusal(ResultCode.NO_CAPACITY, work, "no free slot")
            return grant

    def acquire(
        self, work: Work, excluded: frozenset[ServerName] = frozenset()
    ) -> Grant:
        """Take a slot, waiting while the deadline can be met.

        Raises
        ------
        ChiverunError
            With a 3xx code; the request was not run.
        """
        event = threading.Event()
        waiter = self.enqueue(work, event.set, excluded)
        event.wait(max(0.0, waiter.latest_start - self._clock.monotonic()))
        self.withdraw(waiter)
        if waiter.grant is not None:
            return waiter.grant
        if waiter.error is not None:
            raise waiter.error
        raise late_refusal(work)

    def enqueue(
        self,
        work: Work,
        notify: Callable[[], object],
        excluded: frozenset[ServerName] = frozenset(),
    ) -> Waiter[Work, Grant]:
        """Ask for a slot; `notify` is called once when it is granted.

        It is called under the lock of this object, also before `enqueue`
        returns, and must not block.

        Raises
        ------
        ChiverunError
            With a 3xx code, if the request cannot be run in time.
        """
        now = self._clock.monotonic()
        with self._lock:
            self._check(work, now)
            waiter = Waiter(
                key=work.key,
                work=work,
                excluded=excluded,
                latest_start=self._times.latest_start(work, now),
                notify=notify,
            )
            if not self._queues.length(work.key):
                grant = self._grant(work, excluded, now)
                if grant is not None:
                    waiter.finish(grant=grant)
                    return waiter
            self._limits.check(self._snapshot, work, now)
            self._queues.add(waiter)
            self._serve(now)
        return waiter

    def withdraw(self, waiter: Waiter[Work, Grant]) -> None:
        """Take a waiter out of its queue, if it is still there.

        A grant that came before stays with the waiter.
        """
        with self._lock:
            self._queues.remove(waiter)

    def confirm(self, grant: Grant) -> bool:
        """Check at the act of sending that the grant may still be used."""
        now = self._clock.monotonic()
        with self._lock:
            return (
                self._is_current(now)
                and now < grant.work.deadline
                and any(s.index == grant.seat for s in self._snapshot.seats)
                and grant.server.name in self._health
                and self._health.may_use(
                    self._snapshot, grant.server.name, now
                )
                and self._shift_caps.is_timely(self._snapshot, grant, now)
            )

    def cancel(self, grant: Grant) -> None:
        """Give back a grant that was not used."""
        now = self._clock.monotonic()
        with self._lock:
            if self._grants.give_back(grant):
                self._grants.end(grant)
                self._serve(now)

    def release(
        self,
        grant: Grant,
        end: ExchangeEnd,
        *,
        cancelled: bool = False,
        ended: bool = False,
    ) -> None:
        """Give back a slot and record how the exchange ended.

        After an unknown outcome the server may still run the request, so
        the slot stays occupied until its deadline has passed there.

        Parameters
        ----------
        grant : Grant
        end : ExchangeEnd
        cancelled : bool
            This instance cancelled the exchange, so its end says nothing
            about the server but that it took at least this long.
        ended : bool
            The server is known to run the request no longer.
        """
        now = self._clock.monotonic()
        with self._lock:
            if not self._grants.give_back(grant):
                return
            if exchange.may_still_run(end) and not ended:
                until = max(now, grant.work.deadline + CLOCK_MARGIN_S)
                self._grants.occupy(grant, until)
            else:
                self._grants.end(grant)
            self._times.record(
                grant.work,
                end,
                now - grant.granted_at,
                now,
                cancelled=cancelled,
                health=self._health.get(grant.server.name),
            )
            self._grants.advance(now)
            self._serve(now)

    def expected_wait_s(self, work: Work) -> float:
        """Return how long a request would wait here for a slot, in seconds.

        Infinite if no server is in use.
        """
        now = self._clock.monotonic()
        with self._lock:
            if not self._is_current(now):
                return math.inf
            slots = self._limits.usable_slots(self._snapshot, work, now)
            if slots <= 0:
                return math.inf
            queued = self._queues.length(work.key)
            return self._limits.expected_wait_s(work, queued, slots, now)

    def hedge_delay_s(self, work: Work) -> float | None:
        """Return when a second attempt is due; None if nothing is learnt."""
        with self._lock:
            return self._times.hedge_delay_s(work.key)

    def mark_draining(self, server: ServerName) -> None:
        """Note a server's own statement that it is leaving."""
        now = self._clock.monotonic()
        with self._lock:
            health = self._health.get(server)
            if health is not None:
                mark_draining(health, now)

    def draining_servers(self) -> frozenset[ServerName]:
        """Return the servers that said that they are leaving."""
        now = self._clock.monotonic()
        with self._lock:
            return self._health.draining(now)

    def free_slots(self) -> dict[ServiceName, int]:
        """Return the free slots for short requests by service."""
        now = self._clock.monotonic()
        with self._lock:
            if not self._is_current(now):
                return {}
            self._grants.advance(now)
            rooms = {}
            for service in self._snapshot.state.of(Service):
                names = self._slots.servers(service)
                if names:
                    rooms[service] = sum(
                        self._slots.server(name).free
                        for name in names
                        if self._may_use(name, now)
                    )
            return rooms

    def in_flight(self) -> int:
        """Return the number of grants in use."""
        with self._lock:
            return self._grants.in_use()

    def seat_in_use(self, seat: SeatIndex) -> bool:
        """Tell whether a server may still run work on a seat's slots.

        A unit of the region's cap that belongs to the seat counts as well.
        """
        now = self._clock.monotonic()
        with self._lock:
            self._grants.advance(now)
            return self._grants.seat_in_use(seat)

    # Callers of the methods below hold the lock.

    def _check(self, work: Work, now: float) -> None:
        if not self._is_current(now):
            raise refusal(ResultCode.NO_SEAT, work, "seats not confirmed")
        if not self._snapshot.seats:
            raise refusal(ResultCode.NO_SEAT, work, "no seat held")
        if now + self._times.expected_s(work.key, now) >= work.deadline:
            raise refusal(
                ResultCode.DEADLINE_UNREACHABLE, work, "too little time left"
            )
        self._grants.advance(now)

    def _is_current(self, now: float) -> bool:
        snapshot = self._snapshot
        return (
            snapshot is not None
            and snapshot.confirmed
            and now - snapshot.published_at <= PAUSE_LIMIT_S
        )

    def _may_use(self, name: ServerName, now: float) -> bool:
        return self._health.may_use(self._snapshot, name, now)

    def _grant(
        self, work: Work, excluded: frozenset[ServerName], now: float
    ) -> Grant | None:
        free = self._slots.free_servers(work.service, is_long=work.is_long)
        if not free or not self._units.has_room(now):
            return None
        members = self._slots.servers(work.service)
        keeps_free = not work.is_long and self._is_suspect(work, now)

        def fits(name: ServerName) -> bool:
            if name in excluded or not self._health.may_use(
                self._snapshot, name, now
            ):
                return False
            row = self._slots.server(name)
            if work.is_long:
                longs = row.long_in_flight + row.overdue
                return longs < row.mine_long
            if not keeps_free:
                return True
            if row.mine > 1:
                return row.free > 1
            return len(free) > len(members) / 4.0

        name = choose(
            free,
            members,
            self._row,
            fits,
            now,
            self._rng,
            may_probe=work.request_class.repeatable,
        )
        if name is None:
            return None
        self._shift_caps.take(self._snapshot, work, now)
        return self._grants.take(work, name, now)

    def _row(self, name: ServerName) -> tuple[ServerHealth, ServerSlots]:
        return self._health[name], self._slots.server(name)

    def _is_suspect(self, work: Work, now: float) -> bool:
        """Tell whether a short class has to leave slots to the others."""
        service = self._snapshot.state.of(Service).get(work.service)
        if service is None:
            return False
        short = [c for c in service.classes if c.length is Length.SHORT]
        if len(short) < 2:
            return False
        slots = int(self._limits.usable_slots(self._snapshot, work, now))
        return self._grants.is_suspect(work.key, slots, now)

    def _serve(self, now: float) -> None:
        if self._is_current(now):
            self._queues.serve(
                now, self._may_try, self._grant_waiter, self._expire_waiter
            )

    def _may_try(self, key: QueueKey) -> bool:
        free = self._slots.free_servers(key[0], is_long=False)
        return bool(free)

    def _grant_waiter(self, waiter: Waiter[Work, Grant]) -> Grant | None:
        now = self._clock.monotonic()
        return self._grant(waiter.work, waiter.excluded, now)

    def _expire_waiter(self, waiter: Waiter[Work, Grant]) -> ChiverunError:
        return late_refusal(waiter.work)

    def _rebuild(self, snapshot: "Snapshot", now: float) -> None:
        """Lay out slots, health rows and caps anew after a change."""
        state = snapshot.state
        zone = state.of(Zone).get(self._zone)
        servers = [
            server
            for server in state.of(Server).values()
            if zone is not None and server.zone == self._zone
        ]
        seats = zone.seats if zone is not None else 1
        self._slots.rebuild(servers, snapshot.seats, seats, now)
        self._health.rebuild(servers, now)
        self._units.lay_out(snapshot, zone)
        self._times.keep(state.of(Service))
        self._shift_caps.prune(now)
