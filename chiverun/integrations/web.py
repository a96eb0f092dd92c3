"""Inbound HTTP by cheroot, with strict reading of headers and lengths."""

import dataclasses
import http
import threading
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from typing import Any

import msgspec
from cheroot import errors as cheroot_errors
from cheroot import server as cheroot_server
from cheroot import wsgi

from chiverun.core.errors import ChiverunError
from chiverun.core.errors import Outcome
from chiverun.core.errors import ResultCode
from chiverun.core.ids import Address
from chiverun.integrations.network import split_address

BODY_BYTES_MAX = 1024 * 1024
_HEADER_BYTES_MAX = 16 * 1024
_IDLE_TIMEOUT_S = 30


@dataclasses.dataclass(frozen=True, kw_only=True)
class Incoming:
    """A request as received; path and query are still percent-encoded."""

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
class Reply:
    """A response to send."""

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


Handler = Callable[[Incoming], Reply]


def json_reply(value: Any, status: int = 200) -> Reply:
    """Return a JSON response."""
    return Reply(
        status=status,
        headers=(("Content-Type", "application/json"),),
        body=msgspec.json.encode(value),
    )


def error_reply(
    status: int, outcome: Outcome, code: ResultCode, message: str
) -> Reply:
    """Return an error response that states the outcome and the code."""
    return Reply(
        status=status,
        headers=(
            ("Content-Type", "application/json"),
            ("X-Chiverun-Outcome", outcome.value),
            ("X-Chiverun-Code", str(int(code))),
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


class _HeaderReader(cheroot_server.HeaderReader):
    """Refuses malformed or repeated lengths, and one with a transfer coding.

    Two parties that disagree on a body's length would take the rest of one
    request for the start of another. Names with an underscore are dropped,
    since WSGI cannot tell them from names with a hyphen.
    """

    def __call__(self, rfile, hdict=None):
        counted = _CountedLines(rfile)
        headers = super().__call__(counted, hdict)
        length = headers.get(b"Content-Length", b"0")
        if counted.lengths > 1 or not length.isdigit():
            raise ValueError("Repeated or malformed Content-Length.")
        if counted.lengths and b"Transfer-Encoding" in headers:
            raise ValueError("Content-Length with Transfer-Encoding.")
        return headers

    def _allow_header(self, key_name: bytes) -> bool:
        return b"_" not in key_name


class _CountedLines:
    """Counts Content-Length lines while they are read."""

    def __init__(self, rfile) -> None:
        self._rfile = rfile
        self.lengths = 0

    def readline(self, *args):
        line = self._rfile.readline(*args)
        if line.lower().startswith(b"content-length"):
            self.lengths += 1
        return line


class _Request(cheroot_server.HTTPRequest):
    header_reader = _HeaderReader()

    def send_headers(self) -> None:
        if getattr(self.server, "closes_connections", False):
            self.close_connection = True
        super().send_headers()


class _Connection(cheroot_server.HTTPConnection):
    RequestHandlerClass = _Request

    def communicate(self) -> bool:
        # A caller that stops in the middle of a request holds a thread.
        self.socket.settimeout(self.server.read_timeout_s)
        return super().communicate()


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
        self._server.max_request_header_size = _HEADER_BYTES_MAX
        self._server.max_request_body_size = BODY_BYTES_MAX
        self._server.read_timeout_s = read_timeout_s
        self._server.error_log = _no_log
        self._thread: threading.Thread | None = None

    def start(self) -> None:
        """Bind and serve in a thread; raises PORT_IN_USE."""
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

    def stop(self) -> None:
        """Close the listener and end the threads."""
        self._server.stop()

    def _application(
        self, environ: dict[str, Any], start_response: Callable
    ) -> Iterable[bytes]:
        try:
            reply = self._handler(_incoming(environ))
        except ChiverunError as exc:
            reply = error_reply(400, Outcome.NOT_RUN, exc.code, exc.message)
        reason = _reason(reply.status)
        headers = [
            *reply.headers,
            ("Content-Length", str(len(reply.body))),
        ]
        start_response(f"{reply.status} {reason}", headers)
        return [reply.body]


def _incoming(environ: dict[str, Any]) -> Incoming:
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
    if environ.get("CONTENT_TYPE"):
        headers["content-type"] = environ["CONTENT_TYPE"]
    path, _, query = environ["REQUEST_URI"].partition("?")
    return Incoming(
        method=environ["REQUEST_METHOD"],
        path=path,
        query=query,
        headers=headers,
        body=body,
        remote=environ.get("REMOTE_ADDR", ""),
    )


def _reason(status: int) -> str:
    try:
        return http.HTTPStatus(status).phrase
    except ValueError:
        return "Unknown"


def _no_log(msg: str = "", level: int = 20, traceback: bool = False) -> None:
    """Drop cheroot's own log lines, which are not JSON."""
