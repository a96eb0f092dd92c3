"""Frame of a case: its record, its time limit and its exit code."""

import asyncio
import os
import pathlib
import resource
import sys
import tempfile
import time
import traceback
from collections.abc import Awaitable
from collections.abc import Callable

from review.standins2.edge import Edge
from review.standins2.edge import free_address
from review.standins2.store import Store

HELD = 0
BROKEN = 1
CANNOT_RUN = 2
TIME_LIMIT_S = 110.0
# More than the platform gives a process (`maxFds`); children inherit it.
DESCRIPTORS = 8192


class CannotRun(Exception):
    """Raised when a case could not be carried out."""


class Case:
    """What a case starts and writes down.

    `trouble` is False for the run without the disruption.
    """

    def __init__(self, folder: pathlib.Path, scratch: pathlib.Path) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.scratch = scratch
        self.edges: list[Edge] = []
        self.children: list[asyncio.subprocess.Process] = []
        self._started_at = time.monotonic()
        self._record = (folder / "record.txt").open("w", encoding="utf-8")

    def note(self, text: str) -> None:
        """Write a line to the record."""
        at_s = time.monotonic() - self._started_at
        self._record.write(f"{at_s:8.3f} {text}\n")

    def say(self, text: str) -> None:
        """Write a line to the record and to the output."""
        self.note(text)
        print(text, flush=True)

    async def start_store(self, **options) -> tuple[Store, str]:
        """Start a store; return it and its address."""
        store = Store(**options)
        address = free_address()
        await store.start(address)
        return store, address

    async def start_edge(self, name: str, store: str, **options) -> Edge:
        """Start an edge process and wait until it is ready."""
        for _ in range(3):
            edge = Edge(self.scratch, name, store, **options)
            self.edges.append(edge)
            await edge.start()
            try:
                await edge.wait_ready()
            except TimeoutError:
                await edge.end()
                continue
            self.note(f"{name} is ready, pid {edge.process.pid}")
            return edge
        raise CannotRun(f"{name} was not ready")

    async def close(self) -> None:
        """End all processes and close the record."""
        for edge in self.edges:
            await edge.end()
        for child in self.children:
            if child.returncode is None:
                child.kill()
                await child.wait()
        self._record.close()


def run(folder: pathlib.Path, play: Callable[[Case], Awaitable[bool]]) -> None:
    """Play a case, which returns whether the rule was broken, and exit."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft < DESCRIPTORS and (hard < 0 or soft < hard):
        most = DESCRIPTORS if hard < 0 else min(DESCRIPTORS, hard)
        resource.setrlimit(resource.RLIMIT_NOFILE, (most, hard))
    with tempfile.TemporaryDirectory() as scratch:
        sys.exit(asyncio.run(_run(folder, pathlib.Path(scratch), play)))


async def _run(
    folder: pathlib.Path,
    scratch: pathlib.Path,
    play: Callable[[Case], Awaitable[bool]],
) -> int:
    case = Case(folder, scratch)
    try:
        async with asyncio.timeout(TIME_LIMIT_S):
            is_broken = await play(case)
    except Exception as exc:
        case.say(f"could not run: {exc!r}")
        case.note(traceback.format_exc())
        return CANNOT_RUN
    else:
        case.say("the rule was broken" if is_broken else "the rule held")
        return BROKEN if is_broken else HELD
    finally:
        await case.close()
