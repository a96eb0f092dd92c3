"""Asks servers whether they are cold while no news of them comes.

Records tell when a server is cold. A machine that is cut off from the store
and from the other machines gets none, and would take a server for warm until
the cut ends; the server itself can still tell.
"""

import asyncio
from collections.abc import Callable

import logbook

from chiverun.core.catalog import RouteTable
from chiverun.core.exchange import ExchangeEnd
from chiverun.runtime.selection import Selector
from chiverun.runtime.sending import Sender
from chiverun.runtime.servertable import ServerRow
from chiverun.runtime.servertable import ServerTable

_LOG = logbook.Logger("servers")

# The catalog is confirmed each 1.2 s at the latest while news comes.
STALE_AFTER_S = 1.5
CHECK_PERIOD_S = 0.4
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

    async def check_forever(self) -> None:
        """Check servers while the catalog is old; never returns."""
        while True:
            await asyncio.sleep(CHECK_PERIOD_S)
            if self._catalog_age_s() > STALE_AFTER_S:
                await self._check_all()

    async def _check_all(self) -> None:
        routes = self._routes()
        if routes is None:
            return
        now = self._loop.time()
        rows = [
            row
            for row in self._table.rows.values()
            if row.is_usable
            and now >= max(row.cold_until, row.paused_until)
            and self._selector.exceeds_cold_part(
                row, routes.service(row.server.service), now
            )
        ]
        rows.sort(key=lambda row: row.cold.recent_sends(now), reverse=True)
        rows = rows[:CHECKS_MAX]
        results = await asyncio.gather(
            *(self._check(row, routes) for row in rows),
            return_exceptions=True,
        )
        failed = {
            row.server.name: repr(result)
            for row, result in zip(rows, results, strict=True)
            if result is not None
        }
        if failed:
            _LOG.warning(
                "health checks failed",
                extra={"checked": len(rows), "failed": failed},
            )

    async def _check(
        self, row: ServerRow, routes: RouteTable
    ) -> ExchangeEnd | None:
        """Check a server; return how the check ended if it failed."""
        path = routes.service(row.server.service).health_path
        result = await self._sender.check_health(row, path, CHECK_TIMEOUT_S)
        metadata = result.metadata
        if metadata is None:
            return result.end
        if metadata.server != row.server.name or not metadata.cold_s:
            return None
        now = self._loop.time()
        row.cold_until = max(row.cold_until, now + metadata.cold_s)
        _LOG.info(
            "server is cold",
            extra={
                "server": row.server.name,
                "cold_left_ms": round(1000 * metadata.cold_s),
                "recent_sends": row.cold.recent_sends(now),
                "catalog_age_ms": round(1000 * self._catalog_age_s()),
            },
        )
        return None
