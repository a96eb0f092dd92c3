"""What the request path reads: one immutable value published each tick."""

import dataclasses
from collections.abc import Mapping

from chiverun.core.ids import Address
from chiverun.core.ids import InstanceId
from chiverun.core.ids import RegionName
from chiverun.core.ids import SeatIndex
from chiverun.core.ids import ServerName
from chiverun.core.ids import ServiceName
from chiverun.core.ids import ZoneName
from chiverun.core.state import State


@dataclasses.dataclass(frozen=True, kw_only=True)
class EntryAddresses:
    """Where an instance listens, as ``ip:port``, and what it holds.

    `free_slots` is the free slots by service; it and `seats` were measured at
    `measured_at`.
    """

    instance: InstanceId
    lookup: Address
    entry: Address
    forward: Address
    free_slots: Mapping[ServiceName, int]
    measured_at: float
    seats: tuple[SeatIndex, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class ZoneView:
    """What is known of a zone.

    `free_slots` is the number of free slots by service at `measured_at`
    (monotonic seconds of this instance). A drained zone stays listed, since
    the issuer of a key may be in it.
    """

    zone: ZoneName
    region: RegionName
    instances: tuple[EntryAddresses, ...]
    free_slots: Mapping[ServiceName, int]
    measured_at: float
    is_drained: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class HeldSeat:
    """A seat this instance holds.

    Its short-class slots open at `short_opens_at` and its long-class slots at
    `long_opens_at` (monotonic seconds), when no work of an earlier holder can
    still be running.
    """

    index: SeatIndex
    short_opens_at: float
    long_opens_at: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Snapshot:
    """The published view; `published_at` is monotonic seconds.

    `leaving_servers` are servers that may get no new work whatever the
    ticket says. `confirmed` is False while seats are suspended.
    """

    state: State
    published_at: float
    zones: Mapping[ZoneName, ZoneView]
    seats: tuple[HeldSeat, ...]
    confirmed: bool
    leaving: bool
    leaving_servers: frozenset[ServerName]
