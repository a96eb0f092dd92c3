"""Tables of the control plane; `runtime.control` is their only writer."""

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
    `measured_at` is when its advert was made. `noted_sequence` is the number
    of the last ping sent before `boot_id` was learned; `synced_sequence` that
    of the last ping whose acknowledgement showed equal seat marks. `checks`
    counts the pings since the member was declared dead.
    """

    instance: InstanceId
    zone: ZoneName
    peer: Address
    incarnation: int
    boot_id: BootId | None = None
    state: MemberState = MemberState.ALIVE
    state_since: float = 0.0
    acked_at: float = float("-inf")
    noted_sequence: int = 0
    synced_sequence: int = -1
    checks: int = 0
    checked_at: float = float("-inf")
    advert: Advert | None = None
    measured_at: float = float("-inf")

    @property
    def is_live(self) -> bool:
        """Whether the member is not known to be dead."""
        return self.state is not MemberState.DEAD


@dataclasses.dataclass(kw_only=True)
class Probe:
    """The ping whose acknowledgement is awaited."""

    target: InstanceId
    sequence: int
    sent_at: float
    is_acked: bool = False
    is_indirect: bool = False


@dataclasses.dataclass(kw_only=True)
class PendingUpdate:
    """A member update with the number of messages left to carry it."""

    update: MemberUpdate
    sends_left: int


@dataclasses.dataclass(kw_only=True)
class MemberTable:
    """Known instances, without this one, and the state of probing them.

    `ended` are process lifetimes that have provably ended, since another
    lifetime answered a later ping to their address. `version` changes with
    every change that look-ups must show at once.
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
        # The store's follower reads rows while control adds to them; a list
        # of a dict's values is made in one step.
        return list(self.by_zone.get(zone, {}).values())

    def add(self, row: Member) -> None:
        """Add a row, or file it under its present zone."""
        known = self.rows.get(row.instance)
        if known is not None:
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
        """Return the rows of a zone that are not known to be dead."""
        return [m for m in self.in_zone(zone) if m.is_live]


@dataclasses.dataclass(kw_only=True)
class Held:
    """A seat this instance holds; slots open at the given times."""

    epoch: int
    short_opens_at: float
    long_opens_at: float


@dataclasses.dataclass(kw_only=True)
class Releasing:
    """A seat that is given up once its work has ended.

    `receiver` is None when there is no instance to take it. Until a snapshot
    without the seat `is_published`, requests may still be admitted on it.
    """

    epoch: int
    short_opens_at: float
    long_opens_at: float
    receiver: InstanceId | None
    is_published: bool = False


@dataclasses.dataclass(kw_only=True)
class Transfer:
    """A seat handed over, until the receiver is seen to hold it."""

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
class OldClasses:
    """Deadlines that were in force before a ticket changed them.

    Work admitted under them may run until `until`. With `is_relaid`, a slot
    may have carried a long request that carries only short ones now; with
    `is_reseated` it belonged to another seat.
    """

    until: float
    short_s: float
    long_s: float
    is_relaid: bool
    is_reseated: bool


@dataclasses.dataclass(frozen=True, order=True)
class SeatHolder:
    """The latest holder known of a seat; the greater mark is the later."""

    epoch: int
    boot_id: BootId


@dataclasses.dataclass(kw_only=True)
class SeatTable:
    """Seats of this instance.

    `known_holders` has the latest holder ever heard of for each seat, `digest`
    a hash of them (None when to be computed); `taken` the epochs of transfers
    that this instance has taken, so that it takes none twice. `gained_seats`
    are seats gained lately, with the number of times left to tell the zone.
    While `suspended_at` is set, the seats may not be used; acknowledgements
    of pings numbered above `suspended_sequence` were made after the pause.
    `unwritten` and `unwritten_releases` await being written to the record.
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
    taken: dict[SeatIndex, int] = dataclasses.field(default_factory=dict)
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
    unwritten: dict[SeatIndex, Owner] = dataclasses.field(default_factory=dict)
    unwritten_releases: dict[SeatIndex, int] = dataclasses.field(
        default_factory=dict
    )
    write_pending_since: float | None = None
    write_at: float = float("-inf")
    old_classes: list[OldClasses] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(kw_only=True)
class DrainTable:
    """Servers that are leaving, and until when each sign holds."""

    until: dict[ServerName, float] = dataclasses.field(default_factory=dict)
