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

# Headers of the callers' interface that backend servers do not get.
_OWN_HEADERS = frozenset(
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
class Content:
    """The part of a request that is sent on unchanged."""

    method: str
    path: str
    headers: "Mapping[str, str]"
    body: bytes
    request_id: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Attempt:
    """How an attempt ended; `server` is None if none was chosen.

    `hedge_server` is where a second attempt went meanwhile, if one was made.
    """

    end: ExchangeEnd
    server: ServerName | None = None
    hedge_server: ServerName | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class HedgeLimits:
    """What a request's other hops leave for a second attempt."""

    attempts_left: int
    budget: "RetryBudget"


class Executor:
    """Admits and runs single attempts on this zone's servers."""

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
        content: Content,
        excluded: frozenset[ServerName],
        *,
        may_wait: bool,
        hedge: HedgeLimits | None = None,
    ) -> Attempt:
        """Run a request once; a refusal is an attempt that was not run.

        With `hedge`, a second attempt on another server may follow.
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
        plan = self._plan(work, hedge)
        race = (
            self._hedges.start(
                lambda cancellation: self._send(grant, content, cancellation)
            )
            if plan is not None
            else None
        )
        if race is None:
            end = self._send(grant, content, None)
            return Attempt(end=end, server=grant.server.name)
        race.wait(plan.delay_s)
        second = None
        if not race.is_any_finished() and hedge.budget.withdraw():
            second = self._hedge(race, grant, content, excluded)
            if second is None:
                hedge.budget.refund()
        return Attempt(
            end=race.result(),
            server=grant.server.name,
            hedge_server=second,
        )

    def expected_wait_s(self, work: "Work") -> float:
        """Return how long a request would wait for a slot of this zone."""
        return self._admission.expected_wait_s(work)

    def _plan(
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

    def _hedge(
        self,
        race: "HedgedRequest",
        first: "Grant",
        content: Content,
        excluded: frozenset[ServerName],
    ) -> ServerName | None:
        """Start a second attempt if a slot is free; never wait for one."""
        try:
            grant = self._admission.try_acquire(
                first.work, excluded | {first.server.name}
            )
        except ChiverunError:
            return None
        is_started = race.add(
            lambda cancellation: self._send(grant, content, cancellation)
        )
        if not is_started:
            self._admission.cancel(grant)
            return None
        return grant.server.name

    def _send(
        self,
        grant: "Grant",
        content: Content,
        cancellation: Cancellation | None,
    ) -> ExchangeEnd:
        # The process may have been paused since the grant was made.
        if not self._admission.confirm(grant):
            self._admission.cancel(grant)
            return NotSent(detail="grant no longer valid")
        # What an unexpected error leaves behind may have been sent.
        end: ExchangeEnd = Reset(detail="exchange failed")
        try:
            with self._telemetry.span("attempt", server=grant.server.name):
                end = self._backends.exchange(
                    grant.server.address,
                    self._outgoing(grant, content, cancellation),
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
            cancelled=cancellation.is_cancelled and _is_cut_off(end),
            ended=cancellation.is_closed_by_server,
        )

    def _outgoing(
        self,
        grant: "Grant",
        content: Content,
        cancellation: Cancellation | None,
    ) -> OutgoingRequest:
        work = grant.work
        headers = backend_headers(content.headers)
        headers["X-Request-Id"] = content.request_id
        headers["X-Deadline-Epoch-Ms"] = epoch_ms(self._clock, work.deadline)
        self._telemetry.inject(headers)
        sent = outgoing(content, headers, work.deadline, work.request_class)
        return dataclasses.replace(sent, cancellation=cancellation)


def _is_cut_off(end: ExchangeEnd) -> bool:
    """Tell whether a cancellation explains this end."""
    return isinstance(end, NotSent | Reset | TimedOut | Incomplete)


def outgoing(
    content: Content,
    headers: dict[str, str],
    deadline: float,
    request_class: RequestClass,
) -> OutgoingRequest:
    """Return the request to a backend server.

    A kept connection may be closed by the server while a request is written
    to it, and then nobody knows whether it ran; a request that cannot be
    repeated goes over a fresh one.
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
    """Return the headers of a request that go on to a backend server."""
    return {
        name: value
        for name, value in headers.items()
        if name not in _OWN_HEADERS
        and name not in HOP_HEADERS
        and not name.startswith("x-chiverun-")
    }


def epoch_ms(clock: "Clock", deadline: float) -> str:
    """Return a monotonic deadline as milliseconds of the wall clock."""
    remaining_s = deadline - clock.monotonic()
    return str(int((clock.wall() + remaining_s) * 1000))


def deadline_from_epoch(clock: "Clock", text: str) -> float:
    """Return the monotonic deadline of a wall-clock one; raises ValueError."""
    if not (text.isascii() and text.isdigit() and len(text) <= 15):
        raise ValueError(f"deadline is {text!r}; valid: milliseconds")
    return clock.monotonic() + int(text) / 1000.0 - clock.wall()
