"""Health of backend servers as observed by this instance.

Health is estimated from the instance's own requests. Load reports are
delayed and never attract traffic.
"""

import dataclasses
import enum
from collections.abc import Iterable
from collections.abc import Mapping
from typing import TYPE_CHECKING

from chiverun.core.errors import Outcome
from chiverun.core.exchange import classify
from chiverun.core.exchange import ExchangeEnd
from chiverun.core.exchange import Shed
from chiverun.core.exchange import ShedReason
from chiverun.core.exchange import TimedOut

if TYPE_CHECKING:
    from chiverun.core.ids import ServerName

SLOWNESS_WEIGHT = 0.3
SLOWNESS_MAX = 100.0
# Minimum latency recorded for a failed exchange: a server that fails fast
# must not appear to be fast.
FAILURE_LATENCY_S = 1.0
# A server slower than usual by this factor receives only single probes.
SLOW_FACTOR = 3.0
# Half-life of an estimate without new samples, so that the recovery of a
# server is detected. It doubles with each slow probe: with a constant
# half-life, probes of servers that stay slow were 1% of the requests.
SLOWNESS_HALF_LIFE_S = 2.0
SLOW_STREAK_MAX = 3
EJECT_AFTER_FAILURES = 3
EJECT_S = 2.0
EJECT_MAX_S = 30.0
SLOW_START_S = 5.0
# Validity of a drain notice from an exchange or a health check, so that one
# delayed "healthy" report does not restore the server.
DRAIN_NOTICE_S = 10.0
SHED_PAUSE_S = 0.2


class Eligibility(enum.Enum):
    """Whether a server may be chosen for requests."""

    OPEN = "open"
    EJECTED = "ejected"
    DRAINING = "draining"


@dataclasses.dataclass(kw_only=True)
class ServerHealth:
    """Health of a backend server; times are monotonic seconds.

    `slowness` is the smoothed ratio of a request's latency to the usual
    latency of its class, so that servers with different mixes of short and
    long requests are comparable.
    """

    name: "ServerName"
    address: str = ""
    slowness: float = 1.0
    measured_at: float = float("-inf")
    slow_streak: int = 0
    failures: int = 0
    ejections: int = 0
    ejected_until: float = 0.0
    draining_until: float = 0.0
    returned_at: float = float("-inf")
    samples: int = 0


def eligibility(row: ServerHealth, now: float) -> Eligibility:
    """Return whether the server may be chosen at `now`."""
    if now < row.draining_until:
        return Eligibility.DRAINING
    if now < row.ejected_until:
        return Eligibility.EJECTED
    return Eligibility.OPEN


def record(
    row: ServerHealth,
    end: ExchangeEnd,
    latency_s: float,
    typical_s: float,
    now: float,
) -> None:
    """Record how an exchange ended; `typical_s` is the class latency."""
    match end:
        case Shed(reason=ShedReason.DRAINING):
            mark_draining(row, now)
        case Shed(reason=ShedReason.OVERLOAD):
            row.ejected_until = max(row.ejected_until, now + SHED_PAUSE_S)
        case Shed():
            pass
        case TimedOut() if latency_s < SLOW_FACTOR * typical_s:
            # The caller's deadline was short; the server may be healthy.
            pass
        case _:
            _record_exchange(row, end, latency_s, typical_s, now)


def _record_exchange(
    row: ServerHealth,
    end: ExchangeEnd,
    latency_s: float,
    typical_s: float,
    now: float,
) -> None:
    failed = classify(end).outcome is not Outcome.ANSWERED
    sample = max(latency_s, FAILURE_LATENCY_S) if failed else latency_s
    observe(row, sample, typical_s, now)
    row.samples += 1
    if not failed:
        row.failures = 0
        row.ejections = 0
        return
    # A single timeout may be a slow request; several failures in a row are
    # not.
    row.failures += 1
    if row.failures >= EJECT_AFTER_FAILURES or (
        not isinstance(end, TimedOut) and row.samples == 1
    ):
        eject(row, now)


def observe(
    row: ServerHealth, latency_s: float, typical_s: float, now: float
) -> None:
    """Add a latency sample, or a lower bound above the estimate."""
    if typical_s <= 0.0:
        return
    sample = min(SLOWNESS_MAX, latency_s / typical_s)
    aged = aged_slowness(row, now)
    _update_slowness(
        row, aged + SLOWNESS_WEIGHT * (sample - aged), sample, now
    )


def observe_at_least(
    row: ServerHealth, latency_s: float, typical_s: float, now: float
) -> None:
    """Add the elapsed time of a cancelled exchange.

    It is no sign of recovery, so it never lowers the estimate.
    """
    if typical_s <= 0.0:
        return
    sample = latency_s / typical_s
    aged = aged_slowness(row, now)
    if sample > aged:
        estimate = aged + SLOWNESS_WEIGHT * (sample - aged)
        _update_slowness(row, max(row.slowness, estimate), sample, now)


def _update_slowness(
    row: ServerHealth, estimate: float, sample: float, now: float
) -> None:
    if estimate <= SLOW_FACTOR:
        row.slow_streak = 0
    elif sample > SLOW_FACTOR:
        row.slow_streak = min(SLOW_STREAK_MAX, row.slow_streak + 1)
    row.slowness = estimate
    row.measured_at = now


def aged_slowness(row: ServerHealth, now: float) -> float:
    """Return the estimate, which decays towards 1 with its age."""
    age_s = max(0.0, now - row.measured_at)
    half_life_s = SLOWNESS_HALF_LIFE_S * 2**row.slow_streak
    return 1.0 + (row.slowness - 1.0) * 0.5 ** (age_s / half_life_s)


def is_slow(row: ServerHealth) -> bool:
    """Return whether the last estimate is slow, regardless of its age."""
    return row.slowness > SLOW_FACTOR


def eject(row: ServerHealth, now: float) -> None:
    """Eject a server for a time that doubles with each ejection."""
    # The exponent is bounded: a server that is down for hours would reach
    # 2**1024, which overflows a float.
    pause_s = min(EJECT_MAX_S, EJECT_S * 2 ** min(row.ejections, 10))
    row.ejected_until = now + pause_s
    row.returned_at = row.ejected_until
    row.ejections += 1
    row.failures = 0


def mark_draining(row: ServerHealth, now: float) -> None:
    """Record that the server has announced that it is draining."""
    row.draining_until = now + DRAIN_NOTICE_S
    row.returned_at = row.draining_until


def start_slow_start(
    rows: Mapping["ServerName", ServerHealth],
    names: Iterable["ServerName"],
    now: float,
) -> None:
    """Start the slow start of servers that may be chosen again.

    A drain announced by a peer, the instance list or a ticket is not recorded
    in the server's row, so the row alone does not show the return.
    """
    for name in names:
        row = rows.get(name)
        if row is not None:
            row.returned_at = max(row.returned_at, now)


def slow_start_share(row: ServerHealth, now: float) -> float:
    """Return the usable share of a returning server's slots, 0 to 1."""
    age_s = now - row.returned_at
    if age_s >= SLOW_START_S:
        return 1.0
    return max(0.0, age_s / SLOW_START_S)
