"""Budget for retries and hedges, which add load beyond the first attempt."""

import dataclasses
import threading

BUDGET_RATIO = 0.1
BUDGET_START = 10.0
# Bounds the burst of retries that an instance saves up while all is well.
BUDGET_MAX = 20.0
# As the settings have it for the entry.
DEFAULT_THREADS = 40
# A share of an instance's threads that long requests may hold.
LONG_THREADS_SHARE = 0.5
# A hedge sooner than this costs more than it can gain.
HEDGE_MIN_S = 0.002
_UNIT = 1000


class RetryBudget:
    """Allows extra attempts as a fraction of first attempts; thread-safe."""

    def __init__(
        self, *, ratio: float = BUDGET_RATIO, start: float = BUDGET_START
    ) -> None:
        # Whole numbers, so that ten deposits of 0.1 are one attempt.
        self._ratio = round(ratio * _UNIT)
        self._balance = round(start * _UNIT)
        self._lock = threading.Lock()

    def deposit(self) -> None:
        """Count a first attempt."""
        with self._lock:
            most = round(BUDGET_MAX * _UNIT)
            self._balance = min(most, self._balance + self._ratio)

    def withdraw(self) -> bool:
        """Take one extra attempt from the budget, if there is one."""
        with self._lock:
            if self._balance < _UNIT:
                return False
            self._balance -= _UNIT
            return True

    def refund(self) -> None:
        """Put back an extra attempt that was not made."""
        with self._lock:
            self._balance += _UNIT


@dataclasses.dataclass(frozen=True, kw_only=True)
class HedgePlan:
    """A second attempt is due `delay_s` after the first was sent."""

    delay_s: float


def plan_hedge(
    *,
    repeatable: bool,
    attempts_left: int,
    delay_s: float | None,
    remaining_s: float,
) -> HedgePlan | None:
    """Decide whether a request may be hedged.

    Parameters
    ----------
    repeatable : bool
        Whether its class may run more than once.
    attempts_left : int
        Attempts that the class still allows, the first one included.
    delay_s : float or None
        A high quantile of its class's latency; None if it is not known.
    left_s : float
        Seconds until its deadline.
    """
    if not repeatable or attempts_left < 2 or delay_s is None:
        return None
    delay_s = max(HEDGE_MIN_S, delay_s)
    # A hedge that has less time than the class usually needs is wasted.
    if 2.0 * delay_s > remaining_s:
        return None
    return HedgePlan(delay_s=delay_s)


class LongThreads:
    """Bounds the threads that long requests hold; thread-safe."""

    def __init__(
        self, *, threads: int, share: float = LONG_THREADS_SHARE
    ) -> None:
        self._free = max(1, int(threads * share)) if threads > 1 else 1
        self._lock = threading.Lock()

    def try_enter(self) -> bool:
        """Take a thread for a long request, if one is left."""
        with self._lock:
            if self._free <= 0:
                return False
            self._free -= 1
            return True

    def leave(self) -> None:
        """Give a thread back."""
        with self._lock:
            self._free += 1
