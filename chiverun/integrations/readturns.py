"""Turns in which the event loop processes the bytes of its peers.

Bytes are processed as they arrive, for at most one turn. What is left, and
what comes from a peer that has used much time lately, waits; its connection is
not read meanwhile. The waiting peers get a turn after the other, with pauses
for everything else between them.
"""

import asyncio
import time
from collections.abc import Callable
from typing import Protocol

import logbook

from chiverun.core.loopusage import LoopUsage
from chiverun.core.loopusage import Source
from chiverun.core.timeshare import Pace
from chiverun.core.timeshare import TimeDebt
from chiverun.core.timeshare import TURN_S

_LOG = logbook.Logger("reads")

# What a connection receives at once; its bytes may have to wait.
READ_BYTES = 64 * 1024
# Time that reads may take in a window; further ones of many bytes wait. Each
# of a thousand connections could take a turn before anything else runs.
WINDOW_S = 0.1
WINDOW_READS_S = 0.03
# A turn that took longer was interrupted: the process did not run.
CHARGE_MAX_S = 0.003


class Reader(Protocol):
    """Processes the bytes of a peer, an event at a time."""

    def process_next(self) -> bool:
        """Process an event; return whether another may follow at once."""

    def wait(self) -> None:
        """Stop reading until `resume`."""

    def resume(self) -> None:
        """Read on; all received bytes have been processed."""

    def abort(self) -> None:
        """Give up, after an unexpected error."""


class Turn:
    """Place of a reader among all peers."""

    def __init__(
        self, *, turns: "ReadTurns", source: Source, reader: Reader
    ) -> None:
        self.source = source
        self.reader = reader
        self.debt = TimeDebt()
        self._turns = turns
        self._has_waited = False

    @property
    def is_waiting(self) -> bool:
        """Whether received bytes wait for their turn."""
        return self._turns.is_waiting(self)

    def run(self, *, is_large: bool = False) -> None:
        """Process what was received, now or in turns.

        A large read waits if reads have lately taken much of the time.
        """
        if self.is_waiting:
            return
        now = time.monotonic()
        must_wait = self.debt.must_wait(now) or (
            is_large and self._turns.is_crowded(now)
        )
        if not must_wait and self._turns.process(self, now + TURN_S):
            return
        self._turns.enqueue(self)
        self._log_first_wait(now)

    def complete_message(self) -> None:
        """Note that the peer has sent a complete message."""
        self.debt.complete_message()

    def close(self) -> None:
        """Forget what waits."""
        self._turns.remove(self)

    def _log_first_wait(self, now: float) -> None:
        if self._has_waited:
            return
        self._has_waited = True
        _LOG.info(
            "peer waits for its turn",
            extra={
                "part": self.source.part.value,
                "peer": self.source.peer,
                "debt_ms": round(1000 * self.debt.debt_at(now), 1),
                "waiting": self._turns.waiting,
            },
        )


class ReadTurns:
    """Turns of all readers of an event loop."""

    def __init__(self, *, usage: LoopUsage | None = None) -> None:
        self.usage = usage or LoopUsage()
        # Called with each unexpected error while bytes are processed.
        self.count_error: Callable[[], None] = lambda: None
        # Shared by all connections, which copy what they received.
        self.buffer = memoryview(bytearray(READ_BYTES))
        # In the order of their last turns.
        self._waiting: dict[Turn, None] = {}
        self._pace = Pace()
        self._timer: asyncio.TimerHandle | None = None
        # When the window began, and the time of reads in it.
        self._window_at = 0.0
        self._window_s = 0.0

    def open(self, source: Source, reader: Reader) -> Turn:
        """Return the place of a new reader."""
        return Turn(turns=self, source=source, reader=reader)

    @property
    def waiting(self) -> int:
        """The number of readers that wait."""
        return len(self._waiting)

    def is_waiting(self, turn: Turn) -> bool:
        """Return whether a reader waits."""
        return turn in self._waiting

    def is_crowded(self, now: float) -> bool:
        """Return whether reads have lately taken much of the time."""
        if now - self._window_at > WINDOW_S:
            self._window_at = now
            self._window_s = 0.0
        return self._window_s > WINDOW_READS_S

    def process(self, turn: Turn, until: float) -> bool:
        """Process events of a reader; return whether none is left."""
        started_at = now = time.monotonic()
        events = 0
        has_more = True
        try:
            while has_more and now < until:
                has_more = turn.reader.process_next()
                events += 1
                now = time.monotonic()
        finally:
            self._window_s += now - started_at
            turn.debt.charge(min(CHARGE_MAX_S, now - started_at), now)
            self.usage.add(turn.source, now - started_at, events)
        return not has_more

    def note_error(self, what: str) -> None:
        """Count and log the exception that is being handled."""
        self.count_error()
        _LOG.exception(what)

    def enqueue(self, turn: Turn) -> None:
        """Let a reader wait for its turn."""
        self._waiting[turn] = None
        turn.reader.wait()
        self._schedule()

    def remove(self, turn: Turn) -> None:
        """Let a reader wait no more."""
        self._waiting.pop(turn, None)

    def _schedule(self) -> None:
        if self._timer is None and self._waiting:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_at(self._pace.next_at, self._run_waiting)

    def _run_waiting(self) -> None:
        """Let waiting readers process events for the time of one turn."""
        self._timer = None
        started_at = now = time.monotonic()
        while self._waiting and now < started_at + TURN_S:
            self._run_one(started_at + TURN_S)
            now = time.monotonic()
        self._pace.note(now - started_at, now)
        self._schedule()

    def _run_one(self, until: float) -> None:
        # The one that has used least for its message, so that a well-behaved
        # peer does not wait behind endless ones.
        turn = min(self._waiting, key=lambda row: row.debt.message_s)
        del self._waiting[turn]
        try:
            if self.process(turn, until):
                turn.reader.resume()
            else:
                self._waiting[turn] = None
        except Exception:
            self.note_error("cannot process a peer's bytes")
            turn.reader.abort()
