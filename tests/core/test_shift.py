"""Tests of the growth of shifts and the targets of moved requests."""

import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from nose2.tools import params

from chiverun.core.portions import held_portion
from chiverun.core.routing import shift_targets
from chiverun.core.shift import cap_name
from chiverun.core.shift import grow
from chiverun.core.shift import Measurement
from chiverun.core.shift import record_refusal
from chiverun.core.shift import select_targets
from chiverun.core.shift import ShiftProgress
from chiverun.core.shift import should_move
from chiverun.core.shift import with_shift
from tests.core import cap_states

_FRESH = Measurement(free_slots=3, age_s=0.5)
_ZONES = ("a1", "b1", "b2")


def _views(now: float, age_s: float = 0.0) -> list:
    """Return views of four instances of region b with three seats each."""
    halves = (range(0, 6, 2), range(1, 6, 2))
    return [
        cap_states.view(
            zone,
            "b",
            {
                f"{zone}-{i}": (half, now - age_s)
                for i, half in enumerate(halves)
            },
        )
        for zone in ("b1", "b2")
    ]


def _targets(shift, age_s: float = 0.0) -> list:
    state = cap_states.make_state([shift], zones=_ZONES)
    snapshot = cap_states.snapshot(state, 100.0, zones=_views(100.0, age_s))
    return shift_targets(snapshot, "a1-0", shift, 100.0)


class GrowthTest(unittest.TestCase):
    @params(
        (_FRESH, 2.0, 0.2),
        (None, 2.0, 0.1),
        (Measurement(free_slots=3, age_s=3.1), 2.0, 0.1),
        (Measurement(free_slots=0, age_s=0.1), 2.0, 0.1),
        (_FRESH, 0.9, 0.1),
    )
    def test_grows_on_fresh_room_after_the_warm_time(
        self, measurement, wait_s, expected
    ):
        """Guards against growth without recently measured free slots."""
        progress = ShiftProgress(shift=cap_states.shift())
        grow(progress, _FRESH, 100.0)
        self.assertEqual(0.1, progress.fraction)
        grow(progress, measurement, 100.0 + wait_s)
        self.assertAlmostEqual(expected, progress.fraction)

    def test_first_request_after_a_gap_grows_one_step(self):
        """Guards against several steps at once, while caches are cold."""
        progress = ShiftProgress(shift=cap_states.shift())
        grow(progress, _FRESH, 0.0)
        grow(progress, _FRESH, 1000.0)
        self.assertAlmostEqual(0.2, progress.fraction)

    def test_whole_region_is_moved_at_fraction_one(self):
        """Guards against requests that stay in a drained region."""
        progress = ShiftProgress(shift=cap_states.shift(fraction=1.0))
        for step in range(10):
            grow(progress, _FRESH, step * 1.0)
        self.assertTrue(all(should_move(progress) for _ in range(1000)))

    @params((0.5, 0.4), (0.2, 0.2))
    def test_changed_shift_keeps_its_fraction(self, goal, expected):
        """Guards against traffic that moves back on a change of the cap."""
        progress = ShiftProgress(shift=cap_states.shift(), fraction=0.4)
        changed = with_shift(progress, cap_states.shift(fraction=goal))
        self.assertEqual(expected, changed.fraction)

    @settings(max_examples=100, derandomize=True, deadline=None)
    @given(st.floats(0.01, 1.0), st.integers(1, 500))
    def test_diffusion_stays_within_one_of_the_fraction(self, fraction, n):
        """Guards against the deviation of random draws."""
        progress = ShiftProgress(shift=cap_states.shift(), fraction=fraction)
        moved = sum(should_move(progress) for _ in range(n))
        self.assertLessEqual(abs(moved - fraction * n), 1.0 + 1e-6)


class TargetTest(unittest.TestCase):
    @settings(max_examples=100, derandomize=True, deadline=None)
    @given(st.integers(1, 40))
    def test_portions_add_up_and_none_is_zero(self, cap):
        """Guards against offers to instances without a portion of the cap.

        With a cap of 1 only one of four instances has a portion.
        """
        targets = _targets(cap_states.shift(cap_per_s=cap))
        self.assertEqual(cap, sum(t.portion for t in targets))
        self.assertTrue(all(t.portion for t in targets))

    def test_cap_of_one_reaches_its_only_holder(self):
        """Guards against targets ordered by free slots alone.

        The only holder of a unit could then be tried last or never.
        """
        shift = cap_states.shift(cap_per_s=1)
        progress = ShiftProgress(shift=shift, fraction=1.0)
        state = cap_states.make_state([shift], zones=_ZONES)
        first = select_targets(progress, _targets(shift), 0.0)[0]
        portion = held_portion(
            state, cap_name(shift), 1, first.zone, first.addresses.seats
        )
        self.assertEqual(1, portion)

    def test_offers_follow_the_portions(self):
        """Guards against unused portions of instances that are less idle."""
        shift = cap_states.shift(cap_per_s=18)
        progress = ShiftProgress(shift=shift)
        targets = _targets(shift)
        firsts = [select_targets(progress, targets, 0.0)[0] for _ in range(90)]
        for target in targets:
            offered = firsts.count(target)
            self.assertAlmostEqual(90 * target.portion / 18, offered, delta=1)

    def test_rejecting_instance_is_skipped_for_a_while(self):
        """Guards against offers that cost a round trip and are rejected."""
        shift = cap_states.shift(cap_per_s=12)
        progress = ShiftProgress(shift=shift)
        targets = _targets(shift)
        for target in targets:
            record_refusal(progress, target, 10.0)
        self.assertEqual([], select_targets(progress, targets, 10.1))
        later = select_targets(progress, targets, 10.0 + 1.25)
        self.assertEqual(2, len(later))

    @params((0.0, 4), (6.0, 0))
    def test_instances_without_recent_advert_are_skipped(self, age_s, count):
        """Guards against connect timeouts to unreachable instances."""
        shift = cap_states.shift(cap_per_s=12)
        self.assertEqual(count, len(_targets(shift, age_s)))
