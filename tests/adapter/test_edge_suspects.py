"""Tests of requests that end the servers that run them."""

import asyncio
import collections

from chiverun.core.health import EJECT_S
from standins.upstream import Upstream
from tests.adapter.edgecase import build_request
from tests.adapter.edgecase import call
from tests.adapter.edgecase import EdgeCase
from tests.adapter.edgecase import Response
from tests.ports import free_address

_SERVERS = 8
_DEADLY = "/read/deadly"
# A request that has met so many ends is sent to no further server.
_ENDS_MAX = 2


class EdgeSuspectsTest(EdgeCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        for number in range(3, _SERVERS):
            upstream = Upstream(
                name=f"i-{number}",
                service="works",
                address=free_address(),
                zone="musanze-a",
            )
            await upstream.start()
            self.upstreams.append(upstream)

    def _ended(self) -> int:
        return sum(upstream.has_ended for upstream in self.upstreams)

    async def _ask(self, path: str, request_id: str) -> Response:
        raw = build_request(path, request_id, key=path)
        return await call(self.listen["front"], raw)

    async def test_request_that_ends_servers_is_not_sent_on(self) -> None:
        """Guards against a retry that carries the damage to each server.

        Its callers return, each time with another id.
        """
        for upstream in self.upstreams:
            upstream.faults.deadly_target = _DEADLY
        await self._start_until_ready()
        statuses = collections.Counter()
        for number in range(10):
            response = await self._ask(_DEADLY, f"d{number}")
            statuses[response.status] += 1
        self.assertEqual({502: 10}, statuses)
        self.assertLessEqual(self._ended(), _ENDS_MAX)
        self.assertIn("X-Chiverun-Code: 408", response.head)
        others = await asyncio.gather(
            *(self._ask(f"/read/{n}", f"o{n}") for n in range(20))
        )
        self.assertEqual({200}, {r.status for r in others})

    async def test_server_that_starts_again_unseen_ends_twice_at_most(
        self,
    ) -> None:
        """Guards against a request that ends one server again and again.

        The server starts again under its name, and its record stays that of
        the process before.
        """
        server, *others = self.upstreams
        self.upstreams = [server]
        for upstream in others:
            upstream.stop()
        server.faults.deadly_target = _DEADLY
        await self._start_until_ready()
        ends = 0
        for number in range(4):
            response = await self._ask(_DEADLY, f"d{number}")
            self.assertEqual(502, response.status)
            if server.has_ended:
                ends += 1
                server.has_ended = False
                await server.start()
                await asyncio.sleep(EJECT_S + 0.1)
        self.assertEqual(_ENDS_MAX, ends)
        self.assertIn("X-Chiverun-Code: 408", response.head)

    async def test_popular_request_outlives_ordinary_crashes(self) -> None:
        """Guards against a popular object that everyone refuses.

        It is in flight each time servers end, first two of them at once, and
        was answered before.
        """
        for upstream in self.upstreams:
            upstream.faults.delay_s = 0.1
        await self._start_until_ready()
        await self._ask("/read/popular", "first")
        for count in (2, 1, 1, 1):
            await self._crash_under_popular_requests(count)

    async def _crash_under_popular_requests(self, count: int) -> None:
        """End the busiest servers while they run the same request."""
        number = self._ended()
        calls = [
            asyncio.create_task(self._ask("/read/popular", f"p{number}-{i}"))
            for i in range(6)
        ]
        await asyncio.sleep(0.05)
        by_load = sorted(self.upstreams, key=lambda u: -u.open_connections)
        for upstream in by_load[:count]:
            upstream.end()
        await asyncio.gather(*calls)
        response = await self._ask("/read/popular", f"q{number}")
        self.assertEqual(200, response.status)

    async def test_reset_of_a_server_that_lives_is_no_end(self) -> None:
        """Guards against requests refused for connections that break."""
        for upstream in self.upstreams:
            upstream.faults.reset = True
        await self._start_until_ready()
        for number in range(4):
            await self._ask("/read/a", f"r{number}")
        for upstream in self.upstreams:
            upstream.faults.reset = False
        response = await self._ask("/read/a", "last")
        self.assertEqual(200, response.status)
