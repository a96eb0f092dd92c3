"""Request path of an edge instance: from a client to a server and back."""

import asyncio
import dataclasses
from collections.abc import Callable

import logbook

from chiverun.core.catalog import Route
from chiverun.core.catalog import RouteTable
from chiverun.core.edgesettings import EdgeBounds
from chiverun.core.exchange import Answered
from chiverun.core.ids import InstanceId
from chiverun.core.ids import ServerName
from chiverun.core.ids import ServiceName
from chiverun.core.sendbudget import BudgetBounds
from chiverun.core.sendbudget import SendBudget
from chiverun.core.splits import SplitTable
from chiverun.integrations.asyncserver import IncomingRequest
from chiverun.integrations.asyncserver import OutgoingResponse
from chiverun.runtime.edgemetrics import EdgeMetrics
from chiverun.runtime.headercodec import HeaderCodec
from chiverun.runtime.headercodec import RequestMetadata
from chiverun.runtime.selection import Overloaded
from chiverun.runtime.selection import Placement
from chiverun.runtime.selection import placement
from chiverun.runtime.selection import queue_factor
from chiverun.runtime.selection import RUN_OBJECTIVE_PART
from chiverun.runtime.selection import Selector
from chiverun.runtime.sending import end_to_end
from chiverun.runtime.sending import Sender
from chiverun.runtime.sending import SendResult
from chiverun.runtime.servertable import ServerRow

_LOG = logbook.Logger("request")

# Waited for a request whose client names no time, if its route allows more.
DEADLINE_DEFAULT_S = 30.0
# A response that is on its way at the route's timeout is still delivered.
TIMEOUT_SLACK_S = 0.1
# Told to clients whose request did not run, unless a longer wait for a slot
# is expected.
RETRY_AFTER_S = 0.3
RETRY_AFTER_MAX_S = 3.0
# A second server is asked when the first needs this many times the usual
# time of its route, and at least this part of the route's objective.
HEDGE_USUAL_FACTOR = 3.0
HEDGE_OBJECTIVE_PART = 0.9
# An instance that stops takes requests that end in this many times the usual
# time of their route; later on only those whose timeout it outlasts, since
# clients have been told by then to go elsewhere.
STOP_USUAL_FACTOR = 4.0
STOP_LATE_S = 2.8
# Sends of one request, those that did not run included.
SENDS_MAX = 4
USUAL_WEIGHT = 0.05


@dataclasses.dataclass(kw_only=True)
class Request:
    """A client's request while it is served; times are the loop's."""

    incoming: IncomingRequest
    facts: RequestMetadata
    route: Route
    service: ServiceName
    place: Placement
    until: float
    # Sends that may have run.
    runs: int = 0
    sends: int = 0
    tried: set[ServerName] = dataclasses.field(default_factory=set)
    failure: Answered | None = None
    pending: dict[asyncio.Task[SendResult], "Send"] = dataclasses.field(
        default_factory=dict
    )
    # Shortest wait for a slot when no server would have answered in time.
    overload_s: float | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Stopping:
    """How long ago an instance was asked to stop, and when it ends."""

    since_s: float
    ends_in_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Send:
    """One send under way; `queue_factor` is the expected wait's effect."""

    row: ServerRow
    started_at: float
    queue_factor: float


class Steering:
    """Serves clients' requests by the catalog in force."""

    def __init__(
        self,
        *,
        header_codec: HeaderCodec,
        selector: Selector,
        sender: Sender,
        bounds: EdgeBounds,
        machines: Callable[[], set[InstanceId]],
        catalog_age_s: Callable[[], float],
        metrics: EdgeMetrics,
    ) -> None:
        self.routes: RouteTable | None = None
        self._header_codec = header_codec
        self._selector = selector
        self._sender = sender
        self._bounds = bounds
        self._machines = machines
        self._catalog_age_s = catalog_age_s
        self._metrics = metrics
        self._splits = SplitTable()
        self._budgets: dict[ServiceName, SendBudget] = {}
        self._usual: dict[str, float] = {}
        self._runs: dict[str, float] = {}
        self._loop = asyncio.get_running_loop()

    async def handle(
        self, incoming: IncomingRequest, stopping: Stopping | None
    ) -> OutgoingResponse:
        """Serve one request of a client.

        One that may outlast an instance that is stopping is refused.
        """
        facts = self._header_codec.request_metadata(incoming)
        if self.routes is None:
            return self._refuse(facts, "no desired state is known yet")
        path = incoming.target.partition("?")[0]
        host = (incoming.header("host") or "").partition(":")[0]
        route = self.routes.find(host, path)
        if route is None:
            self._log(facts, 404, "no route", version=self.routes.version)
            return OutgoingResponse(status=404, headers=[])
        if stopping and may_outlast(stopping, route, self._usual_s(route)):
            return self._refuse(facts, "stopping")
        request = self._request(incoming, facts, route)
        try:
            return await self._serve(request)
        except asyncio.CancelledError:
            self._log(facts, 0, "client left", route=route.name)
            raise
        finally:
            for task in request.pending:
                task.cancel()

    def _request(
        self, incoming: IncomingRequest, facts: RequestMetadata, route: Route
    ) -> Request:
        service = self._splits.choose(
            f"{route.host}{route.prefix}", route.parts
        )
        budget = self._budget(service)
        budget.note_request(self._loop.time())
        deadline_s = facts.deadline_s or DEADLINE_DEFAULT_S
        limit_s = min(deadline_s, route.timeout_s + TIMEOUT_SLACK_S)
        return Request(
            incoming=incoming,
            facts=facts,
            route=route,
            service=service,
            place=placement(
                route,
                service,
                facts.affinity_key,
                facts.request_id,
                self._usual_s(route),
                self._run_s(route),
            ),
            until=incoming.arrived_at + limit_s,
        )

    async def _serve(self, request: Request) -> OutgoingResponse:
        if not self._start_send(request):
            reason = "no server may get it"
            if request.overload_s is not None:
                reason = "overload"
            return self._refuse(request.facts, reason, request)
        while True:
            done, _ = await asyncio.wait(
                request.pending,
                timeout=self._wait_s(request),
                return_when=asyncio.FIRST_COMPLETED,
            )
            for task in done:
                send = request.pending.pop(task)
                response = self._take(request, send, task.result())
                if response is not None:
                    return response
            now = self._loop.time()
            if now >= request.until:
                return self._give_up(request, "timeout")
            if not request.pending:
                if not self._send_again(request):
                    return self._give_up(request, "no further send")
            elif not done:
                self._send_again(request)

    def _wait_s(self, request: Request) -> float:
        """Return how long to wait before a second server is asked."""
        now = self._loop.time()
        remaining_s = max(0.0, request.until - now)
        hedge_at = request.incoming.arrived_at + max(
            HEDGE_USUAL_FACTOR * self._usual_s(request.route),
            HEDGE_OBJECTIVE_PART * request.route.objective_s,
        )
        may_hedge = (
            request.route.repeatable
            and len(request.pending) == 1
            and request.runs < request.route.attempts
            and now < hedge_at
        )
        return min(remaining_s, hedge_at - now) if may_hedge else remaining_s

    def _send_again(self, request: Request) -> bool:
        may_have_run = request.runs > 0
        if may_have_run and not request.route.repeatable:
            return False
        if request.runs >= request.route.attempts:
            return False
        if request.sends >= SENDS_MAX:
            return False
        return self._start_send(request)

    def _start_send(self, request: Request) -> bool:
        now = self._loop.time()
        spec = self.routes.services.get(request.service)
        row = self._selector.choose(request.place, spec, request.tried, now)
        match row:
            case None:
                return False
            case Overloaded(wait_s=wait_s):
                request.overload_s = wait_s
                self._metrics.overload_refused.add(1)
                return False
        if request.sends and not self._budget(request.service).try_consume(
            now, len(self._machines())
        ):
            self._metrics.budget_refused.add(1)
            return False
        request.sends += 1
        request.runs += 1
        request.tried.add(row.server.name)
        send = Send(
            row=row, started_at=now, queue_factor=queue_factor(row, now)
        )
        task = self._loop.create_task(
            self._sender.send(
                row,
                request.incoming,
                request.facts,
                repeatable=request.route.repeatable,
                until=request.until,
                usual_s=self._usual_s(request.route),
            )
        )
        request.pending[task] = send
        return True

    def _take(
        self, request: Request, send: Send, result: SendResult
    ) -> OutgoingResponse | None:
        """Return the response if a send's end settles the request."""
        self._metrics.sends.add(1, {"end": type(result.end).__name__})
        if result.is_not_run:
            request.runs -= 1
            return None
        match result.end:
            case Answered() as answer:
                return self._take_answer(request, send, answer)
            case _:
                return None

    def _take_answer(
        self, request: Request, send: Send, answer: Answered
    ) -> OutgoingResponse | None:
        if answer.status < 500:
            if answer.status < 300:
                self._note_time(request, send)
            return self._forward(request, send.row, answer)
        request.failure = answer
        if request.route.repeatable:
            return None
        return self._forward(request, send.row, answer)

    def _forward(
        self, request: Request, row: ServerRow | None, answer: Answered
    ) -> OutgoingResponse:
        self._log(
            request.facts,
            answer.status,
            "forwarded",
            route=request.route.name,
            server=row.server.name if row else None,
            **self._timing(request),
        )
        self._metrics.note_request(
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

    def _give_up(self, request: Request, reason: str) -> OutgoingResponse:
        """Answer a request that no server answered well."""
        if request.failure is not None and not request.pending:
            return self._forward(request, None, request.failure)
        if request.runs == 0 and not request.pending:
            return self._refuse(request.facts, reason, request)
        status = 504 if reason == "timeout" else 502
        self._log(
            request.facts,
            status,
            reason,
            route=request.route.name,
            **self._timing(request),
        )
        self._metrics.note_request(
            status, self._loop.time() - request.incoming.arrived_at
        )
        return OutgoingResponse(status=status, headers=[])

    def _refuse(
        self,
        facts: RequestMetadata,
        reason: str,
        request: Request | None = None,
    ) -> OutgoingResponse:
        """Answer that the request did not run and will not."""
        timing = self._timing(request) if request is not None else {}
        wait_s = request.overload_s if request is not None else None
        retry_s = min(RETRY_AFTER_MAX_S, max(RETRY_AFTER_S, wait_s or 0.0))
        self._log(facts, 503, reason, wait_s=wait_s, **timing)
        self._metrics.note_request(503, 0.0)
        return OutgoingResponse(
            status=503, headers=[("Retry-After", f"{retry_s:.3g}")]
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

    def _usual_s(self, route: Route) -> float:
        return self._usual.get(route.prefix, route.objective_s / 2)

    def _run_s(self, route: Route) -> float:
        return self._runs.get(
            route.prefix, RUN_OBJECTIVE_PART * route.objective_s
        )

    def _note_time(self, request: Request, send: Send) -> None:
        now = self._loop.time()
        route = request.route
        _smooth(
            self._usual,
            route.prefix,
            now - request.incoming.arrived_at,
            self._usual_s(route),
        )
        run_s = (now - send.started_at) / send.queue_factor
        _smooth(self._runs, route.prefix, run_s, self._run_s(route))

    def _timing(self, request: Request) -> dict:
        now = self._loop.time()
        return {
            "service": request.service,
            "ms": round(1000 * (now - request.incoming.arrived_at), 1),
            "sends": request.sends,
            "version": self.routes.version,
            "catalog_age_ms": round(1000 * self._catalog_age_s()),
        }

    def _log(
        self, facts: RequestMetadata, status: int, reason: str, **extra
    ) -> None:
        _LOG.info(
            reason,
            extra={"id": facts.request_id, "status": status, **extra},
        )


def may_outlast(stopping: Stopping, route: Route, usual_s: float) -> bool:
    """Tell whether a request may run longer than an instance that stops."""
    needed_s = route.timeout_s + TIMEOUT_SLACK_S
    if stopping.since_s < STOP_LATE_S:
        needed_s = min(needed_s, STOP_USUAL_FACTOR * usual_s)
    return stopping.ends_in_s < needed_s


def _smooth(
    times: dict[str, float], key: str, took_s: float, before_s: float
) -> None:
    """Move a usual time towards a new one, which counts 4 times at most."""
    times[key] = before_s + USUAL_WEIGHT * (
        min(took_s, 4 * before_s) - before_s
    )
