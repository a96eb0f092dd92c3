"""Load of a backend server as estimated by this machine."""

import dataclasses

# Half-life of a server's report about requests of other machines.
REPORT_HALF_LIFE_S = 0.5


@dataclasses.dataclass(kw_only=True)
class LoadEstimate:
    """Requests at a server: an exact own count and a reported rest."""

    in_flight: int = 0
    others: float = 0.0
    reported_at: float = float("-inf")

    def report(self, running: int, waiting: int, now: float) -> None:
        """Apply a load report that arrived with a response.

        Neither the report nor `in_flight` counts the request of that
        response.
        """
        self.others = max(0.0, running + waiting - self.in_flight)
        self.reported_at = now

    def total(self, now: float) -> float:
        """Return the expected number of requests at the server."""
        age_s = max(0.0, now - self.reported_at)
        return self.in_flight + self.others * 0.5 ** (
            age_s / REPORT_HALF_LIFE_S
        )
