"""Handling of requests that other instances forward to this zone.

A forwarded request is admitted at once or refused. It queues only at the
instance where it entered, so that threads of two instances cannot wait for
each other.
"""

import threading
from collections.abc import Callable
from typing import TYPE_CHECKING

from chiverun.core.errors import ChiverunError
from chiverun.core.errors import Outcome
from chiverun.core.errors import ResultCode
from chiverun.core.exchange import Answered
from chiverun.core.exchange import classify
from chiverun.core.exchange import CODE_HEADER
from chiverun.core.exchange import ExchangeEnd
from chiverun.core.exchange import PeerRefused
from chiverun.core.ids import RegionName
from chiverun.core.ids import ServiceName
from chiverun.core.links import message_bytes
from chiverun.core.retries import DEFAULT_THREADS
from chiverun.core.retries import LongThreads
from chiverun.core.ticket import RequestClass
from chiverun.core.ticket import Service
from chiverun.core.ticket import Zone
from chiverun.core.work import Work
from chiverun.integrations.web import error_response
from chiverun.integrations.web import IncomingRequest
from chiverun.integrations.web import Response
from chiverun.runtime.execution import deadline_from_epoch
from chiverun.runtime.execution import ForwardedContent

if TYPE_CHECKING:
    from chiverun.core.clock import Clock
    from chiverun.core.ids import ZoneName
    from chiverun.core.links import Links
    from chiverun.integrations.telemetry import Telemetry
    from chiverun.runtime.control import ControlPlane
    from chiverun.runtime.execution import Executor

CLASS_HEADER = "X-Chiverun-Class"
SOURCE_HEADER = "X-Chiverun-Source"
# Region of the caller, which may differ from that of the entry instance.
ORIGIN_HEADER = "X-Chiverun-Origin"
_FORWARD_PREFIX = "/f/"


class ForwardHandler:
    """Handler of the forward address."""

    def __init__(
        self,
        *,
        zone: "ZoneName",
        clock: "Clock",
        plane: "ControlPlane",
        executor: "Executor",
        links: "Links",
        telemetry: "Telemetry",
        threads: int = DEFAULT_THREADS,
    ) -> None:
        self._long_threads = LongThreads(threads=threads)
        self._zone = zone
        self._clock = clock
        self._plane = plane
        self._executor = executor
        self._links = links
        self._telemetry = telemetry
        self._lock = threading.Lock()
        self._is_refusing = False
        self.in_flight = 0

    def refuse_new_requests(self) -> None:
        """Refuse further requests, which peers then send elsewhere."""
        self._is_refusing = True

    def handle(self, req: IncomingRequest) -> Response:
        """Run a forwarded request once."""
        with self._lock:
            if self._is_refusing:
                return error_response(
                    503,
                    Outcome.NOT_RUN,
                    ResultCode.LEAVING,
                    "this instance is stopping; ask another",
                )
            self.in_flight += 1
        try:
            with self._telemetry.span("forward", parent=req.headers):
                return self._handle(req)
        finally:
            with self._lock:
                self.in_flight -= 1

    def _handle(self, req: IncomingRequest) -> Response:
        try:
            work = self._parse_work(req)
        except (ChiverunError, ValueError) as exc:
            return error_response(
                400, Outcome.NOT_RUN, ResultCode.REQUEST_MALFORMED, str(exc)
            )
        content = ForwardedContent(
            method=req.method,
            path=req.target.removeprefix(_FORWARD_PREFIX + work.service)
            or "/",
            headers=req.headers,
            body=req.body,
            request_id=req.header("x-request-id"),
        )
        if work.source_region == self._region():
            return make_peer_response(self._run(work, content))
        return pace_response(
            self._links,
            self._clock,
            work,
            lambda: make_peer_response(self._run(work, content)),
        )

    def _run(self, work: Work, content: ForwardedContent) -> ExchangeEnd:
        if work.is_long and not self._long_threads.try_enter():
            return PeerRefused(code=ResultCode.QUEUE_FULL)
        try:
            attempt = self._executor.run(
                work, content, frozenset(), may_wait=False
            )
        finally:
            if work.is_long:
                self._long_threads.leave()
        return attempt.end

    def _region(self) -> RegionName:
        return self._plane.snapshot.state.of(Zone)[self._zone].region

    def _parse_work(self, req: IncomingRequest) -> Work:
        state = self._plane.snapshot.state
        if self._zone not in state.of(Zone):
            raise ValueError(f"zone {self._zone!r} is in no ticket")
        name = ServiceName(
            req.path.removeprefix(_FORWARD_PREFIX).split("/", 1)[0]
        )
        service = state.of(Service).get(name)
        if service is None:
            raise ValueError(f"service {name!r} is unknown")
        request_class = _find_class(service, req.header(CLASS_HEADER.lower()))
        deadline = deadline_from_epoch(
            self._clock, req.header("x-deadline-epoch-ms")
        )
        # A claimed seat opens after the longest deadline of a class. Clock
        # skew between instances must not make a deadline longer than that.
        latest = self._clock.monotonic() + request_class.deadline_ms / 1000.0
        return Work(
            service=name,
            request_class=request_class,
            source_region=RegionName(req.header(SOURCE_HEADER.lower())),
            deadline=min(deadline, latest),
            origin_region=RegionName(req.header(ORIGIN_HEADER.lower()))
            or None,
        )


def _find_class(service: Service, name: str) -> RequestClass:
    for request_class in service.classes:
        if request_class.name == name:
            return request_class
    raise ValueError(f"class {name!r} of service {service.name} is unknown")


def pace_response(
    links: "Links",
    clock: "Clock",
    work: Work,
    run: Callable[[], Response],
    refusal_outcome: Outcome = Outcome.NOT_RUN,
) -> Response:
    """Run a request and delay its response to match the rate of the link.

    Capacity for the response is reserved before the request runs. A response
    that would miss its deadline is not sent over the link.
    """
    target = work.source_region
    name = f"{work.service}/{work.request_class.name}"
    reservation = links.reserve_response(
        target,
        name,
        work.request_class.answer_bytes_max,
        work.deadline - clock.monotonic(),
    )
    if reservation is None:
        return error_response(
            503,
            refusal_outcome,
            ResultCode.LINK_CAP,
            f"link to {target} has no room",
        )
    try:
        response = run()
    except BaseException:
        links.cancel(reservation)
        raise
    actual = message_bytes(response.headers, response.body)
    if response.status == 200:
        links.record_response(name, actual)
    if links.pace(reservation, actual, work.deadline):
        return response
    return error_response(
        502,
        Outcome.UNKNOWN,
        ResultCode.BACKEND_TIMEOUT,
        f"the response was too late for the link to {target}",
    )


def make_peer_response(end: ExchangeEnd) -> Response:
    """Return the response that reports the end of an exchange to a peer."""
    classified = classify(end)
    if isinstance(end, Answered):
        return Response(
            status=end.status,
            headers=(
                *end.headers,
                ("X-Chiverun-Outcome", classified.outcome.value),
                (CODE_HEADER, str(int(classified.code))),
            ),
            body=end.body,
        )
    status = 503 if classified.outcome is Outcome.NOT_RUN else 502
    return error_response(
        status, classified.outcome, classified.code, type(end).__name__
    )
