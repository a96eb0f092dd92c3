"""Tests of the catalog follower against a scripted store and peers."""

import unittest

import logbook

from chiverun.core import edgemessages
from chiverun.core.catalog import ClientLimits
from chiverun.core.catalog import DesiredState
from chiverun.core.catalog import Machine
from chiverun.core.catalog import Server
from chiverun.core.catalog import ServerState
from chiverun.core.edgemessages import Heartbeat
from chiverun.core.edgemessages import Pull
from chiverun.core.edgemessages import Snapshot
from chiverun.core.edgemessages import Update
from chiverun.core.replica import VersionedRecord
from chiverun.integrations.catalogstore import CatalogUnavailable
from chiverun.integrations.catalogstore import Changes
from chiverun.integrations.catalogstore import HistoryCompacted
from chiverun.runtime.follower import CatalogFollower

_STATE = DesiredState(version=1, routes=(), services=(), limits=ClientLimits())


def _machine(name: str) -> Machine:
    return Machine(
        name=name,
        peer=f"10.0.0.{name[1:]}:1",
        entry=f"10.0.0.{name[1:]}:2",
        zone="z",
        region="r",
    )


def _server(name: str) -> Server:
    return Server(
        name=name,
        service="mill",
        address="10.1.0.1:80",
        zone="z",
        slots=4,
        state=ServerState.READY,
        cold_left_s=0.0,
        started_ms=1,
    )


def _items(*records: tuple[str, int, object]) -> list[VersionedRecord]:
    return [
        VersionedRecord(key=key, revision=revision, record=record)
        for key, revision, record in records
    ]


class _Store:
    """Answers calls from a script; an exception in it is raised."""

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
        answer = self.script.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer


class _Peers:
    def __init__(self) -> None:
        self.sent: list[tuple[str, object]] = []

    def send(self, address: str, payload: bytes) -> None:
        self.sent.append((address, edgemessages.decode(payload)))


class FollowerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.store = _Store()
        self.peers = _Peers()
        self.logs = logbook.TestHandler()
        self.logs.push_application()
        self.addCleanup(self.logs.pop_application)
        self.follower = CatalogFollower(
            me=_machine("m5"),
            boot_id="l1",
            store=self.store,
            peers=self.peers,
            seeds=(),
            on_change=lambda: None,
        )

    async def _step(self, answer: Changes | Exception) -> None:
        """Let the follower make one read."""
        self.store.script = [answer]
        try:
            await self.follower._read()
        except (CatalogUnavailable, HistoryCompacted) as exc:
            self.follower._note_failure(exc)

    async def _begin(self) -> None:
        records = [
            ("op/config", 2, _STATE),
            ("servers/a", 3, _server("a")),
            ("chiverun/machines/m5", 4, _machine("m5")),
            ("chiverun/machines/m1", 5, _machine("m1")),
        ]
        await self._step(Changes(items=_items(*records), as_of=5))

    def _receive(self, message) -> None:
        self.follower._receive(edgemessages.encode(message))

    def _servers(self) -> list[str]:
        return [s.name for s, _ in self.follower.replica.servers()]

    def _update(self, since: int, as_of: int, items, **more) -> Update:
        return Update(
            sender="m1",
            boot_id="l9",
            since=since,
            as_of=as_of,
            items=items,
            lapse_left_s=0.0,
            **more,
        )

    async def test_removal_without_an_outage_counts_at_once(self) -> None:
        await self._begin()
        gone = Changes(items=_items(("servers/a", 6, None)), as_of=6)
        await self._step(gone)
        self.assertEqual(self._servers(), [])

    async def test_entry_that_lapsed_in_an_outage_is_kept(self) -> None:
        await self._begin()
        await self._step(CatalogUnavailable("down"))
        self.follower._read_at -= 5.0
        self.follower.table.relay_heard_at -= 5.0
        gone = Changes(items=_items(("servers/a", 6, None)), as_of=6)
        await self._step(gone)
        self.assertEqual(self._servers(), ["a"])

    async def test_own_trouble_is_no_outage_while_a_relay_is_heard(
        self,
    ) -> None:
        # The machine was turned away for long, but its hub was not: what
        # is removed meanwhile did not lapse.
        await self._begin()
        await self._step(CatalogUnavailable("turned away"))
        self.follower._read_at -= 9.0
        self._receive(self._update(5, 5, []))
        gone = Changes(items=_items(("servers/a", 6, None)), as_of=6)
        await self._step(gone)
        self.assertEqual(self._servers(), [])

    async def test_forgotten_history_leads_to_a_listing(self) -> None:
        await self._begin()
        await self._step(HistoryCompacted())
        listing = [
            ("op/config", 2, _STATE),
            ("chiverun/machines/m5", 4, _machine("m5")),
        ]
        await self._step(Changes(items=_items(*listing), as_of=9))
        self.assertEqual(self.store.calls[-1], "read_all")
        self.assertEqual(self._servers(), [])

    async def test_lost_store_is_logged_once(self) -> None:
        for _ in range(3):
            await self._step(CatalogUnavailable("down"))
        lost = [r for r in self.logs.records if r.message == "store lost"]
        self.assertEqual(len(lost), 1)

    async def test_missed_update_is_pulled(self) -> None:
        await self._begin()
        beat = Heartbeat(
            machine=_machine("m1"),
            boot_id="l9",
            leaving=False,
            reads_store=True,
        )
        self._receive(beat)
        self.peers.sent.clear()
        self._receive(self._update(8, 9, _items(("servers/a", 9, None))))
        self.assertEqual(self._servers(), ["a"])
        [(address, pull)] = self.peers.sent
        self.assertEqual((address, pull.as_of), ("10.0.0.1:1", 5))
        self._receive(self._update(5, 9, _items(("servers/a", 9, None))))
        self.assertEqual(self._servers(), [])

    async def test_a_start_tells_the_region_nothing_it_has(self) -> None:
        # On a site of 78 machines the listings of all starts together were
        # most of the bytes between zones.
        await self._begin()
        updates = [m for _, m in self.peers.sent if isinstance(m, Update)]
        self.assertEqual(updates, [])

    async def test_reader_relays_changes(self) -> None:
        await self._begin()
        self.assertTrue(self.follower._must_read())
        gone = Changes(items=_items(("servers/a", 6, None)), as_of=6)
        await self._step(gone)
        updates = [m for _, m in self.peers.sent if isinstance(m, Update)]
        self.assertEqual([u.as_of for u in updates], [6])

    async def test_pull_is_answered_with_changes_or_everything(self) -> None:
        await self._begin()
        self.peers.sent.clear()
        self._receive(Pull(reply_to="10.0.0.9:1", as_of=3))
        self._receive(Pull(reply_to="10.0.0.9:1", as_of=0))
        self._receive(Pull(reply_to="10.0.0.9:1", as_of=5))
        (_, changes), (_, everything) = self.peers.sent
        self.assertIsInstance(changes, Update)
        self.assertEqual(len(changes.items), 2)
        self.assertIsInstance(everything, Snapshot)

    async def test_machine_without_store_starts_from_a_snapshot(self) -> None:
        await self._step(CatalogUnavailable("down"))
        self.assertFalse(self.follower.is_current)
        items = _items(
            ("op/config", 2, _STATE), ("servers/a", 3, _server("a"))
        )
        self._receive(Snapshot(as_of=5, items=items))
        self.assertTrue(self.follower.is_current)
        self.assertEqual(self._servers(), ["a"])

    async def test_garbage_from_a_peer_changes_nothing(self) -> None:
        await self._begin()
        for payload in (b"", b"\xc1", b"\x81\xa4type\xa1z", b"x" * 99):
            self.follower._receive(payload)
        self.assertEqual(self._servers(), ["a"])
