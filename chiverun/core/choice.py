"""Choice of a backend server among those with a free slot."""

import dataclasses
import random
from collections.abc import Sequence

from chiverun.core.health import ServerHealth
from chiverun.core.health import slow_start_share
from chiverun.core.health import Standing
from chiverun.core.health import standing

# Part of choices that go to the less recently measured candidate, so that a
# server that has become fast again is noticed.
EXPLORE_RATIO = 0.02


@dataclasses.dataclass(frozen=True, kw_only=True)
class Candidate:
    """A server with at least one free slot of this instance."""

    health: ServerHealth
    in_flight: int
    slots: int


def choose(
    candidates: Sequence[Candidate], now: float, rng: random.Random
) -> Candidate | None:
    """Choose a server: power of two choices by expected latency.

    Servers that are ejected or draining are left out. If all others are
    ejected, one of the ejected is tried, since a wrong ejection of all must
    not stop a service; draining ones are never tried.
    """
    usable = [c for c in candidates if _may_start(c, now)]
    if not usable:
        usable = [
            c
            for c in candidates
            if standing(c.health, now) is Standing.EJECTED and c.in_flight == 0
        ]
    if not usable:
        return None
    if len(usable) == 1:
        return usable[0]
    first, second = rng.sample(usable, 2)
    if rng.random() < EXPLORE_RATIO:
        return min(first, second, key=lambda c: c.health.samples)
    return min(first, second, key=expected_latency_s)


def expected_latency_s(candidate: Candidate) -> float:
    """Return the smoothed latency, raised by the requests in flight."""
    load = candidate.in_flight / candidate.slots
    return candidate.health.latency_s * (1.0 + load)


def _may_start(candidate: Candidate, now: float) -> bool:
    if standing(candidate.health, now) is not Standing.OPEN:
        return False
    share = slow_start_share(candidate.health, now)
    return candidate.in_flight < max(1.0, share * candidate.slots)
