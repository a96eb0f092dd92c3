"""Tests of a machine's part of a cold server's rate."""

import unittest

from nose2.tools import params

from chiverun.core.coldlimit import ColdLimit


class ColdLimitTest(unittest.TestCase):
    @params((1, 13.7), (3, 13.7), (8, 13.7), (40, 13.7), (78, 17.0))
    def test_cold_server_gets_no_more_than_its_bound(
        self, machines, per_s
    ) -> None:
        names = {f"m{i}" for i in range(machines)}
        limits = [ColdLimit(server="s1", machine=name) for name in names]
        sent: list[float] = []
        for tick in range(500):
            now = tick * 0.01
            for limit in limits:
                if limit.allows(now, per_s, names):
                    limit.record(now)
                    sent.append(now)
        for start in range(0, 400):
            since = start * 0.01
            window = [t for t in sent if since <= t < since + 1.0]
            self.assertLessEqual(len(window), per_s)
        self.assertGreater(len(sent), 0)

    def test_machine_that_does_not_share_the_limit_sends_nothing(self) -> None:
        """Guards against a sum above the limit by machines left out of it."""
        limit = ColdLimit(server="s", machine="m9")
        self.assertFalse(limit.allows(1.0, 20.0, {"m1", "m2"}))
        self.assertTrue(limit.allows(1.0, 20.0, {"m1", "m9"}))
