"""Tests of the bound on bytes held by all requests of a process."""

import unittest

from nose2.tools import params

from chiverun.core.bytebudget import ByteBudget
from chiverun.core.bytebudget import limit_of
from chiverun.core.bytebudget import STALLED_S

_MIB = 1024 * 1024


class ByteBudgetTest(unittest.TestCase):
    def setUp(self):
        self.budget = ByteBudget(limit=100)
        self.dropped = []

    def _hold(self, name: str, size: int):
        holding = self.budget.hold(lambda: self.dropped.append(name))
        holding.grow(size)
        return holding

    @params((100, []), (101, ["endless"]))
    def test_largest_is_dropped(self, total, dropped):
        """Guards against small requests that fail for an endless one."""
        self._hold("small", 10)
        endless = self._hold("endless", 20)
        endless.grow(total - 30)
        self.assertEqual(dropped, self.dropped)
        self.assertLessEqual(self.budget.used, 100)

    def test_newcomer_drops_the_endless(self):
        """Guards against requests that fail while endless ones hold all."""
        for number in range(5):
            self._hold(f"endless-{number}", 20)
        self._hold("small", 5)
        self.assertEqual(1, len(self.dropped))
        self.assertIn("endless", self.dropped[0])

    def test_pinned_is_not_dropped(self):
        """Guards against dropping the body of a request that is handled."""
        self._hold("handled", 80).pin()
        self._hold("newcomer", 30)
        self.assertEqual(["newcomer"], self.dropped)
        self.assertEqual(80, self.budget.used)

    def test_release(self):
        """Guards against bytes that stay counted after their request."""
        holding = self._hold("a", 60)
        self.assertFalse(self.budget.has_room(41))
        holding.release()
        holding.release()
        self.assertEqual(0, self.budget.used)
        self.assertTrue(self.budget.has_room(100))

    def test_stopped_is_dropped_before_the_larger_that_goes_on(self):
        """Guards against honest uploads that fail for those that stopped."""
        now = 0.0
        budget = ByteBudget(limit=10 * _MIB, clock=lambda: now)
        names = []
        stopped = budget.hold(lambda: names.append("stopped"))
        stopped.grow(2 * _MIB)
        going_on = budget.hold(lambda: names.append("going on"))
        for _ in range(9):
            now += 1.0
            going_on.grow(_MIB)
        self.assertEqual(["stopped"], names)

    def test_newcomer_gets_the_room_of_stalled_ones_only(self):
        """Guards against callers kept out by those that have stopped.

        What still makes progress is not given up for a newcomer.
        """
        now = 0.0
        budget = ByteBudget(limit=100, clock=lambda: now)
        budget.hold(lambda: None).grow(90)
        self.assertFalse(budget.make_room(50))
        now += 2 * STALLED_S
        self.assertTrue(budget.make_room(50))
        self.assertEqual(0, budget.used)

    # Guards against one legal body that the memory of a machine refuses, and
    # against a limit over what the process leaves of it.
    @params((200, 64), (300, 64))
    def test_limit(self, memory_mib, body_mib):
        limit = limit_of(memory_mib * _MIB)
        self.assertGreaterEqual(limit, body_mib * _MIB)
        self.assertLess(limit, (memory_mib - 48) * _MIB)
