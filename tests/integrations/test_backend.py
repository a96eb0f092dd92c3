"""Tests of exchanges with servers that violate HTTP or fail."""

import socket
import threading
import time
import unittest

from nose2.tools import params

from chiverun.core.clock import SystemClock
from chiverun.core.errors import Outcome
from chiverun.core.exchange import Answered
from chiverun.core.exchange import classify
from chiverun.core.exchange import Incomplete
from chiverun.core.exchange import Mismatched
from chiverun.core.exchange import NotSent
from chiverun.core.exchange import Reset
from chiverun.core.exchange import Shed
from chiverun.core.exchange import TimedOut
from chiverun.core.exchange import TooLarge
from chiverun.integrations.backend import HttpBackends
from chiverun.integrations.backend import OutgoingRequest
from chiverun.integrations.network import AddressMap
from chiverun.integrations.threadpace import MessageTooCostly
from tests.naive import IS_NAIVE
from tests.naive import NaiveBackends

_OK = b"HTTP/1.1 200 OK\r\n"
_ID = b"X-Request-Id: %(id)s\r\n"
_COMPLETE = _OK + _ID + b"Content-Length: 2\r\n\r\nok"
_CHUNKED = _OK + b"Transfer-Encoding: chunked\r\n\r\n"
_ENDLESS = "endless"
_RESET = "reset"
_HOLD = "hold"
_DRIP = "drip"
_DRIP_HEADERS = "drip headers"
# The first is for exchanges that must not end by their deadline: a busy
# machine, or a garbage collection of this process, may pause them.
_DEADLINE_S = 10.0
_SHORT_DEADLINE_S = 0.4


# What a server sends first, and then again and again.
ENDLESS_RESPONSES = (
    ("head", _OK, b"X: " + b"a" * 1000 + b"\r\n"),
    ("header line", _OK + b"X: ", b"a" * 1000),
    ("no response", b"", b"\x00\xff" * 500),
    ("interim", b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 40),
    ("body", _OK + b"Content-Length: 99999999\r\n\r\n", b"a" * 1000),
    ("chunks", _CHUNKED, b"1\r\na\r\n" * 200),
    ("chunk extension", _CHUNKED + b"1;", b"a" * 1000),
    ("chunk extensions", _CHUNKED, b"1;" + b"a" * 999 + b"\r\na\r\n"),
    ("trailers", _CHUNKED + b"0\r\n", b"X: " + b"a" * 999 + b"\r\n"),
)


class ScriptedServer:
    """Server that answers the requests of each connection by a script.

    A step of a script is bytes to send or the name of a fault. ``%(id)s`` in
    the bytes stands for the request's id.
    """

    def __init__(self, *connections) -> None:
        self._scripts = list(connections)
        self._listener = socket.create_server(("127.0.0.1", 0))
        host, port = self._listener.getsockname()
        self.address = f"{host}:{port}"
        self.requests_read = 0
        self.bytes_sent = 0
        self.stopping = threading.Event()
        self.connection_ended = threading.Event()
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Close all connections."""
        self.stopping.set()
        self._listener.close()

    def _accept(self) -> None:
        for script in self._scripts:
            try:
                conn, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self._serve, args=(conn, script), daemon=True
            ).start()

    def _serve(self, conn: socket.socket, script) -> None:
        self._run(conn, script)
        self.connection_ended.set()

    def _run(self, conn: socket.socket, script) -> None:
        with conn, conn.makefile("rb") as stream:
            for step in script:
                request_id = _read_request(stream)
                if request_id is None:
                    return
                self.requests_read += 1
                if step == _RESET:
                    conn.setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, b"\1" + b"\0" * 7
                    )
                    return
                if step == _HOLD:
                    self.stopping.wait(30)
                    return
                if step[0] == _ENDLESS:
                    self._send_endless(conn, *step[1:])
                    return
                if step in (_DRIP, _DRIP_HEADERS):
                    self._drip(conn, is_body=step == _DRIP)
                    return
                conn.sendall(step.replace(b"%(id)s", request_id))

    def _send_endless(self, conn: socket.socket, first, rest) -> None:
        """Send until the other side closes."""
        try:
            conn.sendall(first)
            while not self.stopping.is_set():
                conn.sendall(rest)
                self.bytes_sent += len(rest)
        except OSError:
            return

    def _drip(self, conn: socket.socket, *, is_body: bool) -> None:
        """Send one byte at a time for longer than the tests' deadlines."""
        conn.sendall(_OK + b"Content-Length: 1000\r\n")
        conn.sendall(b"\r\n" if is_body else b"X-A: ")
        for _ in range(100):
            try:
                conn.sendall(b"x")
            except OSError:
                return
            if self.stopping.wait(0.05):
                return


def _read_request(stream) -> bytes | None:
    request_id = b""
    length = 0
    while (line := stream.readline()) not in (b"\r\n", b""):
        name, _, value = line.partition(b":")
        if name.lower() == b"x-request-id":
            request_id = value.strip()
        if name.lower() == b"content-length":
            length = int(value)
    if line == b"":
        return None
    stream.read(length)
    return request_id


class BackendTest(unittest.TestCase):
    def setUp(self):
        kind = NaiveBackends if IS_NAIVE else HttpBackends
        self.backends = kind(
            clock=SystemClock(),
            addresses=AddressMap(mapping={}),
            connections=4,
        )
        self.addCleanup(self.backends.close)

    def _server(self, *scripts) -> ScriptedServer:
        server = ScriptedServer(*scripts)
        self.addCleanup(server.close)
        return server

    def _exchange(self, address, number=1, **changes):
        fields = {
            "method": "GET",
            "path": f"/{number}",
            "headers": {"X-Request-Id": f"id-{number}"},
            "body": b"",
            "request_id": f"id-{number}",
            "deadline": _deadline_in(_DEADLINE_S),
            "answer_bytes_max": 100,
            "fresh_connection": False,
        }
        return self.backends.exchange(
            address, OutgoingRequest(**fields | changes)
        )

    def test_server_without_ids(self):
        """Guards against losing every second response of such a server."""
        answer = _OK + b"Content-Length: 2\r\n\r\nok"
        server = self._server(*[(answer, answer)] * 3)
        for number in range(3):
            end = self._exchange(server.address, number)
            self.assertIsInstance(end, Answered)

    @params(
        ("whole", _COMPLETE, Answered),
        ("reset after running", _RESET, Reset),
        ("closed without response", b"", Reset),
        ("garbage", b"\x00\xff garbage\r\n\r\n", Reset),
        ("late", _HOLD, TimedOut),
        ("dripping", _DRIP, TimedOut),
        ("dripping headers", _DRIP_HEADERS, TimedOut),
        ("short", _OK + _ID + b"Content-Length: 5\r\n\r\nok", Incomplete),
        ("excess", _COMPLETE + b"more", Incomplete),
        (
            "two lengths",
            _OK + b"Content-Length: 1\r\nContent-Length: 2\r\n\r\nok",
            Incomplete | Reset,
        ),
        (
            "length and coding",
            _OK + b"Content-Length: 2\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            Incomplete,
        ),
        ("bad length", _OK + b"Content-Length: +2\r\n\r\nok", Incomplete),
        (
            "length of superscripts",
            _OK + b"Content-Length: \xb2\r\n\r\nok",
            Incomplete,
        ),
        (
            "length of 5,000 digits",
            _OK + _ID + b"Content-Length: " + b"2" * 5000 + b"\r\n\r\nok",
            Incomplete,
        ),
        (
            "length of 400 digits",
            _OK + _ID + b"Content-Length: " + b"2" * 400 + b"\r\n\r\nok",
            Incomplete,
        ),
        ("no length", _OK + _ID + b"\r\ncut or who", Incomplete),
        (
            "cut in a chunk",
            _OK + b"Transfer-Encoding: chunked\r\n\r\n5\r\nab",
            Incomplete,
        ),
        (
            "interim status",
            b"HTTP/1.1 103 Early Hints\r\n\r\n" + _COMPLETE,
            Incomplete,
        ),
        (
            "status 000",
            _COMPLETE.replace(b"200", b"000"),
            Incomplete | Reset,
        ),
        ("status 600", _COMPLETE.replace(b"200", b"600"), Incomplete | Reset),
        ("status 999", _COMPLETE.replace(b"200", b"999"), Incomplete | Reset),
        (
            "id of another",
            _OK + b"X-Request-Id: id-9\r\nContent-Length: 2\r\n\r\nok",
            Mismatched,
        ),
        (
            "too large",
            _OK + b"Content-Length: 101\r\n\r\n" + b"x" * 101,
            TooLarge,
        ),
        (
            "shed without being whole",
            b"HTTP/1.1 503 No\r\nX-Shed: overload\r\n"
            b"Content-Length: 9\r\n\r\n",
            Incomplete,
        ),
        (
            "shed",
            b"HTTP/1.1 503 No\r\nX-Shed: overload\r\n"
            b"Content-Length: 0\r\n\r\n",
            Shed,
        ),
    )
    def test_end(self, _case, step, kind):
        """Guards against accepting a partial or another's response."""
        for fresh in (False, True):
            server = self._server([step])
            started = time.monotonic()
            deadline_s = _SHORT_DEADLINE_S if kind is TimedOut else _DEADLINE_S
            end = self._exchange(
                server.address,
                fresh_connection=fresh,
                deadline=_deadline_in(deadline_s),
            )
            self.assertIsInstance(end, kind)
            self.assertLess(time.monotonic() - started, 2.0)
            self.assertEqual(1, server.requests_read)
            if kind not in (Answered, Shed):
                self.assertIs(Outcome.UNKNOWN, classify(end).outcome)

    @params(
        (_OK + _ID + b"Content-Length: 0\r\nX-Name: value\r\n\r\n", "GET"),
        (_OK + _ID + b"X-Name: v\r\nContent-Length: 22\r\n\r\n", "GET"),
        (_OK + _ID + b"Content-Length: 22\r\nX-Name: v\r\n\r\n", "HEAD"),
        (b"HTTP/1.1 204 No\r\n" + _ID + b"X-Name: value\r\n\r\n", "GET"),
        (
            b"HTTP/1.1 503 No\r\nContent-Length: 0\r\nX-Shed: overload\r\n"
            b"X-Name: value\r\n\r\n",
            "GET",
        ),
    )
    def test_head_that_breaks_off_is_no_response(self, head, method):
        """Guards against a success or refusal made of half a head."""
        length = len(head) - 1
        server = self._server(*[[head[:cut]] for cut in range(1, length + 1)])
        for cut in range(1, length + 1):
            end = self._exchange(server.address, method=method)
            self.assertIsInstance(end, Incomplete | Reset, head[:cut])
            self.assertIs(Outcome.UNKNOWN, classify(end).outcome)

    @params(*ENDLESS_RESPONSES)
    def test_bytes_without_end(self, _case, first, rest):
        """Guards against a server that sends until the caller closes.

        The deadline is far: the exchange ends by the number of bytes.
        """
        server = self._server([(_ENDLESS, first, rest)])
        end = self._exchange(server.address, deadline=_deadline_in(60))
        self.assertIsInstance(end, Incomplete | Reset | TooLarge | Mismatched)
        self.assertTrue(server.connection_ended.wait(10))
        self.assertLess(server.bytes_sent, 32_000_000)

    def test_answer_in_small_pieces_is_given_up(self):
        """Guards against a server's answer that keeps a thread busy."""
        pieces = b"1\r\na\r\n" * 10_000
        server = self._server([(_ENDLESS, _CHUNKED, pieces)])
        began_at = time.monotonic()
        end = self._exchange(
            server.address,
            deadline=_deadline_in(60),
            answer_bytes_max=32 * 1024 * 1024,
        )
        self.assertIsInstance(end, Incomplete)
        self.assertIn(MessageTooCostly.__name__, end.detail)
        self.assertLess(time.monotonic() - began_at, 20)

    @params(
        ("id of another", _COMPLETE.replace(b"%(id)s", b"id-9")),
        ("excess", _COMPLETE + _COMPLETE),
        ("interim status", b"HTTP/1.1 103 Hints\r\n\r\n" + _COMPLETE),
        ("late", _HOLD),
        ("short", _OK + _ID + b"Content-Length: 5\r\n\r\nok"),
    )
    def test_connection_is_not_used_again(self, _case, step):
        """Guards against reading a stale response on a reused connection."""
        server = self._server([step, step], [_COMPLETE, _COMPLETE])
        deadline_s = _SHORT_DEADLINE_S if step == _HOLD else _DEADLINE_S
        self._exchange(server.address, deadline=_deadline_in(deadline_s))
        for number in (2, 3):
            end = self._exchange(server.address, number)
            self.assertIsInstance(end, Answered)
            self.assertIn(("X-Request-Id", f"id-{number}"), end.headers)

    def test_late_shed_does_not_apply_to_another_request(self):
        """Guards against outcome "not run" from an earlier request's shed.

        The late response has no id and arrives while the connection is used
        by the next request.
        """
        late_response = b"HTTP/1.1 503 No\r\nX-Shed: overload\r\n"
        late_response += b"Content-Length: 0\r\n\r\n"
        server = self._server([_COMPLETE, late_response])
        self.assertIsInstance(self._exchange(server.address), Answered)
        end = self._exchange(server.address, 2)
        self.assertIs(Outcome.UNKNOWN, classify(end).outcome)

    def test_kept_connection_closed_while_idle_is_replaced(self):
        """Guards against an avoidable unknown outcome.

        The server closes the kept connection between two requests.
        """
        server = self._server([_COMPLETE], [_COMPLETE])
        self._exchange(server.address)
        self.assertTrue(server.connection_ended.wait(10))
        self.assertIsInstance(self._exchange(server.address, 2), Answered)

    def test_connections_of_a_gone_address_are_closed(self):
        """Guards against sockets kept for addresses that servers have left.

        A server that starts again at another address leaves some each time.
        """
        before = self._server([_COMPLETE])
        self._exchange(before.address)
        (kept,) = self.backends._idle[before.address]
        self.assertTrue(before.connection_ended.wait(10))
        self._exchange(self._server([_COMPLETE]).address, 2)
        self.assertIsNone(kept.sock)
        self.assertNotIn(before.address, self.backends._idle)

    def test_kept_connection_closed_while_writing(self):
        """Guards against sending a request twice or reporting it not run."""
        server = self._server([_COMPLETE, _RESET], [_COMPLETE])
        self._exchange(server.address)
        body = b"x" * 20_000_000
        end = self._exchange(
            server.address,
            2,
            method="POST",
            body=body,
            deadline=_deadline_in(5),
        )
        self.assertIs(Outcome.UNKNOWN, classify(end).outcome)
        self.assertEqual(2, server.requests_read)

    def test_server_that_does_not_read(self):
        """Guards against writing past the deadline."""
        server = self._server()
        started = time.monotonic()
        end = self._exchange(
            server.address,
            method="POST",
            body=b"x" * 20_000_000,
            deadline=_deadline_in(_SHORT_DEADLINE_S),
        )
        self.assertIsInstance(end, TimedOut)
        self.assertLess(time.monotonic() - started, 2.0)

    def test_request_cut_while_writing_is_not_continued_elsewhere(self):
        """Guards against sending a request's rest on a new connection."""
        server = self._server([_COMPLETE], [_COMPLETE])
        conn = self.backends._acquire(server.address, True)
        conn.start_exchange(_deadline_in(1), 100)
        conn.send(b"POST / HTTP/1.1\r\nContent-Length: 100\r\n\r\n")
        conn.close()
        with self.assertRaises(OSError):
            conn.send(b"x" * 100)

    def test_refused_and_past_deadline_are_not_sent(self):
        """Guards against sending after the deadline.

        A refused connection also proves that nothing has been sent.
        """
        server = self._server([_COMPLETE])
        end = self._exchange(server.address, deadline=_deadline_in(-1))
        self.assertIsInstance(end, NotSent)
        self.assertEqual(0, server.requests_read)
        server.close()
        self.assertIsInstance(self._exchange("127.0.0.1:9"), NotSent)

    def test_parallel_exchanges_get_their_own_responses(self):
        """Guards against mixing up the responses of parallel requests.

        The second response on each connection has a wrong id.
        """
        steps = [_COMPLETE, _COMPLETE.replace(b"%(id)s", b"id-9"), _COMPLETE]
        server = self._server(*[steps for _ in range(400)])
        mismatched = []

        def run(first: int) -> None:
            for number in range(first, first + 60):
                end = self._exchange(
                    server.address, number, deadline=_deadline_in(5)
                )
                if isinstance(end, Answered) and (
                    ("X-Request-Id", f"id-{number}") not in end.headers
                ):
                    mismatched.append(number)

        threads = [
            threading.Thread(target=run, args=(n * 100,)) for n in range(1, 7)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual([], mismatched)


def _deadline_in(seconds: float) -> float:
    return time.monotonic() + seconds
