"""Tests of the frames that other instances send."""

import random
import unittest

from chiverun.integrations.peerframes import FrameError
from chiverun.integrations.peerframes import FrameReader
from tests.integrations import zmtp

_BYTES_MAX = 1000
_SHORT = b"\x00\x02ab"


class FrameReaderTest(unittest.TestCase):
    def setUp(self) -> None:
        self.reader = FrameReader(bytes_max=_BYTES_MAX)

    def test_messages_in_pieces_of_any_size(self):
        """Guards against a message that depends on where pieces end."""
        sizes = [0, 1, 255, 256, _BYTES_MAX]
        stream = zmtp.GREETING + zmtp.READY + _SHORT
        stream += b"".join(zmtp.message(bytes(size)) for size in sizes)
        rng = random.Random(1)
        for _ in range(200):
            reader = FrameReader(bytes_max=_BYTES_MAX)
            got: list[bytes] = []
            at = 0
            while at < len(stream):
                end = at + rng.choice((1, 2, 9, 63, 64, 300, 5000))
                got += reader.feed(stream[at:end])
                at = end
            self.assertEqual([2, *sizes], [len(message) for message in got])

    def test_bytes_that_no_instance_sends(self):
        """Guards against bytes that are kept although no message ends them."""
        ready = zmtp.GREETING + zmtp.READY
        rows = {
            "another protocol": b"G",
            "version 1": b"\x01\x00",
            "signature": b"\xff" + bytes(63),
            "version 2": zmtp.GREETING[:10] + b"\x01" + zmtp.GREETING[11:],
            "mechanism": zmtp.GREETING[:12] + b"PLAIN" + zmtp.GREETING[17:],
            "several frames": ready + b"\x01\x00",
            "several long frames": ready + zmtp.part(b"a"),
            "too large": ready + zmtp.message(bytes(_BYTES_MAX + 1)),
            "too large, header only": ready + b"\x02" + b"\xff" * 8,
            "large command": ready + b"\x06" + b"\xff" * 8,
        }
        for name, data in rows.items():
            with self.subTest(name), self.assertRaises(FrameError):
                FrameReader(bytes_max=_BYTES_MAX).feed(data)

    def test_commands_are_no_messages(self):
        """Guards against a command that is delivered."""
        data = zmtp.GREETING + zmtp.READY + b"\x04\x05\x04PING" + _SHORT
        self.assertEqual([b"ab"], self.reader.feed(data))
