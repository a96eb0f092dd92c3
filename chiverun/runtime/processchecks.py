"""Finds out which process a connection leads to before it carries a request.

Behind a new connection there may be a process that has just started, and is
cold, under the name of the one that is known.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

import logbook

from chiverun.core.catalog import RouteTable
from chiverun.core.ids import ServerName
from chiverun.integrations.asyncclient import ClientConnection
from chiverun.runtime.coldshares import ColdShares
from chiverun.runtime.headercodec import ResponseMetadata
from chiverun.runtime.serverprocesses import ServerProcesses
from chiverun.runtime.servertable import ServerRow

_LOG = logbook.Logger("servers")

CHECK_TIMEOUT_S = 0.6

# Asks a server how it is on a connection, given the health path and a timeout
# in seconds; None without an answer.
AskHealth = Callable[
    [ServerRow, ClientConnection, str, float],
    Awaitable[ResponseMetadata | None],
]


class ProcessChecks:
    """Admits connections that lead to a process that is known.

    Others are admitted within this machine's part of the rate of a cold
    server, or once the server has been asked.
    """

    def __init__(
        self,
        *,
        shares: ColdShares,
        processes: ServerProcesses,
        routes: Callable[[], RouteTable | None],
    ) -> None:
        self._shares = shares
        self._processes = processes
        self._routes = routes
        self._loop = asyncio.get_running_loop()
        # Whether the check in progress has failed.
        self._running: dict[ServerName, asyncio.Future[bool]] = {}

    async def admit(
        self,
        row: ServerRow,
        connection: ClientConnection,
        ask: AskHealth,
        timeout_s: float,
    ) -> bool:
        """Return whether a request may be sent on a connection now.

        A send that is admitted to a cold server, or to a process that is not
        known, is counted.
        """
        spec = self._routes().service(row.server.service)
        now = self._loop.time()
        if self._is_safe(row, connection, now) and now >= row.cold_until:
            return True
        if self._shares.allows_unknown(row, spec, now):
            row.cold.record_restricted(now)
            return True
        if self._is_safe(row, connection, now):
            return False
        try:
            is_known = await self._check(
                row, connection, ask, min(timeout_s, CHECK_TIMEOUT_S)
            )
        except TimeoutError:
            return False
        # A cold server has been sent this machine's part already.
        return is_known and self._loop.time() >= row.cold_until

    @staticmethod
    def _is_safe(
        row: ServerRow, connection: ClientConnection, now: float
    ) -> bool:
        return row.process.is_safe(
            connection.opened_at, now, cold_start_s=row.cold_start_s
        )

    async def _check(
        self,
        row: ServerRow,
        connection: ClientConnection,
        ask: AskHealth,
        timeout_s: float,
    ) -> bool:
        """Ask the server, once for all that wait; return whether it is known.

        A check covers the connections that were open when it was sent.
        """
        name = row.server.name
        deadline = self._loop.time() + timeout_s
        async with asyncio.timeout(timeout_s):
            while (running := self._running.get(name)) is not None:
                if await asyncio.shield(running):
                    return False
                if self._is_safe(row, connection, self._loop.time()):
                    return True
        running = self._running[name] = self._loop.create_future()
        has_failed = False
        try:
            is_answered = await self._ask(
                row, connection, ask, deadline - self._loop.time()
            )
            has_failed = not is_answered
        finally:
            del self._running[name]
            # After a cancellation, one of those that wait asks again.
            running.set_result(has_failed)
        return is_answered and connection.reusable

    async def _ask(
        self,
        row: ServerRow,
        connection: ClientConnection,
        ask: AskHealth,
        timeout_s: float,
    ) -> bool:
        path = self._routes().service(row.server.service).health_path
        sent_at = self._loop.time()
        health = await ask(row, connection, path, timeout_s)
        extra = {
            "server": row.server.name,
            "recent_sends": row.recent_sends.count(sent_at),
            "ms": round(1000 * (self._loop.time() - sent_at), 1),
        }
        if health is None or not _is_of_server(health, row):
            _LOG.info("process of a server is not known", extra=extra)
            return False
        self._processes.record_health(
            row, health, opened_at=connection.opened_at, sent_at=sent_at
        )
        _LOG.info(
            "process of a server is known",
            extra={**extra, "cold_ms": round(1000 * (health.cold_s or 0.0))},
        )
        return True


def _is_of_server(health: ResponseMetadata, row: ServerRow) -> bool:
    """Return whether the server has said how it is.

    One that does not name itself counts as warm if it states no cold time.
    """
    if health.not_run:
        return False
    return health.server is None or health.server == row.server.name
