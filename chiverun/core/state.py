"""State in force: the objects that result from all accepted tickets."""

import dataclasses
import types
from collections.abc import Iterable
from collections.abc import Mapping
from typing import cast
from typing import TypeVar

import msgspec
import xxhash

from chiverun.core.errors import ChiverunError
from chiverun.core.errors import DECODE_ERRORS
from chiverun.core.errors import ResultCode
from chiverun.core.ids import TicketNumber
from chiverun.core.ticket import decode_hook
from chiverun.core.ticket import encode_hook
from chiverun.core.ticket import encode_ticket
from chiverun.core.ticket import KINDS
from chiverun.core.ticket import StateObject
from chiverun.core.ticket import Ticket

R = TypeVar("R", bound=StateObject)

# Number of digests stored to compare histories: 1.7 hours of tickets at the
# target of 58,000 a day, in 32 KB per state.
HISTORY_DIGESTS_MAX = 4096
_HISTORY_DIGEST_BYTES = 8


@dataclasses.dataclass(frozen=True, kw_only=True)
class State:
    """Objects by kind and name after ticket `number`.

    `digest` is a hash chain over all tickets up to `number`, so two states
    with equal number and digest result from the same tickets. `ticket` and
    `submission` are those of the newest ticket: an instance that received the
    whole state needs them to repair the head of the store. `history` holds
    the first 8 bytes of the newest digests, oldest first.
    """

    number: TicketNumber
    digest: str
    objects: Mapping[str, Mapping[str, StateObject]]
    ticket: Ticket | None = None
    submission: str = ""
    history: bytes = b""

    def of(self, kind: type[R]) -> Mapping[str, R]:
        """Return the objects of a record type by name."""
        return cast(Mapping[str, R], self.objects[_KIND_NAMES[kind]])

    def follows(self, number: int, digest: str) -> bool | None:
        """Return whether a number and digest are part of this history.

        Return None if that is unknown: the number is later than that of this
        state, or its digest is no longer stored.
        """
        if number > self.number:
            return None
        if number == self.number:
            return digest == self.digest
        if number == 0:
            return True
        kept = len(self.history) // _HISTORY_DIGEST_BYTES
        position = kept - (self.number - number) - 1
        if position < 0:
            return None
        start = position * _HISTORY_DIGEST_BYTES
        return self.history[
            start : start + _HISTORY_DIGEST_BYTES
        ] == _short_digest(digest)


_KIND_NAMES = {record: kind for kind, record in KINDS.items()}


def empty_state() -> State:
    """Return the state before ticket 1."""
    empty = types.MappingProxyType({})
    return State(
        number=TicketNumber(0),
        digest="",
        objects=dict.fromkeys(KINDS, empty),
    )


def chain_digest(previous: str, ticket: Ticket) -> str:
    """Return the digest of the state after `ticket`."""
    data = previous.encode() + encode_ticket(ticket)
    return xxhash.xxh3_128_hexdigest(data)


def _short_digest(digest: str) -> bytes:
    try:
        return bytes.fromhex(digest)[:_HISTORY_DIGEST_BYTES]
    except ValueError:
        return b""


def apply_ticket(state: State, ticket: Ticket, submission: str = "") -> State:
    """Return a new state with a ticket applied to `state`.

    The mappings of unchanged kinds are shared between both states.

    Raises
    ------
    ChiverunError
        TICKET_OUT_OF_ORDER unless the ticket has the next number.
    """
    if ticket.number != state.number + 1:
        raise ChiverunError(
            ResultCode.TICKET_OUT_OF_ORDER,
            f"ticket number {ticket.number} does not follow "
            f"{state.number}; valid: {state.number + 1}",
        )
    objects = dict(state.objects)
    for kind in KINDS:
        records: Iterable[StateObject] = getattr(ticket, kind)
        removed = {r.name for r in ticket.remove if r.kind == kind}
        if records or removed:
            merged = {**objects[kind], **{r.name: r for r in records}}
            for name in removed:
                merged.pop(name, None)
            objects[kind] = types.MappingProxyType(merged)
    digest = chain_digest(state.digest, ticket)
    history = state.history + _short_digest(digest)
    return State(
        number=ticket.number,
        digest=digest,
        objects=objects,
        ticket=ticket,
        submission=submission,
        history=history[-HISTORY_DIGESTS_MAX * _HISTORY_DIGEST_BYTES :],
    )


class _StateImage(msgspec.Struct, frozen=True, kw_only=True):
    """A state as sent to peers and stored; `content` holds all objects."""

    number: TicketNumber
    digest: str
    content: Ticket
    ticket: Ticket | None = None
    submission: str = ""
    history: bytes = b""


class _HashedImage(msgspec.Struct, frozen=True, kw_only=True):
    """An encoded image and its hash, since corrupt bytes may still decode."""

    image: bytes
    check: str


def encode_state(state: State) -> bytes:
    """Encode a whole state as MessagePack."""
    content = Ticket(
        number=state.number,
        reason="",
        author="",
        **{k: tuple(state.objects[k].values()) for k in KINDS},
    )
    image = msgspec.msgpack.encode(
        _StateImage(
            number=state.number,
            digest=state.digest,
            content=content,
            ticket=state.ticket,
            submission=state.submission,
            history=state.history,
        ),
        enc_hook=encode_hook,
    )
    return msgspec.msgpack.encode(
        _HashedImage(image=image, check=xxhash.xxh3_128_hexdigest(image))
    )


def decode_state(data: bytes) -> State:
    """Decode the output of `encode_state`; raises TICKET_MALFORMED."""
    try:
        hashed = msgspec.msgpack.decode(data, type=_HashedImage)
        if xxhash.xxh3_128_hexdigest(hashed.image) != hashed.check:
            raise ValueError("its hash does not match")
        image = msgspec.msgpack.decode(
            hashed.image, type=_StateImage, dec_hook=decode_hook
        )
    except DECODE_ERRORS as exc:
        raise ChiverunError(
            ResultCode.TICKET_MALFORMED, f"state image: {exc}"
        ) from exc
    return State(
        number=image.number,
        digest=image.digest,
        objects={
            kind: types.MappingProxyType(
                {r.name: r for r in getattr(image.content, kind)}
            )
            for kind in KINDS
        },
        ticket=image.ticket,
        submission=image.submission,
        history=image.history,
    )
