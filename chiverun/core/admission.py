"""Admission of requests to the slots of this zone's backend servers.

An instance uses only the slots of the seats it holds, so the sum over all
instances of a zone never exceeds a server's slots. Counts are exact: a slot
is busy from the grant until the exchange is known to have ended at the
server. After an unknown outcome, that is the request's deadline.
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
from chiverun.core.work import deadline_rejection
from chiverun.core.work import Grant
from chiverun.core.work import rejection
from chiverun.core.work import Work

if TYPE_CHECKING:
    from chiverun.core.clock import Clock
    from chiverun.core.snapshot import Snapshot

# Maximum age of a usable snapshot. If it is older, the control loop has not
# run: the process was paused, and other instances may have claimed its seats.
PAUSE_LIMIT_S = 2.0
# Allowed clock difference between an instance and a backend server, which
# enforces absolute deadlines.
CLOCK_MARGIN_S = 0.25


class Admission:
    """Admit requests to the slots of this instance; thread-safe.

    Parameters
    ----------
    zone : ZoneName
        The zone of this instance.
    clock : Clock
    rng : random.Random
        Draws the two candidates in the choice of a server.
    waiters_max : int or None
        Maximum number of waiting requests of a service. Each of them holds
        a thread of the entry, and one overloaded service must not hold all
        threads.
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
        """Apply a newly published snapshot."""
        now = self._clock.monotonic()
        with self._lock:
            layout = (snapshot.state.digest, snapshot.state.number)
            layout = (*layout, snapshot.seats)
            self._snapshot = snapshot
            self._limits.clear_cache()
            if layout != self._layout:
                self._layout = layout
                self._rebuild(snapshot, now)
            self._health.start_slow_start(snapshot, now)
            self._grants.advance(now)
            self._serve(now)

    def try_acquire(
        self, work: Work, excluded: frozenset[ServerName] = frozenset()
    ) -> Grant:
        """Return a grant of a slot without waiting.

        Raises
        ------
        ChiverunError
            With a 3xx code; the request has not run.
        """
        now = self._clock.monotonic()
        with self._lock:
            self._check(work, now)
            if self._queues.length(work.key):
                raise rejection(
                    ResultCode.NO_CAPACITY, work, "other requests are queued"
                )
            grant = self._grant(work, excluded, now)
            if grant is None:
                raise rejection(ResultCode.NO_CAPACITY, work, "no free slot")
            return grant

    def acquire(
        self, work: Work, excluded: frozenset[ServerName] = frozenset()
    ) -> Grant:
        """Return a grant, waiting while the deadline can be met.

        Raises
        ------
        ChiverunError
            With a 3xx code; the request has not run.
        """
        event = threading.Event()
        waiter = self.enqueue(work, event.set, excluded)
        event.wait(max(0.0, waiter.latest_start - self._clock.monotonic()))
        self.withdraw(waiter)
        if waiter.grant is not None:
            return waiter.grant
        if waiter.error is not None:
            raise waiter.error
        raise deadline_rejection(work)

    def enqueue(
        self,
        work: Work,
        notify: Callable[[], object],
        excluded: frozenset[ServerName] = frozenset(),
    ) -> Waiter[Work, Grant]:
        """Queue a request for a slot.

        `notify` is called once, when the slot is granted or the request is
        rejected. The call is made under the lock of this object, possibly
        before `enqueue` returns, so it must not block.

        Raises
        ------
        ChiverunError
            With a 3xx code, if the request cannot run in time.
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
        """Remove a waiter from its queue, if it is still queued.

        The waiter keeps a grant that it has already received.
        """
        with self._lock:
            self._queues.remove(waiter)

    def confirm(self, grant: Grant) -> bool:
        """Return whether a grant is still valid, just before sending."""
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
        """Release a grant that was not used."""
        now = self._clock.monotonic()
        with self._lock:
            if self._grants.try_release(grant):
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
        """Release a slot and record how the exchange ended.

        After an unknown outcome the server may still run the request, so
        the slot stays occupied until the deadline has passed at the server.

        Parameters
        ----------
        grant : Grant
        end : ExchangeEnd
        cancelled : bool
            Whether this instance cancelled the exchange. The elapsed time
            is then only a lower bound of the server's running time.
        ended : bool
            Whether the server is known to have stopped the request.
        """
        now = self._clock.monotonic()
        with self._lock:
            if not self._grants.try_release(grant):
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
        """Return the expected wait for a slot, in seconds.

        It is infinite if no server is usable.
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
        """Return the delay of a hedge; None while samples are too few."""
        with self._lock:
            return self._times.hedge_delay_s(work.key)

    def mark_draining(self, server: ServerName) -> None:
        """Record that a server has announced that it is draining."""
        now = self._clock.monotonic()
        with self._lock:
            health = self._health.get(server)
            if health is not None:
                mark_draining(health, now)

    def draining_servers(self) -> frozenset[ServerName]:
        """Return the servers that have announced that they are draining."""
        now = self._clock.monotonic()
        with self._lock:
            return self._health.draining(now)

    def free_slots(self) -> dict[ServiceName, int]:
        """Return the number of free slots for short requests by service."""
        now = self._clock.monotonic()
        with self._lock:
            if not self._is_current(now):
                return {}
            self._grants.advance(now)
            free_by_service = {}
            for service in self._snapshot.state.of(Service):
                names = self._slots.servers(service)
                if names:
                    free_by_service[service] = sum(
                        self._slots.server(name).free
                        for name in names
                        if self._may_use(name, now)
                    )
            return free_by_service

    def in_flight(self) -> int:
        """Return the number of grants in use."""
        with self._lock:
            return self._grants.in_use()

    def seat_in_use(self, seat: SeatIndex) -> bool:
        """Return whether a server may still run requests on a seat's slots.

        A charged unit of the region's cap that belongs to the seat counts
        as well.
        """
        now = self._clock.monotonic()
        with self._lock:
            self._grants.advance(now)
            return self._grants.seat_in_use(seat)

    # The methods below are called with the lock held.

    def _check(self, work: Work, now: float) -> None:
        if not self._is_current(now):
            raise rejection(
                ResultCode.NO_SEAT, work, "seats are not confirmed"
            )
        if not self._snapshot.seats:
            raise rejection(ResultCode.NO_SEAT, work, "instance holds no seat")
        if now + self._times.expected_s(work.key, now) >= work.deadline:
            raise rejection(
                ResultCode.DEADLINE_UNREACHABLE,
                work,
                "time left is below the expected run time",
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
        if not free or not self._units.has_free_unit(now):
            return None
        members = self._slots.servers(work.service)
        must_keep_one_free = not work.is_long and self._is_suspect(work, now)

        def is_allowed(name: ServerName) -> bool:
            if name in excluded or not self._health.may_use(
                self._snapshot, name, now
            ):
                return False
            row = self._slots.server(name)
            if work.is_long:
                long_in_use = row.long_in_flight + row.overdue
                return long_in_use < row.long_capacity
            if not must_keep_one_free:
                return True
            if row.capacity > 1:
                return row.free > 1
            return len(free) > len(members) / 4.0

        name = choose(
            free,
            members,
            self._row,
            is_allowed,
            now,
            self._rng,
            may_probe=work.request_class.repeatable,
        )
        if name is None:
            return None
        self._shift_caps.consume(self._snapshot, work, now)
        return self._grants.allocate(work, name, now)

    def _row(self, name: ServerName) -> tuple[ServerHealth, ServerSlots]:
        return self._health[name], self._slots.server(name)

    def _is_suspect(self, work: Work, now: float) -> bool:
        """Return whether a short class must leave slots to other classes."""
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
                now,
                self._has_free_server,
                self._grant_waiter,
                self._deadline_error,
            )

    def _has_free_server(self, key: QueueKey) -> bool:
        free = self._slots.free_servers(key[0], is_long=False)
        return bool(free)

    def _grant_waiter(self, waiter: Waiter[Work, Grant]) -> Grant | None:
        now = self._clock.monotonic()
        return self._grant(waiter.work, waiter.excluded, now)

    def _deadline_error(self, waiter: Waiter[Work, Grant]) -> ChiverunError:
        return deadline_rejection(waiter.work)

    def _rebuild(self, snapshot: "Snapshot", now: float) -> None:
        """Rebuild slots, health rows and caps after a change of layout."""
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
        self._units.rebuild_from_snapshot(snapshot, zone)
        self._times.keep(state.of(Service))
        self._shift_caps.prune(now)
