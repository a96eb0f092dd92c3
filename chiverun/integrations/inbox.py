"""Messages of other instances that wait for the event loop."""

import asyncio
import collections
import threading
import time
from collections.abc import Callable

import logbook

from chiverun.core.loopusage import LoopPart
from chiverun.core.loopusage import LoopUsage
from chiverun.core.loopusage import Source
from chiverun.core.timeshare import TURN_S

_LOG = logbook.Logger("peers")

# Messages may be lost; further ones are dropped while so much waits.
MESSAGES_MAX = 4096
BYTES_MAX = 32 * 1024 * 1024
_SOURCE = Source(part=LoopPart.PEERS)


class Inbox:
    """Hands messages to a receiver on the event loop, in turns.

    Without turns, all messages that have arrived would be handled before
    anything else.
    """

    def __init__(
        self,
        *,
        receive: Callable[[bytes], None],
        usage: LoopUsage | None = None,
        bytes_max: int = BYTES_MAX,
    ) -> None:
        self._bytes_max = min(BYTES_MAX, bytes_max)
        self._receive = receive
        self._usage = usage or LoopUsage()
        self._loop = asyncio.get_running_loop()
        self._lock = threading.Lock()
        self._messages: collections.deque[bytes] = collections.deque()
        self._bytes = 0
        self._is_scheduled = False
        self.dropped = 0

    def put(self, message: bytes) -> None:
        """Add a message; called on the transport's thread."""
        with self._lock:
            if self._is_full():
                self._drop()
                return
            self._messages.append(message)
            self._bytes += len(message)
            if self._is_scheduled:
                return
            self._is_scheduled = True
        self._loop.call_soon_threadsafe(self._run)

    def _is_full(self) -> bool:
        return (
            len(self._messages) >= MESSAGES_MAX
            or self._bytes >= self._bytes_max
        )

    def _drop(self) -> None:
        self.dropped += 1
        # A flood would fill the log too.
        if self.dropped % MESSAGES_MAX == 1:
            _LOG.warning(
                "peer messages dropped", extra={"dropped": self.dropped}
            )

    def _run(self) -> None:
        """Handle messages for the time of one turn."""
        started_at = now = time.monotonic()
        handled = 0
        try:
            while now < started_at + TURN_S:
                message = self._take()
                if message is None:
                    break
                handled += 1
                self._receive(message)
                now = time.monotonic()
        finally:
            self._usage.add(_SOURCE, now - started_at, handled)
            self._run_again()

    def _take(self) -> bytes | None:
        with self._lock:
            if not self._messages:
                return None
            message = self._messages.popleft()
            self._bytes -= len(message)
            return message

    def _run_again(self) -> None:
        with self._lock:
            self._is_scheduled = bool(self._messages)
            if self._is_scheduled:
                self._loop.call_soon(self._run)
