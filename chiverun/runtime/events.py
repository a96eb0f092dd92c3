"""Jobs for the store worker, its reports, and control plane events."""

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


@dataclasses.dataclass(frozen=True, kw_only=True)
class ClaimSeats:
    """Claim seats in the zone's record in the store."""

    plan: seat_rules.ClaimPlan
    claimant: Owner


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReadSeats:
    """Read the zone's seat record; the report repeats `requested_at`."""

    requested_at: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class WriteSeats:
    """Write owners and release seats (by epoch) in the seat record."""

    owners: dict[SeatIndex, Owner]
    released: dict[SeatIndex, int]


StoreJob = ClaimSeats | ReadSeats | WriteSeats


@dataclasses.dataclass(frozen=True, kw_only=True)
class SeatsClaimed:
    """Successful claims and the seat record after them.

    `record` is None if the store did not respond.
    """

    claims: tuple[seat_rules.Claim, ...]
    record: "SeatRecord | None"


@dataclasses.dataclass(frozen=True, kw_only=True)
class SeatsRead:
    """Result of a `ReadSeats` job; `record` is None if it is unreadable."""

    record: "SeatRecord | None"
    requested_at: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class SeatsWritten:
    """Result of a `WriteSeats` job; `is_done` is whether it succeeded."""

    is_done: bool
    job: WriteSeats


@dataclasses.dataclass(frozen=True, kw_only=True)
class EntriesRead:
    """Accepted tickets read from the store, in order."""

    entries: tuple[Entry, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class StateRead:
    """A complete state read from the store."""

    state: State


@dataclasses.dataclass(frozen=True, kw_only=True)
class HeadForked:
    """The store's head does not belong to the state's history."""

    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class ServersLeaving:
    """Servers that are draining, by the instance list or health checks."""

    servers: frozenset[ServerName]


@dataclasses.dataclass(frozen=True, kw_only=True)
class BeginStop:
    """The instance is stopping and is removed from look-up answers."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class TransferSeats:
    """The instance has finished its work and transfers its seats."""


StoreReport = (
    SeatsClaimed
    | SeatsRead
    | SeatsWritten
    | EntriesRead
    | StateRead
    | HeadForked
)
Event = StoreReport | ServersLeaving | BeginStop | TransferSeats
