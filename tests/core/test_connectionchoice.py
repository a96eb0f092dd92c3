"""Tests of which connections a full listener closes."""

import unittest

from nose2.tools import params

from chiverun.core.activity import Activity
from chiverun.core.callerlimits import CallerLimits
from chiverun.core.callerlimits import entry_limits
from chiverun.core.callerlimits import FILE_DESCRIPTORS
from chiverun.core.callerlimits import service_limits
from chiverun.core.connectionchoice import Candidate
from chiverun.core.connectionchoice import connections_to_close
from chiverun.core.connectionchoice import Standing

_NOW = 100.0
_MIB = 1024 * 1024


def _row(name: str, standing: Standing, since=0.0, host="a") -> Candidate:
    return Candidate(
        connection=name, host=host, standing=standing, since=since
    )


class ConnectionChoiceTest(unittest.TestCase):
    # Guards against a caller cut off while others hold places for nothing.
    @params(
        (("active", Standing.ACTIVE), []),
        (("active", Standing.ACTIVE), ["idle"], ("idle", Standing.IDLE)),
        (
            ("idle", Standing.IDLE),
            ["stalled"],
            ("stalled", Standing.STALLED),
        ),
        (
            ("unused", Standing.UNUSED),
            ["discarding"],
            ("discarding", Standing.DISCARDING, _NOW),
        ),
        # Those that have just come have not had the time to send.
        (("unused", Standing.UNUSED, _NOW), []),
        (("newer", Standing.IDLE, 2.0), ["older"], ("older", Standing.IDLE)),
    )
    def test_order(self, first, closed, *others):
        rows = [_row(*first), *(_row(*other) for other in others)]
        limits = CallerLimits(connections=len(rows))
        self.assertEqual(closed, connections_to_close(rows, limits, _NOW))

    def test_address_with_most_goes_first(self):
        """Guards against one address that takes the places of others."""
        rows = [
            _row(f"crowd-{i}", Standing.IDLE, 50.0 + i, "b") for i in range(7)
        ]
        rows.append(_row("other", Standing.IDLE, 1.0, "a"))
        closed = connections_to_close(rows, CallerLimits(connections=8), _NOW)
        self.assertEqual(["crowd-0"], closed)

    def test_slow_link_has_not_stalled(self):
        """Guards against closing honest callers on slow links."""
        activity = Activity(since=0.0, moved_at=0.0)
        for second in range(1, 20):
            # A link of 5 Mbit/s that 50 connections share.
            activity.note(12_500, float(second))
            self.assertFalse(activity.is_stalled(second + 0.5))
        self.assertTrue(activity.is_stalled(22.0))


class CallerLimitsTest(unittest.TestCase):
    # Guards against listeners that may open more than the process has.
    @params((400, 64 * _MIB), (1024, None), (65_536, 200 * _MIB))
    def test_connections_leave_a_reserve(self, descriptors, memory_bytes):
        entry = entry_limits(
            memory_bytes=memory_bytes, descriptors=descriptors
        )
        service = service_limits(descriptors=descriptors)
        total = 2 * entry.connections + 3 * service.connections
        self.assertLess(total, 1.2 * (descriptors - FILE_DESCRIPTORS))
        self.assertGreaterEqual(service.connections, 8)
