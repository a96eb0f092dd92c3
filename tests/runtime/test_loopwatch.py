"""Tests of the report on what holds the event loop."""

import asyncio
import gc
import time
import unittest

import logbook

from chiverun.core.loopusage import LoopPart
from chiverun.core.loopusage import LoopUsage
from chiverun.core.loopusage import PeerName
from chiverun.core.loopusage import Source
from chiverun.runtime.edgemetrics import EdgeMetrics
from chiverun.runtime.loopwatch import LoopWatch

_SOURCE = Source(part=LoopPart.SERVERS, peer=PeerName("10.0.0.1:80"))
_HELD_S = 0.4


class LoopWatchTest(unittest.IsolatedAsyncioTestCase):
    async def test_late_loop_is_logged_with_what_held_it(self) -> None:
        """Guards against a busy process whose logs name no cause."""
        usage = LoopUsage()
        metrics = EdgeMetrics()
        watch = LoopWatch(usage=usage, metrics=metrics)
        callbacks = list(gc.callbacks)
        with logbook.TestHandler() as logs:
            task = asyncio.create_task(watch.watch_forever())
            await asyncio.sleep(0.05)
            time.sleep(_HELD_S)
            usage.add(_SOURCE, _HELD_S, events=43_000)
            await asyncio.sleep(0.15)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        late = [r for r in logs.records if r.message == "event loop was late"]
        self.assertEqual(1, len(late))
        first = late[0].extra["held_by"][0]
        self.assertEqual(_SOURCE.peer, first["peer"])
        self.assertEqual(43_000, first["events"])
        text = (await metrics.handle(None)).body.decode()
        self.assertIn("chiverun_loop_held_seconds_total{part", text)
        self.assertIn(f'part="{_SOURCE.part.value}"', text)
        self.assertIn("chiverun_loop_late_seconds_bucket", text)
        self.assertEqual(callbacks, gc.callbacks)
