"""Cancellation of an exchange with a backend server by another thread."""

import socket
import threading


class Cancellation:
    """Cancels one exchange by closing the sending side of its connection.

    The receiving side stays open. When the server then closes the
    connection, the request has ended there.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._sock: socket.socket | None = None
        self.is_cancelled = False
        self.is_closed_by_server = False

    def attach(self, sock: socket.socket) -> None:
        """Set the connection to close on cancellation.

        Raises
        ------
        OSError
            If the exchange has been cancelled already.
        """
        with self._lock:
            if self.is_cancelled:
                raise OSError("cancelled before sending")
            self._sock = sock

    def detach(self) -> bool:
        """Remove the connection; return whether it was cancelled."""
        with self._lock:
            self._sock = None
            return self.is_cancelled

    def cancel(self) -> None:
        """Cancel the exchange, or prevent it if it has not been sent."""
        with self._lock:
            self.is_cancelled = True
            if self._sock is None:
                return
            try:
                self._sock.shutdown(socket.SHUT_WR)
            except OSError:
                # The server has closed the connection already.
                pass

    def set_closed_by_server(self) -> None:
        """Record that the server closed the connection without a response."""
        with self._lock:
            self.is_closed_by_server = self.is_cancelled
