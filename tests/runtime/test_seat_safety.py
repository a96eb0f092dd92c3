"""Tests that no two process lifetimes use one slot at the same time (P2).

The naive implementations below show that the log of uses detects violations.
"""

import itertools
import unittest

import logbook
from hypothesis import given
from hypothesis import HealthCheck
from hypothesis import Phase
from hypothesis import settings
from hypothesis import strategies as st
from nose2.tools import params

from chiverun.core.tables import Held
from chiverun.runtime import publishing
from chiverun.runtime.control import ControlPlane
from standins.faults import Fault
from standins.faults import FaultRun
from standins.faults import Kind
from standins.planes import Planes

EVEN_LIMIT_S = 60
_SEATS = 6
# The design does not cover an instance cut off from peers and store.
_KINDS = tuple(k for k in Kind if k is not Kind.ISOLATE)
_STORE = {Kind.OUTAGE, Kind.STORE_CUT, Kind.RESTORE}
# No shrinking, which takes minutes after a failure.
_NO_SHRINKING = settings(
    deadline=None,
    derandomize=True,
    phases=(Phase.explicit, Phase.generate),
    suppress_health_check=list(HealthCheck),
)
_KINDS_REACHING_STORE = tuple(k for k in Kind if k not in _STORE)


class EqualSplitPlane(ControlPlane):
    """Naive implementation that splits seats among visible live members."""

    def tick(self) -> None:
        super().tick()
        now = self.clock.monotonic()
        rows = self.members.live_in_zone(self.identity.zone)
        names = sorted({self.identity.instance, *(m.instance for m in rows)})
        rank = names.index(self.identity.instance)
        self.seats.held = {
            seat: Held(epoch=1, short_opens_at=now, long_opens_at=now)
            for seat in range(_SEATS)
            if seat % len(names) == rank
        }
        self.seats.suspended_at = None
        publishing.publish(self, now)


class LeasePlane(EqualSplitPlane):
    """Naive implementation that frees a seat after 2 s without its holder."""

    def tick(self) -> None:
        now = self.clock.monotonic()
        for row in list(self.members.rows.values()):
            if now - row.measured_at > 2.0:
                self.members.remove(row.instance)
        super().tick()


def _faults(kinds: tuple[Kind, ...]) -> st.SearchStrategy:
    fault = st.builds(
        Fault,
        kind=st.sampled_from(kinds),
        target=st.integers(0, 3),
        duration_s=st.sampled_from((1.0, 2.3, 3.0, 6.0, 8.0, 15.0)),
        pause_s=st.sampled_from((0.5, 1.5, 4.0, 9.0)),
    )
    return st.lists(fault, min_size=2, max_size=8)


class SeatSafetyTest(unittest.TestCase):
    def setUp(self) -> None:
        self._logs = logbook.NullHandler()
        self._logs.push_application()

    def tearDown(self) -> None:
        self._logs.pop_application()

    def _check(self, run: FaultRun, faults, settle_s: float = 8.0) -> None:
        run.run(faults, settle_s)
        run.end_faults()
        is_even = run.planes.run_until(run.planes.is_even, EVEN_LIMIT_S)
        self.assertEqual([], run.planes.overlaps()[:1])
        self.assertTrue(is_even, "seats are not held evenly after the faults")

    @params(EqualSplitPlane, LeasePlane)
    def test_naive_version_is_caught(self, plane_type) -> None:
        """Guards against a log of uses that misses a known violation."""
        planes = Planes(seed=1)
        started = [planes.start(n, plane_type=plane_type) for n in range(3)]
        planes.run(8.0)
        started[0].is_dead = True
        planes.run(15.0)
        self.assertNotEqual([], planes.overlaps())

    @params(*itertools.combinations_with_replacement(_KINDS, 2))
    def test_two_faults_at_once(self, first, second) -> None:
        """Guards against violations that need two faults at once."""
        for target, seed in ((0, 7), (1, 8)):
            faults = [
                Fault(kind=first, target=0, pause_s=0.5),
                Fault(kind=second, target=target, pause_s=4.0),
            ]
            self._check(FaultRun(seed=seed), faults)

    @settings(_NO_SHRINKING, max_examples=60)
    @given(st.integers(0, 1000), _faults(_KINDS))
    def test_random_faults(self, seed, faults) -> None:
        """Guards against violations that need a sequence of faults."""
        self._check(FaultRun(seed=seed), faults)

    @settings(_NO_SHRINKING, max_examples=30)
    @given(st.integers(0, 1000), _faults(_KINDS_REACHING_STORE))
    def test_holder_that_reaches_only_the_store(self, seed, faults) -> None:
        """Guards against claims by peers that a live holder cannot reach."""
        isolate = Fault(kind=Kind.ISOLATE, duration_s=15.0, pause_s=9.0)
        self._check(FaultRun(seed=seed), [isolate, *faults])
