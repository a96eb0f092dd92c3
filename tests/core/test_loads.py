"""Tests of the estimated load of a server."""

import unittest

from chiverun.core.loads import LoadEstimate


class LoadEstimateTest(unittest.TestCase):
    def test_report_ages_and_own_requests_count_exactly(self) -> None:
        """Guards against old reports that hide the current load."""
        load = LoadEstimate(in_flight=2)
        load.report(running=4, waiting=3, now=10.0)
        self.assertAlmostEqual(load.total(10.0), 7.0)
        load.in_flight = 1
        self.assertAlmostEqual(load.total(10.0), 6.0)
        self.assertLess(load.total(12.0), 1.5)

    def test_report_below_the_own_requests_is_not_negative(self) -> None:
        load = LoadEstimate(in_flight=5)
        load.report(running=1, waiting=0, now=10.0)
        self.assertEqual(load.total(10.0), 5.0)
