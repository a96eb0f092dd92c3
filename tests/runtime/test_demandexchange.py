"""Tests of the exchange of demand in a simulated fleet.

Patterns: shares that differ within a region or change too fast after the
loss or the return of a hub, and figures that nobody renews.
"""

import math
import unittest
from unittest import mock

import logbook
from nose2.tools import params

from chiverun.core.catalog import ServerState
from chiverun.core.edgemessages import DemandReport
from chiverun.core.edgemessages import encode
from chiverun.core.edgemessages import RegionDemand
from chiverun.core.edgemessages import ShareGoals
from chiverun.core.edgesettings import EdgeBounds
from chiverun.core.placement import hash_fraction
from chiverun.core.regiondemand import KEPT_HALF_LIFE_S
from chiverun.core.regiondemand import KEPT_S
from chiverun.core.regiondemand import SHIFT_PER_S
from chiverun.core.regiondemand import STARTING_S
from chiverun.runtime import demandexchange
from chiverun.runtime.selection import make_placement
from chiverun.runtime.selection import Selector
from tests.records import make_server
from tests.runtime.fleet import add_server
from tests.runtime.fleet import Fleet
from tests.runtime.fleet import STEP_S
from tests.runtime.test_selection import ROUTE

_ZONES = {"a1": "a", "a2": "a", "b1": "b", "b2": "b", "c1": "c", "c2": "c"}
_SERVERS = {"a1": 5, "a2": 5, "b1": 24, "b2": 24, "c1": 28, "c2": 28}
# Keys whose hashes are nearly evenly spaced.
_KEYS = sorted(
    (f"k{i}" for i in range(10_000)),
    key=lambda key: hash_fraction(f"region\0h/p/\0{key}"),
)[::50]
_WINDOW_S = 2.0
_MOVED_MAX = 0.15
# Each key is 0.005 of a region's keys.
_SAMPLE_ERROR = 0.02
# Requests a second of each region, on average.
_RATE = 100.0


def _servers() -> tuple:
    return tuple(
        make_server(f"{zone}-{i}", zone=zone)
        for zone, count in _SERVERS.items()
        for i in range(count)
    )


def _quiet_c(t: float) -> dict[str, float]:
    return {"a": 1.0, "b": 1.0, "c": 0.4}


def _wave(t: float) -> dict[str, float]:
    return {
        region: 1 + 0.55 * math.sin(2 * math.pi * (t / 36 + i / 3))
        for i, region in enumerate("abc")
    }


class DemandFleet(Fleet):
    """A fleet whose machines get requests and place keys."""

    def __init__(self, *, machines: int = 2) -> None:
        super().__init__(
            zones=tuple(_ZONES),
            machines=machines,
            regions=_ZONES,
            servers=_servers(),
        )
        self.level = _wave

    def run(self, seconds: float) -> None:
        """Advance the clock and count the requests that arrive."""
        for _ in range(round(seconds / STEP_S)):
            level = self.level(self.clock.now)
            for name in self.alive():
                region = self.machines[name].region
                count = len(self.in_region(region))
                arrived = _RATE * level[region] * STEP_S / count
                count = self.demands[name].arrivals["mill"]
                self.demands[name].arrivals["mill"] = count + arrived
            self._round_arrivals(super().run)

    def _round_arrivals(self, run) -> None:
        """Run a step; reports hold whole numbers only."""
        exact = {
            name: demand.arrivals["mill"]
            for name, demand in self.demands.items()
        }
        for name, count in exact.items():
            self.demands[name].arrivals["mill"] = int(count)
        run(STEP_S)
        for name, count in exact.items():
            self.demands[name].arrivals["mill"] = count

    def in_region(self, region: str) -> list[str]:
        """Return the live machines of a region."""
        return sorted(n for n in self.alive() if _ZONES[n[:2]] == region)

    def placed(self, name: str) -> list[str]:
        """Return the region in which a machine places each key."""
        machine = self.machines[name]
        selector = Selector(
            table=self.tables[name],
            region=machine.region,
            zone=machine.zone,
            regions=_ZONES,
            bounds=EdgeBounds(),
            machine=name,
            fleet=self.followers[name].table.fleet,
            region_zones=lambda: [],
            offsets=self.demands[name].applied,
        )
        return [
            selector._preferred_regions(
                make_placement(ROUTE, "mill", (), key, "id", 0.1, 0.1)
            )[0]
            for key in _KEYS
        ]

    def offset(self, name: str, region: str) -> float:
        """Return the offset of a region at a machine."""
        return self.demands[name].applied.of("mill").get(region, 0.0)


def _moved(first: list[str], second: list[str]) -> float:
    changed = sum(a != b for a, b in zip(first, second, strict=False))
    return changed / len(second)


class DemandExchangeTest(unittest.TestCase):
    def setUp(self):
        handler = logbook.NullHandler()
        handler.push_application()
        self.addCleanup(handler.pop_application)
        self.fleet = DemandFleet()

    def _run_checked(self, windows: int, excluded: tuple = ()) -> None:
        """Run for some windows and check how many keys move in each.

        Parameters
        ----------
        windows : int
        excluded : tuple
            Machines that start or end meanwhile.
        """
        before: dict[str, list[str]] = {}
        for _ in range(windows):
            for name in sorted(self.fleet.alive() - set(excluded)):
                placed = self.fleet.placed(name)
                moved = _moved(before.get(name, placed), placed)
                limit = SHIFT_PER_S * _WINDOW_S + _SAMPLE_ERROR
                self.assertLessEqual(moved, limit, name)
                before[name] = placed
            self.fleet.run(_WINDOW_S)

    def _assert_alike(self, region: str) -> None:
        names = self.fleet.in_region(region)
        first = self.fleet.placed(names[0])
        for name in names[1:]:
            moved = _moved(first, self.fleet.placed(name))
            self.assertLessEqual(moved, 0.04, name)

    def test_wave(self):
        """Guards against shares that do not follow, differ or jump."""
        self.fleet.run(12.0)
        offsets = []
        for _ in range(5):
            self._run_checked(4)
            for region in "abc":
                self._assert_alike(region)
            offsets.append(self.fleet.offset("b1-000", "c"))
        # Half of what the wave asks for, at least.
        self.assertGreater(max(offsets) - min(offsets), 0.1)

    def test_single_region_sends_nothing(self):
        """Guards against messages without a use."""
        fleet = Fleet(zones=("a1", "a2"), machines=3, regions=_ZONES)
        for name, table in fleet.tables.items():
            add_server(table, make_server("x", zone="a1"), "a", name)
        fleet.run(5.0)
        fleet.sent.clear()
        with mock.patch.object(demandexchange.edgemessages, "encode") as call:
            for demand in fleet.demands.values():
                demand.tick()
        call.assert_not_called()

    @params(["b1-000"], ["b1-000", "b1-001"], ["b1-000", "b2-000"])
    def test_hub_dies(self, dead):
        """Guards against shares that fall back or stay when a hub has died."""
        self.fleet.level = _quiet_c
        self.fleet.run(24.0)
        before = self.fleet.offset("b2-001", "c")
        self.assertGreater(before, 0.05)
        self.fleet.down.update(dead)
        for _ in range(5):
            self._run_checked(3)
            offset = self.fleet.offset("b2-001", "c")
            self.assertAlmostEqual(before, offset, delta=0.05)
        self._assert_alike("b")
        goals = self.fleet.demands["b2-001"]
        self.assertLess(self.fleet.clock.now - goals._goals_heard_at, 3.0)

    @params("b1-000", "b2-001")
    def test_restarted_instance_takes_the_shares_in_force(self, name):
        """Guards against a hub that starts over from an even demand.

        And against an instance that places keys by other shares for long.
        """
        self.fleet.level = _quiet_c
        self.fleet.run(26.0)
        before = self.fleet.offset("b2-000", "c")
        self.fleet.start(name)
        self._run_checked(math.ceil(STARTING_S / _WINDOW_S), (name,))
        self._assert_alike("b")
        self._run_checked(6)
        self._assert_alike("b")
        offset = self.fleet.offset("b2-000", "c")
        self.assertAlmostEqual(before, offset, delta=0.05)

    def test_region_that_is_cut_off(self):
        """Guards against shares that rest on figures of minutes ago."""
        self.fleet.level = _quiet_c
        self.fleet.run(25.0)
        before = self.fleet.offset("b1-000", "c")
        self.assertGreater(before, 0.05)
        for other in ("a1", "a2", "b1", "b2"):
            for zone in ("c1", "c2"):
                self.fleet.cut.add(frozenset((zone, other)))
        self.fleet.run(KEPT_S - 4.0)
        self.assertAlmostEqual(
            before, self.fleet.offset("b1-000", "c"), delta=0.03
        )
        self._run_checked(10)
        self.fleet.run(3 * KEPT_HALF_LIFE_S)
        self.assertLess(self.fleet.offset("b1-000", "c"), before / 2)
        self.fleet.cut.clear()
        self._run_checked(12)
        self.assertAlmostEqual(
            before, self.fleet.offset("b1-000", "c"), delta=0.05
        )

    def test_zones_of_a_region_without_a_link(self):
        """Guards against jumps when two hubs of a region meet again."""
        self.fleet.run(14.0)
        self.fleet.cut.add(frozenset(("b1", "b2")))
        self._run_checked(10)
        self.fleet.cut.clear()
        self._run_checked(10)
        self._assert_alike("b")

    def test_evacuated_zones_that_return(self):
        """Guards against offsets that are lost while servers are drained."""
        self.fleet.run(24.0)
        before = {n: self.fleet.placed(n) for n in self.fleet.alive()}
        for region in "bc":
            self._set_state(region, ServerState.DRAINING)
        self.fleet.run(_WINDOW_S / 2)
        self.assertEqual({"a"}, set(self.fleet.placed("b1-000")))
        for region in "bc":
            self._set_state(region, ServerState.READY)
        self.fleet.run(_WINDOW_S / 2)
        for name, placed in before.items():
            moved = _moved(placed, self.fleet.placed(name))
            limit = SHIFT_PER_S * _WINDOW_S + _SAMPLE_ERROR
            self.assertLessEqual(moved, limit)

    def _set_state(self, region: str, state: ServerState) -> None:
        for table in self.fleet.tables.values():
            for row in table.rows.values():
                if row.region == region:
                    row.server = make_server(
                        row.server.name, zone=row.server.zone, state=state
                    )
            table.generation += 1


class MessageTest(unittest.TestCase):
    def setUp(self):
        handler = logbook.NullHandler()
        handler.push_application()
        self.addCleanup(handler.pop_application)
        self.fleet = DemandFleet()
        self.fleet.run(15.0)
        self.demand = self.fleet.demands["b2-001"]

    @params(
        # (sender, number relative to the last one, is applied)
        ("b1-000", 1, True),
        ("b1-000", 0, False),
        ("b1-000", -3, False),
        ("b2-000", 1000, False),
        ("a1-000", 1000, False),
        ("stranger", 1000, False),
    )
    def test_goals(self, sender, step, is_applied):
        """Guards against goals of an earlier hub or of another region."""
        _, boot_id, number = self.demand._goals_from
        offsets = {"mill": {"c": 0.9}}
        self.demand.receive(
            ShareGoals(
                sender=sender,
                boot_id=boot_id,
                number=max(0, number + step),
                offsets=offsets,
            )
        )
        self.assertEqual(is_applied, self.demand._goals == offsets)

    def test_goals_of_an_unknown_service_take_no_memory(self):
        """Guards against memory that a malformed message takes for good."""
        offsets = {f"s{i}": {"c": 0.9} for i in range(100)}
        _, boot_id, number = self.demand._goals_from
        self.demand.receive(
            ShareGoals(
                sender="b1-000",
                boot_id=boot_id,
                number=number + 1,
                offsets=offsets,
            )
        )
        self.demand.tick()
        self.assertLessEqual(set(self.demand.applied.all()), {"mill"})

    def test_figures_of_another_region_are_not_taken(self):
        """Guards against figures that a region does not tell of itself."""
        hub = self.fleet.demands["b1-000"]
        before = hub._figures._rows["a"]
        hub.receive(
            RegionDemand(
                sender="c1-000",
                boot_id="x",
                number=10**9,
                region="a",
                per_s={"mill": 1e6},
            )
        )
        self.assertIs(before, hub._figures._rows["a"])

    def test_messages_are_small(self):
        """Guards against messages that grow with servers."""
        report = DemandReport(
            sender="b1-000",
            boot_id="0123456789ab",
            at_s=1e6 + 0.123,
            arrivals={f"service-{i}": 10**6 + i for i in range(5)},
        )
        self.assertLess(len(encode(report)), 200)
