"""Tests of the asynchronous HTTP client with faulty servers."""

import asyncio
import contextlib
import socket
import unittest

from chiverun.core.bytebudget import ByteBudget
from chiverun.core.exchange import Answered
from chiverun.core.exchange import Incomplete
from chiverun.core.exchange import Mismatched
from chiverun.core.exchange import NotSent
from chiverun.core.exchange import Reset
from chiverun.core.exchange import TimedOut
from chiverun.core.exchange import TooLarge
from chiverun.integrations.asyncclient import ClientConnection
from chiverun.integrations.asyncclient import connect
from chiverun.integrations.asyncclient import OutgoingRequest

_TIMEOUT_S = 20.0
_STATUS_LINE = b"HTTP/1.1 200 OK\r\n"
_MATCHING_HEAD = _STATUS_LINE + b"Id: mine\r\n"
_MATCHING_RESPONSE = _MATCHING_HEAD + b"Content-Length: 2\r\n\r\nok"
_OTHER_RESPONSE = _STATUS_LINE + b"Id: other\r\nContent-Length: 5\r\n\r\nother"
# Steps of a server's script other than bytes to send.
_RESET = "reset"
_HOLD = "hold"

# The server's script, the end of the exchange, and whether the connection is
# reusable.
_CASES = {
    "whole": ([_MATCHING_RESPONSE], Answered, True),
    "bytes behind the response": (
        [_MATCHING_RESPONSE + b"more"],
        Answered,
        False,
    ),
    "response of another, then mine": (
        [_OTHER_RESPONSE + _MATCHING_RESPONSE],
        Answered,
        False,
    ),
    "response of another, then closed": ([_OTHER_RESPONSE], Reset, False),
    "response of another that closes": (
        [_OTHER_RESPONSE.replace(b"Id:", b"Connection: close\r\nId:")],
        Mismatched,
        False,
    ),
    "cut in the body": (
        [_MATCHING_HEAD + b"Content-Length: 9\r\n\r\nok"],
        Incomplete,
        False,
    ),
    "reset in the body": (
        [_MATCHING_HEAD + b"Content-Length: 9\r\n\r\nok", _RESET],
        Incomplete,
        False,
    ),
    "no length, closed": ([_MATCHING_HEAD + b"\r\nok"], Answered, False),
    "no length, reset": (
        [_MATCHING_HEAD + b"\r\nok", _RESET],
        Incomplete,
        False,
    ),
    "cut in a chunk": (
        [_MATCHING_HEAD + b"Transfer-Encoding: chunked\r\n\r\n5\r\nab"],
        Incomplete,
        False,
    ),
    "no response": ([b"\x00\xff\r\n\r\n"], Incomplete, False),
    "closed without a response": ([], Reset, False),
    "reset without a response": ([_RESET], Reset, False),
    "silent": ([_HOLD], TimedOut, False),
    "silent in the body": (
        [_MATCHING_HEAD + b"Content-Length: 9\r\n\r\nok", _HOLD],
        TimedOut,
        False,
    ),
    "closes after the response": (
        [_MATCHING_HEAD + b"Connection: close\r\nContent-Length: 2\r\n\r\nok"],
        Answered,
        False,
    ),
    "too large": (
        [_MATCHING_HEAD + b"Content-Length: 200\r\n\r\n" + b"x" * 200],
        TooLarge,
        False,
    ),
}


# Not statuses by HTTP's semantics (RFC 9110, section 15).
_INVALID_STATUSES = (b"000", b"001", b"099", b"600", b"999")
for _status in _INVALID_STATUSES:
    _answer = _MATCHING_RESPONSE.replace(b"200", _status)
    _CASES[f"status {_status.decode()}"] = ([_answer], Incomplete, False)
    _interim = b"HTTP/1.1 " + _status + b" Early Hints\r\n\r\n"
    _CASES[f"interim status {_status.decode()}"] = (
        [_interim + _MATCHING_RESPONSE],
        Incomplete,
        False,
    )


# What a server sends without end, after a first part.
_ENDLESS = {
    "head": (_MATCHING_HEAD, b"X: " + b"a" * 1000 + b"\r\n"),
    "header line": (_MATCHING_HEAD + b"X: ", b"a" * 1000),
    "bytes that are no response": (b"", b"\x00\xff" * 500),
    "interim responses": (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 20),
    "responses to others": (b"", _OTHER_RESPONSE * 20),
    "body": (_MATCHING_HEAD + b"\r\n", b"a" * 1000),
    "chunks": (
        _MATCHING_HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
        b"1\r\na\r\n" * 200,
    ),
    "chunk extension": (
        _MATCHING_HEAD + b"Transfer-Encoding: chunked\r\n\r\n1;",
        b"a" * 1000,
    ),
    "chunk extensions": (
        _MATCHING_HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
        b"1;" + b"a" * 1000 + b"\r\na\r\n",
    ),
    "trailers": (
        _MATCHING_HEAD + b"Transfer-Encoding: chunked\r\n\r\n0\r\n",
        b"X: " + b"a" * 1000 + b"\r\n",
    ),
}


class AsyncClientTest(unittest.IsolatedAsyncioTestCase):
    async def _serve(self, *scripts) -> str:
        """Start a server with one script for each connection."""
        self.closed = asyncio.Event()
        pending = list(scripts)

        async def handle(reader, writer) -> None:
            script = pending.pop(0)
            with contextlib.suppress(ConnectionError):
                await self._run_script(script, reader, writer)
            writer.close()

        server = await asyncio.start_server(handle, "127.0.0.1", 0)
        self.addAsyncCleanup(server.wait_closed)
        self.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()
        return f"{host}:{port}"

    async def _run_script(self, script, reader, writer) -> None:
        await reader.readuntil(b"\r\n\r\n")
        for step in script:
            if step == _RESET:
                await asyncio.sleep(0.05)
                sock = writer.get_extra_info("socket")
                linger = b"\1\0\0\0\0\0\0\0"
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                writer.transport.abort()
            elif step == _HOLD:
                await reader.read()
                self.closed.set()
            else:
                writer.write(step)
                if len(step) == 1:
                    await asyncio.sleep(0.01)
        if script == [_MATCHING_RESPONSE]:
            # The response announces no close, so the connection stays open.
            await reader.read()

    async def _connect(self, address: str) -> ClientConnection:
        connection = await connect(
            address, timeout_s=_TIMEOUT_S, body_bytes_max=100
        )
        self.addCleanup(connection.abort)
        return connection

    async def _exchange(
        self, connection, timeout_s: float = _TIMEOUT_S, **changes
    ):
        fields = {
            "method": b"GET",
            "target": b"/a",
            "headers": [(b"Host", b"x")],
            "body": b"",
            "matches_request": lambda rows: ("Id", "mine") in rows,
        }
        request = OutgoingRequest(**{**fields, **changes})
        return await connection.exchange(request, timeout_s)

    async def test_ends(self) -> None:
        """Guards against accepting a partial or another's response."""
        for name, (script, expected_type, reusable) in _CASES.items():
            with self.subTest(name):
                connection = await self._connect(await self._serve(script))
                timeout_s = 0.3 if _HOLD in script else _TIMEOUT_S
                end = await self._exchange(connection, timeout_s)
                self.assertIsInstance(end, expected_type)
                self.assertEqual(reusable, connection.reusable)
                if isinstance(end, Answered):
                    self.assertEqual(b"ok", end.body)

    async def test_head_that_breaks_off_is_no_response(self) -> None:
        """Guards against a success or refusal made of half a head."""
        heads = (
            _MATCHING_HEAD + b"Content-Length: 0\r\nX-Name: value\r\n\r\n",
            _MATCHING_HEAD + b"X-Name: v\r\nContent-Length: 22\r\n\r\n",
            _MATCHING_HEAD + b"X-Name: value\r\n\r\n",
            b"HTTP/1.1 204 No\r\nId: mine\r\nX-Name: value\r\n\r\n",
        )
        for head in heads:
            for cut in range(1, len(head)):
                connection = await self._connect(
                    await self._serve([head[:cut]])
                )
                end = await self._exchange(connection)
                self.assertIsInstance(end, Incomplete | Reset, head[:cut])
                self.assertFalse(connection.reusable)

    async def test_bytes_while_idle_close_the_connection(self) -> None:
        """Guards against taking a late response for the next one."""
        connection = await self._connect(
            await self._serve([_MATCHING_RESPONSE, b"", _MATCHING_RESPONSE])
        )
        self.assertIsInstance(await self._exchange(connection), Answered)
        while connection.reusable:
            await asyncio.sleep(0.01)
        self.assertIsInstance(await self._exchange(connection), NotSent)

    async def test_error_while_a_response_is_processed(self) -> None:
        """Guards against an exchange that waits until its deadline."""

        def fail(_rows) -> bool:
            raise ValueError("test")

        connection = await self._connect(
            await self._serve([_MATCHING_RESPONSE])
        )
        errors = []
        connection._turns.count_error = lambda: errors.append(1)
        end = await self._exchange(connection, matches_request=fail)
        self.assertIsInstance(end, Incomplete)
        self.assertFalse(connection.reusable)
        self.assertEqual([1], errors)

    async def test_request_that_cannot_be_encoded_is_not_sent(self) -> None:
        """Guards against an error that hides that a request did not run."""
        for headers in ([(b"Host", b"x"), (b"X-A", b"a\r\nb")], []):
            connection = await self._connect(await self._serve([]))
            end = await self._exchange(connection, headers=headers)
            self.assertIsInstance(end, NotSent)
            self.assertFalse(connection.reusable)

    async def test_cancelled_exchange_closes_the_connection(self) -> None:
        """Guards against a server that continues a cancelled request."""
        connection = await self._connect(await self._serve([_HOLD]))
        task = asyncio.create_task(self._exchange(connection))
        await asyncio.sleep(0.1)
        task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await task
        await asyncio.wait_for(self.closed.wait(), _TIMEOUT_S)
        self.assertFalse(connection.reusable)

    async def test_refused_connection(self) -> None:
        """Guards against an exception type that callers do not handle."""
        with socket.create_server(("127.0.0.1", 0)) as listener:
            port = listener.getsockname()[1]
        with self.assertRaises(OSError):
            await self._connect(f"127.0.0.1:{port}")

    async def _serve_endless(self, first: bytes, rest: bytes) -> str:
        """Start a server that sends until the client closes."""
        self.closed_connections = 0

        async def handle(reader, writer) -> None:
            await reader.readuntil(b"\r\n\r\n")
            with contextlib.suppress(ConnectionError):
                writer.write(first)
                while True:
                    writer.write(rest)
                    await writer.drain()
            self.closed_connections += 1

        server = await asyncio.start_server(handle, "127.0.0.1", 0)
        self.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()
        return f"{host}:{port}"

    async def test_bytes_without_end(self) -> None:
        """Guards against a server that sends until the caller closes."""
        for name, (first, rest) in _ENDLESS.items():
            with self.subTest(name):
                address = await self._serve_endless(first, rest)
                connection = await self._connect(address)
                end = await self._exchange(connection)
                self.assertIsInstance(end, Incomplete | TooLarge | Mismatched)
                self.assertFalse(connection.reusable)
                while not self.closed_connections:
                    await asyncio.sleep(0.01)

    async def test_bytes_without_end_a_byte_at_a_time(self) -> None:
        """Guards against a deadline that each byte extends."""
        for name, (first, rest) in _ENDLESS.items():
            with self.subTest(name):
                address = await self._serve([first, *_bytes_of(rest)])
                connection = await self._connect(address)
                end = await self._exchange(connection, 0.3)
                self.assertNotIsInstance(end, Answered)
                self.assertFalse(connection.reusable)

    async def test_memory_of_endless_bodies_is_bounded(self) -> None:
        """Guards against many endless bodies that exhaust the memory.

        Each is within the limit of one body; the responses of sound servers
        arrive meanwhile.
        """
        memory = ByteBudget(limit=1_000_000)
        endless = await self._serve_endless(
            _MATCHING_HEAD + b"\r\n", b"a" * 999
        )
        connections = [
            await connect(
                endless,
                timeout_s=_TIMEOUT_S,
                body_bytes_max=500_000,
                memory=memory,
            )
            for _ in range(50)
        ]
        running = [
            asyncio.create_task(self._exchange(row)) for row in connections
        ]
        largest = 0
        for _ in range(20):
            sound = await self._connect(
                await self._serve([_MATCHING_RESPONSE])
            )
            self.assertIsInstance(await self._exchange(sound), Answered)
            largest = max(largest, memory.used)
        ends = await asyncio.gather(*running)
        self.assertLessEqual(largest, memory.limit)
        self.assertEqual({TooLarge}, {type(end) for end in ends})
        self.assertEqual(0, memory.used)


def _bytes_of(data: bytes) -> list[bytes]:
    return [data[i : i + 1] for i in range(len(data))]
