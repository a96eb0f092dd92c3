"""Tests of the request path under load: threads of long ones, detours."""

import math
import threading
import unittest
from unittest import mock

from nose2.tools import params

from chiverun.core.errors import Outcome
from chiverun.core.errors import ResultCode
from chiverun.core.exchange import Answered
from chiverun.runtime.entry import EntryHandler
from chiverun.runtime.execution import Executor
from chiverun.runtime.request import ParsedRequest
from tests.core.zones import EXPORT
from tests.core.zones import READ
from tests.core.zones import server
from tests.core.zones import state
from tests.core.zones import Zoned

OK = Answered(status=200, headers=(), body=b"")


def _entry(**fields) -> EntryHandler:
    names = "identity clock plane executor backends links blocks keys budget"
    mocks = {n: mock.Mock() for n in (*names.split(), "telemetry")}
    return EntryHandler(**{**mocks, **fields}, threads=4)


class LongThreadsTest(unittest.TestCase):
    def test_long_requests_do_not_hold_all_threads(self):
        """Guards against short requests that wait for a thread."""
        entry = _entry()
        gate = threading.Event()
        running = threading.Semaphore(0)

        def placed(request):
            running.release()
            if request.work.is_long:
                gate.wait(5)
            return "answered"

        entry._run_placed = placed
        zone = Zoned(state(server("s1")))

        def run(request_class):
            work = zone.work(request_class)
            return entry._run(ParsedRequest(work=work, content=mock.Mock()))

        threads = [
            threading.Thread(target=run, args=(EXPORT,)) for _ in range(2)
        ]
        for thread in threads:
            thread.start()
            running.acquire()
        refused = run(EXPORT)
        self.assertIs(Outcome.NOT_RUN, refused.outcome)
        self.assertIs(ResultCode.QUEUE_FULL, refused.code)
        self.assertEqual("answered", run(READ))
        gate.set()
        for thread in threads:
            thread.join()
        self.assertEqual("answered", run(EXPORT))


class DetourTest(unittest.TestCase):
    @params(
        ("arusha", 0.01, True),
        ("arusha", 0.2, False),
        ("arusha", math.inf, False),
        ("dar", 0.01, False),
    )
    def test_no_detour_that_takes_longer_than_the_wait(
        self, region, wait_s, expected
    ):
        """Guards against 70 ms of way for a slot that is free in 3 ms."""
        executor = mock.create_autospec(Executor, instance=True)
        executor.expected_wait_s.return_value = wait_s
        work = Zoned(state(server("s1"))).work()
        target = mock.Mock(region=region)
        entry = _entry(executor=executor)
        self.assertIs(expected, entry._is_sooner_here(target, work))

    def test_expected_wait(self):
        """The wait grows with the queue; no server means no end of it."""
        zone = Zoned(state(server("s1", slots=1, long_slots=0)))
        grant = zone.take()
        zone.clock.advance(0.1)
        zone.admission.release(grant, OK)
        zone.publish()
        zone.take()
        waits = []
        for _ in range(3):
            waits.append(zone.admission.expected_wait_s(zone.work()))
            zone.wait()
        for count, wait_s in enumerate(waits):
            self.assertAlmostEqual(0.1 * (count + 1), wait_s)
        zone.publish(leaving_servers=frozenset({"s1"}))
        self.assertEqual(math.inf, zone.admission.expected_wait_s(zone.work()))
