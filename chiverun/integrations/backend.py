"""HTTP exchanges with backend servers and peers, by urllib3.

The library's retries and redirects are off: whether a request may be sent
again is decided by `runtime.entry` from the typed end of the exchange.
"""

import dataclasses
import threading
from collections.abc import Mapping

import urllib3
from urllib3.connection import HTTPConnection
from urllib3.exceptions import ConnectTimeoutError
from urllib3.exceptions import HTTPError
from urllib3.exceptions import NewConnectionError
from urllib3.exceptions import ReadTimeoutError

from chiverun.core.clock import Clock
from chiverun.core.errors import Outcome
from chiverun.core.errors import ResultCode
from chiverun.core.exchange import Answered
from chiverun.core.exchange import ExchangeEnd
from chiverun.core.exchange import Incomplete
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
from chiverun.integrations.network import AddressMap
from chiverun.integrations.network import split_address

_CHUNK_BYTES = 65536
_CONNECT_TIMEOUT_S = 1.0
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
class Outgoing:
    """A request to send once; `deadline` is monotonic seconds.

    A peer's statement of an outcome counts only when the request goes
    `to_peer`; backend servers cannot make one.
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


class _Handed(threading.local):
    """Whether the current thread handed request bytes to a socket."""

    value = False


_handed = _Handed()


class _Connection(HTTPConnection):
    """Notes when the first byte of a request is handed to the socket."""

    def send(self, data) -> None:
        if self.sock is None:
            self.connect()
        _handed.value = True
        super().send(data)


class _Pool(urllib3.HTTPConnectionPool):
    ConnectionCls = _Connection


class HttpBackends:
    """Sends requests to backend servers and peers; thread-safe."""

    def __init__(
        self, *, clock: Clock, addresses: AddressMap, connections: int
    ) -> None:
        self._clock = clock
        self._addresses = addresses
        self._connections = connections
        self._lock = threading.Lock()
        self._pools: dict[Address, _Pool] = {}

    def exchange(self, address: Address, req: Outgoing) -> ExchangeEnd:
        """Send a request once and read its complete response."""
        left = req.deadline - self._clock.monotonic()
        if left <= 0:
            return NotSent(detail="deadline passed before sending")
        _handed.value = False
        pool = self._pool(address, req.fresh_connection)
        try:
            resp = pool.urlopen(
                req.method,
                req.path,
                body=req.body or None,
                headers=dict(req.headers),
                retries=False,
                redirect=False,
                preload_content=False,
                decode_content=False,
                assert_same_host=False,
                timeout=urllib3.Timeout(
                    connect=min(left, _CONNECT_TIMEOUT_S), read=left
                ),
            )
        except (HTTPError, OSError, ValueError) as exc:
            return _failed(exc)
        finally:
            if req.fresh_connection:
                pool.close()
        return self._read(resp, req)

    def close(self) -> None:
        """Close idle connections."""
        with self._lock:
            for pool in self._pools.values():
                pool.close()

    def _pool(self, address: Address, fresh: bool) -> _Pool:
        host, port = split_address(self._addresses.translate(address))
        if fresh:
            return _Pool(host, port, maxsize=1, retries=False)
        with self._lock:
            pool = self._pools.get(address)
            if pool is None:
                pool = _Pool(
                    host, port, maxsize=self._connections, retries=False
                )
                self._pools[address] = pool
            return pool

    def _read(
        self, resp: urllib3.BaseHTTPResponse, req: Outgoing
    ) -> ExchangeEnd:
        """Read a response; close its connection unless all is well."""
        end: ExchangeEnd | None = None
        try:
            end = _contradiction(resp) or self._read_body(resp, req)
        except ReadTimeoutError:
            end = TimedOut()
        except (HTTPError, OSError, ValueError) as exc:
            end = Incomplete(detail=str(exc))
        finally:
            if isinstance(end, Answered | Shed | PeerRefused | PeerUnknown):
                resp.release_conn()
            else:
                resp.close()
        return end

    def _read_body(
        self, resp: urllib3.BaseHTTPResponse, req: Outgoing
    ) -> ExchangeEnd:
        chunks = []
        size = 0
        while chunk := resp.read(_CHUNK_BYTES):
            size += len(chunk)
            if size > req.answer_bytes_max:
                return TooLarge(limit=req.answer_bytes_max)
            if self._clock.monotonic() > req.deadline:
                return TimedOut()
            chunks.append(chunk)
        answered_id = resp.headers.get("X-Request-Id", req.request_id)
        if answered_id != req.request_id:
            return Mismatched(request_id=answered_id)
        body = b"".join(chunks)
        return _peer_end(resp, body) if req.to_peer else _end(resp, body)


def _contradiction(resp: urllib3.BaseHTTPResponse) -> Incomplete | None:
    lengths = set(resp.headers.getlist("Content-Length"))
    if len(lengths) > 1:
        return Incomplete(detail=f"lengths {sorted(lengths)}")
    if lengths and "Transfer-Encoding" in resp.headers:
        return Incomplete(detail="length and transfer coding")
    return None


def _end(resp: urllib3.BaseHTTPResponse, body: bytes) -> ExchangeEnd:
    shed = resp.headers.get("X-Shed")
    if resp.status == 503 and shed in {r.value for r in ShedReason}:
        return Shed(reason=ShedReason(shed))
    return _answered(resp, body)


def _peer_end(resp: urllib3.BaseHTTPResponse, body: bytes) -> ExchangeEnd:
    match resp.headers.get("X-Chiverun-Outcome"):
        case Outcome.ANSWERED.value:
            return _answered(resp, body)
        case Outcome.NOT_RUN.value:
            return PeerRefused(code=_code(resp))
        case Outcome.UNKNOWN.value if _code(resp) is ResultCode.OK:
            # A backend server's 5xx response, passed on by the peer.
            return _answered(resp, body)
        case _:
            return PeerUnknown(code=_code(resp))


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


def _code(resp: urllib3.BaseHTTPResponse) -> ResultCode:
    try:
        return ResultCode(int(resp.headers.get("X-Chiverun-Code", "")))
    except ValueError:
        return ResultCode.INTERNAL


def _failed(exc: Exception) -> ExchangeEnd:
    """Type a failure that came before the response's headers."""
    detail = f"{type(exc).__name__}: {exc}"
    connecting = isinstance(exc, NewConnectionError | ConnectTimeoutError)
    if connecting or not _handed.value:
        return NotSent(detail=detail)
    if isinstance(exc, ReadTimeoutError):
        return TimedOut()
    return Reset(detail=detail)
