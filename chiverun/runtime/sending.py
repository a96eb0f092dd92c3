"""Sends a request to a backend server and records the result."""

import asyncio
import dataclasses
import itertools
from collections.abc import Callable
from typing import Any

import logbook

from chiverun.core.bytebudget import ByteBudget
from chiverun.core.catalog import Server
from chiverun.core.coldlimit import COLD_WINDOW_S
from chiverun.core.exchange import Answered
from chiverun.core.exchange import ExchangeEnd
from chiverun.core.exchange import Incomplete
from chiverun.core.exchange import Mismatched
from chiverun.core.exchange import NotSent
from chiverun.core.exchange import Reset
from chiverun.core.exchange import Shed
from chiverun.core.exchange import ShedReason
from chiverun.core.headertext import encode_headers
from chiverun.core.headertext import encode_target
from chiverun.core.headertext import Headers
from chiverun.core.health import eject
from chiverun.core.health import record
from chiverun.integrations.asyncclient import ClientConnection
from chiverun.integrations.asyncclient import connect
from chiverun.integrations.asyncclient import OutgoingRequest
from chiverun.integrations.asyncserver import IncomingRequest
from chiverun.integrations.readturns import ReadTurns
from chiverun.runtime.connectionheaders import end_to_end
from chiverun.runtime.connectionheaders import idle_limit_s
from chiverun.runtime.headercodec import HeaderCodec
from chiverun.runtime.headercodec import RequestMetadata
from chiverun.runtime.headercodec import ResponseMetadata
from chiverun.runtime.processchecks import ProcessChecks
from chiverun.runtime.selectionlog import describe_connection
from chiverun.runtime.selectionlog import describe_selection
from chiverun.runtime.serverprocesses import ServerProcesses
from chiverun.runtime.serverstatements import apply_statements
from chiverun.runtime.servertable import is_same_process
from chiverun.runtime.servertable import MISDIRECTED_PAUSE_S
from chiverun.runtime.servertable import ServerRow

_LOG = logbook.Logger("send")

CONNECT_TIMEOUT_S = 0.5
# A choice of a server uses up budgets and rests on the catalog of its time.
# Connecting takes less, so an older choice means that the process was paused.
CHOICE_VALID_S = 1.0
# The rate of a cold server is counted when it is chosen, and a send that comes
# later must still fall into the window that it was counted in.
COLD_CHOICE_VALID_S = COLD_WINDOW_S - 1.0
END_CHECK_TIMEOUT_S = 0.3
CONNECT_FAILED = "connect"
# Of a head with parts of more than one response.
_SEVERAL = "several responses"
RESPONSE_BYTES_MAX = 32 * 1024 * 1024
# A server may close a connection that has been idle for longer just as it is
# reused, which leaves unknown whether the request ran.
UNREPEATABLE_IDLE_MAX_S = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class SendResult:
    """Result of a send and the metadata of its response.

    `connection` describes the connection that carried it, for log lines.
    """

    end: ExchangeEnd
    metadata: ResponseMetadata | None = None
    # Whether the server ended while it ran the request.
    server_ended: bool = False
    connection: dict[str, Any] = dataclasses.field(default_factory=dict)

    @property
    def is_not_run(self) -> bool:
        """Whether the request is proven not to have run."""
        return isinstance(self.end, NotSent | Shed)


@dataclasses.dataclass(frozen=True, kw_only=True)
class SendOrder:
    """A request to send once.

    `deadline` and `chosen_at`, when the server was chosen, are in event loop
    time; `typical_s` is the usual response time. `attempt` numbers the sends
    of the request.
    """

    request: IncomingRequest
    metadata: RequestMetadata
    repeatable: bool
    deadline: float
    typical_s: float
    chosen_at: float
    attempt: int = 1


class Sender:
    """Sends requests and records the health and load of servers."""

    def __init__(
        self,
        *,
        header_codec: HeaderCodec,
        memory: ByteBudget,
        turns: ReadTurns | None = None,
        count_error: Callable[[], None] = lambda: None,
        processes: ServerProcesses | None = None,
        checks: ProcessChecks | None = None,
    ) -> None:
        self._processes = processes
        # Without checks, requests are sent on any connection.
        self._checks = checks
        self._turns = turns
        # Called with each unexpected error.
        self._count_error = count_error
        self._header_codec = header_codec
        self._memory = memory
        self._loop = asyncio.get_running_loop()
        self._numbers = itertools.count()

    def start(
        self, row: ServerRow, order: SendOrder
    ) -> asyncio.Task[SendResult]:
        """Start to send a request once.

        The server's load counts it at once: further requests may be read
        before the task runs.
        """
        number = next(self._numbers)
        started_at = self._loop.time()
        server = row.server
        row.recent_sends.add(started_at)
        selection = describe_selection(row, started_at)
        row.begin_send(number, started_at)
        task = self._loop.create_task(
            self._send(row, server, order, number, started_at, selection)
        )
        # A task that is cancelled before it runs ends nothing itself.
        task.add_done_callback(lambda _: row.end_send(number))
        return task

    async def _send(
        self,
        row: ServerRow,
        server: Server,
        order: SendOrder,
        number: int,
        started_at: float,
        selection: dict[str, Any],
    ) -> SendResult:
        try:
            result = await self._exchange(row, order)
            if isinstance(result.end, Reset):
                result = dataclasses.replace(
                    result, server_ended=await self._has_ended(row)
                )
        except Exception:
            # The request may have run; it is treated like one without a valid
            # response.
            self._count_error()
            _LOG.exception(
                "send failed", extra={"id": order.metadata.request_id}
            )
            result = SendResult(end=Incomplete(detail="unexpected error"))
        except asyncio.CancelledError:
            _LOG.info(
                "send cancelled",
                extra={
                    "id": order.metadata.request_id,
                    "server": row.server.name,
                    "zone": row.server.zone,
                    "ms": round(1000 * (self._loop.time() - started_at), 1),
                },
            )
            raise
        finally:
            row.end_send(number)
        if is_same_process(server, row.server):
            self._record(row, result, order, started_at)
        self._log(row, result, order, started_at, selection)
        return result

    async def _has_ended(self, row: ServerRow) -> bool:
        """Return whether a server takes no connections any more.

        One connection that breaks proves no end.
        """
        try:
            connection = await connect(
                row.server.address,
                timeout_s=END_CHECK_TIMEOUT_S,
                body_bytes_max=0,
            )
        except ConnectionRefusedError:
            if self._processes is not None:
                self._processes.record_refusal(row)
            return True
        except (OSError, TimeoutError):
            return False
        connection.abort()
        return False

    async def check_health(
        self, row: ServerRow, path: str, timeout_s: float
    ) -> SendResult:
        """Ask a server how it is; return its response."""
        now = self._loop.time()
        connection = row.pop_idle(now, row.keep_alive_s)
        if connection is None:
            connection = await self._connect(row, now + timeout_s)
        if isinstance(connection, NotSent):
            return SendResult(end=connection)
        sent_at = self._loop.time()
        try:
            result = await self._ask_health(row, connection, path, timeout_s)
        finally:
            row.release(connection, self._loop.time())
        metadata = result.metadata
        if (
            self._processes is not None
            and metadata is not None
            and metadata.server == row.server.name
        ):
            self._processes.record_health(
                row, metadata, opened_at=connection.opened_at, sent_at=sent_at
            )
        return result

    async def _ask_health(
        self,
        row: ServerRow,
        connection: ClientConnection,
        path: str,
        timeout_s: float,
    ) -> SendResult:
        headers = self._header_codec.request_headers(
            [("Host", row.server.address)], row.server, timeout_s
        )
        described = describe_connection(connection, self._loop.time())
        try:
            end = await connection.exchange(
                OutgoingRequest(
                    method=b"GET",
                    target=encode_target(path).encode("ascii"),
                    headers=encode_headers(headers),
                    body=b"",
                    matches_request=lambda rows: True,
                ),
                timeout_s,
            )
        except BaseException:
            connection.abort()
            raise
        if not isinstance(end, Answered):
            return SendResult(end=end, connection=described)
        metadata = self._header_codec.response_metadata(
            end.status, list(end.headers)
        )
        if metadata.is_mixed:
            connection.abort()
            end = Mismatched(request_id=_SEVERAL)
            return SendResult(end=end, connection=described)
        return SendResult(end=end, metadata=metadata, connection=described)

    async def _ask_process(
        self,
        row: ServerRow,
        connection: ClientConnection,
        path: str,
        timeout_s: float,
    ) -> ResponseMetadata | None:
        result = await self._ask_health(row, connection, path, timeout_s)
        return result.metadata

    async def _exchange(self, row: ServerRow, order: SendOrder) -> SendResult:
        idle_max_s = (
            row.keep_alive_s if order.repeatable else UNREPEATABLE_IDLE_MAX_S
        )
        connection = row.pop_idle(self._loop.time(), idle_max_s)
        if connection is None:
            connection = await self._connect(row, order.deadline)
        if isinstance(connection, NotSent):
            return SendResult(end=connection)
        try:
            if not await self._is_admitted(row, connection, order.deadline):
                return SendResult(end=NotSent(detail="process is not known"))
            now = self._loop.time()
            remaining_s = order.deadline - now
            if remaining_s <= 0:
                return SendResult(end=NotSent(detail="deadline passed"))
            if now - order.chosen_at > _choice_valid_s(row, now):
                return SendResult(end=NotSent(detail="choice is too old"))
            if not row.is_usable or now < row.paused_until:
                return SendResult(end=NotSent(detail="server is not in use"))
            is_fresh = connection.exchanges == 0
            try:
                outgoing = self._outgoing_request(
                    row, order.request, order.metadata, remaining_s
                )
            except UnicodeError:
                return SendResult(end=NotSent(detail="head cannot be sent"))
            described = describe_connection(connection, now)
            sent_at = self._loop.time()
            end = await connection.exchange(outgoing, remaining_s)
            result = self._interpret(
                row,
                end,
                request_id=order.metadata.request_id,
                is_fresh=is_fresh,
            )
            if isinstance(result.end, Mismatched | Incomplete):
                connection.abort()
            elif result.metadata is not None and row.is_current(connection):
                row.process.apply_response(
                    connection.opened_at,
                    sent_at=sent_at,
                    now=self._loop.time(),
                    cold_start_s=row.cold_start_s,
                )
            return dataclasses.replace(result, connection=described)
        except BaseException:
            connection.abort()
            raise
        finally:
            row.release(connection, self._loop.time())

    async def _is_admitted(
        self, row: ServerRow, connection: ClientConnection, deadline: float
    ) -> bool:
        if self._checks is None:
            return True
        remaining_s = deadline - self._loop.time()
        return await self._checks.admit(
            row, connection, self._ask_process, remaining_s
        )

    async def _connect(
        self, row: ServerRow, deadline: float
    ) -> ClientConnection | NotSent:
        timeout_s = min(CONNECT_TIMEOUT_S, deadline - self._loop.time())
        row.connections += 1
        try:
            connection = await connect(
                row.server.address,
                timeout_s=timeout_s,
                body_bytes_max=RESPONSE_BYTES_MAX,
                memory=self._memory,
                turns=self._turns,
            )
        except (OSError, TimeoutError, ValueError, OverflowError) as exc:
            # Also for an address that no connection can have.
            row.connections -= 1
            if self._processes and isinstance(exc, ConnectionRefusedError):
                self._processes.record_refusal(row)
            return NotSent(detail=f"{CONNECT_FAILED}: {exc!r}")
        except BaseException:
            row.connections -= 1
            raise
        return connection

    def _outgoing_request(
        self,
        row: ServerRow,
        request: IncomingRequest,
        metadata: RequestMetadata,
        remaining_s: float,
    ) -> OutgoingRequest:
        headers = end_to_end(request.headers)
        headers = self._header_codec.request_headers(
            headers, row.server, remaining_s, metadata.caller
        )
        has_body = request.body or request.method not in ("GET", "HEAD")
        if has_body:
            headers.append(("Content-Length", str(len(request.body))))
        return OutgoingRequest(
            method=request.method.encode("ascii"),
            target=request.target.encode("ascii"),
            headers=encode_headers(headers),
            body=request.body,
            matches_request=lambda rows: self._matches_request(rows, metadata),
        )

    def _matches_request(
        self, headers: Headers, metadata: RequestMetadata
    ) -> bool:
        echoed = self._header_codec.response_metadata(200, headers).request_id
        return echoed is None or echoed == metadata.request_id

    def _interpret(
        self,
        row: ServerRow,
        end: ExchangeEnd,
        *,
        request_id: str,
        is_fresh: bool,
    ) -> SendResult:
        if not isinstance(end, Answered):
            return SendResult(end=end)
        headers = list(end.headers)
        metadata = self._header_codec.response_metadata(end.status, headers)
        if metadata.is_mixed:
            return SendResult(end=Mismatched(request_id=_SEVERAL))
        row.keep_alive_s = idle_limit_s(headers, row.keep_alive_s)
        is_matched = metadata.is_stamped and metadata.request_id == request_id
        # On a used connection it can be a late response to an earlier one.
        is_anonymous = metadata.request_id is None and not is_fresh
        if is_anonymous or (end.status < 300 and not is_matched):
            # Nothing proves that this response belongs to the request.
            return SendResult(
                end=Mismatched(request_id=metadata.request_id or "none"),
                metadata=metadata,
            )
        if any(name.lower() == "content-encoding" for name, _ in headers):
            detail = "response body was encoded in transit"
            return SendResult(end=Incomplete(detail=detail), metadata=metadata)
        if not metadata.not_run:
            return SendResult(end=end, metadata=metadata)
        return SendResult(
            end=Shed(reason=ShedReason.OVERLOAD), metadata=metadata
        )

    def _record(
        self,
        row: ServerRow,
        result: SendResult,
        order: SendOrder,
        started_at: float,
    ) -> None:
        now = self._loop.time()
        response = result.metadata
        if response is not None:
            row.answered_at = now
            is_own = not isinstance(result.end, Mismatched)
            if is_own and not response.is_other_server:
                apply_statements(
                    row,
                    response,
                    request_id=order.metadata.request_id,
                    sent_at=started_at,
                    now=now,
                )
        if response is not None and response.is_other_server:
            row.misdirected_until = now + MISDIRECTED_PAUSE_S
            row.close_idle()
        elif isinstance(result.end, NotSent):
            if result.end.detail.startswith(CONNECT_FAILED):
                eject(row.health, now)
        else:
            record(
                row.health,
                result.end,
                now - started_at,
                order.typical_s,
                now,
            )

    def _log(
        self,
        row: ServerRow,
        result: SendResult,
        order: SendOrder,
        started_at: float,
        selection: dict[str, Any],
    ) -> None:
        now = self._loop.time()
        response = result.metadata
        _LOG.info(
            "send finished",
            extra={
                "id": order.metadata.request_id,
                "key": order.metadata.affinity_key,
                "target": order.request.target,
                "server": row.server.name,
                "zone": row.server.zone,
                "ms": round(1000 * (now - started_at), 1),
                "end": type(result.end).__name__,
                "status": getattr(result.end, "status", None),
                "detail": getattr(result.end, "detail", None),
                "load": dataclasses.asdict(response.load)
                if response is not None and response.load is not None
                else None,
                "in_flight": row.load.in_flight,
                "attempt": order.attempt,
                **selection,
                **result.connection,
            },
        )


def _choice_valid_s(row: ServerRow, now: float) -> float:
    return COLD_CHOICE_VALID_S if now < row.cold_until else CHOICE_VALID_S
