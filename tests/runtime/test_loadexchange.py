"""Tests of the exchange of loads, and of what it is used for.

Patterns: totals of a hub that has ended or of instances that are gone, and
selection that refuses or spreads more because it knows more.
"""

import unittest

import logbook
from nose2.tools import params

from chiverun.core.edgemessages import RegionLoads
from chiverun.core.loadtotals import AGE_MAX_S
from chiverun.runtime.loadexchange import COMPLETE_S
from chiverun.runtime.selection import Overloaded
from chiverun.runtime.servertable import ServerRow
from tests.records import make_server
from tests.runtime.fleet import Fleet
from tests.runtime.fleet import SERVER
from tests.runtime.loadmodel import LoadModel
from tests.runtime.test_selection import make_request
from tests.runtime.test_selection import make_selector
from tests.runtime.test_selection import make_table

_ZONES = ("a", "b")
# Small changes are told with the next complete message.
_WHOLE_S = COMPLETE_S + 1.0
# A machine that is lost is taken for live for 3.5 s, a zone hears of it within
# a second, and totals are sent within another half.
_REPLACED_S = 5.0 + COMPLETE_S


class LoadExchangeTest(unittest.TestCase):
    def setUp(self):
        handler = logbook.NullHandler()
        handler.push_application()
        self.addCleanup(handler.pop_application)
        self.fleet = Fleet(
            zones=_ZONES, machines=6, servers=(make_server("t", zone="a"),)
        )
        self.fleet.shares_loads = True
        self.fleet.run(6.0)

    def _send(self, name: str, count: int) -> None:
        self._row(name).load.in_flight = count

    def _row(self, name: str) -> ServerRow:
        return self.fleet.tables[name].rows[SERVER]

    def _total(self, name: str) -> float:
        return self._row(name).load.total_by_region(self.fleet.clock.now)

    def _assert_total(self, expected: int) -> None:
        for name in self.fleet.alive():
            self.assertEqual(expected, self._total(name), name)

    def test_all_know_the_sum(self):
        """Guards against requests that only their sender knows of."""
        for number, name in enumerate(sorted(self.fleet.alive())):
            self._send(name, number)
        self.fleet.run(_WHOLE_S)
        self._assert_total(sum(range(12)))
        self._send("b-005", 0)
        self.fleet.run(_WHOLE_S)
        self._assert_total(sum(range(11)))

    @params(["a-000"], ["a-000", "a-001"], ["a-000", "b-000", "b-001"])
    def test_hub_dies(self, dead):
        """Guards against totals that end with a hub, or that stay."""
        for name in self.fleet.alive():
            self._send(name, 2)
        self.fleet.run(1.0)
        self.fleet.down.update(dead)
        self.fleet.run(_REPLACED_S)
        self._assert_total(2 * (12 - len(dead)))

    def test_old_totals_are_not_used(self):
        """Guards against totals that nobody renews."""
        self._send("b-003", 5)
        self.fleet.run(_WHOLE_S)
        self.assertEqual(5, self._total("b-004"))
        self.fleet.down.update(self.fleet.alive() - {"b-004"})
        self.fleet.run(AGE_MAX_S + 0.1)
        self.assertEqual(0, self._total("b-004"))

    def test_dead_instance_is_dropped(self):
        """Guards against requests that have ended with their instance."""
        self._send("b-003", 5)
        self.fleet.run(1.0)
        self.fleet.down.add("b-003")
        self.fleet.run(AGE_MAX_S + _WHOLE_S)
        self._assert_total(0)

    @params("a-000", "b-003")
    def test_restarted_instance(self, name):
        """Guards against messages of a new process that count as old."""
        for other in self.fleet.alive():
            self._send(other, 2)
        self.fleet.run(3.0)
        self.fleet.start(name)
        self._send(name, 1)
        self.fleet.run(_REPLACED_S)
        self._assert_total(23)

    def test_zone_that_is_cut_off(self):
        """Guards against a zone without totals, or with those of others."""
        for name in self.fleet.alive():
            self._send(name, 2)
        self.fleet.cut.add(frozenset(_ZONES))
        self.fleet.run(8.0)
        self._assert_total(12)
        self.fleet.cut.clear()
        self.fleet.run(8.0)
        self._assert_total(24)

    def test_lost_messages(self):
        """Guards against counts that stay wrong after lost messages."""
        self.fleet.lost_part = 0.3
        for step in range(20):
            for name in self.fleet.alive():
                self._send(name, step % 5)
            self.fleet.run(0.3)
        self.fleet.lost_part = 0.0
        self.fleet.run(3.0)
        self._assert_total(12 * (19 % 5))

    def test_totals_of_another_instance_are_ignored(self):
        """Guards against totals of an instance that is not the hub."""
        self.fleet.loads["b-004"].receive(
            RegionLoads(
                sender="b-000",
                boot_id="x",
                number=10**6,
                at_s=1.0,
                counts={SERVER: 99},
                is_complete=True,
            )
        )
        self.assertEqual(0, self._total("b-004"))

    def test_single_instance_sends_nothing(self):
        """Guards against messages without a use."""
        fleet = Fleet(zones=("a",), machines=1)
        fleet.shares_loads = True
        fleet.run(5.0)
        self.assertEqual(0, sum(fleet.sent.values()))


class FullServerTest(unittest.TestCase):
    """Selection between the servers of a key by the totals."""

    def setUp(self) -> None:
        self.table = make_table(a1=4, a2=4, b1=4)
        self.selector = make_selector(self.table, "a1", ("a2",))
        for row in self.table.rows.values():
            row.load.apply_total(0, 100.0)

    def _choose(self, key: str = "k"):
        return self.selector.choose(make_request(key), None, set(), 100.0)

    def test_keys_stay_on_their_two_servers(self):
        """Guards against keys that are cold on every server of a region."""
        usual = {f"k{i}": self._preferred(f"k{i}") for i in range(100)}
        for number, row in enumerate(self.table.rows.values()):
            row.load.apply_total(4 + 3 * number % 14, 100.0)
        for key, rows in usual.items():
            self.assertIn(self._choose(key), rows)

    def test_same_requests_are_refused(self):
        """Guards against refusals by the better estimate."""
        for row in self.table.rows.values():
            row.load.in_flight = 24
            row.load.apply_total(0, 100.0)
        self.assertIsInstance(self._choose(), Overloaded)
        for row in self.table.rows.values():
            row.load.in_flight = 7
            row.load.apply_total(99, 100.0)
        self.assertIsInstance(self._choose(), ServerRow)

    def _preferred(self, key: str = "k") -> list[ServerRow]:
        request = make_request(key)
        first = self.selector.choose(request, None, set(), 100.0)
        tried = {first.server.name}
        second = self.selector.choose(request, None, tried, 100.0)
        return [first, second]

    def test_full_server_is_avoided(self):
        """Guards against a send that will be rejected."""
        first, second = self._preferred()
        first.load.apply_total(13, 100.0)
        second.load.apply_total(7, 100.0)
        self.assertIs(second, self._choose())

    def test_keys_stay_while_both_queues_are_long(self):
        """Guards against evenly filled queues, in which all are late."""
        first, second = self._preferred()
        first.load.apply_total(13, 100.0)
        second.load.apply_total(8, 100.0)
        self.assertIs(first, self._choose())

    def test_nothing_is_refused_or_spilled_when_both_are_full(self):
        """Guards against refusals and cold keys by the better estimate."""
        first, second = self._preferred()
        for row in (first, second):
            row.load.apply_total(20, 100.0)
        self.assertIs(first, self._choose())

    def test_shorter_queue_is_preferred(self):
        """Guards against a wait while the key's other server is idle."""
        first, second = self._preferred()
        first.load.apply_total(9, 100.0)
        self.assertIs(second, self._choose())

    def test_slow_server_is_avoided(self):
        """Guards against equal queues that count alike at a slow server."""
        first, second = self._preferred()
        for row in (first, second):
            row.load.apply_total(7, 100.0)
        self.assertIs(first, self._choose())
        first.load.run_ratio = 3.0
        self.assertIs(second, self._choose())


class LoadModelTest(unittest.TestCase):
    """24 instances that send to servers of different speed."""

    @params(
        # (servers, load relative to what they can run, seeds)
        (20, 0.7, (1, 2, 3)),
        (20, 0.85, (1, 2, 3)),
        (20, 1.0, (1, 2, 3)),
        (48, 0.8, (1,)),
    )
    def test_fewer_rejections(self, servers, use, seeds):
        """Guards against totals that cost more than they save.

        Earlier estimates refused more and spread keys to further servers.
        """
        sums = {}
        for exchanges in (False, True):
            models = [
                LoadModel(
                    instances=24,
                    servers=servers,
                    use=use,
                    exchanges=exchanges,
                    seed=seed,
                )
                for seed in seeds
            ]
            for model in models:
                model.run(36.0)
            for name in ("rejected", "refused", "cold", "in_time"):
                count = sum(getattr(model, name) for model in models)
                sums[name, exchanges] = count
        self.assertLess(sums["rejected", True], sums["rejected", False])
        self.assertLessEqual(sums["refused", True], sums["refused", False])
        self.assertLess(sums["cold", True], 1.05 * sums["cold", False])
        self.assertGreaterEqual(sums["in_time", True], sums["in_time", False])
