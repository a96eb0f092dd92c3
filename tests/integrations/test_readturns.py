"""Tests of the turns in which peers' bytes are processed."""

import asyncio
import contextlib
import time
import unittest

import logbook

from chiverun.core.loopusage import LoopPart
from chiverun.core.loopusage import LoopUsage
from chiverun.core.loopusage import PeerName
from chiverun.core.loopusage import Source
from chiverun.core.timeshare import OWN_SHARE
from chiverun.core.timeshare import WAITING_SHARE
from chiverun.integrations.readturns import ReadTurns

_EVENT_S = 0.0001
_DURATION_S = 1.0
_PEERS = 20


class _Reader:
    """Processes events that take `_EVENT_S` each."""

    def __init__(self, turns: ReadTurns, name: str, events: float) -> None:
        self.events = events
        self.processed = 0
        self.is_paused = False
        self.is_aborted = False
        self.fails = False
        self.turn = turns.open(
            Source(part=LoopPart.CALLERS, peer=PeerName(name)), self
        )

    def process_next(self) -> bool:
        if self.fails:
            raise ValueError("test")
        until = time.monotonic() + _EVENT_S
        while time.monotonic() < until:
            pass
        self.events -= 1
        self.processed += 1
        return self.events > 0

    def wait(self) -> None:
        self.is_paused = True

    def resume(self) -> None:
        self.is_paused = False

    def abort(self) -> None:
        self.is_aborted = True


class ReadTurnsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.usage = LoopUsage()
        self.turns = ReadTurns(usage=self.usage)

    async def _until_done(self, reader: _Reader) -> None:
        while reader.is_paused:
            await asyncio.sleep(0.001)

    async def test_endless_peers_leave_most_of_the_time(self) -> None:
        """Guards against endless bytes in pieces that hold the event loop.

        Bounded are the time of all peers together and how late the loop is.
        """
        readers = [
            _Reader(self.turns, f"endless-{i}", float("inf"))
            for i in range(_PEERS)
        ]
        for reader in readers:
            reader.turn.run()
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        spent_before_s = sum(row.seconds for row in self.usage.take())
        late_s = []
        while loop.time() < began_at + _DURATION_S:
            due_at = loop.time() + 0.002
            await asyncio.sleep(0.002)
            late_s.append(loop.time() - due_at)
        lasted_s = loop.time() - began_at
        spent_s = sum(row.seconds for row in self.usage.take())
        self.assertLess(spent_before_s, _PEERS * 0.005)
        self.assertLess(spent_s, (WAITING_SHARE + 0.05) * lasted_s)
        # Half of the ticks, so that a pause of this process counts little.
        self.assertLess(sorted(late_s)[len(late_s) // 2], 0.02)
        counts = [reader.processed for reader in readers]
        self.assertGreater(min(counts), max(counts) / 4, counts)
        for reader in readers:
            reader.turn.close()

    async def test_pieces_below_a_turn_wait_too(self) -> None:
        """Guards against a peer that sends little, but always."""
        reader = _Reader(self.turns, "drip", 0)
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        while loop.time() < began_at + _DURATION_S:
            if not reader.is_paused:
                reader.events = 3
                reader.turn.run()
            await asyncio.sleep(0)
        spent_s = sum(row.seconds for row in self.usage.take())
        most = OWN_SHARE + WAITING_SHARE + 0.1
        self.assertLess(spent_s, most * (loop.time() - began_at))

    async def test_sound_peer_passes_costly_ones(self) -> None:
        """Guards against a sound peer that waits behind endless ones."""
        endless = [
            _Reader(self.turns, f"endless-{i}", float("inf"))
            for i in range(_PEERS)
        ]
        for reader in endless:
            reader.turn.run()
        await asyncio.sleep(0.5)
        sound = _Reader(self.turns, "sound", 30)
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        sound.turn.run()
        await self._until_done(sound)
        lasted_s = loop.time() - began_at
        self.assertEqual(0, sound.events)
        # Alone among the waiting it takes 30 events at a quarter of the time.
        self.assertLess(lasted_s, 0.1)
        for reader in endless:
            reader.turn.close()

    async def test_all_events_are_processed_in_the_end(self) -> None:
        """Guards against bytes that wait forever."""
        readers = [_Reader(self.turns, f"{i}", 100) for i in range(3)]
        for reader in readers:
            reader.turn.run()
        for reader in readers:
            await self._until_done(reader)
            self.assertEqual(100, reader.processed)
        self.assertEqual(0, self.turns.waiting)

    async def test_closed_turn_is_processed_no_more(self) -> None:
        """Guards against work on a connection that has ended."""
        reader = _Reader(self.turns, "closed", float("inf"))
        reader.turn.run()
        self.assertTrue(reader.turn.is_waiting)
        reader.turn.close()
        processed = reader.processed
        await asyncio.sleep(0.05)
        self.assertEqual(processed, reader.processed)

    async def test_failing_reader_stops_no_other(self) -> None:
        """Guards against one peer that ends the turns of all."""
        failing = _Reader(self.turns, "failing", float("inf"))
        sound = _Reader(self.turns, "sound", 100)
        with contextlib.suppress(ValueError), logbook.TestHandler():
            failing.turn.run()
            failing.fails = True
            sound.turn.run()
            await self._until_done(sound)
        self.assertTrue(failing.is_aborted)
        self.assertEqual(0, sound.events)

    async def test_first_wait_is_logged_once(self) -> None:
        """Guards against a costly peer that no log line names."""
        reader = _Reader(self.turns, "10.0.0.9:80", 300)
        with logbook.TestHandler() as logs:
            reader.turn.run()
            await self._until_done(reader)
            reader.events = 300
            reader.turn.run()
            await self._until_done(reader)
        names = [record.extra["peer"] for record in logs.records]
        self.assertEqual(["10.0.0.9:80"], names)
