"""The log of accepted tickets in the platform's key-value store.

Only the swap of the head accepts a ticket. The head holds the newest ticket
whole; a submitter copies it to the log before it replaces it.
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
from chiverun.core.ticketconflict import check_not_behind
from chiverun.core.ticketconflict import check_same_history
from chiverun.core.ticketconflict import lost_race
from chiverun.core.ticketconflict import number_taken
from chiverun.core.ticketconflict import outcome_unknown
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

COMPACT_EVERY = 64
_LOAD_ATTEMPTS = 4
_SETTLE_ATTEMPTS = 6
_SETTLE_PAUSE_S = 0.5
_DAMAGES = {ResultCode.TICKET_MALFORMED, ResultCode.TICKET_FORK}


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
        self._records = TicketRecords(store=store)
        self._sleep = sleep

    def head(self, *, index: int = 0, wait_s: float = 0.0) -> Head:
        """Read the head; with `index`, wait for a newer one."""
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
        """Read the state in force: the base and what follows it.

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
                # A compaction may have moved the base while it was read.
                continue
        return self.follow(self._records.load_base() or empty_state())

    def entries_between(self, number: int, head: Entry) -> list[Entry] | None:
        """Return the entries after `number` up to the head.

        None means that some of them were trimmed.
        """
        entries = []
        for wanted in range(number + 1, head.number):
            entry = self._records.entry(wanted)
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
                f"the log has a gap between tickets {state.number} and "
                f"{head.number}"
            )
        for entry in entries:
            state = apply_entry(state, entry)
        return state

    def submit(
        self, ticket: Ticket, submission: str, in_force: list[ReportedState]
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
        except (StoreUnavailable, StoreAnswerLost) as exc:
            raise ChiverunError(
                ResultCode.STORE_UNAVAILABLE,
                f"ticket {ticket.number}: the head was not written: {exc}",
            ) from exc

    def compact(self, state: State, *, is_forced: bool = False) -> bool:
        """Write the state as the new base; return whether that was done.

        A base of the same number or newer is kept; `is_forced` replaces one
        of the same number too. One that is damaged or belongs to another
        history than the state's is replaced.
        """
        return self._records.write_base(state, is_forced=is_forced)

    def restore_head(self, state: State, recent: list[Entry]) -> bool:
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

        Raises
        ------
        ChiverunError
            TICKET_FORK if the store's head is not a part of the state's
            history: overwriting it would revert a ticket accepted there.
        """
        head = self.head()
        known = head.entry.number if head.entry else 0
        newest = newest_entry(state)
        if newest is None or known >= state.number:
            return False
        if head.entry and state.follows(known, head.entry.digest) is False:
            raise fork_error(head.entry, state)
        self._records.copy_head(head)
        missing = [e for e in recent if known < e.number < state.number]
        for entry in missing:
            self._records.write_entry(entry)
        if len(missing) < state.number - known - 1:
            self._cover_by_base(state)
        return self._store.put(HEAD_KEY, encode_entry(newest), cas=head.index)

    def replace_unloadable_base(self, state: State) -> bool:
        """Replace the base if the log behind the head cannot be loaded.

        Returns whether a new base was written. `state` must be that of the
        head, else nothing is done.
        """
        try:
            if self.load().digest == state.digest:
                return False
        except LogGap:
            pass
        except ChiverunError as exc:
            if exc.code not in _DAMAGES:
                raise
        head = self.head().entry
        if head is None or head.digest != state.digest:
            return False
        return self.compact(state, is_forced=True)

    def _cover_by_base(self, state: State) -> None:
        """Make the state loadable without the tickets that led to it."""
        if self.compact(state):
            return
        base = self._records.base_pointer()
        if base is None or base.digest != state.digest:
            raise StoreUnavailable("the base was changed by another")

    def _submit(
        self, ticket: Ticket, submission: str, in_force: list[ReportedState]
    ) -> Entry:
        head = self.head()
        earlier = self._accepted(ticket, submission, head)
        if earlier is not None:
            return earlier
        number = head.entry.number if head.entry else 0
        check_not_behind(number, in_force)
        state = self.load()
        if state.number > number:
            self._raise_moved(ticket, state.number)
        check_same_history(state, in_force)
        if 0 < ticket.number <= state.number:
            raise number_taken(ticket, state.number, self.entry(ticket.number))
        result = check_ticket(state, ticket)
        entry = Entry(
            number=ticket.number,
            digest=result.digest,
            submission=submission,
            ticket=ticket,
        )
        self._records.copy_head(head)
        self._swap_head(entry, head)
        self._compact_in_turn(apply_entry(state, entry))
        return entry

    def _raise_moved(self, ticket: Ticket, loaded: int) -> None:
        """Tell why the loaded state is newer than the head read before."""
        now = self.head().entry
        if now is None or now.number < loaded:
            raise ChiverunError(
                ResultCode.STORE_BEHIND,
                f"the store's base has ticket {loaded}, its head "
                f"{now.number if now else 0}; wait until an instance has "
                "repaired the store",
            )
        raise lost_race(ticket, self.entry(ticket.number))

    def _swap_head(self, entry: Entry, head: Head) -> None:
        """Swap the head; settle by reading when the answer is lost.

        The same bytes are written again while the head is unchanged: the
        lost write and the new one differ in nothing, and at most one of
        them takes effect. Once a write was sent, a failure to read says
        nothing about its effect.
        """
        data = encode_entry(entry)
        is_sent = False
        for _ in range(_SETTLE_ATTEMPTS):
            try:
                if self._store.put(HEAD_KEY, data, cas=head.index):
                    return
            except StoreUnavailable:
                self._sleep(_SETTLE_PAUSE_S)
            except StoreAnswerLost:
                is_sent = True
                self._sleep(_SETTLE_PAUSE_S)
            try:
                now = self.head()
                if now.index == head.index:
                    continue
                winner = self._winner(entry, now)
            except (StoreUnavailable, ChiverunError):
                continue
            if winner is not None and winner.submission == entry.submission:
                return
            if winner is None and is_sent:
                raise outcome_unknown(entry)
            raise lost_race(entry.ticket, winner)
        if is_sent:
            raise outcome_unknown(entry)
        raise StoreUnavailable("the store did not take the write")

    def _winner(self, entry: Entry, now: Head) -> Entry | None:
        """Return the accepted ticket of the entry's number, if known."""
        if now.entry is None or now.entry.number < entry.number:
            return None
        if now.entry.number == entry.number:
            return now.entry
        return self._records.entry(entry.number)

    def _accepted(
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
                f"submission {submission} was accepted with other content of "
                f"ticket {ticket.number}; valid: the same file, or a new "
                "submission of the next number",
            )
        return entry

    def _compact_in_turn(self, state: State) -> None:
        """Compact when enough tickets have come; failure costs nothing."""
        try:
            base = self._records.base_pointer()
            if state.number - (base.number if base else 0) >= COMPACT_EVERY:
                self.compact(state)
        except (StoreUnavailable, StoreAnswerLost, ChiverunError):
            return
