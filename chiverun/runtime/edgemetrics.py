"""Counters and latency histograms of an edge instance."""

import collections

from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import InMemoryMetricReader

from chiverun.core.callerlimits import RefusalReason
from chiverun.core.loopusage import LoopPart
from chiverun.core.loopusage import Usage
from chiverun.integrations.asyncserver import IncomingRequest
from chiverun.integrations.asyncserver import OutgoingResponse
from chiverun.integrations.exposition import CONTENT_TYPE
from chiverun.integrations.exposition import exposition

LATENCY_BUCKETS_S = (
    0.025,
    0.05,
    0.1,
    0.2,
    0.3,
    0.4,
    0.6,
    0.8,
    1.0,
    1.5,
    2.5,
    4.0,
    8.0,
)
LOOP_LATE_BUCKETS_S = (0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0)


class EdgeMetrics:
    """Metric instruments of an edge instance and their Prometheus endpoint."""

    def __init__(self) -> None:
        self._reader = InMemoryMetricReader()
        provider = MeterProvider([self._reader], shutdown_on_exit=False)
        meter = provider.get_meter("chiverun")
        self._requests = meter.create_counter("chiverun.requests")
        self._latency = meter.create_histogram(
            "chiverun.request.duration",
            unit="s",
            explicit_bucket_boundaries_advisory=list(LATENCY_BUCKETS_S),
        )
        self._loop_late = meter.create_histogram(
            "chiverun.loop.late",
            unit="s",
            explicit_bucket_boundaries_advisory=list(LOOP_LATE_BUCKETS_S),
        )
        # Time that the event loop was held, by part of the program.
        self._loop_held = meter.create_counter("chiverun.loop.held", unit="s")
        self.sends = meter.create_counter("chiverun.sends")
        self.overload_refused = meter.create_counter(
            "chiverun.requests.overload_refused"
        )
        self.budget_refused = meter.create_counter(
            "chiverun.sends.budget_refused"
        )
        # Sends to servers that name a limit.
        self.limited_sends = meter.create_counter("chiverun.sends.limited")
        self.limit_refused = meter.create_counter(
            "chiverun.requests.limit_refused"
        )
        # Requests not sent since servers ended under the same one.
        self.suspects_refused = meter.create_counter(
            "chiverun.requests.suspects_refused"
        )
        # Requests over the limits of client accounts, by reason, and those
        # that waited for a token.
        self.quota_refused = meter.create_counter(
            "chiverun.requests.quota_refused"
        )
        self.quota_waited = meter.create_counter(
            "chiverun.requests.quota_waited"
        )
        self.unexpected_errors = meter.create_counter(
            "chiverun.unexpected_errors"
        )
        self._callers_refused = meter.create_counter(
            "chiverun.callers.refused"
        )
        self.state_faults = meter.create_counter("chiverun.state.faults")

    def record_request(self, status: int, seconds: float) -> None:
        """Count a completed request and record its latency."""
        self._requests.add(1, {"status": str(status)})
        self._latency.record(seconds)

    def record_caller_refusal(self, reason: RefusalReason) -> None:
        """Count a client that was refused, or whose connection was closed."""
        self._callers_refused.add(1, {"reason": reason.value})

    def record_loop(self, late_s: float, usages: list[Usage]) -> None:
        """Record how late the event loop was, and the usage meanwhile."""
        self._loop_late.record(late_s)
        held_s: dict[LoopPart, float] = collections.defaultdict(float)
        for row in usages:
            held_s[row.source.part] += row.seconds
        for part, seconds in held_s.items():
            self._loop_held.add(seconds, {"part": part.value})

    async def handle(self, incoming: IncomingRequest) -> OutgoingResponse:
        """Return the metrics in the Prometheus text format."""
        return OutgoingResponse(
            status=200,
            headers=[("Content-Type", CONTENT_TYPE)],
            body=exposition(self._reader.get_metrics_data()),
        )
