"""Tests of the table of idempotency keys."""

import threading
import unittest

from nose2.tools import params

from chiverun.core import idempotency
from chiverun.core.clock import ManualClock
from chiverun.core.errors import Outcome
from chiverun.core.errors import ResultCode
from chiverun.core.idempotency import KEY_LIFETIME_S
from chiverun.core.idempotency import KEYS_MAX
from chiverun.core.idempotency import KeyTable
from chiverun.core.idempotency import Reject
from chiverun.core.idempotency import Replay
from chiverun.core.idempotency import Run
from chiverun.core.idempotency import STORED_BYTES_MAX
from chiverun.core.idempotency import StoredResult
from tests.naive import IS_NAIVE
from tests.naive import NaiveKeyTable


def _result(outcome=Outcome.ANSWERED, body=b"", headers=()):
    return StoredResult(
        outcome=outcome,
        code=ResultCode.OK,
        status=200,
        headers=headers,
        body=body,
    )


class KeyTableTest(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.table = self._table("life-1")

    def _table(self, boot_id):
        kind = NaiveKeyTable if IS_NAIVE else KeyTable
        return kind(instance="a-1", boot_id=boot_id, clock=self.clock)

    def _begin(self, key, fingerprint="f"):
        now = self.clock.monotonic()
        return self.table.begin(key, fingerprint, wait_until=now)

    @params(
        (Outcome.ANSWERED, Replay),
        (Outcome.UNKNOWN, Replay),
        (Outcome.NOT_RUN, Run),
    )
    def test_repeat_after(self, outcome, kind):
        """Guards against a second run, and against a lost permission."""
        (key,) = self.table.issue(1)
        self.assertIsInstance(self._begin(key), Run)
        self.table.finish(key, _result(outcome))
        self.assertIsInstance(self._begin(key), kind)

    @params(
        ("while it runs", ResultCode.KEY_IN_PROGRESS, Outcome.UNKNOWN),
        ("of another request", ResultCode.KEY_REUSED, Outcome.NOT_RUN),
        ("of an ended life", ResultCode.KEY_OTHER_LIFE, Outcome.UNKNOWN),
        ("past its lifetime", ResultCode.KEY_UNKNOWN, Outcome.UNKNOWN),
        ("malformed", ResultCode.KEY_UNKNOWN, Outcome.NOT_RUN),
        ("made up", ResultCode.KEY_UNKNOWN, Outcome.UNKNOWN),
    )
    def test_key_is_refused(self, case, code, outcome):
        """Guards against running with a key that may have been used."""
        (key,) = self.table.issue(1)
        self.assertIsInstance(self._begin(key), Run)
        fingerprint = "f"
        match case:
            case "of another request":
                self.table.finish(key, _result())
                fingerprint = "other"
            case "of an ended life":
                self.table = self._table("life-2")
            case "past its lifetime":
                self.table.finish(key, _result())
                self.clock.advance(KEY_LIFETIME_S + 1)
            case "malformed":
                key = "a~b"
            case "made up":
                key = "a-1~life-1~00"
        self.assertEqual(
            Reject(outcome=outcome, code=code), self._begin(key, fingerprint)
        )

    def test_running_key_does_not_expire(self):
        """Guards against forgetting a request that still runs."""
        (key,) = self.table.issue(1)
        self._begin(key)
        self.clock.advance(KEY_LIFETIME_S + 1)
        self.table.issue(1)
        self.assertIsInstance(self._begin(key), Reject)

    def test_threads_with_one_key_run_it_once(self):
        """Guards against two runs that overlap."""
        (key,) = self.table.issue(1)
        runs = []
        start = threading.Barrier(8)

        def use() -> None:
            start.wait()
            begin = self.table.begin(
                key, "f", wait_until=self.clock.monotonic() + 10
            )
            if isinstance(begin, Run):
                runs.append(key)
                self.table.finish(key, _result())

        threads = [threading.Thread(target=use) for _ in range(8)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual(1, len(runs))

    @params(
        ("bodies", _result(body=b"x" * 65536)),
        ("headers", _result(headers=(("X-A", "b" * 65536),))),
    )
    def test_stored_responses_are_bounded(self, _case, result):
        """Guards against memory growth; what is dropped is not run again."""
        keys = self.table.issue(600)
        for key in keys:
            self._begin(key)
            self.table.finish(key, result)
        stored = [k for k in keys if isinstance(self._begin(k), Replay)]
        self.assertLessEqual(len(stored) * 65536, STORED_BYTES_MAX)
        self.assertEqual(keys[-len(stored) :], stored)
        self.assertEqual(
            Reject(outcome=Outcome.UNKNOWN, code=ResultCode.KEY_ANSWER_GONE),
            self._begin(keys[0]),
        )
        self.clock.advance(KEY_LIFETIME_S + 1)
        self.table.issue(1)
        self.assertEqual(0, self.table._stored_bytes)

    def test_number_of_keys_is_bounded(self):
        """Guards against memory growth by keys that are never used."""
        self.assertEqual(KEYS_MAX, len(self.table.issue(KEYS_MAX + 5)))
        self.assertEqual([], self.table.issue(1))
        self.clock.advance(KEY_LIFETIME_S + 1)
        self.assertEqual(1, len(self.table.issue(1)))

    def test_keys_are_unique(self):
        """Guards against two requests with one key."""
        other = self._table("life-2")
        keys = self.table.issue(5000) + other.issue(5000)
        self.assertEqual(10000, len(set(keys)))
        self.assertIsNotNone(idempotency.parse_key(keys[0]))
