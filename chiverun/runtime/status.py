"""Status of an instance for operators."""

import dataclasses
from typing import TYPE_CHECKING

import msgspec

from chiverun.core.messages import MemberState

if TYPE_CHECKING:
    from chiverun.core.admission import Admission
    from chiverun.core.clock import Clock
    from chiverun.core.links import Links
    from chiverun.runtime.control import ControlPlane
    from chiverun.runtime.storeworker import HeadWatch


@dataclasses.dataclass(frozen=True, kw_only=True)
class StatusSources:
    """Components from which a status is collected."""

    clock: "Clock"
    plane: "ControlPlane"
    admission: "Admission"
    links: "Links"
    watch: "HeadWatch"


class MemberStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Status of another instance; `age_s` is the age of its last advert."""

    instance: str
    zone: str
    state: MemberState
    number: int
    seats: int
    age_s: float


class Status(msgspec.Struct, frozen=True, kw_only=True):
    """Status of one instance.

    `free_slots` counts the free slots by service, `links` is the unused
    fraction of this instance's portion of each link, and `in_force_s` the time
    since the ticket took effect at this instance.
    """

    instance: str
    boot_id: str = msgspec.field(name="life")
    zone: str
    number: int
    digest: str
    in_force_s: float
    store_reachable: bool
    leaving: bool
    suspended: bool
    fork: str | None
    store_fault: str | None = None
    seats: list[int]
    seats_open: int
    free_slots: dict[str, int] = msgspec.field(name="room")
    in_flight: int
    links: dict[str, float]
    draining: list[str]
    members: list[MemberStatus]


def make_status(sources: StatusSources) -> Status:
    """Return the current status."""
    plane = sources.plane
    now = sources.clock.monotonic()
    held = dict(plane.seats.held)
    return Status(
        instance=plane.identity.instance,
        boot_id=plane.identity.boot_id,
        zone=plane.identity.zone,
        number=plane.state.number,
        digest=plane.state.digest,
        in_force_s=round(now - plane.in_force_at, 3),
        store_reachable=sources.watch.is_reachable,
        leaving=plane.is_leaving,
        suspended=plane.seats.suspended_at is not None,
        fork=plane.fork_reason,
        store_fault=sources.watch.fault,
        seats=sorted(held),
        seats_open=sum(1 for h in held.values() if h.short_opens_at <= now),
        free_slots=dict(sources.admission.free_slots()),
        in_flight=sources.admission.in_flight(),
        links={t: round(f, 3) for t, f in sources.links.headroom().items()},
        draining=sorted(plane.snapshot.leaving_servers),
        members=[
            MemberStatus(
                instance=m.instance,
                zone=m.zone,
                state=m.state,
                number=m.advert.number if m.advert else 0,
                seats=len(m.advert.seats) if m.advert else 0,
                age_s=round(now - m.measured_at, 3) if m.advert else -1.0,
            )
            for m in list(plane.members.rows.values())
        ],
    )
