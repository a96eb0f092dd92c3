"""Tests of claims, transfers and records of seats."""

import unittest

from nose2.tools import params

from chiverun.core.messages import MemberState
from chiverun.core.messages import SeatHolderRecord
from chiverun.core.seats import Claim
from chiverun.core.seats import CLAIM_EPOCH_STEP
from chiverun.core.seats import ClaimPlan
from chiverun.core.seats import ended_boots
from chiverun.core.seats import held_after_claim
from chiverun.core.seats import holders_digest
from chiverun.core.seats import keep_old_deadlines
from chiverun.core.seats import lost_seats
from chiverun.core.seats import newer_holders
from chiverun.core.seats import OLD_DEADLINES_MAX
from chiverun.core.seats import record_holder
from chiverun.core.seats import SeatRecord
from chiverun.core.seats import SEATS_MAX
from chiverun.core.seats import select_claims
from chiverun.core.seats import with_owners
from chiverun.core.seats import without_owner
from chiverun.core.tables import Held
from chiverun.core.tables import Member
from chiverun.core.tables import MemberTable
from chiverun.core.tables import Owner
from chiverun.core.tables import SeatHolder
from chiverun.core.tables import SeatTable
from standins.planes import make_state
from standins.planes import SHORT
from standins.planes import ZONE

_ME = Owner(instance="a", boot_id="me", incarnation=1, peer="p1", epoch=0)


def _owner(**fields) -> Owner:
    values = {"instance": "b", "boot_id": "b1", "incarnation": 1, "peer": "p2"}
    return Owner(**{**values, "epoch": 3, **fields})


def _plan(**fields) -> ClaimPlan:
    values = {
        "missing": frozenset({0}),
        "claims_max": 1,
        "rank": 0,
        "live": 1,
        "ended": frozenset(),
        "known_holders": {},
        "overdue": frozenset(),
    }
    return ClaimPlan(**{**values, **fields})


def _claim(epoch: int, was_used: bool = True) -> list[Claim]:
    return [
        Claim(seat=0, epoch=epoch + CLAIM_EPOCH_STEP, was_used=was_used),
    ]


class SelectClaimsTest(unittest.TestCase):
    @params(
        ("never held", None, {}, _claim(0, False)),
        ("live owner", _owner(), {}, []),
        ("silent owner", _owner(), {"ended": frozenset({"b1"})}, _claim(3)),
        ("own earlier process", _owner(peer="p1"), {}, _claim(3)),
        ("namesake elsewhere", _owner(instance="a"), {}, []),
        (
            "own seat above the share",
            _owner(boot_id="me"),
            {"claims_max": 0},
            _claim(3),
        ),
        ("above the share", None, {"claims_max": 0}, []),
        (
            "record behind a live holder",
            _owner(boot_id="me"),
            {"known_holders": {0: SeatHolder(8, "c1")}},
            [],
        ),
        (
            "record behind a silent holder",
            _owner(boot_id="me"),
            {
                "known_holders": {0: SeatHolder(8, "c1")},
                "ended": frozenset({"c1"}),
            },
            _claim(8),
        ),
        (
            "holder never took the seat",
            _owner(boot_id="me"),
            {
                "known_holders": {0: SeatHolder(8, "c1")},
                "overdue": frozenset({0}),
            },
            _claim(8),
        ),
    )
    def test_claims(self, name, owner, plan, expected) -> None:
        """Guards against wrong claims, by which two instances use a seat."""
        record = SeatRecord(owners={0: owner} if owner else {})
        claims = select_claims(record, _plan(**plan), _ME)
        self.assertEqual(expected, claims, name)

    def test_released_seat_counts_as_used(self) -> None:
        """Guards against opening a seat whose requests may still run."""
        record = SeatRecord(epochs={0: 5})
        self.assertEqual(_claim(5), select_claims(record, _plan(), _ME))


class RecordTest(unittest.TestCase):
    def test_jobs_out_of_order(self) -> None:
        """Guards against a retried write that undoes a later one."""
        old, new = _owner(epoch=4), _owner(boot_id="c1", epoch=5)
        for order in ((old, new), (new, old)):
            record = SeatRecord()
            for owner in order:
                record = with_owners(record, {0: owner})
            self.assertEqual(new, record.owners[0])
            self.assertEqual(record, without_owner(record, 0, 4))
        given_up = without_owner(record, 0, 5)
        self.assertEqual(given_up, with_owners(given_up, {0: new}))


class KnownHoldersTest(unittest.TestCase):
    def test_the_newer_holder_wins_in_any_order(self) -> None:
        """Guards against two holders of equal epochs that both keep a seat."""
        one, two = SeatTable(), SeatTable()
        known_holders = [(4, "x"), (5, "x"), (5, "y")]
        for epoch, boot_id in known_holders:
            record_holder(one, 0, SeatHolder(epoch, boot_id))
        for epoch, boot_id in reversed(known_holders):
            record_holder(two, 0, SeatHolder(epoch, boot_id))
        self.assertEqual(holders_digest(one), holders_digest(two))
        one.held[0] = Held(epoch=5, short_opens_at=0.0, long_opens_at=0.0)
        self.assertEqual({0}, lost_seats(one, "x"))
        self.assertEqual(set(), lost_seats(one, "y"))
        stale = SeatHolderRecord(seat=0, epoch=5, boot_id="x")
        fresh = SeatHolderRecord(seat=0, epoch=5, boot_id="y")
        self.assertEqual((fresh,), newer_holders(one, (stale,)))
        self.assertEqual((), newer_holders(one, (fresh,)))

    @params(-1, SEATS_MAX)
    def test_holders_are_bounded(self, seat) -> None:
        """Guards against memory that grows with invalid messages."""
        table = SeatTable()
        self.assertFalse(record_holder(table, seat, SeatHolder(1, "x")))
        self.assertEqual({}, table.known_holders)


class EndedLivesTest(unittest.TestCase):
    @params(
        ({}, True),
        ({"checks": 2}, False),
        ({"checked_at": 99.8}, False),
        ({"acked_at": 95.0}, False),
        ({"measured_at": 97.0}, False),
        ({"state": MemberState.SUSPECT}, False),
        ({"state_since": 99.5, "acked_at": 0.0}, False),
    )
    def test_only_own_silence_counts(self, fields, is_ended) -> None:
        """Guards against live holders that lose their seats.

        A member that others have declared dead may be alive, so this
        instance's own pings must have failed as well.
        """
        values = {
            "state": MemberState.DEAD,
            "state_since": 90.0,
            "checks": 3,
            "checked_at": 92.0,
        }
        members = MemberTable()
        members.add(
            Member(
                instance="b",
                zone=ZONE,
                peer="p2",
                incarnation=1,
                boot_id="b1",
                **{**values, **fields},
            )
        )
        expected = {"b1"} if is_ended else set()
        self.assertEqual(expected, ended_boots(members, ZONE, 100.0))


class OpeningTest(unittest.TestCase):
    @params(
        ("unchanged", {}, 1.5),
        ("slot was long", {"long_slots": 0}, 6.0),
        ("slot became long", {"long_slots": 3}, 6.0),
        ("shorter deadline", {"classes": (SHORT,)}, 1.5),
    )
    def test_work_under_an_earlier_ticket(self, name, fields, least) -> None:
        """Guards against slots that open too early after a ticket.

        Requests under the earlier ticket may still run on them.
        """
        table, old = SeatTable(), make_state()
        new = make_state(**fields)
        keep_old_deadlines(table, old, new, ZONE, 100.0)
        claim = Claim(seat=0, epoch=5, was_used=True)
        held = held_after_claim(table, new, claim, 100.5)
        self.assertGreaterEqual(held.short_opens_at, 100.5 + least, name)
        self.assertGreaterEqual(held.long_opens_at, 106.0, name)
        late = held_after_claim(table, new, claim, 200.0)
        self.assertLess(late.short_opens_at, 204.0, name)

    def test_work_under_another_number_of_seats(self) -> None:
        """Guards against slots that open too early for another seat.

        Requests of the earlier seat may still run on them.
        """
        table, old, new = SeatTable(), make_state(), make_state(seats=8)
        table.held[0] = Held(epoch=1, short_opens_at=0.0, long_opens_at=0.0)
        keep_old_deadlines(table, old, new, ZONE, 100.0)
        claim = Claim(seat=7, epoch=1, was_used=False)
        for held in (
            table.held[0],
            held_after_claim(table, new, claim, 101.0),
        ):
            self.assertGreaterEqual(held.short_opens_at, 106.0)
        late = held_after_claim(table, new, claim, 200.0)
        self.assertEqual(200.0, late.short_opens_at)

    def test_kept_deadlines_are_bounded(self) -> None:
        table = SeatTable()
        for number in range(2 * OLD_DEADLINES_MAX):
            old = make_state(long_slots=number % 2)
            new = make_state(long_slots=1 - number % 2)
            keep_old_deadlines(table, old, new, ZONE, 100.0)
        self.assertEqual(OLD_DEADLINES_MAX, len(table.old_deadlines))
