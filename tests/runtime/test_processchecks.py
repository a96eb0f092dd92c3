"""Tests of checks before a new connection carries a request."""

import asyncio
import types
import unittest

from chiverun.core.catalog import ServiceSpec
from chiverun.platform.headercodec import PlatformHeaderCodec
from chiverun.runtime.headercodec import ResponseMetadata
from chiverun.runtime.processchecks import ProcessChecks
from chiverun.runtime.serverprocesses import ServerProcesses
from chiverun.runtime.servertable import ServerTable
from tests.records import make_row
from tests.records import make_server

_SPEC = ServiceSpec(name="mill", cold_s=3.0, cold_per_s=5.8)
_WAIT_S = 0.05
_TIMEOUT_S = 5.0


class _Shares:
    """Shares without any part, as of another zone's machine."""

    def allows_unknown(self, row, spec, now) -> bool:
        return False


def _health(**headers: str) -> ResponseMetadata:
    rows = [(f"X-Chiverun-{name}", value) for name, value in headers.items()]
    rows = [(name.replace("_", "-"), value) for name, value in rows]
    return PlatformHeaderCodec().response_metadata(200, rows)


class ProcessChecksTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.row = make_row(make_server())
        table = types.SimpleNamespace(
            me=types.SimpleNamespace(name="m"),
            limit_targets=lambda now, rng: [],
        )
        self.checks = ProcessChecks(
            shares=_Shares(),
            processes=ServerProcesses(
                servers=ServerTable(machine="m"), table=table, peers=None
            ),
            routes=lambda: types.SimpleNamespace(service=lambda name: _SPEC),
        )
        self.asked = 0
        self.answer = _health(Instance_Id="s1")

    async def _ask(self, row, connection, path, timeout_s):
        self.asked += 1
        await asyncio.sleep(_WAIT_S)
        return self.answer

    def _admit(self, *, age_s: float = 0.0) -> asyncio.Task[bool]:
        """Admit a connection of that age."""
        connection = types.SimpleNamespace(
            opened_at=self.loop.time() - age_s, reusable=True
        )
        return asyncio.create_task(
            self.checks.admit(self.row, connection, self._ask, _TIMEOUT_S)
        )

    async def test_waiting_requests_share_a_check(self) -> None:
        """Guards against a check for each of many requests at once."""
        tasks = [self._admit() for _ in range(8)]
        self.assertEqual({True}, set(await asyncio.gather(*tasks)))
        self.assertEqual(1, self.asked)

    async def test_check_of_a_client_that_leaves_is_repeated(self) -> None:
        """Guards against requests that fail with another one's client."""
        first = self._admit()
        others = [self._admit() for _ in range(3)]
        await asyncio.sleep(_WAIT_S / 2)
        first.cancel()
        self.assertEqual({True}, set(await asyncio.gather(*others)))
        self.assertEqual(2, self.asked)

    async def test_answers_that_admit(self) -> None:
        """Guards against sends to a process that is cold or not known."""
        for headers, is_admitted in (
            ({"Instance_Id": "s1"}, True),
            ({}, True),
            ({"Instance_Id": "s1", "Cold_Ms": "2000"}, False),
            ({"Instance_Id": "s2"}, False),
            ({"Not_Run": "full"}, False),
        ):
            with self.subTest(headers):
                self.row = make_row(make_server())
                self.answer = _health(**headers)
                self.assertEqual(is_admitted, await self._admit())

    async def test_old_connection_needs_no_check(self) -> None:
        """Guards against checks of processes that must be warm."""
        self.assertTrue(await self._admit(age_s=_SPEC.cold_s * 4))
        self.assertEqual(0, self.asked)
