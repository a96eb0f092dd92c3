"""Tests of the shares of processing time."""

import unittest

from nose2.tools import params

from chiverun.core.timeshare import DEBT_LIMIT_S
from chiverun.core.timeshare import DEBT_MAX_S
from chiverun.core.timeshare import OWN_SHARE
from chiverun.core.timeshare import Pace
from chiverun.core.timeshare import TimeDebt
from chiverun.core.timeshare import TURN_S
from chiverun.core.timeshare import WAITING_SHARE

_DURATION_S = 10.0


def _use(step_s: float, period_s: float, *, messages: bool) -> float:
    """Return the part of the time that a peer gets without waiting."""
    debt = TimeDebt()
    used_s = 0.0
    for number in range(round(_DURATION_S / period_s)):
        now = number * period_s
        if debt.must_wait(now):
            continue
        debt.charge(step_s, now)
        used_s += step_s
        if messages:
            debt.complete_message()
    return used_s / _DURATION_S


class AccountTest(unittest.TestCase):
    @params(
        # A turn each time, less than a turn each time, and much at once.
        (TURN_S, 0.001),
        (0.0001, 0.0005),
        (0.4, 0.5),
    )
    def test_bytes_without_messages_get_their_own_share(
        self, step_s, period_s
    ) -> None:
        """Guards against a peer that paces its bytes below every limit."""
        share = OWN_SHARE
        if step_s > DEBT_LIMIT_S:
            # It waits until the largest debt is forgiven, no longer.
            share *= step_s / (DEBT_LIMIT_S - DEBT_MAX_S)
        most = share + (DEBT_MAX_S + step_s) / _DURATION_S
        self.assertLessEqual(_use(step_s, period_s, messages=False), most)

    def test_messages_never_wait(self) -> None:
        """Guards against sound traffic that pays for the limit.

        One connection with a request each millisecond, two thirds of it spent
        on its bytes.
        """
        share = _use(0.00066, 0.001, messages=True)
        self.assertAlmostEqual(0.66, share, places=2)

    def test_costly_messages_wait(self) -> None:
        """Guards against a limit that any final byte lifts."""
        share = _use(0.010, 0.010, messages=True)
        self.assertLess(share, 0.15)

    def test_paused_process_blames_no_peer_for_long(self) -> None:
        """Guards against a peer that waits for its turn after a pause."""
        debt = TimeDebt()
        debt.charge(60.0, 60.0)
        self.assertTrue(debt.must_wait(60.0))
        self.assertFalse(debt.must_wait(62.0))


class PaceTest(unittest.TestCase):
    @params((TURN_S,), (0.0001,), (0.005,))
    def test_waiting_peers_get_their_share_together(self, turn_s) -> None:
        """Guards against many costly peers that take all the time."""
        pace = Pace()
        now = used_s = 0.0
        while now < _DURATION_S:
            now = max(now, pace.next_at) + turn_s
            used_s += turn_s
            pace.note(turn_s, now)
        self.assertLess(used_s / now, WAITING_SHARE + 0.001)
        self.assertGreater(used_s / now, 0.9 * WAITING_SHARE)

    def test_first_turn_after_a_while_is_not_delayed(self) -> None:
        """Guards against a peer that waits although no other does."""
        pace = Pace()
        pace.note(TURN_S, 5.0)
        pace.note(TURN_S / 2, 9.0)
        self.assertLessEqual(pace.next_at, 9.0)
