"""Responses over a link, and the refusal of a stopping instance."""

import unittest

from nose2.tools import params

from chiverun.core.clock import ManualClock
from chiverun.core.errors import Outcome
from chiverun.core.errors import ResultCode
from chiverun.core.links import Links
from chiverun.integrations.web import IncomingRequest
from chiverun.integrations.web import Response
from chiverun.runtime.forward import ForwardHandler
from chiverun.runtime.forward import pace_reply
from tests.core import cap_states


def _outcome(reply: Response) -> tuple[str, str]:
    headers = dict(reply.headers)
    return headers["X-Chiverun-Outcome"], headers["X-Chiverun-Code"]


class PaceReplyTest(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.links = Links(
            zone="b1", clock=self.clock, sleep=self.clock.advance
        )
        # Of 0.8 Mbit/s, requests have 95 kB/s.
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
        return pace_reply(self.links, self.clock, work, run, **changes)

    def test_response_waits_for_the_rate(self):
        """Sent at once, a response would fill the link."""
        reply = self._pace(50_000)
        self.assertEqual(200, reply.status)
        self.assertAlmostEqual(1000.51, self.clock.monotonic(), delta=0.05)

    @params(Outcome.NOT_RUN, Outcome.UNKNOWN)
    def test_request_is_refused_before_it_runs(self, refusal):
        """Run first, a response without room would be lost."""
        self.links.reserve("a", 200_000, 2.0)
        reply = self._pace(10, refusal=refusal)
        expected = (refusal.value, str(int(ResultCode.LINK_CAP)))
        self.assertEqual((0, expected), (self.runs, _outcome(reply)))

    def test_late_response_is_unknown(self):
        """It ran: telling that it did not would be wrong."""
        reply = self._pace(500_000)
        self.assertEqual(Outcome.UNKNOWN.value, _outcome(reply)[0])
        self.assertLessEqual(self.clock.monotonic(), 1002.01)

    def test_failed_run_gives_its_reservation_back(self):
        """Leaked reservations would close the link for ever."""

        def fail() -> Response:
            raise RuntimeError("fault")

        for _ in range(50):
            work = cap_states.work(self.clock, "a")
            with self.assertRaises(RuntimeError):
                pace_reply(self.links, self.clock, work, fail)
        self.assertEqual(1.0, self.links.headroom()["a"])


class RefuseTest(unittest.TestCase):
    def test_stopping_instance_refuses_peers_with_proof(self):
        """Peers that did not hear of the stop would keep it in flight."""
        forward = ForwardHandler(
            zone="b1",
            clock=ManualClock(),
            plane=None,
            executor=None,
            links=None,
            telemetry=None,
            threads=4,
        )
        forward.refuse_new()
        reply = forward.handle(
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
        self.assertEqual(expected, _outcome(reply))
        self.assertEqual(0, forward.in_flight)
