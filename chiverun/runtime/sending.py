"""One send of a request to one server."""

import asyncio
import dataclasses
import itertools
import math

import logbook

from chiverun.core.exchange import Answered
from chiverun.core.exchange import ExchangeEnd
from chiverun.core.exchange import Incomplete
from chiverun.core.exchange import Mismatched
from chiverun.core.exchange import NotSent
from chiverun.core.exchange import Shed
from chiverun.core.exchange import ShedReason
from chiverun.core.health import eject
from chiverun.core.health import record
from chiverun.integrations.asyncclient import ClientConnection
from chiverun.integrations.asyncclient import connect
from chiverun.integrations.asyncclient import OutgoingRequest
from chiverun.integrations.asyncserver import Headers
from chiverun.integrations.asyncserver import IncomingRequest
from chiverun.runtime.headercodec import HeaderCodec
from chiverun.runtime.headercodec import RequestMetadata
from chiverun.runtime.headercodec import ResponseMetadata
from chiverun.runtime.servertable import MISDIRECTED_S
from chiverun.runtime.servertable import ServerRow

_LOG = logbook.Logger("send")

CONNECT_TIMEOUT_S = 0.5
RESPONSE_BYTES_MAX = 32 * 1024 * 1024
# A connection that idled longer may be closed by its server at the moment
# it is used, which leaves open whether the request ran.
UNREPEATABLE_IDLE_MAX_S = 1.0
# Kept connections are left this long before their server closes them.
KEEP_ALIVE_MARGIN_S = 0.5

_HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
_OWN_FRAMING = frozenset({"content-length", "expect"})


@dataclasses.dataclass(frozen=True, kw_only=True)
class SendResult:
    """How a send ended and what the response said."""

    end: ExchangeEnd
    facts: ResponseMetadata | None = None

    @property
    def is_not_run(self) -> bool:
        """Tell whether it is proved that the request did not run."""
        return isinstance(self.end, NotSent | Shed)


class Sender:
    """Sends requests and records what servers' responses tell."""

    def __init__(self, *, header_codec: HeaderCodec) -> None:
        self._header_codec = header_codec
        self._loop = asyncio.get_running_loop()
        self._numbers = itertools.count()

    async def send(
        self,
        row: ServerRow,
        request: IncomingRequest,
        facts: RequestMetadata,
        *,
        repeatable: bool,
        until: float,
        usual_s: float,
    ) -> SendResult:
        """Send a request once; `until` is the loop's time of its deadline."""
        number = next(self._numbers)
        started_at = self._loop.time()
        known_load = _known_load(row, started_at)
        row.load.in_flight += 1
        row.waiting[number] = started_at
        try:
            result = await self._exchange(
                row, request, facts, repeatable, until
            )
        except asyncio.CancelledError:
            _LOG.info(
                "send cancelled",
                extra={
                    "id": facts.request_id,
                    "server": row.server.name,
                    "zone": row.server.zone,
                    "ms": round(1000 * (self._loop.time() - started_at), 1),
                },
            )
            raise
        finally:
            row.load.in_flight -= 1
            del row.waiting[number]
        self._record(row, result, request, facts, started_at, usual_s)
        self._log(row, result, request, facts, started_at, known_load)
        return result

    async def _exchange(
        self,
        row: ServerRow,
        request: IncomingRequest,
        facts: RequestMetadata,
        repeatable: bool,
        until: float,
    ) -> SendResult:
        idle_max_s = (
            row.keep_alive_s if repeatable else UNREPEATABLE_IDLE_MAX_S
        )
        connection = row.take_idle(self._loop.time(), idle_max_s)
        if connection is None:
            connection = await self._open(row, until)
        if isinstance(connection, NotSent):
            return SendResult(end=connection)
        try:
            remaining_s = until - self._loop.time()
            if remaining_s <= 0:
                return SendResult(end=NotSent(detail="deadline passed"))
            end = await connection.exchange(
                self._outgoing(row, request, facts, remaining_s), remaining_s
            )
            result = self._interpret(row, end, request_id=facts.request_id)
            if isinstance(result.end, Mismatched | Incomplete):
                connection.abort()
            return result
        except BaseException:
            connection.abort()
            raise
        finally:
            row.keep(connection, self._loop.time())

    async def _open(
        self, row: ServerRow, until: float
    ) -> ClientConnection | NotSent:
        timeout_s = min(CONNECT_TIMEOUT_S, until - self._loop.time())
        row.connections += 1
        try:
            connection = await connect(
                row.server.address,
                timeout_s=timeout_s,
                body_bytes_max=RESPONSE_BYTES_MAX,
            )
        except (OSError, TimeoutError) as exc:
            row.connections -= 1
            return NotSent(detail=f"connect: {exc!r}")
        except BaseException:
            row.connections -= 1
            raise
        return connection

    def _outgoing(
        self,
        row: ServerRow,
        request: IncomingRequest,
        facts: RequestMetadata,
        remaining_s: float,
    ) -> OutgoingRequest:
        headers = end_to_end(request.headers)
        headers = self._header_codec.request_headers(
            headers, row.server, remaining_s
        )
        has_body = request.body or request.method not in ("GET", "HEAD")
        if has_body:
            headers.append(("Content-Length", str(len(request.body))))
        return OutgoingRequest(
            method=request.method.encode("ascii"),
            target=request.target.encode("ascii"),
            headers=[
                (name.encode("latin-1"), value.encode("latin-1"))
                for name, value in headers
            ],
            body=request.body,
            matches_request=lambda rows: self._matches_request(rows, facts),
        )

    def _matches_request(
        self, headers: Headers, facts: RequestMetadata
    ) -> bool:
        echoed = self._header_codec.response_metadata(200, headers).request_id
        return echoed is None or echoed == facts.request_id

    def _interpret(
        self, row: ServerRow, end: ExchangeEnd, *, request_id: str
    ) -> SendResult:
        if not isinstance(end, Answered):
            return SendResult(end=end)
        headers = list(end.headers)
        facts = self._header_codec.response_metadata(end.status, headers)
        _note_keep_alive(row, headers)
        is_named = facts.is_stamped and facts.request_id == request_id
        if end.status < 300 and not is_named:
            # Nothing shows that the server made this success for the request.
            return SendResult(
                end=Mismatched(request_id=facts.request_id or "none"),
                facts=facts,
            )
        if any(name.lower() == "content-encoding" for name, _ in headers):
            detail = "the body is not as the server made it"
            return SendResult(end=Incomplete(detail=detail), facts=facts)
        if not facts.not_run:
            return SendResult(end=end, facts=facts)
        return SendResult(end=Shed(reason=ShedReason.OVERLOAD), facts=facts)

    def _record(
        self,
        row: ServerRow,
        result: SendResult,
        request: IncomingRequest,
        facts: RequestMetadata,
        started_at: float,
        usual_s: float,
    ) -> None:
        now = self._loop.time()
        said = result.facts
        if said is not None:
            row.answered_at = now
            if said.load is not None:
                row.load.report(said.load.running, said.load.waiting, now)
            if said.cold_s:
                row.cold_until = max(row.cold_until, now + said.cold_s)
        if said is not None and said.is_other_server:
            row.misdirected_until = now + MISDIRECTED_S
            row.close_idle()
        elif isinstance(result.end, NotSent):
            if now - started_at > 0 and "deadline" not in result.end.detail:
                eject(row.health, now)
        else:
            record(row.health, result.end, now - started_at, usual_s, now)

    def _log(
        self,
        row: ServerRow,
        result: SendResult,
        request: IncomingRequest,
        facts: RequestMetadata,
        started_at: float,
        known_load: dict,
    ) -> None:
        now = self._loop.time()
        said = result.facts
        _LOG.info(
            "sent",
            extra={
                "id": facts.request_id,
                "key": facts.affinity_key,
                "target": request.target,
                "server": row.server.name,
                "zone": row.server.zone,
                "ms": round(1000 * (now - started_at), 1),
                "end": type(result.end).__name__,
                "status": getattr(result.end, "status", None),
                "detail": getattr(result.end, "detail", None),
                "load": dataclasses.asdict(said.load)
                if said is not None and said.load is not None
                else None,
                "in_flight": row.load.in_flight,
                **known_load,
            },
        )


def _known_load(row: ServerRow, now: float) -> dict:
    """Return the load that a choice rested on and the age of its report."""
    age_s = now - row.load.reported_at
    return {
        "load_at_choice": round(row.load.total(now), 1),
        "load_age_ms": round(1000 * age_s) if age_s < math.inf else None,
    }


def end_to_end(headers: Headers) -> Headers:
    """Return the headers that concern more than one connection."""
    named = {
        token.strip().lower()
        for name, value in headers
        if name.lower() == "connection"
        for token in value.split(",")
    }
    dropped = _HOP_BY_HOP | _OWN_FRAMING | (named - {"host"})
    return [
        (name, value) for name, value in headers if name.lower() not in dropped
    ]


def _note_keep_alive(row: ServerRow, headers: Headers) -> None:
    for name, value in headers:
        if name.lower() != "keep-alive":
            continue
        for part in value.split(","):
            key, _, text = part.strip().partition("=")
            if key == "timeout" and text.isdigit():
                row.keep_alive_s = max(0.0, int(text) - KEEP_ALIVE_MARGIN_S)
