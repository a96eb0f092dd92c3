"""Tests of the coordinator of client accounts' limits."""

import unittest

from nose2.tools import params

from chiverun.core.catalog import Machine
from chiverun.core.edgemessages import QuotaDemand
from chiverun.core.edgemessages import QuotaGrant
from chiverun.core.edgemessages import QuotaReport
from chiverun.core.edgesettings import EdgeBounds
from chiverun.core.quotacoordinator import CHANGES_MAX
from chiverun.core.quotacoordinator import QuotaCoordinator
from chiverun.core.quotashares import capacity_of
from chiverun.core.quotatokens import token_life_s
from tests.core.quotafleet import make_account

_BOUNDS = EdgeBounds()
_ACCOUNT = make_account("a", 10.0, 20.0)
_FULL = capacity_of(_ACCOUNT, _BOUNDS)


class CoordinatorTest(unittest.TestCase):
    """A coordinator with the share of one instance, or of two."""

    def setUp(self) -> None:
        self.coordinator = QuotaCoordinator(
            name="c", boot_id="c.1", bounds=_BOUNDS
        )
        self.coordinator.set_accounts({"a": _ACCOUNT}, 0.0)
        self._set_fleet("h1")
        self.numbers = {}

    def _set_fleet(self, *names: str) -> None:
        machines = [
            Machine(name=name, peer=name, entry="e", zone="z", region="r")
            for name in names
        ]
        self.coordinator.set_fleet(machines, 0.0)

    def _report(
        self,
        at: float,
        *,
        sender: str = "h1",
        share_s: float = 1.0,
        sent_at: float | None = None,
        number: int | None = None,
        life: str = "1",
        **demand,
    ) -> QuotaGrant | None:
        """Handle a report; `sent_at` is when it was sent, `at` unless set."""
        self.numbers[sender] = number or self.numbers.get(sender, 0) + 1
        values = {"held": 0, "returned": 0, "waiting": 0}
        values |= {"expected": 0.0, "stock": 0.0, **demand}
        report = QuotaReport(
            sender=sender,
            reply_to=sender,
            boot_id=life,
            number=self.numbers[sender],
            echo_boot_id="c.1",
            echo_sent_at=at if sent_at is None else sent_at,
            share_s=share_s,
            demands=[QuotaDemand(account="a", **values)] if demand else [],
        )
        return self.coordinator.handle(report, at)

    def _hold(self, since: float, until: float, sender: str = "h1") -> None:
        """Delegate a share for a time."""
        at = since
        while at <= until:
            self._report(at, sender=sender)
            at += 0.5

    def _tokens(self, at: float, **changes) -> int:
        return self._report(at, **changes).tokens[0].tokens

    def test_many_changes_of_shares_are_forgotten(self) -> None:
        """Guards against a coordinator that fails after some days."""
        self._tokens(0.0, waiting=1)
        for i in range(CHANGES_MAX + 10):
            # Each share ends before the next report.
            self._report(2.0 * (i + 1), share_s=1.0)
        self.assertLessEqual(len(self.coordinator._changes), CHANGES_MAX)
        self._set_fleet("h1", "h2")

    def test_tokens_accrue_while_a_share_is_delegated(self):
        """Guards against a coordinator that starts with a full bucket."""
        self.assertEqual(0, self._tokens(0.0, waiting=100))
        self.assertEqual(9, self._tokens(0.9, waiting=100))

    def test_unused_account_is_as_full_as_its_share_is_old(self):
        """Guards against a burst that is refused after a quiet time."""
        self._hold(0.0, 2.0)
        self.assertEqual(20, self._tokens(2.0, waiting=100))
        self._hold(2.5, 20.0)
        self.assertEqual(int(_FULL), self._tokens(20.0, waiting=100))

    @params(0.0, 0.7, 5.0)
    def test_share_ends_by_the_time_of_its_holder(self, delay_s):
        """Guards against two coordinators that use one share.

        The report was sent at 1.0 and handled late.
        """
        self._report(0.0, waiting=1)
        self._report(0.9, sent_at=0.9)
        self._report(1.0 + delay_s, sent_at=1.0, waiting=100)
        late = self._tokens(10.0, sender="h2", share_s=0.0, waiting=100)
        self.assertLessEqual(late, 10 * 2.0)

    def test_echo_of_another_process_delegates_nothing(self):
        """Guards against a restarted coordinator that trusts old times."""
        self.coordinator.boot_id = "c.2"
        self._report(0.0)
        self.assertEqual({}, self.coordinator.deposits)

    def test_released_share_brings_nothing(self):
        """Guards against a coordinator that is left and grants on."""
        self._hold(0.0, 9.0)
        self._report(9.0, share_s=0.0)
        self.assertEqual(0, self._tokens(9.1, sender="h2", waiting=9))

    def test_held_tokens_do_not_add_to_the_burst(self):
        """Guards against a full bucket beside many unused tokens."""
        self._hold(0.0, 10.0)
        held = self._tokens(10.0, stock=12.0)
        self.assertEqual(12, held)
        at = 10.0
        while at < 20.0:
            at += 0.5
            self._report(at, held=held, stock=12.0)
        rest = self._tokens(20.0, sender="h2", waiting=500)
        self.assertEqual(int(_FULL) - held, rest)

    def test_returned_tokens_are_granted_again(self):
        """Guards against tokens that are lost when demand moves."""
        self._hold(0.0, 10.0)
        self._report(10.0, waiting=int(_FULL))
        self._report(10.01, held=20, returned=int(_FULL) - 20, stock=20.0)
        moved = self._tokens(10.01, sender="h2", waiting=500)
        self.assertEqual(int(_FULL) - 20, moved)

    def test_no_more_is_returned_than_was_granted(self):
        """Guards against a report that creates tokens."""
        self._report(0.0, waiting=5)
        self._report(1.0, waiting=5, returned=1000)
        self.assertLessEqual(self.coordinator.buckets["a"].level, 10.0)

    def test_late_report_is_not_answered(self):
        """Guards against tokens that are counted back to an older state."""
        self._report(0.0, number=7)
        self.assertIsNone(self._report(0.1, number=6, waiting=1))

    def test_tokens_of_a_silent_holder_count_until_they_expired(self):
        """Guards against a bucket that refills before a lease has ended."""
        self._hold(0.0, 10.0)
        self._report(10.0, waiting=int(_FULL))
        life_s = token_life_s(1)
        self._hold(10.0, 10.0 + 3 * life_s, sender="h1")
        bucket = self.coordinator.buckets["a"]
        self.assertEqual({}, bucket.leases)
        self.assertEqual(0, bucket.outstanding)

    def test_new_process_of_a_holder_has_no_tokens(self):
        """Guards against tokens of an ended process that stay leased."""
        self._hold(0.0, 10.0)
        self._report(10.0, waiting=9)
        self._report(10.1, life="2", number=1)
        self.assertEqual(0, self.coordinator.buckets["a"].outstanding)

    def test_lower_limit_takes_back_what_is_held(self):
        """Guards against a limit that is lowered and exceeded for long."""
        self._hold(0.0, 10.0)
        held = self._tokens(10.0, stock=19.0)
        lower = make_account("a", 0.1)
        self.coordinator.set_accounts({"a": lower}, 10.0)
        back = self._tokens(10.1, held=held, stock=19.0)
        self.assertEqual(-held, back)

    def test_unknown_account_gets_nothing(self):
        """Guards against tokens of a limit that was removed."""
        self.coordinator.set_accounts({}, 0.0)
        self.assertEqual(-4, self._tokens(0.0, held=4, waiting=1))

    def test_part_of_the_fleet_has_a_part_of_the_limit(self):
        """Guards against a partition whose sides each use the whole limit."""
        self._set_fleet("h1", "h2")
        self._hold(0.0, 10.0)
        self.assertEqual(int(_FULL / 2), self._tokens(10.0, waiting=500))
        self._report(10.0, held=0)
        self.assertEqual(4, self._tokens(10.8, waiting=500))

    def test_exhaustion_is_noted_once(self):
        """Guards against a log line with each refused request."""
        for at in (0.0, 0.01, 0.02):
            self._report(at, waiting=9)
        for at in (0.8, 1.6, 2.4, 3.2, 4.0):
            self._report(at, expected=0.1)
        noted = [row.is_exhausted for row in self.coordinator.exhaustions]
        self.assertEqual([True, False], noted)
