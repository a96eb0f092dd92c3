"""Tests of the catalog follower with a scripted store and fake peers."""

import unittest

import logbook

from chiverun.core import edgemessages
from chiverun.core.catalog import ClientLimits
from chiverun.core.catalog import DesiredState
from chiverun.core.catalog import Machine
from chiverun.core.edgemessages import Heartbeat
from chiverun.core.edgemessages import Pull
from chiverun.core.edgemessages import Snapshot
from chiverun.core.edgemessages import Update
from chiverun.core.replica import VersionedRecord
from chiverun.integrations.catalogstore import CatalogUnavailable
from chiverun.integrations.catalogstore import Changes
from chiverun.integrations.catalogstore import HistoryCompacted
from chiverun.runtime.follower import CatalogFollower
from tests.records import make_server

_STATE = DesiredState(version=1, routes=(), services=(), limits=ClientLimits())


def make_machine(name: str) -> Machine:
    return Machine(
        name=name,
        peer=f"10.0.0.{name[1:]}:1",
        entry=f"10.0.0.{name[1:]}:2",
        zone="z",
        region="r",
    )


def _items(*records: tuple[str, int, object]) -> list[VersionedRecord]:
    return [
        VersionedRecord(key=key, revision=revision, record=record)
        for key, revision, record in records
    ]


def _keys_and_records(update: Update) -> list[tuple[str, object]]:
    return [(item.key, item.record) for item in update.items]


class FakeStore:
    """Answers calls from a script; raises scripted exceptions."""

    def __init__(self) -> None:
        self.script: list[Changes | Exception] = []
        self.calls: list[str] = []

    async def read_all(self) -> Changes:
        return self._next("read_all")

    async def changes_since(self, revision: int, wait_s: float) -> Changes:
        return self._next("changes_since")

    async def register(self, machine: Machine, known_revision: int) -> bool:
        self.calls.append("register")
        return True

    def _next(self, name: str) -> Changes:
        self.calls.append(name)
        reply = self.script.pop(0)
        if isinstance(reply, Exception):
            raise reply
        return reply


class FakePeers:
    def __init__(self) -> None:
        self.sent: list[tuple[str, object]] = []

    def send(self, address: str, payload: bytes) -> None:
        self.sent.append((address, edgemessages.decode(payload)))


class FollowerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.store = FakeStore()
        self.peers = FakePeers()
        self.logs = logbook.TestHandler()
        self.logs.push_application()
        self.addCleanup(self.logs.pop_application)
        self.follower = CatalogFollower(
            me=make_machine("m5"),
            boot_id="l1",
            store=self.store,
            peers=self.peers,
            seeds=(),
            on_change=lambda: None,
            on_limits=lambda message: None,
            on_suspect=lambda message: None,
        )

    async def _read_once(self, reply: Changes | Exception) -> None:
        """Run a single store read of the follower."""
        self.store.script = [reply]
        try:
            await self.follower._read()
        except (CatalogUnavailable, HistoryCompacted) as exc:
            self.follower._record_failure(exc)

    async def _load_catalog(self) -> None:
        records = [
            ("op/config", 2, _STATE),
            ("servers/a", 3, make_server("a")),
            ("chiverun/machines/m5", 4, make_machine("m5")),
            ("chiverun/machines/m1", 5, make_machine("m1")),
        ]
        await self._read_once(Changes(items=_items(*records), as_of=5))

    def _receive(self, message) -> None:
        self.follower._receive(edgemessages.encode(message))

    def _servers(self) -> list[str]:
        return [s.name for s, _ in self.follower.replica.servers()]

    def _update(self, since: int, as_of: int, items, **fields) -> Update:
        return Update(
            sender="m1",
            boot_id="l9",
            since=since,
            as_of=as_of,
            items=items,
            lapse_left_s=0.0,
            **fields,
        )

    async def test_removal_without_an_outage_is_immediate(self) -> None:
        await self._load_catalog()
        removal = Changes(items=_items(("servers/a", 6, None)), as_of=6)
        await self._read_once(removal)
        self.assertEqual(self._servers(), [])

    async def test_entry_that_expired_in_an_outage_is_kept(self) -> None:
        await self._load_catalog()
        await self._read_once(CatalogUnavailable("down"))
        self.follower._read_at -= 5.0
        self.follower.table.relay_heard_at -= 5.0
        removal = Changes(items=_items(("servers/a", 6, None)), as_of=6)
        await self._read_once(removal)
        self.assertEqual(self._servers(), ["a"])

    async def test_read_failures_are_no_outage_while_the_relay_works(
        self,
    ) -> None:
        # The store rejects this machine but not the machine that relays, so
        # records removed meanwhile were deleted and did not expire.
        await self._load_catalog()
        await self._read_once(CatalogUnavailable("rejected"))
        self.follower._read_at -= 9.0
        self._receive(self._update(5, 5, []))
        removal = Changes(items=_items(("servers/a", 6, None)), as_of=6)
        await self._read_once(removal)
        self.assertEqual(self._servers(), [])

    async def test_missing_history_triggers_a_full_read(self) -> None:
        await self._load_catalog()
        await self._read_once(HistoryCompacted())
        listing = [
            ("op/config", 2, _STATE),
            ("chiverun/machines/m5", 4, make_machine("m5")),
        ]
        await self._read_once(Changes(items=_items(*listing), as_of=9))
        self.assertEqual(self.store.calls[-1], "read_all")
        self.assertEqual(self._servers(), [])

    async def test_store_loss_is_logged_once(self) -> None:
        for _ in range(3):
            await self._read_once(CatalogUnavailable("down"))
        lost = [r for r in self.logs.records if r.message == "store lost"]
        self.assertEqual(len(lost), 1)

    async def test_missed_update_triggers_a_pull(self) -> None:
        await self._load_catalog()
        heartbeat = Heartbeat(
            machine=make_machine("m1"),
            boot_id="l9",
            leaving=False,
            reads_store=True,
        )
        self._receive(heartbeat)
        self.peers.sent.clear()
        self._receive(self._update(8, 9, _items(("servers/a", 9, None))))
        self.assertEqual(self._servers(), ["a"])
        [(address, pull)] = self.peers.sent
        self.assertEqual((address, pull.as_of), ("10.0.0.1:1", 5))
        self._receive(self._update(5, 9, _items(("servers/a", 9, None))))
        self.assertEqual(self._servers(), [])

    async def test_first_read_is_not_relayed(self) -> None:
        # On a site of 78 machines the full listings relayed at startup made
        # up most of the traffic between zones.
        await self._load_catalog()
        updates = [m for _, m in self.peers.sent if isinstance(m, Update)]
        self.assertEqual(updates, [])

    async def test_reader_relays_changes(self) -> None:
        await self._load_catalog()
        self.assertTrue(self.follower._must_read())
        removal = Changes(items=_items(("servers/a", 6, None)), as_of=6)
        await self._read_once(removal)
        updates = [m for _, m in self.peers.sent if isinstance(m, Update)]
        self.assertEqual([u.as_of for u in updates], [6])

    async def test_pull_is_answered_with_changes_or_a_snapshot(self) -> None:
        """Guards against a server that stays in use after it has left.

        This machine read the whole store at revision 5 and does not know what
        was deleted before.
        """
        await self._load_catalog()
        removal = Changes(items=_items(("servers/a", 7, None)), as_of=7)
        await self._read_once(removal)
        self.peers.sent.clear()
        for as_of in (0, 3, 5, 7):
            self._receive(Pull(reply_to="10.0.0.9:1", as_of=as_of))
        (_, first), (_, behind), (_, changes) = self.peers.sent
        self.assertIsInstance(first, Snapshot)
        self.assertIsInstance(behind, Snapshot)
        self.assertIsInstance(changes, Update)
        self.assertEqual([("servers/a", None)], _keys_and_records(changes))

    async def test_left_server_is_gone_after_a_restart_of_the_relay(
        self,
    ) -> None:
        """Guards against the return of a server that has left.

        Server a leaves at revision 6, which this machine misses. The relay,
        started again, has read the whole store at revision 8 and answers.
        """
        await self._load_catalog()
        relay = CatalogFollower(
            me=make_machine("m1"),
            boot_id="l2",
            store=FakeStore(),
            peers=FakePeers(),
            seeds=(),
            on_change=lambda: None,
            on_limits=lambda message: None,
            on_suspect=lambda message: None,
        )
        relay._store.script = [
            Changes(
                items=_items(
                    ("op/config", 2, _STATE),
                    ("chiverun/machines/m1", 5, make_machine("m1")),
                    ("servers/b", 8, make_server("b")),
                ),
                as_of=8,
            )
        ]
        await relay._read()
        relay._receive(
            edgemessages.encode(Pull(reply_to="10.0.0.5:1", as_of=5))
        )
        self._receive(relay._peers.sent[-1][1])
        self.assertEqual(["b"], self._servers())

    async def test_update_after_a_listing_is_checked_for_gaps(self) -> None:
        """Guards against a deletion that a relay's full read has passed over.

        The relay was at revision 3 when it read the whole store.
        """
        await self._load_catalog()
        self._receive(
            Heartbeat(
                machine=make_machine("m1"),
                boot_id="l9",
                leaving=False,
                reads_store=True,
            )
        )
        self.peers.sent.clear()
        self._receive(self._update(3, 9, [], from_listing=True))
        [(_, pull)] = self.peers.sent
        self.assertEqual(Pull(reply_to="10.0.0.5:1", as_of=5), pull)
        self.assertEqual(5, self.follower.replica.as_of)
        self._receive(self._update(5, 9, [], from_listing=True))
        self.assertEqual(9, self.follower.replica.as_of)

    async def test_machine_without_store_starts_from_peers(self) -> None:
        await self._read_once(CatalogUnavailable("down"))
        self.assertFalse(self.follower.is_current)
        items = _items(
            ("op/config", 2, _STATE), ("servers/a", 3, make_server("a"))
        )
        self._receive(Snapshot(as_of=5, items=items))
        self.assertTrue(self.follower.is_current)
        self.assertEqual(self._servers(), ["a"])

    async def test_invalid_peer_messages_are_ignored(self) -> None:
        await self._load_catalog()
        for payload in (b"", b"\xc1", b"\x81\xa4type\xa1z", b"x" * 99):
            self.follower._receive(payload)
        self.assertEqual(self._servers(), ["a"])
