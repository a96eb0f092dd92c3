"""Metrics in the Prometheus text format, for a scrape.

The Prometheus library is imported for the first scrape, since most instances
never get one and it would stay in their memory.
"""

import re
from collections.abc import Iterator
from typing import Any
from typing import TYPE_CHECKING

from opentelemetry.sdk.metrics.export import Histogram
from opentelemetry.sdk.metrics.export import HistogramDataPoint
from opentelemetry.sdk.metrics.export import Metric
from opentelemetry.sdk.metrics.export import MetricsData
from opentelemetry.sdk.metrics.export import Sum

if TYPE_CHECKING:
    from prometheus_client.core import Metric as Family

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
_UNIT_NAMES = {"s": "seconds", "By": "bytes"}


def exposition(data: MetricsData | None) -> bytes:
    """Return counters, gauges and histograms as Prometheus text."""
    from prometheus_client import CollectorRegistry
    from prometheus_client import generate_latest

    registry = CollectorRegistry()
    registry.register(_Collector(data))
    return generate_latest(registry)


class _Collector:
    """Translates metrics when a registry collects them."""

    def __init__(self, data: MetricsData | None) -> None:
        self._metrics = [
            metric
            for resource in (data.resource_metrics if data else ())
            for scope in resource.scope_metrics
            for metric in scope.metrics
        ]

    def collect(self) -> "Iterator[Family]":
        """Yield one family a metric."""
        for metric in self._metrics:
            yield _family(metric)


def _family(metric: Metric) -> "Family":
    from prometheus_client import core

    name = re.sub(r"[^a-zA-Z0-9_]", "_", metric.name)
    if metric.unit:
        name += f"_{_UNIT_NAMES.get(metric.unit, metric.unit)}"
    points = metric.data.data_points
    labels = sorted({key for point in points for key in point.attributes})
    kwargs = {"documentation": metric.description, "labels": labels}
    match metric.data:
        case Histogram():
            family = core.HistogramMetricFamily(name, **kwargs)
            for point in points:
                family.add_metric(
                    _values(point.attributes, labels),
                    buckets=_buckets(point),
                    sum_value=point.sum,
                )
        case Sum(is_monotonic=True):
            family = core.CounterMetricFamily(name, **kwargs)
            for point in points:
                family.add_metric(
                    _values(point.attributes, labels), point.value
                )
        case _:
            family = core.GaugeMetricFamily(name, **kwargs)
            for point in points:
                family.add_metric(
                    _values(point.attributes, labels), point.value
                )
    return family


def _values(attributes: Any, labels: list[str]) -> list[str]:
    return [str(attributes.get(label, "")) for label in labels]


def _buckets(point: HistogramDataPoint) -> list[tuple[str, float]]:
    """Return the cumulative counts by upper bound."""
    bounds = [*(f"{bound:g}" for bound in point.explicit_bounds), "+Inf"]
    total = 0
    rows = []
    for bound, count in zip(bounds, point.bucket_counts, strict=True):
        total += count
        rows.append((bound, float(total)))
    return rows
