"""Request path of an edge instance: routing, retries and hedging."""

import asyncio
import collections
import dataclasses
from collections.abc import Callable
from collections.abc import Collection

import logbook

from chiverun.core.accounts import UndecidedKey
from chiverun.core.accounts import UnknownKey
from chiverun.core.catalog import Machine
from chiverun.core.catalog import Route
from chiverun.core.catalog import RouteTable
from chiverun.core.edgesettings import EdgeBounds
from chiverun.core.errors import ResultCode
from chiverun.core.exchange import Answered
from chiverun.core.ids import ServiceName
from chiverun.core.quota import AccountQuotas
from chiverun.core.quota import Exceeded
from chiverun.core.sendbudget import BudgetBounds
from chiverun.core.sendbudget import SendBudget
from chiverun.core.splits import SplitTable
from chiverun.core.suspects import EndedServer
from chiverun.core.suspects import Fingerprint
from chiverun.core.suspects import SuspectTable
from chiverun.integrations.asyncserver import IncomingRequest
from chiverun.integrations.asyncserver import OutgoingResponse
from chiverun.runtime.callers import Caller
from chiverun.runtime.callers import Callers
from chiverun.runtime.callers import DisjointHomes
from chiverun.runtime.connectionheaders import end_to_end
from chiverun.runtime.edgemetrics import EdgeMetrics
from chiverun.runtime.headercodec import HeaderCodec
from chiverun.runtime.headercodec import RequestMetadata
from chiverun.runtime.refusals import KeyRevoked
from chiverun.runtime.refusals import refusal_reason
from chiverun.runtime.refusals import Refusals
from chiverun.runtime.routelatencies import RouteLatencies
from chiverun.runtime.selection import LimitReached
from chiverun.runtime.selection import make_placement
from chiverun.runtime.selection import Overloaded
from chiverun.runtime.selection import queue_factor
from chiverun.runtime.selection import Selector
from chiverun.runtime.sending import Sender
from chiverun.runtime.sending import SendOrder
from chiverun.runtime.sending import SendResult
from chiverun.runtime.servertable import ServerRow
from chiverun.runtime.steeredrequest import Request
from chiverun.runtime.steeredrequest import Send
from chiverun.runtime.stopping import may_outlast
from chiverun.runtime.stopping import StopProgress
from chiverun.runtime.stopping import TIMEOUT_SLACK_S

_LOG = logbook.Logger("request")

# Deadline of a request whose client sets none; the route's timeout still
# applies.
DEADLINE_DEFAULT_S = 30.0
# A request is hedged once it has taken this many times the route's typical
# latency and at least this fraction of the route's latency objective.
HEDGE_LATENCY_FACTOR = 3.0
HEDGE_OBJECTIVE_FRACTION = 0.9
# Statuses that promise a caller that its request has not run and will not.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
# Sends per request, including those that did not run.
SENDS_MAX = 4


class Steering:
    """Serves clients' requests according to the current catalog."""

    def __init__(
        self,
        *,
        header_codec: HeaderCodec,
        selector: Selector,
        sender: Sender,
        bounds: EdgeBounds,
        fleet: Callable[[], Collection[Machine]],
        catalog_age_s: Callable[[], float],
        metrics: EdgeMetrics,
        stop_progress: Callable[[], StopProgress | None],
        suspects: SuspectTable,
        on_end: Callable[[Fingerprint, EndedServer, str, float], None],
        quotas: AccountQuotas,
        arrivals: collections.Counter[ServiceName],
    ) -> None:
        self.routes: RouteTable | None = None
        self.callers = Callers(
            catalog_age_s=catalog_age_s, key_trust_s=bounds.key_trust_s
        )
        self._refusals = Refusals(metrics=metrics)
        self._quotas = quotas
        self._arrivals = arrivals
        self._header_codec = header_codec
        self._selector = selector
        self._sender = sender
        self._bounds = bounds
        self._fleet = fleet
        self._catalog_age_s = catalog_age_s
        self._metrics = metrics
        self._stop_progress = stop_progress
        self._suspects = suspects
        self._on_end = on_end
        self._splits = SplitTable()
        self._budgets: dict[ServiceName, SendBudget] = {}
        self._latencies = RouteLatencies()
        self._loop = asyncio.get_running_loop()

    async def handle(self, incoming: IncomingRequest) -> OutgoingResponse:
        """Serve a client's request.

        A stopping instance rejects a request that may outlast it.
        """
        metadata = self._header_codec.request_metadata(incoming)
        if self.routes is None:
            return self._refusals.not_run(
                metadata, "no desired state has been received yet"
            )
        path = incoming.target.partition("?")[0]
        host = (incoming.header("host") or "").partition(":")[0]
        route = self.routes.find(host, path)
        if route is None:
            self._log(metadata, 404, "no route", version=self.routes.version)
            return OutgoingResponse(status=404, headers=[])
        details = {"route": route.name, **self._state_age()}
        if route.fault is not None:
            return self._refusals.not_run(
                metadata,
                "route cannot be read",
                code=ResultCode.ROUTE_UNREADABLE,
                **details,
            )
        match self.callers.identify(metadata, route):
            case UnknownKey():
                return self._refusals.unknown_key(metadata, **details)
            case UndecidedKey(reason=reason):
                return self._refusals.not_run(
                    metadata,
                    f"key undecided: {reason}",
                    code=ResultCode.API_KEY_UNDECIDED,
                    **details,
                )
            case DisjointHomes(account=account):
                return self._refusals.not_run(
                    metadata,
                    "homes of route and account are disjoint",
                    code=ResultCode.ACCOUNT_HOMES_DISJOINT,
                    account=account.name,
                    **details,
                )
            case Caller() as caller:
                pass
        if self._may_outlast(route):
            return self._refusals.not_run(metadata, "stopping", **details)
        request = self._new_request(incoming, metadata, route, caller)
        if self._is_suspect(request):
            return self._refuse_suspect(request)
        try:
            return await self._serve_within_quota(request)
        except asyncio.CancelledError:
            self._log(metadata, 0, "client left", route=route.name)
            raise
        finally:
            for task in request.pending:
                task.cancel()

    def _new_request(
        self,
        incoming: IncomingRequest,
        metadata: RequestMetadata,
        route: Route,
        caller: Caller,
    ) -> Request:
        service = self._splits.choose(
            f"{route.host}{route.prefix}", route.parts
        )
        self._arrivals[service] += 1
        budget = self._budget(service)
        budget.record_request(self._loop.time())
        deadline_s = metadata.deadline_s
        if deadline_s is None:
            deadline_s = DEADLINE_DEFAULT_S
        limit_s = min(deadline_s, route.timeout_s + TIMEOUT_SLACK_S)
        return Request(
            incoming=incoming,
            metadata=dataclasses.replace(metadata, caller=caller.identity),
            route=route,
            service=service,
            placement=make_placement(
                route,
                service,
                caller.permitted_regions,
                metadata.affinity_key,
                metadata.request_id,
                self._latencies.typical_s(route),
                self._latencies.run_s(route),
            ),
            deadline=incoming.arrived_at + limit_s,
            account=caller.account,
        )

    async def _serve_within_quota(self, request: Request) -> OutgoingResponse:
        """Serve a request if its account is within its limit."""
        account = request.account
        if account is None or account.per_s is None:
            return await self._serve(request)
        outcome = await self._quotas.admit(account, request.deadline)
        if isinstance(outcome, Exceeded):
            return self._refusals.over_quota(
                request.metadata, outcome, **self._details(request)
            )
        try:
            return await self._serve(request)
        finally:
            if request.runs == 0:
                self._quotas.give_back(account)

    async def _serve(self, request: Request) -> OutgoingResponse:
        if not self._start_send(request):
            return self._refuse(request, refusal_reason(request.refusal))
        while True:
            done, _ = await asyncio.wait(
                request.pending,
                timeout=self._wait_time_s(request),
                return_when=asyncio.FIRST_COMPLETED,
            )
            for task in done:
                send = request.pending.pop(task)
                response = self._handle_result(request, send, task.result())
                if response is not None:
                    return response
            now = self._loop.time()
            if now >= request.deadline:
                return self._fail(request, "timeout")
            if not request.pending:
                if self._is_suspect(request):
                    return self._refuse_suspect(request)
                if not self._retry(request):
                    return self._fail(request, "no further send")
            elif not done:
                self._retry(request)

    def _wait_time_s(self, request: Request) -> float:
        """Return the time until the next hedge or the deadline."""
        now = self._loop.time()
        remaining_s = max(0.0, request.deadline - now)
        hedge_at = request.incoming.arrived_at + max(
            HEDGE_LATENCY_FACTOR * self._latencies.typical_s(request.route),
            HEDGE_OBJECTIVE_FRACTION * request.route.objective_s,
        )
        may_hedge = (
            request.route.repeatable
            and len(request.pending) == 1
            and request.runs < request.route.attempts
            and now < hedge_at
        )
        return min(remaining_s, hedge_at - now) if may_hedge else remaining_s

    def _retry(self, request: Request) -> bool:
        may_have_run = request.runs > 0
        if may_have_run and not request.route.repeatable:
            return False
        if request.runs >= request.route.attempts:
            return False
        if request.sends >= SENDS_MAX:
            return False
        if self._is_suspect(request):
            return False
        if self._may_outlast(request.route):
            return False
        return self._start_send(request)

    def _may_outlast(self, route: Route) -> bool:
        """Return whether a send of a request may outlast this instance."""
        stopping = self._stop_progress()
        return stopping is not None and may_outlast(
            stopping, route, self._latencies.typical_s(route)
        )

    def _start_send(self, request: Request) -> bool:
        now = self._loop.time()
        budget = self._budget(request.service)
        machines = len(self._fleet())
        if self.callers.is_revoked(request.metadata, request.account):
            request.refusal = KeyRevoked()
            return False
        # Before the choice of a server, which uses up limits.
        if request.sends and not budget.allows(now, machines):
            self._metrics.budget_refused.add(1)
            return False
        spec = self.routes.service(request.service)
        row = self._selector.choose(
            request.placement, spec, request.tried, now
        )
        match row:
            case None:
                return False
            case Overloaded():
                request.refusal = row
                self._metrics.overload_refused.add(1)
                return False
            case LimitReached():
                request.refusal = row
                self._metrics.limit_refused.add(1)
                return False
        if request.sends:
            budget.try_consume(now, machines)
        if row.limit.per_s is not None:
            self._metrics.limited_sends.add(1)
        request.sends += 1
        request.runs += 1
        request.tried.add(row.server.name)
        send = Send(
            row=row, started_at=now, queue_factor=queue_factor(row, now)
        )
        order = SendOrder(
            request=request.incoming,
            metadata=request.metadata,
            repeatable=request.route.repeatable,
            deadline=request.deadline,
            typical_s=self._latencies.typical_s(request.route),
            chosen_at=now,
            attempt=request.sends,
        )
        task = self._sender.start(row, order)
        request.pending[task] = send
        return True

    def _handle_result(
        self, request: Request, send: Send, result: SendResult
    ) -> OutgoingResponse | None:
        """Return the response if the result completes the request."""
        self._metrics.sends.add(1, {"end": type(result.end).__name__})
        if result.server_ended:
            server = send.row.server
            ended = EndedServer(
                server=server.name, started_ms=server.started_ms
            )
            self._on_end(
                request.fingerprint,
                ended,
                request.metadata.request_id,
                send.started_at,
            )
        elif isinstance(result.end, Answered):
            now = self._loop.time()
            self._suspects.record_answer(request.fingerprint, now)
        if result.is_not_run:
            request.runs -= 1
            return None
        match result.end:
            case Answered() as answer:
                return self._handle_answer(request, send, answer)
            case _:
                return None

    def _handle_answer(
        self, request: Request, send: Send, answer: Answered
    ) -> OutgoingResponse | None:
        if answer.status in NOT_RUN_STATUSES:
            # The server does not say that the request has not run.
            return None
        if answer.status < 500:
            if answer.status < 300:
                self._record_latency(request, send)
            return self._forward(request, send.row, answer)
        request.failure = answer
        if request.route.repeatable:
            return None
        return self._forward(request, send.row, answer)

    def _forward(
        self, request: Request, row: ServerRow | None, answer: Answered
    ) -> OutgoingResponse:
        self._log(
            request.metadata,
            answer.status,
            "forwarded",
            route=request.route.name,
            server=row.server.name if row else None,
            **self._timing(request),
        )
        self._metrics.record_request(
            answer.status, self._loop.time() - request.incoming.arrived_at
        )
        headers = end_to_end(list(answer.headers))
        if request.incoming.method == "HEAD":
            headers += [
                (name, value)
                for name, value in answer.headers
                if name.lower() == "content-length"
            ]
        return OutgoingResponse(
            status=answer.status, headers=headers, body=answer.body
        )

    def _fail(self, request: Request, reason: str) -> OutgoingResponse:
        """Return the response to a request that no server completed."""
        if request.failure is not None and not request.pending:
            return self._forward(request, None, request.failure)
        if request.runs == 0 and not request.pending:
            return self._refuse(request, reason)
        status = 504 if reason == "timeout" else 502
        self._log(
            request.metadata,
            status,
            reason,
            route=request.route.name,
            **self._timing(request),
        )
        self._metrics.record_request(
            status, self._loop.time() - request.incoming.arrived_at
        )
        return OutgoingResponse(status=status, headers=[])

    def _refuse(self, request: Request, reason: str) -> OutgoingResponse:
        """Return the response to a request that has not run and will not."""
        details = self._details(request)
        match request.refusal:
            case KeyRevoked():
                return self._refusals.unknown_key(request.metadata, **details)
            case Overloaded(wait_s=wait_s) | LimitReached(wait_s=wait_s):
                pass
            case None:
                wait_s = None
        return self._refusals.not_run(
            request.metadata, reason, wait_s=wait_s, **details
        )

    def _refuse_suspect(self, request: Request) -> OutgoingResponse:
        ends = self._suspects.ends(request.fingerprint)
        return self._refusals.ends_servers(
            request.metadata,
            request=request.fingerprint.hex(),
            servers=[end.server for end in ends],
            **self._details(request),
        )

    def _is_suspect(self, request: Request) -> bool:
        """Return whether a request may be sent to no further server."""
        now = self._loop.time()
        return bool(self._suspects) and self._suspects.is_blocked(
            request.fingerprint, now
        )

    def _budget(self, service: ServiceName) -> SendBudget:
        budget = self._budgets.get(service)
        if budget is None:
            bounds = BudgetBounds(
                ratio=self._bounds.retry_ratio,
                extra=self._bounds.retry_extra,
                window_s=self._bounds.retry_window_s,
            )
            budget = self._budgets[service] = SendBudget(bounds=bounds)
        return budget

    def _record_latency(self, request: Request, send: Send) -> None:
        now = self._loop.time()
        run_s = (now - send.started_at) / send.queue_factor
        usual_s = self._latencies.run_s(request.route)
        if usual_s > 0:
            send.row.load.record_run(run_s / usual_s)
        self._latencies.record(
            request.route,
            response_s=now - request.incoming.arrived_at,
            run_s=run_s,
        )

    def _details(self, request: Request) -> dict:
        """Return what is logged of a request that ends."""
        account = request.account
        return {
            "route": request.route.name,
            "account": account.name if account is not None else None,
            **self._timing(request),
        }

    def _timing(self, request: Request) -> dict:
        now = self._loop.time()
        return {
            "service": request.service,
            "ms": round(1000 * (now - request.incoming.arrived_at), 1),
            "sends": request.sends,
            **self._state_age(),
        }

    def _state_age(self) -> dict:
        return {
            "version": self.routes.version,
            "catalog_age_ms": round(1000 * self._catalog_age_s()),
        }

    def _log(
        self, metadata: RequestMetadata, status: int, reason: str, **extra
    ) -> None:
        _LOG.info(
            reason,
            extra={"id": metadata.request_id, "status": status, **extra},
        )
