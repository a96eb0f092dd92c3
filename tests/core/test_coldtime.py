"""Tests of the time for which a server counts as cold."""

import unittest

from chiverun.core.coldtime import ColdTime


class ColdTimeTest(unittest.TestCase):
    def test_next_statement_replaces_a_wrong_one(self):
        """Guards against a cold time that outlasts the next right one."""
        for apply in (ColdTime.apply_check, ColdTime.apply_answer):
            for next_s in (0.0, 1.0):
                cold = ColdTime()
                apply(cold, 6.0, sent_at=9.9, now=10.0)
                self.assertEqual(16.0, cold.until)
                apply(cold, next_s, sent_at=10.1, now=10.2)
                self.assertEqual(10.2 + next_s, cold.until)

    def test_overtaken_statement_does_not_shorten(self):
        """Guards against a cold server that is flooded too early.

        The shorter time is that of a request sent before the longer one was
        heard.
        """
        cold = ColdTime()
        cold.apply_answer(3.0, sent_at=9.9, now=10.0)
        cold.apply_answer(0.0, sent_at=9.8, now=10.1)
        self.assertEqual(13.0, cold.until)

    def test_sources_do_not_end_each_other(self):
        """Guards against an answer that ends what a health check has told.

        Answers to requests do not name the cold time.
        """
        cold = ColdTime()
        cold.apply_check(3.0, sent_at=9.9, now=10.0)
        cold.apply_answer(0.0, sent_at=10.1, now=10.2)
        self.assertEqual(13.0, cold.until)
        cold.recorded_until = 14.0
        self.assertEqual(14.0, cold.until)
        cold.recorded_until = 11.0
        self.assertEqual(13.0, cold.until)
