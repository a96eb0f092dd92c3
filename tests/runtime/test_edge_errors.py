"""Tests of unexpected errors inside an edge instance."""

import asyncio
import json
import unittest

import logbook

from chiverun.platform.headercodec import PlatformHeaderCodec
from chiverun.platform.settings import decode_settings
from chiverun.runtime.edge import Edge
from tests.adapter.examples import settings_body
from tests.runtime.test_follower import FakeStore


class UnexpectedErrorTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.logs = logbook.TestHandler()
        self.logs.push_application()
        self.addCleanup(self.logs.pop_application)
        cfg = decode_settings(json.dumps(settings_body()))
        self.edge = Edge(
            cfg=cfg,
            store=FakeStore(),
            header_codec=PlatformHeaderCodec(),
            read_settings=lambda: cfg,
        )

    async def _assert_counted(self, expected: int) -> None:
        metrics = await self.edge.metrics.handle(None)
        lines = metrics.body.decode().splitlines()
        [count] = [
            line
            for line in lines
            if line.startswith("chiverun_unexpected_errors_total ")
        ]
        self.assertTrue(count.endswith(f" {expected}.0"), count)

    async def test_error_in_a_callback(self):
        """Guards against one unexpected error that ends or mutes a process."""
        loop = asyncio.get_running_loop()
        loop.call_soon(lambda: 1 // 0)
        await asyncio.sleep(0.05)
        [record] = [
            r for r in self.logs.records if r.message == "unexpected error"
        ]
        self.assertIn("ZeroDivisionError", record.formatted_exception)
        await self._assert_counted(1)

    async def test_errors_of_sends_and_of_reads(self):
        """Guards against errors that are logged, but shown by no metric."""
        self.edge._sender._count_error()
        try:
            raise ValueError("test")
        except ValueError:
            self.edge._turns.note_error("test")
        await self._assert_counted(2)
