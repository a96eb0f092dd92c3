"""Which requests a stopping instance still takes."""

import dataclasses

from chiverun.core.catalog import Route

# Allows for a response that is in transit when the route's timeout expires.
TIMEOUT_SLACK_S = 0.1
# A stopping instance accepts a request if this many times the route's typical
# latency fits into the remaining time. After STOP_LATE_S the whole route
# timeout must fit, since clients have been directed elsewhere by then; that
# of an unrepeatable request always, since nobody could tell whether it ran.
STOP_LATENCY_FACTOR = 4.0
STOP_LATE_S = 2.8


@dataclasses.dataclass(frozen=True, kw_only=True)
class StopProgress:
    """Time since the stop request and serving time left."""

    elapsed_s: float
    remaining_s: float


def may_outlast(
    stopping: StopProgress, route: Route, typical_s: float
) -> bool:
    """Return whether a request may outlast a stopping instance."""
    needed_s = route.timeout_s + TIMEOUT_SLACK_S
    if route.repeatable and stopping.elapsed_s < STOP_LATE_S:
        needed_s = min(needed_s, STOP_LATENCY_FACTOR * typical_s)
    return stopping.remaining_s < needed_s
