"""Tells other machines which requests servers have ended under.

A client returns with a request mostly to another machine, so each machine
passes on at once what is news to it.
"""

import asyncio
import random

import logbook

from chiverun.core import edgemessages
from chiverun.core.edgemessages import SuspectReport
from chiverun.core.peertable import PeerTable
from chiverun.core.suspects import EndedServer
from chiverun.core.suspects import Fingerprint
from chiverun.core.suspects import SuspectTable
from chiverun.integrations.peers import ZmqPeers

_LOG = logbook.Logger("suspects")


class SuspectExchange:
    """Records ends of servers, and tells and hears of them."""

    def __init__(
        self, *, suspects: SuspectTable, table: PeerTable, peers: ZmqPeers
    ) -> None:
        self._suspects = suspects
        self._table = table
        self._peers = peers
        self._loop = asyncio.get_running_loop()
        self._rng = random.Random(table.me.name)

    def record_end(
        self,
        fingerprint: Fingerprint,
        server: EndedServer,
        request_id: str,
        sent_at: float,
    ) -> None:
        """Record that a server ended under a request of `sent_at`."""
        now = self._loop.time()
        if not self._suspects.record_end(
            fingerprint, server, now, sent_at=sent_at
        ):
            return
        _LOG.warning(
            "server ended under request",
            extra={
                "id": request_id,
                "server": server.server,
                "request": fingerprint.hex(),
                "ends": len(self._suspects.ends(fingerprint)),
            },
        )
        self._tell(fingerprint)

    def receive(self, report: SuspectReport) -> None:
        """Apply what another machine tells; pass on what is news."""
        now = self._loop.time()
        fingerprint = Fingerprint(report.fingerprint)
        news = [
            end
            for end in report.ends
            if self._suspects.record_end(fingerprint, end, now)
        ]
        if not news:
            return
        _LOG.info(
            "ends of servers heard",
            extra={
                "request": fingerprint.hex(),
                "servers": [end.server for end in news],
                "ends": len(self._suspects.ends(fingerprint)),
                "source": f"peer {report.sender}",
            },
        )
        self._tell(fingerprint)

    def _tell(self, fingerprint: Fingerprint) -> None:
        message = edgemessages.encode(
            SuspectReport(
                sender=self._table.me.name,
                fingerprint=fingerprint,
                ends=self._suspects.ends(fingerprint),
            )
        )
        now = self._loop.time()
        for machine in self._table.limit_targets(now, self._rng):
            self._peers.send(machine.peer, message)
