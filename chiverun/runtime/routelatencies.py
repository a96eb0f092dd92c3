"""Typical response and run times of routes, learnt from their requests."""

from chiverun.core.catalog import Route
from chiverun.runtime.selection import RUN_OBJECTIVE_FRACTION

# Weight of a new sample in the moving averages.
SAMPLE_WEIGHT = 0.05
# A sample counts as at most this many times the average.
SAMPLE_FACTOR_MAX = 4


class RouteLatencies:
    """Moving averages by route prefix, in seconds."""

    def __init__(self) -> None:
        self._typical_s: dict[str, float] = {}
        self._run_s: dict[str, float] = {}

    def typical_s(self, route: Route) -> float:
        """Return the typical response time of a route."""
        return self._typical_s.get(route.prefix, route.objective_s / 2)

    def run_s(self, route: Route) -> float:
        """Return its typical time without the wait for a slot."""
        default_s = RUN_OBJECTIVE_FRACTION * route.objective_s
        return self._run_s.get(route.prefix, default_s)

    def record(self, route: Route, *, response_s: float, run_s: float) -> None:
        """Record a successful response."""
        self._typical_s[route.prefix] = _updated(
            self.typical_s(route), response_s
        )
        self._run_s[route.prefix] = _updated(self.run_s(route), run_s)


def _updated(average_s: float, sample_s: float) -> float:
    sample_s = min(sample_s, SAMPLE_FACTOR_MAX * average_s)
    return average_s + SAMPLE_WEIGHT * (sample_s - average_s)
