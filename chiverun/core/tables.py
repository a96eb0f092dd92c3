"""Tables of the control plane; `runtime.control` is their only writer."""

import dataclasses

from chiverun.core.ids import Address
from chiverun.core.ids import InstanceId
from chiverun.core.ids import LifeId
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
    `measured_at` is when its advert was made.
    """

    instance: InstanceId
    zone: ZoneName
    peer: Address
    incarnation: int
    life: LifeId | None = None
    state: MemberState = MemberState.ALIVE
    state_since: float = 0.0
    acked_at: float = float("-inf")
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
    """Known instances, without this one, and the state of probing them."""

    rows: dict[InstanceId, Member] = dataclasses.field(default_factory=dict)
    updates: dict[InstanceId, PendingUpdate] = dataclasses.field(
        default_factory=dict
    )
    probe: Probe | None = None
    probe_order: list[InstanceId] = dataclasses.field(default_factory=list)
    relayed: dict[int, tuple[Address, int]] = dataclasses.field(
        default_factory=dict
    )
    sequence: int = 0
    next_probe_at: float = 0.0

    def in_zone(self, zone: ZoneName) -> list[Member]:
        """Return the rows of a zone."""
        # The store's follower reads rows while control adds to them.
        return [m for m in list(self.rows.values()) if m.zone == zone]

    def live_in_zone(self, zone: ZoneName) -> list[Member]:
        """Return the rows of a zone that are not known to be dead."""
        return [m for m in self.in_zone(zone) if m.is_live]


@dataclasses.dataclass(kw_only=True)
class Held:
    """A seat this instance holds; slots open at the given times."""

    epoch: int
    short_from: float
    long_from: float


@dataclasses.dataclass(kw_only=True)
class Releasing:
    """A seat that is given up once its work has ended.

    `receiver` is None when there is no instance to take it. Until a snapshot
    without the seat `is_published`, requests may still be admitted on it.
    """

    epoch: int
    receiver: InstanceId | None
    is_published: bool = False


@dataclasses.dataclass(kw_only=True)
class Transfer:
    """A seat handed over, until the receiver is seen to hold it."""

    epoch: int
    receiver: InstanceId
    life: LifeId
    sent_at: float = float("-inf")


@dataclasses.dataclass(kw_only=True)
class SeatTable:
    """Seats of this instance.

    `epochs` holds the highest epoch ever seen of each seat. While
    `suspended_at` is set, the seats may not be used.
    """

    held: dict[SeatIndex, Held] = dataclasses.field(default_factory=dict)
    releasing: dict[SeatIndex, Releasing] = dataclasses.field(
        default_factory=dict
    )
    transfers: dict[SeatIndex, Transfer] = dataclasses.field(
        default_factory=dict
    )
    epochs: dict[SeatIndex, int] = dataclasses.field(default_factory=dict)
    suspended_at: float | None = None
    claim_pending_since: float | None = None
    claimed_at: float = float("-inf")
    requested_at: float = float("-inf")
    record_dirty: bool = False


@dataclasses.dataclass(kw_only=True)
class DrainTable:
    """Servers that are leaving, and until when each sign holds."""

    until: dict[ServerName, float] = dataclasses.field(default_factory=dict)
