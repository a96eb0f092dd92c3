"""A plain byte relay that adds latency and cuts zones off from each other.

Reads a JSON file with a list of ``{listen, target, latency_ms, source,
destination}``. Commands are lines on the control address: ``cut A B`` stops
all bytes between zones A and B and closes their connections, ``heal A B``
lets them pass again; ``*`` stands for every other zone.

With ``--log`` the bytes passed on are written as JSON lines, summed over
short buckets of time for each pair of zones.
"""

import argparse
import asyncio
import collections
import json
import time
from typing import TextIO

_CHUNK = 65536
BUCKET_S = 0.05


class Relay:
    """Routes of the relay and the pairs of zones that are cut."""

    def __init__(self) -> None:
        self.cuts: set[tuple[str, str]] = set()
        self.connections: dict[asyncio.StreamWriter, tuple[str, str]] = {}
        self.passed: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )

    async def write_log(self, log: TextIO) -> None:
        """Write the bytes passed on in each bucket of time."""
        while True:
            await asyncio.sleep(BUCKET_S)
            passed, self.passed = self.passed, collections.Counter()
            for (source, destination), size in passed.items():
                record = {
                    "t": time.time(),
                    "source": source,
                    "destination": destination,
                    "bytes": size,
                }
                log.write(json.dumps(record) + "\n")
            log.flush()

    def is_cut(self, source: str, destination: str) -> bool:
        """Tell whether no byte may pass between two zones."""
        return any(
            pair in self.cuts
            for pair in (
                (source, destination),
                (destination, source),
                (source, "*"),
                (destination, "*"),
            )
        )

    def cut(self, first: str, second: str) -> None:
        """Cut two zones off and close their connections."""
        self.cuts.add((first, second))
        for writer, (source, destination) in list(self.connections.items()):
            if self.is_cut(source, destination):
                writer.transport.abort()

    def heal(self, first: str, second: str) -> None:
        """Let bytes pass again."""
        self.cuts.discard((first, second))

    async def connect(self, route: dict, reader, writer) -> None:
        """Relay one connection."""
        pair = (route["source"], route["destination"])
        if self.is_cut(*pair):
            # A partition drops packets: the caller sees no answer at all.
            await asyncio.sleep(30)
            writer.transport.abort()
            return
        host, _, port = route["target"].rpartition(":")
        latency_s = route["latency_ms"] / 1000.0
        try:
            await asyncio.sleep(latency_s)
            up_reader, up_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            writer.transport.abort()
            return
        self.connections[writer] = pair
        self.connections[up_writer] = pair
        try:
            await asyncio.gather(
                self._copy(reader, up_writer, latency_s, pair),
                self._copy(up_reader, writer, latency_s, pair[::-1]),
            )
        finally:
            for end in (writer, up_writer):
                self.connections.pop(end, None)
                end.close()

    async def _copy(self, reader, writer, latency_s: float, pair) -> None:
        """Copy bytes and count them for a pair of zones."""

        def count(size: int) -> None:
            self.passed[pair] += size

        await _copy(reader, writer, latency_s, count)


async def _copy(reader, writer, latency_s: float, count) -> None:
    """Copy bytes, each chunk after the latency, without losing rate."""
    queue: asyncio.Queue = asyncio.Queue()
    loop = asyncio.get_running_loop()

    async def send() -> None:
        while True:
            due, data = await queue.get()
            await asyncio.sleep(max(0.0, due - loop.time()))
            if not data:
                writer.close()
                return
            count(len(data))
            writer.write(data)
            await writer.drain()

    sender = asyncio.ensure_future(send())
    data = b"x"
    while data:
        try:
            data = await reader.read(_CHUNK)
        except OSError:
            data = b""
        queue.put_nowait((loop.time() + latency_s, data))
    try:
        await sender
    except OSError:
        writer.transport.abort()


async def _control(relay: Relay, reader, writer) -> None:
    while line := await reader.readline():
        words = line.decode().split()
        match words:
            case ["cut", first, second]:
                relay.cut(first, second)
            case ["heal", first, second]:
                relay.heal(first, second)
        writer.write(b"ok\n")
        await writer.drain()
    writer.close()


async def serve(routes: list[dict], control: str, log: TextIO) -> None:
    """Serve all routes until ended."""
    relay = Relay()
    writing = asyncio.ensure_future(relay.write_log(log))
    servers = []
    for route in routes:
        host, _, port = route["listen"].rpartition(":")
        servers.append(
            await asyncio.start_server(
                lambda r, w, route=route: relay.connect(route, r, w),
                host,
                int(port),
            )
        )
    host, _, port = control.rpartition(":")
    servers.append(
        await asyncio.start_server(
            lambda r, w: _control(relay, r, w), host, int(port)
        )
    )
    await asyncio.gather(writing, *(s.serve_forever() for s in servers))


def main() -> None:
    """Run the relay until it is ended."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--routes", required=True)
    parser.add_argument("--control", required=True)
    parser.add_argument("--log", default="/dev/null")
    args = parser.parse_args()
    with open(args.routes, encoding="utf-8") as stream:
        routes = json.load(stream)
    with open(args.log, "a", encoding="utf-8") as log:
        asyncio.run(serve(routes, args.control, log))


if __name__ == "__main__":
    main()
