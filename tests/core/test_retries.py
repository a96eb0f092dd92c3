"""Tests of the retry budget, hedge plans and threads of long requests."""

import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from nose2.tools import params

from chiverun.core.retries import BUDGET_START
from chiverun.core.retries import LongThreads
from chiverun.core.retries import plan_hedge
from chiverun.core.retries import RetryBudget


class BudgetTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(st.lists(st.booleans(), max_size=400))
    def test_against_a_plain_count(self, steps):
        """Guards against more extra attempts than 10% of first ones."""
        budget = RetryBudget()
        firsts = extras = 0
        for is_first in steps:
            if is_first:
                budget.deposit()
                firsts += 1
            else:
                extras += budget.withdraw()
            self.assertLessEqual(10 * extras, 10 * BUDGET_START + firsts)

    def test_ten_first_attempts_pay_for_one_more(self):
        """Guards against rounding: ten times 0.1 is less than 1 in floats."""
        budget = RetryBudget(start=0.0)
        for _ in range(10):
            self.assertFalse(budget.withdraw())
            budget.deposit()
        self.assertTrue(budget.withdraw())

    def test_a_quiet_time_saves_up_no_storm(self):
        budget = RetryBudget()
        for _ in range(10000):
            budget.deposit()
        self.assertLessEqual(sum(budget.withdraw() for _ in range(99)), 20)


class HedgeTest(unittest.TestCase):
    @params(
        (True, 2, 0.02, 2.0, 0.02),
        (True, 2, 0.0001, 2.0, 0.002),
        (False, 2, 0.02, 2.0, None),
        (True, 1, 0.02, 2.0, None),
        (True, 2, None, 2.0, None),
        (True, 2, 0.02, 0.03, None),
    )
    def test_plan(self, repeatable, attempts, delay_s, remaining_s, expected):
        plan = plan_hedge(
            repeatable=repeatable,
            attempts_left=attempts,
            delay_s=delay_s,
            remaining_s=remaining_s,
        )
        self.assertEqual(expected, plan and plan.delay_s)


class LongThreadsTest(unittest.TestCase):
    @params((1, 1), (2, 1), (40, 20), (41, 20))
    def test_long_requests_leave_threads_to_short_ones(self, threads, most):
        """Guards against long requests that hold all of an entry's threads."""
        limit = LongThreads(threads=threads)
        self.assertEqual(most, sum(limit.try_enter() for _ in range(99)))
        limit.leave()
        self.assertTrue(limit.try_enter())
        self.assertFalse(limit.try_enter())
