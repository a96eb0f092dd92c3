"""The load that callers offer in a model run, and its results."""

import dataclasses

from hdrh.histogram import HdrHistogram

SHORT_S = 0.010
LONG_FACTOR = 50.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Load:
    """Load that callers offer, with times in seconds.

    `level` is the offered work as a share of all slots. Of the requests,
    `long_share` are long; with `long_as_short` they are sent in the class of
    short ones. Of the short requests, `write_share` are not repeatable.
    """

    level: float
    seconds: float = 4.0
    warmup_s: float = 2.0
    long_share: float = 0.0
    write_share: float = 0.3
    long_as_short: bool = False
    deadline_s: float | None = None
    slowed_servers: int = 0
    slow_factor: float = 10.0
    region_cap_share: float = 0.0

    def mean_s(self) -> float:
        """Return the mean running time."""
        return SHORT_S * (1.0 + self.long_share * (LONG_FACTOR - 1.0))


@dataclasses.dataclass(kw_only=True)
class Tally:
    """Results of a run for the requests after its warm-up."""

    short_us: HdrHistogram = dataclasses.field(
        default_factory=lambda: HdrHistogram(1, 600_000_000, 3)
    )
    write_us: HdrHistogram = dataclasses.field(
        default_factory=lambda: HdrHistogram(1, 600_000_000, 3)
    )
    offered: int = 0
    in_time: int = 0
    not_run: int = 0
    long_offered: int = 0
    long_in_time: int = 0
    hedges: int = 0
    over_cap: int = 0
    queued_at_server: int = 0
