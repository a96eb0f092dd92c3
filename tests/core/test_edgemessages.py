"""Tests of the codec of messages between edge instances."""

import unittest
import zlib

import msgspec
from nose2.tools import params

from chiverun.core import edgemessages
from chiverun.core.catalog import ClientLimits
from chiverun.core.catalog import DesiredState
from chiverun.core.catalog import Part
from chiverun.core.catalog import Route
from chiverun.core.edgemessages import LimitReport
from chiverun.core.edgemessages import LimitReports
from chiverun.core.edgemessages import Pull
from chiverun.core.edgemessages import QuotaDemand
from chiverun.core.edgemessages import QuotaGrant
from chiverun.core.edgemessages import QuotaReport
from chiverun.core.edgemessages import QuotaTokens
from chiverun.core.edgemessages import Snapshot
from chiverun.core.replica import VersionedRecord


def _snapshot(routes: int) -> Snapshot:
    """Return a snapshot of a desired state with `routes` routes."""
    state = DesiredState(
        version=7,
        routes=tuple(
            Route(
                name=f"r-{i}",
                host=f"h{i % 7}.example",
                prefix=f"/p{i}/",
                repeatable=True,
                parts=(Part(service="mill", weight=1.0),),
                timeout_s=1.2,
                objective_s=0.3,
                attempts=2,
                priority=1,
                sticky=True,
                homes=(),
            )
            for i in range(routes)
        ),
        services=(),
        limits=ClientLimits(),
    )
    item = VersionedRecord(key="state", revision=9, record=state)
    return Snapshot(as_of=9, items=[item])


def _limits(per_s: float | None, age_s: float) -> LimitReports:
    """Return a message about the limit of one server."""
    report = LimitReport(server="s1", started_ms=1, per_s=per_s, age_s=age_s)
    return LimitReports(sender="m1", reports=[report])


def _report(**changes) -> QuotaReport:
    """Return a report about one account; `changes` are of its demand."""
    values = {"held": 1, "returned": 0, "waiting": 2}
    values |= {"expected": 0.5, "stock": 1.0, **changes}
    demand = QuotaDemand(account="a", **values)
    return QuotaReport(
        sender="m1",
        reply_to="10.0.0.1:7",
        boot_id="l1",
        number=3,
        demands=[demand],
    )


def _grant(tokens: int, wait_s: float) -> QuotaGrant:
    """Return a grant for one account."""
    row = QuotaTokens(account="a", tokens=tokens, wait_s=wait_s)
    return QuotaGrant(
        sender="m1",
        boot_id="l1",
        receiver="l2",
        number=3,
        sent_at=1.0,
        tokens=[row],
    )


class CodecTest(unittest.TestCase):
    @params(
        Pull(reply_to="10.0.0.1:7", as_of=3),
        _snapshot(0),
        _snapshot(1400),
        _limits(5.5, 0.25),
        _limits(None, 30.0),
        _report(),
        _grant(-3, 0.0),
    )
    def test_messages_survive_the_codec(self, message) -> None:
        """Guards against messages of a size that cannot be decoded."""
        decoded = edgemessages.decode(edgemessages.encode(message))
        self.assertEqual(message, decoded)

    def test_large_state_is_sent_small(self) -> None:
        """Guards against traffic between zones that grows with the routes."""
        message = _snapshot(1400)
        plain = msgspec.msgpack.encode(message)
        sent = edgemessages.encode(message)
        self.assertLess(len(sent), len(plain) / 8)

    @params(
        b"",
        b"\x00",
        b"\x01",
        b"\x02abc",
        b"\x01not compressed",
        b"\x01" + zlib.compress(b"no message"),
        edgemessages.encode(_snapshot(50))[:-9],
        edgemessages.encode(_limits(-1.0, 0.0)),
        edgemessages.encode(_limits(float("inf"), 0.0)),
        edgemessages.encode(_limits(float("nan"), 0.0)),
        edgemessages.encode(_limits(5.0, -1.0)),
        edgemessages.encode(_report(held=-1)),
        edgemessages.encode(_report(returned=10**10)),
        edgemessages.encode(_report(expected=float("nan"))),
        edgemessages.encode(_report(stock=float("inf"))),
        edgemessages.encode(_grant(10**10, 0.0)),
        edgemessages.encode(_grant(1, -0.1)),
    )
    def test_malformed_message_is_rejected(self, payload) -> None:
        """Guards against an exception that ends the receiving thread."""
        with self.assertRaises(msgspec.MsgspecError):
            edgemessages.decode(payload)

    def test_oversized_message_is_rejected(self) -> None:
        """Guards against a small compressed message that exhausts memory."""
        data = bytes(edgemessages.MESSAGE_BYTES_MAX + 1)
        with self.assertRaises(msgspec.MsgspecError):
            edgemessages.decode(b"\x01" + zlib.compress(data))
