"""Tests that all machines together keep the rate of a cold server.

The machines of a zone, on a simulated clock, ask for one server as often as
the test says. Its records reach them when the test says.
"""

import unittest

from nose2.tools import params

from chiverun.core.catalog import ClientLimits
from chiverun.core.catalog import DesiredState
from chiverun.core.catalog import Machine
from chiverun.core.catalog import RouteTable
from chiverun.core.catalog import Server
from chiverun.core.catalog import ServiceSpec
from chiverun.core.edgesettings import EdgeBounds
from chiverun.core.peertable import PeerTable
from chiverun.core.replica import Evacuation
from chiverun.core.replica import Record
from chiverun.core.replica import Replica
from chiverun.core.replica import VersionedRecord
from chiverun.runtime.selection import Placement
from chiverun.runtime.selection import Selector
from chiverun.runtime.servertable import ServerRow
from chiverun.runtime.servertable import ServerTable
from tests.records import make_server

_SPEC = ServiceSpec(name="mill", cold_s=3.0, cold_per_s=5.8)
_ROUTES = RouteTable.of(
    DesiredState(
        version=1, routes=(), services=(_SPEC,), limits=ClientLimits()
    )
)
_BOUNDS = EdgeBounds()
# What the server tolerates from all machines in any second.
_ALLOWED = _SPEC.cold_per_s * _BOUNDS.cold_excess + _BOUNDS.cold_extra
_STEP_S = 0.02
# What all machines ask for per second: below what a cold server tolerates,
# and far above it.
_CALM_PER_S = 12.0
_PRESS_PER_S = 200.0
_WARM = make_server(started_ms=1)
_COLD = make_server(started_ms=1, cold_left_s=3.0)
_RESTARTED = make_server(started_ms=2, cold_left_s=3.0)


class _Machine:
    """A machine of the server's zone, with what it knows."""

    def __init__(self, name: str) -> None:
        self.record = Machine(
            name=name, peer=name, entry=name, zone="z", region="r"
        )
        self.start()

    def start(self) -> None:
        """Start with empty tables, as after a restart."""
        self.replica = Replica()
        self.table = ServerTable(machine=self.record.name)
        self.peers = PeerTable(me=self.record)
        self.selector = Selector(
            table=self.table,
            region="r",
            zone="z",
            regions={"z": "r"},
            bounds=_BOUNDS,
            machine=self.record.name,
            fleet=self.peers.fleet,
            region_zones=lambda: ["z"],
        )

    def apply(self, items: list[VersionedRecord], now: float) -> None:
        """Apply records of the store."""
        self.replica.apply(items, now=now)
        self.peers.record_machines(self.replica.machines())
        self.table.sync(self.replica, _ROUTES, {"z": "r"}, now)

    def ask(self, key: str, now: float) -> bool:
        """Ask for a server; return whether one may be sent a request."""
        placement = Placement(
            service="mill",
            key=key,
            permitted_regions=(),
            typical_s=0.1,
            run_s=0.1,
            objective_s=0.3,
        )
        row = self.selector.choose(placement, _SPEC, set(), now)
        return isinstance(row, ServerRow)


class _Zone:
    """Machines that share the rate of one server."""

    def __init__(self, count: int) -> None:
        self.now = 100.0
        self.sent: list[float] = []
        self.machines = [_Machine(f"m{i}") for i in range(count)]
        self.log: list[VersionedRecord] = []
        for machine in self.machines:
            self.write(f"machines/{machine.record.name}", machine.record)
        # The machines have been running for a while.
        self.now += 10.0

    def write(self, key: str, record: Record | None) -> None:
        """Write a record, which all machines hear of at once."""
        revision = len(self.log) + 1
        item = VersionedRecord(key=key, revision=revision, record=record)
        self.log.append(item)
        for machine in self.machines:
            machine.apply([item], self.now)

    def write_server(self, server: Server | None) -> None:
        """Write the server's record, or remove it."""
        self.write("servers/s1", server)

    def restart(self, machine: _Machine) -> None:
        """Start a machine again; it reads the whole store."""
        machine.start()
        machine.apply(self.log, self.now)

    def press(self, seconds: float, per_s: float) -> None:
        """Let the machines ask in turn, `per_s` times a second in all."""
        for _ in range(round(seconds / _STEP_S)):
            self.now += _STEP_S
            due = int(self.now * per_s) - int((self.now - _STEP_S) * per_s)
            for _ in range(due):
                machine = self.machines.pop(0)
                self.machines.append(machine)
                if machine.ask(f"k{len(self.sent)}", self.now):
                    self.sent.append(self.now)

    def most_in_a_second(self) -> int:
        """Return the most requests that were sent in any second."""
        return max(
            sum(at <= t < at + 1.0 for t in self.sent) for at in self.sent
        )


class ColdServerTest(unittest.TestCase):
    def _assert_kept(self, zone: _Zone) -> None:
        self.assertLessEqual(zone.most_in_a_second(), _ALLOWED)
        self.assertGreater(zone.most_in_a_second(), 0.25 * _ALLOWED)

    @params(1, 2, 5, 20)
    def test_rate_is_kept_by_all_machines(self, count) -> None:
        """Guards against a cold server that gets the rate from each one."""
        zone = _Zone(count)
        zone.write_server(_COLD)
        zone.press(2.5, _PRESS_PER_S)
        self._assert_kept(zone)

    @params((1, _COLD), (1, _RESTARTED), (2, _COLD), (2, _RESTARTED))
    def test_sends_before_the_record_came_count(self, count, record) -> None:
        """Guards against a second rate once a server is known to be cold."""
        zone = _Zone(count)
        zone.write_server(_WARM)
        zone.press(2.0, _CALM_PER_S)
        zone.write_server(record)
        zone.press(2.0, _PRESS_PER_S)
        self._assert_kept(zone)

    @params(1, 2, 5)
    def test_rate_outlasts_a_record_that_lapses(self, count) -> None:
        """Guards against a second rate for a record that comes back."""
        zone = _Zone(count)
        for cold_left_s in (3.0, 2.5, 2.0, 1.5):
            zone.write_server(None)
            zone.write_server(make_server(cold_left_s=cold_left_s))
            zone.press(0.5, _PRESS_PER_S)
        self._assert_kept(zone)

    @params(1, 2, 5)
    def test_cold_zone_stays_cold_while_records_lapse(self, count) -> None:
        """Guards against servers taken for warm after an evacuation.

        Their records do not tell yet that they have lost their caches.
        """
        zone = _Zone(count)
        zone.write_server(_WARM)
        zone.write("evacuate/z", Evacuation(zone="z"))
        zone.write("evacuate/z", None)
        for _ in range(3):
            zone.press(0.5, _PRESS_PER_S)
            zone.write_server(None)
            zone.write_server(_WARM)
        zone.press(0.5, _PRESS_PER_S)
        self._assert_kept(zone)

    @params(1, 2, 5)
    def test_rate_outlasts_a_restart_of_machines(self, count) -> None:
        """Guards against a second rate of a machine that starts again."""
        zone = _Zone(count)
        zone.write_server(_COLD)
        for machine in list(zone.machines):
            zone.press(0.3, _PRESS_PER_S)
            zone.restart(machine)
        zone.press(0.5, _PRESS_PER_S)
        self._assert_kept(zone)

    @params(1, 2, 5)
    def test_joining_machine_has_no_part_yet(self, count) -> None:
        """Guards against parts of machines that the others do not count.

        The newcomer knows all records, but its own is not written yet.
        """
        zone = _Zone(count)
        newcomer = _Machine("m99")
        zone.machines.append(newcomer)
        newcomer.apply(zone.log, zone.now)
        zone.press(2.0, _CALM_PER_S / 10)
        zone.write_server(_COLD)
        zone.press(1.5, _PRESS_PER_S)
        self._assert_kept(zone)

    def test_server_becomes_cold_again_with_the_same_record(self) -> None:
        """Guards against a cold time that counts from an equal record.

        The record was cold before, and the ones in between were missed.
        """
        zone = _Zone(2)
        zone.write_server(_COLD)
        zone.press(4.0, _CALM_PER_S / 10)
        zone.write_server(_COLD)
        zone.press(2.0, _PRESS_PER_S)
        self._assert_kept(zone)
