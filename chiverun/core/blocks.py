"""Packed sets of client blocks (CIDR) and the look-up table over them.

640,000 blocks would take about 40 MB as Python strings. Packed, a block takes
5 bytes, and the table holds one bytes object per /16.
"""

import array
import bisect
import ipaddress
import struct
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from chiverun.core.ids import ZoneName
    from chiverun.core.ticket import Site

_PACKED_BLOCK = struct.Struct(">IB")
# Low 16 bits of the first address, prefix length, site number.
_BUCKET_ENTRY = struct.Struct(">HBH")
_BUCKET_BITS = 16
_BUCKET_SIZE = 1 << _BUCKET_BITS
# Buckets of up to this many blocks are scanned linearly: ranges for every
# bucket take 79 MB with 640,000 blocks spread over all addresses.
_SCAN_MAX = 32
# Limits the memory for unpacked blocks while the table is updated.
_BATCH_SITES = 256
_NO_SITE = 0xFFFF
SITES_MAX = _NO_SITE


class Blocks:
    """An immutable set of IPv4 blocks, packed into bytes.

    Parameters
    ----------
    packed : bytes
        4 bytes of address and 1 byte of prefix length per block.
    """

    __slots__ = ("packed",)

    def __init__(self, packed: bytes = b"") -> None:
        self.packed = packed

    @classmethod
    def parse(cls, texts: Iterable[str]) -> "Blocks":
        """Pack blocks given in canonical CIDR notation; raises ValueError."""
        parts = []
        for text in texts:
            network = ipaddress.IPv4Network(text)
            if str(network) != text:
                raise ValueError(f"block {text!r}; valid: {network}")
            first = int(network.network_address)
            parts.append(_PACKED_BLOCK.pack(first, network.prefixlen))
        return cls(b"".join(parts))

    def pairs(self) -> Iterator[tuple[int, int]]:
        """Return the first address and prefix length of each block."""
        return _PACKED_BLOCK.iter_unpack(self.packed)

    def __iter__(self) -> Iterator[str]:
        for first, length in self.pairs():
            yield f"{ipaddress.IPv4Address(first)}/{length}"

    def __len__(self) -> int:
        return len(self.packed) // _PACKED_BLOCK.size

    def __eq__(self, other: object) -> bool:
        return isinstance(other, Blocks) and other.packed == self.packed

    def __hash__(self) -> int:
        return hash(self.packed)

    def __repr__(self) -> str:
        return f"Blocks({list(self)!r})"


class BlockTable:
    """Longest-prefix match from an address to the zone of its site.

    Blocks are stored in buckets by the upper 16 bits of the address, so that
    an update rebuilds only the buckets of changed sites. Blocks wider than a
    bucket are stored separately. Both are sorted by prefix length, most
    specific first. Readers need no lock while one writer updates the table.
    """

    def __init__(self) -> None:
        self._sites: Mapping[str, Site] = {}
        self._site_numbers: dict[str, int] = {}
        self._zone_by_number: list[ZoneName | None] = []
        self._free_numbers: list[int] = []
        self._buckets: list[bytes] = [b""] * _BUCKET_SIZE
        self._ranges: dict[int, tuple[array.array, array.array]] = {}
        self._wide_by_site: dict[str, list[tuple[int, int, int]]] = {}
        self._wide: list[tuple[int, int, int]] = []

    def find(self, address: int) -> "ZoneName | None":
        """Return the zone of the most specific block around an address."""
        bucket, low = divmod(address, _BUCKET_SIZE)
        ranges = self._ranges.get(bucket)
        if ranges is None:
            number = _scan(self._buckets[bucket], low)
        else:
            starts, sites = ranges
            number = sites[bisect.bisect_right(starts, low) - 1]
        if number != _NO_SITE:
            return self._zone_by_number[number]
        for first, last, number in self._wide:
            if first <= address <= last:
                return self._zone_by_number[number]
        return None

    def update(self, sites: "Mapping[str, Site]") -> None:
        """Apply the sites of a newer state."""
        if sites is self._sites:
            return
        changed = [
            name
            for name in {*self._sites, *sites}
            if self._sites.get(name) is not sites.get(name)
            and self._sites.get(name) != sites.get(name)
        ]
        for start in range(0, len(changed), _BATCH_SITES):
            self._update_buckets(changed[start : start + _BATCH_SITES], sites)
        for name in changed:
            self._update_wide(name, sites.get(name))
        self._wide = sorted(
            (block for wide in self._wide_by_site.values() for block in wide),
            key=lambda block: block[1] - block[0],
        )
        self._release_numbers(changed, sites)
        self._sites = sites

    def _update_buckets(
        self, changed: list[str], sites: "Mapping[str, Site]"
    ) -> None:
        """Replace the blocks of the changed sites in their buckets."""
        changed_buckets: dict[int, list[bytes]] = {}
        removed = set()
        for name in changed:
            old = self._sites.get(name)
            if old is not None:
                removed.add(self._site_numbers[name])
                for bucket in _bucket_numbers(old.blocks):
                    changed_buckets.setdefault(bucket, [])
            new = sites.get(name)
            if new is not None:
                self._add_blocks(
                    self._site_number(name, new.zone),
                    new.blocks,
                    changed_buckets,
                )
        self._rebuild(changed_buckets, removed)

    def _site_number(self, name: str, zone: "ZoneName") -> int:
        """Return the number of a site; allocate one for a new site."""
        number = self._site_numbers.get(name)
        if number is None:
            if self._free_numbers:
                number = self._free_numbers.pop()
            else:
                number = len(self._zone_by_number)
                self._zone_by_number.append(None)
            self._site_numbers[name] = number
        self._zone_by_number[number] = zone
        return number

    def _release_numbers(
        self, changed: list[str], sites: "Mapping[str, Site]"
    ) -> None:
        for name in changed:
            if name not in sites:
                self._free_numbers.append(self._site_numbers.pop(name))

    def _add_blocks(
        self,
        number: int,
        blocks: Blocks,
        changed_buckets: dict[int, list[bytes]],
    ) -> None:
        for first, length in blocks.pairs():
            if length < _BUCKET_BITS:
                continue
            bucket, low = divmod(first, _BUCKET_SIZE)
            packed = _BUCKET_ENTRY.pack(low, length, number)
            changed_buckets.setdefault(bucket, []).append(packed)

    def _rebuild(
        self, changed_buckets: dict[int, list[bytes]], removed: set[int]
    ) -> None:
        for bucket, added in changed_buckets.items():
            packed = [
                _BUCKET_ENTRY.pack(*entry)
                for entry in _BUCKET_ENTRY.iter_unpack(self._buckets[bucket])
                if entry[2] not in removed
            ]
            packed += added
            packed.sort(key=_prefix_length, reverse=True)
            raw = b"".join(packed)
            self._buckets[bucket] = raw
            if len(packed) > _SCAN_MAX:
                self._ranges[bucket] = _flatten(raw)
            else:
                self._ranges.pop(bucket, None)

    def _update_wide(self, name: str, site: "Site | None") -> None:
        """Store the blocks of a site that are wider than a bucket."""
        self._wide_by_site.pop(name, None)
        if site is None:
            return
        number = self._site_numbers[name]
        wide = [
            (first, first + (1 << (32 - length)) - 1, number)
            for first, length in site.blocks.pairs()
            if length < _BUCKET_BITS
        ]
        if wide:
            self._wide_by_site[name] = wide


def _prefix_length(packed: bytes) -> int:
    return packed[2]


def _scan(raw: bytes, low: int) -> int:
    """Return the site number of the most specific block, the first match."""
    for first, length, site in _BUCKET_ENTRY.iter_unpack(raw):
        if (low ^ first) >> (32 - length) == 0:
            return site
    return _NO_SITE


def _bucket_numbers(blocks: Blocks) -> set[int]:
    return {
        first >> _BUCKET_BITS
        for first, length in blocks.pairs()
        if length >= _BUCKET_BITS
    }


def _flatten(raw: bytes) -> tuple[array.array, array.array]:
    """Flatten nested blocks into ranges: start addresses and site numbers."""
    starts = array.array("H", [0])
    sites = array.array("H", [_NO_SITE])

    def append(start: int, site: int) -> None:
        if starts[-1] == start:
            sites[-1] = site
        elif sites[-1] != site:
            starts.append(start)
            sites.append(site)

    enclosing: list[tuple[int, int]] = []

    def close(before: int) -> None:
        """Close the ranges that end before an address, innermost first."""
        while enclosing and enclosing[-1][0] < before:
            last, _ = enclosing.pop()
            if last + 1 < _BUCKET_SIZE:
                append(last + 1, enclosing[-1][1] if enclosing else _NO_SITE)

    entries = sorted(_BUCKET_ENTRY.iter_unpack(raw))
    for first, length, site in entries:
        close(first)
        append(first, site)
        enclosing.append((first + (1 << (32 - length)) - 1, site))
    close(_BUCKET_SIZE)
    return starts, sites
