"""OpenTelemetry traces and metrics, exported to the log."""

import contextlib
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence

import logbook
from opentelemetry import metrics
from opentelemetry import trace
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import MetricExporter
from opentelemetry.sdk.metrics.export import MetricExportResult
from opentelemetry.sdk.metrics.export import MetricsData
from opentelemetry.sdk.metrics.export import PeriodicExportingMetricReader
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan
from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.sdk.trace.export import BatchSpanProcessor
from opentelemetry.sdk.trace.export import SpanExporter
from opentelemetry.sdk.trace.export import SpanExportResult
from opentelemetry.sdk.trace.sampling import ParentBased
from opentelemetry.sdk.trace.sampling import TraceIdRatioBased
from opentelemetry.trace.propagation import tracecontext

from chiverun.core.ids import InstanceId
from chiverun.core.ids import ZoneName

METRIC_INTERVAL_MS = 30_000
_LOG = logbook.Logger("telemetry")
_PROPAGATOR = tracecontext.TraceContextTextMapPropagator()


class _LogSpanExporter(SpanExporter):
    """Writes each finished span as one log record."""

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        for span in spans:
            _LOG.info("span", extra=_span_record(span))
        return SpanExportResult.SUCCESS

    def shutdown(self) -> None:
        return None


def _span_record(span: ReadableSpan) -> dict:
    context = span.get_span_context()
    duration_ms = ((span.end_time or 0) - (span.start_time or 0)) / 1e6
    return {
        "span": span.name,
        "trace_id": f"{context.trace_id:032x}",
        "span_id": f"{context.span_id:016x}",
        "parent_id": f"{span.parent.span_id:016x}" if span.parent else None,
        "duration_ms": duration_ms,
        "attributes": dict(span.attributes or {}),
    }


class _LogMetricExporter(MetricExporter):
    """Writes each data point as one log record."""

    def export(
        self, metrics_data: MetricsData, timeout_millis: float = 0, **kwargs
    ) -> MetricExportResult:
        for resource in metrics_data.resource_metrics:
            for scope in resource.scope_metrics:
                for metric in scope.metrics:
                    for point in metric.data.data_points:
                        _LOG.info(
                            "metric", extra=_metric_record(metric.name, point)
                        )
        return MetricExportResult.SUCCESS

    def shutdown(self, timeout_millis: float = 0, **kwargs) -> None:
        return None

    def force_flush(self, timeout_millis: float = 0) -> bool:
        return True


def _metric_record(name: str, point) -> dict:
    record = {"metric": name, "attributes": dict(point.attributes or {})}
    if hasattr(point, "value"):
        record["value"] = point.value
    else:
        record["count"] = point.count
        record["sum"] = point.sum
        record["buckets"] = list(point.bucket_counts)
    return record


class Telemetry:
    """Tracer and instruments of one instance."""

    def __init__(
        self, *, instance: InstanceId, zone: ZoneName, trace_ratio: float
    ) -> None:
        resource = Resource(
            {
                "service.name": "chiverun",
                "service.instance.id": instance,
                "cloud.availability_zone": zone,
            }
        )
        self._traces = TracerProvider(
            resource=resource,
            sampler=ParentBased(TraceIdRatioBased(trace_ratio)),
            shutdown_on_exit=False,
        )
        self._traces.add_span_processor(BatchSpanProcessor(_LogSpanExporter()))
        reader = PeriodicExportingMetricReader(
            _LogMetricExporter(),
            export_interval_millis=METRIC_INTERVAL_MS,
        )
        self._metrics = MeterProvider(
            [reader], resource=resource, shutdown_on_exit=False
        )
        self._tracer = self._traces.get_tracer("chiverun")
        meter = self._metrics.get_meter("chiverun")
        self.requests: metrics.Counter = meter.create_counter(
            "chiverun.requests", unit="1"
        )
        self.attempts: metrics.Counter = meter.create_counter(
            "chiverun.attempts", unit="1"
        )
        self.lookups: metrics.Counter = meter.create_counter(
            "chiverun.lookups", unit="1"
        )
        self.callers_refused: metrics.Counter = meter.create_counter(
            "chiverun.callers.refused", unit="1"
        )
        self.latency: metrics.Histogram = meter.create_histogram(
            "chiverun.request.duration", unit="s"
        )

    @contextlib.contextmanager
    def span(
        self, name: str, parent: Mapping[str, str] | None = None, **attributes
    ) -> Iterator[trace.Span]:
        """Run a block within a span.

        `parent` are the request headers with the caller's trace context.
        """
        context = _PROPAGATOR.extract(parent) if parent is not None else None
        with self._tracer.start_as_current_span(
            name, context=context, attributes=attributes
        ) as span:
            yield span

    def inject(self, headers: dict[str, str]) -> None:
        """Add the W3C trace context of the current span to headers."""
        _PROPAGATOR.inject(headers)

    def stop(self) -> None:
        """Export the remaining spans and metrics and stop."""
        self._traces.shutdown()
        self._metrics.shutdown()
