"""Differential tests of the wait queues and the overdue table."""

import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from chiverun.core.errors import ChiverunError
from chiverun.core.errors import ResultCode
from chiverun.core.overdue import OverdueTable
from chiverun.core.overdue import SUSPECT_MIN
from chiverun.core.waiting import Waiter
from chiverun.core.waiting import WaitQueues

_REJECTED = ChiverunError(ResultCode.SHIFT_CAP, "rejected")
_LATE = ChiverunError(ResultCode.DEADLINE_UNREACHABLE, "late")


class WaitQueuesTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from("ab"),
                st.sampled_from(["", "", "", "excluded", "rejected", "late"]),
            ),
            max_size=30,
        ),
        st.integers(0, 8),
    )
    def test_against_a_naive_queue(self, arrivals, slots):
        """Guards against blocked queues, lost waiters and unfair turns.

        The naive queue serves waiters in order of arrival and stops at the
        first one that it cannot serve.
        """
        queues = WaitQueues()
        waiters = []
        for name, kind in arrivals:
            waiter = Waiter(
                key=("desk", name),
                work=kind,
                excluded=frozenset({"s1"} if kind == "excluded" else ()),
                latest_start=0.0 if kind == "late" else 9.0,
                notify=lambda: None,
            )
            waiters.append(waiter)
            queues.add(waiter)
        left = [slots]

        def grant(waiter):
            if waiter.work == "rejected":
                raise _REJECTED
            if waiter.work == "excluded" or not left[0]:
                return None
            left[0] -= 1
            return "slot"

        queues.serve(1.0, lambda _: left[0] > 0, grant, lambda _: _LATE)
        able = [w for w in waiters if w.work == ""]
        granted = [w for w in waiters if w.grant]
        naive = 0
        while naive < min(slots, len(waiters)) and not waiters[naive].work:
            naive += 1
        self.assertGreaterEqual(len(granted), naive)
        self.assertEqual(min(slots, len(able)), len(granted))
        for name in "ab":
            waiters_of_class = [w for w in able if w.key[1] == name]
            granted_here = [w for w in waiters_of_class if w.grant]
            self.assertEqual(
                waiters_of_class[: len(granted_here)], granted_here
            )
        counts = [sum(w.key[1] == name for w in granted) for name in "ab"]
        if abs(counts[0] - counts[1]) > 1:
            short = "ab"[counts[0] > counts[1]]
            waiting = [w for w in able if w.key[1] == short and not w.grant]
            self.assertEqual([], waiting)
        queued = sum(queues.length(("desk", name)) for name in "ab")
        ended = sum(
            w.grant is not None or w.error is not None for w in waiters
        )
        self.assertEqual(len(waiters), queued + ended)


class OverdueTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(
        st.lists(
            st.one_of(
                st.tuples(st.just("watch"), st.floats(0.0, 2.0)),
                st.tuples(st.just("end"), st.integers(0, 20)),
                st.tuples(st.just("wait"), st.floats(0.1, 1.0)),
            ),
            max_size=200,
        )
    )
    def test_against_a_plain_count(self, steps):
        """Guards against overdue counts that drift or never fall."""
        table = OverdueTable()
        live: dict[int, float] = {}
        now, counted = 0.0, 0
        for number, (step, value) in enumerate(steps):
            if step == "watch":
                live[number] = now + value
                table.watch(number, ("desk", "a"), "s1", now + value)
            elif step == "end" and live:
                ended = sorted(live)[value % len(live)]
                del live[ended]
                counted -= table.end(ended) is not None
            elif step == "wait":
                now += value
            counted += len(table.advance(now))
            expected = sum(due <= now for due in live.values())
            self.assertEqual(expected, counted)
            if expected >= SUSPECT_MIN:
                self.assertTrue(table.is_suspect(("desk", "a"), 10, now))

    def test_ended_requests_are_forgotten(self):
        """Guards against memory that grows with the number of requests."""
        table = OverdueTable()
        for number in range(1000):
            table.watch(number, ("desk", "a"), "s1", 9.0)
            table.end(number)
        self.assertLess(len(table._due_times), 100)
