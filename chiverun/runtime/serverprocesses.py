"""Notices that another process answers under a server's name.

Whichever sign comes first counts, and the other machines are told at once. No
send depends on that message: a machine that misses it asks the server itself
before it uses a new connection.
"""

import asyncio
import random

import logbook

from chiverun.core import edgemessages
from chiverun.core.edgemessages import ProcessReport
from chiverun.core.peertable import PeerTable
from chiverun.core.serverprocess import ProcessSign
from chiverun.core.statednumbers import COLD_LEFT_S
from chiverun.integrations.peers import ZmqPeers
from chiverun.runtime.headercodec import ResponseMetadata
from chiverun.runtime.servertable import ServerRow
from chiverun.runtime.servertable import ServerTable

_LOG = logbook.Logger("servers")

# Signs of one server within this time are of the same start: machines see it
# at different moments.
SAME_START_S = 1.0
# A cold time that ends later than the known one by no more than this is the
# same: responses take different times.
COLD_MARGIN_S = 0.5


class ServerProcesses:
    """Applies signs of another process, and tells and hears of them."""

    def __init__(
        self, *, servers: ServerTable, table: PeerTable, peers: ZmqPeers
    ) -> None:
        self._servers = servers
        self._table = table
        self._peers = peers
        self._loop = asyncio.get_running_loop()
        self._rng = random.Random(table.me.name)

    def record_refusal(self, row: ServerRow) -> None:
        """Apply that nothing listens at a server's address."""
        process = row.process
        if process.known_at == process.noticed_at == float("-inf"):
            # Nothing has been sent to this process.
            process.notice_end(self._loop.time())
        elif process.known_at > float("-inf"):
            self._notice_end(row, self._loop.time(), "own connection")
            self._tell(row, None, 0.0)

    def record_health(
        self,
        row: ServerRow,
        health: ResponseMetadata,
        *,
        opened_at: float,
        sent_at: float,
    ) -> None:
        """Apply a server's health response; times are of its connection."""
        now = self._loop.time()
        is_covered = row.process.covers(opened_at)
        cold_s = min(health.cold_s or 0.0, row.cold_limit_s)
        is_news = now + cold_s > max(now, row.cold_until) + COLD_MARGIN_S
        row.cold_time.apply_check(cold_s, sent_at=sent_at, now=now)
        row.process.confirm(sent_at)
        if is_covered or not is_news:
            return
        self._notice_start(row, opened_at, cold_s, "own health check")
        self._tell(row, cold_s, 0.0)

    def receive(self, report: ProcessReport) -> None:
        """Apply what another machine tells; pass on what is news."""
        row = self._servers.rows.get(report.server)
        if row is None or row.server.started_ms != report.started_ms:
            # The record of the process that the report is about has come, or
            # will come and tell more.
            return
        now = self._loop.time()
        seen_at = now - report.age_s
        source = f"peer {report.sender}"
        if report.cold_s is None:
            is_news = row.process.known_at <= seen_at and (
                seen_at - row.process.noticed_at >= SAME_START_S
            )
            if is_news:
                self._notice_end(row, seen_at, source)
        else:
            cold_s = min(report.cold_s - report.age_s, row.cold_limit_s)
            is_news = now + cold_s > max(now, row.cold_until) + COLD_MARGIN_S
            if is_news:
                row.cold_time.apply_news(cold_s, now=now)
                self._notice_start(row, seen_at, cold_s, source)
        if is_news:
            self._tell(row, report.cold_s, report.age_s)

    def _notice_end(self, row: ServerRow, at: float, source: str) -> None:
        """Apply that no process was there."""
        row.process.notice_end(at)
        row.forget_permissions()
        row.close_opened_before(at)
        self._log(row, ProcessSign.REFUSED, source)

    def _notice_start(
        self, row: ServerRow, at: float, cold_s: float, source: str
    ) -> None:
        row.process.notice_start(at)
        row.forget_permissions()
        self._log(
            row, ProcessSign.COLD, source, cold_left_ms=round(1000 * cold_s)
        )

    def _log(
        self, row: ServerRow, sign: ProcessSign, source: str, **extra: int
    ) -> None:
        _LOG.info(
            "another process of a server",
            extra={
                "server": row.server.name,
                "sign": sign.value,
                "source": source,
                "started_ms": row.server.started_ms,
                "recent_sends": row.recent_sends.count(self._loop.time()),
                **extra,
            },
        )

    def _tell(
        self, row: ServerRow, cold_s: float | None, age_s: float
    ) -> None:
        if cold_s is not None:
            cold_s = min(cold_s, COLD_LEFT_S.high)
        message = edgemessages.encode(
            ProcessReport(
                sender=self._table.me.name,
                server=row.server.name,
                started_ms=row.server.started_ms,
                cold_s=None
                if cold_s is None
                else min(cold_s, COLD_LEFT_S.high),
                age_s=age_s,
            )
        )
        now = self._loop.time()
        for machine in self._table.limit_targets(now, self._rng):
            self._peers.send(machine.peer, message)
