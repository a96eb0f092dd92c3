"""Tests of the shares of the limits of client accounts."""

import collections
import unittest

from nose2.tools import params

from chiverun.core.catalog import Machine
from chiverun.core.edgesettings import EdgeBounds
from chiverun.core.quotashares import capacity_of
from chiverun.core.quotashares import CAPACITY_PER_SHARE
from chiverun.core.quotashares import excess_of
from chiverun.core.quotashares import ShareTable
from chiverun.core.quotashares import START_PART
from tests.core.quotafleet import make_account


def _machines(count: int, zones: int) -> list[Machine]:
    return [
        Machine(
            name=f"i{n}", peer="p", entry="e", zone=f"z{n % zones}", region="r"
        )
        for n in range(count)
    ]


class ShareTest(unittest.TestCase):
    @params((71, 6, 14.7), (71, 6, 5000.0), (300, 9, 20.0), (1, 1, 1.0))
    def test_each_share_holds_whole_tokens(self, count, zones, capacity):
        """Guards against an account that no instance alone can serve."""
        owners = ShareTable(_machines(count, zones)).owners("a", capacity)
        self.assertTrue(0 < len(owners) <= count)
        if len(owners) < count:
            self.assertGreaterEqual(capacity / len(owners), CAPACITY_PER_SHARE)

    @params("a", "b", "c", "d", "e")
    def test_each_zone_has_its_part_of_a_small_limit(self, account):
        """Guards against a zone that is cut off and has no share."""
        machines = _machines(72, 6)
        zone_of = {m.name: m.zone for m in machines}
        owners = ShareTable(machines).owners(account, 15.0)
        counts = collections.Counter(zone_of[name] for name in owners)
        self.assertEqual({2}, set(counts.values()))
        self.assertEqual(6, len(counts))

    @params((2.0, 0.0), (350.0, 50.0), (0.5, 100.0))
    def test_buckets_hold_less_than_is_allowed(self, per_s, burst):
        """Guards against a capacity that uses up the reserve."""
        account = make_account("a", per_s, burst)
        bounds = EdgeBounds()
        excess = excess_of(account, bounds)
        held = capacity_of(account, bounds) + START_PART * excess
        self.assertLess(held, burst + excess)
