"""Tests of the replica: records never revert, in any order of arrival."""

import dataclasses
import unittest

from nose2.tools import params

from chiverun.core.catalog import ClientLimits
from chiverun.core.catalog import DesiredState
from chiverun.core.catalog import ServerState
from chiverun.core.replica import Evacuation
from chiverun.core.replica import LAPSE_GRACE_S
from chiverun.core.replica import Record
from chiverun.core.replica import Replica
from chiverun.core.replica import RESTORE_HOLD_S
from chiverun.core.replica import TOMBSTONE_S
from chiverun.core.replica import Unreadable
from chiverun.core.replica import VersionedRecord
from chiverun.core.revisions import make_revision
from tests.records import make_server


def _state(version: int) -> DesiredState:
    return DesiredState(
        version=version, routes=(), services=(), limits=ClientLimits()
    )


def _versioned(key: str, revision: int, record=None) -> VersionedRecord:
    return VersionedRecord(key=key, revision=revision, record=record)


class ReplicaTest(unittest.TestCase):
    def setUp(self) -> None:
        self.replica = Replica()

    @params(
        # An older revision arrives late, from a slower peer.
        ([(5, _state(9)), (4, _state(8))], 9),
        # A restored store has an older version at a newer revision.
        ([(5, _state(9)), (6, _state(8))], 9),
        # An undecodable record or a deletion leaves it in force.
        ([(5, _state(9)), (6, Unreadable(reason="x"))], 9),
        ([(5, _state(9)), (6, None)], 9),
        ([(5, _state(9)), (6, _state(12))], 12),
    )
    def test_desired_state_never_reverts(self, items, version) -> None:
        """Guards against an older configuration that replaces a newer one."""
        for revision, record in items:
            self.replica.apply(
                [_versioned("op/config", revision, record)], now=1.0
            )
        self.assertEqual(self.replica.desired_state().version, version)

    def test_repeated_record_is_no_change(self) -> None:
        """Guards against forwarding a record whose content is unchanged."""
        first = self.replica.apply(
            [_versioned("a", 1, make_server())], now=1.0
        )
        again = self.replica.apply(
            [_versioned("a", 2, make_server())], now=2.0
        )
        self.assertEqual((len(first), len(again)), (1, 0))
        self.assertEqual(self.replica.changed_after(1), [])

    def test_deletion_arrives_before_earlier_write(self) -> None:
        """Guards against a deleted server revived by a late message."""
        self.replica.apply([_versioned("a", 7, None)], now=1.0)
        self.replica.apply([_versioned("a", 6, make_server())], now=1.0)
        self.assertEqual(self.replica.servers(), [])

    def test_listing_removes_missing_records(self) -> None:
        """Guards against keeping a server deleted while not connected."""
        self.replica.apply(
            [
                _versioned("a", 1, make_server("a")),
                _versioned("b", 2, make_server("b")),
            ],
            now=1.0,
        )
        self.replica.replace(
            [_versioned("b", 2, make_server("b"))], 5, now=2.0
        )
        names = [server.name for server, _ in self.replica.servers()]
        self.assertEqual(names, ["b"])

    def test_listing_keeps_newer_records(self) -> None:
        """Guards against an older listing that removes a new server."""
        self.replica.apply([_versioned("a", 9, make_server("a"))], now=1.0)
        self.replica.replace([], 5, now=2.0)
        self.assertEqual(len(self.replica.servers()), 1)

    def test_lapsed_server_is_dropped_after_grace_period(self) -> None:
        """Guards against losing servers, or keeping them, after an outage."""
        self.replica.apply([_versioned("a", 1, make_server())], now=10.0)
        until = 10.0 + LAPSE_GRACE_S
        self.replica.apply([_versioned("a", 2)], now=10.0, lapse_until=until)
        self.assertEqual(len(self.replica.servers()), 1)
        self.replica.expire(until + 0.1)
        self.assertEqual(self.replica.servers(), [])

    def test_lapsed_server_that_registers_again_stays(self) -> None:
        """Guards against dropping a server that has registered again."""
        self.replica.apply([_versioned("a", 1, make_server())], now=10.0)
        self.replica.apply([_versioned("a", 2)], now=10.0, lapse_until=12.0)
        self.replica.apply([_versioned("a", 3, make_server())], now=11.0)
        self.replica.expire(20.0)
        self.assertEqual(len(self.replica.servers()), 1)

    def test_deleted_draining_server_is_dropped_at_once(self) -> None:
        """Guards against sending requests to a server that shuts down."""
        draining = make_server(state=ServerState.DRAINING)
        self.replica.apply([_versioned("a", 1, draining)], now=10.0)
        self.replica.apply([_versioned("a", 2)], now=10.0, lapse_until=12.0)
        self.assertEqual(self.replica.servers(), [])

    def test_evacuation_ends_with_its_record(self) -> None:
        """Guards against a zone that stays evacuated."""
        self.replica.apply(
            [_versioned("e", 1, Evacuation(zone="z1"))], now=1.0
        )
        self.assertEqual(self.replica.evacuated(), {"z1"})
        self.replica.apply([_versioned("e", 2)], now=1.0)
        self.assertEqual(self.replica.evacuated(), frozenset())

    def test_two_replicas_agree_through_deltas(self) -> None:
        """Guards against a change or deletion missing from a delta."""
        other = Replica()
        self.replica.apply([_versioned("a", 1, make_server("a"))], now=1.0)
        other.apply(self.replica.changed_after(0), now=1.0)
        self.replica.apply(
            [_versioned("a", 3), _versioned("b", 4, make_server("b"))], now=2.0
        )
        other.apply(self.replica.changed_after(1), now=2.0)
        self.assertEqual(other.servers(), self.replica.servers())

    def test_listing_lacks_earlier_deletions(self) -> None:
        """Guards against changes that omit the deletion of a server.

        The server was registered and removed while this replica was away, so
        that a replica which knows the server must not rely on these changes.
        """
        self.replica.replace(
            [_versioned("b", 9, make_server("b"))], 10, now=1.0
        )
        self.assertEqual(10, self.replica.history_from)
        self.replica.apply([_versioned("b", 12)], now=1.0)
        self.assertEqual(10, self.replica.history_from)

    def test_dropped_deletions_are_not_history(self) -> None:
        """Guards against changes without a deletion that was forgotten."""
        self.replica.apply([_versioned("a", 1, make_server("a"))], now=1.0)
        self.replica.apply([_versioned("a", 7)], now=1.0)
        self.replica.expire(1.0 + TOMBSTONE_S - 1)
        self.assertEqual(0, self.replica.history_from)
        self.replica.expire(1.0 + TOMBSTONE_S + 1)
        self.assertEqual(7, self.replica.history_from)


_READY = make_server("a")
_DRAINING = make_server("a", state=ServerState.DRAINING)
_STARTED_AGAIN = make_server("a", started_ms=2)
_EVACUATED = Evacuation(zone="z1")


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Restoration:
    """A record before and after the store was restored.

    `known` is written at revision `known_at`; the copy has `copied` from
    revision 3, or nothing. `held` is whether the known one stays in use.
    """

    known: Record | None
    copied: Record | None
    known_at: int = 7
    copied_at: int = 3
    held: bool = True


class RestoredReplicaTest(unittest.TestCase):
    """The store is restored from the copy of revision 5; it was at 9."""

    def setUp(self) -> None:
        self.replica = Replica()

    def _write(self, era: int, revision: int, record: Record | None) -> None:
        item = _versioned("a", make_revision(era, revision), record)
        self.replica.apply([item], now=10.0)

    def _list(
        self,
        era: int,
        revision: int,
        record: Record | None,
        *,
        as_of: int = 5,
        now: float = 10.0,
    ) -> None:
        items = []
        if record is not None:
            items = [_versioned("a", make_revision(era, revision), record)]
        self.replica.replace(items, make_revision(era, as_of), now=now)

    def _in_use(self) -> Record | None:
        return self.replica.rows["a"].record

    @params(
        # A server that drains, has left, or was started again.
        _Restoration(known=_DRAINING, copied=_READY),
        _Restoration(known=None, copied=_READY),
        _Restoration(known=_STARTED_AGAIN, copied=_READY),
        # An evacuation, and the end of one.
        _Restoration(known=_EVACUATED, copied=None),
        _Restoration(known=None, copied=_EVACUATED),
        # A record that was not written between the copy and the outage, so
        # that a later revision can only come from after it.
        _Restoration(
            known=_READY, copied=_DRAINING, known_at=2, copied_at=4, held=False
        ),
        _Restoration(
            known=None, copied=_EVACUATED, known_at=2, copied_at=4, held=False
        ),
    )
    def test_later_knowledge_outlasts_the_copy_for_a_while(self, case) -> None:
        """Guards against a server that is used again after it has left.

        Who wrote the record writes it again, unless it is no longer there.
        """
        self._write(1, 3, case.copied or case.known)
        self._write(1, case.known_at, case.known)
        self.replica.as_of = make_revision(1, 9)
        self._list(2, case.copied_at, case.copied)
        expected = case.known if case.held else case.copied
        self.assertEqual(expected, self._in_use())
        self.assertEqual(["a"] if case.held else [], self.replica.held_keys())
        before = 10.0 + RESTORE_HOLD_S - 0.1
        self.assertEqual([], self.replica.release_held(before))
        self.replica.expire(before)
        self.assertEqual(expected, self._in_use())
        self.replica.release_held(before + 0.2)
        self.assertEqual(case.copied, self._in_use())

    @params(
        (_STARTED_AGAIN, _READY),
        (_DRAINING, _READY),
        (None, _READY),
        (_EVACUATED, None),
        (None, _EVACUATED),
    )
    def test_second_listing_of_an_era_holds_as_well(
        self, known, copied
    ) -> None:
        """Guards against a gone process that gets requests again at once.

        Another machine's snapshot, or a second read, lists the copy while its
        records are held; their time runs from the first listing.
        """
        self._write(1, 3, copied or known)
        self._write(1, 7, known)
        self.replica.as_of = make_revision(1, 9)
        self._list(2, 3, copied)
        later = 10.0 + RESTORE_HOLD_S - 0.1
        for revision in (5, 6):
            self._list(2, 3, copied, as_of=revision, now=later)
            self.assertEqual(known, self._in_use())
            self.assertEqual(["a"], self.replica.held_keys())
        self.replica.release_held(later + 0.2)
        self.assertEqual(copied, self._in_use())

    def test_late_record_of_a_copy_is_held_as_well(self) -> None:
        """Guards against the same by an update that comes late."""
        self._write(1, 7, _STARTED_AGAIN)
        self.replica.as_of = make_revision(1, 9)
        self._list(2, 3, _READY)
        self._write(2, 3, _READY)
        self.assertEqual(_STARTED_AGAIN, self._in_use())

    def test_deletion_after_a_restoration_is_in_force(self) -> None:
        """Guards against a server that is held although its record ended."""
        self._write(1, 7, _DRAINING)
        self.replica.as_of = make_revision(1, 9)
        self._list(2, 3, _READY)
        self._list(2, 3, None, as_of=6)
        self.assertIsNone(self._in_use())

    @params(1, 2)
    def test_record_written_after_a_restoration_is_in_use(self, times) -> None:
        """Guards against news that is dropped for its low revision."""
        self._write(1, 7, _DRAINING)
        self.replica.as_of = make_revision(1, 9)
        for number in range(times):
            era = 2 + number
            self._list(era, 3, _READY)
            self.assertEqual(_DRAINING, self._in_use())
            self._write(era, 6, _STARTED_AGAIN)
            self.assertEqual(_STARTED_AGAIN, self._in_use())
            self._write(era, 7, _DRAINING)
        self.replica.release_held(10.0 + 2 * RESTORE_HOLD_S)
        self.assertEqual(_DRAINING, self._in_use())

    def test_missed_era_changes_nothing(self) -> None:
        """Guards against a machine that was paused while two eras began."""
        self._write(1, 7, _DRAINING)
        self.replica.as_of = make_revision(1, 9)
        self._list(3, 3, _READY)
        self.assertEqual(_DRAINING, self._in_use())
        self._write(2, 8, _READY)
        self.assertEqual(_DRAINING, self._in_use())
        self._write(3, 6, _READY)
        self.assertEqual(_READY, self._in_use())

    def test_older_era_is_ignored(self) -> None:
        """Guards against a late message that brings a gone server back."""
        self._list(2, 3, None)
        self._write(1, 8, _READY)
        self.assertNotIn("a", self.replica.rows)
        as_of = make_revision(1, 9)
        items = [_versioned("b", make_revision(1, 8), make_server("b"))]
        self.assertEqual([], self.replica.replace(items, as_of, now=10.0))
        self.assertEqual(make_revision(2, 5), self.replica.as_of)

    @params((1, 3, 8, 8), (1, 9, 9, 9), (2, 1, 9, 9), (2, 1, 7, 8))
    def test_highest_state_version_wins_in_any_era(
        self, era, revision, version, in_force
    ) -> None:
        """Guards against a state that goes back, or does not go forward."""
        self._write(1, 7, _state(8))
        self._list(2, 3, _state(5))
        self.assertEqual(8, self.replica.desired_state().version)
        self._write(era, revision, _state(version))
        self.assertEqual(in_force, self.replica.desired_state().version)

    def test_server_that_is_missing_in_a_copy_lapses(self) -> None:
        """Guards against servers lost until they have registered again."""
        self._write(1, 7, _READY)
        self.replica.as_of = make_revision(1, 9)
        until = 10.0 + LAPSE_GRACE_S
        self.replica.replace(
            [], make_revision(2, 5), now=10.0, lapse_until=until
        )
        self.assertEqual(1, len(self.replica.servers()))
        self.replica.expire(until + 0.1)
        self.assertEqual([], self.replica.servers())

    def test_other_machines_are_told_what_the_store_says(self) -> None:
        """Guards against a held record that a new machine keeps for ever."""
        self._write(1, 7, _EVACUATED)
        self.replica.as_of = make_revision(1, 9)
        self._list(2, 3, None)
        self.assertEqual({"z1"}, self.replica.evacuated())
        self.assertEqual([], self.replica.listing())
