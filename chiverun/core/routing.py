"""Which instances to forward a request to, in order."""

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

# An advert older than this says nothing about an instance's free slots.
ROOM_MAX_AGE_S = 5.0
TARGETS_MAX = 3
# Way to another region and back. A request that would get a slot in its own
# zone sooner waits there.
REGION_DETOUR_S = 0.07


@dataclasses.dataclass(frozen=True, kw_only=True)
class Target:
    """An instance that may admit a request to its zone's servers.

    `portion` is its part of a shift's cap, in requests per second.
    """

    zone: ZoneName
    region: RegionName
    addresses: EntryAddresses
    portion: int = 0


def link_between(
    state: "State", source: RegionName, target: RegionName
) -> Link | None:
    """Return the link from one region to another, if the state has one."""
    for link in state.of(Link).values():
        if link.source == source and link.target == target:
            return link
    return None


def overflow_targets(
    snapshot: "Snapshot",
    me: "InstanceId",
    home: ZoneName,
    service: "ServiceName",
    now: float,
) -> list[Target]:
    """Return instances with free slots, nearest first, at most three.

    Instances of the home zone come first, then the home region, then other
    regions that a link leads to; among equals the one with the most room.
    """
    state = snapshot.state
    zone = state.of(Zone).get(home)
    if zone is None:
        return []
    targets = [
        t
        for t in _targets(snapshot, me)
        if _has_room(t, service, now)
        and (
            t.region == zone.region
            or link_between(state, zone.region, t.region) is not None
        )
    ]
    targets.sort(
        key=lambda t: (
            t.zone != home,
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

    With a cap below the number of seats some instances have no part of it
    and would refuse every request. Instances that were not heard of lately
    may be cut off; trying them would cost a moved request its deadline.
    """
    targets = []
    for target in _targets(snapshot, me):
        addresses = target.addresses
        if target.region != shift.target:
            continue
        if now - addresses.measured_at > ROOM_MAX_AGE_S:
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
    """Return a region's free slots for a service and when measured."""
    rooms = [
        a
        for view in snapshot.zones.values()
        if view.region == region and not view.is_drained
        for a in view.instances
    ]
    if not rooms:
        return 0, float("-inf")
    return (
        sum(a.free_slots.get(service, 0) for a in rooms),
        min(a.measured_at for a in rooms),
    )


def _targets(snapshot: "Snapshot", me: "InstanceId") -> list[Target]:
    return [
        Target(zone=view.zone, region=view.region, addresses=addresses)
        for view in snapshot.zones.values()
        for addresses in view.instances
        if addresses.instance != me and not view.is_drained
    ]


def _has_room(target: Target, service: "ServiceName", now: float) -> bool:
    addresses = target.addresses
    return (
        now - addresses.measured_at <= ROOM_MAX_AGE_S
        and addresses.free_slots.get(service, 0) > 0
    )
