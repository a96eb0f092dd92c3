"""Replica of the store's records, merged by revision.

Records arrive from the store or from peers, in any order and repeatedly; the
highest revision of each key wins. A store that is restored from an older copy
begins a new era. What its first listing says against later knowledge is held
back for a while, since those who wrote it write it again; what is written in
the new era counts at once.
"""

import dataclasses

import msgspec

from chiverun.core.catalog import DesiredState
from chiverun.core.catalog import Machine
from chiverun.core.catalog import Server
from chiverun.core.catalog import ServerState
from chiverun.core.ids import ZoneName
from chiverun.core.revisions import era_of
from chiverun.core.revisions import Revision
from chiverun.core.revisions import StatedRevision
from chiverun.core.revisions import store_revision_of

# Servers that are alive register again within 2 s after a store outage, in
# which their records may have expired.
LAPSE_GRACE_S = 2.0
# The platform removes the records of servers that have been silent for three
# reports of 1.5 s. What a copy still says after that is no remnant.
RESTORE_HOLD_S = 6.0
# Longer than any message can be in transit, so none revives a deleted record.
TOMBSTONE_S = 120.0


class Evacuation(msgspec.Struct, frozen=True, kw_only=True, tag="evacuation"):
    """Marks a zone whose servers receive no requests."""

    zone: ZoneName


class Unreadable(msgspec.Struct, frozen=True, kw_only=True, tag="unreadable"):
    """Replaces a record that cannot be decoded."""

    reason: str


Record = DesiredState | Server | Machine | Evacuation | Unreadable


class VersionedRecord(msgspec.Struct, frozen=True, kw_only=True):
    """A record at a revision of the store; None if it has been deleted."""

    key: str
    revision: StatedRevision
    record: (
        DesiredState | Server | Machine | Evacuation | Unreadable | None
    ) = None


@dataclasses.dataclass(kw_only=True)
class Row:
    """State of one key; times are monotonic seconds.

    `content_revision` is the revision at which the decoded record last
    changed. `lapsed_until` is set while a server whose record has been
    deleted stays in use. `held` is what a restored store says instead of the
    record, which stays in use until `held_until`.
    """

    revision: Revision
    content_revision: Revision
    record: Record | None
    changed_at: float
    lapsed_until: float = float("-inf")
    held: VersionedRecord | None = None
    held_until: float = float("-inf")


class Replica:
    """Rows by key, complete up to revision `as_of`.

    All deletions since revision `history_from` are among the rows. Those
    before it may have been missed by a listing, or dropped as too old.
    """

    def __init__(self) -> None:
        self.rows: dict[str, Row] = {}
        self.as_of = Revision(0)
        self.history_from = Revision(0)

    def apply(
        self,
        items: list[VersionedRecord],
        *,
        now: float,
        lapse_until: float = float("-inf"),
    ) -> list[VersionedRecord]:
        """Merge records; return those that changed the replica.

        Parameters
        ----------
        items : list[VersionedRecord]
        now : float
            Monotonic seconds.
        lapse_until : float
            Time until which ready servers whose records are deleted stay in
            use: after a store outage, their records may merely have expired.
        """
        changed = []
        for item in items:
            row = self.rows.get(item.key)
            if self._is_superseded(item, row):
                continue
            if self._merge(item, row, now, lapse_until):
                changed.append(item)
        return changed

    def _is_superseded(self, item: VersionedRecord, row: Row | None) -> bool:
        """Return whether something later is known of the record's key.

        Versions of the desired state tell this better than revisions.
        """
        known = row.record if row is not None else None
        if isinstance(item.record, DesiredState):
            if not isinstance(known, DesiredState):
                return False
            if item.record.version != known.version:
                return item.record.version < known.version
        if era_of(item.revision) < era_of(self.as_of):
            return True
        if row is None:
            return False
        # What is held comes again with each listing of its era.
        is_held = row.held is not None and item.revision <= row.held.revision
        return is_held or item.revision <= row.revision

    def _merge(
        self,
        item: VersionedRecord,
        row: Row | None,
        now: float,
        lapse_until: float,
    ) -> bool:
        if item.record is None and row is None:
            self.rows[item.key] = Row(
                revision=item.revision,
                content_revision=item.revision,
                record=None,
                changed_at=now,
            )
            return False
        if row is not None and _reverts_state(row.record, item.record):
            return False
        if (
            item.record is None
            and row is not None
            and isinstance(row.record, Server)
            and row.record.state is ServerState.READY
            and lapse_until > now
        ):
            row.revision = item.revision
            row.content_revision = item.revision
            row.lapsed_until = lapse_until
            row.held = None
            return True
        unchanged = (
            row is not None
            and row.record == item.record
            and row.lapsed_until == float("-inf")
            and row.held is None
            and not _tells_remaining_time(item.record)
        )
        self.rows[item.key] = Row(
            revision=item.revision,
            content_revision=row.content_revision
            if unchanged and row
            else item.revision,
            record=item.record,
            changed_at=row.changed_at if unchanged and row else now,
        )
        return not unchanged

    def replace(
        self,
        items: list[VersionedRecord],
        as_of: Revision,
        *,
        now: float,
        lapse_until: float = float("-inf"),
    ) -> list[VersionedRecord]:
        """Merge a complete listing; delete the records that it lacks.

        The desired state is never deleted. A deletion found this way has no
        revision of its own and gets that of the listing.
        """
        if era_of(as_of) < era_of(self.as_of):
            return []
        present = {item.key for item in items}
        deleted = [
            VersionedRecord(key=key, revision=as_of)
            for key, row in self.rows.items()
            if key not in present
            and row.record is not None
            and row.revision <= as_of
            and not isinstance(row.record, DesiredState)
            and not _is_missing_in_copy(row, as_of)
        ]
        if self.as_of and era_of(as_of) > era_of(self.as_of):
            deleted = self._hold_back(deleted, now)
            items = self._hold_back(items, now)
        changed = []
        for item in deleted:
            if self._merge(item, self.rows[item.key], now, lapse_until):
                changed.append(item)
        changed += self.apply(items, now=now, lapse_until=lapse_until)
        self.as_of = max(self.as_of, as_of)
        self.history_from = max(self.history_from, as_of)
        return changed

    def forget_later(self, as_of: Revision) -> None:
        """Let records as of `as_of` supersede all that names later ones."""
        for row in self.rows.values():
            if row.revision > as_of:
                row.revision = row.content_revision = Revision(0)
            if row.held is not None and row.held.revision > as_of:
                row.held = None
        self.as_of = min(self.as_of, as_of)
        self.history_from = min(self.history_from, as_of)

    def _hold_back(
        self, items: list[VersionedRecord], now: float
    ) -> list[VersionedRecord]:
        """Hold what may be older than the rows; return the rest."""
        rest = []
        for item in items:
            row = self.rows.get(item.key)
            if row is not None and _may_be_older(item, row):
                row.held = item
                row.held_until = now + RESTORE_HOLD_S
            else:
                rest.append(item)
        return rest

    def release_held(self, now: float) -> list[VersionedRecord]:
        """Apply what has been held long enough; return what it changed."""
        due = [
            (row.held, row)
            for row in self.rows.values()
            if row.held is not None and row.held_until <= now
        ]
        changed = []
        for item, row in due:
            row.held = None
            if self._merge(item, row, now, float("-inf")):
                changed.append(item)
        return changed

    def held_keys(self) -> list[str]:
        """Return the keys for which the store's word is held back."""
        return [key for key, row in self.rows.items() if row.held is not None]

    def expire(self, now: float) -> list[str]:
        """Drop servers past `lapsed_until` and old tombstones."""
        dropped = []
        for key, row in list(self.rows.items()):
            if float("-inf") < row.lapsed_until <= now:
                row.record = None
                row.lapsed_until = float("-inf")
                row.changed_at = now
                dropped.append(key)
            elif row.held is not None:
                continue
            elif row.record is None and now - row.changed_at > TOMBSTONE_S:
                self.history_from = max(self.history_from, row.revision)
                del self.rows[key]
        return dropped

    def changed_after(self, revision: Revision) -> list[VersionedRecord]:
        """Return records and deletions that changed after a revision.

        They are complete only if the revision is at least `history_from`.
        """
        return [
            _stored_record(key, row)
            for key, row in self.rows.items()
            if _changed_at_revision(row) > revision
        ]

    def listing(self) -> list[VersionedRecord]:
        """Return all records as the store has them."""
        items = [_stored_record(key, row) for key, row in self.rows.items()]
        return [item for item in items if item.record is not None]

    def desired_state(self) -> DesiredState | None:
        """Return the desired state in force."""
        return next(
            (
                row.record
                for row in self.rows.values()
                if isinstance(row.record, DesiredState)
            ),
            None,
        )

    def servers(self) -> list[tuple[Server, float]]:
        """Return servers and the times at which their records changed."""
        return [
            (row.record, row.changed_at)
            for row in self.rows.values()
            if isinstance(row.record, Server)
        ]

    def machines(self) -> list[Machine]:
        """Return the registered edge instances."""
        return [
            row.record
            for row in self.rows.values()
            if isinstance(row.record, Machine)
        ]

    def evacuated(self) -> frozenset[ZoneName]:
        """Return the zones whose servers receive no requests."""
        return frozenset(
            row.record.zone
            for row in self.rows.values()
            if isinstance(row.record, Evacuation)
        )


def _stored_record(key: str, row: Row) -> VersionedRecord:
    """Return what the store says of a key, also if it is not in use."""
    if row.held is not None:
        return row.held
    is_lapsed = row.lapsed_until > float("-inf")
    return VersionedRecord(
        key=key,
        revision=row.revision,
        record=None if is_lapsed else row.record,
    )


def _changed_at_revision(row: Row) -> Revision:
    """Return the revision at which the store's record last changed."""
    return row.content_revision if row.held is None else row.held.revision


def _may_be_older(item: VersionedRecord, row: Row) -> bool:
    """Return whether a restored store may have forgotten a later record.

    A revision above that of the row was given out after the restoration, or
    the row would have it.
    """
    if not isinstance(row.record or item.record, Server | Evacuation):
        return False
    if item.record is None:
        # A server that is missing lapses like one after an outage.
        return isinstance(row.record, Evacuation)
    is_later = store_revision_of(item.revision) > store_revision_of(
        row.revision
    )
    return item.record != row.record and not is_later


def _is_missing_in_copy(row: Row, as_of: Revision) -> bool:
    """Return whether a copy is known to lack the row's record.

    That the next listing of the same era lacks it too is no news.
    """
    held = row.held
    return (
        held is not None
        and held.record is None
        and era_of(held.revision) == era_of(as_of)
    )


def _tells_remaining_time(record: Record | None) -> bool:
    """Return whether a record means something else if written later."""
    return isinstance(record, Server) and record.cold_left_s > 0


def _reverts_state(old: Record | None, new: Record | None) -> bool:
    """Return whether `new` would revert or remove a desired state."""
    if not isinstance(old, DesiredState):
        return False
    return not isinstance(new, DesiredState) or new.version < old.version
