"""Shares of all regions that even out the use of their servers.

`fair_shares` also does so for one moment, but a small change of demand moves
much of what it sends to other regions, and with a bounded speed the shares
then follow too late. Here the requests of all regions share the movement, and
shares stay near those for an even demand: the sum over regions of the squared
excess of load, by capacity, and of the squared distance from these shares is
smallest. All hubs come to the same result from the same figures.
"""

from collections.abc import Mapping

from chiverun.core.demand import ServiceCapacity
from chiverun.core.ids import RegionName

# Weight of the distance from the shares for an even demand. Less moves more
# requests for the same evenness, and the bounded speed makes them late.
DISTANCE_WEIGHT = 0.5
# Steps of the first solution, and of one that starts from the last.
FIRST_STEPS = 100
NEXT_STEPS = 20
# Together with the number of regions, small enough to converge.
STEP = 0.5

Shares = dict[RegionName, float]


class ShareSolver:
    """Computes the shares of one service's regions.

    The last solution is kept only to start the next one from.
    """

    def __init__(self) -> None:
        self._last: dict[RegionName, Shares] = {}

    def solve(
        self, capacity: ServiceCapacity, demand: Mapping[RegionName, float]
    ) -> dict[RegionName, Shares]:
        """Return the shares of each region with demand, by destination.

        Parameters
        ----------
        capacity : ServiceCapacity
            Slots of the service's servers.
        demand : Mapping
            Relative request rate of each region.
        """
        places = {k: v for k, v in capacity.by_region.items() if v > 0}
        total = sum(places.values())
        if total <= 0:
            return {source: {source: 1.0} for source in demand}
        total_demand = sum(demand.values()) or 1.0
        fair = {k: v / total * total_demand for k, v in places.items()}
        base = {
            source: _limited(capacity.region_shares(source), places)
            for source in demand
        }
        is_next = all(
            source in self._last and self._last[source].keys() == places.keys()
            for source in demand
        )
        shares = self._last if is_next else base
        for _ in range(NEXT_STEPS if is_next else FIRST_STEPS):
            shares = _improve(shares, base, fair, demand)
        self._last = shares
        return shares


def _limited(shares: Shares, places: Mapping[RegionName, float]) -> Shares:
    return {place: shares.get(place, 0.0) for place in places}


def _improve(
    shares: Mapping[RegionName, Shares],
    base: Mapping[RegionName, Shares],
    fair: Mapping[RegionName, float],
    demand: Mapping[RegionName, float],
) -> dict[RegionName, Shares]:
    """Return the shares after a projected step down the gradient."""
    step = STEP / max(len(fair), len(demand))
    excess = {
        place: sum(demand[s] * shares[s][place] for s in demand) / want - 1
        for place, want in fair.items()
    }
    improved = {}
    for source in demand:
        row = shares[source]
        slope = {
            place: excess[place]
            + DISTANCE_WEIGHT * (row[place] - base[source][place])
            for place in fair
        }
        mean = sum(slope.values()) / len(slope)
        # A small region's load changes most with a share.
        improved[source] = project(
            {
                place: row[place]
                - step * min(1.0, want) * (slope[place] - mean)
                for place, want in fair.items()
            }
        )
    return improved


def project(row: Mapping[RegionName, float]) -> Shares:
    """Return the nearest shares: none negative, with the sum 1."""
    total = 0.0
    offset = 0.0
    ordered = sorted(row.values(), reverse=True)
    for count, value in enumerate(ordered, start=1):
        total += value
        if value > (total - 1.0) / count:
            offset = (total - 1.0) / count
    return {place: max(0.0, value - offset) for place, value in row.items()}
