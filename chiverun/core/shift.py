"""Traffic shifts: how much to move now, and which requests to move.

The cap is enforced where a moved request is admitted (`core.admission`);
here the source region decides how many requests it offers.
"""

import dataclasses
from typing import TYPE_CHECKING

from chiverun.core.ticket import Shift
from chiverun.core.ticket import ShiftState

if TYPE_CHECKING:
    from chiverun.core.ids import InstanceId
    from chiverun.core.ids import RegionName
    from chiverun.core.ids import ServiceName
    from chiverun.core.routing import Target
    from chiverun.core.state import State

# Jitter allowed between the admission of a moved request and its arrival at
# the backend server; a grant that is older is not used.
SHIFT_JITTER_S = 0.25
# The cap holds for any second of arrivals at the backend servers.
SHIFT_WINDOW_S = 1.0 + SHIFT_JITTER_S
# A refused request costs a round trip between regions.
TARGETS_PER_REQUEST = 2
# The first step and the growth of a step, as parts of the target fraction.
FIRST_STEP = 0.1
STEP_GROWTH = 2.0
# A summary of the target older than this does not allow growth.
FRESH_S = 3.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Measurement:
    """Free slots at the target region for a service, and their age."""

    free_slots: int
    age_s: float


@dataclasses.dataclass(kw_only=True)
class ShiftProgress:
    """How far a shift has grown on this instance."""

    shift: Shift
    fraction: float = 0.0
    grown_at: float = float("-inf")
    diffusion: float = 0.0
    credits: dict["InstanceId", int] = dataclasses.field(default_factory=dict)
    closed_until: dict["InstanceId", float] = dataclasses.field(
        default_factory=dict
    )


def cap_name(shift: Shift) -> str:
    """Return the name by which a shift's cap is divided over seats.

    It does not depend on the shift's own name, so that a ticket that
    replaces a shift gives the units to the same seats, and the requests of
    the earlier shift still count in the window.
    """
    return f"shift:{shift.service}:{shift.source}:{shift.target}"


def is_same_move(first: Shift, second: Shift) -> bool:
    """Tell whether two shifts move the same requests to the same region."""
    return cap_name(first) == cap_name(second)


def with_shift(progress: ShiftProgress, shift: Shift) -> ShiftProgress:
    """Return the progress of a changed shift.

    The reached fraction is kept, up to the new one: traffic does not fall
    back when a ticket changes the fraction or the cap.
    """
    return dataclasses.replace(
        progress,
        shift=shift,
        fraction=min(progress.fraction, shift.fraction),
    )


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
    if measurement.free_slots <= 0 or now - progress.grown_at < (
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


def select_targets(
    progress: ShiftProgress, targets: list["Target"], now: float
) -> list["Target"]:
    """Order the instances to offer a moved request to.

    Smooth weighted round robin by their portions of the cap; instances that
    refused a request a moment ago are left out.
    """
    names = {t.addresses.instance for t in targets}
    for name in set(progress.credits) - names:
        del progress.credits[name]
    usable = [
        t
        for t in targets
        if now >= progress.closed_until.get(t.addresses.instance, now)
    ]
    if not usable:
        return []
    credits = progress.credits
    for target in usable:
        name = target.addresses.instance
        credits[name] = credits.get(name, 0) + target.portion
    usable.sort(key=lambda t: -credits[t.addresses.instance])
    credits[usable[0].addresses.instance] -= sum(t.portion for t in usable)
    return usable[:TARGETS_PER_REQUEST]


def record_refusal(
    progress: ShiftProgress, target: "Target", now: float
) -> None:
    """Leave out an instance that is at its portion of the cap.

    It admits about one more request in each window divided by its portion.
    """
    wait_s = SHIFT_WINDOW_S / max(1, target.portion)
    progress.closed_until[target.addresses.instance] = now + wait_s
