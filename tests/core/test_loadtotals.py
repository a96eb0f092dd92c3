"""Tests of the sums of requests in flight."""

import unittest

from nose2.tools import params

from chiverun.core.loadtotals import AGE_MAX_S
from chiverun.core.loadtotals import changed_counts
from chiverun.core.loadtotals import LoadCounts
from chiverun.core.loadtotals import LoadTotals
from chiverun.core.loadtotals import TransitAge


def _counts(counts, number=1, sent_at=0.0, is_complete=False, **fields):
    values = {"sender": "m1", "boot_id": "x", **fields}
    return LoadCounts(
        number=number,
        sent_at=sent_at,
        counts=counts,
        is_complete=is_complete,
        **values,
    )


class LoadTotalsTest(unittest.TestCase):
    def setUp(self):
        self.totals = LoadTotals()

    def _totals(self, now: float) -> dict[str, int]:
        return self.totals.totals(now, AGE_MAX_S)

    def test_sums_of_instances(self):
        """Guards against counts of one instance that replace another's."""
        self.totals.record(_counts({"s": 2, "t": 1}), 0.0)
        self.totals.record(_counts({"s": 3}, sender="m2"), 0.0)
        self.assertEqual({"s": 5, "t": 1}, self._totals(0.5))

    def test_silent_instance_is_dropped(self):
        """Guards against requests of an instance that has ended."""
        self.totals.record(_counts({"s": 2}), 0.0)
        self.assertEqual({}, self._totals(AGE_MAX_S + 0.1))

    def test_changes_and_complete_messages(self):
        """Guards against counts that stay after a lost message."""
        self.totals.record(_counts({"s": 2, "t": 1}, is_complete=True), 0.0)
        self.totals.record(_counts({"s": 0}, number=2, sent_at=0.2), 0.2)
        self.assertEqual({"t": 1}, self._totals(0.2))
        message = _counts({"u": 4}, number=9, sent_at=0.4, is_complete=True)
        self.totals.record(message, 0.4)
        self.assertEqual({"u": 4}, self._totals(0.4))

    @params((1, 0.0), (2, -AGE_MAX_S - 0.1))
    def test_late_message_is_dropped(self, number, sent_at):
        """Guards against old counts: overtaken, or long on their way."""
        self.totals.record(_counts({"s": 2}), 0.0)
        late = _counts({"s": 9}, number=number, sent_at=sent_at)
        self.totals.record(late, 0.1)
        self.assertEqual({"s": 2}, self._totals(0.1))

    @params((2**53, 500.2), (2, 1e9), (2, 0.0), (2**53, 1e9))
    def test_wrong_message_does_not_mute_its_sender(self, number, sent_at):
        """Guards against a number after which all later ones seem old."""
        self.totals.record(_counts({"s": 2}, number=1, sent_at=500.0), 0.0)
        wrong = _counts({"s": 9}, number=number, sent_at=sent_at)
        self.totals.record(wrong, 0.2)
        sound = _counts({"s": 3}, number=3, sent_at=500.4)
        self.totals.record(sound, 0.4)
        self.assertEqual({"s": 3}, self._totals(0.4))

    def test_complete_message_makes_up_for_lost_ones(self):
        """Guards against a wrong sum that nobody knows to be corrected."""
        rows = (
            (1, True, False),
            (2, False, False),
            (3, True, False),
            (5, False, False),
            (6, True, True),
            (7, True, False),
            (9, True, True),
        )
        for number, is_complete, makes_up in rows:
            message = _counts({"s": 1}, number=number, is_complete=is_complete)
            got = self.totals.record(message, 0.0)
            self.assertEqual(makes_up, got, number)

    def test_restarted_instance_starts_over(self):
        """Guards against a new process whose numbers are lower."""
        self.totals.record(_counts({"s": 2}, number=50), 0.0)
        self.totals.record(_counts({"t": 1}, boot_id="y"), 0.1)
        self.assertEqual({"t": 1}, self._totals(0.1))


class TransitAgeTest(unittest.TestCase):
    def test_age_counts_from_the_fastest_message(self):
        """Guards against ages that depend on the clocks of two machines."""
        age = TransitAge()
        self.assertAlmostEqual(0.0, age.of(1000.0, 5.0))
        self.assertAlmostEqual(0.3, age.of(1000.2, 5.5), places=2)

    def test_drift_of_clocks_is_forgotten(self):
        """Guards against messages of hours that all count as late."""
        age = TransitAge()
        age.of(0.0, 0.0)
        for second in range(0, 36_000, 10):
            late_s = age.of(second * (1 - 5e-5), float(second))
        self.assertLess(late_s, 0.1)


class ChangedCountsTest(unittest.TestCase):
    @params(
        # (sent, now, changed)
        ({}, {"s": 3}, {}),
        ({}, {"s": 4}, {"s": 4}),
        ({"s": 3}, {}, {}),
        ({"s": 4}, {"s": 5}, {}),
        ({"s": 4}, {"s": 6}, {"s": 6}),
        ({"s": 6}, {"s": 4}, {"s": 4}),
        ({"s": 4}, {}, {"s": 0}),
        ({"s": 3}, {"s": 3}, {}),
        ({}, {"unknown": 1}, {"unknown": 1}),
    )
    def test_changes(self, sent, counts, changed):
        """Guards against busy servers whose changes are not told."""
        result = changed_counts(sent, counts, {"s": 4})
        self.assertEqual(changed, result)
