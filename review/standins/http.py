"""The little of HTTP/1.1 that the stand-ins need."""

import asyncio
import dataclasses


@dataclasses.dataclass
class Request:
    """A complete request; header names are in lower case."""

    method: str
    target: str
    headers: dict
    body: bytes


@dataclasses.dataclass
class Response:
    """What a client got; `complete` is whether the whole body came."""

    status: int = 0
    headers: dict = dataclasses.field(default_factory=dict)
    body: bytes = b""
    complete: bool = False
    error: str = ""


def _parse_head(head: bytes) -> tuple[str, dict]:
    first, *rows = head.decode("latin-1").strip("\r\n").split("\r\n")
    headers = {}
    for row in rows:
        name, _, value = row.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Read a request; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    first, headers = _parse_head(head)
    method, target, _ = first.split(" ", 2)
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Request(method, target, headers, body)


def response(status: int, headers: list, body: bytes) -> bytes:
    """Return the bytes of a response with a length."""
    rows = [f"HTTP/1.1 {status} x"]
    rows += [f"{name}: {value}" for name, value in headers]
    rows.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(rows) + "\r\n\r\n").encode("latin-1") + body


def request(method: str, target: str, headers: list, body: bytes) -> bytes:
    """Return the bytes of a request."""
    rows = [f"{method} {target} HTTP/1.1"]
    rows += [f"{name}: {value}" for name, value in headers]
    if body or method not in ("GET", "HEAD"):
        rows.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(rows) + "\r\n\r\n").encode("latin-1") + body


async def read_response(reader: asyncio.StreamReader) -> Response:
    """Read a response with a length as far as it comes."""
    got = Response()
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        first, got.headers = _parse_head(head)
        got.status = int(first.split(" ")[1])
        left = int(got.headers.get("content-length", "0"))
        parts = []
        while left > 0:
            part = await reader.read(min(left, 65536))
            if not part:
                got.error = f"closed with {left} bytes missing"
                break
            parts.append(part)
            left -= len(part)
        got.body = b"".join(parts)
        got.complete = left == 0
    except (ConnectionError, asyncio.IncompleteReadError) as exc:
        got.error = repr(exc)
    return got
