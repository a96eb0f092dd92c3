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
    async def test_error_in_a_callback(self):
        """Guards against one unexpected error that ends or mutes a process."""
        logs = logbook.TestHandler()
        logs.push_application()
        self.addCleanup(logs.pop_application)
        cfg = decode_settings(json.dumps(settings_body()))
        edge = Edge(
            cfg=cfg,
            store=FakeStore(),
            header_codec=PlatformHeaderCodec(),
            read_settings=lambda: cfg,
        )
        loop = asyncio.get_running_loop()
        loop.call_soon(lambda: 1 // 0)
        await asyncio.sleep(0.05)
        [record] = [r for r in logs.records if r.message == "unexpected error"]
        self.assertIn("ZeroDivisionError", record.formatted_exception)
        metrics = await edge.metrics.handle(None)
        lines = metrics.body.decode().splitlines()
        [count] = [
            line
            for line in lines
            if line.startswith("chiverun_unexpected_errors_total ")
        ]
        self.assertTrue(count.endswith(" 1.0"), count)
