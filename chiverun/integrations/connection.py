"""HTTP connections whose exchanges are bounded in time and in bytes."""

import http.client
import io
import socket

from urllib3.connection import HTTPConnection

from chiverun.core.clock import Clock
from chiverun.integrations.cancellation import Cancellation
from chiverun.integrations.threadpace import ConnectionPace

CONNECT_TIMEOUT_S = 1.0
# Limit of received bytes besides the body. A chunk of one byte takes six.
HEAD_BYTES_MAX = 256 * 1024
FRAMING_FACTOR = 6


class ResponseTooLong(OSError):
    """Raised when a server sends more than any valid response takes."""


class _ResponseReader(io.BufferedReader):
    """Reads one response; records on close whether bytes followed it."""

    has_trailing_bytes = False

    def __init__(self, sock: "DeadlineSocket") -> None:
        super().__init__(socket.SocketIO(sock, "r"))
        self._owner = sock
        self._has_read = False

    def readline(self, size: int | None = -1) -> bytes:
        """Return a line of the head or of the framing of a body.

        `http.client` takes the end of the connection for the end of the head.

        Raises
        ------
        IncompleteRead
            If the connection ends within the head or a line.
        """
        line = super().readline(size)
        is_cut = not line.endswith(b"\n") and len(line) != size
        if is_cut and (line or self._has_read):
            raise http.client.IncompleteRead(line)
        self._has_read = True
        return line

    def close(self) -> None:
        if not self.closed:
            self._owner.is_finished = True
            try:
                self.has_trailing_bytes = bool(self.peek(1))
            except (OSError, ValueError):
                self.has_trailing_bytes = False
        super().close()


class DeadlineSocket(socket.socket):
    """A socket whose operations share the limits of one exchange.

    With a time-out for each operation only, a server that sends one byte at
    a time could block a request forever. With a limit of the body only, one
    that sends heads or chunk extensions without end could use up the memory.
    """

    clock: Clock
    deadline = 0.0
    bytes_left = 0
    reader: _ResponseReader
    pace: ConnectionPace
    is_finished = False

    def start_exchange(self, deadline: float, bytes_max: int) -> None:
        """Start an exchange of at most `bytes_max` received bytes.

        It ends by `deadline` (monotonic seconds).
        """
        self.deadline = deadline
        self.bytes_left = bytes_max
        self.pace.begin_message()
        self.is_finished = False

    def apply_deadline(self) -> None:
        """Set the socket's time-out to the time left until the deadline.

        Raises
        ------
        TimeoutError
            If the deadline has passed.
        """
        if self.is_finished:
            self.settimeout(0.0)
            return
        remaining_s = self.deadline - self.clock.monotonic()
        if remaining_s <= 0:
            raise TimeoutError("deadline passed")
        self.settimeout(remaining_s)

    def recv_into(self, *args, **kwargs) -> int:
        if not self.is_finished:
            self.pace.before_read(self.deadline - self.clock.monotonic())
        self.apply_deadline()
        count = super().recv_into(*args, **kwargs)
        self.bytes_left -= count
        if self.bytes_left < 0:
            raise ResponseTooLong("the server sends without end")
        return count

    def sendall(self, *args, **kwargs) -> None:
        self.apply_deadline()
        super().sendall(*args, **kwargs)

    def makefile(self, *_args, **_kwargs) -> _ResponseReader:
        """Return a reader for one response."""
        self._io_refs += 1
        self.reader = _ResponseReader(self)
        return self.reader

    def finish_exchange(self) -> bool:
        """End an exchange; return whether bytes followed its response."""
        self.reader.close()
        return self.reader.has_trailing_bytes


class DeadlineConnection(HTTPConnection):
    """A connection to one address, used by one exchange at a time."""

    def __init__(self, host: str, port: int, *, clock: Clock) -> None:
        super().__init__(host, port)
        self._clock = clock
        self._deadline = 0.0
        self._bytes_max = 0
        self.exchanges = 0
        self.has_response_id = False
        self.has_started_sending = False
        self.socket: DeadlineSocket | None = None
        self.cancellation: Cancellation | None = None

    def start_exchange(self, deadline: float, body_bytes_max: int) -> None:
        """Prepare for an exchange that ends by `deadline`.

        The limit of received bytes follows from that of the body.
        """
        self._deadline = deadline
        self._bytes_max = FRAMING_FACTOR * body_bytes_max + HEAD_BYTES_MAX
        self.has_started_sending = False
        remaining_s = deadline - self._clock.monotonic()
        self.timeout = max(0.001, min(remaining_s, CONNECT_TIMEOUT_S))
        if self.socket is not None:
            self.socket.start_exchange(deadline, self._bytes_max)

    def send(self, data) -> None:
        if self.sock is None:
            if self.has_started_sending:
                # Reconnecting would send only the rest of the request.
                raise OSError("connection closed while sending")
            self.connect()
        self.socket.apply_deadline()
        if self.cancellation is not None and not self.has_started_sending:
            self.cancellation.attach(self.socket)
        self.has_started_sending = True
        super().send(data)

    def _new_conn(self) -> DeadlineSocket:
        plain_sock = super()._new_conn()
        self.socket = DeadlineSocket(
            plain_sock.family,
            plain_sock.type,
            plain_sock.proto,
            fileno=plain_sock.detach(),
        )
        self.socket.clock = self._clock
        self.socket.pace = ConnectionPace()
        self.socket.start_exchange(self._deadline, self._bytes_max)
        return self.socket
