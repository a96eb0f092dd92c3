"""Tests of checks of servers while no news of them comes."""

import asyncio
import unittest

import logbook

from chiverun.core.catalog import ClientLimits
from chiverun.core.catalog import DesiredState
from chiverun.core.catalog import RouteTable
from chiverun.core.catalog import ServiceSpec
from chiverun.core.edgesettings import EdgeBounds
from chiverun.core.exchange import Answered
from chiverun.core.exchange import TimedOut
from chiverun.platform.headercodec import PlatformHeaderCodec
from chiverun.runtime.coldchecks import CHECK_TIMEOUT_S
from chiverun.runtime.coldchecks import ColdChecks
from chiverun.runtime.selection import Selector
from chiverun.runtime.sending import SendResult
from chiverun.runtime.servertable import ServerTable
from tests.records import make_row
from tests.records import make_server

_SILENT = ("s1", "s2", "s3", "s4")
_COLD = "s5"
_SPEC = ServiceSpec(name="mill", cold_per_s=5.8)
_ROUTES = RouteTable.of(
    DesiredState(
        version=1, routes=(), services=(_SPEC,), limits=ClientLimits()
    )
)
# A cold server must be known by then: four times its rate has arrived.
_KNOWN_S = 0.3
_COLD_LINE = "server is cold"
_FAILED_LINE = "health check failed"


class _Sender:
    """Servers of which some never answer, and one is cold."""

    def __init__(self) -> None:
        self.checked: list[str] = []

    async def check_health(self, row, path, timeout_s) -> SendResult:
        self.checked.append(row.server.name)
        if row.server.name in _SILENT:
            await asyncio.sleep(timeout_s)
            return SendResult(end=TimedOut())
        headers = (
            ("X-Chiverun-Instance-Id", row.server.name),
            ("X-Chiverun-Cold-Ms", "3000"),
        )
        return SendResult(
            end=Answered(status=200, headers=headers, body=b""),
            metadata=PlatformHeaderCodec().response_metadata(200, headers),
            connection={"connection_age_ms": 0, "connection_exchanges": 0},
        )


class ColdChecksTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        handler = logbook.NullHandler()
        handler.push_application()
        self.addCleanup(handler.pop_application)
        self.loop = asyncio.get_running_loop()
        self.table = ServerTable(machine="m")
        for name in (*_SILENT, _COLD):
            self.table.rows[name] = make_row(make_server(name))
        self.sender = _Sender()
        self.age_s = 10.0
        self.checks = ColdChecks(
            table=self.table,
            selector=Selector(
                table=self.table,
                region="r",
                zone="z",
                regions={"z": "r"},
                bounds=EdgeBounds(),
                machine="m",
                fleet=lambda: [],
                region_zones=lambda: [],
            ),
            sender=self.sender,
            routes=lambda: _ROUTES,
            catalog_age_s=lambda: self.age_s,
        )

    async def _run(self, seconds: float, per_s: float) -> None:
        """Check while all servers are sent requests."""
        task = asyncio.create_task(self.checks.check_forever())
        until = self.loop.time() + seconds
        while self.loop.time() < until:
            for row in self.table.rows.values():
                row.cold.record(self.loop.time())
            await asyncio.sleep(1 / per_s)
        task.cancel()

    async def test_silent_servers_do_not_delay_the_others(self) -> None:
        """Guards against a cold server known late beside unreachable ones.

        Most servers are out of reach in a cut, and the checks of them wait.
        """
        await self._run(_KNOWN_S, 100.0)
        row = self.table.rows[_COLD]
        self.assertGreater(row.cold_until, self.loop.time())

    async def test_log_tells_what_was_known_before_the_check(self) -> None:
        """Guards against logs that hide by what a new start was noticed."""
        with logbook.TestHandler().applicationbound() as logs:
            await self._run(1.0, 100.0)
        cold = [x.extra for x in logs.records if x.message == _COLD_LINE]
        failed = [x.extra for x in logs.records if x.message == _FAILED_LINE]
        self.assertEqual(0, cold[0]["known_cold_left_ms"])
        self.assertEqual(0, cold[0]["connection_exchanges"])
        self.assertEqual(10_000, cold[0]["catalog_age_ms"])
        self.assertEqual(set(_SILENT), {extra["server"] for extra in failed})
        self.assertIn("TimedOut", failed[0]["reason"])
        self.assertGreaterEqual(failed[0]["ms"], 1000 * CHECK_TIMEOUT_S)

    async def test_silent_servers_are_checked_seldom(self) -> None:
        """Guards against connections to servers that cannot be reached."""
        await self._run(2.0, 100.0)
        counts = [self.sender.checked.count(name) for name in _SILENT]
        self.assertLessEqual(max(counts), 2)

    async def test_nothing_is_checked_while_news_comes(self) -> None:
        """Guards against checks that load servers without need."""
        self.age_s = 1.0
        await self._run(0.5, 100.0)
        self.assertEqual([], self.sender.checked)
