"""Tests of the liveness of machines and the choice of the reader."""

import unittest

import msgspec
from nose2.tools import params

from chiverun.core.catalog import Machine
from chiverun.core.edgemessages import Heartbeat
from chiverun.core.peertable import CANDIDATES
from chiverun.core.peertable import HUBS_PER_ZONE
from chiverun.core.peertable import PeerTable
from chiverun.core.peertable import PROBES
from chiverun.core.peertable import SILENT_AFTER_S


def _machine(
    name: str, region: str = "r1", zone: str = "a", capacity: float = 1.0
) -> Machine:
    return Machine(
        name=name,
        peer=f"10.0.0.1:{1000 + int(name[1:])}",
        entry=f"10.0.0.1:{2000 + int(name[1:])}",
        zone=f"{region}-{zone}",
        region=region,
        capacity=capacity,
    )


def _heartbeat(name: str, region: str = "r1", **changes) -> Heartbeat:
    values = {
        "machine": _machine(name, region),
        "boot_id": "l1",
        "leaving": False,
        "reads_store": True,
    }
    return Heartbeat(**{**values, **changes})


def _number(name: str) -> int:
    return int(name[1:])


def _names(machines: list[Machine]) -> list[str]:
    return [machine.name for machine in machines]


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
        self.table.record_machines([_machine("m5")])
        self.assertEqual(self.table.live(99.0), [])
        names = {machine.name for machine in self.table.fleet()}
        self.assertEqual(names, {"m1", "m5"})

    def test_unregistered_machine_has_no_share(self) -> None:
        """Guards against a share that the other machines do not know of."""
        self.table.record_machines([_machine("m1")])
        names = [machine.name for machine in self.table.fleet()]
        self.assertEqual(names, ["m1"])

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
        self.assertEqual(_names(self.table.region_hubs(10.1)), ["m1", "m2"])
        self.assertFalse(self.table.is_reader(10.1, True))
        self.table.record_live_list("m1", ["m1", "m9"], 11.0)
        self.assertEqual(_names(self.table.region_hubs(11.0)), ["m1", "m5"])

    def test_heartbeats_do_not_grow_with_the_machines(self) -> None:
        """Guards against a burst of messages when something has failed.

        While the relay is silent, a machine tries a few others, however many
        there are.
        """
        for count in (30, 300):
            table = PeerTable(me=_machine("m5"))
            near = [_machine(f"m{i}") for i in range(count) if i != 5]
            far = [_machine(f"m{500 + i}", zone="b") for i in range(count)]
            other = [_machine(f"m{900 + i}", "r2") for i in range(9)]
            table.record_machines([*near, *far, *other])
            table.relay_heard_at = 10.0
            calm = table.heartbeat_targets(10.1, False)
            silent = table.heartbeat_targets(19.0, False)
            self.assertEqual(HUBS_PER_ZONE, len(calm))
            self.assertLessEqual(len(silent), HUBS_PER_ZONE + CANDIDATES)
            self.assertEqual({"r1-a"}, {m.zone for m in [*calm, *silent]})

    def test_hubs_report_their_zone(self) -> None:
        """Guards against machines of another zone that nobody names.

        The first hubs of the region hear them from the hubs of their zone.
        """
        table = PeerTable(me=_machine("m1"))
        far = [_machine(f"m{i}", zone="b") for i in (7, 8, 9)]
        table.record_machines(far)
        heartbeat = Heartbeat(
            machine=far[0],
            boot_id="l1",
            leaving=False,
            reads_store=True,
            heard=["m8", "m9"],
        )
        self.assertTrue(table.record_heartbeat(heartbeat, 10.0))
        self.assertFalse(table.record_heartbeat(heartbeat, 10.5))
        self.assertEqual(_names(table.live(10.5)), ["m7", "m8", "m9"])
        without = msgspec.structs.replace(heartbeat, heard=["m9"])
        self.assertTrue(table.record_heartbeat(without, 11.0))
        self.assertEqual(_names(table.live(11.0)), ["m7", "m9"])
        self.assertEqual([], table.live(11.1 + SILENT_AFTER_S))

    def test_restarted_machine_is_live_again(self) -> None:
        """Guards against a machine hidden by its last heartbeat of a stop.

        The hub heard the stop itself, and hears the return from another.
        """
        table = PeerTable(me=_machine("m1"))
        far = [_machine(f"m{i}", zone="b") for i in (7, 8)]
        table.record_machines(far)
        stop = Heartbeat(
            machine=far[1], boot_id="l1", leaving=True, reads_store=True
        )
        table.record_heartbeat(stop, 10.0)
        hub = Heartbeat(
            machine=far[0],
            boot_id="l1",
            leaving=False,
            reads_store=True,
            heard=["m8"],
        )
        table.record_heartbeat(hub, 10.1)
        self.assertEqual(_names(table.live(10.1)), ["m7"])
        table.record_heartbeat(hub, 10.1 + SILENT_AFTER_S)
        self.assertEqual(
            _names(table.live(10.1 + SILENT_AFTER_S)), ["m7", "m8"]
        )

    def test_strong_machines_are_hubs(self) -> None:
        """Guards against hubs that are slower than those they serve."""
        machines = [_machine("m1"), _machine("m9", capacity=2.0)]
        self.table.record_machines(machines)
        self.assertEqual(_names(self.table.zone_hubs(10.0)), ["m9", "m1"])

    def test_reader_sends_to_the_hubs_of_other_zones(self) -> None:
        """Guards against news that goes to each machine of other zones."""
        table = PeerTable(me=_machine("m1"))
        near = [_machine(f"m{i}") for i in range(2, 22)]
        far = [
            _machine(f"m{100 * z + i}", zone=f"z{z}")
            for z in (1, 2)
            for i in range(20)
        ]
        table.record_machines([*near, *far])
        table.record_live_list("m1", [m.name for m in near + far], 10.0)
        targets = table.relay_targets(10.1, is_reader=True)
        self.assertEqual(len(near) + 2 * HUBS_PER_ZONE, len(targets))
        only_zone = table.relay_targets(10.1, is_reader=False)
        self.assertEqual(_names(near), sorted(_names(only_zone), key=_number))

    def test_silent_zone_is_probed_in_turn(self) -> None:
        """Guards against zones that never find each other again.

        The first machines of a zone may be those that are down.
        """
        far = [_machine(f"m{100 + i}", zone="b") for i in range(22)]
        self.table.record_machines(far)
        probed = set()
        for step in range(3):
            targets = self.table.probe_targets(10.0 + step * 0.5)
            self.assertEqual(PROBES, len(targets))
            probed.update(_names(targets))
        self.assertEqual(set(_names(far)), probed)
        self.table.record_live_list("m1", ["m107"], 20.0)
        self.assertEqual([], self.table.probe_targets(20.1))

    def test_first_hub_passes_on_news_of_other_zones(self) -> None:
        """Guards against news that goes round between hubs."""
        far = _machine("m9", zone="b")
        self.table.record_machines([_machine("m8"), far])
        self.assertTrue(self.table.passes_on("m9", 10.0))
        self.assertFalse(self.table.passes_on("m8", 10.0))
        self.assertFalse(self.table.passes_on("m77", 10.0))
        self.table.record_machines([_machine("m1")])
        self.assertFalse(self.table.passes_on("m9", 10.0))

    def test_machines_replace_a_silent_relay_one_by_one(self) -> None:
        """Guards against simultaneous store reads by all machines."""
        self.table.record_machines([_machine(f"m{i}") for i in range(30)])
        self.table.relay_heard_at = 10.0
        self.assertFalse(self.table.is_relay_silent(11.1))
        self.assertTrue(self.table.is_relay_silent(12.2))
