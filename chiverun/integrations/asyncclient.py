"""Asynchronous HTTP/1.1 client, framed by h11.

A connection carries one exchange at a time. Waiting for a response occupies
no thread, and cancelling the wait closes the connection immediately.
"""

import asyncio
import dataclasses
import re
from collections.abc import Callable

import h11

from chiverun.core.body import Body
from chiverun.core.body import pieces_of
from chiverun.core.bytebudget import ByteBudget
from chiverun.core.exchange import Answered
from chiverun.core.exchange import ExchangeEnd
from chiverun.core.exchange import Incomplete
from chiverun.core.exchange import is_final_status
from chiverun.core.exchange import Mismatched
from chiverun.core.exchange import NotSent
from chiverun.core.exchange import Reset
from chiverun.core.exchange import TimedOut
from chiverun.core.exchange import TooLarge
from chiverun.core.headertext import decode_headers
from chiverun.core.headertext import EncodedHeaders
from chiverun.core.headertext import Headers
from chiverun.core.ids import Address
from chiverun.core.loopusage import LoopPart
from chiverun.core.loopusage import PeerName
from chiverun.core.loopusage import Source
from chiverun.integrations.network import split_address
from chiverun.integrations.pacedwriter import PacedWriter
from chiverun.integrations.pieces import Pieces
from chiverun.integrations.readturns import ReadTurns
from chiverun.integrations.sockets import set_peer_timeout

# The connection fails if the peer acknowledges no data for this long.
PEER_TIMEOUT_MS = 2000
HEADER_BYTES_MAX = 64 * 1024
# A body up to this size is sent together with the head, in one packet or a
# few.
JOINED_BODY_BYTES_MAX = 16 * 1024
# Limits of what a server may send around a response: interim responses,
# responses to other requests, and bytes of framing (a chunk of one byte takes
# six).
INTERIM_RESPONSES_MAX = 8
SKIPPED_RESPONSES_MAX = 4
FRAMING_FACTOR = 6
# A head that breaks off within a line takes the first line of the next
# response for the rest of that line.
_STATUS_LINE = re.compile(rb"HTTP/1\.[01] [1-5][0-9][0-9]")


@dataclasses.dataclass(frozen=True, kw_only=True)
class OutgoingRequest:
    """A request with its complete body.

    `matches_request` returns whether a response with these headers belongs to
    this request.
    """

    method: bytes
    target: bytes
    headers: EncodedHeaders
    body: bytes | Body
    matches_request: Callable[[Headers], bool]


class ClientConnection(asyncio.BufferedProtocol):
    """A persistent connection.

    `reusable` is False once the connection must not carry another exchange.
    """

    def __init__(
        self,
        *,
        body_bytes_max: int,
        memory: ByteBudget | None = None,
        source: Source | None = None,
        turns: ReadTurns | None = None,
    ) -> None:
        self._turns = turns or ReadTurns()
        self._turn = self._turns.open(
            source or Source(part=LoopPart.SERVERS), self
        )
        self._unread = Pieces()
        self._is_ended = False
        # Why the connection was lost while received bytes waited.
        self._lost_detail: str | None = None
        self._body_bytes_max = body_bytes_max
        self._bytes_max = FRAMING_FACTOR * body_bytes_max + HEADER_BYTES_MAX
        self._memory = memory or ByteBudget()
        self._held = self._memory.hold(self._drop_body)
        self._transport: asyncio.Transport | None = None
        self._writer: PacedWriter | None = None
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=HEADER_BYTES_MAX
        )
        self._waiter: asyncio.Future[ExchangeEnd] | None = None
        self._request: OutgoingRequest | None = None
        self._response: h11.Response | None = None
        self._body = Body()
        # Received in this exchange.
        self._received_bytes = 0
        self._interim_responses = 0
        self._skipped_responses = 0
        self.reusable = True
        self.exchanges = 0
        self.idle_since = 0.0
        # Event loop time at which it was established.
        self.opened_at = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport
        self.opened_at = asyncio.get_running_loop().time()
        self._writer = PacedWriter(transport=transport)
        sock = transport.get_extra_info("socket")
        set_peer_timeout(sock, timeout_ms=PEER_TIMEOUT_MS)

    def pause_writing(self) -> None:
        self._writer.pause()

    def resume_writing(self) -> None:
        self._writer.resume()

    def get_buffer(self, sizehint: int) -> memoryview:
        return self._turns.buffer

    def buffer_updated(self, count: int) -> None:
        if not self._is_awaiting:
            # No request is pending, so the bytes belong to none.
            self.abort()
            return
        self._received_bytes += count
        if self._received_bytes > self._bytes_max:
            self._give_up(TooLarge(limit=self._body_bytes_max))
            return
        self._unread.add(bytes(self._turns.buffer[:count]))
        self._turn.run()

    def eof_received(self) -> bool:
        self.reusable = False
        if self._is_awaiting:
            # Nothing else is unread, or reading would be paused.
            self._is_ended = True
            self._unread.end()
            while self.process_next():
                pass
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self.reusable = False
        detail = f"connection lost: {exc}"
        if self._turn.is_waiting:
            # The response may be among what waits.
            self._lost_detail = detail
        else:
            self._end_lost(detail)
            self._body.clear()

    def _end_lost(self, detail: str) -> None:
        if self._response is not None:
            self._set_result(Incomplete(detail=detail))
        else:
            self._set_result(Reset(detail=detail))

    def wait(self) -> None:
        """Read no more until the received bytes have been processed."""
        self._transport.pause_reading()
        self._held.resize(len(self._body) + len(self._unread))

    def resume(self) -> None:
        """Read on."""
        if self._lost_detail is not None:
            self._end_lost(self._lost_detail)
        elif not self._transport.is_closing():
            self._transport.resume_reading()

    def abort(self) -> None:
        """Close at once, discarding buffered data."""
        self.reusable = False
        self._unread.clear()
        self._body.clear()
        self._turn.close()
        if self._transport is not None:
            self._writer.clear()
            self._transport.abort()

    async def exchange(
        self, request: OutgoingRequest, timeout_s: float
    ) -> ExchangeEnd:
        """Send a request and wait for its complete response.

        A cancelled or failed exchange closes the connection.
        """
        if self._transport is None or self._transport.is_closing():
            return NotSent(detail="connection is closed")
        try:
            if self.exchanges:
                self._http.start_next_cycle()
            pieces = self._encode_request(request)
        except h11.LocalProtocolError:
            # The parser's message quotes the request.
            self.abort()
            return NotSent(detail="not a valid HTTP/1.1 request")
        self.exchanges += 1
        self._request = request
        self._response = None
        self._body = Body()
        self._received_bytes = 0
        self._interim_responses = 0
        self._skipped_responses = 0
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            for piece in pieces:
                self._writer.write(piece)
            # wait_for would lose a cancellation that coincides with the
            # response.
            async with asyncio.timeout(timeout_s):
                return await self._waiter
        except TimeoutError:
            self.abort()
            return TimedOut()
        except asyncio.CancelledError:
            self.abort()
            raise
        finally:
            self._waiter = None
            # An idle connection would keep the request's body.
            self._request = None
            self._held.release()
            if self.reusable and self._has_pending_bytes():
                self.abort()

    def _encode_request(
        self, request: OutgoingRequest
    ) -> list[bytes | memoryview]:
        """Return the request in pieces; a large body is not copied."""
        head = self._http.send(
            h11.Request(
                method=request.method,
                target=request.target,
                headers=request.headers,
            )
        )
        body = [
            part
            for piece in pieces_of(request.body)
            for part in self._http.send_with_data_passthrough(
                h11.Data(data=piece)
            )
        ]
        end = self._http.send(h11.EndOfMessage())
        pieces = [head or b"", *body, end or b""]
        if len(request.body) <= JOINED_BODY_BYTES_MAX:
            pieces = [b"".join(pieces)]
        return [piece for piece in pieces if piece]

    def _has_pending_bytes(self) -> bool:
        """Return whether bytes of this exchange are unsent or unread."""
        unsent = self._writer and self._writer.size
        states = (self._http.our_state, self._http.their_state)
        return bool(
            unsent
            or len(self._unread)
            or self._http.trailing_data[0]
            or states != (h11.DONE, h11.DONE)
        )

    @property
    def _is_awaiting(self) -> bool:
        return self._waiter is not None and not self._waiter.done()

    def process_next(self) -> bool:
        """Process an event; return whether another may follow at once."""
        if not self._is_awaiting:
            return False
        try:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                return self._unread.feed(self._http)
            self._unread.note_event()
            return self._handle_event(event)
        except h11.RemoteProtocolError:
            # The parser's message quotes the response, which may repeat an
            # API key.
            self._end_malformed("not a valid HTTP/1.1 response")
            return False
        except Exception:
            # Whoever waits for the response would wait until the deadline.
            self._turns.note_error("cannot process a response")
            self._end_malformed("unexpected error")
            return False

    def _end_malformed(self, reason: str) -> None:
        self.abort()
        if self._is_ended and self._response is None:
            self._set_result(Reset(detail="closed without a response"))
        else:
            self._set_result(Incomplete(detail=reason))

    def _handle_event(self, event: h11.Event | type[h11.PAUSED]) -> bool:
        match event:
            case h11.InformationalResponse():
                self._interim_responses += 1
                if self._interim_responses > INTERIM_RESPONSES_MAX:
                    self._give_up(Incomplete(detail="interim responses only"))
                    return False
            case h11.Response():
                self._response = event
                if not is_final_status(event.status_code):
                    self._end_malformed(f"status {event.status_code}")
                    return False
                if _is_mixed(event):
                    self._end_malformed("head of more than one response")
                    return False
            case h11.Data():
                return self._add_to_body(event.data)
            case h11.EndOfMessage():
                return self._complete_response()
            case h11.ConnectionClosed() | h11.PAUSED:
                return False
        return True

    def _add_to_body(self, data: bytes) -> bool:
        self._body.add(data)
        if len(self._body) > self._body_bytes_max:
            self._give_up(TooLarge(limit=self._body_bytes_max))
            return False
        self._held.resize(len(self._body), moved=len(data))
        return not self._waiter.done()

    def _drop_body(self) -> None:
        """Give up the response, the largest held, for lack of memory."""
        self._give_up(TooLarge(limit=len(self._body)))

    def _give_up(self, end: ExchangeEnd) -> None:
        self.abort()
        self._body = Body()
        self._set_result(end)

    def _complete_response(self) -> bool:
        response = self._response
        headers = decode_headers(response.headers.raw_items())
        if not self._request.matches_request(headers):
            return self._skip_response()
        if self._http.their_state is not h11.DONE:
            self.reusable = False
        self._turn.complete_message()
        body = self._body.complete()
        if isinstance(body, Body):
            # Counted until it has been passed on.
            self._held.pin()
            body.holding = self._held
            self._held = self._memory.hold(self._drop_body)
        self._set_result(
            Answered(
                status=response.status_code,
                headers=tuple(headers),
                body=body,
            )
        )
        return False

    def _skip_response(self) -> bool:
        """Discard a response to another request and parse the next one.

        Return False if no further response can follow.
        """
        self.reusable = False
        self._skipped_responses += 1
        can_follow = (
            self._http.their_state is h11.DONE
            and self._skipped_responses <= SKIPPED_RESPONSES_MAX
        )
        trailing, is_closed = self._http.trailing_data
        if not can_follow or (is_closed and not trailing):
            self.abort()
            self._set_result(Mismatched(request_id="another request"))
            return False
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=HEADER_BYTES_MAX
        )
        self._encode_request(self._request)
        self._response = None
        self._body = Body()
        self._held.release()
        if trailing:
            self._http.receive_data(trailing)
        return True

    def _set_result(self, end: ExchangeEnd) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(end)


def _is_mixed(response: h11.Response) -> bool:
    """Return whether a head has the status line of a further response."""
    if _STATUS_LINE.search(response.reason):
        return True
    return any(_STATUS_LINE.search(value) for _, value in response.headers)


async def connect(
    address: Address,
    *,
    timeout_s: float,
    body_bytes_max: int,
    memory: ByteBudget | None = None,
    part: LoopPart = LoopPart.SERVERS,
    turns: ReadTurns | None = None,
) -> ClientConnection:
    """Open a connection.

    Raises
    ------
    OSError
        If the connection is refused or is not established in time.
    """
    host, port = split_address(address)
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(timeout_s):
        _, connection = await loop.create_connection(
            lambda: ClientConnection(
                body_bytes_max=body_bytes_max,
                memory=memory,
                source=Source(part=part, peer=PeerName(address)),
                turns=turns,
            ),
            host,
            port,
        )
    return connection
