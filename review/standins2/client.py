"""Stand-in of a client that keeps its connection open."""

import asyncio
import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class Answer:
    """A complete response; header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


def request_bytes(
    method: str,
    target: str,
    request_id: str,
    *,
    deadline_ms: int,
    body: bytes = b"",
    host: str = "mill.example",
    headers: dict[str, str] | None = None,
) -> bytes:
    """Return a request as PROTOCOL.md describes it."""
    rows = {
        "Host": host,
        "X-Chiverun-Request-Id": request_id,
        "X-Chiverun-Deadline-Ms": str(deadline_ms),
        **(headers or {}),
    }
    if body or method == "POST":
        rows["Content-Length"] = str(len(body))
    head = f"{method} {target} HTTP/1.1\r\n" + "".join(
        f"{name}: {value}\r\n" for name, value in rows.items()
    )
    return head.encode() + b"\r\n" + body


class KeptConnection:
    """A connection that carries one request after the other."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def send(self, raw: bytes) -> None:
        """Send bytes, on a new connection if there is none.

        Raises
        ------
        OSError
        """
        if self._writer is None or self._writer.is_closing():
            host, _, port = self._address.rpartition(":")
            self._reader, self._writer = await asyncio.open_connection(
                host, int(port)
            )
        self._writer.write(raw)
        await self._writer.drain()

    async def read(self) -> Answer | None:
        """Return the next response, None if the connection ends."""
        try:
            head = await self._reader.readuntil(b"\r\n\r\n")
            line, *rows = head.decode("latin-1").strip().split("\r\n")
            headers = {
                name.lower(): value.strip()
                for name, _, value in (row.partition(":") for row in rows)
            }
            size = int(headers.get("content-length", "0"))
            body = await self._reader.readexactly(size)
        except (OSError, asyncio.IncompleteReadError):
            self.close()
            return None
        if headers.get("connection", "").lower() == "close":
            self.close()
        status = int(line.split(" ")[1])
        return Answer(status=status, headers=headers, body=body)

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None
