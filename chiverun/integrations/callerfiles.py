"""A caller's connection and the files that a worker reads and writes.

A worker never waits for a caller: it reads what the listener's thread has
received, and what the caller does not take at once of a response is kept for
that thread.
"""

import io
import socket
from typing import TYPE_CHECKING

from cheroot import server as cheroot_server
from cheroot.makefile import StreamReader

from chiverun.core.listenerlimits import Progress
from chiverun.core.requestframe import RequestFrame
from chiverun.core.timeshare import TimeDebt
from chiverun.integrations.threadpace import ConnectionPace

if TYPE_CHECKING:
    from chiverun.integrations.callerconnections import CallerConnections

# Longest wait of a costly caller's thread before it reads on.
_PACE_WAIT_MAX_S = 1.0


class RequestReader(StreamReader):
    """Reads a received request at the pace of a costly caller.

    `received` has the bytes.
    """

    def __init__(self, sock: socket.socket, mode: str, bufsize: int) -> None:
        super().__init__(sock, mode, bufsize)
        self.pace = ConnectionPace()
        self.received = bytearray()
        self._taken = 0
        self.raw.readinto = self._read_received

    def has_data(self) -> bool:
        """Return whether bytes were received that no request has taken."""
        return super().has_data() or bool(self.received)

    def release(self) -> None:
        """Drop all received bytes."""
        self.received = bytearray()
        self._taken = 0
        self._reset_read_buf()

    def _read_received(self, buffer) -> int:
        self.pace.before_read(_PACE_WAIT_MAX_S)
        if not self.received:
            # The parser wants more than a complete request has.
            raise TimeoutError("timed out")
        part = self.received[self._taken : self._taken + len(buffer)]
        buffer[: len(part)] = part
        self._taken += len(part)
        if self._taken == len(self.received):
            self.received = bytearray()
            self._taken = 0
        return len(part)


class ResponseWriter:
    """Sends what a socket takes at once and keeps the rest."""

    def __init__(self, sock: socket.socket) -> None:
        self.pending = bytearray()
        self.bytes_written = 0
        self._sock = sock

    def write(self, data: bytes) -> int:
        """Send or keep bytes.

        Raises
        ------
        OSError
            The connection is broken.
        """
        sent = 0
        if not self.pending:
            sent = self._send(data)
        self.pending += data[sent:]
        self.bytes_written += len(data)
        return len(data)

    def send_pending(self) -> int:
        """Send kept bytes; return the number sent.

        Raises
        ------
        OSError
            The connection is broken.
        """
        sent = self._send(self.pending)
        del self.pending[:sent]
        return sent

    def _send(self, data: bytes | bytearray) -> int:
        try:
            return self._sock.send(data)
        except BlockingIOError:
            return 0


def make_file(
    sock: socket.socket, mode: str = "r", bufsize: int = io.DEFAULT_BUFFER_SIZE
) -> RequestReader | ResponseWriter:
    """Return a connection's file for reading or for writing."""
    if "r" in mode:
        return RequestReader(sock, mode, bufsize)
    return ResponseWriter(sock)


class CallerConnection(cheroot_server.HTTPConnection):
    """A connection and what its listener's thread knows of it."""

    connections: "CallerConnections | None" = None
    frame: RequestFrame | None = None
    closes_after_response = False
    has_sent_continue = False
    paused_at = 0.0

    def __init__(self, server, sock: socket.socket, _makefile=None) -> None:
        super().__init__(server, sock, make_file)
        self.progress = Progress()
        self.debt = TimeDebt()

    def communicate(self) -> bool:
        """Handle the received request; return whether to keep the socket."""
        self.rfile.pace.begin_message()
        self.closes_after_response = not super().communicate()
        return not self.closes_after_response or bool(self.wfile.pending)

    def close(self) -> None:
        """Close the socket and forget the connection."""
        if self.connections is not None:
            self.connections.forget(self)
        # cheroot's connections are in reference cycles, which are collected
        # much later.
        self.rfile.release()
        self.wfile.pending = bytearray()
        self.frame = None
        super().close()
