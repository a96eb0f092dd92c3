"""Tests of a fleet whose store is restored from an older copy.

The network, the clock and the store are simulated.
"""

import random
import unittest

import logbook
from nose2.tools import params

from chiverun.core.catalog import ServerState
from tests.records import make_server
from tests.runtime.fleet import desired_state
from tests.runtime.fleet import Fleet

_ZONES = ("a", "b", "c")
# Bound of the platform for a new desired state.
_IN_FORCE_S = 2.5
# The platform writes again what it has lost within this time.
_REWRITTEN_S = 2.0
_OUTAGE_S = 2.0


class RestoredFleetTest(unittest.TestCase):
    def setUp(self) -> None:
        handler = logbook.NullHandler()
        handler.push_application()
        self.addCleanup(handler.pop_application)

    def _fleet(self, machines: int) -> Fleet:
        fleet = Fleet(zones=_ZONES, machines=machines)
        fleet.run(6.0)
        for name in ("s1", "s2", "s3"):
            fleet.store.write(f"servers/{name}", make_server(name))
        fleet.run(2.0)
        return fleet

    def _restore(self, fleet: Fleet, copied_at: int) -> None:
        """Take the store away and let it come back from a copy."""
        fleet.store.down = True
        fleet.run(_OUTAGE_S)
        fleet.store.down = False
        fleet.store.restore(copied_at)

    @params((1, 1, 0), (2, 1, 4), (8, 1, 0), (8, 2, 0), (8, 2, 4), (20, 2, 9))
    def test_state_is_in_force_after_restorations(
        self, machines, times, writes
    ) -> None:
        """Guards against a confirmed change that is not in force in time.

        After each restoration others write as well, so that revisions are
        given out again one by one.
        """
        fleet = self._fleet(machines)
        copied_at = fleet.store.revision
        version = 1
        for _ in range(times):
            for _ in range(3):
                version += 2
                fleet.store.write("op/config", desired_state(version))
                fleet.run(1.0)
            self._restore(fleet, copied_at)
            fleet.store.write("op/config", desired_state(version))
            for number in range(writes):
                server = make_server(f"s{number % 3 + 1}", slots=number + 1)
                fleet.store.write(f"servers/{server.name}", server)
            fleet.run(1.0)
            self.assertEqual({version}, fleet.versions())
            version += 2
            fleet.store.write("op/config", desired_state(version))
            fleet.run(_IN_FORCE_S)
            self.assertEqual({version}, fleet.versions())

    @params(2, 8, 20)
    def test_server_that_has_left_is_not_used_again(self, machines) -> None:
        """Guards against servers that a copy brings back.

        One has reported that it drains, and reports it again; one has gone.
        """
        fleet = self._fleet(machines)
        copied_at = fleet.store.revision
        draining = make_server("s2", state=ServerState.DRAINING)
        fleet.store.write("servers/s1", None)
        fleet.store.write("servers/s2", draining)
        fleet.run(1.0)
        self._restore(fleet, copied_at)
        for _ in range(round(_REWRITTEN_S / 0.1)):
            fleet.run(0.1)
            self.assertEqual({frozenset({"s3"})}, fleet.in_use())
        fleet.store.write("servers/s2", draining)
        fleet.run(2.0)
        fleet.store.write("servers/s1", None)
        fleet.run(8.0)
        self.assertEqual({frozenset({"s3"})}, fleet.in_use())

    @params(1, 2, 3, 4, 5, 6)
    def test_machines_that_miss_the_restoration(self, seed) -> None:
        """Guards against a machine that never learns of a later era.

        Some cannot reach the store, some are started again, and a zone is cut
        off while the store is restored, twice.
        """
        rng = random.Random(seed)
        fleet = self._fleet(6)
        copied_at = fleet.store.revision
        names = sorted(fleet.followers)
        for name in rng.sample(names, 6):
            fleet.clients[name].reachable = False
        alone = rng.choice(_ZONES)
        fleet.cut = {frozenset({alone, z}) for z in _ZONES if z != alone}
        for version in (3, 5):
            fleet.store.write("op/config", desired_state(version))
            fleet.run(1.0)
            self._restore(fleet, copied_at)
            fleet.store.write("op/config", desired_state(version))
            for name in rng.sample(names, 3):
                reachable = fleet.clients[name].reachable
                fleet.start(name)
                fleet.clients[name].reachable = reachable
        fleet.cut = set()
        fleet.run(4.0)
        fleet.store.write("op/config", desired_state(7))
        fleet.store.write("servers/s1", None)
        fleet.run(_IN_FORCE_S)
        self.assertEqual({7}, fleet.versions())
        self.assertEqual({frozenset({"s2", "s3"})}, fleet.in_use())

    @params(2, 8)
    def test_lost_registrations_are_written_again(self, machines) -> None:
        """Guards against machines that a new one does not know."""
        fleet = Fleet(zones=_ZONES, machines=machines)
        copied_at = fleet.store.revision
        fleet.run(6.0)
        self._restore(fleet, copied_at)
        fleet.run(4.0)
        registered = {
            record.name
            for key, record in fleet.store.log
            if key.startswith("chiverun/machines/")
        }
        self.assertEqual(fleet.alive(), registered)
