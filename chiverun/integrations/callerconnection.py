"""A client connection of an edge instance's listener (asyncio and h11)."""

import asyncio
import math
import socket

import h11

from chiverun.core.activity import Activity
from chiverun.core.body import Body
from chiverun.core.callerlimits import RefusalReason
from chiverun.core.connectionchoice import Candidate
from chiverun.core.connectionchoice import Standing
from chiverun.core.loopusage import LoopPart
from chiverun.core.loopusage import PeerName
from chiverun.core.loopusage import Source
from chiverun.integrations.listenerstate import ListenerState
from chiverun.integrations.pacedwriter import PacedWriter
from chiverun.integrations.pieces import Pieces
from chiverun.integrations.readturns import Turn
from chiverun.integrations.refusalresponses import describe
from chiverun.integrations.refusalresponses import encode_refusal
from chiverun.integrations.sockets import set_peer_timeout
from chiverun.integrations.timeout import Timeout

# The connection fails if the caller acknowledges no data for this long.
PEER_TIMEOUT_MS = 10_000
# Unsent bytes in a socket above which no more are written, so that a response
# that is read slowly makes steady progress.
_UNSENT_BYTES_MAX = 256 * 1024


class CallerConnection(asyncio.BufferedProtocol):
    """Opening, refusing and closing of a connection.

    Subclasses read and answer the requests.
    """

    def __init__(self, *, state: ListenerState) -> None:
        self._state = state
        self._loop = asyncio.get_running_loop()
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=state.limits.header_bytes
        )
        self._transport: asyncio.Transport | None = None
        self._writer: PacedWriter | None = None
        self._host = ""
        self._request: h11.Request | None = None
        self._body = Body()
        self._task: asyncio.Task[None] | None = None
        self._turn: Turn | None = None
        self._unread = Pieces()
        self._timeout = Timeout(on_timeout=self._check_time)
        self._is_reading_head = False
        self._is_used = False
        # No further request is read.
        self._is_last = False
        # Bytes that may still be discarded, None before a refusal.
        self._linger_bytes: int | None = None
        now = self._loop.time()
        self._activity = Activity(since=now, moved_at=now)
        self._unwritten_bytes = math.inf
        self._held = state.memory.hold(self._drop)

    @property
    def is_busy(self) -> bool:
        """Whether a request is being read or handled, or answered."""
        return (
            self._task is not None
            or self._linger_bytes is not None
            or self._request is not None
            or self._is_reading_head
            or self._turn.is_waiting
            or self._writer.size > 0
        )

    @property
    def _is_ended(self) -> bool:
        return self._linger_bytes is not None or self._transport.is_closing()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport
        self._writer = PacedWriter(transport=transport)
        sock = transport.get_extra_info("socket")
        set_peer_timeout(sock, timeout_ms=PEER_TIMEOUT_MS)
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, _UNSENT_BYTES_MAX
        )
        self._host, port = transport.get_extra_info("peername")[:2]
        peer = PeerName(f"{self._host}:{port}")
        source = Source(part=LoopPart.CALLERS, peer=peer)
        self._turn = self._state.turns.open(source, self)
        if not self._state.make_place(self._activity.since):
            self._refuse_connection()
            return
        self._state.connections.add(self)
        self._timeout.set(self._state.limits.header_timeout_s)

    def _refuse_connection(self) -> None:
        limit = self._state.caller_limits.connections
        text = f"limit of {limit} connections"
        self._note_refusal(RefusalReason.CONNECTIONS, text)
        self._writer.write(
            encode_refusal(self._http, 503, RefusalReason.CONNECTIONS, text)
        )
        self._transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        self._state.connections.discard(self)
        # The connection is part of reference cycles, so that all that it
        # refers to would stay until the next garbage collection.
        self._unread.clear()
        self._body.clear()
        self._writer.clear()
        self._http = None
        self._request = None
        self._turn.close()
        self._timeout.clear()
        self._held.release()
        if self._task is not None:
            self._task.cancel()

    def candidate(self, now: float) -> Candidate["CallerConnection"]:
        """Return what the connection is doing, and since when."""
        return Candidate(
            connection=self,
            host=self._host,
            standing=self._standing(now),
            since=self._activity.since,
        )

    def _standing(self, now: float) -> Standing:
        if self._linger_bytes is not None:
            return Standing.DISCARDING
        if self._task is not None:
            return Standing.ACTIVE
        if self.is_busy:
            is_stalled = self._activity.is_stalled(now)
            return Standing.STALLED if is_stalled else Standing.ACTIVE
        return Standing.IDLE if self._is_used else Standing.UNUSED

    def evict(self) -> None:
        """Close at once, for a new connection."""
        self._note_refusal(
            RefusalReason.CONNECTIONS,
            f"closed at {self._state.caller_limits.connections} connections",
        )
        self._state.connections.discard(self)
        self._transport.abort()

    def eof_received(self) -> bool:
        # A half-closed connection counts as closed by the caller.
        return False

    def get_buffer(self, sizehint: int) -> memoryview:
        return self._state.turns.buffer

    def wait(self) -> None:
        """Read no more until the received bytes have been processed."""
        self._transport.pause_reading()

    def abort(self) -> None:
        """Close at once, discarding buffered data."""
        self._transport.abort()

    def close_if_idle(self) -> None:
        """Close unless a request is being read, handled or answered."""
        if self._transport is not None and not self.is_busy:
            self._transport.close()

    def _drop(self) -> None:
        """Give up what is held, for lack of memory."""
        raise NotImplementedError

    def _fail(self, what: str, exc: BaseException | None) -> None:
        """Close after an unexpected error, so that the caller does not wait.

        Nothing is said of the request, which may have run. Responses to
        earlier ones are written before.
        """
        self._state.note_error(what, exc)
        self._is_last = True
        self._unread.clear()
        self._unwritten_bytes = math.inf
        self._timeout.set(self._state.caller_limits.read_stall_s)
        self._writer.finish(self._transport.close)

    def _check_time(self) -> None:
        try:
            self._on_timeout()
        except Exception as exc:
            self._fail("cannot end a connection in time", exc)

    def _on_timeout(self) -> None:
        """Give up what takes too long."""
        raise NotImplementedError

    def _update_reading(self) -> None:
        """Read if what arrives can be processed or discarded."""
        raise NotImplementedError

    def _describe(self, reason: RefusalReason) -> str:
        return describe(reason, self._state.limits, self._state.memory)

    def _note_refusal(
        self, reason: RefusalReason, text: str | None = None, **details
    ) -> None:
        self._state.refusals.note(
            reason,
            text or self._describe(reason),
            peer=self._host,
            held=self._held.size,
            connections=len(self._state.connections),
            **details,
        )

    def _linger(self) -> None:
        """Close for writing, and discard what the caller still sends."""
        self._linger_bytes = self._state.caller_limits.linger_bytes
        # The head and the parser's buffer are of no use any more.
        self._http = None
        self._request = None
        if not self._transport.can_write_eof():
            self._transport.close()
            return
        self._transport.write_eof()
        self._timeout.set(self._state.caller_limits.linger_s)
        self._update_reading()

    def _discard(self, count: int) -> None:
        self._linger_bytes -= count
        if self._linger_bytes < 0:
            self._transport.close()

    def _check_reader(self) -> None:
        """Close if the caller has read nothing since the last check."""
        limit_s = self._state.caller_limits.read_stall_s
        if self._writer.size < self._unwritten_bytes:
            self._unwritten_bytes = self._writer.size
            self._timeout.set(limit_s)
            return
        self._note_refusal(
            RefusalReason.TOO_SLOW, f"response not read for {limit_s:g} s"
        )
        self._transport.abort()
