"""Tests of a listener's limits for callers."""

import collections
import socket
import threading
import time
import unittest

from nose2.tools import params

from chiverun.core.listenerlimits import ListenerLimits
from chiverun.integrations.web import Response
from chiverun.integrations.web import WebServer
from standins.cluster import wait_until
from tests.ports import free_address

_GET = b"GET /s/x HTTP/1.1\r\nHost: a\r\n"
_POST = b"POST /s/x HTTP/1.1\r\nHost: a\r\n"
_LARGE = 16 * 1024 * 1024
_LIMIT_S = 20.0


class CallerConnectionsTest(unittest.TestCase):
    def _start(self, **limits) -> None:
        """Start a server with one thread."""
        address = free_address()
        self.address = ("127.0.0.1", int(address.rpartition(":")[2]))
        self.handled = []
        self.refusals = collections.Counter()
        self.server = WebServer(
            address=address,
            handler=self._handle,
            threads=1,
            limits=ListenerLimits(**limits),
            count_refusal=lambda reason: self.refusals.update([reason]),
        )
        self.server.start()
        self.addCleanup(self.server.stop)

    def _handle(self, req) -> Response:
        self.handled.append(req.body)
        size = _LARGE if req.path == "/large" else 4
        return Response(status=200, body=b"d" * size)

    def _connect(self, raw: bytes = b"") -> socket.socket:
        conn = socket.create_connection(self.address, _LIMIT_S)
        self.addCleanup(conn.close)
        conn.sendall(raw)
        return conn

    def _assert_served(self) -> None:
        conn = self._connect(_GET + b"Connection: close\r\n\r\n")
        self.assertTrue(_read(conn).endswith(b"dddd"))

    @params(
        ("head", _POST),
        ("body", _POST + b"Content-Length: 9\r\n\r\nbody"),
        ("chunk", _POST + b"Transfer-Encoding: chunked\r\n\r\n9\r\nbody"),
    )
    def test_stopped_caller_is_refused(self, _case, raw):
        """Guards against callers that stop, and against a refused request
        that runs.
        """
        self._start(head_s=0.3, progress_s=0.3)
        conn = self._connect(raw)
        self._assert_served()
        received = _read(conn)
        self.assertIn(b" 408 ", received)
        self.assertIn(b"X-Chiverun-Code: 311\r\n", received)
        self.assertIn(b"X-Chiverun-Outcome: not-run\r\n", received)
        self.assertEqual([b""], self.handled)

    def test_held_bytes_are_limited(self):
        """Guards against bodies that use up the memory together."""
        self._start(held_bytes=100_000)
        raw = _POST + b"Content-Length: 40000\r\n\r\n" + b"a" * 30_000
        conns = [self._connect(raw) for _ in range(10)]
        wait_until(
            lambda: self.refusals["CALLER_MEMORY"] >= 7,
            _LIMIT_S,
            "refusals for memory",
        )
        self._assert_served()
        # The last ones are kept, since the others hold bytes longer.
        conns[-1].sendall(b"a" * 10_000)
        self.assertIn(b" 200 ", conns[-1].recv(65536))
        self.assertIn(b"X-Chiverun-Code: 309\r\n", _read(conns[0]))

    def test_connections_of_an_address_are_limited(self):
        """Guards against one address that takes all connections."""
        self._start(address_connections=3)
        for _ in range(3):
            self._connect()
        received = _read(self._connect())
        self.assertIn(b" 503 ", received)
        self.assertIn(b"X-Chiverun-Code: 310\r\n", received)

    def test_full_listener_closes_the_longest_wait(self):
        """Guards against silent connections that keep out other callers."""
        self._start(connections=4, address_connections=4)
        conns = []
        for number in range(4):
            conn = socket.create_connection(
                self.address, _LIMIT_S, (f"127.0.0.{number + 2}", 0)
            )
            self.addCleanup(conn.close)
            conns.append(conn)
        self._assert_served()
        self.assertEqual(b"", _read(conns[0]))
        conns[-1].sendall(_GET + b"\r\n")
        self.assertIn(b" 200 ", conns[-1].recv(65536))

    def test_expectation_is_answered(self):
        """Guards against callers that wait for "100 Continue" in vain."""
        self._start()
        head = b"Expect: 100-continue\r\nContent-Length: 4\r\n\r\n"
        conn = self._connect(_POST + head)
        self.assertEqual(b"HTTP/1.1 100 Continue\r\n\r\n", conn.recv(100))
        conn.sendall(b"body")
        received = conn.recv(65536)
        self.assertTrue(received.startswith(b"HTTP/1.1 200 "), received)
        self.assertEqual([b"body"], self.handled)

    def test_slow_link_is_served(self):
        """Guards against refusing callers that send in small parts."""
        self._start(head_s=2.0, progress_s=0.5, progress_bytes_per_s=100)
        conn = self._connect()
        raw = _POST + b"Content-Length: 1000\r\n\r\n" + b"a" * 1000
        for start in range(0, len(raw), 50):
            conn.sendall(raw[start : start + 50])
            time.sleep(0.05)
        self.assertIn(b" 200 ", conn.recv(65536))
        self.assertEqual([b"a" * 1000], self.handled)

    def test_response_is_read_slowly(self):
        """Guards against readers that occupy a thread, and against a
        response that is cut.
        """
        self._start(held_bytes=2 * _LARGE)
        conn = self._connect(b"GET /large HTTP/1.1\r\nHost: a\r\n\r\n")
        wait_until(lambda: self.handled, _LIMIT_S, "the large response")
        self._assert_served()
        received = 0
        while received < _LARGE:
            received += len(conn.recv(1024 * 1024))
        conn.sendall(_GET + b"\r\n")
        wait_until(lambda: len(self.handled) == 3, _LIMIT_S, "next request")

    def test_unread_response_is_given_up(self):
        """Guards against responses that are held without an end."""
        self._start(held_bytes=2 * _LARGE, progress_s=0.3)
        self._connect(b"GET /large HTTP/1.1\r\nHost: a\r\n\r\n")
        wait_until(
            lambda: self.refusals["CALLER_TOO_SLOW"] == 1,
            _LIMIT_S,
            "the connection is closed",
        )
        self._assert_served()

    def test_callers_come_and_go(self):
        """Guards against counts that grow with closed connections."""
        self._start(connections=64, address_connections=8, held_bytes=50_000)

        def call() -> None:
            for _ in range(50):
                conn = self._connect(_POST + b"Content-Length: 9\r\n\r\nb")
                conn.close()

        threads = [threading.Thread(target=call) for _ in range(4)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        wait_until(lambda: self.server.drain(1.0), _LIMIT_S, "no request")
        conns = [self._connect(_GET + b"\r\n") for _ in range(8)]
        for conn in conns:
            self.assertIn(b" 200 ", conn.recv(65536))


def _read(conn: socket.socket) -> bytes:
    """Return what is received until the server closes."""
    received = b""
    try:
        while data := conn.recv(65536):
            received += data
    except ConnectionError:
        pass
    return received
