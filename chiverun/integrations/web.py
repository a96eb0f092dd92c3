"""HTTP server on cheroot with strict parsing of headers and lengths."""

import contextlib
import dataclasses
import http
import io
import re
import socket
import threading
import time
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from typing import Any

import logbook
import msgspec
from cheroot import errors as cheroot_errors
from cheroot import server as cheroot_server
from cheroot import wsgi
from urllib3.util.wait import wait_for_read

from chiverun.core.errors import ChiverunError
from chiverun.core.errors import Outcome
from chiverun.core.errors import ResultCode
from chiverun.core.exchange import CODE_HEADER
from chiverun.core.exchange import EXCHANGE_HEADER
from chiverun.core.ids import Address
from chiverun.core.listenerlimits import ListenerLimits
from chiverun.integrations.callerconnections import CallerConnections
from chiverun.integrations.callerfiles import CallerConnection
from chiverun.integrations.headerreader import HeaderReader
from chiverun.integrations.network import split_address

BODY_BYTES_MAX = 1024 * 1024
_HEADER_BYTES_MAX = 16 * 1024
# cheroot's default of 10 makes most callers connect for each request.
_KEEP_ALIVE_CONNECTIONS_MAX = 1024
_DEFAULT_LIMITS = ListenerLimits()
_SOCKET_ENVIRON_KEY = "chiverun.socket"
_TARGET_PATTERN = re.compile(rb"/[\x21-\x7e]*")


@dataclasses.dataclass(frozen=True, kw_only=True)
class IncomingRequest:
    """A received request; path and query are still percent-encoded."""

    method: str
    path: str
    query: str
    headers: Mapping[str, str]
    body: bytes
    remote: str

    @property
    def target(self) -> str:
        """Path and query."""
        return f"{self.path}?{self.query}" if self.query else self.path

    def header(self, name: str, default: str = "") -> str:
        """Return a header by its lower-case name."""
        return self.headers.get(name, default)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Response:
    """A response to send."""

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


_LOG = logbook.Logger("web")
_EXCHANGE_ENVIRON_KEY = "HTTP_X_CHIVERUN_EXCHANGE"
Handler = Callable[[IncomingRequest], Response]


def json_response(value: Any, status: int = 200) -> Response:
    """Return a JSON response."""
    return Response(
        status=status,
        headers=(("Content-Type", "application/json"),),
        body=msgspec.json.encode(value),
    )


def error_response(
    status: int, outcome: Outcome, code: ResultCode, message: str
) -> Response:
    """Return an error response that states the outcome and the code."""
    return Response(
        status=status,
        headers=(
            ("Content-Type", "application/json"),
            ("X-Chiverun-Outcome", outcome.value),
            (CODE_HEADER, str(int(code))),
        ),
        body=msgspec.json.encode(
            {
                "outcome": outcome.value,
                "code": int(code),
                "name": code.name,
                "message": message,
            }
        ),
    )


# A received request has reached a thread or the threads' queue by then.
_QUIET_S = 0.3
_DRAIN_POLL_S = 0.02


def _ignore(_reason: str) -> None:
    """Count nothing."""


class _Request(cheroot_server.HTTPRequest):
    def __init__(self, server, conn, *args, **kwargs) -> None:
        super().__init__(server, conn, *args, **kwargs)
        self.header_reader = HeaderReader(
            has_sent_continue=conn.has_sent_continue
        )

    def read_request_headers(self) -> bool:
        if not _TARGET_PATTERN.fullmatch(self.uri):
            self.simple_response("400 Bad Request", "Malformed target.")
            return False
        if not super().read_request_headers():
            return False
        if (
            b"Transfer-Encoding" in self.inheaders
            and self.response_protocol != "HTTP/1.1"
        ):
            # The body would stay unread on the connection.
            self.simple_response("400 Bad Request", "Transfer-Encoding.")
            return False
        return True

    def simple_response(self, status, msg="") -> None:
        """Send an error response in place of the application.

        Before `ready` is set, the request has not reached the application
        and has not run. Afterwards, its outcome is unknown.
        """
        if self.sent_headers:
            return
        self.sent_headers = True
        self.close_connection = True
        text = str(status)
        if self.ready:
            outcome, code = Outcome.UNKNOWN, ResultCode.INTERNAL
        else:
            outcome, code = Outcome.NOT_RUN, ResultCode.REQUEST_MALFORMED
        response = error_response(int(text[:3]), outcome, code, msg or text)
        self.status = text.encode("latin-1")
        with contextlib.suppress(OSError):
            self.conn.wfile.write(_closing_bytes(self.status, response))

    def send_headers(self) -> None:
        # Bytes received before the response is sent are a pipelined request
        # or the rest of a body. Neither is processed.
        if (
            getattr(self.server, "closes_connections", False)
            or (b"Connection", b"close") in self.outheaders
            or self.chunked_read
            or self.conn.rfile.has_data()
        ):
            self.close_connection = True
        super().send_headers()


def _closing_bytes(status: bytes, response: Response) -> bytes:
    """Return a response after which the connection is closed."""
    lines = [b"HTTP/1.1 " + status]
    lines += [
        f"{name}: {value}".encode("latin-1")
        for name, value in (
            *response.headers,
            ("Content-Length", str(len(response.body))),
            ("Connection", "close"),
        )
    ]
    return b"\r\n".join(lines) + b"\r\n\r\n" + response.body


def _make_refusal(status: int, code: ResultCode, message: str) -> bytes:
    """Return the response to a request that no worker has received."""
    response = error_response(status, Outcome.NOT_RUN, code, message)
    text = f"{status} {_reason_phrase(status)}"
    return _closing_bytes(text.encode("latin-1"), response)


class _Connection(CallerConnection):
    RequestHandlerClass = _Request


class _Gateway(wsgi.Gateway_10):
    """Adds the caller's socket and joined chunks to the environment."""

    def get_environ(self) -> dict[str, Any]:
        env = super().get_environ()
        env[_SOCKET_ENVIRON_KEY] = self.req.conn.socket
        chunked_body = self.req.conn.frame.chunked_body
        if self.req.chunked_read and chunked_body is not None:
            env["wsgi.input"] = io.BytesIO(chunked_body)
        return env


class _Server(wsgi.Server):
    """Receives requests before a worker handles them."""

    def prepare(self) -> None:
        super().prepare()
        # Accepts until no connection is left, without waiting for one.
        self.socket.settimeout(0.0)
        self._connections.close()
        self._connections = CallerConnections(
            self,
            name=self.listener_name,
            limits=self.limits,
            make_refusal=_make_refusal,
            count=self.count_refusal,
            hand_over=self.process_conn,
        )

    @property
    def is_receiving(self) -> bool:
        """Return whether a request or a response is incomplete."""
        return self._connections.is_busy


class WebServer:
    """One listening address with its own threads.

    Parameters
    ----------
    address : Address
    handler : callable
    threads : int
        Requests handled at a time.
    name : str
        Name of the listener in log lines.
    limits : ListenerLimits
    body_bytes_max : int
        Largest body of a request.
    count_refusal : callable
        Called with the reason of each refused or closed connection.
    """

    def __init__(
        self,
        *,
        address: Address,
        handler: Handler,
        threads: int,
        name: str = "web",
        limits: ListenerLimits = _DEFAULT_LIMITS,
        body_bytes_max: int = BODY_BYTES_MAX,
        count_refusal: Callable[[str], None] = _ignore,
    ) -> None:
        self._handler = handler
        self._server = _Server(
            split_address(address),
            self._application,
            numthreads=threads,
            max=threads,
            request_queue_size=128,
            timeout=limits.idle_s,
            shutdown_timeout=2,
        )
        self._server.ConnectionClass = _Connection
        self._server.gateway = _Gateway
        self._server.max_request_header_size = _HEADER_BYTES_MAX
        self._server.max_request_body_size = body_bytes_max
        self._server.keep_alive_conn_limit = _KEEP_ALIVE_CONNECTIONS_MAX
        self._server.listener_name = name
        self._server.limits = limits
        self._server.count_refusal = count_refusal
        self._server.error_log = _discard_log
        self._thread: threading.Thread | None = None

    def start(self) -> None:
        """Bind and serve in a thread.

        Raises
        ------
        ChiverunError
            PORT_IN_USE.
        """
        try:
            self._server.prepare()
        except OSError as exc:
            raise ChiverunError(
                ResultCode.PORT_IN_USE,
                f"cannot listen on {self._server.bind_addr}: {exc}",
            ) from exc
        self._thread = threading.Thread(
            target=self._server.serve, daemon=True, name="web"
        )
        self._thread.start()

    def close_connections(self) -> None:
        """Close each connection after its next response."""
        self._server.closes_connections = True

    def drain(self, limit_s: float) -> bool:
        """Wait until no received request is unanswered.

        A request counts from its first byte, also while it waits for a
        thread. Return False if requests still arrive after `limit_s`.
        """
        deadline = time.monotonic() + limit_s
        quiet_since = time.monotonic()
        while (now := time.monotonic()) < deadline:
            if not self._is_idle():
                quiet_since = now
            elif now - quiet_since >= _QUIET_S:
                return True
            time.sleep(_DRAIN_POLL_S)
        return False

    def _is_idle(self) -> bool:
        pool = self._server.requests
        return (
            pool.qsize == 0
            and pool.idle >= pool.min
            and not self._server.is_receiving
        )

    def stop(self) -> None:
        """Close the listener and end the threads."""
        self._server.stop()

    def _application(
        self, environ: dict[str, Any], start_response: Callable
    ) -> Iterable[bytes]:
        try:
            req = _read_request(environ)
        except ChiverunError as exc:
            # The rest of the body may still arrive on this connection.
            response = error_response(
                400, Outcome.NOT_RUN, exc.code, exc.message
            )
            extra_headers = (("Connection", "close"),)
        else:
            response = self._handle(req)
            extra_headers = ()
        exchange = environ.get(_EXCHANGE_ENVIRON_KEY)
        headers = [
            *response.headers,
            *extra_headers,
            ("Content-Length", str(len(response.body))),
        ]
        if exchange is not None:
            headers.append((EXCHANGE_HEADER, exchange))
        start_response(
            f"{response.status} {_reason_phrase(response.status)}", headers
        )
        return [response.body]

    def _handle(self, req: IncomingRequest) -> Response:
        """Run the handler; after an exception, the outcome is unknown."""
        try:
            return self._handler(req)
        except Exception as exc:
            _LOG.exception("request handler failed")
            code = (
                exc.code
                if isinstance(exc, ChiverunError)
                else ResultCode.INTERNAL
            )
            return error_response(
                500, Outcome.UNKNOWN, code, type(exc).__name__
            )


def _read_request(environ: dict[str, Any]) -> IncomingRequest:
    try:
        body = environ["wsgi.input"].read()
    except (
        cheroot_errors.MaxSizeExceeded,
        ValueError,
        OSError,
    ) as exc:
        raise ChiverunError(
            ResultCode.REQUEST_MALFORMED, f"request body: {exc}"
        ) from exc
    declared = environ.get("CONTENT_LENGTH")
    if declared and len(body) != int(declared):
        raise ChiverunError(
            ResultCode.REQUEST_MALFORMED,
            f"request body has {len(body)} bytes; valid: {declared}",
        )
    headers = {
        name[5:].replace("_", "-").lower(): value
        for name, value in environ.items()
        if name.startswith("HTTP_")
    }
    if _is_closed_by_caller(environ.get(_SOCKET_ENVIRON_KEY)):
        raise ChiverunError(
            ResultCode.REQUEST_MALFORMED, "the caller closed its connection"
        )
    if environ.get("CONTENT_TYPE"):
        headers["content-type"] = environ["CONTENT_TYPE"]
    path, _, query = environ["REQUEST_URI"].partition("?")
    return IncomingRequest(
        method=environ["REQUEST_METHOD"],
        path=path,
        query=query,
        headers=headers,
        body=body,
        remote=environ.get("REMOTE_ADDR", ""),
    )


def _is_closed_by_caller(sock: socket.socket | None) -> bool:
    """Return whether the caller has closed its side of the connection.

    The deadline of a request starts when it is read. A request that waited
    while this process was stopped would run although its caller has left.
    """
    if sock is None:
        return False
    try:
        if not wait_for_read(sock, timeout=0.0):
            return False
        return sock.recv(1, socket.MSG_PEEK) == b""
    except OSError:
        return True


def _reason_phrase(status: int) -> str:
    try:
        return http.HTTPStatus(status).phrase
    except ValueError:
        return "Unknown"


def _discard_log(
    msg: str = "", level: int = 20, traceback: bool = False
) -> None:
    """Drop cheroot's own log lines, which are not JSON."""
