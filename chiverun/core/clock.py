"""Clock interface and its implementations."""

import time
from typing import Protocol


class Clock(Protocol):
    """A monotonic and a wall clock, both in seconds."""

    def monotonic(self) -> float: ...

    def wall(self) -> float: ...


class SystemClock:
    """The clocks of the operating system.

    CLOCK_MONOTONIC advances while the process is stopped by a signal, so a
    pause shows as a jump.
    """

    def monotonic(self) -> float:
        return time.monotonic()

    def wall(self) -> float:
        return time.time()


class ManualClock:
    """A clock that is advanced explicitly, for tests and replays."""

    def __init__(self, *, start: float = 1000.0) -> None:
        self._now = start

    def monotonic(self) -> float:
        return self._now

    def wall(self) -> float:
        return self._now

    def advance(self, seconds: float) -> None:
        """Move both clocks forward by `seconds`."""
        self._now += seconds
