"""Jobs of the store worker, its reports, and orders to the control plane."""

import dataclasses
from typing import TYPE_CHECKING

from chiverun.core import seats as seat_rules
from chiverun.core.ids import SeatIndex
from chiverun.core.ids import ServerName
from chiverun.core.state import State
from chiverun.core.tables import Owner
from chiverun.core.ticketentry import Entry

if TYPE_CHECKING:
    from chiverun.core.seats import SeatRecord


# Jobs for the store worker, and what it reports back.


@dataclasses.dataclass(frozen=True, kw_only=True)
class ClaimSeats:
    """Claim seats of the zone in the store's record."""

    plan: seat_rules.ClaimPlan
    me: Owner


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReadSeats:
    """Read the zone's seat record; `asked_at` comes back unchanged."""

    asked_at: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class WriteSeats:
    """Write owners, and give up seats (by epoch), in the record."""

    owners: dict[SeatIndex, Owner]
    released: dict[SeatIndex, int]


StoreJob = ClaimSeats | ReadSeats | WriteSeats


@dataclasses.dataclass(frozen=True, kw_only=True)
class SeatsClaimed:
    """The claims that took effect, and the record after them.

    `record` is None when the store did not answer.
    """

    claims: tuple[seat_rules.Claim, ...]
    record: "SeatRecord | None"


@dataclasses.dataclass(frozen=True, kw_only=True)
class SeatsRead:
    """The seat record as read for a `ReadSeats` job, None if unreadable."""

    record: "SeatRecord | None"
    asked_at: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class SeatsWritten:
    """Whether a `WriteSeats` job took effect."""

    is_done: bool
    job: WriteSeats


@dataclasses.dataclass(frozen=True, kw_only=True)
class EntriesRead:
    """Accepted tickets read from the store, in order."""

    entries: tuple[Entry, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class StateRead:
    """A whole state read from the store."""

    state: State


@dataclasses.dataclass(frozen=True, kw_only=True)
class HeadForked:
    """The store's head is not of the history of the state in force."""

    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class ServersLeaving:
    """Backend servers that are leaving, by the instance list or health."""

    servers: frozenset[ServerName]


@dataclasses.dataclass(frozen=True, kw_only=True)
class BeginStop:
    """The instance begins to stop: it leaves look-up answers."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class TransferSeats:
    """The instance has no work left: it gives its seats away."""


StoreReport = (
    SeatsClaimed
    | SeatsRead
    | SeatsWritten
    | EntriesRead
    | StateRead
    | HeadForked
)
Event = StoreReport | ServersLeaving | BeginStop | TransferSeats
