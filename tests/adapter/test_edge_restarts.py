"""Tests of servers that start again under the id that they had.

Each service has one server. All of them are sent requests at a steady rate,
several at once, and each restarts in another way. A process that has just
started is cold: from all instances together it may get only so much in any
second, whatever the store tells of it.
"""

import asyncio
import contextlib
import dataclasses
import itertools
import json
import os
import pathlib
import signal
import sys
from collections.abc import AsyncIterator
from collections.abc import Iterable

from standins.metastore import Faults
from standins.upstream import RestartKind
from standins.upstream import Upstream
from standins.upstream import UpstreamProcess
from tests.adapter.edgecase import build_request
from tests.adapter.edgecase import call
from tests.adapter.edgecase import EdgeCase
from tests.adapter.examples import desired_state
from tests.ports import free_address

_ROOT = pathlib.Path(__file__).parent.parent.parent
# What the platform allows cold processes of one name in any second, as set in
# the desired state and the settings.
_ALLOWED = 5.8 * 1.5 + 5
# Requests to each server: as many at once, each such period.
_BURST = 4
_BURST_PERIOD_S = 0.1
_RUN_S = 0.04
_COLD_S = 2.0
# How long the servers are sent requests before the store fails, and from then
# until the restarts: checks of servers begin after 1.5 s without news.
_BEFORE_S = 0.5
_STALE_S = 2.4
# How long they are sent requests when all are warm again.
_WARM_S = 1.4
_RECORD_LATE_S = 1.5
# Of each of the store's answers: between two news up to twice as long passes.
_STORE_DELAY_S = 1.0
_PAUSE_S = 1.0
# Into the pause of an instance the restarts come after this time.
_INTO_PAUSE_S = 0.2
# Fewest requests that must reach the new process while it is cold, of about
# 20 that it may get.
_COLD_MIN = 5
# How soon two instances of a zone know each other's records.
_KNOWN_S = 1.5
_BORN_MS = 1_700_000_000_000


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Restart:
    """How a server restarts, `times` times `period_s` apart."""

    down_s: float
    kind: RestartKind = RestartKind.RESET
    times: int = 1
    period_s: float = 0.5


_RESTARTS = {
    "down for 0 s": _Restart(down_s=0.0),
    "down for 0.1 s": _Restart(down_s=0.1),
    "down for 0.7 s": _Restart(down_s=0.7),
    "down for 2 s": _Restart(down_s=2.0),
    "silent end": _Restart(down_s=0.1, kind=RestartKind.SILENT),
    "twice within a second": _Restart(down_s=0.1, times=2),
}


class EdgeRestartsTest(EdgeCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        for upstream in self.upstreams:
            upstream.stop()
        self.upstreams = [
            Upstream(
                name=f"i-{number}",
                service=f"works-{number}",
                address=free_address(),
                zone="musanze-a",
            )
            for number in range(len(_RESTARTS))
        ]
        for upstream in self.upstreams:
            upstream.faults.delay_s = _RUN_S
            await upstream.start()
        self.fronts = [self.listen["front"]]

    async def _put_state(self, version: int = 7, **action) -> None:
        """Write a desired state with a service and a route for each server."""
        body = desired_state(version)
        (cluster,) = body["clusters"]
        rule = body["listeners"][0]["rules"][1]
        body["clusters"] = [
            {**cluster, "name": upstream.service}
            for upstream in self.upstreams
        ]
        body["listeners"][0]["rules"] = [
            {
                **rule,
                "name": f"r-{upstream.service}",
                "match": {"prefix": f"/{upstream.service}/"},
                "action": {
                    **rule["action"],
                    "split": [{"service": upstream.service, "weight": 100}],
                },
            }
            for upstream in self.upstreams
        ]
        await self.store.put("op/config", json.dumps(body).encode())

    async def _put_record(
        self, upstream: Upstream, process: UpstreamProcess
    ) -> None:
        """Write the record of a server's present process."""
        left_s = process.cold_until - asyncio.get_running_loop().time()
        number = upstream.processes.index(process)
        entry = upstream.entry(
            born=_BORN_MS + 1000 * number,
            coldLeft=f"{max(0, round(1000 * left_s))}ms",
            sequence=1,
        )
        await self.store.put(f"servers/{upstream.name}", entry)

    async def _start_second(self) -> None:
        """Start another instance of the zone; both know each other then."""
        listen = {name: free_address() for name in self.listen}
        metrics = free_address()
        settings = {
            **self.settings,
            "nodeName": "front-musanze-a-2",
            "listen": listen,
            "innerPorts": [0, int(metrics.rpartition(":")[2])],
        }
        path = pathlib.Path(self.folder.name) / "second.json"
        path.write_text(json.dumps(settings))
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "chiverun",
            "platform",
            "serve",
            cwd=_ROOT,
            env={**os.environ, "CHIVERUN_CONFIG": str(path)},
            stdout=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.DEVNULL,
        )

        async def stop() -> None:
            process.kill()
            await process.wait()

        self.addAsyncCleanup(stop)
        await self._wait_until(self._are_registered, "both are registered")
        await asyncio.sleep(_KNOWN_S)
        self.fronts.append(listen["front"])

    async def _are_registered(self) -> bool:
        keys = [key for key in self.store.items if key.startswith("chiverun/")]
        return len(keys) == 1 + len(self.fronts)

    @contextlib.asynccontextmanager
    async def _pressed(self) -> AsyncIterator[None]:
        """Send requests to all servers, in turn to each instance."""
        presses = [
            asyncio.create_task(self._press(upstream))
            for upstream in self.upstreams
        ]
        try:
            yield
        finally:
            for press in presses:
                press.cancel()
            await asyncio.gather(*presses, return_exceptions=True)

    async def _press(self, upstream: Upstream) -> None:
        loop = asyncio.get_running_loop()
        fronts = itertools.cycle(self.fronts)
        due_at = loop.time()
        async with asyncio.TaskGroup() as calls:
            for number in itertools.count():
                for part in range(_BURST):
                    name = f"{upstream.name}-{number}-{part}"
                    raw = build_request(f"/{upstream.service}/{name}", name)
                    calls.create_task(call(next(fronts), raw))
                due_at += _BURST_PERIOD_S
                await asyncio.sleep(max(0.0, due_at - loop.time()))

    async def _restart_all(self, record_late_s: float | None) -> None:
        """Let each server restart, and wait until all are warm again."""
        async with asyncio.TaskGroup() as group:
            for upstream, restart in zip(
                self.upstreams, _RESTARTS.values(), strict=True
            ):
                group.create_task(
                    self._restart(upstream, restart, record_late_s)
                )

    async def _restart(
        self,
        upstream: Upstream,
        restart: _Restart,
        record_late_s: float | None,
    ) -> None:
        """Let a server restart; its record never comes without a time."""
        for number in range(restart.times):
            if number:
                await asyncio.sleep(restart.period_s)
            process = await upstream.restart(
                down_s=restart.down_s, cold_s=_COLD_S, kind=restart.kind
            )
        if record_late_s is not None:
            await asyncio.sleep(record_late_s)
            await self._put_record(upstream, process)
        loop = asyncio.get_running_loop()
        await asyncio.sleep(process.cold_until - loop.time())

    def _check(self) -> None:
        """Check what the processes got while cold, and after that."""
        cold, warm, reached = {}, {}, {}
        for upstream, name in zip(self.upstreams, _RESTARTS, strict=True):
            processes = upstream.processes
            arrivals = [p.cold_arrivals for p in processes]
            cold[name] = _most_in_a_second(itertools.chain(*arrivals))
            last = processes[-1]
            warm[name] = _most_in_a_second(
                at for at in last.arrived_at if at >= last.cold_until
            )
            reached[name] = len(arrivals[-1])
        starved = {name: n for name, n in reached.items() if n < _COLD_MIN}
        self.assertEqual({}, starved, f"not used while cold: {reached}")
        unused = {name: n for name, n in warm.items() if n <= _ALLOWED}
        self.assertEqual({}, unused, f"not used again once warm: {warm}")
        flooded = {name: n for name, n in cold.items() if n > _ALLOWED}
        self.assertEqual({}, flooded, f"most in a second while cold: {cold}")

    async def _check_restarts(
        self,
        faults: Faults,
        *,
        record_late_s: float | None = None,
        warm_s: float = _WARM_S,
    ) -> None:
        async with self._pressed():
            await asyncio.sleep(_BEFORE_S)
            self.store.faults = faults
            await asyncio.sleep(_STALE_S)
            await self._restart_all(record_late_s)
            await asyncio.sleep(warm_s)
        self._check()

    async def test_restarts_while_the_store_is_silent(self) -> None:
        """Guards against floods of a new process that no record tells of."""
        await self._start_until_ready()
        await self._check_restarts(Faults(silent=True))

    async def test_restarts_while_the_store_resets_connections(self) -> None:
        """Guards against floods while calls of the store fail at once."""
        await self._start_until_ready()
        await self._check_restarts(Faults(reset=True))

    async def test_restarts_while_the_store_is_slow(self) -> None:
        """Guards against floods while a slow store looks like a current one.

        The record of the new process states its cold time from when it is
        read, which ends later than the process is warm.
        """
        await self._start_until_ready()
        await self._check_restarts(
            Faults(delay_s=_STORE_DELAY_S),
            record_late_s=0.0,
            warm_s=_WARM_S + 3 * _STORE_DELAY_S,
        )

    async def test_restarts_whose_records_come_late(self) -> None:
        """Guards against floods while the store is healthy.

        Its news are current, and nothing makes an instance ask the servers.
        """
        await self._start_until_ready()
        await self._check_restarts(Faults(), record_late_s=_RECORD_LATE_S)

    async def test_restarts_while_an_instance_is_paused(self) -> None:
        """Guards against sends on what a paused instance took for true.

        It continues with all requests that have come meanwhile.
        """
        await self._start_until_ready()
        async with self._pressed():
            await asyncio.sleep(_BEFORE_S)
            self.store.faults = Faults(silent=True)
            await asyncio.sleep(_STALE_S)
            self.process.send_signal(signal.SIGSTOP)
            loop = asyncio.get_running_loop()
            loop.call_later(_PAUSE_S, self.process.send_signal, signal.SIGCONT)
            await asyncio.sleep(_INTO_PAUSE_S)
            await self._restart_all(None)
            await asyncio.sleep(_WARM_S)
        self._check()

    async def test_restarts_of_servers_of_two_instances(self) -> None:
        """Guards against a bound that each instance keeps for itself."""
        await self._start_until_ready()
        await self._start_second()
        await self._check_restarts(Faults(silent=True))


def _most_in_a_second(arrivals: Iterable[float]) -> int:
    """Return the most arrivals in any second."""
    times = sorted(arrivals)
    return max(
        (sum(at <= t < at + 1.0 for t in times) for at in times), default=0
    )
