"""Tests of limits that backend servers name in their responses."""

import unittest

from nose2.tools import params

from chiverun.core.serverlimit import LIMIT_MEMORY_S
from chiverun.core.serverlimit import LimitBucket
from chiverun.core.serverlimit import LimitNews
from chiverun.core.serverlimit import NamedLimit
from chiverun.core.serverlimit import sender_shares


class NamedLimitTest(unittest.TestCase):
    @params(
        # per_s, sent_at, arrived_at of the responses, and the limit after
        # them.
        ([(5.0, 0.0, 1.0)], 5.0),
        ([(5.0, 0.0, 1.0), (4.0, 0.5, 1.1)], 4.0),
        ([(5.0, 0.0, 1.0), (None, 0.5, 2.0)], 5.0),
        ([(5.0, 0.0, 1.0), (None, 1.5, 2.0)], None),
        ([(None, 0.0, 1.0)], None),
    )
    def test_limit_ends_by_a_later_response_only(self, said, limit) -> None:
        """Guards against a limit that ends by a response older than it."""
        named = NamedLimit()
        for per_s, sent_at, now in said:
            named.apply(per_s, sent_at=sent_at, now=now)
        self.assertEqual(limit, named.per_s)

    def test_only_changes_are_told(self) -> None:
        """Guards against a log line with each response."""
        named = NamedLimit()
        self.assertFalse(named.apply(None, sent_at=0.0, now=1.0))
        self.assertTrue(named.apply(5.0, sent_at=1.0, now=2.0))
        self.assertFalse(named.apply(5.0, sent_at=2.0, now=3.0))
        self.assertTrue(named.apply(None, sent_at=3.1, now=4.0))

    @params(
        # What this machine has heard itself (per_s, at), what others report
        # (per_s, age_s) at 10.0, and the limit after it.
        ([], (5.0, 0.2), 5.0),
        ([(5.0, 8.0)], (None, 0.2), None),
        ([(5.0, 9.7)], (None, 0.2), None),
        ([(5.0, 8.0)], (None, 3.0), 5.0),
        ([(5.0, 8.0)], (4.0, 0.2), 4.0),
        ([(5.0, 8.0)], (4.0, 2.5), 5.0),
        ([(5.0, 9.5)], (4.0, 0.2), 5.0),
        ([(5.0, 7.0), (None, 8.0)], (5.0, 2.5), None),
        ([(5.0, 7.0), (None, 8.0)], (5.0, 0.5), 5.0),
        ([], (None, 0.2), None),
    )
    def test_only_newer_reports_of_others_count(
        self, heard, reported, limit
    ) -> None:
        """Guards against a limit that old reports end or bring back."""
        named = NamedLimit()
        for per_s, at in heard:
            named.apply(per_s, sent_at=at, now=at)
        per_s, age_s = reported
        news = LimitNews(per_s=per_s, age_s=age_s)
        changed = named.apply_news(news, 10.0)
        self.assertEqual(limit, named.per_s)
        before = heard[-1][0] if heard else None
        self.assertEqual(limit != before, changed)

    def test_reports_do_not_keep_a_limit_alive(self) -> None:
        """Guards against machines that confirm an old limit to each other.

        Each report takes a while, which the receiver cannot tell.
        """
        first, second = NamedLimit(), NamedLimit()
        first.apply(5.0, sent_at=0.0, now=0.0)
        for step in range(100):
            now = 2.0 * step
            for sender, receiver in ((first, second), (second, first)):
                news = sender.news(now)
                if news is not None:
                    receiver.apply_news(news, now + 0.2)
        self.assertIsNone(first.in_force(200.0))
        self.assertIsNone(second.in_force(200.0))

    def test_end_outlasts_reports_of_machines_that_have_not_heard(
        self,
    ) -> None:
        """Guards against a limit that comes back by way of others.

        The third machine has it from the second only, as if it were later.
        """
        first, second, third = NamedLimit(), NamedLimit(), NamedLimit()
        first.apply(5.0, sent_at=0.0, now=1.0)
        second.apply_news(first.news(1.0), 1.1)
        third.apply_news(second.news(1.1), 1.2)
        first.apply(None, sent_at=1.1, now=1.15)
        for sender, receiver in (
            (third, first),
            (first, second),
            (third, second),
            (second, third),
        ):
            receiver.apply_news(sender.news(2.0), 2.1)
        limits = [first, second, third]
        self.assertEqual([None] * 3, [limit.per_s for limit in limits])

    def test_end_is_told_while_others_may_remember_the_limit(self) -> None:
        """Guards against machines that were cut off and miss the end."""
        named, other = NamedLimit(), NamedLimit()
        for limit in (named, other):
            limit.apply(5.0, sent_at=0.0, now=1.0)
        named.apply(None, sent_at=2.0, now=2.0)
        at = 1.0 + LIMIT_MEMORY_S
        self.assertEqual(5.0, other.in_force(at))
        self.assertTrue(other.apply_news(named.news(at), at))
        self.assertIsNone(other.in_force(at))


class QuotaTest(unittest.TestCase):
    def _admitted(
        self, bucket: LimitBucket, since_s: float, until_s: float
    ) -> int:
        """Send whenever the bucket allows it; return the number of sends."""
        count = 0
        for tick in range(int(100 * since_s), int(100 * until_s)):
            now = tick / 100
            while bucket.wait_s(now) <= 0:
                bucket.take()
                count += 1
        return count

    @params(0.1, 0.6, 2.0, 7.5)
    def test_rate_is_kept_and_used(self, per_s) -> None:
        """Guards against a share that is exceeded or left unused."""
        bucket = LimitBucket()
        bucket.set_rate(per_s, 0.0)
        count = self._admitted(bucket, 0.0, 40.0)
        self.assertLessEqual(count, 40 * per_s)
        self.assertGreaterEqual(count, 40 * per_s - 1)

    @params(0.6, 2.0, 7.5)
    def test_pause_or_restart_brings_no_further_requests(self, per_s) -> None:
        """Guards against a flood from a process that was away."""
        paused = LimitBucket()
        paused.set_rate(per_s, 0.0)
        burst = self._admitted(paused, 30.0, 30.01)
        self.assertLessEqual(burst, 1 + 0.5 * per_s)
        restarted = LimitBucket()
        restarted.set_rate(per_s, 30.0)
        self.assertEqual(0, self._admitted(restarted, 30.0, 30.01))

    def test_wait_is_when_the_next_may_be_sent(self) -> None:
        """Guards against a Retry-After at which nothing may be sent."""
        bucket = LimitBucket()
        bucket.set_rate(0.5, 10.0)
        wait_s = bucket.wait_s(10.5)
        self.assertAlmostEqual(1.5, wait_s)
        self.assertEqual(0.0, bucket.wait_s(10.5 + wait_s))


class SenderSharesTest(unittest.TestCase):
    @params(1, 3, 8, 30, 100)
    def test_shares_of_all_machines_sum_to_the_limit(self, count) -> None:
        """Guards against shares that together exceed the limit."""
        weights = {f"m{i}": 1.0 + i % 7 for i in range(40)}
        shares = sender_shares("s", weights, count)
        self.assertEqual(min(count, 40), len(shares))
        self.assertAlmostEqual(1.0, sum(shares.values()))

    def test_expected_share_is_the_weight(self) -> None:
        """Guards against machines that are left out over all servers."""
        weights = {f"m{i}": float(1 + i % 4) for i in range(20)}
        total = sum(weights.values())
        sums = dict.fromkeys(weights, 0.0)
        for number in range(4000):
            for name, share in sender_shares(f"s{number}", weights, 6).items():
                sums[name] += share / 4000
        for name, weight in weights.items():
            self.assertAlmostEqual(weight / total, sums[name], delta=0.01)

    @params({}, {"m": 0.0})
    def test_nobody_sends_without_weight(self, weights) -> None:
        """Guards against a division by nothing."""
        self.assertEqual({}, sender_shares("s", weights, 4))
