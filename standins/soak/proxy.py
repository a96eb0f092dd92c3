"""Loopback proxy that delays, resets or drops traffic, also one way only."""

import asyncio
import enum

from chiverun.core.ids import Address
from chiverun.integrations.network import split_address


class Mode(enum.Enum):
    """How a proxy treats the traffic of its connections."""

    PASS = "pass"
    DELAY = "delay"
    RESET = "reset"
    CUT_TO_SERVER = "cut to server"
    CUT_TO_CLIENT = "cut to client"
    SILENT = "silent"


DELAY_S = 0.15
_CHUNK_BYTES = 65536


class Proxy:
    """Forwarder of connections to one address, with a changeable mode."""

    def __init__(self, *, bind: Address, to: Address) -> None:
        self.mode = Mode.PASS
        self.bind = bind
        self._to = to
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Start to listen."""
        host, port = split_address(self.bind)
        self._server = await asyncio.start_server(self._serve, host, port)

    def stop(self) -> None:
        """Close the listener and all connections."""
        self._server.close()
        self.reset()
        for task in list(self._tasks):
            task.cancel()

    def reset(self) -> None:
        """Reset all open connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        self._tasks.add(asyncio.current_task())
        try:
            if self.mode is Mode.RESET:
                return
            host, port = split_address(self._to)
            server_reader, server_writer = await asyncio.open_connection(
                host, port
            )
            self._writers.add(server_writer)
            try:
                await asyncio.gather(
                    self._copy(reader, server_writer, Mode.CUT_TO_SERVER),
                    self._copy(server_reader, writer, Mode.CUT_TO_CLIENT),
                )
            finally:
                self._writers.discard(server_writer)
                server_writer.transport.abort()
        except (OSError, asyncio.CancelledError):
            # One end has closed; the `finally` block closes the other.
            pass
        finally:
            self._tasks.discard(asyncio.current_task())
            self._writers.discard(writer)
            writer.transport.abort()

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        cut_mode: Mode,
    ) -> None:
        while data := await reader.read(_CHUNK_BYTES):
            if self.mode is Mode.RESET:
                raise ConnectionResetError
            if self.mode in (Mode.SILENT, cut_mode):
                continue
            if self.mode is Mode.DELAY:
                await asyncio.sleep(DELAY_S)
            writer.write(data)
            await writer.drain()
        if self.mode in (Mode.SILENT, cut_mode):
            await asyncio.Event().wait()
        writer.write_eof()
