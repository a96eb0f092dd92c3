"""The log of accepted tickets in the platform's key-value store.

Only the swap of the head accepts a ticket. The head holds the newest ticket
whole; a submitter copies it to the log before it replaces it.
"""

import dataclasses
import time
from collections.abc import Callable
from typing import TYPE_CHECKING

import msgspec

from chiverun.core.errors import ChiverunError
from chiverun.core.errors import ResultCode
from chiverun.core.ids import TicketNumber
from chiverun.core.state import apply_ticket
from chiverun.core.state import decode_state
from chiverun.core.state import empty_state
from chiverun.core.state import encode_state
from chiverun.core.state import State
from chiverun.core.ticket import decode_hook
from chiverun.core.ticket import encode_hook
from chiverun.core.ticket import Ticket
from chiverun.core.ticketcheck import check_ticket
from chiverun.integrations.interfaces import StoreAnswerLost
from chiverun.integrations.interfaces import StoreUnavailable

if TYPE_CHECKING:
    from chiverun.integrations.interfaces import Item
    from chiverun.integrations.interfaces import KeyValueStore

HEAD_KEY = "chiverun/head"
BASE_KEY = "chiverun/base"
_ENTRY_PREFIX = "chiverun/ticket/"
_CHUNK_BYTES = 900_000
COMPACT_EVERY = 64
ENTRIES_KEPT = 256
_SETTLE_ATTEMPTS = 6
_SETTLE_PAUSE_S = 0.5


class Entry(msgspec.Struct, frozen=True, kw_only=True):
    """An accepted ticket; `digest` is that of the state after it."""

    number: TicketNumber
    digest: str
    submission: str
    ticket: Ticket


class _Base(msgspec.Struct, frozen=True, kw_only=True):
    """Pointer to the newest compacted state."""

    number: TicketNumber
    digest: str
    chunks: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Head:
    """The head entry with the store's index of it; None before ticket 1."""

    entry: Entry | None
    index: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class InForce:
    """What an instance reported to have in force."""

    instance: str
    number: int
    digest: str


def decode_entry(data: bytes) -> Entry:
    """Decode an entry; raises TICKET_MALFORMED."""
    try:
        return msgspec.msgpack.decode(data, type=Entry, dec_hook=decode_hook)
    except (msgspec.DecodeError, ValueError) as exc:
        raise ChiverunError(
            ResultCode.TICKET_MALFORMED, f"entry in the store: {exc}"
        ) from exc


def encode_entry(entry: Entry) -> bytes:
    """Encode an entry (MessagePack)."""
    return msgspec.msgpack.encode(entry, enc_hook=encode_hook)


def apply_entry(state: State, entry: Entry) -> State:
    """Apply an entry; raises TICKET_FORK if it continues another state."""
    result = apply_ticket(state, entry.ticket)
    if result.digest != entry.digest:
        raise ChiverunError(
            ResultCode.TICKET_FORK,
            f"ticket {entry.number} does not continue the state of ticket "
            f"{state.number} with digest {state.digest!r}",
        )
    return result


class TicketLog:
    """Reads and writes the ticket log.

    Parameters
    ----------
    store : KeyValueStore
    sleep : callable
        Waits the given seconds between re-reads after a lost answer.
    """

    def __init__(
        self,
        *,
        store: "KeyValueStore",
        sleep: Callable[[float], None] = time.sleep,
    ) -> None:
        self._store = store
        self._sleep = sleep

    def head(self, *, index: int = 0, wait_s: float = 0.0) -> Head:
        """Read the head; with `index`, wait for a newer one."""
        item = self._store.get(HEAD_KEY, index=index, wait_s=wait_s)
        if item is None:
            return Head(entry=None, index=0)
        return Head(entry=decode_entry(item.value), index=item.index)

    def entry(self, number: int) -> Entry | None:
        """Read an accepted ticket that is still in the log."""
        head = self.head().entry
        if head is None or not 0 < number <= head.number:
            return None
        if head.number == number:
            return head
        return self._logged(number)

    def load(self) -> State:
        """Read the state in force: the base and what follows it."""
        return self.follow(self._load_base() or empty_state())

    def entries_between(self, number: int, head: Entry) -> list[Entry] | None:
        """Return the entries after `number` up to the head.

        None means that some of them were trimmed.
        """
        entries = []
        for wanted in range(number + 1, head.number):
            entry = self._logged(wanted)
            if entry is None:
                return None
            entries.append(entry)
        return [*entries, head]

    def follow(self, state: State) -> State:
        """Return the state advanced to the head.

        Raises
        ------
        ChiverunError
            TICKET_FORK if the log does not continue `state`.
        StoreUnavailable
            The log could not be read, or has a gap.
        """
        head = self.head().entry
        if head is None or head.number <= state.number:
            return state
        entries = self.entries_between(state.number, head)
        if entries is None:
            raise StoreUnavailable(
                f"the log has a gap between tickets {state.number} and "
                f"{head.number}"
            )
        for entry in entries:
            state = apply_entry(state, entry)
        return state

    def submit(
        self, ticket: Ticket, submission: str, in_force: list[InForce]
    ) -> Entry:
        """Have a ticket accepted, or learn why it is not.

        A submission that was accepted before returns its entry again.

        Raises
        ------
        ChiverunError
            A 2xx code, or STORE_UNAVAILABLE when nothing was written.
        """
        try:
            return self._submit(ticket, submission, in_force)
        except StoreUnavailable as exc:
            raise ChiverunError(
                ResultCode.STORE_UNAVAILABLE,
                f"ticket {ticket.number} was not accepted: {exc}",
            ) from exc

    def compact(self, state: State) -> bool:
        """Write the state as the new base unless a newer one is there."""
        item = self._store.get(BASE_KEY)
        base = _decode_base(item)
        if base is not None and base.number >= state.number:
            return False
        data = encode_state(state)
        chunks = [
            data[i : i + _CHUNK_BYTES]
            for i in range(0, len(data), _CHUNK_BYTES)
        ]
        for index, chunk in enumerate(chunks):
            self._overwrite(_chunk_key(state.number, index), chunk)
        pointer = _Base(
            number=state.number, digest=state.digest, chunks=len(chunks)
        )
        swapped = self._store.put(
            BASE_KEY,
            msgspec.msgpack.encode(pointer),
            cas=item.index if item else 0,
        )
        if swapped:
            self._trim(state.number, base)
        return swapped

    def repair(self, state: State, recent: list[Entry]) -> bool:
        """Bring a store that lost accepted tickets forward again.

        Parameters
        ----------
        state : State
            The state in force on this instance.
        recent : list of Entry
            The last tickets that led to it, oldest first.

        Returns
        -------
        bool
            Whether the head was written.
        """
        head = self.head()
        known = head.entry.number if head.entry else 0
        if known >= state.number or not recent:
            return False
        for entry in recent:
            if entry.number > known:
                self._store.put(
                    _entry_key(entry.number), encode_entry(entry), cas=0
                )
        if recent[0].number > known + 1:
            self.compact(state)
        return self._store.put(
            HEAD_KEY, encode_entry(recent[-1]), cas=head.index
        )

    def _submit(
        self, ticket: Ticket, submission: str, in_force: list[InForce]
    ) -> Entry:
        head = self.head()
        earlier = self._accepted(ticket, submission, head)
        if earlier is not None:
            return earlier
        _check_in_force(head, in_force)
        state = self.load()
        if head.entry is not None and state.number != head.entry.number:
            raise _lost_race(ticket, self.entry(ticket.number))
        result = check_ticket(state, ticket)
        entry = Entry(
            number=ticket.number,
            digest=result.digest,
            submission=submission,
            ticket=ticket,
        )
        self._copy_head(head)
        self._swap_head(entry, head)
        self._compact_in_turn(result)
        return entry

    def _swap_head(self, entry: Entry, head: Head) -> None:
        """Swap the head; settle by reading when the answer is lost.

        The same bytes are written again while the head is unchanged: the
        lost write and the new one differ in nothing, and at most one of
        them takes effect.
        """
        data = encode_entry(entry)
        for _ in range(_SETTLE_ATTEMPTS):
            try:
                if self._store.put(HEAD_KEY, data, cas=head.index):
                    return
            except (StoreUnavailable, StoreAnswerLost):
                self._sleep(_SETTLE_PAUSE_S)
            try:
                now = self.head()
            except StoreUnavailable:
                continue
            if now.index == head.index:
                continue
            if self._accepted(entry.ticket, entry.submission, now):
                return
            raise _lost_race(entry.ticket, self.entry(entry.number))
        raise ChiverunError(
            ResultCode.TICKET_OUTCOME_UNKNOWN,
            f"ticket {entry.number}: no answer from the store; submit again "
            f"with --submission {entry.submission} to learn the outcome",
        )

    def _accepted(
        self, ticket: Ticket, submission: str, head: Head
    ) -> Entry | None:
        if head.entry is None or head.entry.number < ticket.number:
            return None
        entry = (
            head.entry
            if head.entry.number == ticket.number
            else self._logged(ticket.number)
        )
        if entry is not None and entry.submission == submission:
            return entry
        return None

    def _copy_head(self, head: Head) -> None:
        if head.entry is None:
            return
        key = _entry_key(head.entry.number)
        item = self._store.get(key)
        data = encode_entry(head.entry)
        if item is None:
            self._put_settled(key, data, 0)
        elif item.value != data:
            # Left from before the store was restored to older data.
            self._put_settled(key, data, item.index)

    def _put_settled(self, key: str, data: bytes, cas: int) -> None:
        """Write a value that no one else writes differently."""
        try:
            self._store.put(key, data, cas=cas)
        except StoreAnswerLost:
            item = self._store.get(key)
            if item is None or item.value != data:
                raise StoreUnavailable(f"write {key}: no answer") from None

    def _overwrite(self, key: str, data: bytes) -> None:
        item = self._store.get(key)
        self._store.put(key, data, cas=item.index if item else 0)

    def _compact_in_turn(self, state: State) -> None:
        """Compact when enough tickets have come; failure costs nothing."""
        try:
            base = _decode_base(self._store.get(BASE_KEY))
            if state.number - (base.number if base else 0) >= COMPACT_EVERY:
                self.compact(state)
        except (StoreUnavailable, StoreAnswerLost):
            return

    def _trim(self, number: int, old: _Base | None) -> None:
        """Delete the old base and the entries far behind the new one."""
        keys = []
        if old is not None:
            keys += [_chunk_key(old.number, i) for i in range(old.chunks)]
        first = max(1, (old.number if old else 0) - ENTRIES_KEPT)
        keys += [
            _entry_key(n) for n in range(first, number - ENTRIES_KEPT + 1)
        ]
        for key in keys:
            item = self._store.get(key)
            if item is not None:
                self._store.delete(key, cas=item.index)

    def _load_base(self) -> State | None:
        base = _decode_base(self._store.get(BASE_KEY))
        if base is None:
            return None
        chunks = []
        for index in range(base.chunks):
            item = self._store.get(_chunk_key(base.number, index))
            if item is None:
                raise StoreUnavailable(f"base {base.number}: chunk missing")
            chunks.append(item.value)
        return decode_state(b"".join(chunks))

    def _logged(self, number: int) -> Entry | None:
        item = self._store.get(_entry_key(number))
        return decode_entry(item.value) if item else None


def _entry_key(number: int) -> str:
    return f"{_ENTRY_PREFIX}{number}"


def _chunk_key(number: int, index: int) -> str:
    return f"{BASE_KEY}/{number}/{index}"


def _decode_base(item: "Item | None") -> _Base | None:
    if item is None:
        return None
    return msgspec.msgpack.decode(item.value, type=_Base)


def _check_in_force(head: Head, in_force: list[InForce]) -> None:
    """Refuse when instances are ahead of the store, or on another chain."""
    number = head.entry.number if head.entry else 0
    for report in in_force:
        if report.number > number:
            raise ChiverunError(
                ResultCode.STORE_BEHIND,
                f"instance {report.instance} has ticket {report.number} in "
                f"force, the store has {number}; wait until an instance has "
                "repaired the store",
            )
        if head.entry is None or report.number != number:
            continue
        if report.digest != head.entry.digest:
            raise ChiverunError(
                ResultCode.TICKET_FORK,
                f"instance {report.instance} has another ticket {number} in "
                "force than the store",
            )


def _lost_race(ticket: Ticket, winner: Entry | None) -> ChiverunError:
    told = (
        f"accepted is {winner.ticket.reason!r} by {winner.ticket.author!r} "
        f"(submission {winner.submission})"
        if winner
        else "another ticket was accepted"
    )
    return ChiverunError(
        ResultCode.TICKET_LOST_RACE,
        f"ticket {ticket.number} was not accepted: {told}; take the next "
        "number",
    )
