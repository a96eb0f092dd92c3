"""Tests of an edge instance that reads odd records among those of others."""

import asyncio

from tests.adapter.edgecase import build_request
from tests.adapter.edgecase import call
from tests.adapter.edgecase import EdgeCase
from tests.adapter.examples import server_entry
from tests.adapter.oddrecords import ODD_MACHINES
from tests.adapter.oddrecords import ODD_SERVERS

# A confirmed change is in force everywhere after this time.
_IN_FORCE_S = 3.0
_REQUESTS = 30


class EdgeOddRecordsTest(EdgeCase):
    async def _write_odd_records(self) -> None:
        for name, entry in ODD_SERVERS.items():
            await self.store.put(f"servers/odd-{name}", entry)
        for name, odd in ODD_MACHINES.items():
            await self.store.put(f"chiverun/machines/odd-{name}", odd)
        await self.store.put("op/evacuate/\ud800", b"{}")
        await self.store.put("servers/\ud800", server_entry())

    async def _are_served(self) -> None:
        for number in range(_REQUESTS):
            raw = build_request(f"/read/{number}", f"r{number}")
            response = await call(self.listen["front"], raw)
            self.assertEqual(200, response.status)

    async def _assert_followed(self) -> None:
        """Check that a new state is in force, whose route is new."""
        await self._put_route(9, "/new/")
        async with asyncio.timeout(_IN_FORCE_S):
            raw = build_request("/new/a")
            while (await call(self.listen["front"], raw)).status != 200:
                await asyncio.sleep(0.1)

    async def test_odd_records_change_nothing_for_others(self) -> None:
        """Guards against one record that ends or stalls all who read it."""
        await self._start_until_ready()
        await self._write_odd_records()
        await asyncio.sleep(1.0)
        await self._are_served()
        await self._assert_followed()
        self.assertIsNone(self.process.returncode)

    async def test_odd_records_are_there_at_the_start(self) -> None:
        """Guards against an instance that never becomes ready."""
        await self._write_odd_records()
        await self._start_until_ready()
        await self._are_served()
        await self._assert_followed()
        self.assertIsNone(self.process.returncode)
