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
class _Due:
    at: float
    order: int
    period_s: float = dataclasses.field(compare=False)
    call: Callable[[], None] = dataclasses.field(compare=False)


class TimerService:
    """Calls subscribers on one thread; they must not block.

    After a pause of the process, a subscriber is called once rather than once
    per missed period.
    """

    def __init__(self, *, clock: "Clock") -> None:
        self._clock = clock
        self._due: list[_Due] = []
        self._order = itertools.count()
        self._changed = threading.Condition()
        self._stopping = False
        self._thread = threading.Thread(
            target=self._run, daemon=True, name="timer"
        )

    def subscribe(self, period_s: float, call: Callable[[], None]) -> None:
        """Call `call` every `period_s` seconds, starting after one period."""
        due = _Due(
            at=self._clock.monotonic() + period_s,
            order=next(self._order),
            period_s=period_s,
            call=call,
        )
        with self._changed:
            heapq.heappush(self._due, due)
            self._changed.notify()

    def start(self) -> None:
        """Start the timer thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop calling subscribers and join the timer thread."""
        with self._changed:
            self._stopping = True
            self._changed.notify()
        if self._thread.is_alive():
            self._thread.join(timeout=2)

    def _run(self) -> None:
        while True:
            due = self._next()
            if due is None:
                return
            try:
                due.call()
            except Exception:
                _LOG.exception("timer subscriber failed")
            due.at += due.period_s
            now = self._clock.monotonic()
            if due.at <= now:
                due.at = now + due.period_s
            with self._changed:
                heapq.heappush(self._due, due)

    def _next(self) -> _Due | None:
        """Wait for the next due call; return None when stopping."""
        with self._changed:
            while not self._stopping:
                now = self._clock.monotonic()
                if self._due and self._due[0].at <= now:
                    return heapq.heappop(self._due)
                wait_s = self._due[0].at - now if self._due else None
                self._changed.wait(wait_s)
        return None
