"""Limits on the queues of requests that wait for a slot."""

from typing import TYPE_CHECKING

from chiverun.core.errors import ResultCode
from chiverun.core.health import aged_slowness
from chiverun.core.healthtable import HealthTable
from chiverun.core.ids import ServiceName
from chiverun.core.slots import SlotTable
from chiverun.core.timestable import TimesTable
from chiverun.core.waiting import WaitQueues
from chiverun.core.work import Grant
from chiverun.core.work import rejection
from chiverun.core.work import Work

if TYPE_CHECKING:
    from chiverun.core.snapshot import Snapshot

QUEUE_PER_SLOT_MAX = 8
QUEUE_MIN = 16


class QueueLimits:
    """Queue limits of an instance; methods are called with its lock held."""

    def __init__(
        self,
        *,
        queues: WaitQueues[Work, Grant],
        times: TimesTable,
        slots: SlotTable,
        health: HealthTable,
        waiters_max: int | None,
    ) -> None:
        self.waiters_max = waiters_max
        self._queues = queues
        self._times = times
        self._slots = slots
        self._health = health
        self._cached_slots: dict[tuple[ServiceName, bool], float] = {}

    def clear_cache(self) -> None:
        """Clear the values computed from the previous snapshot."""
        self._cached_slots = {}

    def check(self, snapshot: "Snapshot", work: Work, now: float) -> None:
        """Raise unless a request may wait for a slot.

        Raises
        ------
        ChiverunError
            With a 3xx code; the request has not run.
        """
        slots = self.usable_slots(snapshot, work, now)
        if slots <= 0:
            raise rejection(ResultCode.NO_CAPACITY, work, "no usable server")
        queued = self._queues.length(work.key)
        if queued >= max(QUEUE_MIN, QUEUE_PER_SLOT_MAX * slots):
            raise rejection(ResultCode.QUEUE_FULL, work, f"{queued} queued")
        waiting = sum(n for _, n in self._queues.lengths(work.service))
        if self.waiters_max is not None and waiting >= self.waiters_max:
            raise rejection(
                ResultCode.QUEUE_FULL,
                work,
                f"{waiting} queued for the service",
            )
        wait_s = self.expected_wait_s(work, queued, slots, now)
        if now + wait_s > self._times.latest_start(work, now):
            raise rejection(
                ResultCode.DEADLINE_UNREACHABLE,
                work,
                f"{queued} queued for {slots:.0f} slots",
            )

    def expected_wait_s(
        self, work: Work, queued: int, slots: float, now: float
    ) -> float:
        """Return the expected wait behind the requests queued ahead.

        Queues are served in turn, so at most as many requests of each other
        queue are ahead as of the request's own queue.
        """
        ahead_s = self._times.expected_s(work.key, now)
        for name, length in self._queues.lengths(work.service):
            key = (work.service, name)
            count = min(length, queued + 1) if key != work.key else length
            ahead_s += count * self._times.expected_s(key, now)
        return ahead_s / slots

    def usable_slots(
        self, snapshot: "Snapshot", work: Work, now: float
    ) -> float:
        """Return the slots of usable servers, divided by their slowness.

        The result is cached until the next snapshot, since it depends on all
        servers.
        """
        key = (work.service, work.is_long)
        if key not in self._cached_slots:
            total = 0.0
            for name in self._slots.servers(work.service):
                if self._health.may_use(snapshot, name, now):
                    row = self._slots.server(name)
                    slots = row.long_capacity if work.is_long else row.capacity
                    slowness = aged_slowness(self._health[name], now)
                    total += slots / max(1.0, slowness)
            self._cached_slots[key] = total
        return self._cached_slots[key]
