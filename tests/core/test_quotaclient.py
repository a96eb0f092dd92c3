"""Tests of the choice of a coordinator, of tokens and of waiting requests."""

import unittest
from unittest import mock

from nose2.tools import params

from chiverun.core.edgemessages import QuotaTokens
from chiverun.core.quota import Admitted
from chiverun.core.quota import Exceeded
from chiverun.core.quotaadmission import WAIT_MAX_S
from chiverun.core.quotatokens import report_period_s
from chiverun.core.quotatokens import TokenCache
from tests.core.quotafleet import make_account
from tests.core.quotafleet import QuotaFleet

_ACCOUNTS = [make_account("a", 50.0, 20.0)]


def _cache(tokens: int, life_s: float = 1.5) -> TokenCache:
    """Return a cache with tokens of account a from time 0 on."""
    cache = TokenCache()
    cache.take("a", 0.0)
    granted = QuotaTokens(account="a", tokens=tokens, wait_s=0.0)
    cache.apply([granted], sent_at=0.0, life_s=life_s, now=0.1)
    return cache


class TokenCacheTest(unittest.TestCase):
    @params((0.2, True), (1.49, True), (1.5, False), (9.0, False))
    def test_tokens_expire_by_the_own_clock(self, at, is_there):
        """Guards against an instance that goes on after a pause."""
        self.assertEqual(is_there, _cache(3).take("a", at))

    @params((0.2, True), (1.6, False))
    def test_token_of_a_request_not_run_is_used_again(self, at, is_there):
        """Guards against lost tokens, and against ones that live on."""
        cache = _cache(1)
        cache.take("a", 0.15)
        cache.give_back("a", at)
        self.assertEqual(is_there, cache.take("a", at))

    def test_renewed_tokens_stay(self):
        """Guards against tokens that expire although they were reported."""
        cache = _cache(3)
        (demand,) = cache.demands(1.0, 0.25)
        self.assertEqual(3, demand.held)
        row = QuotaTokens(account="a", tokens=0, wait_s=0.0)
        cache.apply([row], sent_at=1.0, life_s=1.5, now=1.1)
        self.assertTrue(cache.take("a", 2.4))

    def test_recalled_tokens_are_reported_once(self):
        """Guards against tokens that are returned twice."""
        cache = _cache(5)
        row = QuotaTokens(account="a", tokens=-4, wait_s=0.0)
        cache.apply([row], sent_at=0.2, life_s=1.5, now=0.3)
        returned = [cache.demands(t, 0.25)[0].returned for t in (0.4, 0.6)]
        self.assertEqual([4, 0], returned)

    def test_unused_account_returns_its_tokens_and_is_forgotten(self):
        """Guards against tokens that seldom used accounts lose."""
        cache = _cache(2, life_s=60.0)
        (demand,) = cache.demands(11.0, 0.25)
        self.assertEqual((0, 2), (demand.held, demand.returned))
        self.assertEqual([], cache.demands(11.3, 0.25))
        self.assertEqual({}, cache.rows)

    def test_account_without_tokens_or_demand_is_not_reported(self):
        """Guards against reports of all accounts that were ever used."""
        cache = _cache(0)
        self.assertEqual(1, len(cache.demands(0.5, 0.25)))
        self.assertEqual([], cache.demands(0.75, 0.25))
        cache.take("a", 0.8)
        self.assertEqual(1, len(cache.demands(1.0, 0.25)))

    @params((8, 0.25), (100, 0.25), (101, 0.5), (300, 0.75))
    def test_period_grows_with_the_fleet(self, instances, period_s):
        """Guards against a coordinator that a large fleet overloads."""
        self.assertEqual(period_s, report_period_s(instances))


class ChoiceTest(unittest.TestCase):
    def _fleet(self, **changes) -> QuotaFleet:
        fleet = QuotaFleet(machines=12, accounts=_ACCOUNTS, **changes)
        fleet.run(3.0)
        return fleet

    def test_all_use_the_first(self):
        """Guards against instances that use different coordinators."""
        self.assertEqual({"i000": 12}, self._fleet().coordinators())

    def test_next_takes_over_and_the_first_comes_back(self):
        """Guards against a fleet that stays split after a failure."""
        fleet = self._fleet()
        fleet.instances["i000"].stop()
        fleet.run(4.5)
        self.assertEqual({"i001": 11}, fleet.coordinators())
        fleet.instances["i000"].start()
        fleet.run(10.0)
        self.assertEqual({"i000": 12}, fleet.coordinators())

    def test_stopping_coordinator_is_left_before_it_ends(self):
        """Guards against requests that wait during a planned stop."""
        fleet = self._fleet()
        fleet.instances["i000"].coordinator.is_leaving = True
        fleet.run(4.0)
        self.assertEqual({"i001": 12}, fleet.coordinators())

    def test_one_way_loss_ends_the_use_of_a_coordinator(self):
        """Guards against a coordinator that hears and isn't heard."""
        fleet = self._fleet()
        fleet.blocks = lambda sender, receiver: sender.name == "i000"
        fleet.run(6.0)
        self.assertEqual({"i001": 11, "i000": 1}, fleet.coordinators())

    def test_unreliable_coordinator_is_tried_less_and_less(self):
        """Guards against a fleet that changes its coordinator all the time."""
        fleet = self._fleet()
        last = fleet.instances["i011"].client
        for at in range(3, 63, 3):
            fleet.blocks = lambda sender, receiver: sender.name == "i000"
            fleet.run(at + 1.2)
            fleet.heal()
            fleet.run(at + 3.0)
        failures = [c for c in last.changes if c.reason == "no answer"]
        self.assertLess(len(failures), 10)

    @params((71, 0.7), (300, 1.8))
    def test_new_process_waits_for_the_end_of_an_earlier_one(
        self, machines, until_s
    ):
        """Guards against a share that is delegated twice after a restart."""
        fleet = QuotaFleet(machines=machines, accounts=_ACCOUNTS)
        fleet.run(until_s)
        coordinators = [i.coordinator for i in fleet.instances.values()]
        self.assertFalse(any(row.deposits for row in coordinators))
        fleet.run(until_s + 2.0)
        self.assertTrue(any(row.deposits for row in coordinators))

    def test_share_is_with_one_coordinator_at_a_time(self):
        """Guards against a share that two coordinators use while one is left.

        The first coordinator is paused, and handles the reports later.
        """
        fleet = self._fleet()
        fleet.instances["i000"].pause(2.0)
        while fleet.now < 9.0:
            fleet.run(fleet.now + 0.01)
            users = [
                holder
                for i in fleet.instances.values()
                if fleet.now >= i.paused_until
                for holder, deposit in i.coordinator.deposits.items()
                if i.time() < deposit.end
            ]
            self.assertEqual(len(users), len(set(users)), fleet.now)


class WaitTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = QuotaFleet(machines=6, accounts=_ACCOUNTS)
        self.fleet.run(5.0)
        self.instance = self.fleet.instances["i005"]
        self.outcomes = []

    def _wait(self, limit_s: float):
        now = self.instance.time()
        admission = self.instance.admission
        self.assertIsNone(admission.admit("a", now, now + limit_s))
        return admission.wait("a", now, now + limit_s, self.outcomes.append)

    @params((2.0, 0.3), (0.8, 0.2), (0.1, 0.025))
    def test_waiting_is_bounded(self, limit_s, wait_s):
        """Guards against a request that waits for a silent coordinator."""
        self.fleet.cut(lambda machine: machine.name)
        waiter = self._wait(limit_s)
        self.assertAlmostEqual(wait_s, waiter.until - self.instance.time())
        self.instance._schedule()
        self.fleet.run(5.0 + wait_s + 0.02)
        self.assertEqual([Exceeded], [type(o) for o in self.outcomes])

    def test_waiting_ends_after_an_unexpected_error(self):
        """Guards against requests that wait for ever after a fault."""
        waiter = self._wait(2.0)
        admission = self.instance.admission
        with mock.patch.object(
            admission.client, "tick", side_effect=RuntimeError
        ):
            self.assertRaises(RuntimeError, admission.tick, waiter.until)
        self.assertEqual([Exceeded], [type(o) for o in self.outcomes])

    def test_requests_of_an_account_share_a_report(self):
        """Guards against a message for each request."""
        sent = self.fleet.messages
        for _ in range(9):
            self._wait(2.0)
        self.assertLessEqual(self.fleet.messages - sent, 1)
        self.fleet.run(5.0 + WAIT_MAX_S)
        self.assertEqual([Admitted] * 9, [type(o) for o in self.outcomes])

    def test_cancelled_request_takes_no_token(self):
        """Guards against tokens for clients that have left."""
        self.instance.admission.cancel(self._wait(2.0))
        self.fleet.run(6.0)
        self.assertEqual([], self.outcomes)
