"""An edge instance run as a process with stand-ins, for tests."""

import asyncio
import json
import os
import pathlib
import sys
import tempfile
import unittest

from standins.metastore import MetaStore
from standins.upstream import Upstream
from tests.adapter.examples import desired_state
from tests.adapter.examples import settings_body
from tests.ports import free_address

_ROOT = pathlib.Path(__file__).parent.parent.parent
PROCESS_TIMEOUT_S = 20.0
# Part of a process's errors that is shown.
_ERRORS_LENGTH = 2000


class Response:
    """A raw response, split into status, head and body."""

    def __init__(self, raw: bytes) -> None:
        head, _, self.body = raw.partition(b"\r\n\r\n")
        self.head = head.decode("latin-1")
        parts = self.head.split(" ", 2)
        self.status = int(parts[1]) if len(parts) > 1 else 0


async def call(address: str, raw: bytes, timeout_s: float = 8.0) -> Response:
    """Send bytes on a new connection and read until it is closed."""
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(raw)
        return Response(await asyncio.wait_for(reader.read(), timeout_s))
    finally:
        writer.close()


def build_request(
    path: str,
    request_id: str = "r1",
    *,
    method: str = "GET",
    body: bytes = b"",
    deadline_ms: int = 3000,
    key: str = "17",
) -> bytes:
    """Return a client's request with ``Connection: close``."""
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: mill.example\r\n"
        f"X-Chiverun-Request-Id: {request_id}\r\n"
        f"X-Chiverun-Affinity-Key: {key}\r\n"
        f"X-Chiverun-Deadline-Ms: {deadline_ms}\r\n"
        f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
    )
    return head.encode() + body


class EdgeCase(unittest.IsolatedAsyncioTestCase):
    """Runs one edge instance, a store and three servers of a zone."""

    async def asyncSetUp(self) -> None:
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        self.store = MetaStore()
        store_address = free_address()
        self.listeners = [await self.store.start(store_address)]
        self.listen = {
            name: free_address()
            for name in ("front", "ready", "control", "directory")
        }
        metrics = free_address()
        self.metrics = metrics
        self.settings = settings_body(
            listen=self.listen,
            innerPorts=[0, int(metrics.rpartition(":")[2])],
            platform={"address": store_address},
        )
        self.path = pathlib.Path(self.folder.name) / "local.json"
        self.path.write_text(json.dumps(self.settings))
        self.upstreams = [
            Upstream(
                name=f"i-{i}",
                service="works",
                address=free_address(),
                zone="musanze-a",
            )
            for i in range(3)
        ]
        for upstream in self.upstreams:
            await upstream.start()
        self.process: asyncio.subprocess.Process | None = None

    async def asyncTearDown(self) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        for listener in self.listeners:
            listener.close()
        for upstream in self.upstreams:
            upstream.stop()

    async def _write_store(self) -> None:
        await self._put_state()
        for upstream in self.upstreams:
            await self.store.put(f"servers/{upstream.name}", upstream.entry())

    async def _put_state(self, version: int = 7, **action) -> None:
        body = desired_state(version, **action)
        await self.store.put("op/config", json.dumps(body).encode())

    async def _put_route(self, version: int, prefix: str) -> None:
        """Write a desired state in which a route has been added."""
        body = desired_state(version)
        rules = body["listeners"][0]["rules"]
        rules.append({**rules[1], "match": {"prefix": prefix}})
        await self.store.put("op/config", json.dumps(body).encode())

    async def _start(self) -> None:
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "chiverun",
            "platform",
            "serve",
            cwd=_ROOT,
            env={**os.environ, "CHIVERUN_CONFIG": str(self.path)},
            stdout=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.PIPE,
        )

    async def _wait_until(self, condition, what: str) -> None:
        for _ in range(int(PROCESS_TIMEOUT_S / 0.1)):
            try:
                if await condition():
                    return
            except OSError:
                pass
            await asyncio.sleep(0.1)
        self.fail(
            f"not within {PROCESS_TIMEOUT_S:g} s: {what}"
            f"{await self._describe_exit()}"
        )

    async def _describe_exit(self) -> str:
        """Return how the process ended and what it said, if it has ended."""
        if self.process is None or self.process.returncode is None:
            return ""
        errors = await self.process.stderr.read()
        text = errors.decode(errors="replace")[-_ERRORS_LENGTH:]
        return f"; exit status {self.process.returncode}: {text}"

    async def _is_ready(self) -> bool:
        response = await call(
            self.listen["ready"],
            b"GET /-/readiness HTTP/1.1\r\nHost: x\r\n"
            b"Connection: close\r\n\r\n",
        )
        return response.status == 200

    async def _is_listening(self) -> bool:
        return (
            await call(self.listen["front"], build_request("/read/a"))
        ).status > 0

    async def _start_until_ready(self) -> None:
        await self._write_store()
        await self._start()
        await self._wait_until(self._is_ready, "ready")

    def _run_count(self, request_id: str) -> int:
        return sum(up.runs[request_id] for up in self.upstreams)
