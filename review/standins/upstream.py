"""Stand-in of an upstream that follows PROTOCOL.md."""

import asyncio
import time

from review.standins import http


class Upstream:
    """An upstream of one service; `work` makes the body of an answer.

    It runs up to `slots` requests at once, queues `queue` more and sheds the
    rest.
    A request whose connection closes is dropped.
    """

    def __init__(
        self,
        *,
        name,
        service,
        zone,
        log,
        slots=4,
        queue=12,
        work_s=0.1,
        body=b"",
    ) -> None:
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.queue = queue
        self.sheds = 0
        self.work_s = work_s
        self.body = body
        self.runs = {}
        self.ended = {}
        self.state = "ready"
        self.leaving = False
        self.faulty = None
        self.log = log
        self._born = int(time.time() * 1000)
        self._sequence = 0
        self._slots = asyncio.Semaphore(slots)
        self._running = 0
        self._waiting = 0
        self._server = None
        self.address = ""

    async def start(self) -> None:
        """Listen at a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    def stop(self) -> None:
        """Stop listening."""
        self._server.close()

    def entry(self) -> dict:
        """Return its next status report for the store."""
        self._sequence += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "coldLeft": "0ms",
            "sequence": self._sequence,
            "born": self._born,
        }

    def _headers(self, request_id: str) -> list:
        rows = [
            (
                "X-Chiverun-Server-Load",
                f"{self._running},{self._waiting},{self.slots},100",
            )
        ]
        if request_id:
            rows.append(("X-Chiverun-Request-Id", request_id))
        if self.leaving:
            rows.append(("Server-Leaving", "1"))
        return rows

    async def _serve(self, reader, writer) -> None:
        try:
            while (req := await http.read_request(reader)) is not None:
                if not await self._answer(req, reader, writer):
                    break
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, req, reader, writer) -> bool:
        request_id = req.headers.get("x-chiverun-request-id", "")
        rows = self._headers(request_id)
        if req.target == "/health":
            rows.append(("X-Chiverun-Instance-Id", self.name))
            status = 200 if self.state == "ready" else 503
            writer.write(http.response(status, rows, b""))
            return True
        if req.headers.get("x-chiverun-expect-instance") != self.name:
            rows.append(("X-Chiverun-Instance-Id", self.name))
            writer.write(http.response(421, rows, b""))
            return True
        if self._running >= self.slots and self._waiting >= self.queue:
            self.sheds += 1
            rows.insert(0, ("X-Chiverun-Not-Run", "1"))
            writer.write(http.response(503, rows, b""))
            return True
        self._waiting += 1
        async with self._slots:
            self._waiting -= 1
            self._running += 1
            self.runs[request_id] = self.runs.get(request_id, 0) + 1
            self.log("runs", server=self.name, id=request_id)
            try:
                if self.faulty is not None:
                    faulty = self.faulty
                    if await faulty(self, request_id, reader, writer):
                        return False
                await asyncio.sleep(self.work_s)
            finally:
                self._running -= 1
        self.ended[request_id] = time.monotonic()
        self.log("answers", server=self.name, id=request_id)
        rows = self._headers(request_id)
        rows.append(("X-Chiverun-Response-Stamp", f"{self.name}.1"))
        writer.write(http.response(200, rows, self.body))
        await writer.drain()
        return True
