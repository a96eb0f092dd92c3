"""Tests of failure detection."""

import random
import unittest

from nose2.tools import params

from chiverun.core import membership
from chiverun.core.messages import Advert
from chiverun.core.messages import MemberState
from chiverun.core.messages import MemberUpdate
from chiverun.core.tables import MemberTable

_ZONE = "dar-a"


def _advert(name: str, **fields) -> Advert:
    values = {
        "boot_id": f"{name}-1",
        "incarnation": 1,
        "sequence": 1,
        "zone": _ZONE,
        "lookup": "127.0.0.1:1",
        "entry": "127.0.0.1:2",
        "forward": "127.0.0.1:3",
        "peer": f"{name}:7000",
        "leaving": False,
        "seats": (),
        "free_slots": {},
        "number": 1,
    }
    return Advert(instance=name, **{**values, **fields})


def _table(*names: str) -> MemberTable:
    table = MemberTable()
    for name in names:
        membership.merge_advert(table, _advert(name), _ZONE, 0.0)
    return table


class MembershipTest(unittest.TestCase):
    @params(
        (MemberState.ALIVE, MemberState.SUSPECT, 1, MemberState.SUSPECT),
        (MemberState.ALIVE, MemberState.SUSPECT, 0, MemberState.ALIVE),
        (MemberState.SUSPECT, MemberState.ALIVE, 1, MemberState.SUSPECT),
        (MemberState.SUSPECT, MemberState.ALIVE, 2, MemberState.ALIVE),
        (MemberState.DEAD, MemberState.SUSPECT, 1, MemberState.DEAD),
        (MemberState.DEAD, MemberState.ALIVE, 2, MemberState.ALIVE),
        (MemberState.SUSPECT, MemberState.DEAD, 1, MemberState.DEAD),
    )
    def test_updates_in_any_order(self, state, news, number, after) -> None:
        """A late update must not undo a refutation."""
        table = _table("b")
        table.rows["b"].state = state
        update = MemberUpdate(instance="b", incarnation=number, state=news)
        membership.merge_update(table, update, 1.0)
        self.assertIs(after, table.rows["b"].state)

    def test_silent_member_dies(self) -> None:
        table = _table("b")
        rng = random.Random(1)
        now = 0.0
        while now < 1.0 + membership.SUSPECT_S + 1.0:
            membership.expire(table, _ZONE, now)
            if now >= table.next_probe_at:
                table.next_probe_at = now + membership.PERIOD_S
                membership.next_probe(table, _ZONE, now, rng)
            now += 0.1
        self.assertIs(MemberState.DEAD, table.rows["b"].state)

    def test_suspects_get_their_time_after_a_pause(self) -> None:
        """A resumed process declared all its suspects dead at once."""
        table = _table("b")
        table.rows["b"].state = MemberState.SUSPECT
        membership.reset_failure_detection(table, 100.0)
        membership.expire(table, _ZONE, 100.5)
        self.assertIs(MemberState.SUSPECT, table.rows["b"].state)

    @params(
        ("same life", "b-1", 5, False),
        ("other life, ping sent before it was known", "b-2", 3, False),
        ("other life", "b-2", 5, True),
    )
    def test_end_of_a_lifetime(
        self, name, boot_id, sequence, is_ended
    ) -> None:
        """Only an answer from the address proves that a process ended."""
        table = _table()
        table.sequence = 4
        membership.merge_advert(table, _advert("b"), _ZONE, 0.0)
        sender = _advert("c", boot_id=boot_id, peer="b:7000")
        membership.record_ack(table, sender, sequence, 1.0)
        self.assertEqual(is_ended, "b-1" in table.ended, name)

    def test_dead_member_that_answers_is_a_suspect(self) -> None:
        table = _table("b")
        table.rows["b"].state = MemberState.DEAD
        membership.record_ack(table, _advert("b"), 1, 7.0)
        row = table.rows["b"]
        self.assertEqual(
            (MemberState.SUSPECT, 7.0), (row.state, row.state_since)
        )

    def test_tables_are_bounded(self) -> None:
        """72 zones of 67 instances must not all be kept."""
        table = MemberTable()
        for number in range(72 * 67):
            advert = _advert(f"r{number}", zone=f"zone-{number % 72}")
            membership.merge_advert(table, advert, _ZONE, 0.0)
        self.assertEqual(72 * membership.REMOTE_PER_ZONE, len(table.rows))
        newer = _advert("newer", zone="zone-0")
        self.assertFalse(membership.merge_advert(table, newer, _ZONE, 1.0))
        self.assertTrue(membership.merge_advert(table, newer, _ZONE, 11.0))
        self.assertEqual(72 * membership.REMOTE_PER_ZONE, len(table.rows))
        for number in range(2 * membership.ENDED_KEPT):
            membership.note_ended(table, f"life-{number}")
        self.assertEqual(membership.ENDED_KEPT, len(table.ended))
