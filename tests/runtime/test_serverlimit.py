"""Tests that all machines together keep the limits that servers name."""

import unittest
import unittest.mock

from nose2.tools import params

from chiverun.runtime.limitexchange import REPEAT_PERIOD_S
from chiverun.runtime.limitshares import LimitShares
from tests.runtime.limitedfleet import LimitedFleet
from tests.runtime.limitedfleet import MESSAGE_S
from tests.runtime.limitedfleet import Size

# What the platform allows a server with a limit: 1.5 times the limit and 5
# requests in any 4 s, from 4 s after it was named first.
WINDOW_S = 4.0
EXCESS = 1.5
SLACK = 5
SETTLED_S = 4.0
_END_S = 16.0
# A response without the limit and a message of its end have come by then.
_END_KNOWN_S = 4.0

SMALL = Size(machines=8, servers=12, requests_per_s=144.0, limit_per_s=6.0)
# Each limited server takes less than one request a second from all machines.
SCARCE = Size(machines=10, servers=14, requests_per_s=120.0, limit_per_s=0.6)
UNEVEN = Size(machines=9, servers=31, requests_per_s=250.0, limit_per_s=4.0)
LARGE = Size(machines=78, servers=47, requests_per_s=500.0, limit_per_s=5.0)
LARGEST = Size(
    zones_per_region=3,
    machines=195,
    servers=90,
    requests_per_s=400.0,
    limit_per_s=2.3,
)
ALL_LIMITED = Size(
    machines=8,
    servers=12,
    requests_per_s=144.0,
    limit_per_s=6.0,
    limited=1.0,
)


class ServerLimitTest(unittest.TestCase):
    def _assert_kept(self, fleet: LimitedFleet) -> None:
        size = fleet.size
        allowed = EXCESS * size.limit_per_s * WINDOW_S + SLACK
        for name in sorted(fleet.limited):
            most = fleet.most_in_window(name, WINDOW_S, SETTLED_S)
            self.assertLessEqual(most, allowed, name)

    @params(SMALL, SCARCE, UNEVEN, LARGE, LARGEST, ALL_LIMITED)
    def test_named_limit_is_kept_by_all_machines_together(self, size) -> None:
        """Guards against a server that gets far more than it said it takes."""
        fleet = LimitedFleet(size, seed=1)
        fleet.run(_END_S)
        self._assert_kept(fleet)

    @params(SMALL, SCARCE, UNEVEN, LARGE, LARGEST, ALL_LIMITED)
    def test_limit_is_kept_by_machines_that_hear_no_other(self, size) -> None:
        """Guards against a sum that rests on what machines tell each other."""
        fleet = LimitedFleet(size, seed=1, hear_each_other=False)
        fleet.run(_END_S)
        self._assert_kept(fleet)

    @params(SMALL, SCARCE, LARGE)
    def test_end_of_a_limit_reaches_machines_without_a_share(
        self, size
    ) -> None:
        """Guards against machines that avoid a server long after its need."""
        fleet = LimitedFleet(size, seed=6)
        fleet.limit_until = 8.0
        fleet.run(8.0)
        self.assertTrue(fleet.keeping())
        fleet.run(8.0 + _END_KNOWN_S)
        self.assertEqual(set(), fleet.keeping())

    @params(SMALL, LARGE)
    def test_restarted_machine_hears_of_limits(self, size) -> None:
        """Guards against a machine that comes back and knows no limit."""
        fleet = LimitedFleet(size, seed=7)
        fleet.run(8.0)
        machine = fleet.machines[0]
        machine.start()
        fleet.run(8.0 + REPEAT_PERIOD_S + 2 * MESSAGE_S)
        known = {server for name, server in fleet.keeping() if name == "m0"}
        self.assertEqual(fleet.limited, known)

    @params(SMALL, SCARCE, LARGE)
    def test_retries_count_towards_the_limit(self, size) -> None:
        """Guards against retries and hedges that are sent beside the limit."""
        fleet = LimitedFleet(size, seed=2, fails=True)
        fleet.run(_END_S)
        self._assert_kept(fleet)

    @params(SMALL, UNEVEN, LARGE)
    def test_limit_is_used(self, size) -> None:
        """Guards against shares that most machines leave unused."""
        fleet = LimitedFleet(size, seed=3)
        fleet.run(_END_S)
        used = sum(
            min(size.limit_per_s, fleet.rate(name, SETTLED_S, _END_S))
            for name in fleet.limited
        )
        self.assertGreater(used, 0.7 * size.limit_per_s * len(fleet.limited))

    @params(SMALL, LARGE)
    def test_restarts_and_pauses_keep_the_limit(self, size) -> None:
        """Guards against machines that come back with a full allowance."""
        fleet = LimitedFleet(size, seed=4)
        for number, machine in enumerate(fleet.machines[::3]):
            at = 5.0 + 0.5 * (number % 8)
            fleet.at(at, machine.start)
        for machine in fleet.machines[1::3]:
            fleet.at(
                6.0, lambda machine=machine: machine.pause(fleet.now + 3.0)
            )
        fleet.run(_END_S)
        self._assert_kept(fleet)

    @params(SMALL, LARGE)
    def test_machines_that_join_or_are_lost_keep_the_limit(self, size) -> None:
        """Guards against a sum that grows while the others do not know."""
        fleet = LimitedFleet(size, seed=5)
        fleet.at(6.0, lambda: fleet.join("new-1", "r0", "z0-0"))
        fleet.at(6.0, lambda: fleet.join("new-2", "r1", "z1-1"))
        fleet.at(7.5, fleet.spread_machines)
        fleet.at(8.0, lambda: fleet.machines.pop(0))
        fleet.run(_END_S)
        self._assert_kept(fleet)

    @params(SMALL, LARGE)
    def test_limit_that_each_machine_keeps_alone_is_exceeded(
        self, size
    ) -> None:
        """Shows that a limit over all machines needs shares of it."""
        with unittest.mock.patch.object(
            LimitShares, "_compute_share", lambda *_: 1.0
        ):
            fleet = LimitedFleet(size, seed=1)
            fleet.run(_END_S)
        allowed = EXCESS * size.limit_per_s * WINDOW_S + SLACK
        most = max(
            fleet.most_in_window(name, WINDOW_S, SETTLED_S)
            for name in fleet.limited
        )
        self.assertGreater(most, allowed)
