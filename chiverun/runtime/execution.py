"""Execution of one attempt on a backend server of this zone."""

import dataclasses
from typing import TYPE_CHECKING

from chiverun.core.errors import ChiverunError
from chiverun.core.exchange import ExchangeEnd
from chiverun.core.exchange import NotSent
from chiverun.core.exchange import PeerRefused
from chiverun.core.exchange import Reset
from chiverun.core.ids import ServerName
from chiverun.core.ticket import RequestClass
from chiverun.integrations.backend import HOP_HEADERS
from chiverun.integrations.backend import Outgoing

if TYPE_CHECKING:
    from collections.abc import Mapping

    from chiverun.core.admission import Admission
    from chiverun.core.admission import Grant
    from chiverun.core.admission import Work
    from chiverun.core.clock import Clock
    from chiverun.integrations.backend import HttpBackends
    from chiverun.integrations.telemetry import Telemetry

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
    """How an attempt ended; `server` is None if none was chosen."""

    end: ExchangeEnd
    server: ServerName | None = None


class Executor:
    """Admits and runs single attempts on this zone's servers."""

    def __init__(
        self,
        *,
        clock: "Clock",
        admission: "Admission",
        backends: "HttpBackends",
        telemetry: "Telemetry",
    ) -> None:
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
    ) -> Attempt:
        """Run a request once; a refusal is an attempt that was not run."""
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
        return Attempt(
            end=self._send(grant, content), server=grant.server.name
        )

    def _send(self, grant: "Grant", content: Content) -> ExchangeEnd:
        # The process may have been paused since the grant was made.
        if not self._admission.confirm(grant):
            self._admission.cancel(grant)
            return NotSent(detail="grant no longer valid")
        # What an unexpected error leaves behind may have been sent.
        end: ExchangeEnd = Reset(detail="exchange failed")
        try:
            with self._telemetry.span("attempt", server=grant.server.name):
                end = self._backends.exchange(
                    grant.server.address, self._outgoing(grant, content)
                )
        finally:
            self._admission.release(grant, end)
        self._telemetry.attempts.add(1, {"end": type(end).__name__})
        return end

    def _outgoing(self, grant: "Grant", content: Content) -> Outgoing:
        work = grant.work
        headers = backend_headers(content.headers)
        headers["X-Request-Id"] = content.request_id
        headers["X-Deadline-Epoch-Ms"] = epoch_ms(self._clock, work.deadline)
        self._telemetry.inject(headers)
        return outgoing(content, headers, work.deadline, work.request_class)


def outgoing(
    content: Content,
    headers: dict[str, str],
    deadline: float,
    request_class: RequestClass,
) -> Outgoing:
    """Return the request to a backend server.

    A kept connection may be closed by the server while a request is written
    to it, and then nobody knows whether it ran; a request that cannot be
    repeated goes over a fresh one.
    """
    return Outgoing(
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
    left_s = deadline - clock.monotonic()
    return str(int((clock.wall() + left_s) * 1000))


def deadline_from_epoch(clock: "Clock", text: str) -> float:
    """Return the monotonic deadline of a wall-clock one; raises ValueError."""
    if not (text.isascii() and text.isdigit() and len(text) <= 15):
        raise ValueError(f"deadline is {text!r}; valid: milliseconds")
    return clock.monotonic() + int(text) / 1000.0 - clock.wall()
