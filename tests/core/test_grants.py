"""Tests of the slots held by grants."""

import unittest

from chiverun.core.grants import GrantTable
from chiverun.core.healthtable import HealthTable
from chiverun.core.ticket import Server
from chiverun.core.timestable import TimesTable
from chiverun.core.work import Work
from tests.core.zones import READ
from tests.core.zones import seats
from tests.core.zones import server
from tests.core.zones import state

_NOW = 100.0


class GrantTableTest(unittest.TestCase):
    def setUp(self) -> None:
        servers = list(state(server("s1", slots=2)).of(Server).values())
        health = HealthTable()
        health.rebuild(servers, _NOW)
        self.table = GrantTable(health=health, times=TimesTable())
        self.table.slots.rebuild(servers, seats(), 4, _NOW)
        self.table.advance(_NOW)

    def _grant(self):
        work = Work(
            service="desk",
            request_class=READ,
            source_region="dar",
            deadline=_NOW + 2.0,
        )
        return self.table.allocate(work, "s1", _NOW)

    def _free(self) -> int:
        return self.table.slots.server("s1").free

    def test_slot_is_free_after_the_end_only(self) -> None:
        """Guards against a slot used twice while its request runs."""
        grant = self._grant()
        self.assertEqual((1, 1), (self._free(), self.table.in_use()))
        self.assertTrue(self.table.try_release(grant))
        self.assertEqual((1, 0), (self._free(), self.table.in_use()))
        self.assertTrue(self.table.seat_in_use(grant.seat))
        self.table.end(grant)
        self.assertEqual(2, self._free())
        self.assertFalse(self.table.seat_in_use(grant.seat))

    def test_grant_is_given_back_once(self) -> None:
        """Guards against freeing a slot that another request uses."""
        grant = self._grant()
        self.assertTrue(self.table.try_release(grant))
        self.assertFalse(self.table.try_release(grant))

    def test_occupied_slot_is_freed_at_its_time(self) -> None:
        """Guards against more requests than a server has slots.

        After an unknown outcome the server may still run the request until
        its deadline.
        """
        grant = self._grant()
        self.table.try_release(grant)
        self.table.occupy(grant, _NOW + 2.25)
        self.table.advance(_NOW + 2.2)
        self.assertEqual(1, self._free())
        self.table.advance(_NOW + 2.25)
        self.assertEqual(2, self._free())
