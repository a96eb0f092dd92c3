"""Tells other machines the limits of servers, and hears of them.

A machine without a share of a limit gets no responses of the server, and so
would not see the limit's end; one that has just started has had none yet.
"""

import asyncio
import random

import logbook

from chiverun.core import edgemessages
from chiverun.core.catalog import Server
from chiverun.core.edgemessages import LimitReport
from chiverun.core.edgemessages import LimitReports
from chiverun.core.ids import ServerName
from chiverun.core.peertable import PeerTable
from chiverun.core.serverlimit import LimitNews
from chiverun.core.statednumbers import LIMIT_PER_S
from chiverun.integrations.peers import ZmqPeers
from chiverun.runtime.servertable import ServerTable

_LOG = logbook.Logger("limits")

# Interval at which changed limits are sent.
CHANGED_PERIOD_S = 0.5
# Interval at which limits are sent again, for machines that have missed them.
REPEAT_PERIOD_S = 2.0

Limits = dict[ServerName, float | None]


class LimitExchange:
    """Sends the known limits of servers and applies those of others."""

    def __init__(
        self, *, servers: ServerTable, table: PeerTable, peers: ZmqPeers
    ) -> None:
        self._servers = servers
        self._table = table
        self._peers = peers
        self._loop = asyncio.get_running_loop()
        self._rng = random.Random(table.me.name)
        self._sent: Limits = {}
        self._sent_at = float("-inf")

    async def send_forever(self) -> None:
        """Send limits when they change and repeatedly; never returns."""
        while True:
            self.send()
            await asyncio.sleep(CHANGED_PERIOD_S)

    def send(self) -> None:
        """Send the known limits if they are due."""
        now = self._loop.time()
        reports = self._reports(now)
        limits = {report.server: report.per_s for report in reports}
        is_due = now - self._sent_at >= REPEAT_PERIOD_S
        if not reports or (limits == self._sent and not is_due):
            return
        self._sent = limits
        self._sent_at = now
        message = edgemessages.encode(
            LimitReports(sender=self._table.me.name, reports=reports)
        )
        for machine in self._table.limit_targets(now, self._rng):
            self._peers.send(machine.peer, message)

    def receive(self, message: LimitReports) -> None:
        """Apply the limits that another machine knows of."""
        now = self._loop.time()
        for report in message.reports:
            row = self._servers.rows.get(report.server)
            if row is None or row.server.started_ms != report.started_ms:
                continue
            before = row.limit.per_s
            news = LimitNews(per_s=report.per_s, age_s=report.age_s)
            if row.limit.apply_news(news, now):
                _LOG.info(
                    "server limit heard",
                    extra={
                        "server": report.server,
                        "per_s": report.per_s,
                        "before_per_s": before,
                        "age_ms": round(1000 * report.age_s),
                        "source": f"peer {message.sender}",
                    },
                )

    def _reports(self, now: float) -> list[LimitReport]:
        reports = []
        for row in self._servers.rows.values():
            news = row.limit.news(now)
            if news is not None:
                reports.append(_report(row.server, news))
        return reports


def _report(server: Server, news: LimitNews) -> LimitReport:
    per_s = news.per_s
    if per_s is not None:
        per_s = min(LIMIT_PER_S.high, per_s)
    return LimitReport(
        server=server.name,
        started_ms=server.started_ms,
        per_s=per_s,
        age_s=news.age_s,
    )
