"""Traffic shifts: how much to move now, and which requests to move.

The cap is enforced where a moved request is admitted (`core.admission`);
here the source region decides how many requests it offers.
"""

import dataclasses
from typing import TYPE_CHECKING

from chiverun.core.ticket import Shift
from chiverun.core.ticket import ShiftState

if TYPE_CHECKING:
    from chiverun.core.ids import RegionName
    from chiverun.core.ids import ServiceName
    from chiverun.core.state import State

# The first step and the growth of a step, as parts of the target fraction.
FIRST_STEP = 0.1
STEP_GROWTH = 2.0
# A summary of the target older than this does not allow growth.
FRESH_S = 3.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Measurement:
    """Free slots at the target region for a service, and their age."""

    room: int
    age_s: float


@dataclasses.dataclass(kw_only=True)
class ShiftProgress:
    """How far a shift has grown on this instance."""

    shift: Shift
    fraction: float = 0.0
    grown_at: float = float("-inf")
    diffusion: float = 0.0


def active_shift(
    state: "State",
    service: "ServiceName",
    source: "RegionName",
    target: "RegionName | None" = None,
) -> Shift | None:
    """Return the active shift of a service from `source`, if any."""
    for shift in state.of(Shift).values():
        if (
            shift.state is ShiftState.ACTIVE
            and shift.service == service
            and shift.source == source
            and target in (None, shift.target)
        ):
            return shift
    return None


def grow(
    progress: ShiftProgress, measurement: Measurement | None, now: float
) -> None:
    """Raise the fraction by one step if the target is measured to have room.

    A missing or stale measurement stops growth and never speeds it.
    """
    goal = progress.shift.fraction
    if progress.fraction >= goal:
        progress.fraction = goal
        return
    if measurement is None or measurement.age_s > FRESH_S:
        return
    if measurement.room <= 0 or now - progress.grown_at < (
        progress.shift.warm_s
    ):
        return
    step = max(progress.fraction * STEP_GROWTH, goal * FIRST_STEP)
    progress.fraction = min(goal, step)
    progress.grown_at = now


def take(progress: ShiftProgress) -> bool:
    """Decide by error diffusion whether the next request is moved."""
    progress.diffusion += progress.fraction
    if progress.diffusion < 1.0:
        return False
    progress.diffusion -= 1.0
    return True
