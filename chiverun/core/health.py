"""Health of backend servers as seen by this instance.

An instance's own requests are the fresh signal. Load reports lag and are
not used to attract traffic.
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
# Latency counted for a failed exchange: a server that fails fast must not
# look fast.
FAILURE_LATENCY_S = 1.0
# A server this many times slower than the class usually is gets no requests
# but single probes.
SLOW_FACTOR = 3.0
# Half-life of an estimate that gets no samples, so that a server that has
# become fast again is noticed. It doubles with each probe that was slow: at a
# constant one, probes of lasting slow servers made up 1% of the requests.
SLOWNESS_HALF_LIFE_S = 2.0
SLOW_STREAK_MAX = 3
EJECT_AFTER_FAILURES = 3
EJECT_S = 2.0
EJECT_MAX_S = 30.0
SLOW_START_S = 5.0
# A drain sign seen on an exchange or a health check holds this long, so that
# one lagging "healthy" report does not bring the server back.
DRAIN_SIGN_S = 10.0
SHED_PAUSE_S = 0.2


class Eligibility(enum.Enum):
    """Whether a server may be chosen."""

    OPEN = "open"
    EJECTED = "ejected"
    DRAINING = "draining"


@dataclasses.dataclass(kw_only=True)
class ServerHealth:
    """Row of a backend server; times are monotonic seconds.

    `slowness` is the smoothed ratio of latency to what is usual for the
    class of each request, so that servers compare equally whatever mix of
    short and long requests they ran.
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
    usual_s: float,
    now: float,
) -> None:
    """Record how an exchange ended; `usual_s` is its class's usual time."""
    match end:
        case Shed(reason=ShedReason.DRAINING):
            mark_draining(row, now)
        case Shed(reason=ShedReason.OVERLOAD):
            row.ejected_until = max(row.ejected_until, now + SHED_PAUSE_S)
        case Shed():
            pass
        case TimedOut() if latency_s < SLOW_FACTOR * usual_s:
            # A caller's deadline was short; the server may be all right.
            pass
        case _:
            _record_exchange(row, end, latency_s, usual_s, now)


def _record_exchange(
    row: ServerHealth,
    end: ExchangeEnd,
    latency_s: float,
    usual_s: float,
    now: float,
) -> None:
    failed = classify(end).outcome is not Outcome.ANSWERED
    sample = max(latency_s, FAILURE_LATENCY_S) if failed else latency_s
    observe(row, sample, usual_s, now)
    row.samples += 1
    if not failed:
        row.failures = 0
        row.ejections = 0
        return
    # One time-out may be a slow request; several failures in a row are not.
    row.failures += 1
    if row.failures >= EJECT_AFTER_FAILURES or (
        not isinstance(end, TimedOut) and row.samples == 1
    ):
        eject(row, now)


def observe(
    row: ServerHealth, latency_s: float, usual_s: float, now: float
) -> None:
    """Add a latency, or a lower bound of one that is above the estimate."""
    if usual_s <= 0.0:
        return
    sample = min(SLOWNESS_MAX, latency_s / usual_s)
    aged = aged_slowness(row, now)
    _set(row, aged + SLOWNESS_WEIGHT * (sample - aged), sample, now)


def observe_at_least(
    row: ServerHealth, latency_s: float, usual_s: float, now: float
) -> None:
    """Add the time that a cancelled exchange had run for.

    It is no sign of recovery, so it keeps an older, higher estimate.
    """
    if usual_s <= 0.0:
        return
    sample = latency_s / usual_s
    aged = aged_slowness(row, now)
    if sample > aged:
        estimate = aged + SLOWNESS_WEIGHT * (sample - aged)
        _set(row, max(row.slowness, estimate), sample, now)


def _set(
    row: ServerHealth, estimate: float, sample: float, now: float
) -> None:
    if estimate <= SLOW_FACTOR:
        row.slow_streak = 0
    elif sample > SLOW_FACTOR:
        row.slow_streak = min(SLOW_STREAK_MAX, row.slow_streak + 1)
    row.slowness = estimate
    row.measured_at = now


def aged_slowness(row: ServerHealth, now: float) -> float:
    """Return the estimate, moved towards 1 as it gets old."""
    age_s = max(0.0, now - row.measured_at)
    half_life_s = SLOWNESS_HALF_LIFE_S * 2**row.slow_streak
    return 1.0 + (row.slowness - 1.0) * 0.5 ** (age_s / half_life_s)


def is_slow(row: ServerHealth) -> bool:
    """Tell whether the last estimate, however old, is slow."""
    return row.slowness > SLOW_FACTOR


def eject(row: ServerHealth, now: float) -> None:
    """Take a server out for a time that doubles with each ejection."""
    # The exponent is bounded: a float cannot hold 2**1024, which a server
    # that stays dead for hours would reach.
    pause_s = min(EJECT_MAX_S, EJECT_S * 2 ** min(row.ejections, 10))
    row.ejected_until = now + pause_s
    row.returned_at = row.ejected_until
    row.ejections += 1
    row.failures = 0


def mark_draining(row: ServerHealth, now: float) -> None:
    """Note that the server said itself that it is leaving."""
    row.draining_until = now + DRAIN_SIGN_S
    row.returned_at = row.draining_until


def note_returned(
    rows: Mapping["ServerName", ServerHealth],
    names: Iterable["ServerName"],
    now: float,
) -> None:
    """Begin the slow start of servers that may be chosen again.

    A sign from a peer, the instance list or a ticket leaves no mark in the
    row of an instance that did not see the server drain itself.
    """
    for name in names:
        row = rows.get(name)
        if row is not None:
            row.returned_at = max(row.returned_at, now)


def slow_start_share(row: ServerHealth, now: float) -> float:
    """Return the part of its slots that a returning server may use."""
    age_s = now - row.returned_at
    if age_s >= SLOW_START_S:
        return 1.0
    return max(0.0, age_s / SLOW_START_S)
