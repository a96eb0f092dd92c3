"""Connections that other instances have opened, with bounded memory."""

import dataclasses
import time
from collections.abc import Callable

import logbook
import zmq

from chiverun.integrations.peerframes import FrameError
from chiverun.integrations.peerframes import FrameReader
from chiverun.integrations.peerframes import HANDSHAKE

_LOG = logbook.Logger("peers")

MESSAGE_BYTES_MAX = 2 * 1024 * 1024
# Pieces of up to 8 KiB that wait per connection; then the kernel's flow
# control holds the sender back.
_RECEIVE_HIGH_WATER_MARK = 256
_RECEIVED_AT_ONCE_MAX = 256
# A connection that has sent no greeting by then is closed.
_HANDSHAKE_TIMEOUT_S = 30.0
_TIMEOUT_CHECK_S = 1.0


@dataclasses.dataclass(kw_only=True, slots=True)
class _Connection:
    opened_at: float
    reader: FrameReader


class AcceptedPeers:
    """Receives messages on a STREAM socket, which delivers plain bytes.

    A ROUTER socket would keep the frames of an unfinished message without
    limit.
    """

    def __init__(self, *, context: zmq.Context) -> None:
        self.socket = context.socket(zmq.STREAM)
        self.socket.setsockopt(zmq.LINGER, 0)
        self.socket.setsockopt(zmq.RCVHWM, _RECEIVE_HIGH_WATER_MARK)
        self._connections: dict[bytes, _Connection] = {}
        self._timeouts_at = 0.0
        # Connections that were cut off for what they sent.
        self.cut_off = 0

    def receive(self, deliver: Callable[[bytes], None]) -> None:
        """Pass on the messages that have arrived, up to a limit of pieces.

        `deliver` must not raise.
        """
        for _ in range(_RECEIVED_AT_ONCE_MAX):
            try:
                name, data = self.socket.recv_multipart(zmq.NOBLOCK)
            except zmq.ZMQError:
                return
            if not data:
                # Tells of a connection that was opened or closed.
                self._note_change(name)
                continue
            for message in self._read(name, data):
                deliver(message)

    def close_silent(self) -> None:
        """Close connections that have not sent their greeting in time."""
        now = time.monotonic()
        if now < self._timeouts_at:
            return
        self._timeouts_at = now + _TIMEOUT_CHECK_S
        for name, conn in list(self._connections.items()):
            is_late = now - conn.opened_at >= _HANDSHAKE_TIMEOUT_S
            if is_late and not conn.reader.is_greeted:
                self._cut_off(name, "no greeting")

    def close(self) -> None:
        """Close the socket with all connections."""
        self.socket.close()

    def _note_change(self, name: bytes) -> None:
        if self._connections.pop(name, None) is not None:
            return
        try:
            self.socket.send_multipart([name, HANDSHAKE], zmq.NOBLOCK)
        except zmq.ZMQError:
            # It has been closed meanwhile.
            return
        self._connections[name] = _Connection(
            opened_at=time.monotonic(),
            reader=FrameReader(bytes_max=MESSAGE_BYTES_MAX),
        )

    def _read(self, name: bytes, data: bytes) -> list[bytes]:
        conn = self._connections.get(name)
        if conn is None:
            return []
        try:
            return conn.reader.feed(data)
        except FrameError as exc:
            self._cut_off(name, str(exc))
            return []

    def _cut_off(self, name: bytes, reason: str) -> None:
        self.cut_off += 1
        _LOG.warning(
            "peer connection cut off",
            extra={"reason": reason, "cut_off": self.cut_off},
        )
        del self._connections[name]
        try:
            # An empty message closes the connection.
            self.socket.send_multipart([name, b""], zmq.NOBLOCK)
        except zmq.ZMQError:
            pass
