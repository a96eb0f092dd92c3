"""Seeded odd bytes from each kind of peer of an edge instance.

The instance runs in the test's own process with its real parsers, on loopback.
Each case is followed by sound ones: everybody is answered or closed, nothing
is raised, and nothing that was wrong is believed later. CI plays a few hundred
cases; more by hand:

    FUZZ_CASES=5000 FUZZ_SEED=7 scripts/test.sh tests.adapter.test_fuzz
"""

import asyncio
import base64
import collections
import contextlib
import dataclasses
import itertools
import json
import math
import os
import random
import unittest

import logbook
import msgspec

from chiverun.core import edgemessages
from chiverun.core.statednumbers import KEEP_ALIVE_S
from chiverun.core.statednumbers import LIMIT_PER_S
from chiverun.core.statednumbers import PAUSE_S
from chiverun.platform.headercodec import PlatformHeaderCodec
from chiverun.platform.ingress import Ingress
from chiverun.platform.settings import decode_settings
from chiverun.platform.store import PlatformStore
from chiverun.runtime.connectionheaders import KEEP_ALIVE_DEFAULT_S
from chiverun.runtime.edge import Edge
from standins.metastore import MetaStore
from standins.upstream import HEALTH_PATH
from tests import malformed
from tests.adapter import oddbytes
from tests.adapter.edgecase import build_request
from tests.adapter.edgecase import call
from tests.adapter.edgecase import Response
from tests.adapter.examples import desired_state
from tests.adapter.examples import server_entry
from tests.adapter.examples import settings_body
from tests.adapter.test_malformed import PEER_MESSAGES
from tests.ports import free_address

_SEED = int(os.environ.get("FUZZ_SEED", "1"))
_CASES = int(os.environ.get("FUZZ_CASES", "120"))
# Calls of the store are slower: each case waits for news.
_STORE_CASES = max(1, _CASES // 10)
_SERVER = "i-0"
# Route's timeout and, for callers, the limits of heads and idle connections.
_TIMEOUT_S = 0.4
_LIMIT_S = 0.3
# Added to each limit: the test's own process may be busy.
_SLACK_S = 3.0
_NEWS_S = 10.0
_LOAD = b"X-Chiverun-Server-Load: 0,0,4,100\r\n"
_SOUND = (
    b"HTTP/1.1 200 OK\r\nX-Chiverun-Request-Id: %(id)s\r\n"
    b"X-Chiverun-Response-Stamp: s\r\n"
    + _LOAD
    + b"Content-Length: 2\r\n\r\nok"
)


class _Server:
    """A backend server that sends what it is given, else sound answers."""

    def __init__(self) -> None:
        self.odd: list[oddbytes.OddBytes] = []
        self.runs: collections.Counter[bytes] = collections.Counter()
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, address: str) -> asyncio.Server:
        host, port = address.split(":")
        return await asyncio.start_server(self._serve, host, int(port))

    def close_connections(self) -> None:
        """Close all connections of the instance."""
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        with contextlib.suppress(ConnectionError, EOFError):
            while await self._answer(reader, writer):
                pass
        self._writers.discard(writer)
        writer.close()

    async def _answer(self, reader, writer) -> bool:
        head = await reader.readuntil(b"\r\n\r\n")
        request_id = head.lower().partition(b"request-id: ")[2]
        request_id = request_id.partition(b"\r\n")[0]
        length = head.lower().partition(b"content-length: ")[2]
        await reader.readexactly(int(length.partition(b"\r\n")[0] or b"0"))
        # The odd bytes are for requests.
        is_check = head.startswith(f"GET {HEALTH_PATH} ".encode())
        if not is_check:
            self.runs[request_id] += 1
        if is_check or not self.odd:
            writer.write(_SOUND.replace(b"%(id)s", request_id))
            return True
        odd = self.odd.pop()
        for piece in odd.pieces:
            writer.write(piece.replace(b"%(id)s", request_id))
            await writer.drain()
        return not odd.closes


class _OddStore(MetaStore):
    """A store of whose next answer a part is replaced."""

    def __init__(self) -> None:
        super().__init__()
        self.rng: random.Random | None = None

    async def handle(self, incoming):
        answer = await super().handle(incoming)
        rng, self.rng = self.rng, None
        if rng is None:
            return answer
        if rng.random() < 0.3:
            # The stand-in's own writer takes no blanks around a value.
            number = oddbytes.odd_number(rng).strip(b" ")
            era = ("Store-Era", number.decode("latin-1"))
            return dataclasses.replace(answer, headers=[era])
        body = json.loads(answer.body)
        path = [rng.randrange(20) for _ in range(rng.randint(1, 4))]
        odd = rng.choice((*malformed.ODD_VALUES, 10**30, 1e308, 2**47))
        variant = malformed.with_one_odd_field(body, path, odd)
        return dataclasses.replace(answer, body=json.dumps(variant).encode())


class FuzzTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.logs = logbook.TestHandler(level=logbook.ERROR, bubble=False)
        self.logs.push_application()
        self.addCleanup(self.logs.pop_application)
        listen = {
            name: free_address()
            for name in ("front", "ready", "control", "directory")
        }
        address = free_address()
        body = settings_body(
            listen=listen,
            innerPorts=[0, int(free_address().rpartition(":")[2])],
            platform={"address": address},
        )
        self.cfg = decode_settings(json.dumps(body))
        self.front = listen["front"]
        self.store = _OddStore()
        self.listeners = [await self.store.start(address)]
        self.server = _Server()
        self.server_address = free_address()
        self.listeners.append(await self.server.start(self.server_address))
        self.numbers = itertools.count()
        self.born = 1_700_000_000_000
        self.version = 7
        await self._put_state()
        await self._put_server()
        self.client = PlatformStore(address=address)
        self.edge = Edge(
            cfg=self.cfg,
            store=self.client,
            header_codec=PlatformHeaderCodec(),
            read_settings=lambda: self.cfg,
        )
        ingress = Ingress(
            directory=self.edge.directory, is_ready=self.edge.is_ready
        )
        await self.edge.start({self.cfg.directory: ingress.resolve})
        await self._wait_for(lambda: bool(self.rows), "the server is known")

    async def asyncTearDown(self) -> None:
        self.edge._close()
        self.client.close()
        for listener in self.listeners:
            listener.close()
        self.server.close_connections()

    @property
    def rows(self) -> dict:
        """The instance's table of servers."""
        return self.edge._servers.rows

    async def _put_state(self) -> None:
        self.version += 1
        body = desired_state(self.version, timeout="400ms")
        body["limits"].update(headerTimeout="300ms", idleTimeout="300ms")
        for rule in body["listeners"][0]["rules"]:
            rule["action"]["timeout"] = "400ms"
        await self.store.put("op/config", json.dumps(body).encode())

    async def _put_server(self) -> None:
        """Register the server as one that has just started."""
        self.born += 1
        entry = server_entry(address=self.server_address, born=self.born)
        await self.store.put(f"servers/{_SERVER}", entry)

    async def _wait_for(self, condition, what: str) -> None:
        try:
            async with asyncio.timeout(_NEWS_S):
                while not condition():
                    await asyncio.sleep(0.01)
        except TimeoutError:
            self.fail(f"not within {_NEWS_S:g} s: {what}")

    async def _send(self, method: str = "GET") -> Response:
        path = "/read/a" if method == "GET" else "/book/a"
        name = f"r{next(self.numbers)}"
        raw = build_request(path, name, method=method)
        return await call(self.front, raw, _TIMEOUT_S + _SLACK_S)

    def _forget(self) -> None:
        """Make the server's row again, without what was said of it."""
        row = self.rows[_SERVER]
        row.close_idle()
        row.health.ejected_until = row.misdirected_until = -math.inf
        row.leaving_since = None
        row.paused_until = -math.inf
        row.limit.per_s = None

    def _check_beliefs(self) -> None:
        """Check that nothing absurd is believed of the server."""
        row = self.rows[_SERVER]
        now = asyncio.get_running_loop().time()
        self.assertLess(row.load.total(now), 1000)
        self.assertLessEqual(row.cold_until, now + row.cold_limit_s)
        self.assertLessEqual(row.paused_until, now + PAUSE_S.high)
        self.assertIn(row.keep_alive_s, KEEP_ALIVE_S)
        if row.limit.per_s is not None:
            self.assertIn(row.limit.per_s, LIMIT_PER_S)

    async def _check_sound(self) -> None:
        """Check that a sound answer ends all that was believed."""
        self._forget()
        row = self.rows[_SERVER]
        answer = await self._send()
        self.assertEqual((200, b"ok"), (answer.status, answer.body))
        now = asyncio.get_running_loop().time()
        self.assertEqual(0.0, row.load.total(now))
        self.assertEqual(KEEP_ALIVE_DEFAULT_S, row.keep_alive_s)
        self.assertLess(row.cold_until, now)
        self.assertIsNone(row.limit.per_s)

    async def _check_calm(self) -> None:
        """Check that nothing was raised."""
        self.assertEqual(
            [],
            [
                (record.message, record.formatted_exception)
                for record in self.logs.records
            ],
        )
        metrics = (await self.edge.metrics.handle(None)).body.decode()
        for line in metrics.splitlines():
            if line.startswith("chiverun_unexpected_errors_total"):
                self.assertTrue(line.endswith(" 0.0"), line)

    async def test_servers(self) -> None:
        """Guards against answers that raise, stay silent or are believed."""
        odd = oddbytes.answers(_SEED)
        for number, answer in zip(range(_CASES), odd, strict=False):
            method = ("GET", "POST")[number % 2]
            with self.subTest(f"{number}, {method}: {bytes(answer)[:300]!r}"):
                self.server.odd = [answer]
                got = await self._send(method)
                self.assertIn(got.status // 100, (2, 3, 4, 5))
                self.server.odd = []
                self._check_beliefs()
                await self._check_sound()
        await self._check_calm()

    async def test_callers(self) -> None:
        """Guards against a request that raises or is never ended."""
        odd = oddbytes.requests(_SEED)
        for number, request in zip(range(_CASES), odd, strict=False):
            with self.subTest(f"{number}: {bytes(request)[:300]!r}"):
                got = await self._call_with(request)
                if got:
                    self.assertTrue(got.startswith(b"HTTP/1.1 "), got[:80])
        self.assertEqual(200, (await self._send()).status)
        await self._check_calm()

    async def _call_with(self, request: oddbytes.OddBytes) -> bytes:
        """Send odd bytes; return what comes until the connection closes."""
        host, port = self.front.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        got = b""
        try:
            async with asyncio.timeout(_TIMEOUT_S + 2 * _LIMIT_S + _SLACK_S):
                with contextlib.suppress(ConnectionError):
                    for piece in request.pieces:
                        writer.write(piece)
                        await writer.drain()
                with contextlib.suppress(ConnectionError):
                    got = await reader.read()
        finally:
            writer.transport.abort()
        return got

    async def test_store(self) -> None:
        """Guards against an answer of the store after which no news comes."""
        rng = random.Random(f"store {_SEED}")
        for number in range(_STORE_CASES):
            with self.subTest(number):
                self.store.rng = rng
                if rng.random() < 0.5:
                    self.edge.follower._needs_full_read = True
                await self._put_server()
                await self._wait_for(
                    lambda: self.store.rng is None, "the store was asked"
                )
                await self._put_state()
                await self._put_server()
                await self._wait_for(self._is_current, "news are in force")
        self.assertEqual(200, (await self._send()).status)
        await self._check_calm()

    def _is_current(self) -> bool:
        row = self.rows.get(_SERVER)
        routes = self.edge._steering.routes
        return (
            row is not None
            and row.server.started_ms == self.born
            and row.server.address == self.server_address
            and routes.version == self.version
        )

    async def test_heads_of_the_store(self) -> None:
        """Guards against odd heads of the store that end the reader."""
        address = free_address()
        odd_store = _Server()
        self.listeners.append(await odd_store.start(address))
        answers = oddbytes.answers(_SEED + 1)
        sound = self.client._address
        for number, answer in zip(range(_STORE_CASES), answers, strict=False):
            with self.subTest(f"{number}: {bytes(answer)[:300]!r}"):
                odd_store.odd = [answer]
                self.client._address = address
                self.client.close()
                await self._wait_for(
                    lambda: not odd_store.odd, "the store was asked"
                )
                self.client._address = sound
                self.client.close()
                await self._put_server()
                await self._wait_for(self._is_current, "news are in force")
        await self._check_calm()

    async def test_messages_of_instances(self) -> None:
        """Guards against a message that raises or changes what is served."""
        rng = random.Random(f"messages {_SEED}")
        for number in range(_CASES):
            message = rng.choice(PEER_MESSAGES)
            payload = _odd_message(rng, message)
            with self.subTest(f"{number}: {payload[:300]!r}"):
                self.edge.follower._inbox.put(payload)
                await asyncio.sleep(0.002)
                self._check_beliefs()
                if number % 10 == 0:
                    self.assertEqual(200, (await self._send()).status)
        await self._put_state()
        await self._put_server()
        await self._wait_for(self._is_current, "news are in force")
        self.assertEqual(200, (await self._send()).status)
        await self._check_calm()


def _odd_message(
    rng: random.Random, message: edgemessages.EdgeMessage
) -> bytes:
    """Return a message with one odd field, or with damaged bytes."""
    payload = edgemessages.encode(message)
    match rng.randrange(6):
        case 0:
            return payload[: rng.randrange(len(payload) + 1)]
        case 1:
            at = rng.randrange(len(payload))
            return payload[:at] + rng.randbytes(1) + payload[at + 1 :]
        case 2:
            return rng.randbytes(rng.randrange(200))
        case 3:
            return b"\x01" + base64.b64encode(rng.randbytes(100))
    body = msgspec.msgpack.decode(msgspec.msgpack.encode(message))
    path = [rng.randrange(20) for _ in range(rng.randint(1, 6))]
    odd = rng.choice((*malformed.ODD_VALUES, 2**53, 1e9, 1e12, 2**62 - 1))
    variant = malformed.with_one_odd_field(body, path, odd)
    return b"\x00" + malformed.to_msgpack(variant)
