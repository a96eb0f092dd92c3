"""Connections of callers: reading and writing without a worker's thread.

One thread of each listener receives requests and sends what callers have not
read of responses. A worker gets a connection when its request is complete, so
that callers that stop do not occupy workers. Limits are those of
`core.listenerlimits`.
"""

import contextlib
import errno
import heapq
import itertools
import selectors
import threading
import time
from collections.abc import Callable

import logbook
from cheroot import connections as cheroot_connections

from chiverun.core.errors import ResultCode
from chiverun.core.listenerlimits import LineLimit
from chiverun.core.listenerlimits import ListenerLimits
from chiverun.core.listenerlimits import Stage
from chiverun.core.requestframe import Arrived
from chiverun.core.requestframe import RequestFrame
from chiverun.core.timeshare import Pace
from chiverun.integrations.callerfiles import CallerConnection
from chiverun.integrations.threadpace import MESSAGE_MAX_S

# Very small chunks of more bytes would hold up other callers for long.
_RECEIVE_BYTES = 16 * 1024
# Less than `timeshare.DEBT_MAX_S`, since many callers may be costly at once.
# A body of the largest size in large parts stays under it.
_DEBT_MAX_S = 0.005
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
_DESCRIPTORS_USED_UP = (errno.EMFILE, errno.ENFILE)
# Part of the connections to close when a listener is full, so that their
# search is not repeated for each new one.
_EVICTED_PART = 64
_ACCEPTS_PER_TURN = 64
_ACCEPT_PAUSE_S = 0.05
_REASONS = {
    ResultCode.CALLER_MEMORY: "no memory for the request",
    ResultCode.CALLER_CONNECTIONS: "too many connections",
    ResultCode.CALLER_TOO_SLOW: "the request was not complete in time",
}
_STATUSES = {
    ResultCode.CALLER_MEMORY: 503,
    ResultCode.CALLER_CONNECTIONS: 503,
    ResultCode.CALLER_TOO_SLOW: 408,
}
_LOG = logbook.Logger("web")


class CallerConnections(cheroot_connections.ConnectionManager):
    """The connections of one listener.

    Parameters
    ----------
    server : HTTPServer
    name : str
        Name of the listener in log lines.
    limits : ListenerLimits
    make_refusal : callable
        Returns the bytes of a response "not run" from status, code, message.
    count : callable
        Called with the reason of each refused or closed connection.
    hand_over : callable
        Passes a connection with a complete request to the workers.
    """

    def __init__(
        self,
        server,
        *,
        name: str,
        limits: ListenerLimits,
        make_refusal: Callable[[int, ResultCode, str], bytes],
        count: Callable[[str], None],
        hand_over: Callable[[CallerConnection], None],
    ) -> None:
        super().__init__(server)
        self._name = name
        self._limits = limits
        self._make_refusal = make_refusal
        self._count = count
        self._hand_over = hand_over
        # A worker returns connections while the listener's thread closes
        # others.
        self._lock = threading.RLock()
        self._open: set[CallerConnection] = set()
        self._by_address: dict[str, int] = {}
        self._held_bytes = 0
        self._lines = LineLimit()
        self._pace = Pace()
        self._paused: list[tuple[float, int, CallerConnection]] = []
        self._sequence = itertools.count()
        self._swept_at = time.monotonic()

    @property
    def is_busy(self) -> bool:
        """Return whether requests arrive or responses are being sent."""
        with self._lock:
            return any(
                conn.progress.stage is not Stage.IDLE for conn in self._open
            )

    def put(self, conn: CallerConnection) -> None:
        """Take a connection back from a worker."""
        now = time.monotonic()
        with self._lock:
            if conn not in self._open:
                return
            self._hold(conn, 0)
            if conn.wfile.pending:
                conn.progress.begin(Stage.WRITING, now)
                self._hold(conn, len(conn.wfile.pending))
                self._register(conn, selectors.EVENT_WRITE)
                self._free_memory(now)
                return
            self._await_request(conn, now)

    def forget(self, conn: CallerConnection) -> None:
        """Remove a connection that is being closed."""
        with self._lock:
            if conn not in self._open:
                return
            self._open.remove(conn)
            self._hold(conn, 0)
            with contextlib.suppress(KeyError, ValueError):
                self._selector.unregister(conn.socket.fileno())
            address = conn.remote_addr
            left = self._by_address.get(address, 0) - 1
            if left > 0:
                self._by_address[address] = left
            else:
                self._by_address.pop(address, None)

    def close(self) -> None:
        """Close all connections that no worker has."""
        with self._lock:
            for conn in list(self._open):
                if conn.progress.stage is not Stage.HANDLING:
                    conn.close()
        self._selector.close()

    def _run(self, expiration_interval: float) -> None:
        while not self._stop_requested:
            self._turn(expiration_interval)

    def _turn(self, interval_s: float) -> None:
        wait_s = interval_s
        if self._paused:
            due_s = self._paused[0][0] - time.monotonic()
            wait_s = max(0.0, min(interval_s, due_s))
        for _, conn in self._selector.select(timeout=wait_s):
            if conn is self.server:
                self._accept_some()
            else:
                # A worker may close the connection for memory meanwhile.
                with self._lock:
                    self._advance(conn)
        now = time.monotonic()
        while self._paused and self._paused[0][0] <= now:
            _, _, conn = heapq.heappop(self._paused)
            self._resume(conn, now)
        if now - self._swept_at >= interval_s:
            self._swept_at = now
            self._close_late(now)

    # Accepting.

    def _accept_some(self) -> None:
        for _ in range(_ACCEPTS_PER_TURN):
            try:
                conn = self._from_server_socket(self.server.socket)
            except OSError as exc:
                if exc.errno not in _DESCRIPTORS_USED_UP:
                    raise
                self._make_room(time.monotonic())
                # The connection stays in the listener's queue.
                time.sleep(_ACCEPT_PAUSE_S)
                return
            if conn is None:
                return
            self._admit(conn)

    def _admit(self, conn: CallerConnection) -> None:
        now = time.monotonic()
        conn.socket.settimeout(0.0)
        conn.connections = self
        address = conn.remote_addr
        count = self._by_address.get(address, 0)
        if count >= self._limits.address_connections:
            self._refuse(
                conn,
                ResultCode.CALLER_CONNECTIONS,
                limit=self._limits.address_connections,
            )
            return
        if len(self._open) >= self._limits.connections:
            self._make_room(now)
        with self._lock:
            is_full = len(self._open) >= self._limits.connections
            if not is_full:
                self._open.add(conn)
                self._by_address[address] = (
                    self._by_address.get(address, 0) + 1
                )
        if is_full:
            self._refuse(
                conn,
                ResultCode.CALLER_CONNECTIONS,
                limit=self._limits.connections,
            )
            return
        with self._lock:
            self._await_request(conn, now)

    def _make_room(self, now: float) -> None:
        """Close the connections that have waited longest."""
        with self._lock:
            waiting = [
                conn
                for conn in self._open
                if conn.progress.stage is not Stage.HANDLING
            ]
            for conn in heapq.nsmallest(
                max(1, len(waiting) // _EVICTED_PART),
                waiting,
                key=lambda row: row.progress.eviction_rank(now),
            ):
                self._refuse(
                    conn,
                    ResultCode.CALLER_CONNECTIONS,
                    limit=self._limits.connections,
                )

    # Reading and writing.

    def _advance(self, conn: CallerConnection) -> None:
        if conn not in self._open:
            return
        try:
            if conn.progress.stage is Stage.WRITING:
                self._write(conn)
            else:
                self._read(conn)
        except Exception as exc:
            if not isinstance(exc, OSError):
                _LOG.exception("cannot process connection")
            conn.close()

    def _read(self, conn: CallerConnection) -> None:
        began_s = time.thread_time()
        try:
            data = conn.socket.recv(_RECEIVE_BYTES)
        except BlockingIOError:
            return
        now = time.monotonic()
        if not data:
            self._end_input(conn)
            return
        progress = conn.progress
        if progress.stage is Stage.IDLE:
            progress.begin(Stage.HEAD, now)
        received = conn.rfile.received
        received += data
        progress.move(len(data))
        arrived = conn.frame.update(received)
        body = conn.frame.chunked_body
        self._hold(conn, len(received) + len(body or b""))
        if arrived is Arrived.INVALID:
            self._refuse_malformed(conn, "invalid chunks or a large body")
            return
        if arrived is Arrived.ALL:
            if body is not None:
                del received[conn.frame.head_bytes :]
            conn.debt.complete_message()
            self._begin_handling(conn)
            return
        if arrived is Arrived.HEAD and progress.stage is Stage.HEAD:
            progress.begin(Stage.BODY, now)
            if conn.frame.expects_continue:
                conn.has_sent_continue = True
                conn.wfile.write(_CONTINUE)
        self._free_memory(now)
        if conn in self._open:
            self._charge(conn, time.thread_time() - began_s, now)

    def _end_input(self, conn: CallerConnection) -> None:
        """Close a connection whose caller sends no more."""
        if conn.rfile.received:
            self._refuse_malformed(conn, "the request is incomplete")
        else:
            conn.close()

    def _refuse_malformed(self, conn: CallerConnection, text: str) -> None:
        with contextlib.suppress(OSError):
            conn.socket.send(
                self._make_refusal(400, ResultCode.REQUEST_MALFORMED, text)
            )
        conn.close()

    def _begin_handling(self, conn: CallerConnection) -> None:
        with self._lock:
            self._selector.unregister(conn.socket.fileno())
            conn.progress.begin(Stage.HANDLING, time.monotonic())
        self._hand_over(conn)

    def _write(self, conn: CallerConnection) -> None:
        conn.progress.move(conn.wfile.send_pending())
        self._hold(conn, len(conn.wfile.pending))
        if conn.wfile.pending:
            return
        with self._lock:
            self._selector.unregister(conn.socket.fileno())
            self._await_request(conn, time.monotonic())

    def _charge(
        self, conn: CallerConnection, used_s: float, now: float
    ) -> None:
        """Pause a connection whose bytes take too much processor time."""
        conn.debt.charge(used_s, now)
        if conn.debt.message_s > MESSAGE_MAX_S:
            self._refuse(conn, ResultCode.CALLER_TOO_SLOW, limit=MESSAGE_MAX_S)
            return
        if conn.debt.debt_at(now) <= _DEBT_MAX_S:
            return
        self._pace.note(used_s, now)
        with self._lock:
            self._selector.unregister(conn.socket.fileno())
        conn.paused_at = now
        heapq.heappush(
            self._paused, (self._pace.next_at, next(self._sequence), conn)
        )

    def _resume(self, conn: CallerConnection, now: float) -> None:
        if conn not in self._open:
            return
        conn.progress.suspend(now - conn.paused_at)
        self._register(conn, selectors.EVENT_READ)

    def _await_request(self, conn: CallerConnection, now: float) -> None:
        """Wait for a connection's next request, or close it."""
        if conn.closes_after_response:
            conn.close()
            return
        conn.frame = RequestFrame(
            head_bytes_max=self.server.max_request_header_size,
            body_bytes_max=self.server.max_request_body_size,
        )
        conn.has_sent_continue = False
        conn.progress.begin(Stage.IDLE, now)
        self._register(conn, selectors.EVENT_READ)

    def _register(self, conn: CallerConnection, events: int) -> None:
        self._selector.register(conn.socket.fileno(), events, data=conn)

    # Limits.

    def _hold(self, conn: CallerConnection, count: int) -> None:
        with self._lock:
            self._held_bytes += count - conn.progress.held_bytes
            conn.progress.held_bytes = count

    def _free_memory(self, now: float) -> None:
        """Refuse requests until the held bytes are within the limit."""
        with self._lock:
            while self._held_bytes > self._limits.held_bytes:
                conn = max(
                    self._open,
                    key=lambda row: row.progress.memory_cost(now),
                )
                if not conn.progress.memory_cost(now):
                    return
                self._refuse(
                    conn,
                    ResultCode.CALLER_MEMORY,
                    limit=self._limits.held_bytes,
                )

    def _close_late(self, now: float) -> None:
        with self._lock:
            paused = {conn for _, _, conn in self._paused}
            for conn in self._open - paused:
                progress = conn.progress
                if not progress.is_late(self._limits, now):
                    continue
                if progress.stage is Stage.IDLE:
                    conn.close()
                    continue
                limit_s = (
                    self._limits.head_s
                    if progress.stage is Stage.HEAD
                    else self._limits.progress_s
                )
                self._refuse(conn, ResultCode.CALLER_TOO_SLOW, limit=limit_s)

    def _refuse(
        self, conn: CallerConnection, code: ResultCode, *, limit: float
    ) -> None:
        """Close a connection, with a response if no other has begun."""
        stage = conn.progress.stage
        held = conn.progress.held_bytes
        is_new = conn not in self._open
        if is_new or stage in (Stage.HEAD, Stage.BODY):
            refusal = self._make_refusal(_STATUSES[code], code, _REASONS[code])
            with contextlib.suppress(OSError):
                conn.socket.send(refusal)
        with contextlib.suppress(OSError):
            conn.close()
        self._count(code.name)
        skipped = self._lines.admit(code.name, time.monotonic())
        if skipped is None:
            return
        _LOG.warning(
            "connection refused",
            extra={
                "listener": self._name,
                "peer": conn.remote_addr,
                "code": int(code),
                "stage": stage.value,
                "held_bytes": held,
                "limit": limit,
                "skipped_lines": skipped,
            },
        )
