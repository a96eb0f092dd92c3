"""Tests of the split of a route's requests over services."""

import collections
import unittest

from nose2.tools import params

from chiverun.core.catalog import Part
from chiverun.core.splits import SplitTable


class SplitTableTest(unittest.TestCase):
    @params((90, 10), (50, 50), (1, 3), (100, 0))
    def test_shares_keep_the_weights(self, one, two) -> None:
        table = SplitTable()
        parts = (
            Part(service="a", weight=one),
            Part(service="b", weight=two),
        )
        counts = collections.Counter(
            table.choose("r", parts) for _ in range(400)
        )
        self.assertAlmostEqual(
            counts["a"] / 400, one / (one + two), delta=0.01
        )

    def test_changed_weights_apply_at_once(self) -> None:
        table = SplitTable()
        old = (Part(service="a", weight=9), Part(service="b", weight=1))
        new = (Part(service="b", weight=1), Part(service="c", weight=1))
        for _ in range(50):
            table.choose("r", old)
        counts = collections.Counter(
            table.choose("r", new) for _ in range(100)
        )
        self.assertNotIn("a", counts)
        self.assertAlmostEqual(counts["c"], 50, delta=2)
