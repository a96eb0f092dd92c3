"""In-memory key-value store with faults, for tests without a process.

Several clients share one `Platform`. Each client counts its calls, so that a
fault or another writer's work can be placed at any one of them.
"""

import enum
from collections.abc import Callable

from chiverun.integrations.interfaces import Item
from chiverun.integrations.interfaces import StoreAnswerLost
from chiverun.integrations.interfaces import StoreUnavailable
from standins.platform import Platform


class Fault(enum.Enum):
    """What happens to one write."""

    REFUSED = "refused"
    LOST_BEFORE = "lost before it took effect"
    LOST_AFTER = "lost after it took effect"
    DELAYED = "takes effect when `deliver` is called"


class MemoryStore:
    """A client of a `Platform` in the same process.

    Parameters
    ----------
    platform : Platform
    write_faults : dict of int to Fault
        By the position of the write among this client's writes, from 0.
    failing_reads : set of int
        Positions of reads that fail, among this client's reads.
    before_call : dict of int to callable
        Called before the call of this position: another client's work.
    """

    def __init__(
        self,
        *,
        platform: Platform,
        write_faults: dict[int, Fault] | None = None,
        failing_reads: set[int] | None = None,
        before_call: dict[int, Callable[[], None]] | None = None,
    ) -> None:
        self.platform = platform
        self.write_faults = write_faults or {}
        self.failing_reads = failing_reads or set()
        self.before_call = before_call or {}
        self.calls = 0
        self.reads = 0
        self.writes = 0
        self._delayed: list[Callable[[], object]] = []

    def get(
        self, key: str, *, index: int = 0, wait_s: float = 0.0
    ) -> Item | None:
        self._begin_read(key)
        pair = self.platform.get(key, 0, 0.0)
        if pair is None:
            return None
        return Item(key=key, value=pair[0], index=pair[1])

    def keys(self, prefix: str) -> list[str]:
        self._begin_read(prefix)
        return [k for k in sorted(self.platform.data) if k.startswith(prefix)]

    def put(self, key: str, value: bytes, *, cas: int | None) -> bool:
        return self._write(lambda: self.platform.put(key, value, cas))

    def delete(self, key: str, *, cas: int) -> bool:
        return self._write(lambda: self.platform.delete(key, cas))

    def deliver(self) -> None:
        """Let delayed writes take effect, if their indexes still match."""
        for write in self._delayed:
            write()
        self._delayed = []

    def _begin(self) -> None:
        position = self.calls
        self.calls += 1
        work = self.before_call.pop(position, None)
        if work is not None:
            work()
        if self.platform.outage:
            raise StoreUnavailable("outage")

    def _begin_read(self, key: str) -> None:
        self._begin()
        position = self.reads
        self.reads += 1
        if position in self.failing_reads:
            raise StoreUnavailable(f"read {key}")

    def _write(self, write: Callable[[], bool]) -> bool:
        self._begin()
        position = self.writes
        self.writes += 1
        match self.write_faults.get(position):
            case None:
                return write()
            case Fault.REFUSED:
                raise StoreUnavailable("refused")
            case Fault.LOST_AFTER:
                write()
            case Fault.DELAYED:
                self._delayed.append(write)
        raise StoreAnswerLost("no answer")
