"""Tests of the replica: it only moves forward, whatever order it hears."""

import unittest

from nose2.tools import params

from chiverun.core.catalog import ClientLimits
from chiverun.core.catalog import DesiredState
from chiverun.core.catalog import Server
from chiverun.core.catalog import ServerState
from chiverun.core.replica import Evacuation
from chiverun.core.replica import LAPSE_GRACE_S
from chiverun.core.replica import Replica
from chiverun.core.replica import Unreadable
from chiverun.core.replica import VersionedRecord


def _state(version: int) -> DesiredState:
    return DesiredState(
        version=version, routes=(), services=(), limits=ClientLimits()
    )


def _server(name: str = "s1", **changes) -> Server:
    values = {
        "name": name,
        "service": "mill",
        "address": "10.0.0.1:80",
        "zone": "z1",
        "slots": 4,
        "state": ServerState.READY,
        "cold_left_s": 0.0,
        "started_ms": 1,
    }
    return Server(**{**values, **changes})


def _item(key: str, revision: int, record=None) -> VersionedRecord:
    return VersionedRecord(key=key, revision=revision, record=record)


class ReplicaTest(unittest.TestCase):
    def setUp(self) -> None:
        self.replica = Replica()

    @params(
        # An older revision arrives late, over a slower peer.
        ([(5, _state(9)), (4, _state(8))], 9),
        # A newer revision with an older version, from a restored store.
        ([(5, _state(9)), (6, _state(8))], 9),
        # Bytes that cannot be read, and a deletion, leave it in force.
        ([(5, _state(9)), (6, Unreadable(reason="x"))], 9),
        ([(5, _state(9)), (6, None)], 9),
        ([(5, _state(9)), (6, _state(12))], 12),
    )
    def test_desired_state_never_goes_back(self, items, version) -> None:
        for revision, record in items:
            self.replica.apply([_item("op/config", revision, record)], now=1.0)
        self.assertEqual(self.replica.desired_state().version, version)

    def test_repeated_report_is_no_change(self) -> None:
        first = self.replica.apply([_item("a", 1, _server())], now=1.0)
        again = self.replica.apply([_item("a", 2, _server())], now=2.0)
        self.assertEqual((len(first), len(again)), (1, 0))
        self.assertEqual(self.replica.changed_after(1), [])

    def test_deletion_arrives_before_the_write_it_follows(self) -> None:
        self.replica.apply([_item("a", 7, None)], now=1.0)
        self.replica.apply([_item("a", 6, _server())], now=1.0)
        self.assertEqual(self.replica.servers(), [])

    def test_listing_removes_what_it_lacks(self) -> None:
        self.replica.apply(
            [_item("a", 1, _server("a")), _item("b", 2, _server("b"))], now=1.0
        )
        self.replica.replace([_item("b", 2, _server("b"))], 5, now=2.0)
        names = [server.name for server, _ in self.replica.servers()]
        self.assertEqual(names, ["b"])

    def test_listing_keeps_what_is_newer_than_it(self) -> None:
        self.replica.apply([_item("a", 9, _server("a"))], now=1.0)
        self.replica.replace([], 5, now=2.0)
        self.assertEqual(len(self.replica.servers()), 1)

    def test_lapsed_server_stays_for_the_grace_only(self) -> None:
        self.replica.apply([_item("a", 1, _server())], now=10.0)
        until = 10.0 + LAPSE_GRACE_S
        self.replica.apply([_item("a", 2)], now=10.0, lapse_until=until)
        self.assertEqual(len(self.replica.servers()), 1)
        self.replica.expire(until + 0.1)
        self.assertEqual(self.replica.servers(), [])

    def test_lapsed_server_that_is_back_stays(self) -> None:
        self.replica.apply([_item("a", 1, _server())], now=10.0)
        self.replica.apply([_item("a", 2)], now=10.0, lapse_until=12.0)
        self.replica.apply([_item("a", 3, _server())], now=11.0)
        self.replica.expire(20.0)
        self.assertEqual(len(self.replica.servers()), 1)

    def test_draining_server_does_not_lapse(self) -> None:
        draining = _server(state=ServerState.DRAINING)
        self.replica.apply([_item("a", 1, draining)], now=10.0)
        self.replica.apply([_item("a", 2)], now=10.0, lapse_until=12.0)
        self.assertEqual(self.replica.servers(), [])

    def test_evacuation_ends_with_its_record(self) -> None:
        self.replica.apply([_item("e", 1, Evacuation(zone="z1"))], now=1.0)
        self.assertEqual(self.replica.evacuated(), {"z1"})
        self.replica.apply([_item("e", 2)], now=1.0)
        self.assertEqual(self.replica.evacuated(), frozenset())

    def test_two_replicas_agree_through_deltas(self) -> None:
        other = Replica()
        self.replica.apply([_item("a", 1, _server("a"))], now=1.0)
        other.apply(self.replica.changed_after(0), now=1.0)
        self.replica.apply(
            [_item("a", 3), _item("b", 4, _server("b"))], now=2.0
        )
        other.apply(self.replica.changed_after(1), now=2.0)
        self.assertEqual(other.servers(), self.replica.servers())
