"""Tables of the control plane; only `runtime.control` writes them."""

import dataclasses

import msgspec

from chiverun.core.ids import Address
from chiverun.core.ids import BootId
from chiverun.core.ids import InstanceId
from chiverun.core.ids import SeatIndex
from chiverun.core.ids import ServerName
from chiverun.core.ids import ZoneName
from chiverun.core.messages import Advert
from chiverun.core.messages import MemberState
from chiverun.core.messages import MemberUpdate


@dataclasses.dataclass(kw_only=True)
class Member:
    """Row of an instance; times are monotonic seconds.

    `advert` is None for an instance known only from the seat record.
    `measured_at` is the creation time of the advert. `boot_seen_sequence` is
    the number of the last ping sent before `boot_id` became known, and
    `synced_sequence` that of the last ping whose acknowledgement showed equal
    seat holders. `checks` counts the pings since the member was declared
    dead.
    """

    instance: InstanceId
    zone: ZoneName
    peer: Address
    incarnation: int
    boot_id: BootId | None = None
    state: MemberState = MemberState.ALIVE
    state_since: float = 0.0
    acked_at: float = float("-inf")
    boot_seen_sequence: int = 0
    synced_sequence: int = -1
    checks: int = 0
    checked_at: float = float("-inf")
    advert: Advert | None = None
    measured_at: float = float("-inf")

    @property
    def is_live(self) -> bool:
        """Whether the member is alive or suspect."""
        return self.state is not MemberState.DEAD


@dataclasses.dataclass(kw_only=True)
class Probe:
    """The ping of the current period."""

    target: InstanceId
    sequence: int
    sent_at: float
    is_acked: bool = False
    is_indirect: bool = False


@dataclasses.dataclass(kw_only=True)
class PendingUpdate:
    """A member update and the number of messages still to include it."""

    update: MemberUpdate
    sends_left: int


@dataclasses.dataclass(kw_only=True)
class MemberTable:
    """Known instances, excluding this one, and the state of their probes.

    `ended` has the boot IDs of processes known to have ended, since a process
    with another boot ID has answered a later ping to their address. `version`
    changes with every change that look-ups must reflect at once.
    """

    rows: dict[InstanceId, Member] = dataclasses.field(default_factory=dict)
    by_zone: dict[ZoneName, dict[InstanceId, Member]] = dataclasses.field(
        default_factory=dict
    )
    updates: dict[InstanceId, PendingUpdate] = dataclasses.field(
        default_factory=dict
    )
    probe: Probe | None = None
    probe_order: list[InstanceId] = dataclasses.field(default_factory=list)
    relayed: dict[int, tuple[Address, int]] = dataclasses.field(
        default_factory=dict
    )
    ended: dict[BootId, None] = dataclasses.field(default_factory=dict)
    sequence: int = 0
    next_probe_at: float = 0.0
    expired_at: float = float("-inf")
    version: int = 0

    def in_zone(self, zone: ZoneName) -> list[Member]:
        """Return the rows of a zone."""
        # The store's follower reads rows while control adds rows; building a
        # list of a dict's values is atomic.
        return list(self.by_zone.get(zone, {}).values())

    def add(self, row: Member) -> None:
        """Add a row, or move it to its current zone."""
        current = self.rows.get(row.instance)
        if current is not None:
            self.remove(row.instance)
        self.rows[row.instance] = row
        self.by_zone.setdefault(row.zone, {})[row.instance] = row

    def remove(self, instance: InstanceId) -> None:
        """Remove a row."""
        del self.rows[instance]
        for zone, rows in list(self.by_zone.items()):
            rows.pop(instance, None)
            if not rows:
                del self.by_zone[zone]

    def live_in_zone(self, zone: ZoneName) -> list[Member]:
        """Return the rows of a zone that are alive or suspect."""
        return [m for m in self.in_zone(zone) if m.is_live]


@dataclasses.dataclass(kw_only=True)
class Held:
    """A seat that this instance holds, with opening times of its slots."""

    epoch: int
    short_opens_at: float
    long_opens_at: float


@dataclasses.dataclass(kw_only=True)
class Releasing:
    """A seat that is released once the requests on its slots have ended.

    `receiver` is None without an instance to transfer it to. Until a snapshot
    without the seat `is_published`, requests may still be admitted on it.
    """

    epoch: int
    short_opens_at: float
    long_opens_at: float
    receiver: InstanceId | None
    is_published: bool = False


@dataclasses.dataclass(kw_only=True)
class Transfer:
    """A transferred seat, kept until the receiver is known to hold it."""

    epoch: int
    short_opens_at: float
    long_opens_at: float
    receiver: InstanceId
    boot_id: BootId
    sent_at: float = float("-inf")


class Owner(msgspec.Struct, frozen=True, kw_only=True):
    """The holder of a seat in the store's record."""

    instance: InstanceId
    boot_id: BootId = msgspec.field(name="life")
    incarnation: int
    peer: Address
    epoch: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class OldDeadlines:
    """Deadlines that applied before a ticket changed them.

    Requests admitted under them may run until `until`. With
    `long_slots_changed`, a slot that now runs only short requests may have run
    a long one. With `seat_count_changed`, a slot belonged to another seat.
    """

    until: float
    short_s: float
    long_s: float
    long_slots_changed: bool
    seat_count_changed: bool


@dataclasses.dataclass(frozen=True, order=True)
class SeatHolder:
    """The latest known holder of a seat; a greater one is newer."""

    epoch: int
    boot_id: BootId


@dataclasses.dataclass(kw_only=True)
class SeatTable:
    """Seats of this instance.

    `known_holders` has the latest known holder of each seat, and `digest`
    their hash (None until computed). `accepted_transfers` has the epochs of
    accepted transfers, so that none is accepted twice. `gained_seats` has
    recently gained seats with the number of announcements left. While
    `suspended_at` is set, the seats may not be used; acknowledgements of
    pings numbered above `suspended_sequence` were sent after the pause.
    `unwritten_owners` and `unwritten_releases` are still to be written to
    the store's record.
    """

    held: dict[SeatIndex, Held] = dataclasses.field(default_factory=dict)
    releasing: dict[SeatIndex, Releasing] = dataclasses.field(
        default_factory=dict
    )
    transfers: dict[SeatIndex, Transfer] = dataclasses.field(
        default_factory=dict
    )
    known_holders: dict[SeatIndex, SeatHolder] = dataclasses.field(
        default_factory=dict
    )
    digest: int | None = None
    accepted_transfers: dict[SeatIndex, int] = dataclasses.field(
        default_factory=dict
    )
    gained_seats: dict[SeatIndex, int] = dataclasses.field(
        default_factory=dict
    )
    gained_announced_at: float = float("-inf")
    uncovered_since: dict[SeatIndex, float] = dataclasses.field(
        default_factory=dict
    )
    suspended_at: float | None = None
    suspended_sequence: int = 0
    is_record_read: bool = False
    confirm_sent_at: float = float("-inf")
    claim_pending_since: float | None = None
    claim_at: float = float("-inf")
    requested_at: float = float("-inf")
    read_pending_since: float | None = None
    read_at: float = float("-inf")
    unwritten_owners: dict[SeatIndex, Owner] = dataclasses.field(
        default_factory=dict
    )
    unwritten_releases: dict[SeatIndex, int] = dataclasses.field(
        default_factory=dict
    )
    write_pending_since: float | None = None
    write_at: float = float("-inf")
    old_deadlines: list[OldDeadlines] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(kw_only=True)
class DrainTable:
    """Draining servers, and the expiry of each drain notice."""

    until: dict[ServerName, float] = dataclasses.field(default_factory=dict)
