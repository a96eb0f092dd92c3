"""Budget for retries and hedges, which add load beyond the first attempt."""

import threading

BUDGET_RATIO = 0.1
BUDGET_START = 10.0
BUDGET_MAX = 100.0


class RetryBudget:
    """Allows extra attempts as a fraction of first attempts; thread-safe."""

    def __init__(
        self, *, ratio: float = BUDGET_RATIO, start: float = BUDGET_START
    ) -> None:
        self._ratio = ratio
        self._balance = start
        self._lock = threading.Lock()

    def deposit(self) -> None:
        """Count a first attempt."""
        with self._lock:
            self._balance = min(BUDGET_MAX, self._balance + self._ratio)

    def withdraw(self) -> bool:
        """Take one extra attempt from the budget, if there is one."""
        with self._lock:
            if self._balance < 1.0:
                return False
            self._balance -= 1.0
            return True
