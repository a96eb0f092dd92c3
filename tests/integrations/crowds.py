"""Crowds of HTTP clients that misbehave, on one thread."""

import dataclasses
import selectors
import socket
import threading
import time

_DRIP_S = 0.5
_PART_BYTES = 16 * 1024
_CONNECT_TIMEOUT_S = 5.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Caller:
    """What one client of a crowd does.

    Parameters
    ----------
    first : bytes
        Sent as fast as the server takes it.
    drip : bytes
        Sent afterwards, one byte each half second.
    repeats : bool
        Send `first` over and over until the server closes.
    receive_buffer : int
        Size of the socket's receive buffer in bytes; 0 leaves the default.
    """

    first: bytes
    drip: bytes = b""
    repeats: bool = False
    receive_buffer: int = 0


@dataclasses.dataclass(kw_only=True)
class _Sender:
    conn: socket.socket
    position: int = 0
    drip_position: int = 0
    drips_at: float = 0.0


class Crowd:
    """Connections that send as a caller does and never read.

    They stay open until `close`, or until the server closes them.
    """

    def __init__(
        self, *, address: tuple[str, int], count: int, caller: Caller
    ) -> None:
        self._address = address
        self._count = count
        self._caller = caller
        self._senders: list[_Sender] = []
        self._selector = selectors.DefaultSelector()
        self._is_closing = False
        self._sent_all = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Connect all clients and begin to send."""
        for _ in range(self._count):
            conn = socket.socket()
            if self._caller.receive_buffer:
                conn.setsockopt(
                    socket.SOL_SOCKET,
                    socket.SO_RCVBUF,
                    self._caller.receive_buffer,
                )
            conn.settimeout(_CONNECT_TIMEOUT_S)
            conn.connect(self._address)
            conn.setblocking(False)
            sender = _Sender(conn=conn)
            self._senders.append(sender)
            if self._caller.first:
                self._selector.register(
                    conn, selectors.EVENT_WRITE, data=sender
                )
        self._thread.start()

    def wait(self, limit_s: float) -> None:
        """Wait until the server takes no more bytes, or for `limit_s`."""
        self._sent_all.wait(limit_s)

    def close(self) -> None:
        """Close all connections."""
        self._is_closing = True
        self._thread.join()
        for sender in self._senders:
            sender.conn.close()

    def _run(self) -> None:
        while not self._is_closing:
            if not self._selector.get_map():
                self._sent_all.set()
                time.sleep(0.01)
            for key, _ in self._selector.select(0.02):
                self._send(key.data)
            if self._caller.drip:
                self._drip()

    def _send(self, sender: _Sender) -> None:
        first = self._caller.first
        part = first[sender.position : sender.position + _PART_BYTES]
        try:
            sender.position += sender.conn.send(part)
        except BlockingIOError:
            return
        except OSError:
            self._selector.unregister(sender.conn)
            return
        if sender.position == len(first):
            sender.position = 0
            if not self._caller.repeats:
                self._selector.unregister(sender.conn)
                sender.drips_at = time.monotonic()

    def _drip(self) -> None:
        now = time.monotonic()
        for sender in self._senders:
            if not 0.0 < sender.drips_at <= now:
                continue
            start = sender.drip_position
            sender.drips_at = now + _DRIP_S
            sender.drip_position += 1
            try:
                sender.conn.send(self._caller.drip[start : start + 1])
            except OSError:
                sender.drips_at = 0.0
