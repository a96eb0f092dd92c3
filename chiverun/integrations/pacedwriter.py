"""Writes to a transport no more than the peer takes.

A transport copies all that it cannot send at once. What waits here is not
copied.
"""

import asyncio
import collections
from collections.abc import Callable


class PacedWriter:
    """Pieces that wait until the transport takes them."""

    def __init__(self, *, transport: asyncio.Transport) -> None:
        self._transport = transport
        # Pauses its protocol until all that it has is sent.
        transport.set_write_buffer_limits(high=0)
        self._pieces: collections.deque[bytes | memoryview] = (
            collections.deque()
        )
        self._queued = 0
        self._is_paused = False
        self._on_written: Callable[[], None] | None = None

    @property
    def size(self) -> int:
        """Bytes that have not been written yet."""
        return self._queued + self._transport.get_write_buffer_size()

    @property
    def is_blocked(self) -> bool:
        """Whether the peer does not take what waits."""
        return self._is_paused or self._queued > 0

    def write(self, data: bytes | memoryview) -> None:
        """Write bytes now, or when the peer takes them."""
        if not data:
            return
        if self.is_blocked:
            self._pieces.append(data)
            self._queued += len(data)
        else:
            self._transport.write(data)

    def pause(self) -> None:
        """Keep further bytes; the transport has enough."""
        self._is_paused = True

    def resume(self) -> None:
        """Write what waits, as far as the transport takes it."""
        self._is_paused = False
        while self._pieces and not self._is_paused:
            piece = self._pieces.popleft()
            self._queued -= len(piece)
            self._transport.write(piece)
        self._call_when_written()

    def finish(self, on_written: Callable[[], None]) -> None:
        """Call back when the transport has got all; write no more."""
        self._on_written = on_written
        self._call_when_written()

    def _call_when_written(self) -> None:
        if self._on_written is not None and not self.is_blocked:
            on_written, self._on_written = self._on_written, None
            on_written()

    def clear(self) -> None:
        """Drop what waits; the connection is of no use then."""
        self._pieces.clear()
        self._queued = 0
