"""In-process client of the stand-in key-value store, with fault injection.

Several clients share one `Platform`. Each client counts its calls, so that a
fault or a concurrent write can be injected at a given call.
"""

import enum
from collections.abc import Callable

from chiverun.integrations.interfaces import Item
from chiverun.integrations.interfaces import StoreAnswerLost
from chiverun.integrations.interfaces import StoreUnavailable
from standins.platform import Platform


class Fault(enum.Enum):
    """A fault of one write."""

    REFUSED = "refused"
    LOST_BEFORE = "lost before it took effect"
    LOST_AFTER = "lost after it took effect"
    DELAYED = "takes effect when `apply_delayed` is called"


class MemoryStore:
    """A client of a `Platform` in the same process.

    Parameters
    ----------
    platform : Platform
    write_faults : dict of int to Fault
        Faults by 0-based position among this client's writes.
    failing_reads : set of int
        0-based positions of the reads that fail, among this client's reads.
    before_call : dict of int to callable
        Functions called before the call at the given 0-based position,
        such as a write of another client.
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

    def apply_delayed(self) -> None:
        """Apply delayed writes whose indexes still match."""
        for write in self._delayed:
            write()
        self._delayed = []

    def _begin(self) -> None:
        position = self.calls
        self.calls += 1
        hook = self.before_call.pop(position, None)
        if hook is not None:
            hook()
        if self.platform.outage:
            raise StoreUnavailable("store outage")

    def _begin_read(self, key: str) -> None:
        self._begin()
        position = self.reads
        self.reads += 1
        if position in self.failing_reads:
            raise StoreUnavailable(f"injected fault of reading {key}")

    def _write(self, write: Callable[[], bool]) -> bool:
        self._begin()
        position = self.writes
        self.writes += 1
        match self.write_faults.get(position):
            case None:
                return write()
            case Fault.REFUSED:
                raise StoreUnavailable("injected fault: write refused")
            case Fault.LOST_AFTER:
                write()
            case Fault.DELAYED:
                self._delayed.append(write)
        raise StoreAnswerLost("injected fault: no response to write")
