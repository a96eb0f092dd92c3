"""HTTP client for calls whose time and size are bounded as a whole.

The platform's services can be in trouble too: a response may come a byte at a
time or without end.
"""

import dataclasses
import http.client
import threading

import urllib3
from urllib3.exceptions import HTTPError

from chiverun.core.clock import Clock
from chiverun.core.clock import SystemClock
from chiverun.core.ids import Address
from chiverun.integrations.connection import DeadlineConnection
from chiverun.integrations.network import split_address

_CHUNK_BYTES = 65536
_ERRORS = (HTTPError, http.client.HTTPException, OSError, ValueError)


@dataclasses.dataclass(frozen=True, kw_only=True)
class BoundedResponse:
    """A complete response."""

    status: int
    body: bytes


class CallNotSent(Exception):
    """Raised when no byte of a call was sent."""


class CallFailed(Exception):
    """Raised when a sent call got no complete response in time."""


class BoundedClient:
    """Calls one address over kept connections; thread-safe.

    Parameters
    ----------
    address : Address
    body_bytes_max : int
        Limit of a response's body.
    connections : int
        Number of idle connections that are kept.
    """

    def __init__(
        self,
        *,
        address: Address,
        body_bytes_max: int,
        connections: int = 1,
        clock: Clock | None = None,
    ) -> None:
        self._host, self._port = split_address(address)
        self._body_bytes_max = body_bytes_max
        self._connections = connections
        self._clock = clock or SystemClock()
        self._lock = threading.Lock()
        self._idle: list[DeadlineConnection] = []

    def call(
        self,
        method: str,
        target: str,
        *,
        timeout_s: float,
        body: bytes | None = None,
    ) -> BoundedResponse:
        """Send a call once and read its complete response.

        Raises
        ------
        CallNotSent
        CallFailed
        """
        conn = self._acquire()
        conn.start_exchange(
            self._clock.monotonic() + timeout_s, self._body_bytes_max
        )
        is_reusable = False
        try:
            conn.request(
                method,
                target,
                body=body,
                preload_content=False,
                decode_content=False,
            )
            resp = conn.getresponse()
            data = self._read_body(resp)
            is_reusable = not conn.socket.finish_exchange()
        except _ERRORS as exc:
            kind = CallFailed if conn.has_started_sending else CallNotSent
            raise kind(f"{type(exc).__name__}: {exc}") from exc
        finally:
            self._release(conn, is_reusable)
        return BoundedResponse(status=resp.status, body=data)

    def close(self) -> None:
        """Close idle connections."""
        with self._lock:
            idle, self._idle = self._idle, []
        for conn in idle:
            conn.close()

    def _read_body(self, resp: urllib3.BaseHTTPResponse) -> bytes:
        chunks = []
        size = 0
        while chunk := resp.read(_CHUNK_BYTES):
            size += len(chunk)
            if size > self._body_bytes_max:
                raise ValueError(f"body over {self._body_bytes_max} bytes")
            chunks.append(chunk)
        return b"".join(chunks)

    def _acquire(self) -> DeadlineConnection:
        while True:
            with self._lock:
                conn = self._idle.pop() if self._idle else None
            if conn is None:
                return DeadlineConnection(
                    self._host, self._port, clock=self._clock
                )
            # A readable idle connection was closed or has stray bytes.
            if conn.is_connected:
                return conn
            conn.close()

    def _release(self, conn: DeadlineConnection, is_reusable: bool) -> None:
        with self._lock:
            is_kept = is_reusable and len(self._idle) < self._connections
            if is_kept and conn.sock is not None:
                self._idle.append(conn)
                return
        conn.close()
