"""Tests of the table of backend servers."""

import dataclasses
import unittest
from unittest import mock

import msgspec
from nose2.tools import params

from chiverun.core.catalog import ClientLimits
from chiverun.core.catalog import DesiredState
from chiverun.core.catalog import RouteTable
from chiverun.core.catalog import Server
from chiverun.core.serverlimit import LIMIT_MEMORY_S
from chiverun.runtime.servertable import ServerTable
from tests.records import make_server

_ROUTES = RouteTable.of(
    DesiredState(version=1, routes=(), services=(), limits=ClientLimits())
)
_SERVER = make_server(started_ms=7)


@dataclasses.dataclass(kw_only=True)
class _Records:
    """The part of a replica that the table reads."""

    server: Server | None

    def servers(self) -> list[tuple[Server, float]]:
        return [] if self.server is None else [(self.server, 0.0)]

    def evacuated(self) -> frozenset:
        return frozenset()


class ServerTableTest(unittest.TestCase):
    def setUp(self) -> None:
        self.table = ServerTable(machine="m")

    def _sync(self, server: Server | None, now: float) -> None:
        records = _Records(server=server)
        self.table.sync(records, _ROUTES, {"z": "r"}, now)

    @params(
        # The server that comes back, after which time, and its limit then.
        (_SERVER, 3.0, 5.0),
        (msgspec.structs.replace(_SERVER, slots=5), 3.0, 5.0),
        (msgspec.structs.replace(_SERVER, started_ms=8), 3.0, None),
        (_SERVER, LIMIT_MEMORY_S + 1.0, None),
    )
    def test_server_that_is_listed_again_has_its_limit(
        self, server, away_s, per_s
    ) -> None:
        """Guards against machines that all forget a limit at once.

        Records lapse while the store is down and return with it.
        """
        self._sync(_SERVER, 10.0)
        row = self.table.rows["s1"]
        row.limit.apply(5.0, sent_at=10.0, now=10.0)
        row.bucket.set_rate(1.0, 10.0)
        self._sync(None, 10.5)
        self.assertEqual({}, self.table.rows)
        now = 10.0 + away_s
        self._sync(server, now)
        row = self.table.rows["s1"]
        self.assertEqual(per_s, row.limit.in_force(now))
        self.assertEqual(server, row.server)

    @params((7, False), (8, True))
    def test_leaving_server_is_used_again_only_after_a_start(
        self, started_ms, is_usable
    ) -> None:
        """Guards against a record that hides that a server is leaving.

        It has lapsed and returned, and says that the server is ready.
        """
        self._sync(_SERVER, 10.0)
        self.table.rows["s1"].leaving_since = 10.0
        self._sync(_SERVER, 10.2)
        self.assertFalse(self.table.rows["s1"].is_usable)
        self._sync(None, 10.5)
        server = msgspec.structs.replace(_SERVER, started_ms=started_ms)
        self._sync(server, 12.0)
        self.assertEqual(is_usable, self.table.rows["s1"].is_usable)

    @params("restricted", "pending")
    def test_lapsed_record_keeps_the_window_of_sends(self, sends) -> None:
        """Guards against a second part for a server whose record returns.

        A send that was chosen earlier counts when it is made.
        """
        self._sync(_SERVER, 10.0)
        row = self.table.rows["s1"]
        if sends == "restricted":
            row.cold.record_restricted(11.0)
        else:
            row.begin_send(1, 10.0)
        self._sync(None, 11.5)
        self._sync(_SERVER, 11.6)
        self.assertIs(row, self.table.rows["s1"])

    def test_connections_of_an_ended_process_are_not_current(self) -> None:
        """Guards against a late response that stands for a new process."""
        self._sync(_SERVER, 10.0)
        row = self.table.rows["s1"]
        row.close_opened_before(12.0)
        row.close_opened_before(11.0)
        for opened_at, is_current in ((11.5, False), (12.5, True)):
            connection = mock.Mock(opened_at=opened_at)
            self.assertEqual(is_current, row.is_current(connection))
