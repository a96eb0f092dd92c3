"""Execution of one attempt on a backend server of this zone."""

import dataclasses
from typing import TYPE_CHECKING

from chiverun.core.errors import ChiverunError
from chiverun.core.exchange import ExchangeEnd
from chiverun.core.exchange import Incomplete
from chiverun.core.exchange import NotSent
from chiverun.core.exchange import PeerRefused
from chiverun.core.exchange import Reset
from chiverun.core.exchange import TimedOut
from chiverun.core.ids import ServerName
from chiverun.core.retries import HedgePlan
from chiverun.core.retries import plan_hedge
from chiverun.core.statednumbers import DEADLINE_MS
from chiverun.core.statednumbers import parse_whole
from chiverun.core.ticket import RequestClass
from chiverun.integrations.backend import HOP_HEADERS
from chiverun.integrations.backend import OutgoingRequest
from chiverun.integrations.cancellation import Cancellation
from chiverun.runtime.hedging import HEDGE_THREADS
from chiverun.runtime.hedging import HedgePool

if TYPE_CHECKING:
    from collections.abc import Mapping

    from chiverun.core.admission import Admission
    from chiverun.core.clock import Clock
    from chiverun.core.retries import RetryBudget
    from chiverun.core.work import Grant
    from chiverun.core.work import Work
    from chiverun.integrations.backend import HttpBackends
    from chiverun.integrations.telemetry import Telemetry
    from chiverun.runtime.hedging import HedgedRequest

# Headers from callers that are not forwarded to backend servers.
_CALLER_HEADERS = frozenset(
    {
        "host",
        "content-length",
        "expect",
        "x-deadline-ms",
        "x-deadline-epoch-ms",
        "x-request-id",
        "traceparent",
        "tracestate",
    }
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class ForwardedContent:
    """The part of a request that is forwarded unchanged."""

    method: str
    path: str
    headers: "Mapping[str, str]"
    body: bytes
    request_id: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Attempt:
    """The result of an attempt.

    `server` is None if no server was chosen. `hedge_server` is the server of
    the hedged second attempt, if there was one.
    """

    end: ExchangeEnd
    server: ServerName | None = None
    hedge_server: ServerName | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class HedgeLimits:
    """Attempts and retry budget left for a hedged second attempt."""

    attempts_left: int
    budget: "RetryBudget"


class Executor:
    """Admits and runs single attempts on servers of this zone."""

    def __init__(
        self,
        *,
        clock: "Clock",
        admission: "Admission",
        backends: "HttpBackends",
        telemetry: "Telemetry",
        hedge_threads: int = HEDGE_THREADS,
    ) -> None:
        self._hedges = HedgePool(threads=hedge_threads)
        self._clock = clock
        self._admission = admission
        self._backends = backends
        self._telemetry = telemetry

    def run(
        self,
        work: "Work",
        content: ForwardedContent,
        excluded: frozenset[ServerName],
        *,
        may_wait: bool,
        hedge: HedgeLimits | None = None,
    ) -> Attempt:
        """Run a request once, with a hedged second attempt if allowed.

        A rejection by admission is returned as an attempt without a server.
        """
        try:
            with self._telemetry.span("admission", service=work.service):
                grant = (
                    self._admission.acquire(work, excluded)
                    if may_wait
                    else self._admission.try_acquire(work, excluded)
                )
        except ChiverunError as exc:
            return Attempt(end=PeerRefused(code=exc.code))
        with self._telemetry.span("choice", server=grant.server.name):
            pass
        plan = self._hedge_plan(work, hedge)
        hedged_request = (
            self._hedges.start(
                lambda cancellation: self._send(grant, content, cancellation)
            )
            if plan is not None
            else None
        )
        if hedged_request is None:
            end = self._send(grant, content, None)
            return Attempt(end=end, server=grant.server.name)
        hedged_request.wait(plan.delay_s)
        hedge_server = None
        if not hedged_request.is_any_finished() and hedge.budget.withdraw():
            hedge_server = self._start_hedge(
                hedged_request, grant, content, excluded
            )
            if hedge_server is None:
                hedge.budget.refund()
        return Attempt(
            end=hedged_request.result(),
            server=grant.server.name,
            hedge_server=hedge_server,
        )

    def expected_wait_s(self, work: "Work") -> float:
        """Return the expected wait for a slot of this zone."""
        return self._admission.expected_wait_s(work)

    def _hedge_plan(
        self, work: "Work", hedge: HedgeLimits | None
    ) -> HedgePlan | None:
        if hedge is None:
            return None
        return plan_hedge(
            repeatable=work.request_class.repeatable,
            attempts_left=hedge.attempts_left,
            delay_s=self._admission.hedge_delay_s(work),
            remaining_s=work.deadline - self._clock.monotonic(),
        )

    def _start_hedge(
        self,
        hedged_request: "HedgedRequest",
        first: "Grant",
        content: ForwardedContent,
        excluded: frozenset[ServerName],
    ) -> ServerName | None:
        """Start a second attempt if a slot is free, without waiting."""
        try:
            grant = self._admission.try_acquire(
                first.work, excluded | {first.server.name}
            )
        except ChiverunError:
            return None
        is_started = hedged_request.add(
            lambda cancellation: self._send(grant, content, cancellation)
        )
        if not is_started:
            self._admission.cancel(grant)
            return None
        return grant.server.name

    def _send(
        self,
        grant: "Grant",
        content: ForwardedContent,
        cancellation: Cancellation | None,
    ) -> ExchangeEnd:
        # The process may have been paused since the grant was made.
        if not self._admission.confirm(grant):
            self._admission.cancel(grant)
            return NotSent(detail="grant is no longer valid")
        # After an unexpected error the request may have been sent.
        end: ExchangeEnd = Reset(detail="exchange raised an unexpected error")
        try:
            with self._telemetry.span("attempt", server=grant.server.name):
                end = self._backends.exchange(
                    grant.server.address,
                    self._make_backend_request(grant, content, cancellation),
                )
        finally:
            self._release(grant, end, cancellation)
        self._telemetry.attempts.add(1, {"end": type(end).__name__})
        return end

    def _release(
        self,
        grant: "Grant",
        end: ExchangeEnd,
        cancellation: Cancellation | None,
    ) -> None:
        if cancellation is None:
            self._admission.release(grant, end)
            return
        self._admission.release(
            grant,
            end,
            cancelled=cancellation.is_cancelled
            and _may_result_from_cancellation(end),
            ended=cancellation.is_closed_by_server,
        )

    def _make_backend_request(
        self,
        grant: "Grant",
        content: ForwardedContent,
        cancellation: Cancellation | None,
    ) -> OutgoingRequest:
        work = grant.work
        headers = backend_headers(content.headers)
        headers["X-Request-Id"] = content.request_id
        headers["X-Deadline-Epoch-Ms"] = epoch_ms(self._clock, work.deadline)
        self._telemetry.inject(headers)
        sent = make_backend_request(
            content, headers, work.deadline, work.request_class
        )
        return dataclasses.replace(sent, cancellation=cancellation)


def _may_result_from_cancellation(end: ExchangeEnd) -> bool:
    """Return whether a cancellation can have caused this end."""
    return isinstance(end, NotSent | Reset | TimedOut | Incomplete)


def make_backend_request(
    content: ForwardedContent,
    headers: dict[str, str],
    deadline: float,
    request_class: RequestClass,
) -> OutgoingRequest:
    """Return the request to a backend server.

    A server may close a reused connection while a request is written to it,
    which leaves the outcome unknown. A request that is not repeatable
    therefore gets a new connection.
    """
    return OutgoingRequest(
        method=content.method,
        path=content.path,
        headers=headers,
        body=content.body,
        request_id=content.request_id,
        deadline=deadline,
        answer_bytes_max=request_class.answer_bytes_max,
        fresh_connection=not request_class.repeatable,
    )


def backend_headers(headers: "Mapping[str, str]") -> dict[str, str]:
    """Return the request headers that are forwarded to a backend server."""
    return {
        name: value
        for name, value in headers.items()
        if name not in _CALLER_HEADERS
        and name not in HOP_HEADERS
        and not name.startswith("x-chiverun-")
    }


def epoch_ms(clock: "Clock", deadline: float) -> str:
    """Convert a monotonic deadline to milliseconds since the epoch."""
    remaining_s = deadline - clock.monotonic()
    return str(int((clock.wall() + remaining_s) * 1000))


def deadline_from_epoch(clock: "Clock", text: str) -> float:
    """Convert milliseconds since the epoch to a monotonic deadline.

    Raises
    ------
    ValueError
        The text is not a number of milliseconds.
    """
    epoch_ms = parse_whole(text, DEADLINE_MS)
    if epoch_ms is None:
        raise ValueError(f"deadline is {text[:80]!r}; valid: {DEADLINE_MS}")
    return clock.monotonic() + epoch_ms / 1000.0 - clock.wall()
