"""Tests of the HTTP server with malformed and ambiguous requests."""

import socket
import threading
import time
import unittest

from nose2.tools import params

from chiverun.core.errors import ChiverunError
from chiverun.core.errors import ResultCode
from chiverun.integrations.web import Response
from chiverun.integrations.web import WebServer
from standins.cluster import wait_until
from tests.naive import IS_NAIVE
from tests.naive import NaiveWebServer
from tests.ports import free_address

_POST = b"POST /s/x HTTP/1.1\r\nHost: a\r\n"
_GET = b"GET /s/x HTTP/1.1\r\nHost: a\r\n"
_SMUGGLED = b"GET /smuggled HTTP/1.1\r\nHost: a\r\n\r\n"
_CHUNKED = b"Transfer-Encoding: chunked\r\n"
_ERROR_STATUSES = (b"400", b"413", b"414", b"501", b"505")


class WebTest(unittest.TestCase):
    handled_requests = []
    error = None
    gate = threading.Event()

    @classmethod
    def setUpClass(cls):
        address = free_address()
        cls.address = ("127.0.0.1", int(address.rpartition(":")[2]))
        kind = NaiveWebServer if IS_NAIVE else WebServer
        server = kind(address=address, handler=cls._handle, threads=2)
        server.start()
        cls.addClassCleanup(server.stop)

    def setUp(self):
        type(self).error = None
        self.handled_requests.clear()

    @classmethod
    def _handle(cls, req):
        cls.handled_requests.append((req.method, req.path, req.body))
        if req.path == "/wait":
            cls.gate.wait(20)
        if cls.error is not None:
            raise cls.error
        return Response(status=200, body=b"done")

    def _send(self, raw: bytes, *, closes_after: bool = False) -> bytes:
        """Send bytes; return all received until the server closes."""
        with socket.create_connection(self.address, 5) as conn:
            received = b""
            try:
                conn.sendall(raw)
                if closes_after:
                    conn.shutdown(socket.SHUT_WR)
                while data := conn.recv(65536):
                    received += data
            except ConnectionError:
                pass
            return received

    @params(
        ("two lengths", b"Content-Length: 4\r\nContent-Length: 9\r\n"),
        ("same length twice", b"Content-Length: 4\r\nContent-Length: 4\r\n"),
        ("list of lengths", b"Content-Length: 4, 4\r\n"),
        ("signed length", b"Content-Length: +4\r\n"),
        ("negative length", b"Content-Length: -4\r\n"),
        ("empty length", b"Content-Length:\r\n"),
        ("endless length", b"Content-Length: " + b"4" * 5000 + b"\r\n"),
        ("space before colon", b"Content-Length : 4\r\n"),
        ("folded length", b"Content-Length: 9\r\n 4\r\n"),
        ("length and coding", b"Content-Length: 4\r\n" + _CHUNKED),
        ("coding twice", _CHUNKED + _CHUNKED),
        ("other coding", b"Transfer-Encoding: gzip, chunked\r\n"),
        ("empty coding", b"Transfer-Encoding:\r\n"),
        ("bare CR", b"X-A: b\rContent-Length: 4\r\n"),
        ("NUL", b"X-A: \0\r\n"),
        ("no colon", b"X-A\r\n"),
        ("LF only", b"X-A: b\nX-C: d\r\n"),
        ("two keys", b"Idempotency-Key: a\r\nIdempotency-Key: b\r\n"),
        ("two deadlines", b"X-Deadline-Ms: 1\r\nX-Deadline-Ms: 9\r\n"),
        ("large header", b"X-A: " + b"b" * 20_000 + b"\r\n"),
        ("many headers", b"X-A: b\r\n" * 4000),
        ("large body", b"Content-Length: 99999999\r\n"),
    )
    def test_ambiguous_request_is_refused(self, _case, lines):
        """Guards against request smuggling.

        Another HTTP implementation may parse these requests differently.
        """
        received = self._send(_POST + lines + b"\r\nbody" + _SMUGGLED)
        self._assert_rejected(received)

    @params(
        ("garbage", b"\0\xff\x16\x03\x01garbage\r\n\r\n"),
        ("garbage without end", b"\xff" * 40_000),
        ("target with a control byte", b"GET /s/\x01 HTTP/1.1\r\n\r\n"),
        ("target beyond ASCII", b"GET /s/\xff HTTP/1.1\r\n\r\n"),
        (
            "coding in HTTP/1.0",
            b"POST /s/x HTTP/1.0\r\nConnection: Keep-Alive\r\n"
            + _CHUNKED
            + b"\r\n4\r\nbody\r\n0\r\n\r\n",
        ),
        ("unknown version", b"GET /s/x HTTP/9.9\r\n\r\n"),
        ("chunk size", _POST + _CHUNKED + b"\r\nzz\r\n" + _SMUGGLED),
    )
    def test_malformed_request_is_refused(self, _case, raw):
        """Guards against running an incomplete or malformed request."""
        self._assert_rejected(self._send(raw + _SMUGGLED))

    def _assert_rejected(self, received: bytes) -> None:
        self.assertEqual([], self.handled_requests)
        # Closing with unread bytes resets the connection, so the response
        # may be lost.
        if received:
            self.assertIn(received.split()[1], _ERROR_STATUSES)
            self.assertIn(b"X-Chiverun-Outcome: not-run", received)
        whole = self._send(_GET + b"Connection: close\r\n\r\n")
        self.assertTrue(whole.endswith(b"done"), whole)

    @params(
        ("in the request line", b"GET /s"),
        ("in the headers", _POST + b"Content-Le"),
        ("before the body", _POST + b"Content-Length: 9\r\n\r\n"),
        ("in the body", _POST + b"Content-Length: 9\r\n\r\nbody"),
        ("in a chunk", _POST + _CHUNKED + b"\r\n9\r\nbody"),
        ("before the last chunk", _POST + _CHUNKED + b"\r\n4\r\nbody\r\n"),
    )
    def test_truncated_request_is_not_run(self, _case, raw):
        """Guards against running a truncated request."""
        received = self._send(raw, closes_after=True)
        self.assertEqual([], self.handled_requests)
        if received:
            self.assertIn(b"X-Chiverun-Outcome: not-run", received)

    def test_request_of_disconnected_caller_is_not_run(self):
        """Guards against running a queued request whose caller has left.

        Both threads of the server are busy until the caller has closed.
        """
        self.gate.clear()
        self.addCleanup(self.gate.set)
        busy = [socket.create_connection(self.address, 5) for _ in range(2)]
        for conn in busy:
            self.addCleanup(conn.close)
            conn.sendall(b"GET /wait HTTP/1.1\r\nHost: a\r\n\r\n")
        wait_until(lambda: len(self.handled_requests) == 2, 20, "busy threads")
        with socket.create_connection(self.address, 5) as conn:
            conn.sendall(_POST + b"Content-Length: 4\r\n\r\nbody")
            conn.shutdown(socket.SHUT_WR)
            self.gate.set()
            received = b""
            while data := conn.recv(65536):
                received += data
        self.assertEqual([("GET", "/wait", b"")] * 2, self.handled_requests)
        self.assertIn(b"X-Chiverun-Outcome: not-run", received)

    @params(
        (
            "second request",
            _POST + b"Content-Length: 4\r\n\r\nbody" + _SMUGGLED,
        ),
        (
            "request as trailer",
            _POST + _CHUNKED + b"\r\n4\r\nbody\r\n0\r\n" + _SMUGGLED,
        ),
    )
    def test_leftover_is_not_run(self, _case, raw):
        """Guards against running bytes that follow a request."""
        received = self._send(raw)
        self.assertEqual([("POST", "/s/x", b"body")], self.handled_requests)
        self.assertEqual(1, received.count(b"HTTP/1.1 "))

    @params(
        (RuntimeError("fault"), ResultCode.INTERNAL),
        (
            ChiverunError(ResultCode.LINK_CAP, "raised after sending"),
            ResultCode.LINK_CAP,
        ),
    )
    def test_handler_error_has_unknown_outcome(self, error, code):
        """Guards against outcome "not run" for an error after sending."""
        type(self).error = error
        raw = _GET + b"Connection: close\r\nX-Chiverun-Exchange: e1\r\n\r\n"
        received = self._send(raw)
        self.assertIn(b"HTTP/1.1 500 ", received)
        self.assertIn(b"X-Chiverun-Outcome: unknown\r\n", received)
        self.assertIn(b"X-Chiverun-Code: %d\r\n" % code, received)
        self.assertIn(b"X-Chiverun-Exchange: e1\r\n", received)

    def test_kept_connection_serves_one_request_after_another(self):
        """Guards against rejecting valid requests on a kept connection."""
        with socket.create_connection(self.address, 5) as conn:
            for number in range(3):
                body = b"x" * number
                head = _POST + b"Content-Length: %d\r\n\r\n" % number
                conn.sendall(head + body)
                received = b""
                while not received.endswith(b"done"):
                    received += conn.recv(65536)
        self.assertEqual(
            [("POST", "/s/x", b"x" * n) for n in range(3)],
            self.handled_requests,
        )


class DrainTest(unittest.TestCase):
    """A stop while requests wait for the only thread."""

    _REQUESTS = 30
    _STOPS = 10

    def _answered_at_stop(self, *, drains: bool) -> int:
        """Return how many requests were answered around a stop."""
        address = free_address()
        server = WebServer(
            address=address,
            handler=lambda _req: time.sleep(0.1) or Response(status=200),
            threads=1,
        )
        server.start()
        port = int(address.rpartition(":")[2])
        conns = [
            socket.create_connection(("127.0.0.1", port), 20)
            for _ in range(self._REQUESTS)
        ]
        for conn in conns:
            self.addCleanup(conn.close)
            conn.sendall(_GET + b"\r\n")
        if drains:
            server.close_connections()
            self.assertTrue(server.drain(30.0))
        server.stop()
        return sum(_is_answered(conn) for conn in conns)

    def test_received_requests_are_answered(self):
        """Guards against requests that a stop cuts off in the queue."""
        self.assertEqual(self._REQUESTS, self._answered_at_stop(drains=True))

    def test_stop_at_once_cuts_off(self):
        """Checks that the load of the test above needs the drain.

        A stop cuts off what the server has not accepted yet, which may be
        nothing if the test is slower than the server.
        """
        self.assertTrue(
            any(
                self._answered_at_stop(drains=False) < self._REQUESTS
                for _ in range(self._STOPS)
            )
        )

    def test_drain_ends_while_requests_arrive(self):
        """Guards against a stop that never ends under load."""
        address = free_address()
        gate = threading.Event()
        self.addCleanup(gate.set)
        server = WebServer(
            address=address,
            handler=lambda _req: gate.wait(20) and Response(status=200),
            threads=1,
        )
        server.start()
        self.addCleanup(server.stop)
        port = int(address.rpartition(":")[2])
        conn = socket.create_connection(("127.0.0.1", port), 5)
        self.addCleanup(conn.close)
        conn.sendall(_GET)
        self.assertFalse(server.drain(0.8))
        gate.set()


def _is_answered(conn: socket.socket) -> bool:
    try:
        received = b""
        while data := conn.recv(65536):
            received += data
            if b"\r\n\r\n" in received:
                return received.startswith(b"HTTP/1.1 200")
    except OSError:
        return False
    return False
