"""Tests of the messages that wait for the event loop."""

import asyncio
import threading
import time
import unittest

import logbook

from chiverun.core.loopusage import LoopPart
from chiverun.core.loopusage import LoopUsage
from chiverun.integrations import inbox as inbox_module
from chiverun.integrations.inbox import Inbox

_MESSAGE_S = 0.0002
_MESSAGES = 2000
_LATE_MAX_S = 0.05


class InboxTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.received: list[bytes] = []
        self.usage = LoopUsage()
        self.inbox = Inbox(receive=self._receive, usage=self.usage)

    def _receive(self, message: bytes) -> None:
        if message == b"fails":
            raise ValueError("test")
        until = time.monotonic() + _MESSAGE_S
        while time.monotonic() < until:
            pass
        self.received.append(message)

    def _put(self, messages: list[bytes]) -> None:
        """Add messages on another thread, as the transport does."""

        def put() -> None:
            for message in messages:
                self.inbox.put(message)

        thread = threading.Thread(target=put)
        thread.start()
        thread.join()

    async def _until_received(self, count: int) -> list[float]:
        """Return how late the event loop was meanwhile."""
        loop = asyncio.get_running_loop()
        late_s = []
        async with asyncio.timeout(20):
            while len(self.received) < count:
                began_at = loop.time()
                await asyncio.sleep(0)
                late_s.append(loop.time() - began_at)
        return late_s

    async def test_many_messages_leave_turns_for_others(self) -> None:
        """Guards against a flood of messages that holds the event loop."""
        messages = [b"%d" % number for number in range(_MESSAGES)]
        self._put(messages)
        late_s = await self._until_received(_MESSAGES)
        self.assertEqual(messages, self.received)
        self.assertLess(sorted(late_s)[len(late_s) // 2], _LATE_MAX_S)
        self.assertGreater(len(late_s), 100)
        (row,) = self.usage.take()
        self.assertIs(LoopPart.PEERS, row.source.part)
        self.assertEqual(_MESSAGES, row.events)

    async def test_waiting_messages_are_bounded(self) -> None:
        """Guards against a flood that fills the memory or the log."""
        too_many = 2 * inbox_module.MESSAGES_MAX
        logs = logbook.TestHandler()
        with logs.applicationbound():
            self._put([b"a"] * too_many)
        self.assertEqual(too_many / 2, self.inbox.dropped)
        self.assertEqual(1, len(logs.records))
        large = [b"a" * (inbox_module.BYTES_MAX // 4)] * 8
        other = Inbox(receive=lambda message: None)
        for message in large:
            other.put(message)
        self.assertEqual(4, other.dropped)

    async def test_failing_message_stops_no_other(self) -> None:
        """Guards against one message after which none is handled."""
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        self._put([b"1", b"fails", b"2"])
        await self._until_received(2)
        self.assertEqual([b"1", b"2"], self.received)
