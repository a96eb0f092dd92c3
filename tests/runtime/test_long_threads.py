"""Tests of the part of an instance's threads that long requests may hold."""

import threading
import unittest
from unittest import mock

from chiverun.core.errors import Outcome
from chiverun.core.errors import ResultCode
from chiverun.runtime.entry import _Request
from chiverun.runtime.entry import Entry
from tests.core.zones import EXPORT
from tests.core.zones import READ
from tests.core.zones import server
from tests.core.zones import state
from tests.core.zones import Zoned


class LongThreadsTest(unittest.TestCase):
    def test_long_requests_do_not_hold_all_threads(self):
        """Guards against short requests that wait for a thread."""
        names = "identity clock plane executor backends links keys budget"
        mocks = {n: mock.Mock() for n in (*names.split(), "telemetry")}
        entry = Entry(**mocks, threads=4)
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
            return entry._run(_Request(work=work, content=mock.Mock()))

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
