"""Admission of requests to the slots of this zone's backend servers.

An instance uses only the slots of the seats it holds, so the sum over all
instances of a zone never exceeds a server's slots. Counts are exact: a slot
is busy from the grant until the exchange has provably ended at the server,
which for an unknown outcome is the request's deadline.
"""

import collections
import dataclasses
import random
import threading
from typing import TYPE_CHECKING

from chiverun.core import exchange
from chiverun.core.choice import Candidate
from chiverun.core.choice import choose
from chiverun.core.errors import ChiverunError
from chiverun.core.errors import Outcome
from chiverun.core.errors import ResultCode
from chiverun.core.exchange import classify
from chiverun.core.exchange import ExchangeEnd
from chiverun.core.health import mark_draining
from chiverun.core.health import note_returned
from chiverun.core.health import record
from chiverun.core.health import ServerHealth
from chiverun.core.health import Standing
from chiverun.core.health import standing
from chiverun.core.ids import RegionName
from chiverun.core.ids import SeatIndex
from chiverun.core.ids import ServerName
from chiverun.core.ids import ServiceName
from chiverun.core.ids import ZoneName
from chiverun.core.limits import WindowLimiter
from chiverun.core.portions import held_portion
from chiverun.core.portions import slot_seat
from chiverun.core.shift import active_shift
from chiverun.core.shift import cap_name
from chiverun.core.shift import SHIFT_JITTER_S
from chiverun.core.shift import SHIFT_WINDOW_S
from chiverun.core.ticket import Length
from chiverun.core.ticket import Region
from chiverun.core.ticket import RequestClass
from chiverun.core.ticket import Server
from chiverun.core.ticket import ServerState
from chiverun.core.ticket import Shift
from chiverun.core.ticket import Zone

if TYPE_CHECKING:
    from chiverun.core.clock import Clock
    from chiverun.core.snapshot import Snapshot

# A snapshot older than this means that the control tick did not run: the
# process was paused, and its seats may have been claimed.
PAUSE_LIMIT_S = 2.0
# Covers clock differences between an instance and a backend server, which
# enforces absolute deadlines.
CLOCK_MARGIN_S = 0.25
QUEUE_PER_SLOT_MAX = 8
QUEUE_MIN = 16
SERVICE_TIME_WEIGHT = 0.1


@dataclasses.dataclass(frozen=True, kw_only=True)
class Work:
    """A request to admit; `deadline` is monotonic seconds.

    `source_region` is the region of the instance that received it and
    `origin_region` that of the caller, None if it is not known.
    """

    service: ServiceName
    request_class: RequestClass
    source_region: RegionName
    deadline: float
    origin_region: RegionName | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Grant:
    """Permission to send one request to one server."""

    number: int
    server: Server
    slot: int
    seat: SeatIndex
    work: Work
    granted_at: float


@dataclasses.dataclass(kw_only=True)
class _Slot:
    """A slot of a held seat; None as `grant` means free."""

    server: Server
    index: int
    seat: SeatIndex
    is_long: bool
    opens_at: float


@dataclasses.dataclass(kw_only=True)
class _Waiter:
    work: Work
    excluded: frozenset[ServerName]
    event: threading.Event
    grant: Grant | None = None


_SlotKey = tuple[ServerName, int]


class Admission:
    """Slots, caps and queues of this instance; thread-safe.

    Parameters
    ----------
    zone : ZoneName
        The zone of this instance.
    clock : Clock
    rng : random.Random
        Source of the two candidates in the choice of a server.
    """

    def __init__(
        self, *, zone: ZoneName, clock: "Clock", rng: random.Random
    ) -> None:
        self._zone = zone
        self._clock = clock
        self._rng = rng
        self._lock = threading.Lock()
        self._snapshot: Snapshot | None = None
        self._slots: dict[ServiceName, list[_Slot]] = {}
        self._layout: tuple | None = None
        self._busy: dict[_SlotKey, Grant] = {}
        self._occupied_until: dict[_SlotKey, tuple[float, SeatIndex]] = {}
        self._health: dict[ServerName, ServerHealth] = {}
        self._out: frozenset[ServerName] = frozenset()
        self._queues: dict[
            tuple[ServiceName, Length], collections.deque[_Waiter]
        ] = {}
        self._service_time_s: dict[tuple[ServiceName, Length], float] = {}
        self._shift_limits: dict[str, WindowLimiter] = {}
        self._region_cap: int | None = None
        self._numbers = 0

    def update(self, snapshot: "Snapshot") -> None:
        """Take over a newly published snapshot."""
        with self._lock:
            layout = (snapshot.state.number, snapshot.seats)
            self._snapshot = snapshot
            if layout != self._layout:
                self._layout = layout
                self._rebuild(snapshot)
            self._note_returned()
            self._expire_occupied(self._clock.monotonic())
            self._serve_queues()

    def try_acquire(
        self, work: Work, excluded: frozenset[ServerName] = frozenset()
    ) -> Grant:
        """Take a slot now.

        Raises
        ------
        ChiverunError
            With a 3xx code; the request was not run.
        """
        with self._lock:
            self._check(work)
            if self._queue(work):
                raise _refusal(ResultCode.NO_CAPACITY, work, "queue waits")
            grant = self._grant(work, excluded)
            if grant is None:
                raise _refusal(ResultCode.NO_CAPACITY, work, "no free slot")
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
        with self._lock:
            self._check(work)
            queue = self._queue(work)
            if not queue:
                grant = self._grant(work, excluded)
                if grant is not None:
                    return grant
            self._check_wait(work, len(queue))
            waiter = _Waiter(
                work=work, excluded=excluded, event=threading.Event()
            )
            queue.append(waiter)
        left = work.deadline - self._clock.monotonic()
        waiter.event.wait(max(0.0, left - self._expected_s(work)))
        with self._lock:
            if waiter.grant is not None:
                return waiter.grant
            queue.remove(waiter)
        raise _refusal(
            ResultCode.DEADLINE_UNREACHABLE, work, "no slot in time"
        )

    def confirm(self, grant: Grant) -> bool:
        """Check at the act of sending that the grant may still be used."""
        now = self._clock.monotonic()
        with self._lock:
            return (
                self._is_current(now)
                and now < grant.work.deadline
                and grant.server.name not in self._snapshot.leaving_servers
                and self._is_active(grant.server)
                and self._is_timely(grant, now)
            )

    def cancel(self, grant: Grant) -> None:
        """Give back a grant that was not used."""
        with self._lock:
            self._free(grant)

    def release(self, grant: Grant, end: ExchangeEnd) -> None:
        """Give back a slot and record how the exchange ended.

        After an unknown outcome the server may still run the request, so
        the slot stays occupied until its deadline has passed there.
        """
        now = self._clock.monotonic()
        with self._lock:
            health = self._health.get(grant.server.name)
            if health is not None:
                record(health, end, now - grant.granted_at, now)
            classified = classify(end)
            if classified.outcome is Outcome.ANSWERED:
                self._record_service_time(grant, now)
            if _may_still_run(end):
                self._occupied_until[grant.server.name, grant.slot] = (
                    grant.work.deadline + CLOCK_MARGIN_S,
                    grant.seat,
                )
            self._free(grant)

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
            return frozenset(
                name
                for name, row in self._health.items()
                if standing(row, now) is Standing.DRAINING
            )

    def room(self) -> dict[ServiceName, int]:
        """Return the free slots for short requests by service."""
        now = self._clock.monotonic()
        with self._lock:
            if not self._is_current(now):
                return {}
            return {
                service: sum(
                    1
                    for slot in slots
                    if self._is_free(slot, now)
                    and self._may_use(slot.server, now)
                )
                for service, slots in self._slots.items()
            }

    def in_flight(self) -> int:
        """Return the number of grants in use."""
        with self._lock:
            return len(self._busy)

    def seat_in_use(self, seat: SeatIndex) -> bool:
        """Tell whether a server may still run work on a seat's slots."""
        now = self._clock.monotonic()
        with self._lock:
            self._expire_occupied(now)
            return any(g.seat == seat for g in self._busy.values()) or any(
                s == seat for _, s in self._occupied_until.values()
            )

    # Callers of the methods below hold the lock.

    def _note_returned(self) -> None:
        """Begin the slow start of servers that no longer drain."""
        leaving = self._snapshot.leaving_servers
        servers = self._snapshot.state.of(Server)
        out = frozenset(
            name
            for name in self._health
            if name in leaving or servers[name].state is ServerState.DRAIN
        )
        note_returned(self._health, self._out - out, self._clock.monotonic())
        self._out = out

    def _check(self, work: Work) -> None:
        now = self._clock.monotonic()
        if not self._is_current(now):
            raise _refusal(ResultCode.NO_SEAT, work, "seats not confirmed")
        if not self._snapshot.seats:
            raise _refusal(ResultCode.NO_SEAT, work, "no seat held")
        if now + self._expected_s(work) >= work.deadline:
            raise _refusal(
                ResultCode.DEADLINE_UNREACHABLE, work, "too little time left"
            )

    def _is_current(self, now: float) -> bool:
        snapshot = self._snapshot
        return (
            snapshot is not None
            and snapshot.confirmed
            and now - snapshot.published_at <= PAUSE_LIMIT_S
        )

    def _is_active(self, server: Server) -> bool:
        current = self._snapshot.state.of(Server).get(server.name)
        return current is not None and current.state is ServerState.ACTIVE

    def _check_wait(self, work: Work, queued: int) -> None:
        slots = self._open_slots(work)
        if queued >= max(QUEUE_MIN, QUEUE_PER_SLOT_MAX * slots):
            raise _refusal(ResultCode.QUEUE_FULL, work, f"{queued} wait")
        expected_s = self._expected_s(work)
        wait_s = expected_s * (queued + 1) / max(1, slots)
        if self._clock.monotonic() + wait_s + expected_s > work.deadline:
            raise _refusal(
                ResultCode.DEADLINE_UNREACHABLE,
                work,
                f"{queued} wait for {slots} slots",
            )

    def _expected_s(self, work: Work) -> float:
        key = (work.service, work.request_class.length)
        return self._service_time_s.get(key, 0.0)

    def _record_service_time(self, grant: Grant, now: float) -> None:
        work = grant.work
        key = (work.service, work.request_class.length)
        sample = now - grant.granted_at
        old = self._service_time_s.get(key, sample)
        self._service_time_s[key] = old + SERVICE_TIME_WEIGHT * (sample - old)

    def _queue(self, work: Work) -> collections.deque[_Waiter]:
        key = (work.service, work.request_class.length)
        return self._queues.setdefault(key, collections.deque())

    def _open_slots(self, work: Work) -> int:
        now = self._clock.monotonic()
        return sum(
            1
            for slot in self._slots.get(work.service, ())
            if self._fits(slot, work) and now >= slot.opens_at
        )

    def _fits(self, slot: _Slot, work: Work) -> bool:
        return slot.is_long or work.request_class.length is Length.SHORT

    def _is_free(self, slot: _Slot, now: float) -> bool:
        key = (slot.server.name, slot.index)
        return (
            now >= slot.opens_at
            and key not in self._busy
            and key not in self._occupied_until
        )

    def _may_use(self, server: Server, now: float) -> bool:
        return (
            self._is_active(server)
            and server.name not in self._snapshot.leaving_servers
            and standing(self._health[server.name], now)
            is not Standing.DRAINING
        )

    def _grant(
        self, work: Work, excluded: frozenset[ServerName]
    ) -> Grant | None:
        now = self._clock.monotonic()
        self._expire_occupied(now)
        if self._region_cap is not None and self._used() >= self._region_cap:
            return None
        free: dict[ServerName, list[_Slot]] = {}
        for slot in self._slots.get(work.service, ()):
            if (
                self._is_free(slot, now)
                and self._fits(slot, work)
                and slot.server.name not in excluded
                and self._may_use(slot.server, now)
            ):
                free.setdefault(slot.server.name, []).append(slot)
        candidate = choose(
            [self._candidate(name) for name in free], now, self._rng
        )
        if candidate is None:
            return None
        self._take_shift_cap(work, now)
        # Short requests leave the slots for long ones to the last.
        slot = min(free[candidate.health.name], key=lambda s: s.is_long)
        self._numbers += 1
        grant = Grant(
            number=self._numbers,
            server=slot.server,
            slot=slot.index,
            seat=slot.seat,
            work=work,
            granted_at=now,
        )
        self._busy[slot.server.name, slot.index] = grant
        return grant

    def _used(self) -> int:
        return len(self._busy) + len(self._occupied_until)

    def _candidate(self, name: ServerName) -> Candidate:
        in_flight = sum(1 for key in self._busy if key[0] == name)
        in_flight += sum(1 for key in self._occupied_until if key[0] == name)
        mine = sum(
            1
            for slots in self._slots.values()
            for slot in slots
            if slot.server.name == name
        )
        return Candidate(
            health=self._health[name], in_flight=in_flight, slots=mine
        )

    def _take_shift_cap(self, work: Work, now: float) -> None:
        """Count a request that crosses regions against its shift's cap."""
        for shift in self._crossed_shifts(work):
            self._take_cap_of(shift, work, now)

    def _crossed_shifts(self, work: Work) -> list[Shift]:
        """Return the shifts into this region that a request counts for.

        A caller of the source region may have entered in another region, by
        a look-up that knew no instance of its own region.
        """
        state = self._snapshot.state
        region = state.of(Zone)[self._zone].region
        sources = {work.source_region, work.origin_region} - {region, None}
        shifts = (
            active_shift(state, work.service, source, region)
            for source in sorted(sources)
        )
        return [shift for shift in shifts if shift is not None]

    def _is_timely(self, grant: Grant, now: float) -> bool:
        """Tell whether a grant is still counted in its shift's window.

        A process that was paused between the grant and the sending would
        add its requests to a later window.
        """
        return now - grant.granted_at <= SHIFT_JITTER_S or not (
            self._crossed_shifts(grant.work)
        )

    def _take_cap_of(self, shift: Shift, work: Work, now: float) -> None:
        name = cap_name(shift)
        cap = held_portion(
            self._snapshot.state,
            name,
            shift.cap_per_s,
            self._zone,
            [s.index for s in self._snapshot.seats if now >= s.short_from],
        )
        limiter = self._shift_limits.setdefault(
            name, WindowLimiter(cap=cap, window_s=SHIFT_WINDOW_S)
        )
        limiter.cap = cap
        if not limiter.try_take(now):
            raise _refusal(
                ResultCode.SHIFT_CAP,
                work,
                f"shift {shift.name} is at this instance's {cap}/s",
            )

    def _free(self, grant: Grant) -> None:
        key = (grant.server.name, grant.slot)
        if self._busy.get(key) is grant:
            del self._busy[key]
        self._serve_queues()

    def _serve_queues(self) -> None:
        if not self._is_current(self._clock.monotonic()):
            return
        for queue in self._queues.values():
            while queue:
                waiter = queue[0]
                try:
                    grant = self._grant(waiter.work, waiter.excluded)
                except ChiverunError:
                    grant = None
                if grant is None:
                    break
                queue.popleft()
                waiter.grant = grant
                waiter.event.set()

    def _expire_occupied(self, now: float) -> None:
        expired = [k for k, v in self._occupied_until.items() if now >= v[0]]
        for key in expired:
            del self._occupied_until[key]

    def _rebuild(self, snapshot: "Snapshot") -> None:
        """Lay out the slots of held seats after a change."""
        state = snapshot.state
        self._slots = {}
        zone = state.of(Zone).get(self._zone)
        if zone is None:
            return
        seats = {seat.index: seat for seat in snapshot.seats}
        names = set()
        for server in state.of(Server).values():
            if server.zone != self._zone:
                continue
            names.add(server.name)
            self._health.setdefault(
                server.name, ServerHealth(name=server.name)
            )
            rows = self._slots.setdefault(server.service, [])
            for index in range(server.slots):
                seat = seats.get(slot_seat(server.name, index, zone.seats))
                if seat is None:
                    continue
                is_long = index < server.long_slots
                rows.append(
                    _Slot(
                        server=server,
                        index=index,
                        seat=seat.index,
                        is_long=is_long,
                        opens_at=seat.long_from
                        if is_long
                        else seat.short_from,
                    )
                )
        for name in set(self._health) - names:
            del self._health[name]
        self._rebuild_region_cap(snapshot, zone)

    def _rebuild_region_cap(self, snapshot: "Snapshot", zone: Zone) -> None:
        region = snapshot.state.of(Region).get(zone.region)
        self._region_cap = None
        if region is not None and region.in_flight_max:
            self._region_cap = held_portion(
                snapshot.state,
                f"region:{region.name}",
                region.in_flight_max,
                self._zone,
                [seat.index for seat in snapshot.seats],
            )


def _may_still_run(end: ExchangeEnd) -> bool:
    """Tell whether the server may still be running the request."""
    match end:
        case exchange.Answered() | exchange.Shed() | exchange.NotSent():
            return False
        case exchange.PeerRefused():
            return False
        case _:
            return True


def _refusal(code: ResultCode, work: Work, reason: str) -> ChiverunError:
    return ChiverunError(
        code,
        f"service {work.service}, class {work.request_class.name}: {reason}",
    )
