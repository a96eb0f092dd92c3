"""Account of the bytes whose number peers decide.

A bound for each request is not enough: many slow or endless ones would still
exhaust the memory of a small machine. Bytes are counted as they lie in the
process, not as they are declared, since a declared length costs a caller
nothing.
"""

import dataclasses
import time
from collections.abc import Callable

# Base memory of a process without requests: program, tables, libraries.
REST_BYTES = 48 * 1024 * 1024
# Part of the other memory for the bytes of peers. The allocator keeps some
# freed memory, and what is being decoded or encoded is not counted.
MEMORY_FRACTION = 0.5
# Part of the memory of a machine that has little more than the process needs.
MEMORY_FRACTION_MIN = 0.05
# Limit of a process whose memory is not known.
BYTES_DEFAULT = 48 * 1024 * 1024
# Eviction goes on until this part of the limit is in use, so that the
# holdings are not sorted again for each further read.
_EVICT_TO = 0.9
# Half-life of the progress that counts.
_PROGRESS_HALF_LIFE_S = 1.0
# Progress added to each holding's, in bytes a second, so that what has just
# stopped does not outrank what holds much more.
_PROGRESS_FLOOR = 1024.0
# A holding without this progress in bytes a second for this time has stalled.
STALLED_BYTES_PER_S = 8192.0
STALLED_S = 1.5
# Shortest time between two searches for stalled holdings.
_SEARCH_PAUSE_S = 0.1


def limit_of(memory_bytes: int | None) -> int:
    """Return the limit for a machine's memory, None if that is unknown."""
    if memory_bytes is None:
        return BYTES_DEFAULT
    return int(
        max(
            (memory_bytes - REST_BYTES) * MEMORY_FRACTION,
            memory_bytes * MEMORY_FRACTION_MIN,
        )
    )


@dataclasses.dataclass(kw_only=True)
class Progress:
    """Bytes moved lately; older ones count less."""

    began_at: float
    _bytes: float = 0.0
    _at: float = 0.0

    def note(self, count: int, now: float) -> None:
        """Add bytes that were moved."""
        self._bytes = self.per_s(now) + count
        self._at = now

    def per_s(self, now: float) -> float:
        """Return about how many bytes are moved in a second."""
        if not self._bytes:
            return 0.0
        return self._bytes * 0.5 ** ((now - self._at) / _PROGRESS_HALF_LIFE_S)

    def is_stalled(self, now: float) -> bool:
        """Return whether hardly anything moves."""
        is_new = now - self.began_at < STALLED_S
        return not is_new and self.per_s(now) < STALLED_BYTES_PER_S


class Holding:
    """Bytes held by one request, response or connection.

    `drop` is called when this holding is evicted; it has to release the
    bytes.
    """

    def __init__(
        self, *, budget: "ByteBudget", drop: Callable[[], None]
    ) -> None:
        self.size = 0
        self.drop = drop
        self.progress: Progress | None = None
        self._budget = budget

    def grow(self, count: int) -> None:
        """Add received bytes; the budget may evict holdings for them."""
        self.resize(self.size + count, moved=count)

    def resize(self, size: int, *, moved: int = 0) -> None:
        """Set the size, after some bytes were received or written.

        The budget may evict holdings, also this one.
        """
        if size or self.size:
            self._budget.resize(self, size, moved)

    def pin(self) -> None:
        """Keep the bytes until they are released; never evict them."""
        self._budget.pin(self)

    def release(self) -> None:
        """Return all bytes to the budget."""
        self._budget.remove(self)


class ByteBudget:
    """Bytes held for all peers of a process."""

    def __init__(
        self,
        *,
        limit: int = BYTES_DEFAULT,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.limit = limit
        self.used = 0
        self.dropped = 0
        self._clock = clock
        self._search_at = float("-inf")
        # Holdings that may be evicted.
        self._holdings: set[Holding] = set()

    def hold(self, drop: Callable[[], None]) -> Holding:
        """Return a holding without bytes."""
        return Holding(budget=self, drop=drop)

    def has_room(self, count: int) -> bool:
        """Return whether `count` bytes fit without evicting a holding."""
        return self.used + count <= self.limit

    def make_room(self, count: int) -> bool:
        """Evict stalled holdings if `count` bytes do not fit.

        Return whether they fit then. What makes progress is not evicted for a
        newcomer.
        """
        if self.has_room(count):
            return True
        now = self._clock()
        if count > self.limit or now < self._search_at:
            return False
        self._search_at = now + _SEARCH_PAUSE_S
        stalled = [
            row for row in self._holdings if row.progress.is_stalled(now)
        ]
        self._evict(stalled, min(self.limit - count, self._evict_to), now)
        return self.has_room(count)

    def resize(self, holding: Holding, size: int, moved: int) -> None:
        """Set a holding's size, and evict above the limit."""
        now = self._clock()
        if not holding.size:
            holding.progress = Progress(began_at=now)
            self._holdings.add(holding)
        if moved:
            holding.progress.note(moved, now)
        self.used += size - holding.size
        holding.size = size
        if not size:
            self._holdings.discard(holding)
        if self.used > self.limit:
            self._evict(list(self._holdings), self._evict_to, now)

    @property
    def _evict_to(self) -> int:
        return int(_EVICT_TO * self.limit)

    def _evict(
        self, holdings: list[Holding], used_max: int, now: float
    ) -> None:
        """Evict those that hold most for the least progress.

        An honest caller on a slow link makes progress; among many that hold
        the same, those that have stopped go first.
        """
        holdings.sort(
            key=lambda row: (
                row.size / (row.progress.per_s(now) + _PROGRESS_FLOOR)
            ),
            reverse=True,
        )
        for row in holdings:
            if self.used <= used_max:
                return
            if row in self._holdings:
                self.remove(row)
                self.dropped += 1
                row.drop()

    def pin(self, holding: Holding) -> None:
        """Exclude a holding from those that are evicted."""
        self._holdings.discard(holding)

    def remove(self, holding: Holding) -> None:
        """Return the bytes of a holding."""
        self.used -= holding.size
        holding.size = 0
        self._holdings.discard(holding)
