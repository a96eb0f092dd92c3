"""Tests of small edge instances whose peers send bytes without end.

The bytes are a multiple of the machine's memory. What is checked does not
depend on speed: the processes live, their memory stays within the machine's,
and an ordinary request is answered afterwards.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import sys

from standins.upstream import Upstream
from standins.upstream import UpstreamFaults
from tests.adapter.edgecase import build_request
from tests.adapter.edgecase import call
from tests.adapter.edgecase import EdgeCase
from tests.adapter.examples import desired_state
from tests.integrations import zmtp
from tests.ports import free_address

_KIB = 1024
_MIB = 1024 * _KIB
_MEMORY_MIB = 100
_DURATION_S = 3.0
_CALLERS = 40
_SERVICES = ("works", "ledger", "archive")
_MACHINES = 4
# Bytes of a peer message before a pause, so that they come at the rate of a
# link rather than of loopback.
_PAUSE_BYTES = _MIB
_PAUSE_S = 0.01

_HEAD = b"HTTP/1.1 200 OK\r\nX-Chiverun-Response-Stamp: s\r\n"
_CHUNKED = _HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
_PIECE = b"a" * 64 * _KIB
# What a server sends first, and then again and again.
_ENDLESS = {
    "status line": (b"HTTP/1.1 200 ", _PIECE),
    "head": (_HEAD, b"X-A: " + b"a" * 1000 + b"\r\n"),
    "header line": (_HEAD + b"X-A: ", _PIECE),
    "interim": (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 100),
    "body": (_HEAD + b"Content-Length: 999999999\r\n\r\n", _PIECE),
    "body without a length": (_HEAD + b"\r\n", _PIECE),
    "chunks": (_CHUNKED, b"10000\r\n" + _PIECE + b"\r\n"),
    "chunk extension": (_CHUNKED + b"1;", _PIECE),
    "trailers": (_CHUNKED + b"0\r\n", b"X-A: " + b"a" * 1000 + b"\r\n"),
    "answers to others": (
        b"",
        b"HTTP/1.1 200 OK\r\nX-Chiverun-Request-Id: z\r\n"
        b"Content-Length: 1000\r\n\r\n" + b"a" * 1000,
    ),
    "no answer": (b"", b"\x00\xff" * 32 * _KIB),
}
_PEER_STREAMS = {
    "bytes of another protocol": (b"", b"GET / HTTP/1.1\r\n" * 4096),
    "frame": (
        zmtp.GREETING + zmtp.READY + b"\x02" + (2**40).to_bytes(8, "big"),
        _PIECE,
    ),
    "parts": (zmtp.GREETING + zmtp.READY, zmtp.part(bytes(_MIB))),
    "small parts": (zmtp.GREETING + zmtp.READY, zmtp.part(b"x") * 4096),
    "messages": (zmtp.GREETING + zmtp.READY, zmtp.message(bytes(_MIB))),
    "compressed messages": (
        zmtp.GREETING + zmtp.READY,
        zmtp.message(b"\x01" + bytes(_MIB)),
    ),
}


class EdgeEndlessTest(EdgeCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.settings["limits"]["memoryMb"] = _MEMORY_MIB
        self.path.write_text(json.dumps(self.settings))
        self.others: list[asyncio.subprocess.Process] = []
        self.fronts = [self.listen["front"]]

    async def asyncTearDown(self) -> None:
        for process in self.others:
            process.kill()
            await process.wait()
        await super().asyncTearDown()

    async def _put_state(self, version: int = 7, **action) -> None:
        """Write a desired state with a safe route to each service."""
        body = desired_state(version, **action)
        rules = body["listeners"][0]["rules"]
        for name in _SERVICES[1:]:
            rule = json.loads(json.dumps(rules[1]))
            rule["match"]["prefix"] = f"/{name}/"
            del rule["action"]["split"]
            rule["action"]["service"] = name
            rules.append(rule)
            body["clusters"].append({**body["clusters"][0], "name": name})
        await self.store.put("op/config", json.dumps(body).encode())

    async def _start_services(self) -> None:
        """Start two servers of each further service."""
        for name in _SERVICES[1:]:
            for number in range(2):
                upstream = Upstream(
                    name=f"{name}-{number}",
                    service=name,
                    address=free_address(),
                    zone="musanze-a",
                )
                await upstream.start()
                self.upstreams.append(upstream)

    async def _start_other(self, number: int) -> None:
        """Start a further instance that knows the first one."""
        listen = {name: free_address() for name in self.listen}
        ports = [0, int(free_address().rpartition(":")[2])]
        settings = {
            **self.settings,
            "nodeName": f"front-musanze-a-{number}",
            "listen": listen,
            "innerPorts": ports,
            "seeds": [self.listen["control"]],
        }
        path = pathlib.Path(self.folder.name) / f"local-{number}.json"
        path.write_text(json.dumps(settings))
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "chiverun",
            "platform",
            "serve",
            env={**os.environ, "CHIVERUN_CONFIG": str(path)},
            stdout=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.DEVNULL,
        )
        self.others.append(process)
        self.fronts.append(listen["front"])

        async def is_serving() -> bool:
            raw = build_request("/read/a", f"start-{number}")
            return (await call(listen["front"], raw)).status == 200

        await self._wait_until(is_serving, f"instance {number} serves")

    def _spoil(self, first: bytes, rest: bytes, **changes) -> None:
        """Let one server of each service send bytes without end."""
        seen = set()
        for upstream in self.upstreams:
            if upstream.service not in seen:
                seen.add(upstream.service)
                upstream.faults = UpstreamFaults(
                    answer=first, endless=rest, **changes
                )

    def _mend(self) -> None:
        for upstream in self.upstreams:
            upstream.faults = UpstreamFaults()

    async def _press(self, paths: tuple[str, ...]) -> None:
        """Send requests to all instances for a while."""
        loop = asyncio.get_running_loop()
        until = loop.time() + _DURATION_S

        async def caller(number: int) -> None:
            turn = 0
            while loop.time() < until:
                turn += 1
                path = paths[(number + turn) % len(paths)]
                raw = build_request(
                    path, f"p{number}-{turn}", key=f"{number}-{turn}"
                )
                front = self.fronts[number % len(self.fronts)]
                with contextlib.suppress(OSError, TimeoutError):
                    await call(front, raw)

        await asyncio.gather(*(caller(n) for n in range(_CALLERS)))

    async def _check_within_memory(self, name: str) -> None:
        """Check the processes, and that each serves ordinary requests."""
        for process in (self.process, *self.others):
            self.assertIsNone(process.returncode, name)
            path = pathlib.Path(f"/proc/{process.pid}/status")
            text = path.read_text().partition("VmHWM:")[2]
            peak_kib = int(text.split()[0])
            # The next peak counts from now on.
            pathlib.Path(f"/proc/{process.pid}/clear_refs").write_text("5")
            print(f"{name}: {peak_kib / _KIB:.0f} MiB")
            self.assertLessEqual(peak_kib, _MEMORY_MIB * _KIB, name)
        for front in self.fronts:

            async def is_served(front: str = front) -> bool:
                raw = build_request("/read/a", f"after {name}")
                return (await call(front, raw)).status == 200

            await self._wait_until(is_served, f"served after {name}")

    async def test_answers_to_several_services(self) -> None:
        """Guards against bytes of several services that fill the memory."""
        await self._start_services()
        await self._start_until_ready()
        paths = ("/read/a", *(f"/{name}/a" for name in _SERVICES[1:]))
        for name, (first, rest) in _ENDLESS.items():
            with self.subTest(name):
                self._spoil(first, rest)
                await self._press(paths)
                self._mend()
                await self._check_within_memory(name)

    async def test_server_that_many_instances_call(self) -> None:
        """Guards against one server's bytes that end several instances."""
        await self._start_until_ready()
        for number in range(2, _MACHINES + 1):
            await self._start_other(number)
        for name in ("head", "body without a length", "chunks"):
            with self.subTest(name):
                self._spoil(*_ENDLESS[name])
                await self._press(("/read/a",))
                self._mend()
                await self._check_within_memory(name)

    async def test_answers_to_health_checks(self) -> None:
        """Guards against a health check whose answer fills the memory.

        Servers are asked while the store is silent.
        """
        for upstream in self.upstreams[1:]:
            upstream.stop()
        del self.upstreams[1:]
        await self._start_until_ready()
        self.store.faults.silent = True
        # Servers that get much are asked once the catalog is old.
        await self._press(("/read/a",))
        faulty = self.upstreams[0]
        for name, (first, rest) in _ENDLESS.items():
            with self.subTest(name):
                faulty.faults = UpstreamFaults(
                    health_answer=first, endless=rest
                )
                checks = faulty.health_checks
                await self._press(("/read/a",))
                self.assertGreater(faulty.health_checks, checks)
                self._mend()
                await self._check_within_memory(name)

    async def test_messages_of_another_instance(self) -> None:
        """Guards against an instance's bytes that fill another's memory."""
        await self._start_until_ready()
        host, port = self.listen["control"].split(":")
        for name, (first, rest) in _PEER_STREAMS.items():
            with self.subTest(name):
                streams = [
                    asyncio.create_task(
                        _send_endless(host, int(port), first, rest)
                    )
                    for _ in range(2)
                ]
                await asyncio.sleep(_DURATION_S)
                for task in streams:
                    task.cancel()
                await asyncio.gather(*streams, return_exceptions=True)
                await self._check_within_memory(name)


async def _send_endless(
    host: str, port: int, first: bytes, rest: bytes
) -> None:
    """Send at the rate of a link, again after each close."""
    while True:
        with contextlib.suppress(OSError):
            _, writer = await asyncio.open_connection(host, port)
            try:
                writer.write(first)
                sent = 0
                while True:
                    writer.write(rest)
                    await writer.drain()
                    sent += len(rest)
                    if sent >= _PAUSE_BYTES:
                        sent = 0
                        await asyncio.sleep(_PAUSE_S)
            finally:
                writer.transport.abort()
        await asyncio.sleep(_PAUSE_S)
