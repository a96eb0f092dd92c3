"""Tests of the limits of client accounts over a simulated fleet."""

import random
import unittest

from nose2.tools import params

from chiverun.core.catalog import ClientAccount
from chiverun.core.catalog import Machine
from chiverun.core.edgesettings import EdgeBounds
from tests.core.quotafleet import allowed
from tests.core.quotafleet import BOUNDS
from tests.core.quotafleet import KNOWN_S
from tests.core.quotafleet import make_account
from tests.core.quotafleet import most_in_window
from tests.core.quotafleet import QuotaFleet

_W = BOUNDS.quota_window_s
_STARTED_S = 5.0
_SMALL = make_account("small", 2.0)
_ZONE = make_account("zone", 350.0, 50.0)
_HOT = make_account("hot", 20.0, 40.0)
_BURSTY = make_account("bursty", 5.0, 60.0)
_ALL = (_SMALL, _ZONE, _HOT, _BURSTY)
_END_S = 40.0
_SCARCE = EdgeBounds(quota_excess=0.1, quota_extra=2.0)
_NARROW = EdgeBounds(quota_excess=0.02, quota_extra=20.0)


class _Trouble:
    """Random failures of a fleet and its network."""

    def __init__(self, fleet: QuotaFleet, seed: int) -> None:
        self._fleet = fleet
        self._rng = random.Random(seed)
        self._most = len(fleet.instances) + 4
        at = 3.0
        while at < _END_S:
            fleet.at(at, self._fail)
            at += self._rng.expovariate(0.6)

    def _fail(self) -> None:
        rng, fleet = self._rng, self._fleet
        names = list(fleet.instances)
        first = fleet.coordinators().most_common(1)
        name = rng.choice([rng.choice(names), *(n for n, _ in first)])
        instance = fleet.instances[name]
        match rng.randrange(9):
            case 0:
                sides = {n: rng.random() < 0.5 for n in names}
                fleet.cut(lambda m: sides.get(m.name))
            case 1:
                fleet.cut(lambda m: m.region)
            case 2:
                alone = set(rng.sample(names, 6))
                fleet.cut(lambda m: m.name if m.name in alone else None)
            case 3:
                zone = f"z{rng.randrange(6)}"
                fleet.blocks = lambda a, b: a.zone == zone != b.zone
            case 4:
                fleet.heal()
            case 5:
                instance.stop()
                fleet.at(fleet.now + rng.uniform(0.1, 6), instance.start)
            case 6:
                instance.stop()
                instance.start()
            case 7 if instance.is_up:
                instance.pause(rng.uniform(0.2, 5))
            case 8 if len(names) < self._most:
                fleet.join()


def _overload(fleet: QuotaFleet, rng: random.Random) -> None:
    """Send far more than the limits, some of it in bursts."""
    fleet.load("small", 30.0, since_s=1.0, until_s=_END_S)
    fleet.load("zone", 500.0, since_s=1.0, until_s=_END_S)
    fleet.load("hot", 70.0, since_s=10.0, until_s=_END_S)
    at = 4.0
    while at < _END_S:
        for account in ("bursty", "hot"):
            fleet.load(account, 400.0, since_s=at, until_s=at + 0.5)
        at += rng.uniform(2, 9)


class LimitTest(unittest.TestCase):
    @params(
        *((seed, BOUNDS) for seed in range(6)),
        *((seed, _SCARCE) for seed in range(6, 9)),
        *((seed, _NARROW) for seed in range(9, 12)),
    )
    def test_no_window_exceeds_the_limit(self, seed, bounds):
        """Guards against failures that let instances admit too much."""
        fleet = QuotaFleet(
            machines=24, accounts=_ALL, seed=seed, loss=0.03, bounds=bounds
        )
        _overload(fleet, random.Random(seed))
        _Trouble(fleet, seed)
        fleet.run(_END_S)
        for account in _ALL:
            times = fleet.tallies[account.name].admitted
            most = most_in_window(times, _W)
            self.assertGreater(most, 0, account.name)
            self.assertLess(most, allowed(account, bounds), account.name)

    @params(1, 2, 3)
    def test_lower_limit_holds_one_window_after_it_is_known(self, seed):
        """Guards against tokens of an earlier limit that are used on."""
        fleet = QuotaFleet(machines=24, accounts=[_ZONE], seed=seed)
        fleet.load("zone", 600.0, since_s=1.0, until_s=_END_S)
        fleet.run(15.0)
        lower = make_account("zone", 20.0)
        fleet.set_limit(lower)
        fleet.run(_END_S)
        since_s = 15.0 + KNOWN_S + _W
        times = [t for t in fleet.tallies["zone"].admitted if t >= since_s]
        self.assertLess(most_in_window(times, _W), allowed(lower))
        self.assertGreater(len(times), 0.8 * 20.0 * (_END_S - since_s))


def _in_z1(machine: Machine) -> bool:
    return machine.zone == "z1"


class ServiceTest(unittest.TestCase):
    """What is served, with nothing else wrong unless a test says so."""

    def _assert_served(
        self,
        fleet: QuotaFleet,
        account: ClientAccount,
        *,
        until_s: float | None = None,
    ) -> None:
        refused = [
            t
            for t in fleet.tallies[account.name].refused
            if until_s is None or t < until_s
        ]
        self.assertEqual([], refused, account.name)

    @params(71, 300)
    def test_nothing_below_the_limit_is_refused(self, machines):
        """Guards against limits of which a part cannot be used."""
        mid = make_account("mid", 40.0, 20.0)
        fleet = QuotaFleet(machines=machines, accounts=[*_ALL, mid])
        for account, per_s in (("small", 2.0), ("mid", 10.0), ("hot", 19.0)):
            fleet.load(account, per_s, since_s=_STARTED_S, until_s=30.0)
        fleet.load(
            "zone", 350.0, since_s=_STARTED_S, until_s=30.0, only=_in_z1
        )
        for at in (20.0, 35.0):
            fleet.load("bursty", 2000.0, since_s=at, until_s=at + 0.0275)
        fleet.run(40.0)
        for account in (*_ALL, mid):
            self._assert_served(fleet, account)
        waits = fleet.tallies["zone"].waits
        waited = sum(wait > 0 for wait in waits)
        self.assertLess(waited, 0.3 * len(waits))

    def test_burst_at_one_instance_is_served(self):
        """Guards against a burst that only the whole fleet can use."""
        fleet = QuotaFleet(machines=71, accounts=_ALL)
        fleet.load(
            "bursty",
            2000.0,
            since_s=20.0,
            until_s=20.0275,
            only=lambda m: m.name == "i030",
        )
        fleet.run(22.0)
        self.assertGreaterEqual(len(fleet.tallies["bursty"].admitted), 50)
        self._assert_served(fleet, _BURSTY)

    def test_new_limits_start_full(self):
        """Guards against refusals when the first limit is declared.

        All instances learn of it at once.
        """
        fleet = QuotaFleet(machines=24, accounts=[])
        fleet.run(20.0)
        fleet.accounts["bursty"] = _BURSTY
        for instance in fleet.instances.values():
            instance.learn()
        fleet.load("bursty", 200.0, since_s=22.0, until_s=22.25)
        fleet.run(23.0)
        self.assertGreater(len(fleet.tallies["bursty"].admitted), 40)
        self._assert_served(fleet, _BURSTY)

    def test_steady_demand_seldom_waits(self):
        """Guards against a round trip to another region for each request."""
        fleet = QuotaFleet(machines=12, accounts=[_ZONE])
        fleet.load("zone", 100.0, since_s=_STARTED_S, until_s=30.0)
        fleet.run(30.0)
        waits = fleet.tallies["zone"].waits
        waited = sum(wait > 0 for wait in waits)
        self.assertLess(waited, 0.03 * len(waits))

    def test_hot_account_is_held_and_others_do_not_notice(self):
        """Guards against one account that slows or refuses the others."""
        fleet = QuotaFleet(machines=71, accounts=[_SMALL, _ZONE, _HOT])
        fleet.load("small", 1.5, since_s=_STARTED_S, until_s=30.0)
        fleet.load("zone", 200.0, since_s=_STARTED_S, until_s=30.0)
        fleet.load("hot", 10.0, since_s=_STARTED_S, until_s=15.0)
        fleet.load("hot", 70.0, since_s=15.0, until_s=30.0)
        fleet.run(30.0)
        self._assert_served(fleet, _SMALL)
        self._assert_served(fleet, _ZONE)
        self._assert_served(fleet, _HOT, until_s=15.0)
        hot = fleet.tallies["hot"]
        self.assertLess(most_in_window(hot.admitted, _W), allowed(_HOT))
        late = [t for t in hot.admitted if t >= 20.0]
        self.assertGreater(len(late), 0.9 * 20.0 * 10.0)
        self.assertTrue(all(0 < wait_s <= 10 for wait_s in hot.retry_s))

    @params("killed", "paused", "cut")
    def test_failed_coordinator_is_replaced(self, failure):
        """Guards against an outage of accounts far below their limits.

        The failed instance gets no requests: alone, or after its pause, it
        may serve from its own share only. When it is back the others return
        to it, and its buckets are nearly empty.
        """
        fleet = QuotaFleet(machines=71, accounts=[_ZONE, _HOT])
        load = {"zone": 70.0, "hot": 3.0}
        for account, per_s in load.items():
            fleet.load(
                account,
                per_s,
                since_s=_STARTED_S,
                until_s=30.0,
                only=lambda m: m.name != "i000",
            )
        fleet.run(20.0)
        match failure:
            case "killed":
                fleet.instances["i000"].stop()
            case "paused":
                fleet.instances["i000"].pause(5.0)
            case "cut":
                fleet.cut(lambda m: m.name == "i000")
        fleet.run(30.0)
        for account in ("zone", "hot"):
            refused = fleet.tallies[account].refused
            self.assertTrue(
                all(20.0 < t < 22.0 or 25.0 < t < 26.0 for t in refused)
            )
            # With each change a second passes until the next coordinator is
            # found, and may use the shares delegated to the one before.
            during = [t for t in refused if t < 22.0]
            self.assertLessEqual(len(during), 1.0 * load[account])
            self.assertLessEqual(
                len(refused) - len(during), 1.0 * load[account]
            )

    def test_zone_that_is_cut_off_has_its_part(self):
        """Guards against a partition that ends the service of accounts."""
        fleet = QuotaFleet(machines=72, accounts=[_SMALL, _ZONE])
        fleet.load("zone", 40.0, since_s=2.0, until_s=40.0, only=_in_z1)
        fleet.load("small", 0.2, since_s=2.0, until_s=40.0, only=_in_z1)
        fleet.run(20.0)
        fleet.cut(lambda m: m.zone == "z1")
        fleet.run(40.0)
        for name in ("zone", "small"):
            late = [t for t in fleet.tallies[name].refused if t > 25.0]
            self.assertEqual([], late, name)

    def test_instance_alone_serves_from_its_share(self):
        """Guards against instances that refuse all without a coordinator."""
        fleet = QuotaFleet(machines=12, accounts=[_ZONE])
        fleet.load("zone", 200.0, since_s=2.0, until_s=30.0)
        fleet.run(10.0)
        fleet.cut(lambda m: m.name)
        fleet.run(30.0)
        late = [t for t in fleet.tallies["zone"].refused if t > 13.0]
        self.assertLess(len(late), 0.01 * 200.0 * 17.0)

    @params((71, 330.0), (300, 450.0))
    def test_messages_do_not_grow_with_the_demand(self, machines, per_s):
        """Guards against messages for each request, or for each account.

        There is one report in each period, and an answer, without demand.
        """
        accounts = [make_account(f"a{n}", 20.0, 20.0) for n in range(200)]
        fleet = QuotaFleet(machines=machines, accounts=accounts)
        fleet.run(10.0)
        idle = fleet.messages
        fleet.run(20.0)
        idle = (fleet.messages - idle) / 10.0
        self.assertLess(idle, 2 * per_s)
        for account in accounts[:5]:
            fleet.load(account.name, 140.0, since_s=20.0, until_s=30.0)
        fleet.run(25.0)
        busy = fleet.messages
        fleet.run(30.0)
        busy = (fleet.messages - busy) / 5.0
        self.assertLess(busy, idle + 2 * 5 * 140.0)
