"""What the systems of the control plane run over."""

import dataclasses
import random
from collections.abc import Callable
from typing import TYPE_CHECKING

from chiverun.core import dissemination
from chiverun.core.ids import Address
from chiverun.core.ids import BootId
from chiverun.core.ids import InstanceId
from chiverun.core.ids import ZoneName
from chiverun.core.messages import Message
from chiverun.core.messages import StateChunk
from chiverun.core.state import empty_state
from chiverun.core.tables import DrainTable
from chiverun.core.tables import MemberTable
from chiverun.core.tables import SeatTable
from chiverun.runtime.events import StoreJob

if TYPE_CHECKING:
    from chiverun.core.admission import Admission
    from chiverun.core.clock import Clock
    from chiverun.core.snapshot import Snapshot
    from chiverun.core.snapshot import ZoneView


@dataclasses.dataclass(frozen=True, kw_only=True)
class Identity:
    """Who this instance is."""

    instance: InstanceId
    boot_id: BootId
    zone: ZoneName
    lookup: Address
    entry: Address
    forward: Address
    peer: Address
    seeds: tuple[Address, ...]


class ControlContext:
    """Tables and surroundings of one instance's control plane.

    Parameters
    ----------
    identity : Identity
    clock : Clock
    rng : random.Random
    admission : Admission
        Read for free slots and seats in use; updated with each snapshot.
    send : callable
        Sends a message to a peer address; loss is allowed.
    submit : callable
        Hands a job to the store worker, which reports back by `handle`.
    """

    snapshot: "Snapshot"

    def __init__(
        self,
        *,
        identity: Identity,
        clock: "Clock",
        rng: random.Random,
        admission: "Admission",
        send: Callable[[Address, Message], None],
        submit: Callable[[StoreJob], None],
    ) -> None:
        self.identity = identity
        self.clock = clock
        self.rng = rng
        self.admission = admission
        self.send = send
        self.submit = submit
        self.state = empty_state()
        self.recent = dissemination.RecentTickets()
        self.pulls = dissemination.PullSchedule()
        self.members = MemberTable()
        self.seats = SeatTable()
        self.drains = DrainTable()
        self.incarnation = int(clock.wall() * 1000)
        self.is_leaving = False
        self.is_handing_over = False
        self.fork: str | None = None
        self.in_force_at = clock.monotonic()
        self.sequence = 0
        self.started_at = clock.monotonic()
        self.ticked_at: float | None = None
        self.seeds_pinged_at = float("-inf")
        self.chunks: dict[int, StateChunk] = {}
        self.zone_views: dict[ZoneName, ZoneView] = {}
        self.views_at = float("-inf")
        self.views_key: tuple | None = None
