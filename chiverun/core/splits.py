"""Exact division of a route's requests over the parts of its split."""

from chiverun.core.catalog import Part
from chiverun.core.ids import ServiceName


class SplitTable:
    """Smooth weighted round robin for each route.

    Each machine applies the weights independently, so the total over all
    machines follows them as well.
    """

    def __init__(self) -> None:
        self._credits: dict[str, dict[ServiceName, float]] = {}

    def choose(self, route: str, parts: tuple[Part, ...]) -> ServiceName:
        """Return the service for the next request of a route."""
        if len(parts) == 1:
            return parts[0].service
        total = sum(part.weight for part in parts)
        credit = self._credits.setdefault(route, {})
        for name in set(credit) - {part.service for part in parts}:
            del credit[name]
        for part in parts:
            credit[part.service] = (
                credit.get(part.service, 0.0) + part.weight / total
            )
        best = max(parts, key=lambda part: credit[part.service]).service
        credit[best] -= 1.0
        return best
