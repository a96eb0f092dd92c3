"""Tests of the block table against a linear longest-prefix match."""

import ipaddress
import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from chiverun.core.blocks import Blocks
from chiverun.core.blocks import BlockTable
from chiverun.core.ticket import Site

# Few address bits vary, so that blocks nest, adjoin and replace each other.
_BLOCKS = st.builds(
    lambda high, low, length: str(
        ipaddress.IPv4Network(
            ((high << 28) | (low << 20) | (low << 9), length), strict=False
        )
    ),
    st.integers(0, 2),
    st.integers(0, 7),
    st.sampled_from([4, 8, 12, 15, 16, 17, 20, 24, 28, 32]),
)
_SITES = st.dictionaries(
    st.sampled_from(["a", "b", "c", "d"]),
    st.lists(_BLOCKS, max_size=6, unique=True),
)


def _linear_match(
    sites: dict[str, list[str]], address: int
) -> set[str | None]:
    """Return the sites of the most specific blocks, several for duplicates."""
    ip = ipaddress.IPv4Address(address)
    hits = [
        (ipaddress.IPv4Network(block).prefixlen, name)
        for name, blocks in sites.items()
        for block in blocks
        if ip in ipaddress.IPv4Network(block)
    ]
    best = max((length for length, _ in hits), default=None)
    return {name for length, name in hits if length == best} or {None}


def _addresses(sites: dict[str, list[str]]) -> set[int]:
    """Return the addresses next to the first and last ones of all blocks."""
    found = {0, 0xFFFFFFFF}
    for block in (b for blocks in sites.values() for b in blocks):
        network = ipaddress.IPv4Network(block)
        for edge in (network[0], network[-1]):
            found |= {int(edge) + d for d in (-1, 0, 1)}
    return {a for a in found if 0 <= a <= 0xFFFFFFFF}


class BlockTableTest(unittest.TestCase):
    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(st.lists(_SITES, min_size=1, max_size=4))
    def test_updates_equal_a_plain_search(self, states):
        """Guards against stale buckets or ranges after a site has changed."""
        table = BlockTable()
        for sites in states:
            table.update(
                {
                    name: Site(
                        name=name, zone=name, blocks=Blocks.parse(blocks)
                    )
                    for name, blocks in sites.items()
                }
            )
            for address in _addresses(sites):
                self.assertIn(
                    table.find(address), _linear_match(sites, address)
                )

    def test_blocks_round_trip(self):
        """Guards against blocks altered by packing."""
        texts = ["10.1.0.0/16", "0.0.0.0/0", "192.0.2.7/32"]
        self.assertEqual(texts, list(Blocks.parse(texts)))
