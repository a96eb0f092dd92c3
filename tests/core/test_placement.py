"""Tests of placement: stable, fair and equal on all machines."""

import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from nose2.tools import params

from chiverun.core.catalog import Server
from chiverun.core.placement import bounded_key
from chiverun.core.placement import choose_place
from chiverun.core.placement import fair_shares
from chiverun.core.placement import KEY_LENGTH_MAX
from chiverun.core.placement import rendezvous
from tests.records import make_server

_REGIONS = ("a", "b", "c")


def _servers(count: int) -> list[Server]:
    return [make_server(f"s{i}") for i in range(count)]


class FairSharesTest(unittest.TestCase):
    @params(
        # Each region covers its own demand.
        ({"a": 8, "b": 8, "c": 8}, "a", {"a": 1.0}),
        # With a third of the demand and a sixth of the slots, half is moved.
        ({"a": 4, "b": 10, "c": 10}, "a", {"a": 0.5, "b": 0.25, "c": 0.25}),
        ({"a": 4, "b": 10, "c": 10}, "b", {"b": 1.0}),
        # Without any server the source keeps its requests.
        ({}, "a", {"a": 1.0}),
        ({"b": 8}, "a", {"a": 0.0, "b": 1.0}),
    )
    def test_shares(self, capacity, source, expected) -> None:
        demand = dict.fromkeys(_REGIONS, 1.0)
        shares = fair_shares(capacity, demand, source)
        for region in _REGIONS:
            self.assertAlmostEqual(
                shares.get(region, 0.0), expected.get(region, 0.0)
            )

    @settings(derandomize=True)
    @given(
        st.dictionaries(
            st.sampled_from(_REGIONS), st.integers(0, 99), min_size=1
        ),
        st.sampled_from(_REGIONS),
    )
    def test_shares_sum_to_one_and_overload_no_region(
        self, capacity, source
    ) -> None:
        demand = dict.fromkeys(_REGIONS, 1.0)
        shares = fair_shares(capacity, demand, source)
        self.assertAlmostEqual(sum(shares.values()), 1.0)
        total = sum(capacity.values())
        if not total or set(capacity) != set(_REGIONS):
            return
        for region in _REGIONS:
            load = sum(
                fair_shares(capacity, demand, s).get(region, 0.0)
                for s in _REGIONS
            )
            self.assertLessEqual(load, 3 * capacity[region] / total + 1e-6)

    def test_keys_follow_the_shares(self) -> None:
        shares = {"a": 0.5, "b": 0.25, "c": 0.25}
        counts = dict.fromkeys(_REGIONS, 0)
        for i in range(4000):
            counts[choose_place("region", f"k{i}", shares, "a")] += 1
        for region, share in shares.items():
            self.assertAlmostEqual(counts[region] / 4000, share, delta=0.03)

    def test_small_step_moves_few_keys(self) -> None:
        keys = [f"k{i}" for i in range(2000)]
        before = {"a": 0.50, "b": 0.5}
        after = {"a": 0.55, "b": 0.45}
        moved = sum(
            choose_place("region", k, before, "a")
            != choose_place("region", k, after, "a")
            for k in keys
        )
        self.assertLess(moved / len(keys), 0.08)


class RendezvousTest(unittest.TestCase):
    def test_a_lost_server_moves_only_its_own_keys(self) -> None:
        servers = _servers(10)
        for i in range(300):
            before = rendezvous(f"k{i}", servers)
            after = rendezvous(f"k{i}", servers[1:])
            if before[0].name != "s0":
                self.assertEqual(before[0], after[0])

    def test_order_does_not_depend_on_the_listing(self) -> None:
        servers = _servers(10)
        self.assertEqual(
            rendezvous("k", servers), rendezvous("k", servers[::-1])
        )


class BoundedKeyTest(unittest.TestCase):
    def test_long_keys_are_short_and_stay_apart(self):
        """Guards against callers' keys that fill the caches."""
        short = "k" * KEY_LENGTH_MAX
        self.assertEqual(short, bounded_key(short))
        keys = {bounded_key("k" * 15_000 + str(i)) for i in range(1000)}
        self.assertEqual(1000, len(keys))
        self.assertLessEqual(max(map(len, keys)), KEY_LENGTH_MAX)
