"""Keeps the catalog replica current, from the store or from peers.

In each region one machine reads the store and sends changes to its zone and to
the hubs of the other zones, which pass them on. Machines of a zone read only
when this falls silent there. A machine whose store reads fail pulls changes
from peers.
"""

import asyncio
import random
from collections.abc import Callable

import logbook
import msgspec

from chiverun.core import edgemessages
from chiverun.core.catalog import Machine
from chiverun.core.edgemessages import DemandMessage
from chiverun.core.edgemessages import DemandReport
from chiverun.core.edgemessages import Heartbeat
from chiverun.core.edgemessages import LimitReports
from chiverun.core.edgemessages import LoadMessage
from chiverun.core.edgemessages import LoadReport
from chiverun.core.edgemessages import ProcessReport
from chiverun.core.edgemessages import Pull
from chiverun.core.edgemessages import QuotaGrant
from chiverun.core.edgemessages import QuotaReport
from chiverun.core.edgemessages import RegionDemand
from chiverun.core.edgemessages import RegionLoads
from chiverun.core.edgemessages import ShareGoals
from chiverun.core.edgemessages import Snapshot
from chiverun.core.edgemessages import SuspectReport
from chiverun.core.edgemessages import Update
from chiverun.core.errors import DECODE_ERRORS
from chiverun.core.ids import Address
from chiverun.core.ids import BootId
from chiverun.core.ids import InstanceId
from chiverun.core.loopusage import LoopUsage
from chiverun.core.peertable import HEARTBEAT_PERIOD_S
from chiverun.core.peertable import PeerTable
from chiverun.core.replica import LAPSE_GRACE_S
from chiverun.core.replica import Replica
from chiverun.core.replica import VersionedRecord
from chiverun.core.revisionlead import RevisionLead
from chiverun.core.revisions import era_of
from chiverun.core.revisions import Revision
from chiverun.core.revisions import store_revision_of
from chiverun.integrations.catalogstore import CatalogStore
from chiverun.integrations.catalogstore import CatalogUnavailable
from chiverun.integrations.catalogstore import Changes
from chiverun.integrations.catalogstore import HistoryCompacted
from chiverun.integrations.inbox import BYTES_MAX
from chiverun.integrations.inbox import Inbox
from chiverun.integrations.peers import ZmqPeers
from chiverun.runtime.heartbeats import Heartbeats
from chiverun.runtime.recordlog import log_changes

_LOG = logbook.Logger("catalog")

# Pause between store reads. Servers report continuously, so a watch returns
# immediately; the pause bounds the call rate.
READ_PAUSE_S = 0.35
WATCH_WAIT_S = 0.8
# Interval at which relayed updates include the list of live machines.
LIST_PERIOD_S = 1.0
RETRY_PAUSE_S = 0.4
# A shorter gap between reads is not an outage in which records can expire: a
# store without changes is read every 1.2 s.
OUTAGE_MIN_S = 2.5
_CHECK_PERIOD_S = 0.1


class CatalogFollower:
    """Maintains the replica and the peer table of a machine."""

    def __init__(
        self,
        *,
        me: Machine,
        boot_id: BootId,
        store: CatalogStore,
        peers: ZmqPeers,
        seeds: tuple[Address, ...],
        on_change: Callable[[], None],
        on_limits: Callable[[LimitReports], None],
        on_suspect: Callable[[SuspectReport], None],
        on_process: Callable[[ProcessReport], None] = lambda message: None,
        on_quota: Callable[[QuotaReport | QuotaGrant], None] | None = None,
        on_demand: Callable[[DemandMessage], None] = lambda message: None,
        on_loads: Callable[[LoadMessage], None] = lambda message: None,
        usage: LoopUsage | None = None,
        inbox_bytes: int = BYTES_MAX,
    ) -> None:
        self.replica = Replica()
        self.table = PeerTable(me=me)
        self.heartbeats = Heartbeats(
            me=me, boot_id=boot_id, table=self.table, peers=peers, seeds=seeds
        )
        self._me = me
        self._boot_id = boot_id
        self._store = store
        self._peers = peers
        self._seeds = tuple(seed for seed in seeds if seed != me.peer)
        self._on_change = on_change
        self._on_limits = on_limits
        self._on_suspect = on_suspect
        self._on_process = on_process
        self._on_quota = on_quota
        self._on_demand = on_demand
        self._on_loads = on_loads
        self._rng = random.Random(boot_id)
        self._loop = asyncio.get_running_loop()
        self._inbox = Inbox(
            receive=self._receive, usage=usage, bytes_max=inbox_bytes
        )
        self._reads_store = False
        self._needs_full_read = True
        self._read_at = self._loop.time()
        self._is_loss_logged = False
        self._lapse_until = float("-inf")
        self._lead = RevisionLead()
        self._live_list_sent_at = float("-inf")
        # Whether this machine reads the store for its region, and whether it
        # reads it at all; a relay that is no reader serves its zone only.
        self._is_reader = False
        self._is_relay = False
        self._has_read = False

    def start(self) -> None:
        """Start receiving messages from peers."""
        self._peers.start(self._inbox.put)

    @property
    def is_current(self) -> bool:
        """Whether the replica holds a desired state."""
        return self.replica.desired_state() is not None

    def age_s(self) -> float:
        """Return the time since the catalog was last confirmed as current."""
        return self._loop.time() - max(
            self._read_at, self.table.relay_heard_at
        )

    async def follow(self) -> None:
        """Read the store while this machine is the reader; never returns."""
        while True:
            if not self._must_read():
                await asyncio.sleep(_CHECK_PERIOD_S)
                continue
            try:
                await self._read()
            except (CatalogUnavailable, HistoryCompacted) as exc:
                self._record_failure(exc)
                self._pull()
                await asyncio.sleep(RETRY_PAUSE_S)
            else:
                await asyncio.sleep(READ_PAUSE_S)

    async def send_heartbeats_forever(self) -> None:
        """Send heartbeats and expire old rows; never returns."""
        while True:
            self.heartbeats.send(self._reads_store)
            now = self._loop.time()
            dropped = self.replica.expire(now)
            if dropped:
                _LOG.info("lapsed servers dropped", extra={"keys": dropped})
                self._on_change()
            self._publish_changes(self.replica.release_held(now), "restored")
            await asyncio.sleep(HEARTBEAT_PERIOD_S)

    def leave(self) -> None:
        """Tell the other machines that this one is stopping."""
        self.heartbeats.leaving = True
        self.heartbeats.send(self._reads_store)

    def _must_read(self) -> bool:
        now = self._loop.time()
        if not self._has_read and not self.is_current:
            return True
        is_reader = self.table.is_reader(now, self._reads_store)
        if is_reader != self._is_reader:
            _LOG.info(
                "reads the store for its region"
                if is_reader
                else "no longer reads the store for its region",
                extra={"age_s": round(self.age_s(), 3)},
            )
        self._is_reader = is_reader
        self._is_relay = is_reader or self.table.is_relay_silent(now)
        return self._is_relay or self._must_register()

    def _must_register(self) -> bool:
        """Return whether the store lacks this machine's record."""
        is_registered = self._me in self.replica.machines()
        return not is_registered and not self.heartbeats.leaving

    async def _read(self) -> None:
        since = self.replica.as_of
        if self._needs_full_read:
            changes = await self._store.read_all()
            self._record_success()
            self._needs_full_read = False
            if changes.as_of < since:
                self._forget_later(changes.as_of, since)
            self._apply_listing(changes.items, changes.as_of, "store")
        else:
            try:
                changes = await self._store.changes_since(since, WATCH_WAIT_S)
            except HistoryCompacted:
                _LOG.warning(
                    "store history has expired; reading the full catalog",
                    extra={"as_of": store_revision_of(self.replica.as_of)},
                )
                self._needs_full_read = True
                raise
            self._record_success()
            # A revision that the store has not reached; see `_forget_later`.
            self._needs_full_read = changes.as_of < since
            self._apply_changes(changes)
        await self._register()

    def _forget_later(self, as_of: Revision, known: Revision) -> None:
        """Let a listing replace what names revisions beyond it.

        The store had not reached a revision that was known here before it was
        asked. A message or an answer has named a wrong one, and no change of
        the store would supersede it.
        """
        _LOG.warning(
            "known revision is beyond the store's",
            extra={
                "era": era_of(as_of),
                "as_of": store_revision_of(as_of),
                "known_era": era_of(known),
                "known_as_of": store_revision_of(known),
            },
        )
        self.replica.forget_later(as_of)

    async def _register(self) -> None:
        """Write this machine's record unless it is already up to date."""
        own_rows = [
            row.revision
            for row in self.replica.rows.values()
            if isinstance(row.record, Machine)
            and row.record.name == self._me.name
        ]
        revision = own_rows[0] if own_rows else Revision(0)
        if not self._must_register():
            return
        is_written = await self._store.register(self._me, revision)
        _LOG.info("registered", extra={"written": is_written})
        self._needs_full_read = self._needs_full_read or not is_written

    def _record_success(self) -> None:
        outage_s = self.age_s()
        self._read_at = self._loop.time()
        if not self._reads_store:
            _LOG.info("store regained", extra={"away_s": round(outage_s, 3)})
        if self._has_read and outage_s >= OUTAGE_MIN_S:
            # Neither store reads nor a relay succeeded: the store was down.
            self._lapse_until = self._read_at + LAPSE_GRACE_S
        self._has_read = True
        self._reads_store = True
        self._is_loss_logged = False

    def _record_failure(self, exc: Exception) -> None:
        if isinstance(exc, HistoryCompacted):
            return
        self._reads_store = False
        if not self._is_loss_logged:
            self._is_loss_logged = True
            _LOG.warning("store lost", extra={"reason": str(exc)})

    def _apply_listing(
        self, items: list[VersionedRecord], as_of: Revision, source: str
    ) -> None:
        since = self.replica.as_of
        now = self._loop.time()
        is_new_era = bool(since) and era_of(as_of) > era_of(since)
        if is_new_era:
            # Records of servers may be missing in the copy.
            self._lapse_until = max(self._lapse_until, now + LAPSE_GRACE_S)
        changed = self.replica.replace(
            items, as_of, now=now, lapse_until=self._lapse_until
        )
        if is_new_era:
            _LOG.warning(
                "store restored from an older copy",
                extra={
                    "source": source,
                    "era": era_of(as_of),
                    "as_of": store_revision_of(as_of),
                    "before_era": era_of(since),
                    "before_as_of": store_revision_of(since),
                    "held": self.replica.held_keys(),
                },
            )
        self._publish_changes(changed, source)
        self._relay(since, changed, from_listing=True)

    def _apply_changes(self, changes: Changes) -> None:
        since = self.replica.as_of
        changed = self.replica.apply(
            changes.items,
            now=self._loop.time(),
            lapse_until=self._lapse_until,
        )
        self.replica.as_of = max(since, changes.as_of)
        self._publish_changes(changed, "store")
        self._relay(since, changed, from_listing=False)

    def _relay(
        self,
        since: Revision,
        changed: list[VersionedRecord],
        *,
        from_listing: bool,
    ) -> None:
        """Send changes, or that there are none, to the machines served."""
        now = self._loop.time()
        # This machine's own store reads count as relay messages.
        self.table.relay_heard_at = now
        if not self._is_relay or not since:
            return
        live = None
        if (
            now - self._live_list_sent_at >= LIST_PERIOD_S
            or self.heartbeats.live_changed
        ):
            self._live_list_sent_at = now
            self.heartbeats.live_changed = False
            live = self.heartbeats.live_names()
            self.table.record_live_list(self._me.name, live, now)
        message = edgemessages.encode(
            Update(
                sender=self._me.name,
                boot_id=self._boot_id,
                since=since,
                as_of=self.replica.as_of,
                items=changed,
                lapse_left_s=max(0.0, self._lapse_until - now),
                live=live,
                from_listing=from_listing,
            )
        )
        targets = self.table.relay_targets(now, is_reader=self._is_reader)
        for machine in targets:
            self._peers.send(machine.peer, message)

    def _pass_on(self, update: Update) -> None:
        """Send the news of another zone's reader to the own zone."""
        message = edgemessages.encode(
            msgspec.structs.replace(update, relayed=True)
        )
        for machine in self.table.zone_machines():
            self._peers.send(machine.peer, message)

    def _pull(self) -> None:
        """Request changes from a machine in each region."""
        message = edgemessages.encode(
            Pull(reply_to=self._me.peer, as_of=self.replica.as_of)
        )
        by_region: dict[str, list[Address]] = {}
        region_machines = (
            self.table.live(self._loop.time()) or self.table.region_machines()
        )
        for machine in [*region_machines, *self.table.remote_machines()]:
            by_region.setdefault(machine.region, []).append(machine.peer)
        addresses = {self._rng.choice(rows) for rows in by_region.values()}
        if not addresses:
            addresses = set(self._seeds)
        for address in addresses:
            self._peers.send(address, message)

    def _receive(self, payload: bytes) -> None:
        try:
            message = edgemessages.decode(payload)
        except DECODE_ERRORS as exc:
            _LOG.warning(
                "cannot decode peer message", extra={"reason": str(exc)}
            )
            return
        match message:
            case Heartbeat():
                self.heartbeats.receive(message, self._reads_store)
            case Update():
                self._handle_update(message)
            case Pull():
                self._handle_pull(message)
            case LimitReports():
                self._on_limits(message)
            case SuspectReport():
                self._on_suspect(message)
            case ProcessReport():
                self._on_process(message)
            case QuotaReport() | QuotaGrant():
                if self._on_quota is not None:
                    self._on_quota(message)
            case DemandReport() | RegionDemand() | ShareGoals():
                self._on_demand(message)
            case LoadReport() | RegionLoads():
                self._on_loads(message)
            case Snapshot():
                self._handle_snapshot(message)

    def _handle_snapshot(self, snapshot: Snapshot) -> None:
        known = self.replica.as_of
        if snapshot.as_of < known and self._lead.is_too_long(
            self._loop.time()
        ):
            self._forget_later(snapshot.as_of, known)
        elif snapshot.as_of <= known:
            return
        self._lead.end()
        self._apply_listing(snapshot.items, snapshot.as_of, "peer")
        self._needs_full_read = False

    def _handle_update(self, update: Update) -> None:
        now = self._loop.time()
        if not update.relayed and self.table.passes_on(update.sender, now):
            self._pass_on(update)
        self._lead.note_update(update.as_of, known=self.replica.as_of, now=now)
        if self._lead.is_too_long(now):
            self._pull_from(update.sender, Revision(0))
        if era_of(update.as_of) < era_of(self.replica.as_of):
            # The sender has not heard of the restoration yet.
            changed = self.replica.apply(update.items, now=now)
            self._publish_changes(changed, f"peer {update.sender}")
            return
        if _is_incomplete(update, self.replica.as_of):
            self._pull_from(update.sender, self.replica.as_of)
            return
        self.table.relay_heard_at = now
        if update.live is not None:
            self.table.record_live_list(update.sender, update.live, now)
        if update.lapse_left_s > 0:
            self._lapse_until = max(
                self._lapse_until, now + update.lapse_left_s
            )
        changed = self.replica.apply(
            update.items, now=now, lapse_until=self._lapse_until
        )
        self.replica.as_of = max(self.replica.as_of, update.as_of)
        if self.replica.as_of:
            self._needs_full_read = False
        self._publish_changes(changed, f"peer {update.sender}")

    def _pull_from(self, sender: InstanceId, as_of: Revision) -> None:
        """Ask for changes after `as_of` in the own zone, or their sender."""
        now = self._loop.time()
        hubs = self.table.zone_hubs(now)
        machine = self.table.machine(sender)
        is_remote = machine is None or machine.zone != self._me.zone
        if is_remote and not self.table.passes_on(sender, now):
            machine = next((hub for hub in hubs if hub != self._me), machine)
        if machine is not None:
            self._peers.send(
                machine.peer,
                edgemessages.encode(Pull(reply_to=self._me.peer, as_of=as_of)),
            )

    def _handle_pull(self, pull: Pull) -> None:
        if self.replica.as_of <= pull.as_of or not self.is_current:
            return
        if pull.as_of >= max(1, self.replica.history_from):
            reply = Update(
                sender=self._me.name,
                boot_id=self._boot_id,
                since=pull.as_of,
                as_of=self.replica.as_of,
                items=self.replica.changed_after(pull.as_of),
                lapse_left_s=max(0.0, self._lapse_until - self._loop.time()),
            )
        else:
            reply = Snapshot(
                as_of=self.replica.as_of, items=self.replica.listing()
            )
        self._peers.send(pull.reply_to, edgemessages.encode(reply))

    def _publish_changes(
        self, changed: list[VersionedRecord], source: str
    ) -> None:
        if not changed:
            return
        self.table.record_machines(self.replica.machines())
        log_changes(changed, source)
        self._on_change()


def _is_incomplete(update: Update, as_of: Revision) -> bool:
    """Return whether an update lacks changes for a replica at `as_of`."""
    if update.since > as_of or era_of(update.as_of) > era_of(as_of):
        return True
    return update.from_listing and update.since < as_of < update.as_of
