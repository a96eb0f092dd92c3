"""Which connections of a full listener are closed for a new one."""

import collections
import dataclasses
import enum
from collections.abc import Sequence
from typing import Generic
from typing import TypeVar

from chiverun.core.callerlimits import CallerLimits

T = TypeVar("T")

# A connection is not closed in its first moments, nor an idle one that has
# just been used, so that those who follow each other do not close each other.
SPARED_S = 0.5
# Part of the connections closed at once: the choice looks at all of them.
_CLOSED_FRACTION = 1 / 32
# The same of idle ones, which sound callers may use again.
_IDLE_CLOSED_FRACTION = 1 / 128


class Standing(enum.IntEnum):
    """What a connection is doing; lower ones are closed first."""

    # The rest of a refused request is discarded.
    DISCARDING = 0
    # A request is read, or a response written, with hardly any progress.
    STALLED = 1
    # No request has come yet.
    UNUSED = 2
    IDLE = 3
    # A request is read, handled or answered; never closed for another one.
    ACTIVE = 4


@dataclasses.dataclass(frozen=True, kw_only=True)
class Candidate(Generic[T]):
    """A connection, its peer's address and since when it stands so."""

    connection: T
    host: str
    standing: Standing
    since: float


def connections_to_close(
    rows: Sequence[Candidate[T]], limits: CallerLimits, now: float
) -> list[T]:
    """Return the connections to close for new ones, none if all are active.

    Those of an address that has more than its part go first.
    """
    counts = collections.Counter(row.host for row in rows)
    address_max = limits.address_fraction * limits.connections
    closable = [row for row in rows if _is_closable(row, now)]
    closable.sort(
        key=lambda row: (
            row.standing,
            counts[row.host] <= address_max,
            row.since,
        )
    )
    first = closable[: _part(limits, _CLOSED_FRACTION)]
    idle = [row for row in first if row.standing == Standing.IDLE]
    spared = idle[_part(limits, _IDLE_CLOSED_FRACTION) :]
    return [row.connection for row in first if row not in spared]


def _part(limits: CallerLimits, fraction: float) -> int:
    return max(1, int(limits.connections * fraction))


def _is_closable(row: Candidate, now: float) -> bool:
    match row.standing:
        case Standing.DISCARDING:
            return True
        case Standing.ACTIVE:
            return False
    return now - row.since >= SPARED_S
