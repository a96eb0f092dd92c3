"""Tests of byte rates, and of links during a transfer of seats (P2)."""

import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from nose2.tools import params

from chiverun.core.clock import ManualClock
from chiverun.core.limits import ByteRate
from chiverun.core.limits import WindowLimiter
from chiverun.core.links import Links
from chiverun.core.links import message_bytes
from chiverun.core.links import ResponseSizes
from tests.core import cap_states

_RATE = 1000


class _FixedSendTimes:
    """Byte rate that fixes the send time when a message is booked."""

    def __init__(self, *, bytes_per_s: float) -> None:
        self.bytes_per_s = bytes_per_s
        self._free_at = 0.0

    def set_rate(self, now: float, bytes_per_s: float) -> None:
        self.bytes_per_s = bytes_per_s

    def try_admit(self, now: float, bytes_max: int, limit_s: float) -> bool:
        return True

    def book(self, now: float, bytes_max: int, actual_bytes: int) -> float:
        start = max(now, self._free_at)
        self._free_at = start + actual_bytes / max(1, self.bytes_per_s)
        return self._free_at

    def try_send(self, now: float, booking: float) -> float:
        return max(0.0, booking - now)


def most_in_a_second(sent: list[tuple[float, int]]) -> int:
    """Return the maximum number of bytes in any window of one second."""
    return max(
        (
            sum(size for at, size in sent if start <= at < start + 1.0)
            for start, _ in sent
        ),
        default=0,
    )


def _run_messages(rates, sizes, changes, steps: int = 400) -> list:
    """Offer messages to rates; return the (time, size) of each sent one."""
    waiting = []
    sent = []
    for step in range(steps):
        now = step * 0.02
        for rate, value in changes.get(step, ()):
            rates[rate].set_rate(now, value)
        for index, size in sizes.get(step, ()):
            rate = rates[index]
            if rate.try_admit(now, size, 10.0):
                waiting.append((rate, rate.book(now, size, size), size))
        for item in list(waiting):
            rate, booking, size = item
            if rate.try_send(now, booking) <= 0:
                waiting.remove(item)
                sent.append((now, size))
    return sent


_SIZES = st.dictionaries(
    st.integers(0, 200),
    st.lists(st.tuples(st.integers(0, 1), st.integers(1, 500)), max_size=4),
    max_size=40,
)


def _transfer_at(step: int) -> dict:
    """Return rate changes that transfer half of the rate at `step`.

    The new holder's half opens 63 steps later.
    """
    opens = step + 63
    return {
        0: [(0, _RATE), (1, 0)],
        step: [(0, _RATE // 2)],
        opens: [(1, _RATE // 2)],
    }


class ByteRateTest(unittest.TestCase):
    @settings(max_examples=60, derandomize=True, deadline=None)
    @given(_SIZES, st.integers(1, 150))
    def test_no_second_exceeds_the_rate_when_seats_move(self, sizes, step):
        """Guards against booked bytes that keep the rate before a transfer."""
        rates = [ByteRate(bytes_per_s=0) for _ in range(2)]
        sent = _run_messages(rates, sizes, _transfer_at(step))
        self.assertLessEqual(most_in_a_second(sent), _RATE)

    @params(ByteRate, _FixedSendTimes)
    def test_message_before_the_window_counts(self, kind):
        """Guards against send times spaced by message size alone.

        They admit one message too many in the first second.
        """
        sizes = {0: [(0, 500)] + [(0, 100)] * 20}
        sent = _run_messages([kind(bytes_per_s=_RATE)], sizes, {})
        exceeds = most_in_a_second(sent) > _RATE
        self.assertEqual(kind is _FixedSendTimes, exceeds)

    @params(ByteRate, _FixedSendTimes)
    def test_backlog_of_an_earlier_holder(self, kind):
        """Guards against send times fixed at the rate before a transfer.

        They overlap with those of the new holder.
        """
        rates = [kind(bytes_per_s=0) for _ in range(2)]
        sizes = {1: [(0, 250)] * 24, 80: [(1, 250)] * 8}
        sent = _run_messages(rates, sizes, _transfer_at(5))
        exceeds = most_in_a_second(sent) > _RATE
        self.assertEqual(kind is _FixedSendTimes, exceeds)

    def test_idle_rate_admits_any_size(self):
        """Guards against rejecting a class of large responses for ever."""
        rate = ByteRate(bytes_per_s=_RATE)
        self.assertTrue(rate.try_admit(0.0, 100 * _RATE, 2.0))
        self.assertFalse(rate.try_admit(0.0, 10, 2.0))
        rate.book(0.0, 100 * _RATE, 10)
        self.assertTrue(rate.try_admit(0.0, _RATE, 2.0))

    @settings(max_examples=100, derandomize=True, deadline=None)
    @given(st.lists(st.floats(0.0, 0.5), max_size=60), st.integers(0, 5))
    def test_window_limiter_matches_a_plain_count(self, gaps, cap):
        """Compares the limiter with a full list of admissions."""
        limiter = WindowLimiter(cap=cap, window_s=1.0)
        admission_times: list[float] = []
        now = 0.0
        for gap in gaps:
            now += gap
            expected = sum(1 for t in admission_times if t > now - 1.0) < cap
            self.assertEqual(expected, limiter.try_consume(now))
            if expected:
                admission_times.append(now)


class LinksTest(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.links = Links(
            zone="a1", clock=self.clock, sleep=self.clock.advance
        )
        # Of 8 Mbit/s, 950 kB/s are for requests, a sixth for each of 6 seats.
        self.state = cap_states.make_state()

    def _update(self, seats, **changes) -> None:
        now = self.clock.monotonic()
        self.links.update(
            cap_states.snapshot(self.state, now, seats, **changes)
        )

    def test_seat_counts_once_it_is_open(self):
        """Guards against sends while the earlier holder may still send."""
        opens = {s: 1001.25 for s in range(3, 6)}
        self._update(range(6), opens=opens)
        reserved = self.links.reserve("b", 1, 1.0)
        self.assertAlmostEqual(475_000, reserved.rate.bytes_per_s, delta=3)
        self.clock.advance(1.3)
        self._update(range(6), opens=opens)
        self.assertAlmostEqual(950_000, reserved.rate.bytes_per_s, delta=3)

    def test_nothing_is_admitted_after_a_pause(self):
        """Guards against the use of seats claimed during a pause."""
        self._update(range(6))
        self.clock.advance(2.5)
        self.assertIsNone(self.links.reserve("b", 1, 1.0))
        self._update(range(6), confirmed=False)
        self.assertIsNone(self.links.reserve("b", 1, 1.0))

    def test_message_too_late_is_not_sent(self):
        """Guards against responses sent after their deadline."""
        self._update(range(6))
        first = self.links.reserve("b", 10, 10.0)
        self.assertFalse(self.links.pace(first, 3_000_000, 1001.0))
        self.assertLessEqual(self.clock.monotonic(), 1001.01)

    def test_large_class_leaves_room_for_others(self):
        """Guards against an idle link: 1 MB reserved for responses of 2 KB."""
        self._update(range(6))
        admitted = 0
        for _ in range(60):
            held = self.links.reserve_response("b", "s/long", 10**6, 2.0)
            if held is None:
                break
            admitted += 1
            self.links.record_response("s/long", 2048)
        self.assertEqual(60, admitted)
        self.assertIsNotNone(self.links.reserve("b", 65536, 2.0))

    def test_headers_count(self):
        """Guards against a fixed allowance for headers of any size."""
        small = message_bytes((), b"")
        large = message_bytes([("x-a", "v" * 5000)], b"")
        self.assertEqual(5000 + 7, large - small)

    def test_expected_size_fades(self):
        """Guards against one large response that blocks its class."""
        sizes = ResponseSizes()
        self.assertIsNone(sizes.expected("c", 0.0))
        sizes.record("c", 800, 0.0)
        sizes.record("c", 100, 0.0)
        self.assertEqual(1200, sizes.expected("c", 0.0))
        self.assertEqual(600, sizes.expected("c", 60.0))

    def test_response_above_a_second_is_rejected_before_it_runs(self):
        """Guards against running a request whose response cannot be sent.

        Sent in one piece, the response would exceed the rate.
        """
        self._update(range(6))
        self.links.record_response("s/huge", 2_000_000)
        held = self.links.reserve_response("b", "s/huge", 10**7, 9.0)
        self.assertIsNone(held)
        first = self.links.reserve("b", 10, 9.0)
        self.assertFalse(self.links.pace(first, 2_000_000, 1009.0))
