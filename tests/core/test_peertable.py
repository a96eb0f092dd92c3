"""Tests of the liveness of machines and the choice of the reader."""

import unittest

from nose2.tools import params

from chiverun.core.catalog import Machine
from chiverun.core.edgemessages import Heartbeat
from chiverun.core.peertable import HUBS_PER_REGION
from chiverun.core.peertable import PeerTable
from chiverun.core.peertable import SILENT_AFTER_S


def _machine(name: str, region: str = "r1") -> Machine:
    return Machine(
        name=name,
        peer=f"10.0.0.1:{1000 + int(name[1:])}",
        entry=f"10.0.0.1:{2000 + int(name[1:])}",
        zone=f"{region}-a",
        region=region,
    )


def _heartbeat(name: str, region: str = "r1", **changes) -> Heartbeat:
    values = {
        "machine": _machine(name, region),
        "boot_id": "l1",
        "leaving": False,
        "reads_store": True,
    }
    return Heartbeat(**{**values, **changes})


class PeerTableTest(unittest.TestCase):
    def setUp(self) -> None:
        self.table = PeerTable(me=_machine("m5"))

    def test_silent_machine_is_not_live(self) -> None:
        """Guards against look-ups that return a failed machine."""
        self.table.record_heartbeat(_heartbeat("m1"), 10.0)
        self.assertEqual(len(self.table.live(10.0 + SILENT_AFTER_S / 2)), 1)
        self.assertEqual(self.table.live(10.1 + SILENT_AFTER_S), [])

    def test_leaving_machine_is_not_live(self) -> None:
        self.table.record_heartbeat(_heartbeat("m1"), 10.0)
        self.table.record_heartbeat(_heartbeat("m1", leaving=True), 10.1)
        self.assertEqual(self.table.live(10.2), [])

    def test_unreachable_machines_still_count_for_shared_limits(self) -> None:
        self.table.record_heartbeat(_heartbeat("m1"), 10.0)
        self.assertEqual(self.table.live(99.0), [])
        self.assertEqual(self.table.known, {"m1", "m5"})

    def test_machine_on_the_list_of_a_hub_is_live(self) -> None:
        self.table.record_machines([_machine("m1"), _machine("m8")])
        self.table.record_live_list("m1", ["m1", "m8"], 10.0)
        names = [machine.name for machine in self.table.live(10.5)]
        self.assertEqual(names, ["m1", "m8"])
        self.assertEqual(self.table.live(10.1 + SILENT_AFTER_S), [])

    def test_machine_removed_from_the_list_is_not_live(self) -> None:
        self.table.record_machines([_machine("m1"), _machine("m8")])
        self.table.record_live_list("m1", ["m1", "m8"], 10.0)
        self.table.record_live_list("m1", ["m1"], 11.0)
        self.assertEqual([m.name for m in self.table.live(11.0)], ["m1"])

    @params(
        # (heartbeats, this machine can read the store, it is the reader)
        ([], True, True),
        ([_heartbeat("m9")], True, True),
        ([_heartbeat("m1")], True, False),
        # The reads of the first machine fail.
        ([_heartbeat("m1", reads_store=False)], True, True),
        ([_heartbeat("m1", leaving=True)], True, True),
        # The reads of this machine fail, and another one reads.
        ([_heartbeat("m9")], False, False),
        ([_heartbeat("m9", reads_store=False)], False, True),
        # A machine of another region does not read for this one.
        ([_heartbeat("m1", "r2")], True, True),
    )
    def test_reader(self, heartbeats, reads_store, expected) -> None:
        for heartbeat in heartbeats:
            self.table.record_heartbeat(heartbeat, 10.0)
        self.assertEqual(self.table.is_reader(10.1, reads_store), expected)

    def test_third_machine_is_a_hub_only_after_a_failure(self) -> None:
        machines = [_machine(f"m{i}") for i in (1, 2, 9)]
        self.table.record_machines(machines)
        self.table.record_live_list("m1", ["m1", "m2", "m9"], 10.0)
        self.assertEqual(self.table.hubs(10.1), ["m1", "m2"])
        self.assertFalse(self.table.is_reader(10.1, True))
        self.table.record_live_list("m1", ["m1", "m9"], 11.0)
        self.assertEqual(self.table.hubs(11.0), ["m1", "m5"])

    def test_heartbeats_go_only_to_hubs_while_the_relay_is_live(self) -> None:
        near = [_machine(f"m{i}") for i in range(30) if i != 5]
        far = [_machine(f"m{40 + i}", "r2") for i in range(9)]
        self.table.record_machines([*near, *far])
        self.table.relay_heard_at = 10.0
        self.assertEqual(
            len(self.table.heartbeat_targets(10.1)), HUBS_PER_REGION
        )
        self.assertEqual(len(self.table.heartbeat_targets(19.0)), len(near))

    def test_machines_replace_a_silent_relay_one_by_one(self) -> None:
        """Guards against simultaneous store reads by all machines."""
        self.table.record_machines([_machine(f"m{i}") for i in range(30)])
        self.table.relay_heard_at = 10.0
        self.assertFalse(self.table.is_relay_silent(11.1))
        self.assertTrue(self.table.is_relay_silent(12.2))
