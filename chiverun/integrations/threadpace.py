"""Pace of the threads that process the bytes of costly peers.

A thread that parses many small pieces takes the interpreter from all others.
What it takes beyond the share of its peer delays its next read, and a message
that takes too long is given up.
"""

import threading
import time

from chiverun.core.timeshare import Pace
from chiverun.core.timeshare import TimeDebt

# Processor time for the bytes of one message, in seconds.
MESSAGE_MAX_S = 0.25


class MessageTooCostly(OSError):
    """Raised when a message's bytes take too long to process."""


class ThreadPace:
    """When threads of costly peers go on; thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._pace = Pace()

    def delay(self, seconds: float) -> float:
        """Note the time of a thread; return how long it waits, in seconds."""
        with self._lock:
            now = time.monotonic()
            self._pace.note(seconds, now)
            return max(0.0, self._pace.next_at - now)


# The threads of all servers and clients of a process share the interpreter.
_PROCESS_PACE = ThreadPace()


class ConnectionPace:
    """Processor time that the bytes of one connection take.

    A connection is used by one thread at a time.
    """

    def __init__(self, *, pace: ThreadPace = _PROCESS_PACE) -> None:
        self._pace = pace
        self._debt = TimeDebt()
        self._marked_at = time.thread_time()

    def begin_message(self) -> None:
        """Begin a message; what came before is complete."""
        self._debt.complete_message()
        self._marked_at = time.thread_time()

    def before_read(self, wait_max_s: float) -> None:
        """Account for the bytes of the last read; wait if they were costly.

        Raises
        ------
        MessageTooCostly
        """
        used_s = time.thread_time() - self._marked_at
        now = time.monotonic()
        self._debt.charge(used_s, now)
        if self._debt.message_s > MESSAGE_MAX_S:
            raise MessageTooCostly(
                f"bytes of a message took over {MESSAGE_MAX_S:g} s to process"
            )
        if self._debt.must_wait(now):
            time.sleep(min(wait_max_s, self._pace.delay(used_s)))
        self._marked_at = time.thread_time()
