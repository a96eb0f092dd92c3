"""Counters and latency histograms of an edge instance."""

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.sdk.metrics import MeterProvider
from prometheus_client import CollectorRegistry
from prometheus_client import generate_latest

from chiverun.integrations.asyncserver import IncomingRequest
from chiverun.integrations.asyncserver import OutgoingResponse

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
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


class EdgeMetrics:
    """Metric instruments of an edge instance and their Prometheus endpoint."""

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        reader = PrometheusMetricReader(registry=self._registry)
        provider = MeterProvider([reader], shutdown_on_exit=False)
        meter = provider.get_meter("chiverun")
        self._requests = meter.create_counter("chiverun.requests")
        self._latency = meter.create_histogram(
            "chiverun.request.duration",
            unit="s",
            explicit_bucket_boundaries_advisory=list(LATENCY_BUCKETS_S),
        )
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
        self.unexpected_errors = meter.create_counter(
            "chiverun.unexpected_errors"
        )
        self.state_faults = meter.create_counter("chiverun.state.faults")

    def record_request(self, status: int, seconds: float) -> None:
        """Count a completed request and record its latency."""
        self._requests.add(1, {"status": str(status)})
        self._latency.record(seconds)

    async def handle(self, incoming: IncomingRequest) -> OutgoingResponse:
        """Return the metrics in the Prometheus text format."""
        return OutgoingResponse(
            status=200,
            headers=[("Content-Type", CONTENT_TYPE)],
            body=generate_latest(self._registry),
        )
