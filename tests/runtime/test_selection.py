"""Tests of the choice of a server."""

import unittest

from chiverun.core.catalog import Part
from chiverun.core.catalog import Route
from chiverun.core.catalog import Server
from chiverun.core.catalog import ServerState
from chiverun.core.catalog import ServiceSpec
from chiverun.core.edgesettings import EdgeBounds
from chiverun.core.health import ServerHealth
from chiverun.core.sendbudget import ColdLimit
from chiverun.runtime.selection import Overloaded
from chiverun.runtime.selection import placement
from chiverun.runtime.selection import Selector
from chiverun.runtime.servertable import ServerRow
from chiverun.runtime.servertable import ServerTable

_REGIONS = {"a1": "a", "a2": "a", "b1": "b"}
_NOW = 100.0


def _table(**slots_by_zone: int) -> ServerTable:
    """Return a table with three servers a zone."""
    table = ServerTable(machine="m")
    for zone, slots in slots_by_zone.items():
        for number in range(3):
            server = Server(
                name=f"{zone}-{number}",
                service="mill",
                address=f"10.0.0.{number}:80",
                zone=zone,
                slots=slots,
                state=ServerState.READY,
                cold_left_s=0.0,
                started_ms=1,
            )
            row = ServerRow(
                server=server,
                region=_REGIONS[zone],
                health=ServerHealth(name=server.name),
                cold=ColdLimit(server=server.name, machine="m"),
            )
            table.rows[server.name] = row
            table.by_service.setdefault("mill", []).append(row)
    return table


def _selector(
    table: ServerTable,
    zone: str,
    near: tuple[str, ...],
    bounds: EdgeBounds | None = None,
) -> Selector:
    """Return the selector of a machine in a zone; `near` are the others'."""
    return Selector(
        table=table,
        region=_REGIONS[zone],
        zone=zone,
        bounds=bounds or EdgeBounds(),
        machines=lambda: {"m"},
        region_zones=lambda: list(near),
    )


def _place(key: str):
    route = Route(
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
    return placement(route, "mill", key, "id", 0.1, 0.1)


class ZoneFirstTest(unittest.TestCase):
    def test_requests_stay_in_the_zone(self) -> None:
        """Guards against bytes between zones that no server needs."""
        table = _table(a1=4, a2=4, b1=8)
        selector = _selector(table, "a1", ("a2",))
        for i in range(100):
            row = selector.choose(_place(f"k{i}"), None, set(), _NOW)
            self.assertEqual("a1", row.server.zone)

    def test_two_zones_share_the_two_servers_of_a_key(self) -> None:
        """Guards against objects that are cold on twice as many servers."""
        table = _table(a1=4, a2=4, b1=8)
        one = _selector(table, "a1", ("a2",))
        two = _selector(table, "a2", ("a1",))
        for i in range(100):
            first = one.choose(_place(f"k{i}"), None, set(), _NOW)
            other = two.choose(_place(f"k{i}"), None, set(), _NOW)
            first.load.in_flight = 5 * first.server.slots
            spilled = one.choose(_place(f"k{i}"), None, set(), _NOW)
            first.load.in_flight = 0
            self.assertEqual("a2", other.server.zone)
            self.assertEqual(other, spilled)

    def test_zone_with_more_machines_does_not_overload_its_servers(
        self,
    ) -> None:
        """Guards against load that follows machines and not servers."""
        table = _table(a1=4, a2=4, b1=8)
        many = _selector(table, "a1", ("a1", "a2"))
        own = sum(
            many.choose(_place(f"k{i}"), None, set(), _NOW).server.zone == "a1"
            for i in range(1000)
        )
        # Two of three requests arrive in a1, which has half of the slots.
        self.assertAlmostEqual(0.75, own / 1000, delta=0.05)

    def test_zone_without_servers_uses_the_other(self) -> None:
        """Guards against refusals after a zone was emptied."""
        table = _table(a2=4, b1=4)
        selector = _selector(table, "a1", ("a2",))
        zones = {
            selector.choose(_place(f"k{i}"), None, set(), _NOW).server.zone
            for i in range(50)
        }
        self.assertIn("a2", zones)


class OverloadTest(unittest.TestCase):
    def setUp(self) -> None:
        self.table = _table(a1=4, a2=4, b1=4)
        self.selector = _selector(self.table, "a1", ("a2",))

    def _load(self, in_flight: int, *, region: str = "a") -> None:
        for row in self.table.rows.values():
            if row.region == region:
                row.load.in_flight = in_flight

    def _choose(self, spec: ServiceSpec | None = None):
        return self.selector.choose(_place("k"), spec, set(), _NOW)

    def test_late_queue_is_refused(self) -> None:
        """Guards against servers that only answer too late.

        A request of 0.1 s behind 5 rounds of others misses 0.3 s.
        """
        self._load(24)
        choice = self._choose()
        self.assertIsInstance(choice, Overloaded)
        self.assertAlmostEqual(0.1 * 21 / 4, choice.wait_s)

    def test_servers_that_all_stall_are_not_loaded_without_bound(
        self,
    ) -> None:
        """Guards against an overload that is taken for silent servers.

        When every run is slow, all servers wait for a response longer than
        usual.
        """
        self._load(24)
        for row in self.table.rows.values():
            row.waiting[1] = _NOW - 10.0
        self.assertIsInstance(self._choose(), Overloaded)

    def test_stalled_servers_with_room_are_used(self) -> None:
        """Guards against refusals where only stalled servers are left."""
        self._load(1)
        for row in self.table.rows.values():
            row.waiting[1] = _NOW - 10.0
        self.assertIsInstance(self._choose(), ServerRow)

    def test_queue_in_time_is_not_refused(self) -> None:
        """Guards against refusals while the objective can be met."""
        self._load(7)
        self.assertIsInstance(self._choose(), ServerRow)

    def test_key_stays_while_its_servers_are_in_time(self) -> None:
        """Guards against objects that are cold on every server of a region.

        In a burst each spilled request ran cold, so that the work rose with
        the load.
        """
        self._load(8)
        third = self.table.rows["a2-1"]
        third.load.in_flight = 1
        chosen = [self._server_of(f"k{i}") for i in range(300)]
        self.assertNotIn(None, chosen)
        self.assertNotIn(third, chosen)

    def _server_of(self, key: str) -> ServerRow | None:
        choice = self.selector.choose(_place(key), None, set(), _NOW)
        return choice if isinstance(choice, ServerRow) else None

    def test_spare_server_is_used_before_a_refusal(self) -> None:
        """Guards against refusals with free servers in the region."""
        self._load(24)
        spare = self.table.rows["a2-1"]
        spare.load.in_flight = 1
        self.assertIs(spare, self._choose())

    def test_overload_moves_nothing_to_another_region(self) -> None:
        """Guards against a jump of the requests that change the region."""
        self._load(24)
        self._load(0, region="b")
        self.assertIsInstance(self._choose(), Overloaded)

    def test_cold_servers_are_no_overload(self) -> None:
        """Guards against refusals where another region has room."""
        spec = ServiceSpec(
            name="mill",
            health_path="/h",
            connections_max=100,
            cold_s=3.0,
            cold_per_s=0.0,
        )
        for row in self.table.rows.values():
            if row.region == "a":
                row.cold_until = _NOW + 1
        bounds = EdgeBounds(cold_extra=0.0)
        self.selector = _selector(self.table, "a1", ("a2",), bounds)
        choice = self._choose(spec)
        self.assertEqual("b1", choice.server.zone)
