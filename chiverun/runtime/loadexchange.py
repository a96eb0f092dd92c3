"""Exchanges the requests in flight at servers within a region.

Each instance reports its own to the first hub of the region, which sends the
totals to all. Without them an instance knows of the others' requests only by
the reports that come with responses, and finds a server full.
"""

import asyncio
from collections.abc import Mapping

import logbook

from chiverun.core import edgemessages
from chiverun.core.catalog import Machine
from chiverun.core.edgemessages import LoadReport
from chiverun.core.edgemessages import RegionLoads
from chiverun.core.ids import BootId
from chiverun.core.ids import InstanceId
from chiverun.core.ids import ServerName
from chiverun.core.loadtotals import AGE_MAX_S
from chiverun.core.loadtotals import changed_counts
from chiverun.core.loadtotals import LoadCounts
from chiverun.core.loadtotals import LoadTotals
from chiverun.core.loadtotals import Sequence
from chiverun.core.loadtotals import StatedCounts
from chiverun.core.peertable import PeerTable
from chiverun.core.peertable import scaled_period_s
from chiverun.integrations.peers import ZmqPeers
from chiverun.runtime.servertable import ServerTable

_LOG = logbook.Logger("loads")

# Interval of reports and totals; longer in a large region.
PERIOD_S = 0.2
# Interval between complete messages.
COMPLETE_S = 2.0
# Without any change a message is sent after this time: a silent instance is
# dropped, and old totals are not used.
REPEAT_S = 0.5
# Shortest interval between complete messages, which make up for lost ones.
COMPLETE_MIN_S = 0.5

Counts = Mapping[ServerName, int]


class CountSender:
    """Numbers the messages of one kind and states only what has changed."""

    def __init__(self) -> None:
        self.sent: dict[ServerName, int] = {}
        self.sent_at = float("-inf")
        self.number = 0
        self._complete_at = float("-inf")
        self._must_correct = False

    def restart(self) -> None:
        """Make the next message a complete one."""
        self._complete_at = float("-inf")

    def correct(self) -> None:
        """Make a message complete soon: small changes wait for that."""
        self._must_correct = True

    def next_counts(
        self, counts: Counts, slots: Counts, now: float
    ) -> tuple[dict[ServerName, int], bool] | None:
        """Return what to send and whether it is complete, None if nothing."""
        period_s = COMPLETE_MIN_S if self._must_correct else COMPLETE_S
        is_complete = now - self._complete_at >= period_s
        if is_complete:
            self._complete_at = now
            self._must_correct = False
            changed = dict(counts)
            self.sent = dict(counts)
        else:
            changed = changed_counts(self.sent, counts, slots)
            if not changed and now - self.sent_at < REPEAT_S:
                return None
            self.sent.update(changed)
        self.number += 1
        self.sent_at = now
        return changed, is_complete


class LoadExchange:
    """Reports the own requests in flight, acts as the hub, applies totals."""

    def __init__(
        self,
        *,
        servers: ServerTable,
        table: PeerTable,
        peers: ZmqPeers,
        boot_id: BootId,
    ) -> None:
        self._servers = servers
        self._table = table
        self._me = table.me
        self._peers = peers
        self._boot_id = boot_id
        self._loop = asyncio.get_running_loop()
        self._reports = CountSender()
        self._hub: InstanceId | None = None
        # What this instance sends and has heard as the hub.
        self._totals = LoadTotals()
        self._distributed = CountSender()
        # What the hub has distributed.
        self._stated: StatedCounts | None = None

    async def exchange_forever(self) -> None:
        """Send what is due; never returns."""
        while True:
            self.tick()
            await asyncio.sleep(self.period_s())

    def period_s(self) -> float:
        """Return the interval of reports, in seconds."""
        machines = 1 + len(self._table.region_machines())
        return scaled_period_s(PERIOD_S, machines)

    def tick(self) -> None:
        """Report the own requests; as the hub, send the totals."""
        if not self._table.region_machines():
            return
        now = self._loop.time()
        hub = self._current_hub(now)
        slots = self._slots()
        own = {
            name: row.load.in_flight
            for name, row in self._servers.rows.items()
            if row.load.in_flight > 0
        }
        # Each change of the own counts is stated; the hub adds them up.
        news = self._reports.next_counts(own, {}, now)
        if news is not None:
            self._send_report(*news, hub, now)
        if hub == self._me:
            self._send_totals(slots, now)

    def receive(self, message: LoadReport | RegionLoads) -> None:
        """Apply a message of another instance of the region."""
        now = self._loop.time()
        sender = self._table.machine(message.sender)
        if sender is None or sender.region != self._me.region:
            return
        if sender == self._me:
            return
        counts = _decoded(message)
        match message:
            case LoadReport() if self._hub == self._me.name:
                if self._totals.record(counts, now):
                    self._distributed.correct()
            case RegionLoads():
                self._receive_totals(counts, sender, now)

    def _slots(self) -> dict[ServerName, int]:
        rows = self._servers.rows
        return {name: row.server.slots for name, row in rows.items()}

    def _current_hub(self, now: float) -> Machine:
        hub = self._table.region_hubs(now)[0]
        if hub.name != self._hub:
            _LOG.info(
                "load hub changed",
                extra={
                    "hub": hub.name,
                    "before": self._hub,
                    "totals_age_ms": self._totals_age_ms(now),
                },
            )
            self._hub = hub.name
            self._totals = LoadTotals()
            self._reports.restart()
            self._distributed.restart()
        return hub

    def _totals_age_ms(self, now: float) -> int | None:
        if self._stated is None:
            return None
        return round(1000 * (now - self._stated.heard_at))

    def _send_report(
        self,
        counts: dict[ServerName, int],
        is_complete: bool,
        hub: Machine,
        now: float,
    ) -> None:
        message = LoadReport(
            sender=self._me.name,
            boot_id=self._boot_id,
            number=self._reports.number,
            at_s=now,
            counts=counts,
            is_complete=is_complete,
        )
        if hub == self._me:
            self._totals.record(_decoded(message), now)
        else:
            self._peers.send(hub.peer, edgemessages.encode(message))

    def _send_totals(self, slots: Counts, now: float) -> None:
        silent_after_s = max(AGE_MAX_S, 3 * self.period_s())
        totals = self._totals.totals(now, silent_after_s)
        self._apply(totals, now)
        news = self._distributed.next_counts(totals, slots, now)
        if news is None:
            return
        counts, is_complete = news
        message = edgemessages.encode(
            RegionLoads(
                sender=self._me.name,
                boot_id=self._boot_id,
                number=self._distributed.number,
                at_s=now,
                counts=counts,
                is_complete=is_complete,
            )
        )
        for machine in self._table.live(now):
            self._peers.send(machine.peer, message)

    def _receive_totals(
        self, message: LoadCounts, sender: Machine, now: float
    ) -> None:
        if sender != self._table.region_hubs(now)[0]:
            return
        stated = self._stated
        if stated is None or not stated.sequence.is_of(
            message.sender, message.boot_id
        ):
            sequence = Sequence(sender=message.sender, boot_id=message.boot_id)
            stated = self._stated = StatedCounts(sequence=sequence)
        if stated.apply(message, now) and stated.is_whole:
            self._apply(stated.counts, now)

    def _apply(self, totals: Counts, now: float) -> None:
        """Count what others have in flight at each server.

        The totals contain what this instance has reported last, rather than
        what it has in flight now.
        """
        own = self._reports.sent
        for name, row in self._servers.rows.items():
            others = totals.get(name, 0) - own.get(name, 0)
            row.load.apply_total(others, now)


def _decoded(message: LoadReport | RegionLoads) -> LoadCounts:
    return LoadCounts(
        sender=message.sender,
        boot_id=message.boot_id,
        number=message.number,
        sent_at=message.at_s,
        counts=message.counts,
        is_complete=message.is_complete,
    )
