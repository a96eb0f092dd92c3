"""Tests of a fleet in which one message or answer names a wrong revision.

Pattern: a revision that the store has not reached. All that it gives out later
seems old to the instances that believe it.
"""

import unittest

import logbook
from nose2.tools import params

from chiverun.core import edgemessages
from chiverun.core.replica import VersionedRecord
from chiverun.core.revisions import ERA_MAX
from chiverun.core.revisions import make_revision
from chiverun.core.revisions import STORE_REVISION_MAX
from tests.records import make_server
from tests.runtime.fleet import desired_state
from tests.runtime.fleet import Fleet

_ZONES = ("a", "b")
_FAR = make_revision(1, STORE_REVISION_MAX)
_OTHER_ERA = make_revision(ERA_MAX, 7)
# Time in which a wrong revision may still count, and the platform's bound for
# a new desired state.
_HEALED_S = 10.0
_IN_FORCE_S = 4.0


class WrongRevisionTest(unittest.TestCase):
    def setUp(self) -> None:
        handler = logbook.NullHandler()
        handler.push_application()
        self.addCleanup(handler.pop_application)

    def _fleet(self, machines: int) -> Fleet:
        fleet = Fleet(zones=_ZONES, machines=machines)
        for name in ("s1", "s2"):
            server = make_server(name, zone="a")
            fleet.store.write(f"servers/{name}", server)
        fleet.run(6.0)
        self.assertEqual({frozenset({"s1", "s2"})}, fleet.in_use())
        return fleet

    def _assert_healed(self, fleet: Fleet) -> None:
        """Check that what the store holds, and its news, are in force."""
        fleet.run(_HEALED_S)
        self.assertEqual({frozenset({"s1", "s2"})}, fleet.in_use())
        fleet.store.write("op/config", desired_state(2))
        fleet.store.write("servers/s2", None)
        fleet.run(_IN_FORCE_S)
        self.assertEqual({2}, fleet.versions())
        self.assertEqual({frozenset({"s1"})}, fleet.in_use())

    @params(
        (1, _FAR, False),
        (1, _OTHER_ERA, False),
        (6, _FAR, False),
        (6, _OTHER_ERA, False),
        (6, _FAR, True),
    )
    def test_update(self, machines, as_of, is_with_item) -> None:
        """Guards against an instance that is deaf to the store for good."""
        fleet = self._fleet(machines)
        items = []
        if is_with_item:
            record = make_server("s2", zone="a", slots=9)
            items = [
                VersionedRecord(
                    key="servers/s2", revision=as_of, record=record
                )
            ]
        message = edgemessages.Update(
            sender="a-000",
            boot_id="x",
            since=1,
            as_of=as_of,
            items=items,
            lapse_left_s=0.0,
        )
        for follower in fleet.followers.values():
            follower._receive(edgemessages.encode(message))
        self._assert_healed(fleet)

    @params((1, _FAR), (1, _OTHER_ERA), (6, _FAR), (6, _OTHER_ERA))
    def test_snapshot(self, machines, as_of) -> None:
        """Guards against records that are gone for good."""
        fleet = self._fleet(machines)
        message = edgemessages.Snapshot(as_of=as_of, items=[])
        for name in list(fleet.followers)[::2]:
            fleet.followers[name]._receive(edgemessages.encode(message))
        self._assert_healed(fleet)

    def test_answer_of_the_store(self) -> None:
        """Guards against one wrong number in an answer of the store."""
        fleet = self._fleet(6)
        for follower in fleet.followers.values():
            if follower._is_reader:
                follower.replica.as_of = _FAR
        self._assert_healed(fleet)
