"""Tests of what servers say of themselves in their responses."""

import asyncio
import collections

from tests.adapter.edgecase import build_request
from tests.adapter.edgecase import call
from tests.adapter.edgecase import EdgeCase
from tests.adapter.edgecase import Response

_REQUESTS_PER_S = 20
# A server that asks for a pause may still get requests for this time.
_NOTICE_S = 0.5
# Requests that may still arrive in the pause.
_ALLOWED_IN_PAUSE = 2


class EdgeServersTest(EdgeCase):
    async def _press(self, prefix: str, seconds: float) -> list[Response]:
        """Send requests at a steady rate, each for another object."""
        calls = []
        for number in range(int(seconds * _REQUESTS_PER_S)):
            path = f"/read/{number % 7}"
            raw = build_request(path, f"{prefix}{number}", key=str(number))
            calls.append(asyncio.create_task(call(self.listen["front"], raw)))
            await asyncio.sleep(1 / _REQUESTS_PER_S)
        return await asyncio.gather(*calls)

    async def test_leaving_server_gets_nothing_new(self) -> None:
        """Guards against sends to a server that said that it leaves.

        The store tells nothing: it is silent, and has a record that says that
        the server is ready.
        """
        await self._start_until_ready()
        await self._press("a", 1.0)
        self.store.faults.silent = True
        leaving = self.upstreams[0]
        leaving.faults.leaving = True
        await self._press("b", 1.0)
        arrived = len(leaving.arrived_at)
        responses = await self._press("c", 2.0)
        self.assertEqual(arrived, len(leaving.arrived_at))
        self.assertEqual({200}, {r.status for r in responses})

    async def test_server_that_starts_again_is_used_again(self) -> None:
        """Guards against a name that stays out of use for ever."""
        await self._start_until_ready()
        for upstream in self.upstreams:
            upstream.faults.leaving = True
        await self._press("a", 1.5)
        for upstream in self.upstreams:
            upstream.faults.leaving = False
            entry = upstream.entry(born=1_700_000_009_000)
            await self.store.put(f"servers/{upstream.name}", entry)
        await asyncio.sleep(1.5)
        responses = await self._press("b", 0.5)
        self.assertEqual({200}, {r.status for r in responses})

    async def test_pause_that_a_server_asks_for_is_kept(self) -> None:
        """Guards against sends to a server that wants none for a while."""
        loop = asyncio.get_running_loop()
        await self._start_until_ready()
        for pause in ("3", "2.5"):
            paused = self.upstreams[0]
            paused.faults.retry_after = pause
            since = len(paused.arrived_at)
            responses = await self._press(f"a{pause}-", 2.4)
            self.assertEqual({200}, {r.status for r in responses})
            times = paused.arrived_at[since:]
            late = [at for at in times if at > times[0] + _NOTICE_S]
            self.assertLessEqual(len(late), _ALLOWED_IN_PAUSE, pause)
            paused.faults.retry_after = None
            since = loop.time()
            await self._press(f"b{pause}-", 2.0)
            self.assertGreater(paused.arrived_at[-1], since)

    async def test_all_servers_ask_for_a_pause(self) -> None:
        """Guards against callers that wait for servers that want nothing."""
        await self._start_until_ready()
        for upstream in self.upstreams:
            upstream.faults.retry_after = "30"
        await self._press("a", 1.0)
        responses = await self._press("b", 0.5)
        counts = collections.Counter(r.status for r in responses)
        self.assertEqual({503}, set(counts))
        for response in responses:
            self.assertIn("Retry-After", response.head)

    async def test_odd_pauses_are_read_as_none(self) -> None:
        """Guards against a server lost for a value that means nothing."""
        await self._start_until_ready()
        values = (
            "0",
            "-1",
            "x",
            "nan",
            "inf",
            "Wed, 21 Oct 2026 07:28:00 GMT",
        )
        for value in values:
            self.upstreams[0].faults.retry_after = value
            await self._press(f"a{value[:3]}", 0.5)
        self.upstreams[0].faults.retry_after = None
        since = len(self.upstreams[0].arrived_at)
        await self._press("b", 1.0)
        self.assertGreater(len(self.upstreams[0].arrived_at), since)
