"""Bound on the bytes that all requests of a process hold together.

A bound for each request is not enough: many slow or endless ones would still
exhaust the memory of a small machine.
"""

from collections.abc import Callable

# Part of a machine's memory for the bodies of requests and responses. The
# rest is for the program, its tables and the buffers of sockets.
MEMORY_FRACTION = 0.2
# Limit of a process whose memory is not known.
BYTES_DEFAULT = 48 * 1024 * 1024


class Holding:
    """Bytes held by one request or response.

    `drop` is called when this holding is the largest of a budget that is used
    up; it has to release the bytes.
    """

    def __init__(
        self, *, budget: "ByteBudget", drop: Callable[[], None]
    ) -> None:
        self.size = 0
        self.drop = drop
        self._budget = budget

    def grow(self, count: int) -> None:
        """Add bytes; the budget may drop its largest holdings for them."""
        self._budget.add(self, count)

    def pin(self) -> None:
        """Keep the bytes until they are released; never drop them."""
        self._budget.pin(self)

    def release(self) -> None:
        """Return all bytes to the budget."""
        self._budget.remove(self)


class ByteBudget:
    """Bytes held by all requests and responses of a process."""

    def __init__(self, *, limit: int = BYTES_DEFAULT) -> None:
        self.limit = limit
        self.used = 0
        self.dropped = 0
        # Holdings that may be dropped.
        self._holdings: set[Holding] = set()

    def hold(self, drop: Callable[[], None]) -> Holding:
        """Return a holding without bytes."""
        return Holding(budget=self, drop=drop)

    def has_room(self, count: int) -> bool:
        """Return whether `count` bytes fit without dropping a holding."""
        return self.used + count <= self.limit

    def add(self, holding: Holding, count: int) -> None:
        """Add bytes to a holding, and drop the largest above the limit.

        The largest is the most likely to be endless; the many small ones go
        on.
        """
        holding.size += count
        self.used += count
        self._holdings.add(holding)
        while self.used > self.limit and self._holdings:
            largest = max(self._holdings, key=lambda row: row.size)
            self.remove(largest)
            self.dropped += 1
            largest.drop()

    def pin(self, holding: Holding) -> None:
        """Exclude a holding from those that are dropped."""
        self._holdings.discard(holding)

    def remove(self, holding: Holding) -> None:
        """Return the bytes of a holding."""
        self.used -= holding.size
        holding.size = 0
        self._holdings.discard(holding)
