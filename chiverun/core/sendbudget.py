"""Budget of retries and hedges, of which each machine has its own part.

No machine knows the counts of the others, so each uses only its part. Machines
that are merely unreachable still count when the parts are computed, so a
partition cannot raise the sum.
"""

import collections
import dataclasses

# Usable part of a limit. The rest is a margin, since windows differ between
# machines and a request can arrive up to a round trip after it was sent.
BUDGET_PART = 0.8


@dataclasses.dataclass(frozen=True, kw_only=True)
class BudgetBounds:
    """Limits of a service over all machines.

    In any `window_s`, retries and hedges stay below `ratio` x requests +
    `extra`.
    """

    ratio: float
    extra: float
    window_s: float


class SendBudget:
    """Budget of this machine for retries and hedges of one service."""

    def __init__(self, *, bounds: BudgetBounds) -> None:
        self._bounds = bounds
        self._requests: collections.deque[float] = collections.deque()
        self._extra_sends: collections.deque[float] = collections.deque()

    def record_request(self, now: float) -> None:
        """Count a client's request for the service."""
        self._requests.append(now)
        self._expire(now)

    def try_consume(self, now: float, machines: int) -> bool:
        """Admit one retry or hedge if this machine's part allows it."""
        if not self.allows(now, machines):
            return False
        self._extra_sends.append(now)
        return True

    def allows(self, now: float, machines: int) -> bool:
        """Return whether `try_consume` would admit a retry or hedge."""
        self._expire(now)
        allowed = BUDGET_PART * (
            self._bounds.ratio * len(self._requests)
            + self._bounds.extra / max(1, machines)
        )
        return len(self._extra_sends) + 1 <= allowed

    def _expire(self, now: float) -> None:
        since = now - self._bounds.window_s
        for times in (self._requests, self._extra_sends):
            while times and times[0] <= since:
                times.popleft()
