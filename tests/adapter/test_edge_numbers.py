"""Tests of absurd numbers in what servers and callers say."""

import asyncio

from standins.upstream import UpstreamFaults
from tests.adapter.edgecase import build_request
from tests.adapter.edgecase import call
from tests.adapter.edgecase import EdgeCase
from tests.adapter.edgecase import Response

_REQUESTS = 24
_PAUSE_S = 0.005
_SPOILT_EACH = 4
# Time in which what was wrong may still count.
_SETTLE_S = 0.1
_NUMBERS = (
    b"7" * 20,
    b"7" * 320,
    b"7" * 400,
    b"7" * 5000,
    b"\xb2",
    b"\xd9\xa3",
    b"-1",
    b"1e999",
    b"",
)
_ROWS = (
    b"X-Chiverun-Cold-Ms: %b\r\n",
    b"Keep-Alive: timeout=%b\r\n",
    b"Server-Limit: %b\r\n",
    b"Retry-After: %b\r\n",
    b"X-Chiverun-Cold-Ms: 9%b\r\n",
)
_LOADS = (
    b"%b,0,4,100",
    b"0,%b,4,100",
    b"0,0,%b,100",
    b"0,0,4,%b",
    b"0,%b",
    b"%b",
    b"900000,900000,4,100",
)
_DEADLINES = (*_NUMBERS, b"0", b"7777777777")


class EdgeNumbersTest(EdgeCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.number = 0

    async def _send(self, kind: str) -> Response:
        self.number += 1
        method, path = {
            "safe": ("GET", "/read/a"),
            "unsafe": ("POST", "/book/a"),
        }[kind]
        raw = build_request(
            path, f"r{self.number}", method=method, key=f"{self.number}"
        )
        return await call(self.listen["front"], raw)

    async def _press(self) -> list[int]:
        """Send requests of both kinds; return their statuses."""
        tasks = []
        for number in range(_REQUESTS):
            kind = "safe" if number % 2 else "unsafe"
            tasks.append(asyncio.create_task(self._send(kind)))
            await asyncio.sleep(_PAUSE_S)
        return [response.status for response in await asyncio.gather(*tasks)]

    async def _check_spoilt(self, **faults) -> None:
        """Spoil some answers of one server, and see that it is used again."""
        faulty = self.upstreams[0]
        faulty.spoilt = UpstreamFaults(**faults)
        faulty.spoilt_each = _SPOILT_EACH
        self.assertEqual({200}, set(await self._press()))
        faulty.spoilt_each = 0
        await asyncio.sleep(_SETTLE_S)
        arrived = len(faulty.arrived_at)
        self.assertEqual({200}, set(await self._press()))
        self.assertGreater(len(faulty.arrived_at), arrived)

    async def _unexpected_errors(self) -> float:
        raw = b"GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
        lines = (await call(self.metrics, raw)).body.decode().splitlines()
        return sum(
            float(line.rpartition(" ")[2])
            for line in lines
            if line.startswith("chiverun_unexpected_errors_total")
        )

    async def test_load(self) -> None:
        """Guards against a load that ends or starves a service."""
        await self._start_until_ready()
        for text in _LOADS:
            for number in _NUMBERS if b"%b" in text else (b"",):
                load = text % number if b"%b" in text else text
                with self.subTest(f"{text!r} {len(number)} {number[:9]!r}"):
                    await self._check_spoilt(load=load)
        self.assertEqual(0, await self._unexpected_errors())

    async def test_other_numbers_of_a_server(self) -> None:
        """Guards against a number that fails an answer or bans a server."""
        await self._start_until_ready()
        for text in _ROWS:
            for number in _NUMBERS:
                with self.subTest(f"{text!r} {len(number)} {number[:9]!r}"):
                    await self._check_spoilt(rows=text % number)
        self.assertEqual(0, await self._unexpected_errors())

    async def test_pause_that_a_refusal_asks_for(self) -> None:
        """Guards against a server that is left out for a wrong pause."""
        await self._start_until_ready()
        for number in (b"7" * 20, b"7" * 400, b"\xb2", b"86400"):
            with self.subTest(number[:9]):
                text = number.decode("latin-1")
                await self._check_spoilt(retry_after=text)
        self.assertEqual(0, await self._unexpected_errors())

    async def test_deadline_of_a_caller(self) -> None:
        """Guards against a caller's number that fails its request."""
        await self._start_until_ready()
        for text in _DEADLINES:
            with self.subTest(f"{len(text)} {text[:9]!r}"):
                raw = build_request("/read/a").replace(b"3000", text, 1)
                response = await call(self.listen["front"], raw)
                expected = {503, 504} if text == b"0" else {200}
                self.assertIn(response.status, expected)
        self.assertEqual(0, await self._unexpected_errors())

    async def test_length_of_an_answer(self) -> None:
        """Guards against an answer whose length nobody can hold.

        The caller of a repeatable request is answered by another server.
        """
        await self._start_until_ready()
        head = b"HTTP/1.1 200 OK\r\nX-Chiverun-Response-Stamp: s\r\n"
        self.upstreams[0].faults.endless = b""
        for text in (b"7" * 19, b"7" * 20, b"7" * 400, b"\xb2", b"-1"):
            with self.subTest(text[:9]):
                answer = head + b"Content-Length: " + text + b"\r\n\r\nabc"
                self.upstreams[0].faults.answer = answer
                for _ in range(9):
                    self.assertEqual(200, (await self._send("safe")).status)
        self.assertEqual(0, await self._unexpected_errors())
