"""Asks servers whether they are cold while no news of them comes.

Records tell when a server is cold. A machine that is cut off from the store
and from the other machines gets none, and would take a server for warm until
the cut ends; the server itself can still tell.
"""

import asyncio
from collections.abc import Callable

import logbook

from chiverun.core.catalog import RouteTable
from chiverun.core.ids import ServerName
from chiverun.runtime.selection import Selector
from chiverun.runtime.sending import Sender
from chiverun.runtime.servertable import ServerRow
from chiverun.runtime.servertable import ServerTable

_LOG = logbook.Logger("servers")

# The catalog is confirmed each 1.2 s at the latest while news comes.
STALE_AFTER_S = 1.5
TICK_S = 0.05
# Between two checks a server gets at most a few more than a cold one may be
# sent; a server that did not answer is most likely out of reach.
CHECK_PERIOD_S = 0.2
FAILED_PAUSE_S = 2.0
# Bounds the load of the checks on this machine; the servers that are sent the
# most come first.
CHECKS_MAX = 16
CHECK_TIMEOUT_S = 0.6


class ColdChecks:
    """Checks the servers that get more than a cold one may be sent."""

    def __init__(
        self,
        *,
        table: ServerTable,
        selector: Selector,
        sender: Sender,
        routes: Callable[[], RouteTable | None],
        catalog_age_s: Callable[[], float],
    ) -> None:
        self._table = table
        self._selector = selector
        self._sender = sender
        self._routes = routes
        self._catalog_age_s = catalog_age_s
        self._loop = asyncio.get_running_loop()
        self._running: dict[ServerName, asyncio.Task[None]] = {}
        # When a server may be checked again.
        self._next_at: dict[ServerName, float] = {}

    async def check_forever(self) -> None:
        """Check servers while the catalog is old; never returns."""
        try:
            while True:
                await asyncio.sleep(TICK_S)
                if self._catalog_age_s() > STALE_AFTER_S:
                    self._start_checks()
                else:
                    self._next_at.clear()
        finally:
            for task in self._running.values():
                task.cancel()

    def _start_checks(self) -> None:
        routes = self._routes()
        if routes is None:
            return
        now = self._loop.time()
        rows = [
            row
            for row in self._table.rows.values()
            if row.server.name not in self._running
            and now >= self._next_at.get(row.server.name, now)
            and self._must_check(row, routes, now)
        ]
        rows.sort(key=lambda row: row.cold.recent_sends(now), reverse=True)
        for row in rows[: CHECKS_MAX - len(self._running)]:
            name = row.server.name
            task = self._loop.create_task(self._check(row, routes))
            self._running[name] = task
            task.add_done_callback(lambda _, name=name: self._end(name))

    def _must_check(
        self, row: ServerRow, routes: RouteTable, now: float
    ) -> bool:
        if not row.is_usable or now < max(row.cold_until, row.paused_until):
            return False
        spec = routes.service(row.server.service)
        return self._selector.exceeds_cold_part(row, spec, now)

    def _end(self, name: ServerName) -> None:
        self._running.pop(name, None)

    async def _check(self, row: ServerRow, routes: RouteTable) -> None:
        path = routes.service(row.server.service).health_path
        started_at = self._loop.time()
        name = row.server.name
        known_until = row.cold_until
        self._next_at[name] = started_at + FAILED_PAUSE_S
        result = await self._sender.check_health(row, path, CHECK_TIMEOUT_S)
        now = self._loop.time()
        metadata = result.metadata
        noticed = {
            "server": name,
            "ms": round(1000 * (now - started_at), 1),
            "known_cold_left_ms": round(1000 * max(0.0, known_until - now)),
            "recent_sends": row.cold.recent_sends(now),
            "catalog_age_ms": round(1000 * self._catalog_age_s()),
            **result.connection,
        }
        if metadata is None:
            _LOG.info(
                "health check failed",
                extra={**noticed, "reason": repr(result.end)},
            )
            return
        self._next_at[name] = started_at + CHECK_PERIOD_S
        if metadata.server != name:
            return
        cold_s = min(metadata.cold_s or 0.0, row.cold_limit_s)
        row.cold_time.apply_check(cold_s, sent_at=started_at, now=now)
        if not cold_s:
            return
        _LOG.info(
            "server is cold",
            extra={**noticed, "cold_left_ms": round(1000 * cold_s)},
        )
