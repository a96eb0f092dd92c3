"""Tests of server selection."""

import dataclasses
import unittest

from chiverun.core.catalog import Machine
from chiverun.core.catalog import Part
from chiverun.core.catalog import Route
from chiverun.core.catalog import ServiceSpec
from chiverun.core.edgesettings import EdgeBounds
from chiverun.core.placement import KEY_LENGTH_MAX
from chiverun.runtime.selection import make_placement
from chiverun.runtime.selection import Overloaded
from chiverun.runtime.selection import Selector
from chiverun.runtime.servertable import ServerRow
from chiverun.runtime.servertable import ServerTable
from tests.records import make_row
from tests.records import make_server

_REGIONS = {"a1": "a", "a2": "a", "b1": "b"}
_NOW = 100.0


def make_table(**slots_by_zone: int) -> ServerTable:
    """Return a table with three servers per zone."""
    table = ServerTable(machine="m")
    for zone, slots in slots_by_zone.items():
        for number in range(3):
            server = make_server(
                f"{zone}-{number}",
                address=f"10.0.0.{number}:80",
                zone=zone,
                slots=slots,
            )
            row = make_row(server, region=_REGIONS[zone])
            table.rows[server.name] = row
            table.by_service.setdefault("mill", []).append(row)
    return table


def _fleet(names_by_zone: dict[str, set[str]]) -> list[Machine]:
    """Return machines by zone; "m" is in one without servers by default."""
    names = {"elsewhere": {"m"}, **names_by_zone}
    machines = {
        name: Machine(
            name=name,
            peer=name,
            entry=name,
            zone=zone,
            region=_REGIONS.get(zone, "elsewhere"),
        )
        for zone, zone_names in names.items()
        for name in zone_names
    }
    return list(machines.values())


def make_selector(
    table: ServerTable,
    zone: str,
    other_zones: tuple[str, ...],
    bounds: EdgeBounds | None = None,
    machines: dict[str, set[str]] | None = None,
) -> Selector:
    """Return a selector in `zone`; `other_zones` holds other machines'."""
    return Selector(
        table=table,
        region=_REGIONS[zone],
        zone=zone,
        regions=_REGIONS,
        bounds=bounds or EdgeBounds(),
        machine="m",
        fleet=lambda: _fleet(machines or {zone: {"m"}}),
        region_zones=lambda: list(other_zones),
    )


ROUTE = Route(
    name="r",
    host="h",
    prefix="/p/",
    repeatable=True,
    parts=(Part(service="mill", weight=1.0),),
    timeout_s=1.0,
    objective_s=0.3,
    attempts=2,
    priority=0,
    sticky=True,
    homes=(),
)


def make_request(key: str):
    return make_placement(ROUTE, "mill", ROUTE.homes, key, "id", 0.1, 0.1)


class PlacementKeyTest(unittest.TestCase):
    def test_long_key(self) -> None:
        """Guards against callers' keys that fill the caches of placements."""
        first, other = (make_request(c * 15_000).key for c in "ab")
        self.assertNotEqual(first, other)
        self.assertLessEqual(len(first), KEY_LENGTH_MAX)


class ZoneFirstTest(unittest.TestCase):
    def test_requests_stay_in_the_zone(self) -> None:
        """Guards against unnecessary traffic between zones."""
        table = make_table(a1=4, a2=4, b1=8)
        selector = make_selector(table, "a1", ("a2",))
        for i in range(100):
            row = selector.choose(make_request(f"k{i}"), None, set(), _NOW)
            self.assertEqual("a1", row.server.zone)

    def test_two_zones_share_the_two_servers_of_a_key(self) -> None:
        """Guards against keys that are cold on twice as many servers."""
        table = make_table(a1=4, a2=4, b1=8)
        first_selector = make_selector(table, "a1", ("a2",))
        second_selector = make_selector(table, "a2", ("a1",))
        for i in range(100):
            first = first_selector.choose(
                make_request(f"k{i}"), None, set(), _NOW
            )
            other = second_selector.choose(
                make_request(f"k{i}"), None, set(), _NOW
            )
            first.load.in_flight = 5 * first.server.slots
            spilled = first_selector.choose(
                make_request(f"k{i}"), None, set(), _NOW
            )
            first.load.in_flight = 0
            self.assertEqual("a2", other.server.zone)
            self.assertEqual(other, spilled)

    def test_other_regions_use_the_two_servers_of_a_key(self) -> None:
        """Guards against keys that are cold on a third server."""
        table = make_table(a1=8, a2=8, b1=1)
        own = make_selector(table, "a1", ("a2",))
        other = make_selector(table, "b1", ("b1",))
        for i in range(100):
            placement = dataclasses.replace(
                make_request(f"k{i}"), permitted_regions=("a",)
            )
            pairs = []
            for selector in (own, other):
                first = selector.choose(placement, None, set(), _NOW)
                first.load.in_flight = 5 * first.server.slots
                second = selector.choose(placement, None, set(), _NOW)
                first.load.in_flight = 0
                pairs.append({first.server.name, second.server.name})
            self.assertEqual(*pairs)

    def test_zone_with_more_machines_does_not_overload_its_servers(
        self,
    ) -> None:
        """Guards against zone shares that ignore the servers' capacity."""
        table = make_table(a1=4, a2=4, b1=8)
        a1_selector = make_selector(table, "a1", ("a1", "a2"))
        own = sum(
            a1_selector.choose(
                make_request(f"k{i}"), None, set(), _NOW
            ).server.zone
            == "a1"
            for i in range(1000)
        )
        # Two of three requests arrive in a1, which has half of the slots.
        self.assertAlmostEqual(0.75, own / 1000, delta=0.05)

    def test_zone_without_servers_uses_the_other(self) -> None:
        """Guards against refusals after all servers of a zone are gone."""
        table = make_table(a2=4, b1=4)
        selector = make_selector(table, "a1", ("a2",))
        zones = {
            selector.choose(
                make_request(f"k{i}"), None, set(), _NOW
            ).server.zone
            for i in range(50)
        }
        self.assertIn("a2", zones)


class OverloadTest(unittest.TestCase):
    def setUp(self) -> None:
        self.table = make_table(a1=4, a2=4, b1=4)
        self.selector = make_selector(self.table, "a1", ("a2",))

    def _load(self, in_flight: int, *, region: str = "a") -> None:
        for row in self.table.rows.values():
            if row.region == region:
                row.load.in_flight = in_flight

    def _choose(self, spec: ServiceSpec | None = None):
        return self.selector.choose(make_request("k"), spec, set(), _NOW)

    def test_request_that_would_be_late_is_refused(self) -> None:
        """Guards against queueing behind servers that respond too late.

        A request of 0.1 s behind 5 rounds of others misses its 0.3 s.
        """
        self._load(24)
        choice = self._choose()
        self.assertIsInstance(choice, Overloaded)
        self.assertAlmostEqual(0.1 * 21 / 4, choice.wait_s)

    def test_load_is_bounded_when_all_servers_stall(
        self,
    ) -> None:
        """Guards against overload that is mistaken for unresponsive servers.

        If every run is slow, sends to all servers exceed the stall limit.
        """
        self._load(24)
        for row in self.table.rows.values():
            row.pending_sends[1] = _NOW - 10.0
        self.assertIsInstance(self._choose(), Overloaded)

    def test_stalled_servers_with_free_slots_are_used(self) -> None:
        """Guards against refusals when only stalled servers are left."""
        self._load(1)
        for row in self.table.rows.values():
            row.pending_sends[1] = _NOW - 10.0
        self.assertIsInstance(self._choose(), ServerRow)

    def test_queue_within_the_objective_is_not_refused(self) -> None:
        """Guards against refusals while the objective can be met."""
        self._load(7)
        self.assertIsInstance(self._choose(), ServerRow)

    def test_key_stays_on_its_servers_within_the_objective(self) -> None:
        """Guards against keys that are cold on every server of a region.

        In a burst each request that spilled over ran cold and added load.
        """
        self._load(8)
        third = self.table.rows["a2-1"]
        third.load.in_flight = 1
        chosen = [self._server_of(f"k{i}") for i in range(300)]
        self.assertNotIn(None, chosen)
        self.assertNotIn(third, chosen)

    def _server_of(self, key: str) -> ServerRow | None:
        choice = self.selector.choose(make_request(key), None, set(), _NOW)
        return choice if isinstance(choice, ServerRow) else None

    def test_idle_server_is_used_before_a_refusal(self) -> None:
        """Guards against refusals while the region has free servers."""
        self._load(24)
        idle_row = self.table.rows["a2-1"]
        idle_row.load.in_flight = 1
        self.assertIs(idle_row, self._choose())

    def test_overload_does_not_spill_to_another_region(self) -> None:
        """Guards against a surge of requests that change region."""
        self._load(24)
        self._load(0, region="b")
        self.assertIsInstance(self._choose(), Overloaded)

    def test_cold_limit_is_not_overload(self) -> None:
        """Guards against refusals while another region has capacity."""
        spec = ServiceSpec(
            name="mill",
            health_path="/h",
            connections_max=100,
            cold_s=3.0,
            cold_per_s=0.0,
        )
        for row in self.table.rows.values():
            if row.region == "a":
                row.cold_time.recorded_until = _NOW + 1
        bounds = EdgeBounds(cold_extra=0.0)
        self.selector = make_selector(self.table, "a1", ("a2",), bounds)
        choice = self._choose(spec)
        self.assertEqual("b1", choice.server.zone)


class ColdServerTest(unittest.TestCase):
    """Servers that return cold while many machines send little each.

    Pattern: a share of a limit below one request, so that most machines
    avoid a server whose keys then run cold on others.
    """

    def _choices(self, zone: str, machines: dict[str, set[str]]) -> set[str]:
        """Return the servers chosen while those of a1 are cold."""
        table = make_table(a1=4, a2=4)
        for row in table.rows.values():
            if row.server.zone == "a1":
                row.cold_time.recorded_until = _NOW + 1000.0
        selector = make_selector(table, zone, ("a1", "a2"), machines=machines)
        spec = ServiceSpec(name="mill", cold_per_s=2.0)
        return {
            selector.choose(
                make_request(f"k{i}"), spec, set(), _NOW + 2 * i
            ).server.zone
            for i in range(40)
        }

    def test_machines_of_the_zone_use_its_cold_servers(self) -> None:
        """Guards against cold servers that stay unused in a large fleet."""
        far = {f"far-{i}" for i in range(200)}
        machines = {"a1": {"m", "n"}, "a2": far}
        self.assertIn("a1", self._choices("a1", machines))

    def test_machines_of_other_zones_leave_them(self) -> None:
        """Guards against a sum of rates above the limit of a cold server."""
        machines = {"a1": {"n"}, "a2": {"m"}}
        self.assertEqual({"a2"}, self._choices("a2", machines))

    def test_zone_without_machines_is_shared_by_all(self) -> None:
        """Guards against servers that no machine may send to."""
        self.assertIn("a1", self._choices("a2", {"a2": {"m", "n"}}))
