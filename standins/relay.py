"""TCP relay that adds latency and partitions zones from each other.

Reads a JSON file with a list of ``{listen, target, latency_ms, source,
destination}``. Commands are lines on the control address: ``cut A B`` blocks
all traffic between zones A and B and closes their connections, ``heal A B``
unblocks it; ``*`` as B matches every other zone.

With ``--log`` the relayed bytes of each pair of zones are written as JSON
lines, one for each bucket of `BUCKET_S`.
"""

import argparse
import asyncio
import collections
import json
import time
from typing import TextIO

_CHUNK_BYTES = 65536
BUCKET_S = 0.05


class Relay:
    """Open connections, relayed bytes and partitioned pairs of zones."""

    def __init__(self) -> None:
        self.blocked_pairs: set[tuple[str, str]] = set()
        self.connections: dict[asyncio.StreamWriter, tuple[str, str]] = {}
        self.byte_counts: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )

    async def write_log(self, log: TextIO) -> None:
        """Write the bytes relayed in each time bucket."""
        while True:
            await asyncio.sleep(BUCKET_S)
            counts, self.byte_counts = self.byte_counts, collections.Counter()
            for (source, destination), size in counts.items():
                record = {
                    "t": time.time(),
                    "source": source,
                    "destination": destination,
                    "bytes": size,
                }
                log.write(json.dumps(record) + "\n")
            log.flush()

    def is_cut(self, source: str, destination: str) -> bool:
        """Return whether traffic between two zones is blocked."""
        return any(
            pair in self.blocked_pairs
            for pair in (
                (source, destination),
                (destination, source),
                (source, "*"),
                (destination, "*"),
            )
        )

    def cut(self, first: str, second: str) -> None:
        """Block traffic between two zones and close their connections."""
        self.blocked_pairs.add((first, second))
        for writer, (source, destination) in list(self.connections.items()):
            if self.is_cut(source, destination):
                writer.transport.abort()

    def heal(self, first: str, second: str) -> None:
        """Unblock traffic between two zones."""
        self.blocked_pairs.discard((first, second))

    async def connect(self, route: dict, reader, writer) -> None:
        """Relay one connection."""
        pair = (route["source"], route["destination"])
        if self.is_cut(*pair):
            # A partition drops packets: the caller gets no response.
            await asyncio.sleep(30)
            writer.transport.abort()
            return
        host, _, port = route["target"].rpartition(":")
        latency_s = route["latency_ms"] / 1000.0
        try:
            await asyncio.sleep(latency_s)
            upstream_reader, upstream_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            writer.transport.abort()
            return
        self.connections[writer] = pair
        self.connections[upstream_writer] = pair
        try:
            await asyncio.gather(
                self._copy(reader, upstream_writer, latency_s, pair),
                self._copy(upstream_reader, writer, latency_s, pair[::-1]),
            )
        finally:
            for one_writer in (writer, upstream_writer):
                self.connections.pop(one_writer, None)
                one_writer.close()

    async def _copy(self, reader, writer, latency_s: float, pair) -> None:
        """Copy bytes and add them to the count of a pair of zones."""

        def count(size: int) -> None:
            self.byte_counts[pair] += size

        await _copy(reader, writer, latency_s, count)


async def _copy(reader, writer, latency_s: float, count) -> None:
    """Copy bytes, delaying each chunk without reducing the throughput."""
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
            data = await reader.read(_CHUNK_BYTES)
        except OSError:
            data = b""
        queue.put_nowait((loop.time() + latency_s, data))
    try:
        await sender
    except OSError:
        writer.transport.abort()


async def _handle_commands(relay: Relay, reader, writer) -> None:
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
    """Serve all routes until the task is cancelled."""
    relay = Relay()
    log_task = asyncio.ensure_future(relay.write_log(log))
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
            lambda r, w: _handle_commands(relay, r, w), host, int(port)
        )
    )
    await asyncio.gather(log_task, *(s.serve_forever() for s in servers))


def main() -> None:
    """Run the relay until the process is killed."""
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
