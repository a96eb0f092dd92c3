"""Traffic shifts: the fraction to move now, and the requests to move.

The target region enforces the cap when it admits a moved request
(`core.admission`). The functions here decide how many requests the source
region offers.
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

# Maximum time between the admission of a moved request and its arrival at the
# backend server; an older grant is not used.
SHIFT_JITTER_S = 0.25
# With this window the cap holds in any second of arrivals at the servers.
SHIFT_WINDOW_S = 1.0 + SHIFT_JITTER_S
# Each rejected offer costs a round trip between regions.
TARGETS_PER_REQUEST = 2
# The first step is a part of the target fraction; each later step multiplies
# the current fraction.
FIRST_STEP_SHARE = 0.1
STEP_FACTOR = 2.0
# Maximum age of a measurement that allows growth.
MEASUREMENT_MAX_AGE_S = 3.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Measurement:
    """Free slots at the target region for a service, and their age."""

    free_slots: int
    age_s: float


@dataclasses.dataclass(kw_only=True)
class ShiftProgress:
    """Progress of a shift on this instance."""

    shift: Shift
    fraction: float = 0.0
    grown_at: float = float("-inf")
    diffusion: float = 0.0
    credits: dict["InstanceId", int] = dataclasses.field(default_factory=dict)
    skipped_until: dict["InstanceId", float] = dataclasses.field(
        default_factory=dict
    )


def cap_name(shift: Shift) -> str:
    """Return the name used to divide a shift's cap over seats.

    It does not depend on the shift's own name. When a ticket replaces a
    shift, the units thus stay with the same seats, and requests of the
    earlier shift still count in the window.
    """
    return f"shift:{shift.service}:{shift.source}:{shift.target}"


def is_same_move(first: Shift, second: Shift) -> bool:
    """Return whether two shifts have equal service, source and target."""
    return cap_name(first) == cap_name(second)


def with_shift(progress: ShiftProgress, shift: Shift) -> ShiftProgress:
    """Return the progress of a changed shift.

    The current fraction is kept, up to the new target fraction, so that
    traffic does not move back when a ticket changes the fraction or the cap.
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
    """Return the active shift of a service from `source`; None if none."""
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
    """Raise the fraction by one step if the target has free slots.

    Without a recent measurement the fraction does not grow.
    """
    target_fraction = progress.shift.fraction
    if progress.fraction >= target_fraction:
        progress.fraction = target_fraction
        return
    if measurement is None or measurement.age_s > MEASUREMENT_MAX_AGE_S:
        return
    if measurement.free_slots <= 0 or now - progress.grown_at < (
        progress.shift.warm_s
    ):
        return
    step = max(
        progress.fraction * STEP_FACTOR, target_fraction * FIRST_STEP_SHARE
    )
    progress.fraction = min(target_fraction, step)
    progress.grown_at = now


def should_move(progress: ShiftProgress) -> bool:
    """Return whether to move the next request, by error diffusion."""
    progress.diffusion += progress.fraction
    if progress.diffusion < 1.0:
        return False
    progress.diffusion -= 1.0
    return True


def select_targets(
    progress: ShiftProgress, targets: list["Target"], now: float
) -> list["Target"]:
    """Return the instances to offer a moved request to, in order.

    The order is a smooth weighted round robin by portions of the cap.
    Instances that have just rejected a request are skipped.
    """
    instance_ids = {t.addresses.instance for t in targets}
    for name in set(progress.credits) - instance_ids:
        del progress.credits[name]
    usable = [
        t
        for t in targets
        if now >= progress.skipped_until.get(t.addresses.instance, now)
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
    """Skip an instance that is at its portion of the cap for a while.

    The pause is the window divided by the portion, the mean time until the
    instance admits another request.
    """
    wait_s = SHIFT_WINDOW_S / max(1, target.portion)
    progress.skipped_until[target.addresses.instance] = now + wait_s
