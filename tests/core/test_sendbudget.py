"""Tests of limits that machines share without coordination."""

import random
import unittest

from nose2.tools import params

from chiverun.core.sendbudget import BudgetBounds
from chiverun.core.sendbudget import SendBudget

_BOUNDS = BudgetBounds(ratio=0.2, extra=56.0, window_s=10.0)


class SendBudgetTest(unittest.TestCase):
    @params(1, 8, 78)
    def test_sum_over_machines_stays_below_the_bound(self, machines) -> None:
        """Guards against a sum above the limit if all machines use their part.

        The limit must hold in any window.
        """
        rng = random.Random(machines)
        budgets = [SendBudget(bounds=_BOUNDS) for _ in range(machines)]
        requests: list[float] = []
        further: list[float] = []
        for tick in range(3000):
            now = tick * 0.01
            budget = rng.choice(budgets)
            budget.record_request(now)
            requests.append(now)
            while budget.try_consume(now, machines):
                further.append(now)
        for end in range(10, 30):
            in_window = [t for t in further if end - 10 < t <= end]
            asked = [t for t in requests if end - 10 < t <= end]
            self.assertLessEqual(len(in_window), 0.2 * len(asked) + 56.0)

    def test_partition_does_not_raise_the_part(self) -> None:
        budget = SendBudget(bounds=_BOUNDS)
        admitted = sum(budget.try_consume(1.0, 8) for _ in range(100))
        self.assertLessEqual(admitted, 56 // 8)
