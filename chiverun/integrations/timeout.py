"""A time-out that is put off often."""

import asyncio
import math
from collections.abc import Callable


class Timeout:
    """Calls back when its time has passed.

    A timer that fires too early is set again, so that putting it off costs
    nothing.
    """

    def __init__(self, *, on_timeout: Callable[[], None]) -> None:
        self._loop = asyncio.get_running_loop()
        self._on_timeout = on_timeout
        self._timer: asyncio.TimerHandle | None = None
        self._ends_at = math.inf

    def set(self, timeout_s: float) -> None:
        """Call back after this time and not earlier."""
        self._ends_at = self._loop.time() + timeout_s
        if self._timer is None or self._timer.when() > self._ends_at:
            self.clear()
            self._start()

    def clear(self) -> None:
        """Do not call back."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _start(self) -> None:
        self._timer = self._loop.call_at(self._ends_at, self._fire)

    def _fire(self) -> None:
        self._timer = None
        if self._loop.time() < self._ends_at:
            self._start()
        else:
            self._on_timeout()
