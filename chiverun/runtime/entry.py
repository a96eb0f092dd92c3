"""Handling of callers' requests: idempotency keys, placement, attempts."""

import dataclasses
import threading
import time
from collections.abc import Iterator
from typing import TYPE_CHECKING

from chiverun.core.errors import ChiverunError
from chiverun.core.errors import Outcome
from chiverun.core.errors import ResultCode
from chiverun.core.exchange import Answered
from chiverun.core.exchange import classify
from chiverun.core.exchange import ExchangeEnd
from chiverun.core.exchange import PeerRefused
from chiverun.core.idempotency import parse_key
from chiverun.core.idempotency import Reject
from chiverun.core.idempotency import Replay
from chiverun.core.idempotency import Run
from chiverun.core.idempotency import StoredResult
from chiverun.core.ids import IdempotencyKey
from chiverun.core.ids import InstanceId
from chiverun.core.ids import RegionName
from chiverun.core.ids import ServerName
from chiverun.core.issuers import IssuerDirectory
from chiverun.core.links import message_bytes
from chiverun.core.retries import DEFAULT_THREADS
from chiverun.core.retries import LongThreads
from chiverun.core.routing import overflow_targets
from chiverun.core.routing import REGION_ROUND_TRIP_S
from chiverun.core.routing import region_targets
from chiverun.core.routing import Target
from chiverun.core.ticket import Region
from chiverun.core.work import Work
from chiverun.integrations.backend import OutgoingRequest
from chiverun.integrations.web import error_response
from chiverun.integrations.web import IncomingRequest
from chiverun.integrations.web import Response
from chiverun.runtime.execution import Attempt
from chiverun.runtime.execution import backend_headers
from chiverun.runtime.execution import epoch_ms
from chiverun.runtime.execution import HedgeLimits
from chiverun.runtime.forward import CLASS_HEADER
from chiverun.runtime.forward import ORIGIN_HEADER
from chiverun.runtime.forward import pace_response
from chiverun.runtime.forward import SOURCE_HEADER
from chiverun.runtime.request import ParsedRequest
from chiverun.runtime.request import RequestParser
from chiverun.runtime.results import fingerprint
from chiverun.runtime.results import make_result
from chiverun.runtime.results import to_response
from chiverun.runtime.results import unknown_outcome_response
from chiverun.runtime.shifting import ShiftOffers

if TYPE_CHECKING:
    from chiverun.core.clock import Clock
    from chiverun.core.idempotency import KeyTable
    from chiverun.core.links import Links
    from chiverun.core.lookup import BlockTables
    from chiverun.core.retries import RetryBudget
    from chiverun.core.snapshot import Snapshot
    from chiverun.integrations.backend import HttpBackends
    from chiverun.integrations.telemetry import Telemetry
    from chiverun.runtime.control import ControlPlane
    from chiverun.runtime.control import Identity
    from chiverun.runtime.execution import Executor

# Marks a request that has been forwarded to the issuer of its key.
ISSUER_HEADER = "X-Chiverun-Issuer"
# Limit of placements per request that may end without running it; each one
# uses up a part of the deadline.
PLACEMENTS_MAX = 4
_SEAT_POLL_S = 0.05
# Longest wait of a repeatable request at an instance without seats, as its
# caller may not know another instance yet.
REPEATABLE_SEAT_WAIT_S = 0.5


@dataclasses.dataclass(kw_only=True)
class _Progress:
    """Remaining attempts and excluded servers of one request."""

    attempts_left: int
    placements_left: int = PLACEMENTS_MAX
    excluded: frozenset[ServerName] = frozenset()
    may_have_run: bool = False


class EntryHandler:
    """Handler of the entry address."""

    def __init__(
        self,
        *,
        identity: "Identity",
        clock: "Clock",
        plane: "ControlPlane",
        executor: "Executor",
        backends: "HttpBackends",
        links: "Links",
        blocks: "BlockTables",
        keys: "KeyTable",
        budget: "RetryBudget",
        telemetry: "Telemetry",
        threads: int = DEFAULT_THREADS,
    ) -> None:
        self._long_threads = LongThreads(threads=threads)
        self._identity = identity
        self._clock = clock
        self._plane = plane
        self._executor = executor
        self._backends = backends
        self._links = links
        self._keys = keys
        self._budget = budget
        self._telemetry = telemetry
        self._lock = threading.Lock()
        self._shifts = ShiftOffers(instance=identity.instance, clock=clock)
        self._request_parser = RequestParser(
            zone=identity.zone, clock=clock, plane=plane, blocks=blocks
        )
        self._issuers = IssuerDirectory()
        self.in_flight = 0

    def handle(self, req: IncomingRequest) -> Response:
        """Answer a caller's request."""
        with self._lock:
            self.in_flight += 1
        started = self._clock.monotonic()
        try:
            with self._telemetry.span("entry", parent=req.headers):
                response = self._handle(req)
        finally:
            with self._lock:
                self.in_flight -= 1
        self._telemetry.requests.add(1, {"status": response.status})
        self._telemetry.latency.record(self._clock.monotonic() - started)
        return response

    def _handle(self, req: IncomingRequest) -> Response:
        self._issuers.refresh(self._plane.snapshot, self._clock.monotonic())
        try:
            request = self._request_parser.parse(req)
        except ChiverunError as exc:
            # An earlier request with the same key may have run.
            key = IdempotencyKey(req.header("idempotency-key"))
            outcome = self._keys.outcome(key)
            return error_response(400, outcome, exc.code, exc.message)
        if request.work.request_class.repeatable:
            return to_response(self._run(request))
        return self._handle_keyed(req, request)

    # Keys.

    def _handle_keyed(
        self, req: IncomingRequest, request: ParsedRequest
    ) -> Response:
        key = IdempotencyKey(req.header("idempotency-key"))
        if not key:
            return error_response(
                428,
                Outcome.NOT_RUN,
                ResultCode.KEY_REQUIRED,
                f"class {request.work.request_class.name} may not be "
                "repeated; get an Idempotency-Key by POST /v1/keys",
            )
        parts = parse_key(key)
        if parts is not None and parts.instance != self._identity.instance:
            return self._forward_to_issuer(req, request, key, parts.instance)
        source = RegionName(req.header(SOURCE_HEADER.lower()))
        regions = self._plane.snapshot.state.of(Region)
        if source not in regions or source == request.work.source_region:
            return self._run_or_replay(req, request, key)
        return pace_response(
            self._links,
            self._clock,
            dataclasses.replace(request.work, source_region=source),
            lambda: self._run_or_replay(req, request, key),
            # An earlier request with this key may have run.
            refusal_outcome=Outcome.UNKNOWN,
        )

    def _run_or_replay(
        self, req: IncomingRequest, request: ParsedRequest, key: IdempotencyKey
    ) -> Response:
        begin = self._keys.begin(
            key, fingerprint(req), wait_until=request.work.deadline
        )
        match begin:
            case Run():
                return self._run_keyed(key, request)
            case Replay(result=result):
                return to_response(result)
            case Reject(outcome=outcome, code=code):
                return error_response(409, outcome, code, f"key {key}")

    def _run_keyed(
        self, key: IdempotencyKey, request: ParsedRequest
    ) -> Response:
        result = StoredResult(
            outcome=Outcome.UNKNOWN,
            code=ResultCode.INTERNAL,
            status=500,
            headers=(),
            body=b"",
        )
        try:
            result = self._run(request)
        finally:
            self._keys.finish(key, result)
        return to_response(result)

    def _forward_to_issuer(
        self,
        req: IncomingRequest,
        request: ParsedRequest,
        key: IdempotencyKey,
        instance: InstanceId,
    ) -> Response:
        """Forward a request to the instance that issued its key.

        Only the issuer can report that the request has not run, since an
        earlier attempt with the same key may have reached it.
        """
        if req.header(ISSUER_HEADER.lower()):
            # The forwarding instance has an outdated address of the issuer.
            return unknown_outcome_response(key, "its issuer has moved")
        issuer = self._issuers.find(instance)
        if issuer is None:
            return unknown_outcome_response(
                key, "its issuer is not known to be live"
            )
        if self._pace_request(issuer, request) is not None:
            return unknown_outcome_response(
                key, "the link to its issuer has no room"
            )
        headers = backend_headers(req.headers)
        self._set_region_headers(headers, request.work)
        headers[ISSUER_HEADER] = instance
        headers["X-Deadline-Ms"] = str(
            self._remaining_ms(request.work.deadline)
        )
        self._telemetry.inject(headers)
        end = self._backends.exchange(
            issuer.addresses.entry,
            OutgoingRequest(
                method=req.method,
                path=req.target,
                headers=headers,
                body=req.body,
                request_id=request.content.request_id,
                deadline=request.work.deadline,
                answer_bytes_max=request.work.request_class.answer_bytes_max,
                fresh_connection=True,
                to_peer=True,
            ),
        )
        match end:
            case PeerRefused(code=ResultCode.REQUEST_MALFORMED):
                # The issuer rejected the request before it looked up the key.
                return unknown_outcome_response(
                    key, "its issuer could not read it"
                )
            case Answered() | PeerRefused():
                return to_response(make_result(end))
            case _:
                return unknown_outcome_response(
                    key, "its issuer did not answer"
                )

    def _set_region_headers(self, headers: dict[str, str], work: Work) -> None:
        headers[SOURCE_HEADER] = work.source_region
        headers[ORIGIN_HEADER] = work.origin_region or work.source_region

    def _remaining_ms(self, deadline: float) -> int:
        return max(1, int((deadline - self._clock.monotonic()) * 1000))

    # Attempts.

    def _run(self, request: ParsedRequest) -> StoredResult:
        """Run a request; long ones may occupy only a part of the threads."""
        if not request.work.is_long:
            return self._run_with_retries(request)
        if not self._long_threads.try_enter():
            return make_result(PeerRefused(code=ResultCode.QUEUE_FULL))
        try:
            return self._run_with_retries(request)
        finally:
            self._long_threads.leave()

    def _run_with_retries(self, request: ParsedRequest) -> StoredResult:
        """Place a request until it is answered or must not be retried."""
        self._budget.deposit()
        progress = _Progress(attempts_left=request.work.request_class.attempts)
        seat_wait_deadline = self._seat_wait_deadline(request)
        end: ExchangeEnd = PeerRefused(code=ResultCode.NO_CAPACITY)
        while progress.placements_left > 0:
            attempt = self._try_placements(request, progress)
            end = attempt.end
            if self._may_wait_for_seats(end, request, seat_wait_deadline):
                time.sleep(_SEAT_POLL_S)
                continue
            if not self._may_retry(attempt, progress, request):
                break
        return make_result(end, may_have_run=progress.may_have_run)

    def _seat_wait_deadline(self, request: ParsedRequest) -> float:
        """Return until when a request waits at an instance without seats.

        One that is not repeatable waits until its deadline, since no other
        instance accepts its key.
        """
        if not request.work.request_class.repeatable:
            return request.work.deadline
        return min(
            request.work.deadline,
            self._clock.monotonic() + REPEATABLE_SEAT_WAIT_S,
        )

    def _may_wait_for_seats(
        self, end: ExchangeEnd, request: ParsedRequest, wait_deadline: float
    ) -> bool:
        """Return whether a request is placed again until seats are found.

        An instance that is leaving or has just started holds no seats, and
        may not know yet which instances have free slots.
        """
        if not isinstance(end, PeerRefused):
            return False
        if (
            request.work.request_class.repeatable
            and end.code is not ResultCode.NO_SEAT
        ):
            return False
        return (
            _lacks_seats(self._plane.snapshot)
            and self._clock.monotonic() + _SEAT_POLL_S < wait_deadline
        )

    def _may_retry(
        self, attempt: Attempt, progress: _Progress, request: ParsedRequest
    ) -> bool:
        progress.placements_left -= 1
        if attempt.server is not None:
            progress.excluded |= {attempt.server}
        if attempt.hedge_server is not None:
            progress.excluded |= {attempt.hedge_server}
            progress.attempts_left -= 1
        match classify(attempt.end).outcome:
            case Outcome.ANSWERED:
                return False
            case Outcome.NOT_RUN:
                # After a rejection by admission, no placement is left to try.
                return attempt.server is not None and self._has_time(request)
            case Outcome.UNKNOWN:
                progress.may_have_run = True
                progress.attempts_left -= 1
                return (
                    request.work.request_class.repeatable
                    and progress.attempts_left > 0
                    and self._has_time(request)
                    and self._budget.withdraw()
                )

    def _has_time(self, request: ParsedRequest) -> bool:
        return self._clock.monotonic() < request.work.deadline

    def _try_placements(
        self, request: ParsedRequest, progress: _Progress
    ) -> Attempt:
        """Try the placements in order until one accepts the request."""
        attempt = Attempt(end=PeerRefused(code=ResultCode.NO_CAPACITY))
        for attempt in self._placements(request, progress):
            if not isinstance(attempt.end, PeerRefused):
                return attempt
        return attempt

    def _placements(
        self, request: ParsedRequest, progress: _Progress
    ) -> Iterator[Attempt]:
        snapshot = self._plane.snapshot
        work = request.work
        now = self._clock.monotonic()
        excluded = progress.excluded
        hedge = HedgeLimits(
            attempts_left=progress.attempts_left, budget=self._budget
        )
        for target in self._shifts.targets(snapshot, work, now):
            attempt = self._forward(target, request)
            self._shifts.record_result(snapshot, target, work, attempt.end)
            yield attempt
        local = self._executor.run(
            work, request.content, excluded, may_wait=False, hedge=hedge
        )
        yield local
        is_from_other_region = work.origin_region not in (
            None,
            work.source_region,
        )
        if is_from_other_region:
            for target in region_targets(
                snapshot,
                self._identity.instance,
                work.origin_region,
                work.service,
            ):
                yield self._forward(target, request)
        targets = overflow_targets(
            snapshot,
            self._identity.instance,
            self._identity.zone,
            work.service,
            now,
        )
        if not targets and _lacks_seats(snapshot):
            targets = region_targets(
                snapshot,
                self._identity.instance,
                work.source_region,
                work.service,
            )
        for target in targets:
            if self._is_local_wait_shorter(target, work):
                continue
            yield self._forward(target, request)
        if is_from_other_region:
            # A shifted request could block the head of the queue until the
            # cap of its shift allows it.
            return
        yield self._executor.run(
            work, request.content, excluded, may_wait=True, hedge=hedge
        )

    def _is_local_wait_shorter(self, target: Target, work: Work) -> bool:
        if target.region == work.source_region:
            return False
        return self._executor.expected_wait_s(work) < REGION_ROUND_TRIP_S

    def _forward(self, target: Target, request: ParsedRequest) -> Attempt:
        """Send a request to an instance of another zone."""
        refused = self._pace_request(target, request)
        if refused is not None:
            return refused
        work = request.work
        content = request.content
        headers = backend_headers(content.headers)
        headers["X-Request-Id"] = content.request_id
        headers["X-Deadline-Epoch-Ms"] = epoch_ms(self._clock, work.deadline)
        headers[CLASS_HEADER] = work.request_class.name
        self._set_region_headers(headers, work)
        with self._telemetry.span("attempt", zone=target.zone):
            self._telemetry.inject(headers)
            end = self._backends.exchange(
                target.addresses.forward,
                OutgoingRequest(
                    method=content.method,
                    path=f"/f/{work.service}{content.path}",
                    headers=headers,
                    body=content.body,
                    request_id=content.request_id,
                    deadline=work.deadline,
                    answer_bytes_max=work.request_class.answer_bytes_max,
                    fresh_connection=not work.request_class.repeatable,
                    to_peer=True,
                ),
            )
        if classify(end).outcome is Outcome.NOT_RUN:
            return Attempt(end=PeerRefused(code=classify(end).code))
        return Attempt(end=end)

    def _pace_request(
        self, target: Target, request: ParsedRequest
    ) -> Attempt | None:
        """Wait for the link's rate; return a refusal if it is at its cap."""
        work = request.work
        if target.region == work.source_region:
            return None
        content = request.content
        size = message_bytes(content.headers.items(), content.body)
        remaining_s = work.deadline - self._clock.monotonic()
        reservation = self._links.reserve(target.region, size, remaining_s)
        if reservation is None or not self._links.pace(
            reservation, size, work.deadline
        ):
            return Attempt(end=PeerRefused(code=ResultCode.LINK_CAP))
        return None


def _lacks_seats(snapshot: "Snapshot") -> bool:
    return snapshot.leaving or not snapshot.seats or not snapshot.confirmed
