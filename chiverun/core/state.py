"""The state in force: all objects that accepted tickets have set."""

import dataclasses
import types
from collections.abc import Iterable
from collections.abc import Mapping
from typing import cast
from typing import TypeVar

import msgspec
import xxhash

from chiverun.core.errors import ChiverunError
from chiverun.core.errors import ResultCode
from chiverun.core.ids import TicketNumber
from chiverun.core.ticket import decode_hook
from chiverun.core.ticket import encode_hook
from chiverun.core.ticket import encode_ticket
from chiverun.core.ticket import KINDS
from chiverun.core.ticket import StateObject
from chiverun.core.ticket import Ticket

R = TypeVar("R", bound=StateObject)


@dataclasses.dataclass(frozen=True, kw_only=True)
class State:
    """Objects by kind and name after ticket `number`.

    `digest` chains the digests of all tickets up to `number`, so that two
    states with equal number and digest followed the same tickets.
    """

    number: TicketNumber
    digest: str
    objects: Mapping[str, Mapping[str, StateObject]]

    def of(self, kind: type[R]) -> Mapping[str, R]:
        """Return the objects of a record type by name."""
        return cast(Mapping[str, R], self.objects[_KIND_NAMES[kind]])


_KIND_NAMES = {record: kind for kind, record in KINDS.items()}


def empty_state() -> State:
    """Return the state before ticket 1."""
    nothing = types.MappingProxyType({})
    return State(
        number=TicketNumber(0),
        digest="",
        objects=dict.fromkeys(KINDS, nothing),
    )


def chain_digest(previous: str, ticket: Ticket) -> str:
    """Return the digest of a state with `ticket` applied to it."""
    data = previous.encode() + encode_ticket(ticket)
    return xxhash.xxh3_128_hexdigest(data)


def apply_ticket(state: State, ticket: Ticket) -> State:
    """Return the state with a ticket applied; `state` is left as it is.

    Kinds that the ticket does not touch are shared with `state`.

    Raises
    ------
    ChiverunError
        TICKET_OUT_OF_ORDER unless the ticket's number follows the state's.
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
    return State(
        number=ticket.number,
        digest=chain_digest(state.digest, ticket),
        objects=objects,
    )


class _Image(msgspec.Struct, frozen=True, kw_only=True):
    """A state as one ticket-shaped record, for transfer and the store."""

    number: TicketNumber
    digest: str
    content: Ticket


def encode_state(state: State) -> bytes:
    """Encode a whole state (MessagePack)."""
    content = Ticket(
        number=state.number,
        reason="",
        author="",
        **{k: tuple(state.objects[k].values()) for k in KINDS},
    )
    image = _Image(number=state.number, digest=state.digest, content=content)
    return msgspec.msgpack.encode(image, enc_hook=encode_hook)


def decode_state(data: bytes) -> State:
    """Decode what `encode_state` made; raises TICKET_MALFORMED."""
    try:
        image = msgspec.msgpack.decode(data, type=_Image, dec_hook=decode_hook)
    except (msgspec.DecodeError, ValueError) as exc:
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
    )
