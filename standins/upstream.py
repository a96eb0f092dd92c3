"""Stand-in of a backend server of the platform, with fault injection."""

import asyncio
import collections
import dataclasses
import enum
import json
import socket

from chiverun.core.ids import Address
from chiverun.integrations.network import split_address

HEALTH_PATH = "/health"
DEADLY_RUN_S = 0.05
_BACKLOG = 100


@dataclasses.dataclass(kw_only=True)
class UpstreamFaults:
    """Faults of responses.

    `answer` replaces the raw bytes of a response, and `health_answer` those of
    one to a health check; `reset` closes the
    connection without a response; `shed` rejects requests as not run;
    `extra` sends an unsolicited second response after each response. `limit`
    is the rate that the server names in each response. `cold_ms` is the cold
    time that it names in answers to health checks. `leaving` is whether its
    responses say that it leaves; `retry_after` rejects requests as not run and
    asks for a pause of these seconds. A request for `deadly_target` ends the
    server `DEADLY_RUN_S` after it has arrived. `body_bytes` is the size of
    responses' bodies, 0 for the usual one; `rows` are further lines of their
    heads, `stamp` is their stamp and `load` what they say of the load.
    """

    answer: bytes | None = None
    # Bytes that follow the answer again and again until the caller closes.
    endless: bytes | None = None
    health_answer: bytes | None = None
    # The response is sent once more after this time.
    copy_after_s: float | None = None
    reset: bool = False
    shed: bool = False
    extra: bool = False
    status: int = 200
    delay_s: float = 0.0
    limit: str | None = None
    cold_ms: int | None = None
    leaving: bool = False
    retry_after: str | None = None
    deadly_target: str | None = None
    body_bytes: int = 0
    rows: bytes = b""
    stamp: bytes = b"s"
    load: bytes = b"0,0,4,100"


class RestartKind(enum.Enum):
    """What callers see of the connections to a process that ends."""

    RESET = "reset"
    # As when a machine loses power: no packet tells that they have ended.
    SILENT = "silent"


@dataclasses.dataclass(eq=False, kw_only=True)
class UpstreamProcess:
    """One of the processes that have run under an upstream's name.

    Times are in event loop time. `arrived_at` has those of the requests,
    without health checks.
    """

    started_at: float = float("-inf")
    cold_until: float = float("-inf")
    ended_at: float = float("inf")
    end_kind: RestartKind = RestartKind.RESET
    arrived_at: list[float] = dataclasses.field(default_factory=list)
    # Kept here: tasks that wait for what nothing refers to are discarded.
    never: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    @property
    def cold_arrivals(self) -> list[float]:
        """Arrivals while the process was cold."""
        return [at for at in self.arrived_at if at < self.cold_until]

    async def is_running(self) -> bool:
        """Return whether the process runs; wait for ever in a silent end."""
        if self.ended_at == float("inf"):
            return True
        if self.end_kind is RestartKind.SILENT:
            await self.never.wait()
        return False


class Upstream:
    """Server that counts requests by id and echoes each id."""

    def __init__(
        self, *, name: str, service: str, address: Address, zone: str
    ) -> None:
        self.name = name
        self.service = service
        self.address = address
        self.zone = zone
        self.faults = UpstreamFaults()
        # Faults of one of `spoilt_each` requests, unless 0.
        self.spoilt = UpstreamFaults()
        self.spoilt_each = 0
        self.runs: collections.Counter[str] = collections.Counter()
        self.cancelled: list[str] = []
        self.targets: list[str] = []
        # Headers of each request that has run, names in lower case.
        self.headers: list[dict[str, str]] = []
        # Event loop times at which requests arrived.
        self.arrived_at: list[float] = []
        self.health_checks = 0
        self.has_ended = False
        # The last one is the present one.
        self.processes = [UpstreamProcess()]
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    def entry(self, **changes) -> bytes:
        """Return the server's registration, with the given fields replaced."""
        body = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 4,
            "state": "ready",
            "coldLeft": "0ms",
            "sequence": 1,
            "born": 1_700_000_000_000,
        }
        return json.dumps({**body, **changes}).encode()

    async def start(self) -> None:
        """Listen at the address, as another process if the last has ended."""
        if self.processes[-1].ended_at < float("inf"):
            now = asyncio.get_running_loop().time()
            self.processes.append(UpstreamProcess(started_at=now))
        # Bound before the first wait: a restart without a pause refuses no
        # connection.
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(split_address(self.address))
        sock.listen(_BACKLOG)
        self._server = await asyncio.start_server(self._serve, sock=sock)

    def stop(self) -> None:
        """Stop listening; open connections stay open."""
        if self._server is not None:
            self._server.close()

    @property
    def open_connections(self) -> int:
        """The number of open connections of callers."""
        return len(self._writers)

    def end(self) -> None:
        """End as a crashed process does: all connections break."""
        self.has_ended = True
        self._end_process(RestartKind.RESET)

    async def restart(
        self,
        *,
        down_s: float,
        cold_s: float,
        kind: RestartKind = RestartKind.RESET,
    ) -> UpstreamProcess:
        """Start another process under the name and the address.

        It listens `down_s` after the present one has ended, and is cold for
        `cold_s` from then on. The kernel resets what it has not accepted yet,
        as for a process that ends.
        """
        self._end_process(kind)
        if down_s:
            await asyncio.sleep(down_s)
        await self.start()
        process = self.processes[-1]
        process.cold_until = process.started_at + cold_s
        return process

    def _end_process(self, kind: RestartKind) -> None:
        process = self.processes[-1]
        process.ended_at = asyncio.get_running_loop().time()
        process.end_kind = kind
        self.stop()
        for writer in self._writers:
            if kind is RestartKind.RESET:
                writer.transport.abort()
            else:
                writer.transport.pause_reading()
        self._writers.clear()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        process = self.processes[-1]
        try:
            while await self._exchange(process, reader, writer):
                pass
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _exchange(
        self,
        process: UpstreamProcess,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        request_line, *rows = head.strip().split("\r\n")
        headers = {
            name.lower(): value.strip()
            for name, _, value in (row.partition(":") for row in rows)
        }
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        if not await process.is_running():
            return False
        if request_line.split(" ")[1] == HEALTH_PATH:
            self.health_checks += 1
            if self.faults.health_answer is not None:
                writer.write(self.faults.health_answer)
                await self._send_endless(writer, self.faults)
                return False
            writer.write(self._health_response(process))
            return True
        request_id = headers.get("x-chiverun-request-id", "")
        self.arrived_at.append(asyncio.get_running_loop().time())
        process.arrived_at.append(self.arrived_at[-1])
        expected = headers.get("x-chiverun-expect-instance", self.name)
        if expected != self.name:
            writer.write(_response(421, request_id, b"", b""))
            return True
        faults = self._faults_of_next()
        if faults.shed or faults.retry_after is not None:
            not_run = b"X-Chiverun-Not-Run: 1\r\n"
            if faults.retry_after is not None:
                not_run += f"Retry-After: {faults.retry_after}\r\n".encode()
            self._write(
                writer, _response(503, request_id, b"", not_run), faults
            )
            return True
        self.runs[request_id] += 1
        self.targets.append(request_line.split(" ")[1])
        self.headers.append(headers)
        if self.targets[-1] == faults.deadly_target:
            await asyncio.sleep(DEADLY_RUN_S)
            self.end()
            return False
        if not await self._work(reader, request_id, faults) or faults.reset:
            return False
        if not await process.is_running():
            return False
        if faults.answer is not None:
            writer.write(faults.answer)
            await self._send_endless(writer, faults)
            return False
        extra = b"X-Chiverun-Response-Stamp: %b\r\n" % faults.stamp
        if faults.limit is not None:
            extra += f"Server-Limit: {faults.limit}\r\n".encode()
        if faults.leaving:
            extra += b"Server-Leaving: 1\r\n"
        extra += faults.rows
        response = _response(
            faults.status,
            request_id,
            bytes(faults.body_bytes)
            or b"ran " + request_id.encode() + b" " + body,
            extra,
            load=faults.load,
        )
        self._write(writer, response, faults)
        if faults.extra:
            writer.write(_response(200, "other", b"other", b""))
        await writer.drain()
        return True

    def _faults_of_next(self) -> UpstreamFaults:
        """Return the faults of the next request."""
        is_spoilt = (
            self.spoilt_each > 0
            and len(self.arrived_at) % self.spoilt_each == 0
        )
        return self.spoilt if is_spoilt else self.faults

    def _health_response(self, process: UpstreamProcess) -> bytes:
        extra = f"X-Chiverun-Instance-Id: {self.name}\r\n"
        cold_ms = self.faults.cold_ms
        left_s = process.cold_until - asyncio.get_running_loop().time()
        if cold_ms is None and left_s > 0:
            cold_ms = round(1000 * left_s)
        if cold_ms is not None:
            extra += f"X-Chiverun-Cold-Ms: {cold_ms}\r\n"
        return _response(200, "", b"", extra.encode())

    def _write(
        self,
        writer: asyncio.StreamWriter,
        response: bytes,
        faults: UpstreamFaults,
    ) -> None:
        """Send a response, and once more if it is to be copied."""
        writer.write(response)
        if faults.copy_after_s is not None:
            asyncio.get_running_loop().call_later(
                faults.copy_after_s, writer.write, response
            )

    async def _send_endless(
        self, writer: asyncio.StreamWriter, faults: UpstreamFaults
    ) -> None:
        endless = faults.endless
        while endless:
            writer.write(endless)
            await writer.drain()

    async def _work(
        self,
        reader: asyncio.StreamReader,
        request_id: str,
        faults: UpstreamFaults,
    ) -> bool:
        """Wait `delay_s`; return False if the caller closes the connection."""
        if not faults.delay_s:
            return True
        try:
            data = await asyncio.wait_for(reader.read(1), faults.delay_s)
        except TimeoutError:
            return True
        if not data:
            self.cancelled.append(request_id)
        return bool(data)


def _response(
    status: int,
    request_id: str,
    body: bytes,
    extra: bytes,
    *,
    load: bytes = b"0,0,4,100",
) -> bytes:
    head = (
        (
            f"HTTP/1.1 {status} x\r\nContent-Length: {len(body)}\r\n"
            f"X-Chiverun-Request-Id: {request_id}\r\n"
        ).encode()
        + b"X-Chiverun-Server-Load: "
        + load
        + b"\r\n"
    )
    return head + extra + b"\r\n" + body
