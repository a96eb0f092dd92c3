"""Minimal HTTP/1.1 server for the stand-ins, on asyncio streams."""

import asyncio
import dataclasses
from collections.abc import Awaitable
from collections.abc import Callable


@dataclasses.dataclass(kw_only=True)
class Call:
    """A complete request; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


def respond(
    status: int, body: bytes = b"", headers: dict[str, str] | None = None
) -> bytes:
    """Return the bytes of a response with a length."""
    rows = {"Content-Length": str(len(body)), **(headers or {})}
    head = f"HTTP/1.1 {status} x\r\n" + "".join(
        f"{name}: {value}\r\n" for name, value in rows.items()
    )
    return head.encode() + b"\r\n" + body


async def read_call(reader: asyncio.StreamReader) -> Call:
    """Read a request with a length, or without a body.

    Raises
    ------
    IncompleteReadError
        If the connection ends.
    """
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    line, *rows = head.strip().split("\r\n")
    headers = {
        name.lower(): value.strip()
        for name, _, value in (row.partition(":") for row in rows)
    }
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    method, target, _ = line.split(" ", 2)
    return Call(method=method, target=target, headers=headers, body=body)


async def serve(
    address: str, handle: Callable[[Call], Awaitable[bytes]]
) -> asyncio.Server:
    """Answer requests at an address, one at a time on a connection."""

    async def run(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                writer.write(await handle(await read_call(reader)))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    host, _, port = address.rpartition(":")
    return await asyncio.start_server(run, host, int(port), backlog=1024)
