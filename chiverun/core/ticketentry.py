"""Log entries, each of which holds an accepted ticket."""

import msgspec

from chiverun.core.errors import ChiverunError
from chiverun.core.errors import DECODE_ERRORS
from chiverun.core.errors import ResultCode
from chiverun.core.ids import TicketNumber
from chiverun.core.state import apply_ticket
from chiverun.core.state import State
from chiverun.core.ticket import decode_hook
from chiverun.core.ticket import encode_hook
from chiverun.core.ticket import Ticket


class Entry(msgspec.Struct, frozen=True, kw_only=True):
    """An accepted ticket; `digest` is that of the resulting state."""

    number: TicketNumber
    digest: str
    submission: str
    ticket: Ticket


def decode_entry(data: bytes) -> Entry:
    """Decode an entry; raises TICKET_MALFORMED."""
    try:
        entry = msgspec.msgpack.decode(data, type=Entry, dec_hook=decode_hook)
        if entry.number != entry.ticket.number:
            raise ValueError(
                f"entry {entry.number} holds ticket {entry.ticket.number}"
            )
        return entry
    except DECODE_ERRORS as exc:
        raise ChiverunError(
            ResultCode.TICKET_MALFORMED, f"entry in the store: {exc}"
        ) from exc


def encode_entry(entry: Entry) -> bytes:
    """Encode an entry as MessagePack."""
    return msgspec.msgpack.encode(entry, enc_hook=encode_hook)


def apply_entry(state: State, entry: Entry) -> State:
    """Apply an entry; raises TICKET_FORK if the digests do not match."""
    result = apply_ticket(state, entry.ticket, entry.submission)
    if result.digest != entry.digest:
        raise ChiverunError(
            ResultCode.TICKET_FORK,
            f"ticket {entry.number} does not continue the state of ticket "
            f"{state.number} with digest {state.digest!r}",
        )
    return result


def newest_entry(state: State) -> Entry | None:
    """Return the newest entry applied to a state, None before ticket 1."""
    if state.ticket is None:
        return None
    return Entry(
        number=state.number,
        digest=state.digest,
        submission=state.submission,
        ticket=state.ticket,
    )


def fork_error(entry: Entry, state: State) -> ChiverunError:
    """Return the error for an entry outside the history of a state."""
    return ChiverunError(
        ResultCode.TICKET_FORK,
        f"the store has another ticket {entry.number} than the history of "
        f"ticket {state.number} in force",
    )
