"""Tests of an edge instance whose peers send many small pieces."""

import asyncio
import contextlib

from tests.adapter.edgecase import build_request
from tests.adapter.edgecase import call
from tests.adapter.edgecase import EdgeCase

_DURATION_S = 3.0
_REQUESTS_PER_S = 20
# A request has its answer half a second after its route's time-out, and a
# probe of readiness after a second.
_ROUTE_TIMEOUT_S = 1.2
_LATE_S = 0.5
_PROBE_TIMEOUT_S = 1.0
_CHUNKED_HEAD = (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
    b"X-Chiverun-Response-Stamp: s\r\n\r\n"
)
_UPLOAD_HEAD = (
    b"POST /read/upload HTTP/1.1\r\nHost: mill.example\r\n"
    b"X-Chiverun-Request-Id: upload\r\nX-Chiverun-Deadline-Ms: 30000\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)
_ONE_BYTE_CHUNKS = b"1\r\nx\r\n" * 10_000
_EXTENDED_CHUNKS = b"1;a=b\r\nx\r\n" * 5_000
_SMALL_CHUNKS = b"10\r\n" + b"x" * 16 + b"\r\n"
_EMPTY_ROWS = b"a:\r\n" * 10_000
# First bytes of a response, and what follows again and again.
_ENDLESS_ANSWERS = {
    "one byte a chunk": (_CHUNKED_HEAD, _ONE_BYTE_CHUNKS),
    "chunk extensions": (_CHUNKED_HEAD, _EXTENDED_CHUNKS),
    "16 bytes a chunk": (_CHUNKED_HEAD, _SMALL_CHUNKS * 2_000),
    "trailers": (_CHUNKED_HEAD + b"0\r\n", _EMPTY_ROWS),
    "head": (b"HTTP/1.1 200 OK\r\n", _EMPTY_ROWS),
    "interim head": (b"HTTP/1.1 100 Continue\r\n", _EMPTY_ROWS),
}
# Number of connections, and what each sends again and again.
_ENDLESS_UPLOADS = {
    "one byte a chunk, one caller": (1, _ONE_BYTE_CHUNKS),
    "one byte a chunk": (5, _ONE_BYTE_CHUNKS),
    "chunk extensions": (5, _EXTENDED_CHUNKS),
    "trailers": (5, b"0\r\n" + _EMPTY_ROWS),
}


class EdgeTurnsTest(EdgeCase):
    async def _read_all_the_time(self) -> list[float]:
        """Send requests at a fixed rate; return how long each took."""
        loop = asyncio.get_running_loop()
        end = loop.time() + _DURATION_S

        async def read(number: int) -> float:
            sent_at = loop.time()
            with contextlib.suppress(TimeoutError):
                await call(
                    self.listen["front"],
                    build_request("/read/a", f"r{number}", key=f"{number}"),
                    _DURATION_S,
                )
            return loop.time() - sent_at

        tasks = []
        while loop.time() < end:
            tasks.append(asyncio.create_task(read(len(tasks))))
            await asyncio.sleep(1 / _REQUESTS_PER_S)
        return await asyncio.gather(*tasks)

    async def _probe_all_the_time(self) -> list[float]:
        """Return how long each probe of readiness took."""
        loop = asyncio.get_running_loop()
        end = loop.time() + _DURATION_S
        took_s = []
        while (began_at := loop.time()) < end:
            await self._is_ready()
            took_s.append(loop.time() - began_at)
            await asyncio.sleep(0.1)
        return took_s

    async def _check_service(self) -> None:
        """Check that requests and probes are answered in time."""
        probes = asyncio.create_task(self._probe_all_the_time())
        requests = await self._read_all_the_time()
        late = [s for s in requests if s > _ROUTE_TIMEOUT_S + _LATE_S]
        self.assertEqual([], late)
        late = [s for s in await probes if s > _PROBE_TIMEOUT_S]
        self.assertEqual([], late)

    async def test_server_that_answers_in_pieces_without_end(self) -> None:
        """Guards against one server's bytes that hold up all requests."""
        await self._start_until_ready()
        faults = self.upstreams[0].faults
        for name, (faults.answer, faults.endless) in _ENDLESS_ANSWERS.items():
            with self.subTest(name):
                await self._check_service()

    async def test_callers_that_upload_in_pieces_without_end(self) -> None:
        """Guards against a caller's bytes that hold up all requests."""
        await self._start_until_ready()
        for name, (callers, rest) in _ENDLESS_UPLOADS.items():
            uploads = [
                asyncio.create_task(self._upload(rest)) for _ in range(callers)
            ]
            with self.subTest(name):
                await self._check_service()
            for task in uploads:
                task.cancel()
            await asyncio.gather(*uploads, return_exceptions=True)

    async def _upload(self, rest: bytes) -> None:
        """Send a body without end."""
        host, port = self.listen["front"].split(":")
        with contextlib.suppress(ConnectionError):
            _, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write(_UPLOAD_HEAD)
                while True:
                    writer.write(rest)
                    await writer.drain()
            finally:
                writer.transport.abort()
