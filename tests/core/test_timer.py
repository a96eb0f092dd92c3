"""Tests of the timer service."""

import threading
import time
import unittest

import logbook

from chiverun.core.clock import ManualClock
from chiverun.core.clock import SystemClock
from chiverun.core.timer import TimerService


class TimerTest(unittest.TestCase):
    def test_subscriber_that_fails_does_not_stop_others(self) -> None:
        """Guards against a failing subscriber that ends the control tick."""
        done = threading.Event()
        calls = []

        def fail() -> None:
            calls.append("fail")
            raise ValueError("test")

        def count() -> None:
            calls.append("count")
            if calls.count("count") >= 3:
                done.set()

        with logbook.NullHandler().applicationbound():
            timer = TimerService(clock=SystemClock())
            timer.subscribe(0.01, fail)
            timer.subscribe(0.01, count)
            timer.start()
            self.assertTrue(done.wait(5))
            timer.stop()
        self.assertGreaterEqual(calls.count("fail"), 2)
        after = len(calls)
        time.sleep(0.05)
        self.assertEqual(after, len(calls))

    def test_one_call_after_a_pause(self) -> None:
        """Guards against a burst of calls for missed periods."""
        clock = ManualClock()
        timer = TimerService(clock=clock)
        calls = []
        timer.subscribe(1.0, lambda: calls.append(clock.monotonic()))
        clock.advance(60.0)
        timer.start()
        limit = time.monotonic() + 5
        while not calls and time.monotonic() < limit:
            time.sleep(0.01)
        time.sleep(0.05)
        timer.stop()
        self.assertEqual(1, len(calls))
