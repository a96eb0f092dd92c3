"""Tests of the pace of threads whose peers' bytes are costly."""

import socket
import threading
import time
import unittest

from chiverun.integrations.threadpace import ConnectionPace
from chiverun.integrations.threadpace import MESSAGE_MAX_S
from chiverun.integrations.threadpace import MessageTooCostly
from chiverun.integrations.threadpace import ThreadPace
from chiverun.integrations.web import Response
from chiverun.integrations.web import WebServer
from tests.ports import free_address

_ONE_BYTE_CHUNKS = b"1\r\na\r\n" * 10_000
_UPLOAD_HEAD = (
    b"POST /s/x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
)
_GET = b"GET /s/x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
_UPLOADS = 8
_DURATION_S = 3.0
_STEP_S = 0.003


def _spin(seconds: float) -> None:
    until = time.thread_time() + seconds
    while time.thread_time() < until:
        pass


class ConnectionPaceTest(unittest.TestCase):
    def setUp(self):
        self.pace = ConnectionPace(pace=ThreadPace())

    def test_costly_message_is_given_up(self):
        """Guards against a message that keeps a thread busy forever."""
        self.pace.begin_message()
        began_at = time.monotonic()
        spent_s = 0.0
        with self.assertRaises(MessageTooCostly):
            while spent_s < 2 * MESSAGE_MAX_S:
                _spin(_STEP_S)
                spent_s += _STEP_S
                self.pace.before_read(1.0)
        self.assertLess(spent_s, 1.5 * MESSAGE_MAX_S)
        # Most of it at a quarter of the time.
        self.assertGreater(time.monotonic() - began_at, 2 * MESSAGE_MAX_S)

    def test_sound_messages_do_not_wait(self):
        """Guards against sound traffic that pays for the limit."""
        began_at = time.thread_time()
        waited_s = 0.0
        for _ in range(500):
            self.pace.begin_message()
            _spin(0.0005)
            before = time.monotonic()
            self.pace.before_read(1.0)
            waited_s += time.monotonic() - before
        self.assertLess(waited_s, (time.thread_time() - began_at) / 2)


class CostlyUploadTest(unittest.TestCase):
    def setUp(self):
        address = free_address()
        self.address = ("127.0.0.1", int(address.rpartition(":")[2]))
        self.handled = 0
        server = WebServer(
            address=address, handler=self._handle, threads=2 * _UPLOADS
        )
        server.start()
        self.addCleanup(server.stop)

    def _handle(self, _req) -> Response:
        self.handled += 1
        return Response(status=200, body=b"done")

    def _send(self, head: bytes, rest: bytes) -> bytes:
        """Send until the server closes or the test ends; return the answer."""
        received = b""
        with socket.create_connection(self.address, 10) as conn:
            try:
                conn.sendall(head)
                while rest and time.monotonic() < self.ends_at:
                    conn.sendall(rest)
                while data := conn.recv(65536):
                    received += data
            except OSError:
                pass
        return received

    def _upload(self) -> None:
        while time.monotonic() < self.ends_at:
            self._send(_UPLOAD_HEAD, _ONE_BYTE_CHUNKS)

    def test_uploads_in_small_pieces_hold_up_no_other_caller(self):
        """Guards against callers whose threads keep the interpreter."""
        self.ends_at = time.monotonic() + _DURATION_S
        uploads = [
            threading.Thread(target=self._upload) for _ in range(_UPLOADS)
        ]
        for thread in uploads:
            thread.start()
        took_s = []
        while time.monotonic() < self.ends_at:
            began_at = time.monotonic()
            self.assertTrue(self._send(_GET, b"").endswith(b"done"))
            took_s.append(time.monotonic() - began_at)
        for thread in uploads:
            thread.join()
        # The senders share this process, so the bound is a wide one.
        self.assertLess(sorted(took_s)[len(took_s) // 2], 0.1)
        self.assertEqual(len(took_s), self.handled)
