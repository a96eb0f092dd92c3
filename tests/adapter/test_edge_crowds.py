"""Tests of an edge instance that abusive clients send to in crowds.

The crowds keep their connections open and open them again when they are
closed. The machine of the tests is small, so that each crowd's bytes are a
multiple of its memory.
"""

import asyncio
import contextlib
import dataclasses
import json
import os
import pathlib
import socket

from nose2.tools import params

from standins.upstream import UpstreamFaults
from tests.adapter.edgecase import build_request
from tests.adapter.edgecase import call
from tests.adapter.edgecase import EdgeCase
from tests.adapter.examples import desired_state

_KIB = 1024
_MIB = 1024 * _KIB
# The process needs 40 MiB at rest; each crowd sends a multiple of the others.
_MEMORY_MIB = 72
# The system keeps 200 of them for files.
_FDS_MAX = 400
_BODY_BYTES_MAX = _MIB
_DURATION_S = 3.0
_CONNECTIONS = 250
_PIECE_BYTES = 4 * _KIB
# A large part of what the buffers of a socket don't take.
_RESPONSE_BYTES = 2 * _MIB
_PAUSE_S = 0.1
# Within the documented limits of a head.
_FIELDS = b"".join(b"f%03d:\r\n" % i for i in range(500))


def _head(path: str, *fields: str, method: str = "POST") -> bytes:
    rows = (
        f"{method} {path} HTTP/1.1",
        "Host: mill.example",
        "X-Chiverun-Deadline-Ms: 30000",
        *fields,
    )
    return "".join(f"{row}\r\n" for row in rows).encode()


def _stopped_body(path: str) -> bytes:
    """Return a body of the largest size without its last byte."""
    head = _head(path, f"Content-Length: {_BODY_BYTES_MAX}")
    return head + b"\r\n" + bytes(_BODY_BYTES_MAX - 1)


def _chunks(count: int, size: int) -> bytes:
    return (b"%x\r\n" % size + bytes(size) + b"\r\n") * count


_CHUNKED = _head("/read/a", "Transfer-Encoding: chunked") + b"\r\n"
_AHEAD = _head("/read/a", method="GET") + b"\r\n"


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Crowd:
    """Clients that all send the same.

    `piece_bytes` are sent at once. `read_bytes_per_s` is None for clients that
    read nothing. `is_endless` repeats `rest`, sent after `data`.
    """

    name: str
    data: bytes = b""
    rest: bytes = b""
    listener: str = "front"
    connections: int = _CONNECTIONS
    piece_bytes: int = _MIB
    read_bytes_per_s: int | None = None
    response_bytes: int = 0


_CROWDS = (
    _Crowd(name="bodies that stop", data=_stopped_body("/read/a")),
    _Crowd(name="bodies that stop, no route", data=_stopped_body("/none/a")),
    _Crowd(
        name="bodies that stop, in small pieces",
        data=_stopped_body("/read/a"),
        piece_bytes=_PIECE_BYTES,
    ),
    _Crowd(
        name="bodies that stop, in chunks",
        data=_CHUNKED + _chunks(_MIB // _KIB - 1, _KIB),
    ),
    _Crowd(
        name="bodies over the limit by length",
        data=_head("/read/a", f"Content-Length: {16 * _KIB * _MIB}") + b"\r\n",
        rest=bytes(_MIB),
    ),
    _Crowd(
        name="bodies over the limit in chunks",
        data=_CHUNKED,
        rest=_chunks(16, 64 * _KIB),
    ),
    _Crowd(
        name="bodies at the readiness listener",
        data=_stopped_body("/-/readiness"),
        listener="ready",
    ),
    _Crowd(
        name="bodies at the look-up listener",
        data=_stopped_body("/-/resolve"),
        listener="directory",
    ),
    _Crowd(
        name="bodies at the metrics listener",
        data=_stopped_body("/metrics"),
        listener="metrics",
    ),
    _Crowd(
        name="many short fields, and no end of the body",
        data=_head("/read/a", "Content-Length: 9") + _FIELDS + b"\r\nhalf",
    ),
    _Crowd(
        name="many short fields, sent ahead",
        data=(_head("/read/a", method="GET") + _FIELDS + b"\r\n") * 20,
    ),
    _Crowd(name="requests sent ahead", data=_AHEAD * 1000),
    _Crowd(
        name="large responses that nobody reads",
        data=_AHEAD * 20,
        response_bytes=_RESPONSE_BYTES,
    ),
    _Crowd(
        name="large responses read a byte at a time",
        data=_AHEAD * 20,
        response_bytes=_RESPONSE_BYTES,
        read_bytes_per_s=1,
    ),
    _Crowd(name="silent connections", connections=2 * _FDS_MAX),
    _Crowd(
        name="silent connections to the readiness listener",
        connections=2 * _FDS_MAX,
        listener="ready",
    ),
    _Crowd(
        name="silent connections to the look-up listener",
        connections=2 * _FDS_MAX,
        listener="directory",
    ),
)


async def _send(sock: socket.socket, data: bytes, piece_bytes: int) -> None:
    loop = asyncio.get_running_loop()
    view = memoryview(data)
    for offset in range(0, len(view), piece_bytes):
        await loop.sock_sendall(sock, view[offset : offset + piece_bytes])


async def _send_all(sock: socket.socket, crowd: _Crowd) -> None:
    await _send(sock, crowd.data, crowd.piece_bytes)
    while crowd.rest:
        await _send(sock, crowd.rest, crowd.piece_bytes)


async def _wait_for_end(sock: socket.socket, crowd: _Crowd) -> None:
    """Return when the connection has been closed by the system."""
    loop = asyncio.get_running_loop()
    while crowd.read_bytes_per_s is not None:
        if not await loop.sock_recv(sock, crowd.read_bytes_per_s):
            return
        await asyncio.sleep(1.0)
    while not sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
        if not crowd.response_bytes and not await loop.sock_recv(sock, _KIB):
            return
        await asyncio.sleep(_PAUSE_S)


async def _connect_once(address: str, crowd: _Crowd) -> None:
    """Open a connection, send, and stay until it is closed."""
    host, port = address.split(":")
    loop = asyncio.get_running_loop()
    with socket.socket() as sock:
        sock.setblocking(False)
        if crowd.response_bytes:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _PIECE_BYTES)
        await loop.sock_connect(sock, (host, int(port)))
        sending = asyncio.create_task(_send_all(sock, crowd))
        try:
            await _wait_for_end(sock, crowd)
        finally:
            sending.cancel()
            await asyncio.gather(sending, return_exceptions=True)


async def _connect_again(address: str, crowd: _Crowd) -> None:
    while True:
        with contextlib.suppress(OSError):
            await _connect_once(address, crowd)
        await asyncio.sleep(_PAUSE_S)


class EdgeCrowdsTest(EdgeCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        limits = self.settings["limits"]
        limits.update(memoryMb=_MEMORY_MIB, maxFds=_FDS_MAX)
        self.path.write_text(json.dumps(self.settings))
        self.addresses = {**self.listen, "metrics": self.metrics}
        self.fds_peak = 0

    async def _put_state(self, version: int = 7, **action) -> None:
        body = desired_state(version, **action)
        body["limits"]["maxBodyBytes"] = _BODY_BYTES_MAX
        await self.store.put("op/config", json.dumps(body).encode())

    def _memory_peak_bytes(self) -> int:
        path = pathlib.Path(f"/proc/{self.process.pid}/status")
        rows = dict(row.split(":", 1) for row in path.read_text().splitlines())
        return int(rows["VmHWM"].split()[0]) * _KIB

    async def _watch_fds(self) -> None:
        path = f"/proc/{self.process.pid}/fd"
        while True:
            self.fds_peak = max(self.fds_peak, len(os.listdir(path)))
            await asyncio.sleep(0.02)

    async def _run_crowd(self, crowd: _Crowd) -> None:
        address = self.addresses[crowd.listener]
        tasks = [
            asyncio.create_task(_connect_again(address, crowd))
            for _ in range(crowd.connections)
        ]
        tasks.append(asyncio.create_task(self._watch_fds()))
        await asyncio.sleep(_DURATION_S)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _is_served(self) -> bool:
        raw = build_request("/read/a", "ordinary")
        return (await call(self.listen["front"], raw)).status == 200

    async def _check(self, crowd: _Crowd) -> None:
        await self._start_until_ready()
        for upstream in self.upstreams:
            upstream.faults = UpstreamFaults(body_bytes=crowd.response_bytes)
        await self._run_crowd(crowd)
        for upstream in self.upstreams:
            upstream.faults = UpstreamFaults()
        await self._wait_until(self._is_served, "an ordinary request")
        await self._wait_until(self._is_ready, "a readiness call")
        self.assertIsNone(self.process.returncode)
        peak = self._memory_peak_bytes()
        print(
            f"{crowd.name}: {peak / _MIB:.0f} MiB, {self.fds_peak} descriptors"
        )
        self.assertLessEqual(peak, _MEMORY_MIB * _MIB)
        self.assertLessEqual(self.fds_peak, _FDS_MAX)

    # Guards against a process that ends, hangs, or exceeds the memory or the
    # descriptors of its machine. @params does not work on coroutines.
    @params(*_CROWDS)
    def test_crowd(self, crowd: _Crowd) -> None:
        self._asyncioRunner.run(self._check(crowd))
