"""Watches how late the event loop is, and what held it meanwhile."""

import asyncio
import gc
import time

import logbook

from chiverun.core.loopusage import LoopPart
from chiverun.core.loopusage import LoopUsage
from chiverun.core.loopusage import Source
from chiverun.core.loopusage import Usage
from chiverun.runtime.edgemetrics import EdgeMetrics

_LOG = logbook.Logger("loop")

TICK_S = 0.1
# A later tick is logged.
LATE_MIN_S = 0.1
# Sources named in a log line.
NAMED_SOURCES_MAX = 3
_COLLECTOR = Source(part=LoopPart.COLLECTOR)


class LoopWatch:
    """Measures the lateness of a tick; reports the usage between two."""

    def __init__(self, *, usage: LoopUsage, metrics: EdgeMetrics) -> None:
        self._usage = usage
        self._metrics = metrics
        self._loop = asyncio.get_running_loop()
        self._collection_began_at = 0.0
        # Processor time of the event loop's thread.
        self._cpu_s = time.thread_time()

    async def watch_forever(self) -> None:
        """Measure until cancelled."""
        gc.callbacks.append(self._on_collection)
        try:
            while True:
                await self._tick()
        finally:
            gc.callbacks.remove(self._on_collection)

    async def _tick(self) -> None:
        due_at = self._loop.time() + TICK_S
        cpu_before_s = self._cpu_s
        await asyncio.sleep(TICK_S)
        self._cpu_s = time.thread_time()
        late_s = max(0.0, self._loop.time() - due_at)
        usages = self._usage.take()
        self._metrics.record_loop(late_s, usages)
        if late_s < LATE_MIN_S:
            return
        _LOG.warning(
            "event loop was late",
            extra={
                "late_ms": round(1000 * late_s),
                # Much less than the lateness if the process was paused.
                "cpu_ms": round(1000 * (self._cpu_s - cpu_before_s)),
                "held_by": [
                    _describe(row) for row in usages[:NAMED_SOURCES_MAX]
                ],
                "sources": len(usages),
            },
        )

    def _on_collection(self, phase: str, _info: dict) -> None:
        now = time.monotonic()
        if phase == "start":
            self._collection_began_at = now
        else:
            self._usage.add(_COLLECTOR, now - self._collection_began_at)


def _describe(row: Usage) -> dict:
    return {
        "part": row.source.part.value,
        "peer": row.source.peer,
        "ms": round(1000 * row.seconds, 1),
        "events": row.events,
    }
