"""Observed running times of a request class, as a histogram.

Bucket limits grow by 20%, so a quantile is at most 20% too high.
"""

import bisect
import dataclasses

_FIRST_LIMIT_S = 0.0002
_LIMIT_GROWTH = 1.2
_LIMITS_S = tuple(_FIRST_LIMIT_S * _LIMIT_GROWTH**n for n in range(72))
# The weight of old samples is halved after this many samples.
_HALVE_AFTER_SAMPLES = 400
# Quantiles are cached for this many samples.
_CACHED_FOR_SAMPLES = 16
_MEAN_WEIGHT = 0.05
# Half-life of the expected time without new samples. If a wrong estimate made
# an instance reject all requests, it would otherwise never be corrected.
_MEAN_HALF_LIFE_S = 2.0
SAMPLES_MIN = 20


@dataclasses.dataclass(kw_only=True)
class ClassTimes:
    """Running times of one class of a service, in seconds."""

    mean_s: float = 0.0
    samples: int = 0
    last_at: float = 0.0
    _counts: list[float] = dataclasses.field(
        default_factory=lambda: [0.0] * len(_LIMITS_S)
    )
    _total: float = 0.0
    _cached: dict[float, float] = dataclasses.field(default_factory=dict)

    def record(self, seconds: float, now: float) -> None:
        """Add a sample."""
        weight = max(_MEAN_WEIGHT, 1.0 / (self.samples + 1))
        self.mean_s += weight * (seconds - self.mean_s)
        self.samples += 1
        self.last_at = now
        bucket = bisect.bisect_left(_LIMITS_S, seconds)
        self._counts[min(bucket, len(_LIMITS_S) - 1)] += 1.0
        self._total += 1.0
        if self.samples % _CACHED_FOR_SAMPLES == 0:
            self._cached.clear()
        if self.samples % _HALVE_AFTER_SAMPLES == 0:
            self._counts = [count / 2.0 for count in self._counts]
            self._total /= 2.0

    def quantile_s(self, quantile: float) -> float:
        """Return a quantile; 0 with fewer than `SAMPLES_MIN` samples."""
        if self.samples < SAMPLES_MIN:
            return 0.0
        if quantile not in self._cached:
            self._cached[quantile] = self._find(quantile)
        return self._cached[quantile]

    def expected_s(self, now: float) -> float:
        """Return the mean, which decays after the last sample."""
        age_s = max(0.0, now - self.last_at - _MEAN_HALF_LIFE_S)
        return self.mean_s * 0.5 ** (age_s / _MEAN_HALF_LIFE_S)

    def _find(self, quantile: float) -> float:
        left = quantile * self._total
        for limit_s, count in zip(_LIMITS_S, self._counts, strict=True):
            left -= count
            if left <= 0:
                return limit_s
        return _LIMITS_S[-1]
