"""Tests of a shift's cap over all instances of the target region (P1)."""

import random
import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from nose2.tools import params

from chiverun.core.clock import ManualClock
from chiverun.core.errors import ChiverunError
from chiverun.core.exchange import Answered
from chiverun.core.limits import WindowLimiter
from chiverun.core.seats import held_after_transfer
from chiverun.core.shift import SHIFT_WINDOW_S
from standins.audit import count_over_cap
from tests.core import cap_states

_OK = Answered(status=200, headers=(), body=b"")
_STEP_S = 0.05


class _TokenBucket:
    """A token bucket whose burst is one second of its rate."""

    def __init__(self, *, cap: int, window_s: float) -> None:
        self.cap = cap
        self._tokens = float(cap)
        self._at = 0.0

    def try_consume(self, now: float) -> bool:
        grown = self._tokens + (now - self._at) * self.cap
        self._tokens, self._at = min(float(self.cap), grown), now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class _Region:
    """Four instances of zone b1 that hold and transfer its seats."""

    def __init__(self, cap: int, *, opens_at_once: bool = False) -> None:
        self.clock = ManualClock()
        self.cap = cap
        self.state = cap_states.make_state([cap_states.shift(cap_per_s=cap)])
        self.seats = {s: s % 4 for s in range(cap_states.SEATS)}
        self.opens = dict.fromkeys(self.seats, 0.0)
        self.arrivals: list[float] = []
        self._opens_at_once = opens_at_once
        self.instances = [
            cap_states.admission("b1", self.clock) for _ in range(4)
        ]

    def publish(self) -> None:
        now = self.clock.monotonic()
        for index, instance in enumerate(self.instances):
            held = [s for s, holder in self.seats.items() if holder == index]
            instance.update(
                cap_states.snapshot(self.state, now, held, opens=self.opens)
            )

    def transfer(self, seat: int, receiver: int) -> None:
        now = self.clock.monotonic()
        self.seats[seat] = receiver
        held = held_after_transfer(1, now, now, now)
        self.opens[seat] = now if self._opens_at_once else held.short_opens_at

    def restart(self, index: int) -> None:
        """Replace an instance's process, which loses its window."""
        self.instances[index] = cap_states.admission("b1", self.clock)
        for seat, holder in self.seats.items():
            if holder == index:
                self.transfer(seat, index)

    def rename(self, cap: int) -> None:
        """Replace the shift by one of another name and cap."""
        renamed = cap_states.shift(name=f"relief-{cap}", cap_per_s=cap)
        self.state = cap_states.make_state([renamed])

    def offer(self, index: int, count: int) -> None:
        for _ in range(count):
            work = cap_states.work(self.clock)
            try:
                grant = self.instances[index].try_acquire(work)
            except ChiverunError:
                return
            if self.instances[index].confirm(grant):
                self.arrivals.append(self.clock.monotonic())
            self.instances[index].release(grant, _OK)

    def run(self, steps) -> int:
        """Run steps and return the number of arrivals over the cap."""
        self.publish()
        for kind, first, second in steps:
            match kind:
                case "offer":
                    self.offer(first % 4, second)
                case "hand":
                    self.transfer(first % cap_states.SEATS, second % 4)
                case "restart":
                    self.restart(first % 4)
                case "wait":
                    self.clock.advance(_STEP_S * second)
            self.publish()
        return count_over_cap(self.arrivals, self.cap)


_STEPS = st.lists(
    st.tuples(
        st.sampled_from(["offer", "offer", "hand", "restart", "wait"]),
        st.integers(0, 23),
        st.integers(0, 9),
    ),
    max_size=60,
)
_HANDED = [
    ("offer", 0, 9),
    ("hand", 0, 1),
    ("hand", 4, 1),
    *(("offer", index, 9) for index in (1, 2, 3)),
]


class ShiftCapTest(unittest.TestCase):
    @settings(max_examples=150, derandomize=True, deadline=None)
    @given(st.integers(1, 30), _STEPS)
    def test_no_second_exceeds_the_cap(self, cap, steps):
        """Guards against transfers and restarts that use a portion twice."""
        self.assertEqual(0, _Region(cap).run(steps))

    def test_seat_that_opens_at_once_would_exceed_it(self):
        """Guards against a seat that opens within its last holder's window."""
        self.assertGreater(_Region(6, opens_at_once=True).run(_HANDED), 0)
        self.assertEqual(0, _Region(6).run(_HANDED))

    @params((WindowLimiter, 0), (_TokenBucket, 9))
    def test_burst_on_top_of_the_rate(self, limiter, over):
        """Guards against a token bucket.

        It admits its burst on top of its rate in one second.
        """
        one = limiter(cap=10, window_s=SHIFT_WINDOW_S)
        times = [i * 0.01 for i in range(300) if one.try_consume(i * 0.01)]
        self.assertEqual(over > 0, count_over_cap(times, 10) >= max(1, over))

    def test_renamed_shift_keeps_its_window(self):
        """Guards against a second window for a shift of another name."""
        region = _Region(6)
        region.publish()
        for index in range(4):
            region.offer(index, 9)
        region.rename(6)
        region.publish()
        for index in range(4):
            region.offer(index, 9)
        self.assertEqual(6, len(region.arrivals))

    @params(("a", None, 8), ("b", "a", 8), ("c", "a", 8), ("c", "c", 20))
    def test_requests_are_counted_by_region_of_the_caller(
        self, source, origin, most
    ):
        """Guards against uncounted callers of the source region.

        A look-up may have directed them to an instance elsewhere.
        """
        clock = ManualClock()
        state = cap_states.make_state([cap_states.shift(cap_per_s=8)])
        one = cap_states.admission("b1", clock)
        one.update(cap_states.snapshot(state, 1000.0, range(6)))
        admitted = 0
        for _ in range(20):
            try:
                one.try_acquire(cap_states.work(clock, source, origin))
                admitted += 1
            except ChiverunError:
                continue
        self.assertEqual(most, admitted)

    def test_grant_older_than_the_margin_is_not_sent(self):
        """Guards against arrivals in a later second after a pause."""
        clock = ManualClock()
        one = cap_states.admission("b1", clock)
        state = cap_states.make_state([cap_states.shift()])
        one.update(cap_states.snapshot(state, 1000.0, range(6)))
        moved = one.try_acquire(cap_states.work(clock))
        own = one.try_acquire(cap_states.work(clock, "b"))
        clock.advance(0.3)
        self.assertFalse(one.confirm(moved))
        self.assertTrue(one.confirm(own))


class UncappedTest(unittest.TestCase):
    def test_random_draws_exceed_the_cap(self):
        """Shows that random draws by fraction, without a cap, exceed it."""
        rng = random.Random(1)
        times = [i * 0.01 for i in range(500) if rng.random() < 0.5]
        self.assertGreater(count_over_cap(times, 20), 0)
