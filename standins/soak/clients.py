"""Clients of the soak test, which record the outcome of each request."""

import asyncio
import collections
import dataclasses
import itertools
import random

from chiverun.core.exchange import Answered
from chiverun.core.ids import Address
from chiverun.integrations.asyncclient import ClientConnection
from chiverun.integrations.asyncclient import connect
from chiverun.integrations.asyncclient import OutgoingRequest

CLIENT_TIMEOUT_S = 3.0
REQUEST_PAUSE_S = 0.04
# Statuses that guarantee that a request has not run and will not run.
NOT_RUN_STATUSES = (408, 421, 429, 503)


@dataclasses.dataclass(frozen=True, kw_only=True)
class RequestResult:
    """Outcome of a request at its client; status 0 means no response."""

    request_id: str
    repeatable: bool
    status: int
    body: bytes
    started_at: float
    ended_at: float


class Clients:
    """Clients with persistent connections to random instances."""

    def __init__(self, *, addresses: list[Address], seed: int) -> None:
        self.results: list[RequestResult] = []
        self.statuses: collections.Counter[int] = collections.Counter()
        self._addresses = addresses
        self._rng = random.Random(seed)
        self._numbers = itertools.count()

    async def run(self) -> None:
        """Send requests until cancelled."""
        connections: dict[Address, ClientConnection] = {}
        while True:
            address = self._rng.choice(self._addresses)
            await self._send_request(address, connections)
            await asyncio.sleep(REQUEST_PAUSE_S)

    async def _send_request(
        self, address: Address, connections: dict[Address, ClientConnection]
    ) -> None:
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        number = next(self._numbers)
        repeatable = self._rng.random() < 0.6
        request_id = f"q{number}"
        connection = connections.pop(address, None)
        try:
            if connection is None or not connection.reusable:
                connection = await connect(
                    address, timeout_s=1.0, body_bytes_max=1 << 20
                )
        except (OSError, TimeoutError):
            return
        outcome = await connection.exchange(
            _request(request_id, repeatable, self._rng.randrange(20)),
            CLIENT_TIMEOUT_S,
        )
        answer = outcome if isinstance(outcome, Answered) else None
        if answer is not None and connection.reusable:
            connections[address] = connection
        else:
            connection.abort()
        status = answer.status if answer else 0
        self.statuses[status] += 1
        self.results.append(
            RequestResult(
                request_id=request_id,
                repeatable=repeatable,
                status=status,
                body=answer.body if answer else b"",
                started_at=started_at,
                ended_at=loop.time(),
            )
        )


def _request(request_id: str, repeatable: bool, key: int) -> OutgoingRequest:
    headers = [
        (b"Host", b"mill.example"),
        (b"X-Chiverun-Request-Id", request_id.encode()),
        (b"X-Chiverun-Affinity-Key", str(key).encode()),
        (b"X-Chiverun-Deadline-Ms", b"3000"),
    ]
    if not repeatable:
        headers.append((b"Content-Length", b"2"))
    return OutgoingRequest(
        method=b"GET" if repeatable else b"POST",
        target=b"/read/x" if repeatable else b"/book/x",
        headers=headers,
        body=b"" if repeatable else b"go",
        matches_request=lambda rows: True,
    )
