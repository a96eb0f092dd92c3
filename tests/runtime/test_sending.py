"""Tests of sends to backend servers that repeat, mix up or lose responses."""

import asyncio
import contextlib
import unittest
from unittest import mock

import logbook
import msgspec

from chiverun.core.bytebudget import ByteBudget
from chiverun.core.exchange import Answered
from chiverun.core.exchange import Incomplete
from chiverun.core.exchange import Mismatched
from chiverun.core.exchange import NotSent
from chiverun.core.exchange import Shed
from chiverun.integrations.asyncserver import IncomingRequest
from chiverun.platform.headercodec import PlatformHeaderCodec
from chiverun.runtime.sending import CHOICE_VALID_S
from chiverun.runtime.sending import Sender
from chiverun.runtime.sending import SendOrder
from chiverun.runtime.sending import SendResult
from chiverun.runtime.servertable import ServerRow
from tests.ports import free_address
from tests.records import make_row
from tests.records import make_server

_TIMEOUT_S = 20.0
_PAUSE_S = 0.05


def _response(
    number: int, *, status: str = "200 OK", extra: str = ""
) -> bytes:
    """Return a stamped response to request `number`."""
    body = f"body {number}"
    return (
        f"HTTP/1.1 {status}\r\nX-Chiverun-Request-Id: r{number}\r\n"
        f"X-Chiverun-Response-Stamp: s{number}\r\n{extra}"
        f"Content-Length: {len(body)}\r\n\r\n{body}"
    ).encode()


def _without_id(response: bytes) -> bytes:
    lines = response.split(b"\r\n")
    return b"\r\n".join(x for x in lines if b"Request-Id" not in x)


_COPY = _response(1)
_SHED_1 = _response(1, status="503 Full", extra="X-Chiverun-Not-Run: full\r\n")
# In the order in which another server may send it.
_SHED_UNSTAMPED_1 = (
    b"HTTP/1.1 503 Full\r\nX-Chiverun-Not-Run: 1\r\nRetry-After: 1\r\n"
    b"Content-Length: 0\r\nX-Chiverun-Request-Id: r1\r\n\r\n"
)
# What the server sends after the second request on a used connection; a
# number is a pause in seconds. Before it, the connection had request 1.
_SECOND = {
    "copy before": [_COPY + _response(2)],
    "copy before, in pieces": [
        _COPY[:30],
        _PAUSE_S,
        _COPY[30:-2],
        _PAUSE_S,
        _COPY[-2:] + _response(2),
    ],
    "copy after": [_response(2) + _COPY],
    "copy after, late": [_response(2), _PAUSE_S, _COPY],
    "copy after, half": [_response(2) + _COPY[:40]],
    "copy without id": [_without_id(_COPY) + _response(2)],
    "failure without id": [
        _without_id(_response(1, status="500 Error")) + _response(2)
    ],
    "refusal without id": [_without_id(_SHED_1) + _response(2)],
    "refusal of 1": [_SHED_1 + _response(2)],
    "only a copy": [_COPY],
    "copies": [_COPY * 3 + _response(2)],
}


class SendingTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.errors = 0
        self.sender = Sender(
            header_codec=PlatformHeaderCodec(),
            memory=ByteBudget(),
            count_error=self._count_error,
        )
        self.loop = asyncio.get_running_loop()
        self.requests_read = 0

    def _count_error(self) -> None:
        self.errors += 1

    async def _start(self, second: list, idle: list) -> ServerRow:
        """Start a server and return the row of it.

        Its first connection answers request 1, sends `idle`, and then
        `second` after the next request. Others answer properly.
        """
        connections = []

        async def handle(reader, writer) -> None:
            connections.append(writer)
            is_first = len(connections) == 1
            scripts = [[_response(1), *idle], second] if is_first else None
            with contextlib.suppress(ConnectionError, EOFError):
                while True:
                    head = await reader.readuntil(b"\r\n\r\n")
                    self.requests_read += 1
                    script = [_answer_to(head)]
                    if scripts is not None:
                        script = scripts.pop(0) if scripts else []
                    await _play(script, writer)
            writer.close()

        server = await asyncio.start_server(handle, "127.0.0.1", 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        address = f"127.0.0.1:{port}"
        return make_row(make_server(address=address))

    async def _send(
        self, row: ServerRow, number: int, *, age_s: float = 0.0
    ) -> SendResult:
        incoming = IncomingRequest(
            method="GET",
            target="/a",
            headers=[
                ("Host", "x"),
                ("X-Chiverun-Request-Id", f"r{number}"),
            ],
            body=b"",
            arrived_at=self.loop.time(),
        )
        order = SendOrder(
            request=incoming,
            metadata=PlatformHeaderCodec().request_metadata(incoming),
            repeatable=True,
            deadline=self.loop.time() + 0.6,
            typical_s=0.1,
            chosen_at=self.loop.time() - age_s,
        )
        return await self.sender.start(row, order)

    def _assert_own(self, result: SendResult, number: int) -> None:
        """Check that a response is the request's own, if there is one."""
        if isinstance(result.end, Answered):
            self.assertEqual(f"body {number}".encode(), result.end.body)
        self.assertNotIsInstance(result.end, Shed)

    async def test_load_counts_a_send_before_it_runs(self) -> None:
        """Guards against a burst that goes to one server as a whole.

        Requests that are read together choose before any of their tasks runs.
        """
        row = await self._start([], [])
        sends = [asyncio.create_task(self._send(row, i)) for i in (1, 2, 3)]
        await asyncio.sleep(0)
        self.assertEqual(3, row.load.in_flight)
        sends[0].cancel()
        await asyncio.gather(*sends, return_exceptions=True)
        await asyncio.sleep(0)
        self.assertEqual(0, row.load.in_flight)
        self.assertEqual({}, row.pending_sends)

    async def test_second_copy_on_a_used_connection(self) -> None:
        """Guards against the response of an earlier request."""
        for name, second in _SECOND.items():
            with self.subTest(name):
                row = await self._start(second, [])
                first = await self._send(row, 1)
                self.assertEqual(b"body 1", first.end.body)
                self._assert_own(await self._send(row, 2), 2)
                await asyncio.sleep(2 * _PAUSE_S)
                third = await self._send(row, 3)
                self.assertEqual(b"body 3", third.end.body)

    async def test_second_copy_between_two_requests(self) -> None:
        """Guards against a copy that arrives while the connection is idle."""
        for idle in ([_COPY], [_PAUSE_S, _COPY], [_COPY[:9]]):
            with self.subTest(idle=idle):
                row = await self._start([_response(2)], idle)
                self._assert_own(await self._send(row, 1), 1)
                await asyncio.sleep(3 * _PAUSE_S)
                second = await self._send(row, 2)
                self.assertEqual(b"body 2", second.end.body)
                self.assertFalse(any(not conn.reusable for conn in row.idle))

    async def test_copy_that_breaks_off_on_a_used_connection(self) -> None:
        """Guards against a head of two responses that says "not run".

        A copy of an earlier rejection or failure breaks off at any byte; the
        next response, of a request that ran, follows at once.
        """
        for copy in (_SHED_1, _SHED_UNSTAMPED_1, _response(1, status="500 E")):
            ends = await asyncio.gather(
                *(
                    self._send_after_part(copy[:size])
                    for size in range(1, len(copy))
                )
            )
            for size, result in enumerate(ends, start=1):
                with self.subTest(part=copy[:size]):
                    self._assert_own(result, 2)
                    status = getattr(result.end, "status", 200)
                    self.assertEqual(200, status)

    async def _send_after_part(self, part: bytes) -> SendResult:
        """Return the end of a request whose response follows a part."""
        row = await self._start([part + _response(2)], [])
        await self._send(row, 1)
        return await self._send(row, 2)

    async def test_response_without_id_on_a_used_connection(self) -> None:
        """Guards against "not run" from an earlier request's refusal."""
        row = await self._start([_without_id(_SHED_1)], [])
        await self._send(row, 1)
        second = await self._send(row, 2)
        self.assertIsInstance(second.end, Mismatched)
        self.assertFalse(second.is_not_run)

    async def test_limit_is_read_from_own_responses(self) -> None:
        """Guards against a limit taken from another server or request."""
        limit = "Server-Limit: 9.5\r\n"
        cases = {
            "success": (_response(2, extra=limit), 9.5),
            "failure": (
                _response(2, status="500 Error", extra=limit),
                9.5,
            ),
            "refusal": (
                _response(
                    2,
                    status="503 Full",
                    extra=limit + "X-Chiverun-Not-Run: full\r\n",
                ),
                9.5,
            ),
            "none": (_response(2), None),
            "other server": (
                _response(2, status="421 Other", extra=limit),
                7.0,
            ),
            "late copy": (_response(1, extra=limit), 7.0),
            "word": (_response(2, extra="Server-Limit: few\r\n"), 7.0),
            "negative": (_response(2, extra="Server-Limit: -1\r\n"), 7.0),
            "nan": (_response(2, extra="Server-Limit: nan\r\n"), 7.0),
            "infinite": (_response(2, extra="Server-Limit: inf\r\n"), 7.0),
            "empty": (_response(2, extra="Server-Limit: \r\n"), 7.0),
        }
        for name, (response, per_s) in cases.items():
            with self.subTest(name):
                row = await self._start([response], [])
                await self._send(row, 1)
                row.limit.apply(7.0, sent_at=0.0, now=self.loop.time())
                await self._send(row, 2)
                self.assertEqual(per_s, row.limit.per_s)

    async def test_log_tells_whether_a_server_counts_as_cold(self) -> None:
        """Guards against logs that hide why a cold server was sent much."""
        row = await self._start([_response(2)], [])
        with logbook.TestHandler().applicationbound() as logs:
            await self._send(row, 1)
            row.cold_time.recorded_until = self.loop.time() + 2.0
            await self._send(row, 2)
        warm, cold = (
            record.extra
            for record in logs.records
            if record.message == "send finished"
        )
        self.assertNotIn("cold_left_ms", warm)
        self.assertEqual(1, warm["recent_sends"])
        self.assertAlmostEqual(2000, cold["cold_left_ms"], delta=500)
        self.assertEqual(2, cold["recent_sends"])

    async def test_log_tells_whether_a_send_used_a_new_connection(
        self,
    ) -> None:
        """Guards against logs that hide which process got a request."""
        row = await self._start([_response(2)], [])
        with logbook.TestHandler().applicationbound() as logs:
            await self._send(row, 1)
            await asyncio.sleep(_PAUSE_S)
            await self._send(row, 2)
            result = await self.sender.check_health(row, "/h", _TIMEOUT_S)
        new, used = (
            record.extra
            for record in logs.records
            if record.message == "send finished"
        )
        self.assertEqual(0, new["connection_exchanges"])
        self.assertLess(new["connection_age_ms"], 1000 * _PAUSE_S)
        self.assertEqual(1, used["connection_exchanges"])
        self.assertGreaterEqual(used["connection_age_ms"], 1000 * _PAUSE_S)
        self.assertEqual(2, result.connection["connection_exchanges"])

    async def test_log_of_a_refused_connection(self) -> None:
        """Guards against a log that shows the age of no connection."""
        row = make_row(make_server(address=free_address()))
        with logbook.TestHandler().applicationbound() as logs:
            await self._send(row, 1)
        (record,) = logs.records
        self.assertNotIn("connection_age_ms", record.extra)
        self.assertIn("ConnectionRefusedError", record.extra["detail"])

    async def test_choice_of_a_cold_server_is_sent_at_once_or_not(
        self,
    ) -> None:
        """Guards against sends that arrive together with those of later.

        Its rate has a margin for a fraction of a second only.
        """
        row = await self._start([], [])
        row.cold_time.recorded_until = self.loop.time() + 60.0
        late = await self._send(row, 1, age_s=0.5)
        self.assertIsInstance(late.end, NotSent)
        self.assertEqual(0, self.requests_read)
        in_time = await self._send(row, 1)
        self.assertIsInstance(in_time.end, Answered)

    async def test_address_that_cannot_be_connected_to(self) -> None:
        """Guards against an unexpected error for what another one relays."""
        for address in ("127.0.0.1:70000", "127.0.0.1\x00:80", "x:y", ""):
            row = make_row(make_server(address=address))
            result = await self._send(row, 1)
            self.assertIsInstance(result.end, NotSent, address)
            self.assertEqual(0, row.connections)

    async def test_unexpected_error_after_a_send(self) -> None:
        """Guards against an error that hides that a request may have run."""
        row = await self._start([], [])
        with mock.patch.object(Sender, "_interpret", side_effect=ValueError):
            result = await self._send(row, 1)
        self.assertIsInstance(result.end, Incomplete)
        self.assertFalse(result.is_not_run)
        self.assertEqual(1, self.errors)
        self.assertEqual((0, 0), (row.connections, row.load.in_flight))

    async def test_name_that_no_header_can_carry(self) -> None:
        """Guards against an error for what another one relays."""
        row = await self._start([], [])
        for name in ("i-\u0142", "i\r\nX-A: b", "i "):
            row.server = msgspec.structs.replace(row.server, name=name)
            result = await self._send(row, 1)
            self.assertIsInstance(result.end, NotSent)
        self.assertEqual(0, self.requests_read)

    async def test_old_choice_is_not_used(self) -> None:
        """Guards against acting on a choice from before a pause.

        Its budgets and the catalog that it rests on are out of date.
        """
        row = await self._start([], [])
        result = await self._send(row, 1, age_s=CHOICE_VALID_S + 0.1)
        self.assertIsInstance(result.end, NotSent)
        self.assertTrue(result.is_not_run)
        await asyncio.sleep(_PAUSE_S)
        self.assertEqual(0, self.requests_read)
        self.assertEqual(b"body 1", (await self._send(row, 1)).end.body)


def _answer_to(head: bytes) -> bytes:
    number = int(head.partition(b"Id: r")[2].partition(b"\r\n")[0])
    return _response(number)


async def _play(script: list, writer: asyncio.StreamWriter) -> None:
    for step in script:
        if isinstance(step, float):
            await writer.drain()
            await asyncio.sleep(step)
        else:
            writer.write(step)
