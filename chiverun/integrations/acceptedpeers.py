"""Bounds what connections of other instances bring without a message.

ZeroMQ limits the size of a message's parts but not their number, and keeps
all parts until the last one has come. A faulty instance that sends parts
without end would fill the memory.
"""

import os
import socket
import struct

import logbook
import zmq
from zmq.utils.monitor import recv_monitor_message

_LOG = logbook.Logger("peers")

# Received bytes of a connection that no message has delivered yet: more than
# a message of the largest size. Short parts take many times their bytes.
UNDELIVERED_BYTES_MAX = 3 * 1024 * 1024
# Interval between two checks, and while one of the connections has this much.
CHECK_PERIOD_S = 0.1
_SUSPICIOUS_BYTES = 256 * 1024
_SUSPICIOUS_PERIOD_S = 0.01
# Header of a frame on the wire (ZMTP 3.1), for a short and for a long one.
_SHORT_FRAME_BYTES_MAX = 255
_SHORT_HEADER_BYTES = 2
_LONG_HEADER_BYTES = 9
_EVENTS = zmq.EVENT_ACCEPTED | zmq.EVENT_CLOSED | zmq.EVENT_DISCONNECTED
# Field `tcpi_bytes_received` of the kernel's `struct tcp_info`.
_TCP_INFO_BYTES = 136
_BYTES_RECEIVED = struct.Struct("=Q")
_BYTES_RECEIVED_AT = 128


class _Connection:
    """An accepted connection; `sock` is a duplicate of ZeroMQ's socket."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.delivered = 0

    def undelivered(self) -> int:
        """Return the received bytes that no message has delivered."""
        info = self.sock.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_BYTES
        )
        (received,) = _BYTES_RECEIVED.unpack_from(info, _BYTES_RECEIVED_AT)
        return received - self.delivered


class AcceptedPeers:
    """Connections that a ROUTER socket has accepted, by descriptor."""

    def __init__(self, *, router: zmq.Socket) -> None:
        self._router = router
        self.monitor = router.get_monitor_socket(_EVENTS)
        self._connections: dict[int, _Connection] = {}
        # Connections that were cut off.
        self.cut_off = 0

    def note_events(self) -> None:
        """Follow the connections that were accepted or closed."""
        while self.monitor.poll(0):
            event = recv_monitor_message(self.monitor, zmq.NOBLOCK)
            descriptor = event["value"]
            self._forget(descriptor)
            if event["event"] == zmq.EVENT_ACCEPTED:
                self._add(descriptor)

    def note_message(self, frame: zmq.Frame) -> None:
        """Count a part of a message as delivered."""
        try:
            descriptor = frame.get(zmq.SRCFD)
        except zmq.ZMQError:
            # From a program that does not speak the protocol of today.
            return
        conn = self._connections.get(descriptor)
        if conn is not None:
            conn.delivered += len(frame) + _header_bytes(len(frame))

    def check(self) -> float:
        """Cut off connections that bring bytes without a message.

        Return the time until the next check, in seconds.
        """
        period_s = CHECK_PERIOD_S
        for descriptor, conn in list(self._connections.items()):
            try:
                undelivered = conn.undelivered()
            except (OSError, struct.error):
                # The system does not tell.
                self._forget(descriptor)
                continue
            if undelivered > _SUSPICIOUS_BYTES:
                period_s = _SUSPICIOUS_PERIOD_S
            if undelivered <= UNDELIVERED_BYTES_MAX:
                continue
            self.cut_off += 1
            _LOG.warning(
                "peer connection cut off",
                extra={
                    "undelivered": undelivered,
                    "limit": UNDELIVERED_BYTES_MAX,
                    "cut_off": self.cut_off,
                },
            )
            try:
                conn.sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            self._forget(descriptor)
        return period_s

    def close(self) -> None:
        """Forget all connections."""
        for descriptor in list(self._connections):
            self._forget(descriptor)
        self._router.disable_monitor()
        # The context does not end while a socket is open.
        self.monitor.close(linger=0)

    def _add(self, descriptor: int) -> None:
        try:
            sock = socket.socket(fileno=os.dup(descriptor))
        except OSError:
            # It has been closed meanwhile.
            return
        self._connections[descriptor] = _Connection(sock)

    def _forget(self, descriptor: int) -> None:
        conn = self._connections.pop(descriptor, None)
        if conn is not None:
            conn.sock.close()


def _header_bytes(frame_bytes: int) -> int:
    is_short = frame_bytes <= _SHORT_FRAME_BYTES_MAX
    return _SHORT_HEADER_BYTES if is_short else _LONG_HEADER_BYTES
