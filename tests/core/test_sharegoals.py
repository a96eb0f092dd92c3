"""Tests of the shares that even out the use of servers."""

import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from nose2.tools import params

from chiverun.core.demand import ServiceCapacity
from chiverun.core.sharegoals import project
from chiverun.core.sharegoals import ShareSolver

_SLOTS = {"a": 35.0, "b": 168.0, "c": 196.0}


def capacity_of(slots: dict[str, float]) -> ServiceCapacity:
    """Return the capacity of one zone for each region."""
    return ServiceCapacity(
        by_region=slots, by_zone=slots, regions={name: name for name in slots}
    )


def _use(slots, demand, shares) -> dict[str, float]:
    """Return the load of each region, 1 if all are used evenly."""
    total = sum(slots.values()) / sum(demand.values())
    return {
        place: sum(demand[s] * shares[s].get(place, 0.0) for s in demand)
        / slots[place]
        * total
        for place in slots
    }


class SolverTest(unittest.TestCase):
    @params(*_SLOTS)
    def test_even_demand_keeps_its_shares(self, source):
        """Guards against other shares than records give without a surge."""
        capacity = capacity_of(_SLOTS)
        shares = ShareSolver().solve(capacity, dict.fromkeys(_SLOTS, 1.0))
        for place, share in capacity.region_shares(source).items():
            self.assertAlmostEqual(share, shares[source][place], places=3)

    @params(
        {"a": 1.55, "b": 1.0, "c": 0.45},
        {"a": 0.45, "b": 1.55, "c": 1.0},
        {"a": 1.0, "b": 0.45, "c": 1.55},
    )
    def test_surge_is_spread(self, demand):
        """Guards against overload in one region while another has slots."""
        capacity = capacity_of(_SLOTS)
        shares = ShareSolver().solve(capacity, demand)
        even = {s: capacity.region_shares(s) for s in demand}
        worst = max(_use(_SLOTS, demand, shares).values())
        # A third of the excess may stay, since movement has a price as well.
        limit = 1 + (max(_use(_SLOTS, demand, even).values()) - 1) / 3
        self.assertLess(worst, limit)

    def test_region_without_servers(self):
        """Guards against an error or a share for a region without servers."""
        capacity = capacity_of({"b": 10.0, "c": 10.0})
        shares = ShareSolver().solve(capacity, {"a": 1.0, "b": 1.0, "c": 1.0})
        self.assertAlmostEqual(1.0, sum(shares["a"].values()))
        self.assertNotIn("a", shares["a"])

    def test_no_server_at_all(self):
        """Guards against a division by zero while all servers are drained."""
        shares = ShareSolver().solve(capacity_of({}), {"a": 1.0})
        self.assertEqual({"a": {"a": 1.0}}, shares)

    @settings(max_examples=100, derandomize=True, deadline=None)
    @given(st.lists(st.floats(-3, 3), min_size=1, max_size=6))
    def test_projection_gives_shares(self, values):
        """Guards against negative shares or a sum other than 1."""
        row = project({f"r{i}": value for i, value in enumerate(values)})
        self.assertGreaterEqual(min(row.values()), 0.0)
        self.assertAlmostEqual(1.0, sum(row.values()))
