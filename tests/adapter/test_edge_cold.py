"""Tests of an edge instance that cannot hear that a server is cold."""

import asyncio

from tests.adapter.edgecase import build_request
from tests.adapter.edgecase import call
from tests.adapter.edgecase import EdgeCase

# What the platform allows a cold server in any second, as set for it in the
# desired state and the settings.
_ALLOWED = 5.8 * 1.5 + 5
_REQUESTS_PER_S = 40
_OBSERVED_S = 3.0
_SILENCE_S = 3.0


class EdgeColdTest(EdgeCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        for upstream in self.upstreams[1:]:
            upstream.stop()
        del self.upstreams[1:]

    async def _press(self, prefix: str, seconds: float) -> None:
        """Send requests at a steady rate and wait for their responses."""
        calls = []
        for number in range(int(seconds * _REQUESTS_PER_S)):
            raw = build_request("/read/a", f"{prefix}{number}")
            calls.append(asyncio.create_task(call(self.listen["front"], raw)))
            await asyncio.sleep(1 / _REQUESTS_PER_S)
        await asyncio.gather(*calls)

    def _most_in_a_second(self, since: float) -> int:
        times = [at for at in self.upstreams[0].arrived_at if at >= since]
        return max(sum(at <= t < at + 1.0 for t in times) for at in times)

    async def test_cold_server_is_spared_while_the_store_is_silent(
        self,
    ) -> None:
        """Guards against a flooded server of whose state no news comes.

        This instance hears neither the store nor any other; only the server
        itself can tell that it has become cold.
        """
        loop = asyncio.get_running_loop()
        await self._start_until_ready()
        await self._press("a", 1.0)
        self.store.faults.silent = True
        await self._press("b", _SILENCE_S)
        self.assertGreater(
            self._most_in_a_second(loop.time() - _SILENCE_S), _ALLOWED
        )
        self.upstreams[0].faults.cold_ms = 60_000
        since = loop.time()
        await self._press("c", _OBSERVED_S)
        self.assertLessEqual(self._most_in_a_second(since), _ALLOWED)

    async def test_one_health_check_of_a_process_while_news_comes(
        self,
    ) -> None:
        """Guards against checks that load servers without need.

        A process is asked once, when it gets more than a cold one may.
        """
        await self._start_until_ready()
        await self._press("a", 3.0)
        self.assertEqual(1, self.upstreams[0].health_checks)
