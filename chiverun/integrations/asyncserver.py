"""Asynchronous HTTP/1.1 server, framed by h11.

A request is read completely before it is handled, so that a slow caller
occupies no server, and it occupies no thread while it is handled. The handler
is cancelled when the caller disconnects.
"""

import asyncio
import dataclasses
import math
from collections.abc import Awaitable
from collections.abc import Callable

import h11
import logbook

from chiverun.core.bytebudget import ByteBudget
from chiverun.core.catalog import ClientLimits
from chiverun.core.ids import Address
from chiverun.core.loopusage import LoopPart
from chiverun.core.loopusage import PeerName
from chiverun.core.loopusage import Source
from chiverun.integrations.network import split_address
from chiverun.integrations.pieces import Pieces
from chiverun.integrations.readturns import ReadTurns
from chiverun.integrations.readturns import Turn
from chiverun.integrations.sockets import set_peer_timeout

_LOG = logbook.Logger("server")

# The connection fails if the caller acknowledges no data for this long.
PEER_TIMEOUT_MS = 10_000
BACKLOG = 1024
# Limit of pipelined bytes that are buffered while a request is handled.
_PIPELINED_BYTES_MAX = 64 * 1024

# A body that takes longer is refused, also if a few bytes keep arriving.
BODY_TIMEOUT_S = 60.0
# After a refusal the rest of the request is read and discarded for this long
# and up to this size: closing with unread bytes would reset the connection,
# and the caller could lose the response.
LINGER_S = 1.0
LINGER_BYTES_MAX = 1024 * 1024

# Retry-After of a request that was refused for lack of memory.
MEMORY_RETRY_AFTER_S = 1.0

# Statuses whose responses have neither a body nor a Content-Length.
_BODILESS_STATUSES = (204, 304)

Headers = list[tuple[str, str]]


@dataclasses.dataclass(frozen=True, kw_only=True)
class IncomingRequest:
    """A complete request; `target` is not decoded."""

    method: str
    target: str
    headers: Headers
    body: bytes
    arrived_at: float

    def header(self, name: str) -> str | None:
        """Return the first value of a header, None if it is missing."""
        lower = name.lower()
        return next((v for n, v in self.headers if n.lower() == lower), None)


@dataclasses.dataclass(frozen=True, kw_only=True)
class OutgoingResponse:
    """A complete response."""

    status: int
    headers: Headers
    body: bytes = b""


Handler = Callable[[IncomingRequest], Awaitable[OutgoingResponse]]


@dataclasses.dataclass(kw_only=True)
class ListenerState:
    """State shared by all connections of a listener."""

    handler: Handler
    limits: ClientLimits = dataclasses.field(default_factory=ClientLimits)
    memory: ByteBudget = dataclasses.field(default_factory=ByteBudget)
    turns: ReadTurns = dataclasses.field(default_factory=ReadTurns)
    closing: bool = False
    connections: set["ServerConnection"] = dataclasses.field(
        default_factory=set
    )
    last_request_at: float = float("-inf")

    def active(self) -> int:
        """Return the number of requests in progress."""
        return sum(conn.is_busy for conn in self.connections)


class ServerConnection(asyncio.BufferedProtocol):
    """A connection accepted from a caller."""

    def __init__(self, *, state: ListenerState) -> None:
        self._state = state
        self._loop = asyncio.get_running_loop()
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=state.limits.header_bytes
        )
        self._transport: asyncio.Transport | None = None
        self._request: h11.Request | None = None
        self._arrived_at = 0.0
        self._body = bytearray()
        self._task: asyncio.Task[None] | None = None
        self._turn: Turn | None = None
        self._unread = Pieces()
        self._timer: asyncio.TimerHandle | None = None
        self._times_out_at = math.inf
        self._is_reading_head = False
        self._is_writable = True
        # Bytes that may still be discarded, None before a refusal.
        self._linger_bytes: int | None = None
        self._body_deadline = 0.0
        self._held = state.memory.hold(self._drop_body)

    @property
    def is_busy(self) -> bool:
        """Whether a request is being read or handled, or answered."""
        return (
            self._task is not None
            or self._request is not None
            or self._is_reading_head
            or self._turn.is_waiting
            or self._transport.get_write_buffer_size() > 0
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport
        sock = transport.get_extra_info("socket")
        set_peer_timeout(sock, timeout_ms=PEER_TIMEOUT_MS)
        host, port = transport.get_extra_info("peername")[:2]
        source = Source(part=LoopPart.CALLERS, peer=PeerName(f"{host}:{port}"))
        self._turn = self._state.turns.open(source, self)
        self._state.connections.add(self)
        self._set_timer(self._state.limits.header_timeout_s)

    def connection_lost(self, exc: Exception | None) -> None:
        self._state.connections.discard(self)
        self._unread.clear()
        self._turn.close()
        self._clear_timer()
        self._held.release()
        if self._task is not None:
            self._task.cancel()

    def pause_writing(self) -> None:
        # The caller does not read its responses: take no further request.
        self._is_writable = False
        self._transport.pause_reading()

    def resume_writing(self) -> None:
        self._is_writable = True
        if self._turn.is_waiting:
            return
        self._transport.resume_reading()
        if self._linger_bytes is None:
            self._turn.run()

    def eof_received(self) -> bool:
        # A half-closed connection counts as closed by the caller.
        return False

    def get_buffer(self, sizehint: int) -> memoryview:
        return self._state.turns.buffer

    def buffer_updated(self, count: int) -> None:
        if self._linger_bytes is not None:
            self._discard(count)
            return
        is_handling = self._task is not None
        if is_handling and len(self._unread) + count > _PIPELINED_BYTES_MAX:
            self._transport.abort()
            return
        if self._request is None and not self._is_reading_head:
            # The limit counts from the first byte, so that a slow sender
            # cannot extend it.
            self._is_reading_head = True
            self._set_timer(self._state.limits.header_timeout_s)
        self._unread.add(bytes(self._state.turns.buffer[:count]))
        self._turn.run()

    def wait(self) -> None:
        """Read no more until the received bytes have been processed."""
        self._transport.pause_reading()
        if self._task is None:
            self._held.grow(len(self._unread))

    def resume(self) -> None:
        """Read on, unless the caller does not read its responses."""
        if self._is_writable:
            self._transport.resume_reading()

    def abort(self) -> None:
        """Close at once, discarding buffered data."""
        self._transport.abort()

    def close_if_idle(self) -> None:
        """Close unless a request is being read, handled or answered."""
        if self._transport is not None and not self.is_busy:
            self._transport.close()

    def process_next(self) -> bool:
        """Process an event; return whether another may follow at once."""
        is_blocked = self._task is not None or not self._is_writable
        if is_blocked or self._linger_bytes is not None:
            return False
        try:
            event = self._http.next_event()
            if event is h11.PAUSED:
                return False
            if event is h11.NEED_DATA:
                return self._unread.feed(self._http) or self._await_data()
            self._unread.note_event()
            return self._handle_event(event)
        except h11.RemoteProtocolError as exc:
            self._reject(exc.error_status_hint or 400, str(exc))
            return False

    def _await_data(self) -> bool:
        """Ask for the body if the caller waits for that; return False."""
        if self._http.they_are_waiting_for_100_continue:
            self._write(h11.InformationalResponse(status_code=100, headers=[]))
        return False

    def _handle_event(self, event: h11.Event) -> bool:
        match event:
            case h11.Request():
                return self._start_request(event)
            case h11.Data():
                return self._add_to_body(event.data)
            case h11.EndOfMessage():
                self._clear_timer()
                self._turn.complete_message()
                self._start_handler()
            case h11.ConnectionClosed():
                self._transport.close()
                return False
        return True

    def _start_request(self, request: h11.Request) -> bool:
        """Check a head; return whether its body is to be read."""
        self._request = request
        self._is_reading_head = False
        self._arrived_at = self._loop.time()
        self._body_deadline = self._arrived_at + BODY_TIMEOUT_S
        self._body = bytearray()
        limits = self._state.limits
        length = _content_length(request)
        if _head_bytes(request) > limits.header_bytes:
            # h11 limits only a head that arrives in several pieces.
            self._reject(431, "head over the limit")
        elif _has_ambiguous_length(request):
            self._reject(400, "both a length and chunks")
        elif length > limits.body_bytes:
            self._reject(413, "body over the limit")
        elif not self._state.memory.has_room(length):
            self._reject(503, "no memory for the body")
        else:
            return True
        return False

    def _add_to_body(self, data: bytes) -> bool:
        self._body += data
        if len(self._body) > self._state.limits.body_bytes:
            self._reject(413, "body over the limit")
            return False
        self._held.grow(len(data))
        if self._linger_bytes is not None:
            return False
        left_s = self._body_deadline - self._loop.time()
        self._set_timer(
            max(0.0, min(self._state.limits.header_timeout_s, left_s))
        )
        return True

    def _drop_body(self) -> None:
        """Give up the body, the largest that is held, for lack of memory."""
        self._reject(503, "no memory for the body")

    def _start_handler(self) -> None:
        request = IncomingRequest(
            method=self._request.method.decode("ascii"),
            target=self._request.target.decode("ascii"),
            headers=[
                (name.decode("latin-1"), value.decode("latin-1"))
                for name, value in self._request.headers.raw_items()
            ],
            body=bytes(self._body),
            arrived_at=self._arrived_at,
        )
        self._body = bytearray()
        self._held.pin()
        self._state.last_request_at = self._arrived_at
        self._task = self._loop.create_task(self._serve(request))

    async def _serve(self, request: IncomingRequest) -> None:
        try:
            response = await self._state.handler(request)
        except asyncio.CancelledError:
            self._task = None
            raise
        except Exception:
            _LOG.exception(
                "request handler failed", extra={"target": request.target}
            )
            response = OutgoingResponse(status=500, headers=[])
        self._task = None
        self._held.release()
        if self._transport.is_closing():
            return
        self._respond(request, response)

    def _respond(
        self, request: IncomingRequest, response: OutgoingResponse
    ) -> None:
        headers = list(response.headers)
        body = response.body if request.method != "HEAD" else b""
        has_length = any(n.lower() == "content-length" for n, _ in headers)
        if not has_length and response.status not in _BODILESS_STATUSES:
            headers.append(("Content-Length", str(len(response.body))))
        if self._state.closing:
            headers.append(("Connection", "close"))
        try:
            self._write(
                h11.Response(status_code=response.status, headers=headers)
            )
            if body:
                self._write_body(body)
            self._write(h11.EndOfMessage())
        except h11.LocalProtocolError as exc:
            _LOG.error(
                "cannot send the response",
                extra={"target": request.target, "reason": str(exc)},
            )
            self._transport.close()
            return
        self._start_next_cycle()

    def _start_next_cycle(self) -> None:
        self._request = None
        if self._http.our_state is not h11.DONE:
            self._transport.close()
            return
        if self._http.their_state is not h11.DONE:
            self._transport.close()
            return
        self._http.start_next_cycle()
        self._set_timer(self._state.limits.idle_timeout_s)
        self._turn.run()

    def _reject(self, status: int, reason: str) -> None:
        """Respond to an invalid request and close the connection."""
        _LOG.warning(
            "request refused", extra={"status": status, "reason": reason}
        )
        self._clear_timer()
        self._held.release()
        self._body = bytearray()
        self._unread.clear()
        if self._http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            self._transport.close()
            return
        body = reason.encode()
        headers = [
            ("Content-Length", str(len(body))),
            ("Connection", "close"),
        ]
        if status == 503:
            headers.append(("Retry-After", f"{MEMORY_RETRY_AFTER_S:g}"))
        self._write(h11.Response(status_code=status, headers=headers))
        self._write(h11.Data(data=body))
        self._linger()

    def _linger(self) -> None:
        """Close for writing, and discard what the caller still sends."""
        self._linger_bytes = LINGER_BYTES_MAX
        if not self._transport.can_write_eof():
            self._transport.close()
            return
        self._transport.write_eof()
        self._set_timer(LINGER_S)

    def _discard(self, count: int) -> None:
        self._linger_bytes -= count
        if self._linger_bytes < 0:
            self._transport.close()

    def _write(self, event: h11.Event) -> None:
        data = self._http.send(event)
        if data:
            self._transport.write(data)

    def _write_body(self, body: bytes) -> None:
        pieces = self._http.send_with_data_passthrough(h11.Data(data=body))
        for piece in pieces:
            self._transport.write(piece)

    def _set_timer(self, timeout_s: float) -> None:
        """Set the time-out, which each piece of a body extends.

        A timer that fires too early is set again.
        """
        self._times_out_at = self._loop.time() + timeout_s
        if self._timer is None or self._timer.when() > self._times_out_at:
            self._clear_timer()
            self._start_timer()

    def _start_timer(self) -> None:
        self._timer = self._loop.call_at(self._times_out_at, self._on_timer)

    def _clear_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _on_timer(self) -> None:
        self._timer = None
        if self._loop.time() < self._times_out_at:
            self._start_timer()
        else:
            self._on_timeout()

    def _on_timeout(self) -> None:
        if self._request is not None and self._linger_bytes is None:
            self._reject(408, "request was not complete in time")
        else:
            self._transport.close()


def _head_bytes(request: h11.Request) -> int:
    """Return the size of a request head without its line ends."""
    rows = request.headers.raw_items()
    fields = sum(len(name) + len(value) + 2 for name, value in rows)
    return len(request.method) + len(request.target) + fields


def _content_length(request: h11.Request) -> int:
    """Return the length of the body, 0 if it is sent in chunks."""
    lengths = [v for name, v in request.headers if name == b"content-length"]
    return int(lengths[0]) if lengths else 0


def _has_ambiguous_length(request: h11.Request) -> bool:
    names = {name for name, _ in request.headers}
    return b"transfer-encoding" in names and b"content-length" in names


async def listen(address: Address, state: ListenerState) -> asyncio.Server:
    """Accept callers' connections at an address.

    Raises
    ------
    OSError
        If the address cannot be bound.
    """
    host, port = split_address(address)
    return await asyncio.get_running_loop().create_server(
        lambda: ServerConnection(state=state),
        host,
        port,
        backlog=BACKLOG,
        reuse_address=True,
    )
