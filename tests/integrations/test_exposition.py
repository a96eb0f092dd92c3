"""Tests of the Prometheus text."""

import subprocess
import sys
import unittest

from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import InMemoryMetricReader
from prometheus_client.parser import text_string_to_metric_families

from chiverun.integrations.exposition import exposition


class ExpositionTest(unittest.TestCase):
    def setUp(self) -> None:
        self._reader = InMemoryMetricReader()
        provider = MeterProvider([self._reader], shutdown_on_exit=False)
        self._meter = provider.get_meter("test")

    def _samples(self) -> dict:
        text = exposition(self._reader.get_metrics_data()).decode()
        return {
            (sample.name, *sorted(sample.labels.values())): sample.value
            for family in text_string_to_metric_families(text)
            for sample in family.samples
        }

    # Guards against counters that lose what was counted before a scrape.
    def test_counters_keep_their_totals_from_scrape_to_scrape(self) -> None:
        counter = self._meter.create_counter("chiverun.sends")
        counter.add(2, {"end": "Answered"})
        counter.add(1, {"end": "Reset"})
        self._samples()
        counter.add(1, {"end": "Reset"})
        samples = self._samples()
        self.assertEqual(2, samples["chiverun_sends_total", "Answered"])
        self.assertEqual(2, samples["chiverun_sends_total", "Reset"])

    # Guards against histograms whose buckets do not add up.
    def test_histograms_have_cumulative_buckets(self) -> None:
        histogram = self._meter.create_histogram(
            "chiverun.request.duration",
            unit="s",
            explicit_bucket_boundaries_advisory=[0.1, 1.0],
        )
        for seconds in (0.05, 0.5, 5.0):
            histogram.record(seconds)
        name = "chiverun_request_duration_seconds"
        samples = self._samples()
        counts = [samples[f"{name}_bucket", b] for b in ("0.1", "1", "+Inf")]
        self.assertEqual([1, 2, 3], counts)
        self.assertEqual(3, samples[f"{name}_count",])

    def test_no_metrics_are_an_empty_text(self) -> None:
        self.assertEqual(b"", exposition(None))


class ImportTest(unittest.TestCase):
    # Guards against libraries that each instance keeps in memory unused.
    def test_an_edge_instance_does_not_import_unused_libraries(self) -> None:
        code = (
            "import sys, chiverun.platform.__main__;"
            "print([m for m in ('prometheus_client', 'fire', 'urllib3',"
            " 'pykka') if m in sys.modules])"
        )
        run = subprocess.run(
            [sys.executable, "-c", code], capture_output=True, check=True
        )
        self.assertEqual(b"[]", run.stdout.strip())
