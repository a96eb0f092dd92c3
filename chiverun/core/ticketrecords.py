"""Access to single keys of the ticket log in the platform's key-value store.

`TicketLog` decides which of them are written, and in which order.
"""

import dataclasses
from typing import TYPE_CHECKING

from chiverun.core.errors import ChiverunError
from chiverun.core.errors import ResultCode
from chiverun.core.state import State
from chiverun.core.ticketbase import BASE_KEY
from chiverun.core.ticketbase import BasePointer
from chiverun.core.ticketbase import chunk_key
from chiverun.core.ticketbase import CHUNK_PREFIX
from chiverun.core.ticketbase import decode_base
from chiverun.core.ticketbase import decode_pointer
from chiverun.core.ticketbase import encode_base
from chiverun.core.ticketbase import encode_pointer
from chiverun.core.ticketbase import is_replaceable
from chiverun.core.ticketbase import number_from_key
from chiverun.core.ticketentry import decode_entry
from chiverun.core.ticketentry import encode_entry
from chiverun.core.ticketentry import Entry
from chiverun.integrations.interfaces import StoreAnswerLost
from chiverun.integrations.interfaces import StoreUnavailable

if TYPE_CHECKING:
    from chiverun.integrations.interfaces import KeyValueStore

HEAD_KEY = "chiverun/head"
_ENTRY_PREFIX = "chiverun/ticket/"
ENTRIES_KEPT = 256
_WRITE_ATTEMPTS = 4


class LogGap(StoreUnavailable):
    """Raised when part of the log is missing, such as after a trim."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Head:
    """The newest entry (None before ticket 1) and its index in the store."""

    entry: Entry | None
    index: int


class TicketRecords:
    """Reads and writes single records of the ticket log."""

    def __init__(self, *, store: "KeyValueStore") -> None:
        self._store = store

    def head(self, *, index: int = 0, wait_s: float = 0.0) -> Head:
        """Read the head; with `index`, wait up to `wait_s` for a newer one."""
        item = self._store.get(HEAD_KEY, index=index, wait_s=wait_s)
        if item is None:
            return Head(entry=None, index=0)
        return Head(entry=decode_entry(item.value), index=item.index)

    def entry(self, number: int) -> Entry | None:
        """Read an entry older than the head; None if it is not in the log."""
        item = self._store.get(_entry_key(number))
        if item is None:
            return None
        entry = decode_entry(item.value)
        if entry.number != number:
            raise ChiverunError(
                ResultCode.TICKET_MALFORMED,
                f"entry in the store: key {number} holds {entry.number}",
            )
        return entry

    def write_entry(self, entry: Entry) -> None:
        """Write an accepted entry to its own key."""
        self._write_value(_entry_key(entry.number), encode_entry(entry))

    def copy_head(self, head: Head) -> None:
        """Copy the head's entry to its own key before it is replaced."""
        if head.entry is not None:
            self.write_entry(head.entry)

    def base_pointer(self) -> BasePointer | None:
        """Read the pointer to the base, if there is one."""
        return decode_pointer(self._store.get(BASE_KEY))

    def load_base(self) -> State | None:
        """Read the compacted state, if there is one."""
        base = self.base_pointer()
        if base is None:
            return None
        chunks = []
        for index in range(base.chunks):
            item = self._store.get(chunk_key(base, index))
            if item is None:
                raise LogGap(
                    f"base of ticket {base.number}: chunk {index} is missing"
                )
            chunks.append(item.value)
        return decode_base(base, chunks)

    def write_base(self, state: State, *, is_forced: bool = False) -> bool:
        """Write the state as the new base; return whether it was written.

        A base of the same or a later number is kept; `is_forced` also
        replaces one of the same number. A base that is damaged or belongs to
        a different history is always replaced.
        """
        item = self._store.get(BASE_KEY)
        if not is_replaceable(item, state, is_forced):
            return False
        pointer, chunks = encode_base(state)
        for index, chunk in enumerate(chunks):
            self._write_value(chunk_key(pointer, index), chunk)
        is_written = self._store.put(
            BASE_KEY,
            encode_pointer(pointer),
            cas=item.index if item else 0,
        )
        if is_written:
            self._trim(pointer)
        return is_written

    def _trim(self, base: BasePointer) -> None:
        """Delete older bases and entries at least `ENTRIES_KEPT` behind.

        Listing the keys also finds those left by an interrupted compaction
        or a late writer. Errors are ignored: the next compaction retries.
        """
        try:
            for key in self._store.keys(_ENTRY_PREFIX):
                number = number_from_key(key, _ENTRY_PREFIX)
                if number is None or number <= base.number - ENTRIES_KEPT:
                    self._delete(key)
            for key in self._store.keys(CHUNK_PREFIX):
                number = number_from_key(key, CHUNK_PREFIX)
                if number is None or number < base.number:
                    self._delete(key)
        except (StoreUnavailable, StoreAnswerLost):
            return

    def _delete(self, key: str) -> None:
        item = self._store.get(key)
        if item is not None:
            self._store.delete(key, cas=item.index)

    def _write_value(self, key: str, data: bytes) -> None:
        """Write a value that is the same for all writers of its key.

        A different value is left over from the history before a restore of
        the store and is replaced.
        """
        for _ in range(_WRITE_ATTEMPTS):
            item = self._store.get(key)
            if item is not None and item.value == data:
                return
            try:
                if self._store.put(key, data, cas=item.index if item else 0):
                    return
            except StoreAnswerLost:
                continue
        raise StoreUnavailable(
            f"write {key}: not confirmed in {_WRITE_ATTEMPTS} attempts"
        )


def _entry_key(number: int) -> str:
    return f"{_ENTRY_PREFIX}{number}"
