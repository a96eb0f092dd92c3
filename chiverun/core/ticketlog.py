"""Log of accepted tickets in the platform's key-value store.

A ticket is accepted by a compare-and-swap of the head key and by nothing
else. The head holds the newest entry; a submitter copies it to the log before
replacing it.
"""

import time
from collections.abc import Callable
from typing import TYPE_CHECKING

from chiverun.core.errors import ChiverunError
from chiverun.core.errors import ResultCode
from chiverun.core.state import empty_state
from chiverun.core.state import State
from chiverun.core.ticket import Ticket
from chiverun.core.ticketcheck import check_ticket
from chiverun.core.ticketconflict import check_same_history
from chiverun.core.ticketconflict import check_store_not_behind
from chiverun.core.ticketconflict import lost_race_error
from chiverun.core.ticketconflict import number_taken_error
from chiverun.core.ticketconflict import outcome_unknown_error
from chiverun.core.ticketconflict import ReportedState
from chiverun.core.ticketentry import apply_entry
from chiverun.core.ticketentry import encode_entry
from chiverun.core.ticketentry import Entry
from chiverun.core.ticketentry import fork_error
from chiverun.core.ticketentry import newest_entry
from chiverun.core.ticketrecords import Head
from chiverun.core.ticketrecords import HEAD_KEY
from chiverun.core.ticketrecords import LogGap
from chiverun.core.ticketrecords import TicketRecords
from chiverun.integrations.interfaces import StoreAnswerLost
from chiverun.integrations.interfaces import StoreUnavailable

if TYPE_CHECKING:
    from chiverun.integrations.interfaces import KeyValueStore

COMPACT_EVERY_TICKETS = 64
_LOAD_ATTEMPTS = 4
_WRITE_ATTEMPTS = 6
_WRITE_RETRY_PAUSE_S = 0.5
_DAMAGE_CODES = {ResultCode.TICKET_MALFORMED, ResultCode.TICKET_FORK}


class TicketLog:
    """Reads and writes the ticket log.

    Parameters
    ----------
    store : KeyValueStore
    sleep : callable
        Sleeps for the given seconds before the head is read again after a
        write without a response.
    """

    def __init__(
        self,
        *,
        store: "KeyValueStore",
        sleep: Callable[[float], None] = time.sleep,
    ) -> None:
        self._store = store
        self._records = TicketRecords(store=store)
        self._sleep = sleep

    def head(self, *, index: int = 0, wait_s: float = 0.0) -> Head:
        """Read the head; with `index`, wait up to `wait_s` for a newer one."""
        return self._records.head(index=index, wait_s=wait_s)

    def entry(self, number: int) -> Entry | None:
        """Read an accepted ticket that is still in the log."""
        head = self.head().entry
        if head is None or not 0 < number <= head.number:
            return None
        if head.number == number:
            return head
        return self._records.entry(number)

    def load(self) -> State:
        """Load the state in force: the base and all entries after it.

        Raises
        ------
        ChiverunError
            TICKET_MALFORMED or TICKET_FORK if the log is damaged.
        StoreUnavailable
            The log could not be read, or has a gap.
        """
        for _ in range(_LOAD_ATTEMPTS - 1):
            try:
                return self.follow(self._records.load_base() or empty_state())
            except LogGap:
                # A concurrent compaction may have replaced the base.
                continue
        return self.follow(self._records.load_base() or empty_state())

    def entries_between(self, number: int, head: Entry) -> list[Entry] | None:
        """Return the entries after `number` up to and including the head.

        Return None if some of them have been trimmed.
        """
        entries = []
        for entry_number in range(number + 1, head.number):
            entry = self._records.entry(entry_number)
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
            raise LogGap(
                f"ticket log: entries between {state.number} and "
                f"{head.number} are missing"
            )
        for entry in entries:
            state = apply_entry(state, entry)
        return state

    def submit(
        self, ticket: Ticket, submission: str, in_force: list[ReportedState]
    ) -> Entry:
        """Check a ticket and append it to the log.

        Submitting an accepted submission again returns its entry.

        Raises
        ------
        ChiverunError
            A 2xx code, or STORE_UNAVAILABLE if nothing has been written.
        """
        try:
            return self._submit(ticket, submission, in_force)
        except (StoreUnavailable, StoreAnswerLost) as exc:
            raise ChiverunError(
                ResultCode.STORE_UNAVAILABLE,
                f"ticket {ticket.number} has not been written: {exc}",
            ) from exc

    def compact(self, state: State, *, is_forced: bool = False) -> bool:
        """Write the state as the new base; return whether it was written.

        A base of the same or a later number is kept; `is_forced` also
        replaces one of the same number. A base that is damaged or belongs to
        a different history is always replaced.
        """
        return self._records.write_base(state, is_forced=is_forced)

    def restore_head(self, state: State, recent: list[Entry]) -> bool:
        """Write accepted tickets back to a store that has lost them.

        Parameters
        ----------
        state : State
            The state in force on this instance.
        recent : list of Entry
            The newest entries applied to it, oldest first.

        Returns
        -------
        bool
            Whether the head has been written.

        Raises
        ------
        ChiverunError
            TICKET_FORK if the store's head is not part of the state's
            history: overwriting it would revert a ticket accepted there.
        """
        head = self.head()
        head_number = head.entry.number if head.entry else 0
        newest = newest_entry(state)
        if newest is None or head_number >= state.number:
            return False
        if (
            head.entry
            and state.follows(head_number, head.entry.digest) is False
        ):
            raise fork_error(head.entry, state)
        self._records.copy_head(head)
        missing = [e for e in recent if head_number < e.number < state.number]
        for entry in missing:
            self._records.write_entry(entry)
        if len(missing) < state.number - head_number - 1:
            self._ensure_base(state)
        return self._store.put(HEAD_KEY, encode_entry(newest), cas=head.index)

    def replace_unloadable_base(self, state: State) -> bool:
        """Replace the base if the log cannot be loaded from it.

        Return whether a new base has been written. Nothing is written unless
        `state` is the state of the head.
        """
        try:
            if self.load().digest == state.digest:
                return False
        except LogGap:
            pass
        except ChiverunError as exc:
            if exc.code not in _DAMAGE_CODES:
                raise
        head = self.head().entry
        if head is None or head.digest != state.digest:
            return False
        return self.compact(state, is_forced=True)

    def _ensure_base(self, state: State) -> None:
        """Ensure that the base holds the state, so no older entry is read."""
        if self.compact(state):
            return
        base = self._records.base_pointer()
        if base is None or base.digest != state.digest:
            raise StoreUnavailable(
                f"base of ticket {state.number}: replaced by another writer"
            )

    def _submit(
        self, ticket: Ticket, submission: str, in_force: list[ReportedState]
    ) -> Entry:
        head = self.head()
        earlier = self._entry_of_submission(ticket, submission, head)
        if earlier is not None:
            return earlier
        number = head.entry.number if head.entry else 0
        check_store_not_behind(number, in_force)
        state = self.load()
        if state.number > number:
            self._raise_outdated_head(ticket, state.number)
        check_same_history(state, in_force)
        if 0 < ticket.number <= state.number:
            raise number_taken_error(
                ticket, state.number, self.entry(ticket.number)
            )
        result = check_ticket(state, ticket)
        entry = Entry(
            number=ticket.number,
            digest=result.digest,
            submission=submission,
            ticket=ticket,
        )
        self._records.copy_head(head)
        self._replace_head(entry, head)
        self._compact_if_due(apply_entry(state, entry))
        return entry

    def _raise_outdated_head(self, ticket: Ticket, loaded: int) -> None:
        """Raise the error for a base newer than the head read before it."""
        current = self.head().entry
        if current is None or current.number < loaded:
            raise ChiverunError(
                ResultCode.STORE_BEHIND,
                f"the store's base is at ticket {loaded}, its head at ticket "
                f"{current.number if current else 0}; wait until an instance "
                "has repaired the store",
            )
        raise lost_race_error(ticket, self.entry(ticket.number))

    def _replace_head(self, entry: Entry, head: Head) -> None:
        """Replace the head; read it back if the response is lost.

        While the head is unchanged, the same bytes are written again: the
        two writes are identical, and the compare-and-swap lets at most one
        of them take effect. After a write has been sent, a failed read
        proves nothing about its outcome.
        """
        data = encode_entry(entry)
        is_sent = False
        for _ in range(_WRITE_ATTEMPTS):
            try:
                if self._store.put(HEAD_KEY, data, cas=head.index):
                    return
            except StoreUnavailable:
                self._sleep(_WRITE_RETRY_PAUSE_S)
            except StoreAnswerLost:
                is_sent = True
                self._sleep(_WRITE_RETRY_PAUSE_S)
            try:
                current = self.head()
                if current.index == head.index:
                    continue
                winner = self._accepted_entry(entry, current)
            except (StoreUnavailable, ChiverunError):
                continue
            if winner is not None and winner.submission == entry.submission:
                return
            if winner is None and is_sent:
                raise outcome_unknown_error(entry)
            raise lost_race_error(entry.ticket, winner)
        if is_sent:
            raise outcome_unknown_error(entry)
        raise StoreUnavailable(
            f"write {HEAD_KEY}: failed in {_WRITE_ATTEMPTS} attempts"
        )

    def _accepted_entry(self, entry: Entry, current: Head) -> Entry | None:
        """Return the accepted entry with the number of `entry`, if known."""
        if current.entry is None or current.entry.number < entry.number:
            return None
        if current.entry.number == entry.number:
            return current.entry
        return self._records.entry(entry.number)

    def _entry_of_submission(
        self, ticket: Ticket, submission: str, head: Head
    ) -> Entry | None:
        if head.entry is None or head.entry.number < ticket.number:
            return None
        entry = (
            head.entry
            if head.entry.number == ticket.number
            else self._records.entry(ticket.number)
        )
        if entry is None or entry.submission != submission:
            return None
        if entry.ticket != ticket:
            raise ChiverunError(
                ResultCode.TICKET_INVALID,
                f"submission {submission} was accepted with different "
                f"content of ticket {ticket.number}; valid: the same file, "
                "or a new submission with the next number",
            )
        return entry

    def _compact_if_due(self, state: State) -> None:
        """Compact if `COMPACT_EVERY_TICKETS` are in the log after the base.

        Errors are ignored: the next ticket retries.
        """
        try:
            base = self._records.base_pointer()
            if (
                state.number - (base.number if base else 0)
                >= COMPACT_EVERY_TICKETS
            ):
                self.compact(state)
        except (StoreUnavailable, StoreAnswerLost, ChiverunError):
            return
