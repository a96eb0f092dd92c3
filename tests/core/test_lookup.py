"""Tests of the caller's region, and of updates of the block table."""

import threading
import unittest

from nose2.tools import params

from chiverun.core.lookup import BlockTables
from chiverun.core.lookup import origin_region
from tests.core import cap_states

_ADDRESS = 0x0A000001


class OriginTest(unittest.TestCase):
    @params(
        ("10.0.0.1", "a"),
        ("10.1.255.255", "b"),
        ("10.9.0.1", None),
        ("::1", None),
        ("", None),
    )
    def test_region_of_an_address(self, remote, expected):
        """Guards against requests that fail because of an unknown address."""
        state = cap_states.make_state()
        table = BlockTables().get(state)
        self.assertEqual(expected, origin_region(state, table, remote))

    def test_earlier_table_serves_while_one_is_built(self):
        """Guards against look-ups that wait for an update of the table."""
        tables = BlockTables()
        first = tables.get(cap_states.make_state())
        changed = cap_states.make_state(zones=("b1", "a1"))
        with tables._lock:
            found = []
            thread = threading.Thread(
                target=lambda: found.append(tables.get(changed))
            )
            thread.start()
            thread.join(30)
        self.assertEqual([first], found)
        self.assertEqual("a1", first.find(_ADDRESS))
        self.assertEqual("b1", tables.get(changed).find(_ADDRESS))
