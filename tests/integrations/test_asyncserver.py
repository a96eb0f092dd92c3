"""Tests of the asynchronous HTTP server with faulty callers."""

import asyncio
import unittest
from unittest import mock

import logbook

from chiverun.core import connectionchoice
from chiverun.core.bytebudget import ByteBudget
from chiverun.core.callerlimits import CallerLimits
from chiverun.core.catalog import ClientLimits
from chiverun.core.timeshare import TimeDebt
from chiverun.integrations.asyncserver import IncomingRequest
from chiverun.integrations.asyncserver import listen
from chiverun.integrations.asyncserver import ListenerState
from chiverun.integrations.asyncserver import OutgoingResponse
from chiverun.integrations.asyncserver import ServerConnection

_TIMEOUT_S = 20.0
# More than the buffers of two sockets hold.
_LARGE_BODY = bytes(32 * 1024 * 1024)
# Responses that no caller can be sent.
_UNSENDABLE = {
    "/text": OutgoingResponse(status=200, headers=[("X-A", "\u0142")]),
    "/line": OutgoingResponse(status=200, headers=[("X-A", "a\r\nB: c")]),
    "/name": OutgoingResponse(status=200, headers=[("X A", "a")]),
    "/status": OutgoingResponse(status=99, headers=[]),
    "/length": OutgoingResponse(
        status=200, headers=[("Content-Length", "2, 3")], body=b"ab"
    ),
}
# These fail when the head has been encoded.
_UNSENDABLE_BODIES = {
    "/short": OutgoingResponse(
        status=200, headers=[("Content-Length", "9")], body=b"ab"
    ),
    "/long": OutgoingResponse(
        status=200, headers=[("Content-Length", "1")], body=b"ab"
    ),
}
_LIMITS = ClientLimits(
    header_bytes=1024,
    body_bytes=100,
    header_timeout_s=0.3,
    idle_timeout_s=0.6,
)


class AsyncServerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.handled_requests: list[IncomingRequest] = []
        self.cancelled = asyncio.Event()
        self.errors = 0
        self.state = ListenerState(
            handler=self._handle, limits=_LIMITS, count_error=self._count_error
        )
        server = await listen("127.0.0.1:0", self.state)
        self.addCleanup(server.close)
        self.address = server.sockets[0].getsockname()

    def _count_error(self) -> None:
        self.errors += 1

    async def _handle(self, incoming: IncomingRequest) -> OutgoingResponse:
        self.handled_requests.append(incoming)
        unsendable = {**_UNSENDABLE, **_UNSENDABLE_BODIES}
        if incoming.target in unsendable:
            return unsendable[incoming.target]
        if incoming.target == "/cancelled":
            raise asyncio.CancelledError
        if incoming.target == "/large":
            return OutgoingResponse(status=200, headers=[], body=_LARGE_BODY)
        if incoming.target == "/fails":
            raise ValueError("test")
        if incoming.target == "/waits":
            try:
                await asyncio.sleep(_TIMEOUT_S)
            except asyncio.CancelledError:
                self.cancelled.set()
                raise
        body = incoming.target.encode() + incoming.body
        return OutgoingResponse(status=200, headers=[], body=body)

    async def _send(self, raw: bytes) -> bytes:
        """Send bytes and read until the server closes the connection."""
        reader, writer = await asyncio.open_connection(*self.address)
        writer.write(raw)
        try:
            return await asyncio.wait_for(reader.read(), _TIMEOUT_S)
        finally:
            writer.close()

    async def test_invalid_requests_are_rejected(self) -> None:
        """Guards against request smuggling and oversized requests.

        A rejected request must not reach the handler.
        """
        head = b"POST /a HTTP/1.1\r\nHost: x\r\n"
        cases = {
            "length and chunks": (
                head + b"Content-Length: 3\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                400,
            ),
            "two lengths": (
                head + b"Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
                400,
            ),
            "no HTTP": (b"\x00\x01\x02\r\n\r\n", 400),
            "large head": (head + b"A: " + b"a" * 5000 + b"\r\n\r\n", 431),
            "large body": (
                head + b"Content-Length: 101\r\n\r\n" + b"b" * 101,
                413,
            ),
            "half a body": (head + b"Content-Length: 9\r\n\r\nhalf", 408),
        }
        for name, (raw, status) in cases.items():
            with self.subTest(name):
                response = await self._send(raw)
                self.assertEqual(
                    f"{status}".encode(), response[9:12], response
                )
        self.assertEqual([], self.handled_requests)

    async def test_slow_head_and_idle_connections_are_closed(self) -> None:
        """Guards against connections held open by silent callers."""
        loop = asyncio.get_running_loop()
        for raw in (b"", b"GET /a HT"):
            started_at = loop.time()
            self.assertEqual(b"", await self._send(raw))
            self.assertGreaterEqual(loop.time() - started_at, 0.25)
        response = await self._send(b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n")
        self.assertEqual(b"/a", response[-2:])

    async def test_pipelined_requests_are_answered_in_order(self) -> None:
        """Guards against sending a response to another request."""
        raw = b"".join(
            b"GET /%d HTTP/1.1\r\nHost: x\r\n\r\n" % i for i in range(3)
        )
        response = await self._send(raw)
        offsets = [response.index(b"\r\n\r\n/%d" % i) for i in range(3)]
        self.assertEqual(sorted(offsets), offsets)

    async def test_chunked_body_is_read_whole(self) -> None:
        """Guards against handling a partial chunked body."""
        response = await self._send(
            b"POST /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n2\r\ndy\r\n"
            b"0\r\n\r\n"
        )
        self.assertEqual(b"/abody", response[-6:])

    async def test_disconnect_cancels_the_handler(self) -> None:
        """Guards against work for callers that have disconnected."""
        _, writer = await asyncio.open_connection(*self.address)
        writer.write(b"GET /waits HTTP/1.1\r\nHost: x\r\n\r\n")
        while not self.handled_requests:
            await asyncio.sleep(0.01)
        writer.close()
        await asyncio.wait_for(self.cancelled.wait(), _TIMEOUT_S)

    async def test_failed_handler_returns_500(self) -> None:
        """Guards against a request without a response."""
        response = await self._send(
            b"GET /fails HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
        )
        self.assertEqual(b"500", response[9:12])

    async def test_response_that_cannot_be_sent(self) -> None:
        """Guards against callers that wait for an answer that never comes.

        The request may have run, so it is not refused.
        """
        for target in _UNSENDABLE:
            with self.subTest(target):
                self.errors = 0
                raw = f"GET {target} HTTP/1.1\r\nHost: x\r\n".encode()
                response = await self._send(raw + b"Connection: close\r\n\r\n")
                self.assertEqual(b"502", response[9:12])
                self.assertEqual(1, self.errors)

    async def test_task_that_ends_without_a_response(self) -> None:
        """Guards against a connection that stays open and silent."""
        for target in ("/cancelled", *_UNSENDABLE_BODIES):
            with self.subTest(target):
                self.errors = 0
                raw = f"GET {target} HTTP/1.1\r\nHost: x\r\n\r\n".encode()
                self.assertEqual(b"", await self._send(raw))
                self.assertEqual(1, self.errors)

    async def test_error_while_a_request_is_read(self) -> None:
        """Guards against a connection that an error leaves silent."""
        raw = b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n"
        for name in ("_start_request", "_start_handler"):
            for must_wait in (False, True):
                with (
                    self.subTest(f"{name}, {must_wait}"),
                    mock.patch.object(ServerConnection, name, _fail),
                    mock.patch.object(
                        TimeDebt, "must_wait", return_value=must_wait
                    ),
                ):
                    self.errors = 0
                    self.assertEqual(b"", await self._send(raw))
                    self.assertEqual(1, self.errors)

    async def test_error_does_not_cut_an_earlier_response(self) -> None:
        """Guards against a response lost for the error of the next one."""
        reader, writer = await asyncio.open_connection(*self.address)
        self.addCleanup(writer.close)
        writer.write(
            b"GET /large HTTP/1.1\r\nHost: x\r\n\r\n"
            b"GET /cancelled HTTP/1.1\r\nHost: x\r\n\r\n"
        )
        response = await asyncio.wait_for(reader.read(), _TIMEOUT_S)
        self.assertTrue(response.endswith(_LARGE_BODY))

    async def test_error_of_a_time_limit(self) -> None:
        """Guards against a connection that outlasts its limit for ever."""
        with mock.patch.object(ServerConnection, "_on_timeout", _fail):
            self.assertEqual(b"", await self._send(b"GET /a HT"))
        self.assertEqual(1, self.errors)

    async def test_refused_head_request_is_answered(self) -> None:
        """Guards against a refusal whose body a HEAD request cannot have."""
        response = await self._send(
            b"HEAD /a HTTP/1.1\r\nHost: x\r\nContent-Length: 101\r\n\r\n"
        )
        self.assertEqual(b"413", response[9:12])
        self.assertTrue(response.endswith(b"\r\n\r\n"))
        self.assertEqual(0, self.errors)

    async def test_closing_server_sends_connection_close(self) -> None:
        """Guards against callers that stay connected to a stopping server."""
        self.state.closing = True
        response = await self._send(b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n")
        self.assertIn(b"Connection: close", response)

    async def test_head_has_a_length_and_no_body(self) -> None:
        """Guards against a body in the response to a HEAD request."""
        response = await self._send(
            b"HEAD /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
        )
        self.assertIn(b"Content-Length: 2", response)
        self.assertTrue(response.endswith(b"\r\n\r\n"))

    async def test_long_body_is_refused_before_it_is_read(self) -> None:
        """Guards against a caller that loses the refusal to a reset.

        The caller sends its whole body before it reads the response.
        """
        raw = b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 500000\r\n\r\n"
        for body in (b"", b"b" * 500_000):
            response = await self._send(raw + body)
            self.assertEqual(b"413", response[9:12])
        self.assertEqual([], self.handled_requests)

    async def test_chunked_body_is_refused_at_its_limit(self) -> None:
        """Guards against reading chunks without end."""
        head = b"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n"
        chunk = b"32\r\n" + b"b" * 50 + b"\r\n"
        reader, writer = await asyncio.open_connection(*self.address)
        self.addCleanup(writer.close)
        writer.write(head + b"\r\n" + 3 * chunk)
        response = await asyncio.wait_for(reader.read(), _TIMEOUT_S)
        self.assertEqual(b"413", response[9:12])

    async def test_expected_continue_is_not_given_for_a_long_body(
        self,
    ) -> None:
        """Guards against asking for a body that is then refused."""
        head = b"POST /a HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\n"
        for length, status in ((5, b"100"), (101, b"413")):
            reader, writer = await asyncio.open_connection(*self.address)
            self.addCleanup(writer.close)
            writer.write(head + b"Content-Length: %d\r\n\r\n" % length)
            line = await asyncio.wait_for(reader.readline(), _TIMEOUT_S)
            self.assertEqual(status, line[9:12])

    async def test_memory_of_all_bodies_is_bounded(self) -> None:
        """Guards against many bodies that exhaust the memory together.

        Each is within the limit of one body. The newcomer is told truly that
        it has not run, and the bodies that are being read go on.
        """
        self.state.memory = ByteBudget(limit=250)
        head = b"POST /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
        rows = []
        for _ in range(3):
            reader, writer = await asyncio.open_connection(*self.address)
            self.addCleanup(writer.close)
            writer.write(head + b"Content-Length: 80\r\n\r\n" + b"b" * 79)
            rows.append((reader, writer))
        while self.state.memory.used < 3 * 79:
            await asyncio.sleep(0.01)
        raw = head + b"Content-Length: 80\r\n\r\n" + b"b" * 80
        refused = await self._send(raw)
        self.assertEqual(b"503", refused[9:12])
        self.assertIn(b"Retry-After", refused)
        for reader, writer in rows:
            writer.write(b"b")
            response = await asyncio.wait_for(reader.read(), _TIMEOUT_S)
            self.assertEqual(b"200", response[9:12])
        self.assertEqual(0, self.state.memory.used)
        self.assertEqual(b"200", (await self._send(raw))[9:12])

    async def test_trickled_body_ends(self) -> None:
        """Guards against a body that a byte now and then keeps open."""
        head = b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 90\r\n\r\n"
        self.state.caller_limits = CallerLimits(body_timeout_s=0.5)
        reader, writer = await asyncio.open_connection(*self.address)
        self.addCleanup(writer.close)
        writer.write(head)
        reading = asyncio.create_task(reader.read())
        for _ in range(40):
            if reading.done():
                break
            writer.write(b"b")
            await asyncio.sleep(0.1)
        response = await asyncio.wait_for(reading, _TIMEOUT_S)
        self.assertEqual(b"408", response[9:12])

    async def test_half_a_head_is_not_idle(self) -> None:
        """Guards against a stop that cuts a request which is being sent."""
        reader, writer = await asyncio.open_connection(*self.address)
        self.addCleanup(writer.close)
        writer.write(b"GET /a HTTP/1.1\r\nHost: x\r\n")
        while not any(conn.is_busy for conn in self.state.connections):
            await asyncio.sleep(0.01)
        self.state.closing = True
        for conn in list(self.state.connections):
            conn.close_if_idle()
        writer.write(b"\r\n")
        response = await asyncio.wait_for(reader.read(), _TIMEOUT_S)
        self.assertEqual(b"200", response[9:12])

    async def test_request_that_waits_for_its_turn_is_not_idle(self) -> None:
        """Guards against a stop that cuts off a request that was read."""
        reader, writer = await asyncio.open_connection(*self.address)
        self.addCleanup(writer.close)
        with mock.patch.object(TimeDebt, "must_wait", return_value=True):
            writer.write(b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n" * 2)
            # Idle until its first byte arrives.
            while not self.state.active():
                await asyncio.sleep(0)
            responses = asyncio.create_task(reader.readuntil(b"/a"))
            while len(self.handled_requests) < 2:
                for connection in list(self.state.connections):
                    connection.close_if_idle()
                self.assertTrue(self.state.connections)
                await asyncio.sleep(0)
            self.assertTrue(await responses)

    async def test_response_that_is_being_read_is_not_idle(self) -> None:
        """Guards against a stop that cuts off an answer on a slow link."""
        reader, writer = await asyncio.open_connection(*self.address)
        self.addCleanup(writer.close)
        writer.transport.pause_reading()
        writer.write(b"GET /large HTTP/1.1\r\nHost: x\r\n\r\n")
        async with asyncio.timeout(_TIMEOUT_S):
            while not self.handled_requests:
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.1)
            self.assertEqual(1, self.state.active())
            for connection in list(self.state.connections):
                connection.close_if_idle()
            self.assertEqual(1, self.state.active())
            writer.transport.resume_reading()
            head = await reader.readuntil(b"\r\n\r\n")
            self.assertIn(b"%d" % len(_LARGE_BODY), head)
            body = await reader.readexactly(len(_LARGE_BODY))
            self.assertEqual(_LARGE_BODY, body)
            while self.state.active():
                await asyncio.sleep(0.01)

    async def test_caller_that_does_not_read_gets_no_further_responses(
        self,
    ) -> None:
        """Guards against responses that pile up in memory."""
        path = b"/" + b"p" * 900
        _, writer = await asyncio.open_connection(*self.address, limit=1)
        self.addCleanup(writer.close)
        writer.transport.pause_reading()
        for _ in range(60):
            writer.write((b"GET %s HTTP/1.1\r\nHost: x\r\n\r\n" % path) * 300)
            await asyncio.sleep(0.02)
        handled = len(self.handled_requests)
        await asyncio.sleep(0.3)
        self.assertEqual(handled, len(self.handled_requests))
        self.assertLess(handled, 18_000)

    async def test_request_behind_a_closing_response_has_not_run(self) -> None:
        """Guards against a run whose response is lost with the connection."""
        response = await self._send(
            b"GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
            + b"GET /b HTTP/1.1\r\nHost: x\r\n\r\n" * 500
        )
        self.assertEqual(1, response.count(b"HTTP/1.1 200"))
        self.assertEqual(["/a"], [r.target for r in self.handled_requests])

    async def test_much_sent_ahead_has_not_run(self) -> None:
        """Guards against requests that pile up behind one that runs."""
        finish = asyncio.Event()

        async def handle(incoming: IncomingRequest) -> OutgoingResponse:
            self.handled_requests.append(incoming)
            await finish.wait()
            return OutgoingResponse(status=200, headers=[])

        self.state.handler = handle
        raw = b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n"
        reader, writer = await asyncio.open_connection(*self.address)
        self.addCleanup(writer.close)
        writer.write(raw)
        while not self.handled_requests:
            await asyncio.sleep(0.01)
        writer.write(raw * 10_000)
        await asyncio.sleep(0.3)
        self.assertLess(self.state.memory.used, 256 * 1024)
        finish.set()
        response = await asyncio.wait_for(reader.read(), _TIMEOUT_S)
        self.assertIn(b"Connection: close", response)
        self.assertEqual(1, len(self.handled_requests))

    async def test_refusal_quotes_nothing_of_the_request(self) -> None:
        """Guards against API keys in logs and responses."""
        cases = (
            b"GET /a HTTP/1.1\r\nHost: x\r\nApi-Key secret\r\n\r\n",
            b"GET /a HTTP/1.1\r\nHost: x\r\nApi-Key: \0secret\r\n\r\n",
            b"secret\r\n\r\n",
            b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: secret\r\n\r\n",
            b"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n"
            b"\r\nsecret\r\n",
        )
        logs = logbook.TestHandler(level=logbook.DEBUG, bubble=False)
        with logs.applicationbound():
            for raw in cases:
                response = await self._send(raw)
                self.assertEqual(b"400", response[9:12])
                self.assertNotIn(b"secret", response)
        lines = [f"{row.message} {row.extra}" for row in logs.records]
        self.assertEqual(len(cases), len(lines))
        self.assertNotIn("secret", "".join(lines))

    async def test_full_listener_closes_idle_connections(self) -> None:
        """Guards against silent callers that keep all others out."""
        self.state.caller_limits = CallerLimits(connections=3)
        for _ in range(3):
            _, writer = await asyncio.open_connection(*self.address)
            self.addCleanup(writer.close)
        await asyncio.sleep(0.01)
        raw = b"GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
        refused = await self._send(b"")
        self.assertEqual(b"503", refused[9:12])
        self.assertIn(b"X-Chiverun-Code: 310", refused)
        with mock.patch.object(connectionchoice, "SPARED_S", 0.0):
            await asyncio.sleep(0.1)
            self.assertEqual(b"200", (await self._send(raw))[9:12])
        self.assertLessEqual(len(self.state.connections), 3)

    async def test_result_codes_of_refusals(self) -> None:
        """Guards against refusals whose cause callers cannot tell."""
        head = b"POST /a HTTP/1.1\r\nHost: x\r\n"
        slow = await self._send(head + b"Content-Length: 9\r\n\r\nhalf")
        self.assertIn(b"X-Chiverun-Code: 311", slow)
        self.state.memory.limit = 5
        full = await self._send(head + b"Content-Length: 9\r\n\r\n")
        self.assertIn(b"X-Chiverun-Code: 309", full)


def _fail(*_args) -> None:
    raise ValueError("test")
