"""Tests of the limits for callers."""

import unittest

from nose2.tools import params

from chiverun.core.listenerlimits import default_connections
from chiverun.core.listenerlimits import LineLimit
from chiverun.core.listenerlimits import Listener
from chiverun.core.listenerlimits import ListenerLimits
from chiverun.core.listenerlimits import Progress
from chiverun.core.listenerlimits import split_limits
from chiverun.core.listenerlimits import Stage

_LIMITS = ListenerLimits(
    idle_s=30.0, head_s=10.0, progress_s=10.0, progress_bytes_per_s=1024
)


class CallerLimitsTest(unittest.TestCase):
    @params(
        (Stage.IDLE, 29.0, False),
        (Stage.IDLE, 31.0, True),
        (Stage.HEAD, 5.0, False),
        (Stage.HEAD, 11.0, True),
        (Stage.HANDLING, 9999.0, False),
        (Stage.BODY, 11.0, True),
        (Stage.WRITING, 11.0, True),
    )
    def test_stopped_caller_is_late(self, stage, at, is_late):
        """Guards against callers that hold a connection without an end, and
        against closing those within the limits.
        """
        progress = Progress()
        progress.begin(stage, 0.0)
        self.assertEqual(is_late, progress.is_late(_LIMITS, at))

    @params((1, True), (1023, True), (1024, False), (600_000, False))
    def test_slow_body_is_late(self, bytes_per_s, is_late):
        """Guards against bodies that are sent byte by byte."""
        progress = Progress()
        progress.begin(Stage.BODY, 0.0)
        late = False
        for second in range(1, 61):
            progress.move(bytes_per_s)
            late = late or progress.is_late(_LIMITS, float(second))
        self.assertEqual(is_late, late)

    def test_stopped_caller_costs_more_than_moving_one(self):
        """Guards against refusing a well-behaved caller for memory."""
        stopped = Progress(held_bytes=900_000)
        stopped.begin(Stage.BODY, 0.0)
        moving = Progress(held_bytes=900_000)
        moving.begin(Stage.BODY, 5.0)
        handled = Progress(held_bytes=900_000)
        handled.begin(Stage.HANDLING, 0.0)
        costs = [row.memory_cost(6.0) for row in (stopped, moving, handled)]
        self.assertEqual(sorted(costs, reverse=True), costs)
        self.assertEqual(0.0, costs[-1])

    @params(256, 1024, 20_000, 1_000_000)
    def test_listeners_leave_descriptors(self, descriptors):
        """Guards against callers that use up descriptors of the rest."""
        total = default_connections(descriptors)
        parts = [
            split_limits(
                listener,
                connections=total,
                address_connections=None,
                held_bytes=1000,
            )
            for listener in Listener
        ]
        used = sum(part.connections for part in parts)
        self.assertLess(used, descriptors)
        self.assertLessEqual(sum(part.held_bytes for part in parts), 1000)
        for part in parts:
            self.assertLess(part.address_connections, part.connections)

    def test_repeated_lines_are_limited(self):
        """Guards against a crowd that fills the log."""
        lines = LineLimit(lines_per_s=2)
        admitted = [lines.admit("a", 0.1) for _ in range(5)]
        self.assertEqual([0, 0, None, None, None], admitted)
        self.assertEqual(0, lines.admit("b", 0.1))
        self.assertEqual(3, lines.admit("a", 1.1))
