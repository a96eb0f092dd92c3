"""Keeps the catalog current: from the store, or from peers without it.

In each region one machine reads the store and relays what changed; the
others read only when the relay falls silent. A machine that the store turns
away pulls from peers.
"""

import asyncio
import random
from collections.abc import Callable

import logbook
import msgspec

from chiverun.core import edgemessages
from chiverun.core.catalog import DesiredState
from chiverun.core.catalog import Machine
from chiverun.core.catalog import Revision
from chiverun.core.catalog import Server
from chiverun.core.edgemessages import Heartbeat
from chiverun.core.edgemessages import Pull
from chiverun.core.edgemessages import Snapshot
from chiverun.core.edgemessages import Update
from chiverun.core.ids import Address
from chiverun.core.ids import BootId
from chiverun.core.peertable import BEAT_PERIOD_S
from chiverun.core.peertable import PeerTable
from chiverun.core.replica import Evacuation
from chiverun.core.replica import LAPSE_GRACE_S
from chiverun.core.replica import Replica
from chiverun.core.replica import VersionedRecord
from chiverun.integrations.catalogstore import CatalogStore
from chiverun.integrations.catalogstore import CatalogUnavailable
from chiverun.integrations.catalogstore import Changes
from chiverun.integrations.catalogstore import HistoryCompacted
from chiverun.integrations.peers import ZmqPeers

_LOG = logbook.Logger("catalog")

# Pause between two reads of the store. Servers report all the time, so a
# watch returns at once; the pause bounds the calls.
READ_PAUSE_S = 0.35
WATCH_WAIT_S = 0.8
# Period of the lists of live machines in relayed updates.
LIST_PERIOD_S = 1.0
RETRY_PAUSE_S = 0.4
# A shorter gap is no outage in which records can have lapsed: a quiet store
# is read each 1.2 s.
OUTAGE_MIN_S = 2.5
_CHECK_PERIOD_S = 0.1


class CatalogFollower:
    """Owns the replica and the table of peers of one machine."""

    def __init__(
        self,
        *,
        me: Machine,
        boot_id: BootId,
        store: CatalogStore,
        peers: ZmqPeers,
        seeds: tuple[Address, ...],
        on_change: Callable[[], None],
    ) -> None:
        self.replica = Replica()
        self.table = PeerTable(me=me)
        self.leaving = False
        self._me = me
        self._boot_id = boot_id
        self._store = store
        self._peers = peers
        self._seeds = tuple(seed for seed in seeds if seed != me.peer)
        self._on_change = on_change
        self._rng = random.Random(boot_id)
        self._loop = asyncio.get_running_loop()
        self._reads_store = False
        self._needs_listing = True
        self._read_at = self._loop.time()
        self._is_loss_logged = False
        self._lapse_until = float("-inf")
        self._listed_at = float("-inf")
        self._list_changed = True
        self._relays = False
        self._has_read = False

    def start(self) -> None:
        """Receive from peers."""
        self._peers.start(
            lambda payload: self._loop.call_soon_threadsafe(
                self._receive, payload
            )
        )

    @property
    def is_current(self) -> bool:
        """Tell whether a desired state is known."""
        return self.replica.desired_state() is not None

    def age_s(self) -> float:
        """Return how long ago the catalog was known to be current."""
        return self._loop.time() - max(
            self._read_at, self.table.relay_heard_at
        )

    async def follow(self) -> None:
        """Read the store whenever this machine has to; never returns."""
        while True:
            if not self._must_read():
                await asyncio.sleep(_CHECK_PERIOD_S)
                continue
            try:
                await self._read()
            except (CatalogUnavailable, HistoryCompacted) as exc:
                self._note_failure(exc)
                self._pull()
                await asyncio.sleep(RETRY_PAUSE_S)
            else:
                await asyncio.sleep(READ_PAUSE_S)

    async def beat(self) -> None:
        """Send signs of life and expire old rows; never returns."""
        while True:
            self.send_beats()
            dropped = self.replica.expire(self._loop.time())
            if dropped:
                _LOG.info("lapsed servers dropped", extra={"keys": dropped})
                self._on_change()
            await asyncio.sleep(BEAT_PERIOD_S)

    def send_beats(self) -> None:
        """Send one sign of life to the machines that need it."""
        message = edgemessages.encode(
            Heartbeat(
                machine=self._me,
                boot_id=self._boot_id,
                leaving=self.leaving,
                reads_store=self._reads_store,
            )
        )
        targets = self.table.beat_targets(self._loop.time())
        addresses = {machine.peer for machine in targets}
        if not addresses:
            addresses = set(self._seeds)
        for address in addresses:
            self._peers.send(address, message)

    def _must_read(self) -> bool:
        now = self._loop.time()
        if not self._has_read and not self.is_current:
            return True
        self._relays = self.table.is_reader(
            now, self._reads_store
        ) or self.table.is_relay_silent(now)
        return self._relays

    async def _read(self) -> None:
        if self._needs_listing:
            changes = await self._store.read_all()
            self._note_success()
            self._needs_listing = False
            self._take_listing(changes.items, changes.as_of, "store")
        else:
            try:
                changes = await self._store.changes_since(
                    self.replica.as_of, WATCH_WAIT_S
                )
            except HistoryCompacted:
                _LOG.warning(
                    "store forgot its history",
                    extra={"as_of": self.replica.as_of},
                )
                self._needs_listing = True
                raise
            self._note_success()
            self._take_changes(changes)
        await self._register()

    async def _register(self) -> None:
        """Write this machine's record unless it is there as it should be."""
        known = [
            (row.revision, row.record)
            for row in self.replica.rows.values()
            if isinstance(row.record, Machine)
            and row.record.name == self._me.name
        ]
        revision, record = known[0] if known else (Revision(0), None)
        if record == self._me or self.leaving:
            return
        is_written = await self._store.register(self._me, revision)
        _LOG.info("registered", extra={"written": is_written})
        self._needs_listing = self._needs_listing or not is_written

    def _note_success(self) -> None:
        away_s = self.age_s()
        self._read_at = self._loop.time()
        if not self._reads_store:
            _LOG.info("store regained", extra={"away_s": round(away_s, 3)})
        if self._has_read and away_s >= OUTAGE_MIN_S:
            # Neither own reads nor a relay came through: the store was away.
            self._lapse_until = self._read_at + LAPSE_GRACE_S
        self._has_read = True
        self._reads_store = True
        self._is_loss_logged = False

    def _note_failure(self, exc: Exception) -> None:
        if isinstance(exc, HistoryCompacted):
            return
        self._reads_store = False
        if not self._is_loss_logged:
            self._is_loss_logged = True
            _LOG.warning("store lost", extra={"reason": str(exc)})

    def _take_listing(
        self, items: list[VersionedRecord], as_of: Revision, source: str
    ) -> None:
        since = self.replica.as_of
        changed = self.replica.replace(
            items,
            as_of,
            now=self._loop.time(),
            lapse_until=self._lapse_until,
        )
        self._note_changes(changed, source)
        self._relay(since, changed)

    def _take_changes(self, changes: Changes) -> None:
        since = self.replica.as_of
        changed = self.replica.apply(
            changes.items,
            now=self._loop.time(),
            lapse_until=self._lapse_until,
        )
        self.replica.as_of = max(since, changes.as_of)
        self._note_changes(changed, "store")
        self._relay(since, changed)

    def _relay(self, since: Revision, changed: list[VersionedRecord]) -> None:
        """Tell the machines of the region, also that nothing changed."""
        now = self._loop.time()
        # Own reads replace the relay for this machine as well.
        self.table.relay_heard_at = now
        if not self._relays or not since:
            return
        live = None
        if now - self._listed_at >= LIST_PERIOD_S or self._list_changed:
            self._listed_at = now
            self._list_changed = False
            live = [*self.table.heard(now)]
            live += [] if self.leaving else [self._me.name]
        message = edgemessages.encode(
            Update(
                sender=self._me.name,
                boot_id=self._boot_id,
                since=since,
                as_of=self.replica.as_of,
                items=changed,
                lapse_left_s=max(0.0, self._lapse_until - now),
                live=live,
            )
        )
        for machine in self.table.region():
            self._peers.send(machine.peer, message)

    def _pull(self) -> None:
        """Ask a machine of each region for what changed."""
        message = edgemessages.encode(
            Pull(reply_to=self._me.peer, as_of=self.replica.as_of)
        )
        by_region: dict[str, list[Address]] = {}
        near = self.table.live(self._loop.time()) or self.table.region()
        for machine in [*near, *self.table.others()]:
            by_region.setdefault(machine.region, []).append(machine.peer)
        addresses = {self._rng.choice(rows) for rows in by_region.values()}
        if not addresses:
            addresses = set(self._seeds)
        for address in addresses:
            self._peers.send(address, message)

    def _receive(self, payload: bytes) -> None:
        try:
            message = edgemessages.decode(payload)
        except msgspec.MsgspecError as exc:
            _LOG.warning("message unreadable", extra={"reason": str(exc)})
            return
        match message:
            case Heartbeat():
                self._take_beat(message)
            case Update():
                self._take_update(message)
            case Pull():
                self._answer_pull(message)
            case Snapshot():
                if message.as_of > self.replica.as_of:
                    self._take_listing(message.items, message.as_of, "peer")
                    self._needs_listing = False

    def _take_beat(self, beat: Heartbeat) -> None:
        row = self.table.rows.get(beat.machine.name)
        was_leaving = row is not None and row.beat.leaving
        is_new = self.table.note_beat(beat, self._loop.time())
        if is_new or was_leaving != beat.leaving:
            self._list_changed = True
            _LOG.info(
                "machine heard",
                extra={
                    "machine": beat.machine.name,
                    "life": beat.boot_id,
                    "leaving": beat.leaving,
                },
            )

    def _take_update(self, update: Update) -> None:
        now = self._loop.time()
        if update.since > self.replica.as_of:
            # Something in between was missed.
            row = self.table.rows.get(update.sender)
            if row is not None:
                self._peers.send(
                    row.beat.machine.peer,
                    edgemessages.encode(
                        Pull(reply_to=self._me.peer, as_of=self.replica.as_of)
                    ),
                )
            return
        self.table.relay_heard_at = now
        if update.live is not None:
            self.table.note_list(update.sender, update.live, now)
        if update.lapse_left_s > 0:
            self._lapse_until = max(
                self._lapse_until, now + update.lapse_left_s
            )
        changed = self.replica.apply(
            update.items, now=now, lapse_until=self._lapse_until
        )
        self.replica.as_of = max(self.replica.as_of, update.as_of)
        if self.replica.as_of:
            self._needs_listing = False
        self._note_changes(changed, f"peer {update.sender}")

    def _answer_pull(self, pull: Pull) -> None:
        if self.replica.as_of <= pull.as_of or not self.is_current:
            return
        if pull.as_of:
            answer = Update(
                sender=self._me.name,
                boot_id=self._boot_id,
                since=pull.as_of,
                as_of=self.replica.as_of,
                items=self.replica.changed_after(pull.as_of),
                lapse_left_s=max(0.0, self._lapse_until - self._loop.time()),
            )
        else:
            answer = Snapshot(
                as_of=self.replica.as_of, items=self.replica.listing()
            )
        self._peers.send(pull.reply_to, edgemessages.encode(answer))

    def _note_changes(
        self, changed: list[VersionedRecord], source: str
    ) -> None:
        if not changed:
            return
        self.table.note_machines(self.replica.machines())
        for item in changed:
            _LOG.info(
                "record changed",
                extra={
                    "key": item.key,
                    "revision": item.revision,
                    "source": source,
                    **_summary(item),
                },
            )
        self._on_change()


def _summary(item: VersionedRecord) -> dict:
    match item.record:
        case None:
            return {"now": "deleted"}
        case DesiredState(version=version):
            return {"now": "desired state", "version": version}
        case Server() as server:
            return {
                "now": server.state.value,
                "service": server.service,
                "zone": server.zone,
                "cold_left_s": server.cold_left_s,
            }
        case Evacuation():
            return {"now": "evacuated"}
        case Machine(entry=entry):
            return {"now": "registered", "entry": entry}
    return {"now": "unreadable"}
