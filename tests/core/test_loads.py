"""Tests of the estimated load of a server."""

import unittest

from chiverun.core.loads import LoadEstimate
from chiverun.core.statednumbers import LOAD_COUNT


class LoadEstimateTest(unittest.TestCase):
    def test_report_ages_and_own_requests_count_exactly(self) -> None:
        """Guards against old reports that hide the current load."""
        load = LoadEstimate(in_flight=2)
        load.report(running=4, waiting=3, now=10.0, slots=4)
        self.assertAlmostEqual(load.total(10.0), 7.0)
        load.in_flight = 1
        self.assertAlmostEqual(load.total(10.0), 6.0)
        self.assertLess(load.total(12.0), 1.5)

    def test_absurd_report_says_nothing(self) -> None:
        """Guards against a wrong load that keeps a server unused for good."""
        load = LoadEstimate(in_flight=1)
        for running, waiting in ((10**9, 0), (0, 10**200), (10**400, 1)):
            load.report(running=running, waiting=waiting, now=10.0, slots=4)
            self.assertEqual(1.0, load.total(10.0))
        load.report(running=0, waiting=500, now=10.0, slots=4)
        self.assertGreater(load.total(10.1), 400.0)
        self.assertEqual(1.0, load.total(10.1 + LOAD_COUNT.valid_s))

    def test_report_below_the_own_requests_is_not_negative(self) -> None:
        load = LoadEstimate(in_flight=5)
        load.report(running=1, waiting=0, now=10.0, slots=4)
        self.assertEqual(load.total(10.0), 5.0)

    def test_totals_count_until_a_newer_report(self) -> None:
        """Guards against a report that is older than the totals."""
        load = LoadEstimate(in_flight=1)
        load.report(running=1, waiting=0, now=10.0, slots=4)
        load.apply_total(8, 10.1)
        self.assertAlmostEqual(load.total_by_region(10.1), 9.0)
        load.report(running=4, waiting=1, now=10.2, slots=4)
        self.assertAlmostEqual(load.total_by_region(10.2), 5.0)

    def test_requests_of_other_regions_add_to_the_totals(self) -> None:
        """Guards against servers that only seem idle to one region."""
        load = LoadEstimate()
        load.apply_total(3, 10.0)
        load.report(running=4, waiting=5, now=10.1, slots=4)
        load.apply_total(3, 10.2)
        self.assertGreater(load.total_by_region(10.2), 8.0)
        load.apply_total(3, 14.0)
        self.assertLess(load.total_by_region(14.0), 3.2)

    def test_old_totals_are_not_used(self) -> None:
        """Guards against totals of a hub that has ended."""
        load = LoadEstimate()
        load.apply_total(12, 10.0)
        self.assertEqual(load.total_by_region(11.1), 0.0)

    def test_totals_do_not_change_what_is_refused(self) -> None:
        """Guards against refusals and spills by the better estimate."""
        load = LoadEstimate(in_flight=2)
        load.apply_total(12, 10.0)
        self.assertEqual(load.total(10.0), 2.0)
