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
from cheroot.makefile import MakeFile
from cheroot.makefile import StreamReader
from urllib3.util.wait import wait_for_read

from chiverun.core.errors import ChiverunError
from chiverun.core.errors import Outcome
from chiverun.core.errors import ResultCode
from chiverun.core.exchange import CODE_HEADER
from chiverun.core.exchange import EXCHANGE_HEADER
from chiverun.core.ids import Address
from chiverun.integrations.network import split_address
from chiverun.integrations.threadpace import ConnectionPace

BODY_BYTES_MAX = 1024 * 1024
_HEADER_BYTES_MAX = 16 * 1024
_IDLE_TIMEOUT_S = 30
# cheroot's default of 10 makes most callers connect for each request.
_KEEP_ALIVE_CONNECTIONS_MAX = 1024
# Longest wait of a costly caller's thread before it reads on.
_PACE_WAIT_MAX_S = 1.0
_SOCKET_ENVIRON_KEY = "chiverun.socket"
_HEADER_LINE_PATTERN = re.compile(
    rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+:[\t\x20-\x7e\x80-\xff]*\r\n"
)
_TARGET_PATTERN = re.compile(rb"/[\x21-\x7e]*")
# Rejects overlong numbers before they are converted.
_LENGTH_PATTERN = re.compile(rb"[0-9]{1,18}")
_SINGLETON_HEADERS = frozenset(
    {
        b"content-length",
        b"host",
        b"idempotency-key",
        b"transfer-encoding",
        b"x-chiverun-class",
        b"x-chiverun-exchange",
        b"x-chiverun-source",
        b"x-deadline-epoch-ms",
        b"x-deadline-ms",
        b"x-request-id",
    }
)


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


class _HeaderReader(cheroot_server.HeaderReader):
    """Rejects ambiguous headers, which allow request smuggling.

    If two HTTP implementations disagree on a body's length, one of them
    parses the rest of a request as another request. Header names with an
    underscore are dropped, since WSGI maps them to names with a hyphen.
    """

    def __call__(self, rfile, hdict=None):
        headers = super().__call__(_HeaderLineReader(rfile), hdict)
        length = headers.get(b"Content-Length")
        coding = headers.get(b"Transfer-Encoding")
        if length is not None and not _LENGTH_PATTERN.fullmatch(length):
            raise ValueError("Malformed Content-Length.")
        if coding is not None and coding != b"chunked":
            raise ValueError("Transfer-Encoding other than chunked.")
        if length is not None and coding is not None:
            raise ValueError("Content-Length with Transfer-Encoding.")
        return headers

    def _allow_header(self, key_name: bytes) -> bool:
        return b"_" not in key_name


class _HeaderLineReader:
    """Reads header lines; rejects folded, malformed and repeated ones."""

    def __init__(self, rfile) -> None:
        self._rfile = rfile
        self._names: set[bytes] = set()

    def readline(self, *args):
        line = self._rfile.readline(*args)
        if line in (b"", b"\r\n"):
            return line
        if not _HEADER_LINE_PATTERN.fullmatch(line):
            raise ValueError("Malformed header line.")
        name = line.partition(b":")[0].lower()
        if name in _SINGLETON_HEADERS and name in self._names:
            raise ValueError(f"Repeated {name.decode()}.")
        self._names.add(name)
        return line


class _Request(cheroot_server.HTTPRequest):
    header_reader = _HeaderReader()

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
        self.outheaders = [
            (name.encode("latin-1"), value.encode("latin-1"))
            for name, value in (
                *response.headers,
                ("Content-Length", str(len(response.body))),
                ("Connection", "close"),
            )
        ]
        lines = [b"HTTP/1.1 " + self.status]
        lines += [name + b": " + value for name, value in self.outheaders]
        with contextlib.suppress(OSError):
            self.conn.wfile.write(
                b"\r\n".join(lines) + b"\r\n\r\n" + response.body
            )

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


class _PacedReader(StreamReader):
    """Reads requests at the pace of a costly caller."""

    def __init__(self, sock, mode, bufsize) -> None:
        super().__init__(sock, mode, bufsize)
        self.pace = ConnectionPace()
        self.read_raw = self.raw.readinto
        self.raw.readinto = self._read_paced

    def _read_paced(self, buffer) -> int | None:
        self.pace.before_read(_PACE_WAIT_MAX_S)
        return self.read_raw(buffer)


def _make_file(sock, mode="r", bufsize=io.DEFAULT_BUFFER_SIZE):
    if "r" in mode:
        return _PacedReader(sock, mode, bufsize)
    return MakeFile(sock, mode, bufsize)


class _Connection(cheroot_server.HTTPConnection):
    RequestHandlerClass = _Request

    def __init__(self, server, sock, makefile=MakeFile) -> None:
        super().__init__(server, sock, _make_file)

    def communicate(self) -> bool:
        self.rfile.pace.begin_message()
        # A caller that stops in the middle of a request occupies a thread.
        self.socket.settimeout(self.server.read_timeout_s)
        return super().communicate()


class _Gateway(wsgi.Gateway_10):
    """Adds the caller's socket to the WSGI environment."""

    def get_environ(self) -> dict[str, Any]:
        env = super().get_environ()
        env[_SOCKET_ENVIRON_KEY] = self.req.conn.socket
        return env


class WebServer:
    """One listening address with its own threads.

    `read_timeout_s` bounds each wait for more bytes of a request.
    """

    def __init__(
        self,
        *,
        address: Address,
        handler: Handler,
        threads: int,
        read_timeout_s: float = 10.0,
    ) -> None:
        self._handler = handler
        self._server = wsgi.Server(
            split_address(address),
            self._application,
            numthreads=threads,
            max=threads,
            request_queue_size=128,
            timeout=_IDLE_TIMEOUT_S,
            shutdown_timeout=2,
        )
        self._server.ConnectionClass = _Connection
        self._server.gateway = _Gateway
        self._server.max_request_header_size = _HEADER_BYTES_MAX
        self._server.max_request_body_size = BODY_BYTES_MAX
        self._server.keep_alive_conn_limit = _KEEP_ALIVE_CONNECTIONS_MAX
        self._server.read_timeout_s = read_timeout_s
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
        return pool.qsize == 0 and pool.idle >= self._server.requests.min

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
