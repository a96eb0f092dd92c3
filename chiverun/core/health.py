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

LATENCY_WEIGHT = 0.2
# Latency counted for a failed exchange: a server that fails fast must not
# look fast.
FAILURE_LATENCY_S = 1.0
EJECT_AFTER_FAILURES = 3
EJECT_S = 2.0
EJECT_MAX_S = 30.0
SLOW_START_S = 5.0
# A drain sign seen on an exchange or a health check holds this long, so that
# one lagging "healthy" report does not bring the server back.
DRAIN_SIGN_S = 10.0
SHED_PAUSE_S = 0.2


class Standing(enum.Enum):
    """Whether a server may be chosen."""

    OPEN = "open"
    EJECTED = "ejected"
    DRAINING = "draining"


@dataclasses.dataclass(kw_only=True)
class ServerHealth:
    """Row of a backend server; times are monotonic seconds."""

    name: "ServerName"
    latency_s: float = 0.0
    failures: int = 0
    ejections: int = 0
    ejected_until: float = 0.0
    draining_until: float = 0.0
    returned_at: float = float("-inf")
    samples: int = 0


def standing(row: ServerHealth, now: float) -> Standing:
    """Return whether the server may be chosen at `now`."""
    if now < row.draining_until:
        return Standing.DRAINING
    if now < row.ejected_until:
        return Standing.EJECTED
    return Standing.OPEN


def record(
    row: ServerHealth, end: ExchangeEnd, latency_s: float, now: float
) -> None:
    """Record how an exchange ended."""
    match end:
        case Shed(reason=ShedReason.DRAINING):
            mark_draining(row, now)
        case Shed(reason=ShedReason.OVERLOAD):
            row.ejected_until = max(row.ejected_until, now + SHED_PAUSE_S)
        case Shed():
            pass
        case _:
            _record_exchange(row, end, latency_s, now)


def _record_exchange(
    row: ServerHealth, end: ExchangeEnd, latency_s: float, now: float
) -> None:
    failed = classify(end).outcome is not Outcome.ANSWERED
    sample = max(latency_s, FAILURE_LATENCY_S) if failed else latency_s
    if row.samples == 0:
        row.latency_s = sample
    else:
        row.latency_s += LATENCY_WEIGHT * (sample - row.latency_s)
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


def eject(row: ServerHealth, now: float) -> None:
    """Take a server out for a time that doubles with each ejection."""
    pause_s = min(EJECT_MAX_S, EJECT_S * 2**row.ejections)
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
