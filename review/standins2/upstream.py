"""Stand-in of an upstream, on loopback."""

import asyncio
import dataclasses
import time

from review.standins2.edge import server_entry
from review.standins2.http import Call
from review.standins2.http import respond
from review.standins2.http import serve
from review.standins2.store import Store


@dataclasses.dataclass(frozen=True, kw_only=True)
class Run:
    """A request that an upstream has run, at a monotonic time."""

    at: float
    server: str
    service: str
    request_id: str
    method: str
    target: str
    headers: dict[str, str]
    body_bytes: int


class Upstream:
    """A sound upstream that registers itself and serves requests.

    `work_s` is the time that a request takes. All upstreams of a test add
    their runs to the list `runs`.
    """

    def __init__(
        self,
        *,
        name: str,
        service: str,
        address: str,
        zone: str,
        runs: list[Run],
        slots: int = 4,
        work_s: float = 0.02,
        body: bytes = b"done",
    ) -> None:
        self.name = name
        self.service = service
        self.address = address
        self.zone = zone
        self.slots = slots
        self.work_s = work_s
        self.body = body
        self.sequence = 0
        self._runs = runs
        self._running = 0
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen at the address."""
        self._server = await serve(self.address, self._handle)

    def entry(self, **changes) -> dict:
        """Return the upstream's entry in the store."""
        self.sequence += 1
        return server_entry(
            self.service,
            self.address,
            self.zone,
            slots=self.slots,
            sequence=self.sequence,
            **changes,
        )

    async def report_forever(self, store: Store, beat_s: float) -> None:
        """Write the entry every `beat_s`, as PROTOCOL.md says."""
        while True:
            await store.report(f"servers/{self.name}", self.entry())
            await asyncio.sleep(beat_s)

    async def _handle(self, call: Call) -> bytes:
        load = f"{self._running},0,{self.slots}"
        if call.target == "/health":
            return respond(
                200,
                headers={
                    "X-Chiverun-Instance-Id": self.name,
                    "X-Chiverun-Server-Load": load,
                },
            )
        request_id = call.headers.get("x-chiverun-request-id", "")
        own = {
            "X-Chiverun-Request-Id": request_id,
            "X-Chiverun-Server-Load": load,
        }
        expected = call.headers.get("x-chiverun-expect-instance", self.name)
        if expected != self.name:
            return respond(421, headers={**own, "X-Chiverun-Not-Run": "1"})
        self._runs.append(
            Run(
                at=time.monotonic(),
                server=self.name,
                service=self.service,
                request_id=request_id,
                method=call.method,
                target=call.target,
                headers=call.headers,
                body_bytes=len(call.body),
            )
        )
        self._running += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self._running -= 1
        return respond(
            200, self.body, {**own, "X-Chiverun-Response-Stamp": "stamp"}
        )
