"""State and dependencies shared by the systems of the control plane."""

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
    """Name, zone and addresses of this instance."""

    instance: InstanceId
    boot_id: BootId
    zone: ZoneName
    lookup: Address
    entry: Address
    forward: Address
    peer: Address
    seeds: tuple[Address, ...]


class ControlContext:
    """Tables and dependencies of one instance's control plane.

    Parameters
    ----------
    identity : Identity
    clock : Clock
    rng : random.Random
    admission : Admission
        Provides free slots and seats in use; updated with each snapshot.
    send : callable
        Sends a message to a peer address; the message may be lost.
    submit : callable
        Queues a job for the store worker; its report is passed to
        `ControlPlane.handle`.
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
        self.recent_tickets = dissemination.RecentTickets()
        self.pull_schedule = dissemination.PullSchedule()
        self.members = MemberTable()
        self.seats = SeatTable()
        self.drains = DrainTable()
        self.incarnation = int(clock.wall() * 1000)
        self.is_leaving = False
        self.is_transferring_seats = False
        self.fork_reason: str | None = None
        self.in_force_at = clock.monotonic()
        self.advert_sequence = 0
        self.started_at = clock.monotonic()
        self.ticked_at: float | None = None
        self.seeds_pinged_at = float("-inf")
        self.received_chunks: dict[int, StateChunk] = {}
        self.zone_views: dict[ZoneName, ZoneView] = {}
        self.views_at = float("-inf")
        self.views_key: tuple | None = None
