"""Look-up of the entry instances for a client address.

Client blocks are kept in sorted arrays: 6 bytes for each IPv4 block.
"""

import array
import bisect
import dataclasses
import ipaddress
from typing import TYPE_CHECKING

from chiverun.core.errors import ChiverunError
from chiverun.core.errors import ResultCode
from chiverun.core.ticket import Site
from chiverun.core.ticket import Zone

if TYPE_CHECKING:
    from chiverun.core.ids import Address
    from chiverun.core.ids import ZoneName
    from chiverun.core.snapshot import Snapshot
    from chiverun.core.snapshot import ZoneView
    from chiverun.core.state import State

_NO_SITE = 0xFFFF
ANSWER_INSTANCES_MAX = 4


class BlockTable:
    """Client blocks of all sites, for longest-prefix look-up.

    Nested blocks are flattened into ranges: `_starts` holds the first
    address of each range and `_sites` the index of its site.
    """

    def __init__(self, *, sites: list[Site]) -> None:
        self._zones = [site.zone for site in sites]
        self._starts = array.array("I", [0])
        self._sites = array.array("H", [_NO_SITE])
        blocks = [
            (*_bounds(block), index)
            for index, site in enumerate(sites)
            for block in site.blocks
        ]
        blocks.sort(key=lambda b: (b[0], -b[1]))
        self._fill(blocks)

    def __len__(self) -> int:
        return len(self._starts)

    def find(self, address: int) -> "ZoneName | None":
        """Return the zone of the most specific block with the address."""
        index = self._sites[bisect.bisect_right(self._starts, address) - 1]
        return None if index == _NO_SITE else self._zones[index]

    def _fill(self, blocks: list[tuple[int, int, int]]) -> None:
        enclosing: list[tuple[int, int]] = []
        for first, last, site in blocks:
            self._close(enclosing, first)
            self._append(first, site)
            enclosing.append((last, site))
        self._close(enclosing, 1 << 32)

    def _close(self, enclosing: list[tuple[int, int]], before: int) -> None:
        """End the blocks that end before an address, innermost first."""
        while enclosing and enclosing[-1][0] < before:
            last, _ = enclosing.pop()
            if last < 0xFFFFFFFF:
                self._append(
                    last + 1, enclosing[-1][1] if enclosing else _NO_SITE
                )

    def _append(self, start: int, site: int) -> None:
        if self._starts[-1] == start:
            self._sites[-1] = site
        elif self._sites[-1] != site:
            self._starts.append(start)
            self._sites.append(site)


def block_table(state: "State") -> BlockTable:
    """Build the table of a state's client blocks."""
    return BlockTable(sites=list(state.of(Site).values()))


def _bounds(block: str) -> tuple[int, int]:
    network = ipaddress.IPv4Network(block)
    return int(network.network_address), int(network.broadcast_address)


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
    table: BlockTable,
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
    views = snapshot.zones.values()
    return sorted(
        # With all zones drained, any answer is better than none.
        [v for v in views if not v.is_drained] or views,
        key=lambda v: (v.zone != zone, v.region != region, v.zone),
    )


def _rotated(view: "ZoneView", client: int) -> list:
    """Spread clients over a zone's instances without any shared state."""
    if not view.instances:
        return []
    first = (client * 2654435761 >> 8) % len(view.instances)
    return [*view.instances[first:], *view.instances[:first]]
