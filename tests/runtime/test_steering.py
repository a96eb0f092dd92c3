"""Tests of request handling in a stopping edge instance."""

import unittest

from nose2.tools import params

from chiverun.core.catalog import Part
from chiverun.core.catalog import Route
from chiverun.runtime.steering import may_outlast
from chiverun.runtime.steering import StopProgress

_ROUTE = Route(
    name="r",
    host="h",
    prefix="/p/",
    repeatable=True,
    parts=(Part(service="mill", weight=1.0),),
    timeout_s=1.2,
    objective_s=0.3,
    attempts=2,
    priority=0,
    sticky=True,
    homes=(),
)


class StopTest(unittest.TestCase):
    @params(
        # (seconds since the stop request, seconds until exit, may outlast)
        (0.0, 5.1, False),
        (2.7, 1.0, False),
        (2.7, 0.7, True),
        # Some runs take over 4 times the typical time: 0.85 s at 0.2 s.
        (4.1, 1.0, True),
        (3.0, 1.4, False),
        (4.1, 0.9, True),
    )
    def test_stopping_instance_refuses_requests_that_may_outlast_it(
        self, elapsed_s, remaining_s, expected
    ) -> None:
        """Guards against requests accepted 4 s after SIGTERM and cut at exit.

        Found by inzira-race, trouble-2 with seed 44687999556.
        """
        stopping = StopProgress(elapsed_s=elapsed_s, remaining_s=remaining_s)
        self.assertEqual(expected, may_outlast(stopping, _ROUTE, 0.2))
