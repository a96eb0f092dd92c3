"""Selection of the instances to which a request is forwarded."""

import dataclasses
from typing import TYPE_CHECKING

from chiverun.core.ids import RegionName
from chiverun.core.ids import ZoneName
from chiverun.core.portions import held_portion
from chiverun.core.shift import cap_name
from chiverun.core.snapshot import EntryAddresses
from chiverun.core.ticket import Link
from chiverun.core.ticket import Zone

if TYPE_CHECKING:
    from chiverun.core.ids import InstanceId
    from chiverun.core.ids import ServiceName
    from chiverun.core.snapshot import Snapshot
    from chiverun.core.state import State
    from chiverun.core.ticket import Shift

# Free slots of an older advert are ignored.
FREE_SLOTS_MAX_AGE_S = 5.0
TARGETS_MAX = 3
# Round trip to another region. A request that expects a slot in its own zone
# sooner waits there instead.
REGION_ROUND_TRIP_S = 0.07


@dataclasses.dataclass(frozen=True, kw_only=True)
class Target:
    """An instance that may admit a request to its zone's servers.

    `portion` is its portion of a shift's cap, in requests per second.
    """

    zone: ZoneName
    region: RegionName
    addresses: EntryAddresses
    portion: int = 0


def link_between(
    state: "State", source: RegionName, target: RegionName
) -> Link | None:
    """Return the link from one region to another; None if there is none."""
    for link in state.of(Link).values():
        if link.source == source and link.target == target:
            return link
    return None


def overflow_targets(
    snapshot: "Snapshot",
    me: "InstanceId",
    own_zone: ZoneName,
    service: "ServiceName",
    now: float,
) -> list[Target]:
    """Return at most three instances with free slots, nearest first.

    Instances of `own_zone` come first, then those of its region, then those
    of other regions with a link. Within each group, instances with the most
    free slots come first.
    """
    state = snapshot.state
    zone = state.of(Zone).get(own_zone)
    if zone is None:
        return []
    targets = [
        t
        for t in _targets(snapshot, me)
        if _has_free_slots(t, service, now)
        and (
            t.region == zone.region
            or link_between(state, zone.region, t.region) is not None
        )
    ]
    targets.sort(
        key=lambda t: (
            t.zone != own_zone,
            t.region != zone.region,
            -t.addresses.free_slots.get(service, 0),
        )
    )
    return targets[:TARGETS_MAX]


def region_targets(
    snapshot: "Snapshot",
    me: "InstanceId",
    region: RegionName,
    service: "ServiceName",
) -> list[Target]:
    """Return the instances of a region, most free slots first."""
    targets = [t for t in _targets(snapshot, me) if t.region == region]
    targets.sort(key=lambda t: -t.addresses.free_slots.get(service, 0))
    return targets[:TARGETS_MAX]


def shift_targets(
    snapshot: "Snapshot", me: "InstanceId", shift: "Shift", now: float
) -> list[Target]:
    """Return the instances that may admit requests of a shift.

    With a cap below the number of seats, some instances have no portion and
    would reject every request. Instances without a recent advert may be
    unreachable, and trying them could exceed a moved request's deadline.
    """
    targets = []
    for target in _targets(snapshot, me):
        addresses = target.addresses
        if target.region != shift.target:
            continue
        if now - addresses.measured_at > FREE_SLOTS_MAX_AGE_S:
            continue
        portion = held_portion(
            snapshot.state,
            cap_name(shift),
            shift.cap_per_s,
            target.zone,
            addresses.seats,
        )
        if portion > 0:
            targets.append(dataclasses.replace(target, portion=portion))
    return targets


def region_free_slots(
    snapshot: "Snapshot", region: RegionName, service: "ServiceName"
) -> tuple[int, float]:
    """Return a region's free slots for a service and the measuring time."""
    entries = [
        addresses
        for view in snapshot.zones.values()
        if view.region == region and not view.is_drained
        for addresses in view.instances
    ]
    if not entries:
        return 0, float("-inf")
    return (
        sum(a.free_slots.get(service, 0) for a in entries),
        min(a.measured_at for a in entries),
    )


def _targets(snapshot: "Snapshot", me: "InstanceId") -> list[Target]:
    return [
        Target(zone=view.zone, region=view.region, addresses=addresses)
        for view in snapshot.zones.values()
        for addresses in view.instances
        if addresses.instance != me and not view.is_drained
    ]


def _has_free_slots(
    target: Target, service: "ServiceName", now: float
) -> bool:
    addresses = target.addresses
    return (
        now - addresses.measured_at <= FREE_SLOTS_MAX_AGE_S
        and addresses.free_slots.get(service, 0) > 0
    )
