"""Tests of responses over a link and of the refusal while stopping."""

import unittest

from nose2.tools import params

from chiverun.core.clock import ManualClock
from chiverun.core.errors import Outcome
from chiverun.core.errors import ResultCode
from chiverun.core.links import Links
from chiverun.integrations.web import IncomingRequest
from chiverun.integrations.web import Response
from chiverun.runtime.forward import ForwardHandler
from chiverun.runtime.forward import pace_response
from tests.core import cap_states


def _outcome(response: Response) -> tuple[str, str]:
    headers = dict(response.headers)
    return headers["X-Chiverun-Outcome"], headers["X-Chiverun-Code"]


class PaceResponseTest(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.links = Links(
            zone="b1", clock=self.clock, sleep=self.clock.advance
        )
        # Of 0.8 Mbit/s, 95 kB/s are left for requests.
        self.state = cap_states.make_state(mbit_per_s=0.8)
        self.links.update(
            cap_states.snapshot(self.state, 1000.0, range(cap_states.SEATS))
        )
        self.runs = 0

    def _pace(self, size: int, **changes) -> Response:
        def run() -> Response:
            self.runs += 1
            return Response(status=200, body=b"x" * size)

        work = cap_states.work(self.clock, "a", deadline_s=2.0)
        return pace_response(self.links, self.clock, work, run, **changes)

    def test_response_waits_for_the_rate(self):
        """Guards against a response that exceeds the rate of the link."""
        response = self._pace(50_000)
        self.assertEqual(200, response.status)
        self.assertAlmostEqual(1000.51, self.clock.monotonic(), delta=0.05)

    @params(Outcome.NOT_RUN, Outcome.UNKNOWN)
    def test_request_is_refused_before_it_runs(self, refusal_outcome):
        """Guards against a run whose response the link cannot carry."""
        self.links.reserve("a", 200_000, 2.0)
        response = self._pace(10, refusal_outcome=refusal_outcome)
        expected = (refusal_outcome.value, str(int(ResultCode.LINK_CAP)))
        self.assertEqual((0, expected), (self.runs, _outcome(response)))

    def test_late_response_is_unknown(self):
        """Guards against the outcome "not run" for a request that has run."""
        response = self._pace(500_000)
        self.assertEqual(Outcome.UNKNOWN.value, _outcome(response)[0])
        self.assertLessEqual(self.clock.monotonic(), 1002.01)

    def test_failed_run_cancels_its_reservation(self):
        """Guards against leaked reservations, which would block the link."""

        def fail() -> Response:
            raise RuntimeError("fault")

        for _ in range(50):
            work = cap_states.work(self.clock, "a")
            with self.assertRaises(RuntimeError):
                pace_response(self.links, self.clock, work, fail)
        self.assertEqual(1.0, self.links.headroom()["a"])


class RefuseTest(unittest.TestCase):
    def test_stopping_instance_refuses_peers_with_proof(self):
        """Guards against a stop delayed by peers that do not know of it."""
        forward = ForwardHandler(
            zone="b1",
            clock=ManualClock(),
            plane=None,
            executor=None,
            links=None,
            telemetry=None,
            threads=4,
        )
        forward.refuse_new_requests()
        response = forward.handle(
            IncomingRequest(
                method="GET",
                path="/f/s/read",
                query="",
                headers={},
                body=b"",
                remote="",
            )
        )
        expected = (Outcome.NOT_RUN.value, str(int(ResultCode.LEAVING)))
        self.assertEqual(expected, _outcome(response))
        self.assertEqual(0, forward.in_flight)
