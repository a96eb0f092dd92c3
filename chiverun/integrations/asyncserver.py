"""Asynchronous HTTP/1.1 server, framed by h11.

A request is read completely before it is handled, so that a slow caller
occupies no server, and it occupies no thread while it is handled. The handler
is cancelled when the caller disconnects.
"""

import asyncio
import math
import socket

import h11

from chiverun.core.body import Body
from chiverun.core.body import pieces_of
from chiverun.core.callerlimits import ACCEPT_BATCH
from chiverun.core.callerlimits import RefusalReason
from chiverun.core.headertext import encode_headers
from chiverun.core.ids import Address
from chiverun.integrations.callerconnection import CallerConnection
from chiverun.integrations.httpmessages import content_length
from chiverun.integrations.httpmessages import Handler
from chiverun.integrations.httpmessages import has_ambiguous_length
from chiverun.integrations.httpmessages import head_bytes
from chiverun.integrations.httpmessages import Headers
from chiverun.integrations.httpmessages import IncomingRequest
from chiverun.integrations.httpmessages import OutgoingResponse
from chiverun.integrations.httpmessages import request_of
from chiverun.integrations.listenerstate import ListenerState
from chiverun.integrations.network import split_address
from chiverun.integrations.refusalresponses import encode_refusal

__all__ = [
    "Handler",
    "Headers",
    "IncomingRequest",
    "ListenerState",
    "OutgoingResponse",
    "listen",
]

# Connections that wait in the kernel until they are accepted.
BACKLOG = 1024
# Bytes that wait, up to this number, are part of a connection's memory.
_FREE_BYTES = 2048
# More than the head of a usual request, with a small body.
_LARGE_READ_BYTES = 8 * 1024
# A body up to this size is sent together with the head.
_JOINED_BODY_BYTES_MAX = 16 * 1024
# Statuses whose responses have neither a body nor a Content-Length.
_BODILESS_STATUSES = (204, 304)


class ServerConnection(CallerConnection):
    """A connection accepted from a caller."""

    def __init__(self, *, state: ListenerState) -> None:
        super().__init__(state=state)
        self._arrived_at = 0.0
        # Memory of the fields and the body of the present request.
        self._field_bytes = 0
        self._body_bytes = 0

    def pause_writing(self) -> None:
        # The caller does not read its responses: take no further request.
        self._writer.pause()
        self._update_reading()

    def resume_writing(self) -> None:
        self._writer.resume()
        self._note_written()
        if self._writer.is_blocked or self._turn.is_waiting:
            return
        self._update_reading()
        if self._linger_bytes is None:
            self._turn.run()

    def _note_written(self) -> None:
        written = max(0, self._held.size - self._writer.size)
        self._activity.note(written, self._loop.time())
        if self._task is None and self._request is None:
            self._held.resize(self._writer.size, moved=written)

    def _update_reading(self) -> None:
        """Read if what arrives can be processed or discarded."""
        is_reading = (
            not self._writer.is_blocked
            and not self._turn.is_waiting
            and (not self._is_last or self._linger_bytes is not None)
        )
        if is_reading:
            self._transport.resume_reading()
        else:
            self._transport.pause_reading()

    def buffer_updated(self, count: int) -> None:
        if self._linger_bytes is not None:
            self._discard(count)
            return
        is_between = self._request is None and self._task is None
        if is_between and not self._is_reading_head:
            # The limit counts from the first byte, so that a slow sender
            # cannot extend it.
            self._is_reading_head = True
            self._activity.begin(self._loop.time())
            self._timeout.set(self._state.limits.header_timeout_s)
        self._activity.note(count, self._loop.time())
        self._unread.add(bytes(self._state.turns.buffer[:count]))
        self._turn.run(is_large=count > _LARGE_READ_BYTES)
        if self._is_ended:
            return
        if self._task is not None:
            self._bound_ahead()
        else:
            self._account(count)

    def _bound_ahead(self) -> None:
        """Read no further request if much is sent ahead."""
        ahead = len(self._unread)
        if ahead <= _FREE_BYTES:
            return
        is_over = ahead > self._state.caller_limits.ahead_bytes
        if is_over or not self._state.memory.has_room(ahead):
            self._drop_ahead()
        self._account()

    def _drop_ahead(self) -> None:
        """Give up what follows the request that runs; it has not run."""
        self._is_last = True
        self._unread.clear()
        self._update_reading()

    def _account(self, moved: int = 0) -> None:
        """Count the bytes that are held for the caller."""
        if self._writer.size:
            return
        waiting = len(self._unread) + len(self._http.trailing_data[0])
        if waiting <= _FREE_BYTES:
            waiting = 0
        self._held.resize(
            self._body_bytes + self._field_bytes + waiting, moved=moved
        )

    def resume(self) -> None:
        """Read on, unless the caller does not read its responses."""
        self._update_reading()

    def process_next(self) -> bool:
        """Process an event; return whether another may follow at once."""
        is_blocked = self._task is not None or self._writer.is_blocked
        if is_blocked or self._is_last or self._is_ended:
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
            # The parser's message quotes the request.
            if exc.error_status_hint == 431:
                self._reject(431, RefusalReason.HEAD_TOO_LARGE)
            else:
                self._reject(
                    exc.error_status_hint or 400, RefusalReason.MALFORMED
                )
            return False
        except Exception as exc:
            self._fail("cannot process a request", exc)
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
                self._timeout.clear()
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
        self._is_used = True
        self._arrived_at = self._loop.time()
        limits = self._state.limits
        length = content_length(request)
        self._body_bytes = 0
        self._field_bytes = self._memory_of_fields(request)
        if head_bytes(request) > limits.header_bytes:
            # h11 limits only a head that arrives in several pieces.
            self._reject(431, RefusalReason.HEAD_TOO_LARGE)
        elif has_ambiguous_length(request):
            self._reject(400, RefusalReason.MALFORMED)
        elif length > limits.body_bytes:
            self._reject(413, RefusalReason.BODY_TOO_LARGE)
        elif not self._state.memory.make_room(length + self._field_bytes):
            self._reject(503, RefusalReason.MEMORY)
        else:
            return True
        return False

    def _memory_of_fields(self, request: h11.Request) -> int:
        limits = self._state.caller_limits
        count = len(request.headers)
        return limits.field_bytes * count if count > limits.free_fields else 0

    def _add_to_body(self, data: bytes) -> bool:
        self._body.add(data)
        self._body_bytes = len(self._body)
        if self._body_bytes > self._state.limits.body_bytes:
            self._reject(413, RefusalReason.BODY_TOO_LARGE)
            return False
        limits = self._state.caller_limits
        self._held.resize(
            self._body_bytes + self._field_bytes, moved=len(data)
        )
        if self._is_ended:
            return False
        ends_at = (
            self._arrived_at
            + limits.body_timeout_s
            + self._body_bytes / limits.body_bytes_per_s
        )
        left_s = max(0.0, ends_at - self._loop.time())
        self._timeout.set(min(self._state.limits.header_timeout_s, left_s))
        return True

    def _drop(self) -> None:
        """Give up what is held, for lack of memory."""
        if self._task is not None:
            self._drop_ahead()
        elif self._request is not None and not self._is_ended:
            self._reject(503, RefusalReason.MEMORY)
        else:
            self._note_refusal(RefusalReason.MEMORY)
            self._transport.abort()

    def _start_handler(self) -> None:
        # Also counts what was sent ahead: this request may be refused still.
        self._account()
        if self._is_ended:
            return
        request = request_of(
            self._request, self._body.complete(), self._arrived_at
        )
        # The parser's form of the head is of no use any more.
        self._request = None
        self._held.pin()
        self._state.last_request_at = self._arrived_at
        self._task = self._loop.create_task(self._serve(request))
        self._task.add_done_callback(self._on_served)

    def _on_served(self, task: asyncio.Task[None]) -> None:
        """Close if the request got no response, whatever the reason."""
        exc = None if task.cancelled() else task.exception()
        if exc is None and not task.cancelled():
            return
        if self._task is task:
            self._task = None
        if not self._transport.is_closing():
            self._fail("request not answered", exc)

    async def _serve(self, request: IncomingRequest) -> None:
        try:
            response = await self._state.handler(request)
        except Exception as exc:
            self._state.note_error("request handler failed", exc)
            response = OutgoingResponse(status=500, headers=[])
        self._task = None
        self._held.release()
        self._body_bytes = self._field_bytes = 0
        if self._transport.is_closing():
            return
        self._respond(request, response)

    def _respond(
        self, request: IncomingRequest, response: OutgoingResponse
    ) -> None:
        self._activity.begin(self._loop.time())
        try:
            head = self._response_head(response)
        except (h11.LocalProtocolError, UnicodeError):
            # The parser's message quotes the response. The request may have
            # run, so 503 would not be true.
            self._state.note_error("response has an invalid head", None)
            response = OutgoingResponse(status=502, headers=[])
            head = self._response_head(response)
        body = response.body if request.method != "HEAD" else b""
        try:
            parts = self._encode_response(head, body)
        except h11.LocalProtocolError:
            self._fail("response is not valid HTTP/1.1", None)
            return
        for part in parts:
            self._writer.write(part)
        if isinstance(response.body, Body):
            response.body.release()
        if self._writer.size > _FREE_BYTES:
            self._held.resize(self._writer.size)
        self._start_next_cycle()

    def _response_head(self, response: OutgoingResponse) -> h11.Response:
        headers = encode_headers(response.headers)
        has_length = any(n.lower() == b"content-length" for n, _ in headers)
        if not has_length and response.status not in _BODILESS_STATUSES:
            length = str(len(response.body)).encode()
            headers.append((b"Content-Length", length))
        if self._state.closing or self._is_last:
            headers.append((b"Connection", b"close"))
        return h11.Response(status_code=response.status, headers=headers)

    def _encode_response(
        self, head: h11.Response, body: bytes | Body
    ) -> list[bytes | memoryview]:
        """Return a response in pieces; a large body is not copied."""
        parts = [self._http.send(head)]
        for piece in pieces_of(body):
            parts += self._http.send_with_data_passthrough(
                h11.Data(data=piece)
            )
        parts.append(self._http.send(h11.EndOfMessage()))
        if len(body) <= _JOINED_BODY_BYTES_MAX:
            # One call of the system instead of two.
            parts = [b"".join(parts)]
        return parts

    def _start_next_cycle(self) -> None:
        self._request = None
        if self._transport.is_closing():
            return
        states = (self._http.our_state, self._http.their_state)
        if states != (h11.DONE, h11.DONE):
            self._close_when_written()
            return
        self._http.start_next_cycle()
        self._activity.begin(self._loop.time())
        self._unwritten_bytes = math.inf
        self._timeout.set(self._state.limits.idle_timeout_s)
        self._update_reading()
        self._turn.run()
        if not self._is_ended:
            self._account()

    def _close_when_written(self) -> None:
        """Close after the last response; what follows it is not read."""
        is_ahead = (
            self._is_last or len(self._unread) or self._http.trailing_data[0]
        )
        self._is_last = True
        self._unread.clear()
        self._unwritten_bytes = math.inf
        self._timeout.set(self._state.caller_limits.read_stall_s)
        self._writer.finish(
            self._linger if is_ahead else self._transport.close
        )

    def _reject(self, status: int, reason: RefusalReason) -> None:
        """Respond to a request that is not handled, and close."""
        self._note_refusal(reason, status=status)
        self._timeout.clear()
        self._held.release()
        self._body.clear()
        self._unread.clear()
        if self._http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            self._transport.close()
            return
        text = self._describe(reason)
        method = self._request.method if self._request is not None else b""
        self._writer.write(
            encode_refusal(self._http, status, reason, text, method=method)
        )
        self._linger()

    def _write(self, event: h11.Event) -> None:
        self._writer.write(self._http.send(event) or b"")

    def _on_timeout(self) -> None:
        if self._writer.size:
            self._check_reader()
        elif self._linger_bytes is not None:
            self._transport.close()
        elif self._request is not None:
            self._reject(408, RefusalReason.TOO_SLOW)
        else:
            if self._is_reading_head:
                self._note_refusal(RefusalReason.TOO_SLOW)
            self._transport.close()


async def listen(address: Address, state: ListenerState) -> asyncio.Server:
    """Accept callers' connections at an address.

    Raises
    ------
    OSError
        If the address cannot be bound.
    """
    host, port = split_address(address)
    server = await asyncio.get_running_loop().create_server(
        lambda: ServerConnection(state=state),
        host,
        port,
        # Also the number that asyncio accepts at once.
        backlog=ACCEPT_BATCH,
        reuse_address=True,
    )
    for sock in server.sockets:
        _set_backlog(sock.fileno())
    return server


def _set_backlog(fileno: int) -> None:
    """Let more connections wait in the kernel than are accepted at once."""
    with socket.socket(fileno=socket.dup(fileno)) as sock:
        sock.listen(BACKLOG)
