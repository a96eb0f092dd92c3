"""Complete HTTP requests and responses, and checks of request heads."""

import dataclasses
from collections.abc import Awaitable
from collections.abc import Callable

import h11

from chiverun.core.body import Body
from chiverun.core.headertext import decode_headers
from chiverun.core.headertext import Headers


@dataclasses.dataclass(frozen=True, kw_only=True)
class IncomingRequest:
    """A complete request; `target` is not decoded."""

    method: str
    target: str
    headers: Headers
    body: bytes | Body
    arrived_at: float

    def header(self, name: str) -> str | None:
        """Return the first value of a header, None if it is missing."""
        lower = name.lower()
        return next((v for n, v in self.headers if n.lower() == lower), None)


@dataclasses.dataclass(frozen=True, kw_only=True)
class OutgoingResponse:
    """A complete response."""

    status: int
    headers: Headers
    body: bytes | Body = b""


Handler = Callable[[IncomingRequest], Awaitable[OutgoingResponse]]


def request_of(
    head: h11.Request, body: bytes | Body, arrived_at: float
) -> IncomingRequest:
    """Return a complete request."""
    return IncomingRequest(
        method=head.method.decode("ascii"),
        target=head.target.decode("ascii"),
        headers=decode_headers(head.headers.raw_items()),
        body=body,
        arrived_at=arrived_at,
    )


def head_bytes(request: h11.Request) -> int:
    """Return the size of a request head without its line ends."""
    rows = request.headers.raw_items()
    fields = sum(len(name) + len(value) + 2 for name, value in rows)
    return len(request.method) + len(request.target) + fields


def content_length(request: h11.Request) -> int:
    """Return the length of the body, 0 if it is sent in chunks."""
    lengths = [v for name, v in request.headers if name == b"content-length"]
    return int(lengths[0]) if lengths else 0


def has_ambiguous_length(request: h11.Request) -> bool:
    """Return whether a head has both a length and chunks."""
    names = {name for name, _ in request.headers}
    return b"transfer-encoding" in names and b"content-length" in names
