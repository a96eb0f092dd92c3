"""HTTP exchanges with backend servers and peers over urllib3 connections.

This module does not retry or follow redirects: `runtime.entry` decides from
the typed end of the exchange whether to send a request again. It has its own
connection pool because urllib3's pool reuses a connection as soon as a body
has been read, before its length and request id are compared.
"""

import dataclasses
import http.client
import threading
from collections.abc import Mapping

import urllib3
from urllib3.exceptions import HTTPError
from urllib3.exceptions import ReadTimeoutError

from chiverun.core.clock import Clock
from chiverun.core.errors import Outcome
from chiverun.core.errors import ResultCode
from chiverun.core.exchange import Answered
from chiverun.core.exchange import CODE_HEADER
from chiverun.core.exchange import EXCHANGE_HEADER
from chiverun.core.exchange import ExchangeEnd
from chiverun.core.exchange import Incomplete
from chiverun.core.exchange import is_final_status
from chiverun.core.exchange import Mismatched
from chiverun.core.exchange import NotSent
from chiverun.core.exchange import PeerRefused
from chiverun.core.exchange import PeerUnknown
from chiverun.core.exchange import Reset
from chiverun.core.exchange import Shed
from chiverun.core.exchange import ShedReason
from chiverun.core.exchange import TimedOut
from chiverun.core.exchange import TooLarge
from chiverun.core.ids import Address
from chiverun.core.statednumbers import BODY_BYTES
from chiverun.core.statednumbers import parse_whole
from chiverun.core.statednumbers import StatedNumber
from chiverun.integrations.cancellation import Cancellation
from chiverun.integrations.connection import DeadlineConnection
from chiverun.integrations.network import AddressMap
from chiverun.integrations.network import split_address

_CHUNK_BYTES = 65536
_CODE_RANGE = StatedNumber(high=max(ResultCode), unit="")
_EXCHANGE_ERRORS = (HTTPError, http.client.HTTPException, OSError, ValueError)
HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
    }
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class OutgoingRequest:
    """A request to send once; `deadline` is monotonic seconds.

    A response's outcome header counts only if `to_peer` is set, since backend
    servers cannot state an outcome.
    """

    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    request_id: str
    deadline: float
    answer_bytes_max: int
    fresh_connection: bool
    to_peer: bool = False
    cancellation: Cancellation | None = None


class HttpBackends:
    """Sends requests to backend servers and peers; thread-safe."""

    def __init__(
        self, *, clock: Clock, addresses: AddressMap, connections: int
    ) -> None:
        self._clock = clock
        self._addresses = addresses
        self._connections = connections
        self._lock = threading.Lock()
        self._idle: dict[Address, list[DeadlineConnection]] = {}

    def exchange(self, address: Address, req: OutgoingRequest) -> ExchangeEnd:
        """Send a request once and read its complete response."""
        if req.deadline <= self._clock.monotonic():
            return NotSent(detail="deadline passed before sending")
        conn = self._acquire(address, req.fresh_connection)
        conn.start_exchange(req.deadline, req.answer_bytes_max)
        conn.cancellation = req.cancellation
        end: ExchangeEnd | None = None
        try:
            end = _send(conn, req) or _receive(conn, req)
            conn.exchanges += 1
        finally:
            # If responses have no request id, a late response could be
            # taken for the next one. Such a connection is not reused.
            is_reusable = conn.has_response_id and isinstance(
                end, Answered | Shed | PeerRefused | PeerUnknown
            )
            if req.cancellation is not None and req.cancellation.detach():
                is_reusable = False
            if is_reusable and conn.sock and not req.fresh_connection:
                self._release(address, conn)
            else:
                conn.close()
        return end

    def close(self) -> None:
        """Close idle connections."""
        with self._lock:
            idle = [conn for conns in self._idle.values() for conn in conns]
            self._idle.clear()
        for conn in idle:
            conn.close()

    def _acquire(self, address: Address, fresh: bool) -> DeadlineConnection:
        while not fresh:
            with self._lock:
                idle = self._idle.get(address)
                conn = idle.pop() if idle else None
            if conn is None:
                break
            # An idle connection that is readable has been closed by the
            # server or holds an unsolicited response.
            if conn.is_connected:
                return conn
            conn.close()
        host, port = split_address(self._addresses.translate(address))
        return DeadlineConnection(host, port, clock=self._clock)

    def _release(self, address: Address, conn: DeadlineConnection) -> None:
        with self._lock:
            # Otherwise connections to addresses that are not used any more
            # stay half closed for ever.
            dropped = [] if address in self._idle else self._pop_closed()
            idle = self._idle.setdefault(address, [])
            if len(idle) < self._connections:
                idle.append(conn)
            else:
                dropped.append(conn)
        for other in dropped:
            other.close()

    def _pop_closed(self) -> list[DeadlineConnection]:
        """Remove the idle connections that their servers have closed."""
        closed = []
        for address, conns in list(self._idle.items()):
            found = [conn for conn in conns if not conn.is_connected]
            if found:
                closed += found
                rest = [conn for conn in conns if conn not in found]
                self._idle[address] = rest
                if not rest:
                    del self._idle[address]
        return closed


def _send(
    conn: DeadlineConnection, req: OutgoingRequest
) -> ExchangeEnd | None:
    """Send a request; return the end of the exchange if sending failed."""
    headers = dict(req.headers)
    if req.to_peer:
        headers[EXCHANGE_HEADER] = req.request_id
    try:
        conn.request(
            req.method,
            req.path,
            body=req.body or None,
            headers=headers,
            preload_content=False,
            decode_content=False,
        )
    except _EXCHANGE_ERRORS as exc:
        return _classify_failure(exc, conn.has_started_sending)
    return None


def _receive(conn: DeadlineConnection, req: OutgoingRequest) -> ExchangeEnd:
    """Read a response; check that it is complete and has the right id."""
    try:
        resp = conn.getresponse()
    except _EXCHANGE_ERRORS as exc:
        is_closed = isinstance(exc, http.client.RemoteDisconnected)
        if is_closed and req.cancellation is not None:
            req.cancellation.set_closed_by_server()
        return _classify_failure(exc, conn.has_started_sending)
    try:
        error = _framing_error(resp, req.method)
        if error is not None:
            return Incomplete(detail=error)
        body = _read_body(resp, req.answer_bytes_max)
        if body is None:
            return TooLarge(limit=req.answer_bytes_max)
    except (ReadTimeoutError, TimeoutError):
        return TimedOut()
    except _EXCHANGE_ERRORS as exc:
        return Incomplete(detail=f"{type(exc).__name__}: {exc}")
    if conn.socket.finish_exchange():
        return Incomplete(detail="bytes after the response")
    name = EXCHANGE_HEADER if req.to_peer else "X-Request-Id"
    response_id = resp.headers.get(name, "")
    # The first response on a connection cannot belong to an earlier request.
    is_first = not response_id and conn.exchanges == 0
    conn.has_response_id = bool(response_id)
    if response_id != req.request_id and not is_first:
        return Mismatched(request_id=response_id)
    return (
        _classify_peer_response(resp, body)
        if req.to_peer
        else _classify_response(resp, body)
    )


def _read_body(resp: urllib3.BaseHTTPResponse, max_bytes: int) -> bytes | None:
    """Return the complete body, None if it exceeds `max_bytes` bytes."""
    chunks = []
    size = 0
    while chunk := resp.read(_CHUNK_BYTES):
        size += len(chunk)
        if size > max_bytes:
            return None
        chunks.append(chunk)
    return b"".join(chunks)


def _framing_error(resp: urllib3.BaseHTTPResponse, method: str) -> str | None:
    """Return why a response's length is not reliable, None if it is.

    A body that is delimited by the end of the connection is rejected,
    because a truncated one looks complete.
    """
    if not is_final_status(resp.status):
        return f"status {resp.status} is not final"
    codings = [v.lower() for v in resp.headers.getlist("Transfer-Encoding")]
    lengths = set(resp.headers.getlist("Content-Length"))
    if codings and lengths:
        return "length and transfer coding"
    if codings:
        return None if codings == ["chunked"] else f"codings {codings}"
    if not lengths:
        has_body = method != "HEAD" and resp.status not in (204, 304)
        return "no length" if has_body else None
    # http.client takes the end of the connection for that of a body whose
    # length it cannot read.
    texts = [parse_whole(text, BODY_BYTES) for text in lengths]
    if len(texts) > 1 or None in texts:
        return "lengths that are not valid"
    return None


def _classify_response(
    resp: urllib3.BaseHTTPResponse, body: bytes
) -> ExchangeEnd:
    shed_reason = resp.headers.get("X-Shed")
    if resp.status == 503 and shed_reason in {r.value for r in ShedReason}:
        return Shed(reason=ShedReason(shed_reason))
    return _answered(resp, body)


def _classify_peer_response(
    resp: urllib3.BaseHTTPResponse, body: bytes
) -> ExchangeEnd:
    match resp.headers.get("X-Chiverun-Outcome"):
        case Outcome.ANSWERED.value:
            return _answered(resp, body)
        case Outcome.NOT_RUN.value:
            return PeerRefused(code=_result_code(resp))
        case Outcome.UNKNOWN.value if (
            _result_code(resp) is ResultCode.OK and resp.status >= 500
        ):
            # A backend server's 5xx response, forwarded by the peer.
            return _answered(resp, body)
        case _:
            return PeerUnknown(code=_result_code(resp))


def _answered(resp: urllib3.BaseHTTPResponse, body: bytes) -> Answered:
    return Answered(
        status=resp.status,
        headers=tuple(
            (name, value)
            for name, value in resp.headers.items()
            if not _is_hop_header(name.lower())
        ),
        body=body,
    )


def _is_hop_header(name: str) -> bool:
    return name in HOP_HEADERS or name.startswith("x-chiverun-")


def _result_code(resp: urllib3.BaseHTTPResponse) -> ResultCode:
    code = parse_whole(resp.headers.get(CODE_HEADER), _CODE_RANGE)
    try:
        return ResultCode.INTERNAL if code is None else ResultCode(code)
    except ValueError:
        return ResultCode.INTERNAL


def _classify_failure(
    exc: Exception, has_started_sending: bool
) -> ExchangeEnd:
    """Classify a failure that occurred before the response's headers."""
    detail = f"{type(exc).__name__}: {exc}"
    if not has_started_sending:
        return NotSent(detail=detail)
    if isinstance(exc, ReadTimeoutError | TimeoutError):
        return TimedOut()
    return Reset(detail=detail)
