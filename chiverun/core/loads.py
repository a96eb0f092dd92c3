"""Load of a backend server as estimated by this machine."""

import dataclasses

from chiverun.core.loadtotals import AGE_MAX_S
from chiverun.core.statednumbers import is_credible_load
from chiverun.core.statednumbers import LOAD_COUNT

# Half-life of a server's report about requests of other machines.
REPORT_HALF_LIFE_S = 0.5
# Weight of a new sample of a server's speed. Single runs differ by several
# times.
RUN_RATIO_WEIGHT = 0.1
RUN_RATIO_MIN = 0.2
RUN_RATIO_MAX = 5.0


@dataclasses.dataclass(kw_only=True)
class LoadEstimate:
    """Requests at a server: an exact own count and a reported rest.

    `regional` counts those of the region's other instances, by the totals of
    the region's hub.
    """

    in_flight: int = 0
    others: float = 0.0
    reported_at: float = float("-inf")
    regional: float = 0.0
    regional_at: float = float("-inf")
    # Part of the last report that the totals did not account for: requests of
    # other regions.
    foreign: float = 0.0
    # Run time at this server, relative to what is usual for the route.
    run_ratio: float = 1.0

    def report(
        self, running: int, waiting: int, now: float, *, slots: int
    ) -> None:
        """Apply a load report that arrived with a response.

        Neither the report nor `in_flight` counts the request of that
        response. A report of more requests than a server with these slots can
        have says nothing.
        """
        if not is_credible_load(running + waiting, slots):
            return
        self.others = max(0.0, running + waiting - self.in_flight)
        self.reported_at = now
        regional = self.regional if self.has_totals(now) else 0.0
        self.foreign = max(0.0, self.others - regional)

    def apply_total(self, regional: float, now: float) -> None:
        """Apply what the hub says of the region's other instances."""
        self.regional = max(0.0, regional)
        self.regional_at = now

    def has_totals(self, now: float) -> bool:
        """Return whether the totals of the hub are recent."""
        return now - self.regional_at <= AGE_MAX_S

    def total(self, now: float) -> float:
        """Return the expected number of requests by the server's reports.

        It forgets quickly, so few requests are refused because of it.
        """
        return self.in_flight + self.others * self._remaining(now)

    def total_by_region(self, now: float) -> float:
        """Return the expected number by the newer of reports and totals.

        It is higher than `total` on average, and only orders servers among
        which the choice is free.
        """
        if not self.has_totals(now) or self.reported_at > self.regional_at:
            return self.total(now)
        foreign = self.foreign * self._remaining(now)
        return self.in_flight + self.regional + foreign

    def forget_reports(self) -> None:
        """Forget what was reported of a process that has ended."""
        self.others = 0.0
        self.reported_at = float("-inf")
        self.regional = 0.0
        self.regional_at = float("-inf")
        self.foreign = 0.0

    def record_run(self, ratio: float) -> None:
        """Record a run time relative to what is usual for its route."""
        sample = min(RUN_RATIO_MAX, max(RUN_RATIO_MIN, ratio))
        self.run_ratio += RUN_RATIO_WEIGHT * (sample - self.run_ratio)

    def _remaining(self, now: float) -> float:
        age_s = max(0.0, now - self.reported_at)
        if age_s > LOAD_COUNT.valid_s:
            return 0.0
        return 0.5 ** (age_s / REPORT_HALF_LIFE_S)
