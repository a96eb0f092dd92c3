"""Tests of issuing keys and of invalid input at the look-up address."""

import types
import unittest

import msgspec
from nose2.tools import params

from chiverun.core.clock import ManualClock
from chiverun.core.errors import ResultCode
from chiverun.core.idempotency import KEYS_MAX
from chiverun.core.idempotency import KeyTable
from chiverun.core.state import empty_state
from chiverun.integrations.web import IncomingRequest
from chiverun.runtime.public import LookupHandler


class IssueTest(unittest.TestCase):
    @params(
        ("ready", "count=2", 200, None),
        ("no seat", "count=2", 503, ResultCode.NOT_READY),
        ("leaving", "count=2", 503, ResultCode.LEAVING),
        ("full", "count=2", 503, ResultCode.NO_CAPACITY),
        ("ready", "count=0", 400, ResultCode.REQUEST_MALFORMED),
        ("ready", "count=" + "9" * 5000, 400, ResultCode.REQUEST_MALFORMED),
        ("ready", "count=\u0663", 400, ResultCode.REQUEST_MALFORMED),
        ("ready", "count=1001", 400, ResultCode.REQUEST_MALFORMED),
        ("ready", "count=02", 400, ResultCode.REQUEST_MALFORMED),
        ("ready", "count=+2", 400, ResultCode.REQUEST_MALFORMED),
    )
    def test_issue(self, case, query, status, code):
        """Guards against keys issued by an instance that cannot serve them."""
        keys = KeyTable(instance="a-1", boot_id="l", clock=ManualClock())
        if case == "full":
            keys.issue(KEYS_MAX)
        plane = types.SimpleNamespace(
            identity=types.SimpleNamespace(entry="e"),
            is_leaving=case == "leaving",
            state=types.SimpleNamespace(number=1),
            seats=types.SimpleNamespace(
                held={} if case == "no seat" else {1: None}
            ),
            snapshot=types.SimpleNamespace(
                seats=() if case == "no seat" else (1,), state=empty_state()
            ),
        )
        public = LookupHandler(
            sources=types.SimpleNamespace(plane=plane),
            keys=keys,
            blocks=None,
            telemetry=None,
            ttl_s=2.0,
        )
        response = public.handle(
            IncomingRequest(
                method="POST",
                path="/v1/keys",
                query=query,
                headers={},
                body=b"",
                remote="",
            )
        )
        found = msgspec.json.decode(response.body)
        self.assertEqual(status, response.status)
        # What a caller sent is quoted in part.
        self.assertLess(len(response.body), 1000)
        if code is None:
            self.assertEqual(2, len(found["keys"]))
        else:
            self.assertEqual("not-run", found["outcome"])
            self.assertEqual(code, found["code"])
