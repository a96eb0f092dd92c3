"""Timer service that calls subscribers periodically."""

import dataclasses
import heapq
import itertools
import threading
from collections.abc import Callable
from typing import TYPE_CHECKING

import logbook

if TYPE_CHECKING:
    from chiverun.core.clock import Clock

_LOG = logbook.Logger("timer")


@dataclasses.dataclass(order=True, kw_only=True)
class _ScheduledCall:
    due_at: float
    order: int
    period_s: float = dataclasses.field(compare=False)
    callback: Callable[[], None] = dataclasses.field(compare=False)


class TimerService:
    """Calls subscribers on one thread; they must not block.

    After a pause of the process, a subscriber is called once rather than once
    per missed period.
    """

    def __init__(self, *, clock: "Clock") -> None:
        self._clock = clock
        self._queue: list[_ScheduledCall] = []
        self._sequence = itertools.count()
        self._changed = threading.Condition()
        self._is_stopping = False
        self._thread = threading.Thread(
            target=self._run, daemon=True, name="timer"
        )

    def subscribe(self, period_s: float, callback: Callable[[], None]) -> None:
        """Call `callback` every `period_s` seconds, first after a period."""
        scheduled = _ScheduledCall(
            due_at=self._clock.monotonic() + period_s,
            order=next(self._sequence),
            period_s=period_s,
            callback=callback,
        )
        with self._changed:
            heapq.heappush(self._queue, scheduled)
            self._changed.notify()

    def start(self) -> None:
        """Start the timer thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop calling subscribers and join the timer thread."""
        with self._changed:
            self._is_stopping = True
            self._changed.notify()
        if self._thread.is_alive():
            self._thread.join(timeout=2)

    def _run(self) -> None:
        while True:
            scheduled = self._wait_for_next()
            if scheduled is None:
                return
            try:
                scheduled.callback()
            except Exception:
                _LOG.exception("timer subscriber failed")
            scheduled.due_at += scheduled.period_s
            now = self._clock.monotonic()
            if scheduled.due_at <= now:
                scheduled.due_at = now + scheduled.period_s
            with self._changed:
                heapq.heappush(self._queue, scheduled)

    def _wait_for_next(self) -> _ScheduledCall | None:
        """Wait for the next due call; return None when stopping."""
        with self._changed:
            while not self._is_stopping:
                now = self._clock.monotonic()
                if self._queue and self._queue[0].due_at <= now:
                    return heapq.heappop(self._queue)
                wait_s = self._queue[0].due_at - now if self._queue else None
                self._changed.wait(wait_s)
        return None
