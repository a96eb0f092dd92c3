"""Bounds shared by all machines, kept by each with a part of its own.

No machine knows the counts of the others, so each uses only its part. The
number of machines that the parts are computed with never falls while
machines are merely out of reach, so a partition cannot raise the sum.
"""

import collections
import dataclasses

from chiverun.core.limits import WindowLimiter
from chiverun.core.placement import unit_hash

# Part of a bound that is used, since windows differ between machines and a
# request can arrive up to a round trip after it was sent.
BUDGET_PART = 0.8
COLD_PART = 0.75
# Length of the window of cold sends: a second and the jitter of arrivals.
COLD_WINDOW_S = 1.25


@dataclasses.dataclass(frozen=True, kw_only=True)
class BudgetBounds:
    """Bounds of a service over all machines.

    In any `window_s` further sends stay below `ratio` x requests + `extra`.
    """

    ratio: float
    extra: float
    window_s: float


class SendBudget:
    """Further sends of one service by this machine."""

    def __init__(self, *, bounds: BudgetBounds) -> None:
        self._bounds = bounds
        self._requests: collections.deque[float] = collections.deque()
        self._further: collections.deque[float] = collections.deque()

    def note_request(self, now: float) -> None:
        """Count a client's request for the service."""
        self._requests.append(now)
        self._expire(now)

    def try_consume(self, now: float, machines: int) -> bool:
        """Take one further send if this machine's part has room."""
        self._expire(now)
        allowed = BUDGET_PART * (
            self._bounds.ratio * len(self._requests)
            + self._bounds.extra / max(1, machines)
        )
        if len(self._further) + 1 > allowed:
            return False
        self._further.append(now)
        return True

    def _expire(self, now: float) -> None:
        since = now - self._bounds.window_s
        for times in (self._requests, self._further):
            while times and times[0] <= since:
                times.popleft()


class ColdLimit:
    """Sends of this machine to one cold server.

    The bound of a cold server is divided into whole sends a window, held by
    as many machines as there are sends, chosen by hash.
    """

    def __init__(self, *, server: str, machine: str) -> None:
        self._server = server
        self._machine = machine
        self._limiter = WindowLimiter(cap=0, window_s=COLD_WINDOW_S)

    def try_consume(
        self, now: float, per_s: float, machines: collections.abc.Collection
    ) -> bool:
        """Admit one send.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        per_s : float
            Requests a second that the server bears from all machines.
        machines : Collection[str]
            Names of all machines, this one included.
        """
        sends = int(per_s * COLD_PART)
        count = max(1, len(machines))
        if sends >= count:
            self._limiter.cap = sends // count
        else:
            ranked = sorted(
                machines, key=lambda name: unit_hash(f"{self._server}\0{name}")
            )
            self._limiter.cap = int(self._machine in ranked[:sends])
        return self._limiter.try_consume(now)
