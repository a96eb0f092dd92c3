"""Tests of the store client with a stand-in store and its faults."""

import asyncio
import json
import unittest
from unittest import mock

import logbook

from chiverun.core.catalog import Machine
from chiverun.core.revisions import Era
from chiverun.core.revisions import ERA_MAX
from chiverun.core.revisions import era_of
from chiverun.core.revisions import make_revision
from chiverun.integrations.catalogstore import CatalogUnavailable
from chiverun.integrations.catalogstore import HistoryCompacted
from chiverun.platform import store as store_module
from chiverun.platform.store import EARLIER_ERAS_MAX
from chiverun.platform.store import PlatformStore
from standins.metastore import Faults
from standins.metastore import MetaStore
from tests.adapter.examples import desired_state
from tests.adapter.examples import server_entry
from tests.ports import free_address

_MACHINE = Machine(
    name="m1",
    peer="127.0.0.1:1",
    entry="127.0.0.1:2",
    zone="z",
    region="r",
)

# Decoding as a whole takes longer than this, one by one much less.
_LOOP_HELD_MAX_S = 0.25


class StoreTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        address = free_address()
        self.standin = MetaStore()
        self.server = await self.standin.start(address)
        self.store = PlatformStore(address=address)
        await self.standin.put(
            "op/config", json.dumps(desired_state()).encode()
        )

    async def asyncTearDown(self) -> None:
        self.store.close()
        self.server.close()

    async def test_read_all_reads_all_pages(self) -> None:
        """Guards against a list that ends after the first page."""
        for i in range(120):
            await self.standin.put(f"servers/i-{i:03}", server_entry())
        changes = await self.store.read_all()
        self.assertEqual(len(changes.items), 121)
        as_of = make_revision(Era(1), self.standin.revision)
        self.assertEqual(changes.as_of, as_of)

    async def test_watch_returns_changes_and_deletions(self) -> None:
        """Guards against a watch that loses deletions."""
        as_of = (await self.store.read_all()).as_of
        await self.standin.put("servers/i-1", server_entry())
        await self.standin.remove("servers/i-1")
        changes = await self.store.changes_since(as_of, 0.5)
        kinds = [item.record is None for item in changes.items]
        self.assertEqual(kinds, [False, True])
        empty = await self.store.changes_since(changes.as_of, 0.05)
        self.assertEqual(empty.items, [])

    async def test_discarded_history_raises(self) -> None:
        """Guards against treating discarded history as no change."""
        as_of = (await self.store.read_all()).as_of
        await self.standin.put("servers/i-1", server_entry())
        self.standin.forget_history()
        with self.assertRaises(HistoryCompacted):
            await self.store.changes_since(as_of, 0.1)

    async def test_watch_into_another_era_is_missing_history(self) -> None:
        """Guards against changes that were skipped by a restoration.

        The store has passed the revision once more.
        """
        older = self.standin.copy()
        await self.standin.put("servers/a", server_entry())
        as_of = (await self.store.read_all()).as_of
        self.standin.restore(older)
        for _ in range(4):
            await self.standin.put("servers/b", server_entry())
        with self.assertRaises(HistoryCompacted):
            await self.store.changes_since(as_of, 0.1)
        restored_at = (await self.store.read_all()).as_of
        self.assertGreater(restored_at, as_of)
        await self.standin.put("servers/c", server_entry())
        changes = await self.store.changes_since(restored_at, 0.1)
        self.assertEqual(["servers/c"], [item.key for item in changes.items])

    async def test_unknown_era_is_no_answer(self) -> None:
        """Guards against revisions that are ordered by a wrong era."""
        await self.store.read_all()
        for era in (0, -1, "x", 10**30, ""):
            self.standin.era = era
            with self.assertRaises(CatalogUnavailable):
                await self.store.read_all()
        self.standin.era = 1
        await self.store.read_all()

    async def test_wrong_era_ends_with_the_next_right_ones(self) -> None:
        """Guards against one wrong era after which no answer counts."""
        await self.store.read_all()
        self.standin.era = ERA_MAX
        await self.store.read_all()
        self.standin.era = 1
        for _ in range(EARLIER_ERAS_MAX - 1):
            with self.assertRaises(CatalogUnavailable):
                await self.store.read_all()
        changes = await self.store.read_all()
        self.assertEqual(1, era_of(changes.as_of))

    async def test_store_failure_is_not_an_empty_list(self) -> None:
        """Guards against treating a failing store as an empty one."""
        for faults in (
            Faults(refuse_with=503),
            Faults(refuse_with=429),
            Faults(silent=True),
        ):
            self.standin.faults = faults
            with self.assertRaises(CatalogUnavailable):
                await self.store.read_all()
            self.standin.faults = Faults()
            self.assertEqual(len((await self.store.read_all()).items), 1)

    async def test_write_with_lost_response_can_be_retried(self) -> None:
        """Guards against a failed registration after a lost response."""
        self.standin.faults = Faults(lose_writes=1)
        with self.assertRaises(CatalogUnavailable):
            await self.store.register(_MACHINE, 0)
        self.assertFalse(await self.store.register(_MACHINE, 0))
        keys = [i.key for i in (await self.store.read_all()).items]
        self.assertIn("chiverun/machines/m1", keys)

    async def test_malformed_rows_are_skipped(self) -> None:
        """Guards against a malformed row that hides the valid ones."""
        valid = {"key": "servers/a", "revision": 2}
        body = {
            "items": [7, {}, {"key": 1}, valid, "x", [["\ud800"]]],
            "storeRevision": 3,
        }
        checked = store_module.decode_body(json.dumps(body).encode(), "/x")
        with logbook.TestHandler() as logs:
            rows = [
                row async for row in store_module.valid_rows(checked, "items")
            ]
        self.assertEqual([valid], rows)
        self.assertEqual(2, len(logs.records))
        self.assertEqual(5, logs.records[-1].extra["rows"])
        for items in ("x", {}, None, 7):
            data = json.dumps({**body, "items": items}).encode()
            with self.assertRaises(CatalogUnavailable):
                checked = store_module.decode_body(data, "/x")
                await anext(store_module.valid_rows(checked, "items"))
        del body["items"]
        checked = store_module.decode_body(json.dumps(body).encode(), "/x")
        with self.assertRaises(CatalogUnavailable):
            await anext(store_module.valid_rows(checked, "items"))

    async def test_large_responses_do_not_hold_the_event_loop(self) -> None:
        """Guards against a store whose rows hold up all requests.

        The rows are valid, malformed, and of another writer, in a response
        below the limit of bytes.
        """
        row = {"key": "servers/a", "revision": 2, "value": "eyJhIjoxfQ=="}
        for rows in ([row] * 20_000, [[]] * 500_000, [{"key": 1}] * 20_000):
            data = json.dumps({"items": rows, "storeRevision": 3}).encode()
            loop = asyncio.get_running_loop()
            longest_s = await self._decode_beside_ticks(data, loop)
            self.assertLess(longest_s, _LOOP_HELD_MAX_S)

    async def _decode_beside_ticks(self, data, loop) -> float:
        """Decode a response; return the longest time between two ticks."""

        async def decode() -> None:
            with logbook.NullHandler():
                body = store_module.decode_body(data, "/x")
                async for row in store_module.valid_rows(body, "items"):
                    store_module.decode_item(row, Era(1))

        task = asyncio.create_task(decode())
        longest_s = 0.0
        while not task.done():
            began_at = loop.time()
            await asyncio.sleep(0)
            longest_s = max(longest_s, loop.time() - began_at)
        await task
        return longest_s

    async def test_changes_over_the_limit_are_read_as_a_listing(self) -> None:
        """Guards against a watch that fails forever on a long history."""
        as_of = (await self.store.read_all()).as_of
        for i in range(20):
            await self.standin.put(f"servers/i-{i}", server_entry())
        with mock.patch.object(store_module, "_BODY_BYTES_MAX", 3000):
            self.store.close()
            with self.assertRaises(HistoryCompacted):
                await self.store.changes_since(as_of, 0.1)
