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
from chiverun.core.edgemessages import Pull
from chiverun.core.edgemessages import Snapshot
from chiverun.core.replica import VersionedRecord


def _snapshot(routes: int) -> Snapshot:
    """Return a snapshot of a desired state with so many routes."""
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


class CodecTest(unittest.TestCase):
    @params(
        Pull(reply_to="10.0.0.1:7", as_of=3), _snapshot(0), _snapshot(1400)
    )
    def test_messages_survive_the_codec(self, message) -> None:
        """Guards against a size at which messages are no longer read."""
        decoded = edgemessages.decode(edgemessages.encode(message))
        self.assertEqual(message, decoded)

    def test_large_state_is_sent_small(self) -> None:
        """Guards against bytes between zones that grow with the routes."""
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
    )
    def test_garbage_is_refused(self, payload) -> None:
        """Guards against an exception that ends the receiving thread."""
        with self.assertRaises(msgspec.MsgspecError):
            edgemessages.decode(payload)

    def test_message_over_the_limit_is_refused(self) -> None:
        """Guards against a few bytes that fill the memory."""
        data = bytes(edgemessages.MESSAGE_BYTES_MAX + 1)
        with self.assertRaises(msgspec.MsgspecError):
            edgemessages.decode(b"\x01" + zlib.compress(data))
