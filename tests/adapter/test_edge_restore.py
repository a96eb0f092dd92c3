"""Tests of an edge instance whose store is restored from an older copy."""

import asyncio

from standins.metastore import StoreCopy
from tests.adapter.edgecase import build_request
from tests.adapter.edgecase import call
from tests.adapter.edgecase import EdgeCase

# A confirmed change is in force everywhere after this time.
IN_FORCE_S = 3.0


class EdgeRestoreTest(EdgeCase):
    async def _write(self, version: int) -> None:
        await self._put_route(version, f"/v{version}/")

    async def _is_in_force(self, version: int) -> bool:
        raw = build_request(f"/v{version}/a")
        return (await call(self.listen["front"], raw)).status == 200

    async def _wait_for(self, version: int) -> None:
        async with asyncio.timeout(IN_FORCE_S):
            while not await self._is_in_force(version):
                await asyncio.sleep(0.1)

    async def _copy(self) -> StoreCopy:
        """Return a copy in which the instance is registered."""
        await self._wait_until(self._is_registered, "registered")
        return self.store.copy()

    async def _is_registered(self) -> bool:
        return any(key.startswith("chiverun/") for key in self.store.items)

    async def _write_others(self, count: int) -> None:
        """Let servers write their records again, `count` times in all."""
        for number in range(count):
            upstream = self.upstreams[number % len(self.upstreams)]
            entry = upstream.entry(sequence=100 + number)
            await self.store.put(f"servers/{upstream.name}", entry)

    async def _check_restorations(self, times: int, writes: int) -> None:
        """Restore the store again and again.

        After each time `writes` records of servers and a desired state are
        written.
        """
        await self._start_until_ready()
        older = await self._copy()
        for version in (8, 10, 11):
            await self._write(version)
            await self._wait_for(version)
        for number in range(times):
            self.store.restore(older)
            # The operator writes again what was lost.
            await self._write(11 + 2 * number)
            await self._write_others(writes)
            await self._write(13 + 2 * number)
            await self._wait_for(13 + 2 * number)

    async def test_state_after_a_restoration_is_in_force(self) -> None:
        """Guards against a change that its revision makes look old."""
        await self._check_restorations(1, 0)

    async def test_state_after_two_restorations_is_in_force(self) -> None:
        """Guards against a machine that follows only the first one."""
        await self._check_restorations(2, 0)

    async def test_state_written_among_others_is_in_force(self) -> None:
        """Guards against changes skipped as revisions are given out again."""
        await self._check_restorations(2, 9)

    async def test_older_copy_is_not_in_force(self) -> None:
        """Guards against a configuration that goes back."""
        await self._start_until_ready()
        older = await self._copy()
        await self._write(8)
        await self._wait_for(8)
        self.store.restore(older)
        calls = self.store.calls
        await self._wait_until(
            lambda: self._has_called(calls + 3), "the copy has been read"
        )
        self.assertTrue(await self._is_in_force(8))

    async def _has_called(self, calls: int) -> bool:
        return self.store.calls >= calls
