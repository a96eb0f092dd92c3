"""Look-up of the entry instances for a client address."""

import dataclasses
import ipaddress
from typing import TYPE_CHECKING

from chiverun.core.errors import ChiverunError
from chiverun.core.errors import ResultCode
from chiverun.core.ticket import Zone

if TYPE_CHECKING:
    from chiverun.core.blocks import BlockTable
    from chiverun.core.ids import Address
    from chiverun.core.ids import ZoneName
    from chiverun.core.snapshot import Snapshot
    from chiverun.core.snapshot import ZoneView

ANSWER_INSTANCES_MAX = 4


def parse_client(text: str) -> int:
    """Parse a client's IPv4 address; raises CLIENT_INVALID."""
    try:
        return int(ipaddress.IPv4Address(text))
    except ValueError as exc:
        raise ChiverunError(
            ResultCode.CLIENT_INVALID,
            f"client is {text!r}; valid: an IPv4 address",
        ) from exc


@dataclasses.dataclass(frozen=True, kw_only=True)
class LookupResult:
    """Entry instances to use, best first, and for how long (seconds)."""

    instances: tuple["Address", ...]
    ttl_s: float
    ticket: int


def answer_lookup(
    snapshot: "Snapshot",
    table: "BlockTable",
    client: int,
    home: "ZoneName",
    ttl_s: float,
) -> LookupResult:
    """Answer a look-up with instances near the client's zone.

    The client's zone comes first, then its region, then all others; an
    unlisted client is treated as a client of this instance's zone.
    """
    zone = table.find(client) or home
    addresses: list[Address] = []
    for view in _by_distance(snapshot, zone):
        addresses.extend(a.entry for a in _rotated(view, client))
        if len(addresses) >= ANSWER_INSTANCES_MAX:
            break
    return LookupResult(
        instances=tuple(addresses[:ANSWER_INSTANCES_MAX]),
        ttl_s=ttl_s,
        ticket=snapshot.state.number,
    )


def _by_distance(snapshot: "Snapshot", zone: "ZoneName") -> list["ZoneView"]:
    known = snapshot.state.of(Zone).get(zone)
    region = known.region if known else None
    return sorted(
        snapshot.zones.values(),
        key=lambda v: (v.zone != zone, v.region != region, v.zone),
    )


def _rotated(view: "ZoneView", client: int) -> list:
    """Spread clients over a zone's instances without any shared state."""
    if not view.instances:
        return []
    first = (client * 2654435761 >> 8) % len(view.instances)
    return [*view.instances[first:], *view.instances[:first]]
