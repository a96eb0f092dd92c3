"""Tests of hedged requests over real HTTP to stand-in backend servers."""

import threading
import time
import unittest

from nose2.tools import params

from chiverun.core.admission import Admission
from chiverun.core.clock import SystemClock
from chiverun.core.exchange import Answered
from chiverun.core.exchange import NotSent
from chiverun.core.exchange import Reset
from chiverun.core.exchange import Shed
from chiverun.core.exchange import ShedReason
from chiverun.core.retries import RetryBudget
from chiverun.integrations.backend import HttpBackends
from chiverun.integrations.network import AddressMap
from chiverun.integrations.telemetry import Telemetry
from chiverun.runtime.execution import Executor
from chiverun.runtime.execution import ForwardedContent
from chiverun.runtime.execution import HedgeLimits
from chiverun.runtime.hedging import HedgePool
from standins import backend as standin
from tests.core.zones import BOOK
from tests.core.zones import READ
from tests.core.zones import server
from tests.core.zones import state
from tests.core.zones import Zoned

OK = Answered(status=200, headers=(), body=b"")
BAD = Answered(status=500, headers=(), body=b"")
RESET = Reset(detail="test")
SHED = Shed(reason=ShedReason.OVERLOAD)


class _Zone(Zoned):
    """One instance with two HTTP servers, the first of them slow."""

    def __init__(self, slow_s: float = 0.6) -> None:
        self.backends = {}
        servers = []
        for name in ("s1", "s2"):
            backend = standin.Backend(
                name=name, zone="dar-a", slots=1, service_ms=10, long_ms=10
            )
            backend.faults["cold"] = False
            web = standin.start(("127.0.0.1", 0), backend)
            self.backends[name] = backend, web
            host, port = web.server_address
            servers.append(
                server(name, slots=1, long_slots=0, address=f"{host}:{port}")
            )
        self.backends["s1"][0].faults["slow"] = slow_s / 0.01
        super().__init__(state(*servers))
        self.clock = SystemClock()
        self.admission = Admission(
            zone="dar-a", clock=self.clock, rng=_FixedDraws()
        )
        self.publish()
        self.budget = RetryBudget(start=1.0)
        self.executor = Executor(
            clock=self.clock,
            admission=self.admission,
            backends=HttpBackends(
                clock=self.clock,
                addresses=AddressMap(mapping={}),
                connections=4,
            ),
            telemetry=Telemetry(
                instance="dar-a-1", zone="dar-a", trace_ratio=0.0
            ),
        )
        # Record a typical latency of 10 ms for each class.
        for key in (READ, BOOK):
            grant = self.admission.try_acquire(self.work(key))
            self.admission.release(grant, OK)
            times = self.admission._times["desk", key.name]
            for _ in range(50):
                times.record(0.01, self.clock.monotonic())

    def run(self, request_class=READ, attempts_left=2, remaining_s=2.0):
        """Run a request that is first sent to the slow server."""
        content = ForwardedContent(
            method=request_class.methods[0],
            path="/read?token=t",
            headers={},
            body=b"",
            request_id="r1",
        )
        return self.executor.run(
            self.work(request_class, remaining_s=remaining_s),
            content,
            frozenset(),
            may_wait=False,
            hedge=HedgeLimits(attempts_left=attempts_left, budget=self.budget),
        )

    def events(self, name: str) -> list[str]:
        """Return the names of the events at a server."""
        return [e["event"] for e in self.backends[name][0].events]

    def close(self) -> None:
        for _, web in self.backends.values():
            web.shutdown()
            web.server_close()


class _FixedDraws:
    """Random source that selects the first server, then the second."""

    def __init__(self) -> None:
        self._draws = [0.0, 0.99]

    def random(self) -> float:
        self._draws.reverse()
        return self._draws[1]


def _wait_until(condition, seconds: float = 5.0) -> bool:
    end = time.monotonic() + seconds
    while not condition() and time.monotonic() < end:
        time.sleep(0.005)
    return condition()


class HedgingTest(unittest.TestCase):
    def setUp(self):
        self.zone = _Zone()
        self.addCleanup(self.zone.close)

    def test_second_server_answers_and_the_first_is_cancelled(self):
        """Guards against a caller that waits for one slow server."""
        started = time.monotonic()
        attempt = self.zone.run()
        self.assertLess(time.monotonic() - started, 0.4)
        self.assertIsInstance(attempt.end, Answered)
        self.assertEqual(("s1", "s2"), (attempt.server, attempt.hedge_server))
        self.assertTrue(
            _wait_until(lambda: self.zone.events("s1") == ["start", "cancel"])
        )
        # The server closed the connection, which frees its slot immediately.
        self.assertTrue(
            _wait_until(lambda: self.zone.admission.in_flight() == 0)
        )
        self.assertFalse(self.zone.admission.seat_in_use(0))
        self.assertEqual(2, self.zone.admission.free_slots()["desk"])

    def test_slot_stays_in_use_if_the_server_ignores_the_cancellation(self):
        """Guards against a slot that is reused while the request runs."""
        backend, _ = self.zone.backends["s1"]
        held = threading.Event()
        backend.duration_s = lambda is_long: (held.wait(0.5) and 0.0) or 0.0
        self.zone.run()
        time.sleep(0.1)
        self.assertEqual(1, self.zone.admission.in_flight())
        self.assertEqual(1, self.zone.admission.free_slots()["desk"])
        self.assertTrue(
            _wait_until(lambda: self.zone.admission.in_flight() == 0)
        )
        self.assertEqual(2, self.zone.admission.free_slots()["desk"])

    def test_slot_stays_in_use_after_a_reset(self):
        """Guards against a slot that is reused while the request may run."""
        backend, _ = self.zone.backends["s1"]
        backend.duration_s = lambda is_long: time.sleep(0.2) or 0.0
        backend.faults["reset_after"] = 1
        self.zone.run()
        self.assertTrue(
            _wait_until(lambda: self.zone.admission.in_flight() == 0)
        )
        self.assertEqual(1, self.zone.admission.free_slots()["desk"])

    @params(
        (BOOK, 2, 2.0, 1),
        (READ, 1, 2.0, 1),
        (READ, 2, 0.02, 1),
        (READ, 2, 2.0, 0),
    )
    def test_request_is_not_hedged(
        self, request_class, attempts_left, remaining_s, start
    ):
        """Not if non-repeatable, or out of attempts, time or budget."""
        self.zone.budget = RetryBudget(start=float(start))
        attempt = self.zone.run(request_class, attempts_left, remaining_s)
        self.assertIsNone(attempt.hedge_server)
        self.assertEqual([], self.zone.events("s2"))
        self.assertEqual(bool(start), self.zone.budget.withdraw())

    def test_budget_is_refunded_without_a_free_slot(self):
        other = self.zone.admission.try_acquire(
            self.zone.work(), frozenset({"s1"})
        )
        attempt = self.zone.run()
        self.assertEqual("s2", other.server.name)
        self.assertIsInstance(attempt.end, Answered)
        self.assertIsNone(attempt.hedge_server)
        self.assertTrue(self.zone.budget.withdraw())


class HedgedRequestTest(unittest.TestCase):
    @params(
        ((RESET, OK), OK),
        ((SHED, OK), OK),
        ((SHED, RESET), RESET),
        ((BAD, SHED), BAD),
        ((SHED, NotSent(detail="x")), SHED),
    )
    def test_result_of_two_attempts(self, ends, expected):
        """Guards against NOT_RUN for a request of which an attempt ran."""
        gate = threading.Event()
        threads = HedgePool(threads=2)
        hedged = threads.start(lambda _: ends[0])
        hedged.add(lambda _: gate.wait(5) and ends[1])
        hedged.wait(1.0)
        gate.set()
        self.assertEqual(expected, hedged.result())

    def test_number_of_threads_is_bounded(self):
        gate = threading.Event()
        threads = HedgePool(threads=1)
        hedged = threads.start(lambda _: gate.wait(5) and OK)
        self.assertFalse(hedged.add(lambda _: OK))
        self.assertIsNone(threads.start(lambda _: OK))
        gate.set()
        self.assertEqual(OK, hedged.result())

    def test_internal_error_is_an_unknown_outcome(self):
        def fail(_):
            raise KeyError("test")

        hedged = HedgePool(threads=1).start(fail)
        self.assertIsInstance(hedged.result(), Reset)
