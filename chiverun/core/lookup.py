"""Look-up of the entry instances for a client address."""

import dataclasses
import ipaddress
import threading
from typing import TYPE_CHECKING

from chiverun.core.blocks import BlockTable
from chiverun.core.errors import ChiverunError
from chiverun.core.errors import ResultCode
from chiverun.core.ticket import Site
from chiverun.core.ticket import Zone

if TYPE_CHECKING:
    from chiverun.core.ids import Address
    from chiverun.core.ids import RegionName
    from chiverun.core.ids import ZoneName
    from chiverun.core.snapshot import Snapshot
    from chiverun.core.snapshot import ZoneView
    from chiverun.core.state import State

ANSWER_INSTANCES_MAX = 4


class BlockTables:
    """The address block table of the current sites; thread-safe.

    A large update of the table is slow, so one thread updates it while other
    threads keep using the previous table.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._sites: object = None
        self._table = BlockTable()

    def get(self, state: "State") -> BlockTable:
        """Return the table, after an update if the sites have changed."""
        sites = state.of(Site)
        is_first = self._sites is None
        if sites is not self._sites and self._lock.acquire(blocking=is_first):
            try:
                if sites is not self._sites:
                    self._table.update(sites)
                    self._sites = sites
            finally:
                self._lock.release()
        return self._table


def origin_region(
    state: "State", table: BlockTable, remote: str
) -> "RegionName | None":
    """Return the region of a caller's address; None if it is unlisted."""
    try:
        zone = table.find(int(ipaddress.IPv4Address(remote)))
    except ValueError:
        return None
    row = state.of(Zone).get(zone)
    return row.region if row else None


def _bounds(block: str) -> tuple[int, int]:
    network = ipaddress.IPv4Network(block)
    return int(network.network_address), int(network.broadcast_address)


def parse_client(text: str) -> int:
    """Parse a client's IPv4 address; raise CLIENT_INVALID on failure."""
    try:
        return int(ipaddress.IPv4Address(text))
    except ValueError as exc:
        raise ChiverunError(
            ResultCode.CLIENT_INVALID,
            f"client is {text!r}; valid: an IPv4 address",
        ) from exc


@dataclasses.dataclass(frozen=True, kw_only=True)
class LookupResult:
    """Entry addresses, best first, valid for `ttl_s` seconds."""

    instances: tuple["Address", ...]
    ttl_s: float
    ticket: int


def answer_lookup(
    snapshot: "Snapshot",
    table: "BlockTable",
    client: int,
    own_zone: "ZoneName",
    ttl_s: float,
) -> LookupResult:
    """Answer a look-up with instances near the client's zone.

    The client's zone comes first, then its region, then all others. An
    unlisted client is treated as a client of `own_zone`.
    """
    zone = table.find(client) or own_zone
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
    row = snapshot.state.of(Zone).get(zone)
    region = row.region if row else None
    views = snapshot.zones.values()
    return sorted(
        # If all zones are drained, return drained ones rather than none.
        [v for v in views if not v.is_drained] or views,
        key=lambda v: (v.zone != zone, v.region != region, v.zone),
    )


def _rotated(view: "ZoneView", client: int) -> list:
    """Rotate a zone's instances by client, to spread clients statelessly."""
    if not view.instances:
        return []
    first = (client * 2654435761 >> 8) % len(view.instances)
    return [*view.instances[first:], *view.instances[:first]]
