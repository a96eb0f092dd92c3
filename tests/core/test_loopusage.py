"""Tests of the accounting of the event loop's time."""

import unittest

from chiverun.core.loopusage import LoopPart
from chiverun.core.loopusage import LoopUsage
from chiverun.core.loopusage import PeerName
from chiverun.core.loopusage import Source


class LoopUsageTest(unittest.TestCase):
    def test_largest_source_comes_first(self) -> None:
        """Guards against a log line that names a harmless peer."""
        usage = LoopUsage()
        server = Source(part=LoopPart.SERVERS, peer=PeerName("10.0.0.1:80"))
        caller = Source(part=LoopPart.CALLERS, peer=PeerName("10.0.0.9:80"))
        usage.add(caller, 0.3)
        usage.add(server, 0.2, events=5)
        usage.add(server, 0.2, events=6)
        rows = usage.take()
        self.assertEqual([server, caller], [row.source for row in rows])
        self.assertEqual([11, 1], [row.events for row in rows])
        self.assertAlmostEqual(0.4, rows[0].seconds)

    def test_usage_is_taken_once(self) -> None:
        """Guards against usage that is blamed for a later delay, too."""
        usage = LoopUsage()
        usage.add(Source(part=LoopPart.STORE), 1.0)
        usage.take()
        self.assertEqual([], usage.take())
