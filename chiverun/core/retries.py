"""Budget for retries and hedges, which add load beyond the first attempt."""

import dataclasses
import threading

BUDGET_RATIO = 0.1
BUDGET_START = 10.0
# Limits the retries that accumulate while few requests fail.
BUDGET_MAX = 20.0
# Default number of entry threads in the settings.
DEFAULT_THREADS = 40
# Share of an instance's threads that long requests may hold.
LONG_THREADS_SHARE = 0.5
# An earlier hedge costs more than it gains.
HEDGE_MIN_S = 0.002
_SCALE = 1000


class RetryBudget:
    """Allows extra attempts as a fraction of first attempts; thread-safe."""

    def __init__(
        self, *, ratio: float = BUDGET_RATIO, start: float = BUDGET_START
    ) -> None:
        # Integers avoid rounding: ten deposits of 0.1 make one attempt.
        self._ratio = round(ratio * _SCALE)
        self._balance = round(start * _SCALE)
        self._lock = threading.Lock()

    def deposit(self) -> None:
        """Count a first attempt."""
        with self._lock:
            most = round(BUDGET_MAX * _SCALE)
            self._balance = min(most, self._balance + self._ratio)

    def withdraw(self) -> bool:
        """Withdraw one extra attempt; return False if the budget is empty."""
        with self._lock:
            if self._balance < _SCALE:
                return False
            self._balance -= _SCALE
            return True

    def refund(self) -> None:
        """Return an extra attempt that was not made to the budget."""
        with self._lock:
            self._balance += _SCALE


@dataclasses.dataclass(frozen=True, kw_only=True)
class HedgePlan:
    """A second attempt, due `delay_s` after the first was sent."""

    delay_s: float


def plan_hedge(
    *,
    repeatable: bool,
    attempts_left: int,
    delay_s: float | None,
    remaining_s: float,
) -> HedgePlan | None:
    """Return the hedge of a request, or None if it may not be hedged.

    Parameters
    ----------
    repeatable : bool
        Whether a request of the class may run more than once.
    attempts_left : int
        Remaining attempts of the class, including the first one.
    delay_s : float or None
        A high quantile of the class's latency; None if it is unknown.
    remaining_s : float
        Seconds until the deadline.
    """
    if not repeatable or attempts_left < 2 or delay_s is None:
        return None
    delay_s = max(HEDGE_MIN_S, delay_s)
    # A hedge with less time than the class usually needs is wasted.
    if 2.0 * delay_s > remaining_s:
        return None
    return HedgePlan(delay_s=delay_s)


class LongThreads:
    """Limits the threads that long requests hold; thread-safe."""

    def __init__(
        self, *, threads: int, share: float = LONG_THREADS_SHARE
    ) -> None:
        self._free = max(1, int(threads * share)) if threads > 1 else 1
        self._lock = threading.Lock()

    def try_enter(self) -> bool:
        """Reserve a thread for a long request; False if none is free."""
        with self._lock:
            if self._free <= 0:
                return False
            self._free -= 1
            return True

    def leave(self) -> None:
        """Release a thread."""
        with self._lock:
            self._free += 1
