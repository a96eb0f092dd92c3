"""Codec of the compacted base of the ticket log: pointer and chunks."""

from typing import TYPE_CHECKING

import msgspec
import xxhash

from chiverun.core.errors import ChiverunError
from chiverun.core.errors import DECODE_ERRORS
from chiverun.core.errors import ResultCode
from chiverun.core.ids import TicketNumber
from chiverun.core.state import decode_state
from chiverun.core.state import encode_state
from chiverun.core.state import State
from chiverun.core.statednumbers import parse_whole
from chiverun.core.statednumbers import StatedNumber

if TYPE_CHECKING:
    from chiverun.integrations.interfaces import Item

BASE_KEY = "chiverun/base"
CHUNK_PREFIX = "chiverun/base/"
_CHUNK_BYTES = 900_000
_TICKET_NUMBER = StatedNumber(high=10**15, unit="")


class BasePointer(msgspec.Struct, frozen=True, kw_only=True):
    """Pointer to the newest compacted state; `check` hashes its content."""

    number: TicketNumber
    digest: str
    chunks: int
    check: str


def encode_base(state: State) -> tuple[BasePointer, list[bytes]]:
    """Encode a state as chunks and the pointer to them."""
    data = encode_state(state)
    chunks = [
        data[i : i + _CHUNK_BYTES] for i in range(0, len(data), _CHUNK_BYTES)
    ]
    pointer = BasePointer(
        number=state.number,
        digest=state.digest,
        chunks=len(chunks),
        check=xxhash.xxh3_64_hexdigest(data),
    )
    return pointer, chunks


def decode_base(base: BasePointer, chunks: list[bytes]) -> State:
    """Decode a state from the chunks of a base.

    Raises
    ------
    ChiverunError
        TICKET_MALFORMED.
    """
    state = decode_state(b"".join(chunks))
    if (state.number, state.digest) != (base.number, base.digest):
        raise ChiverunError(
            ResultCode.TICKET_MALFORMED,
            f"base in the store: number {state.number}, its pointer says "
            f"{base.number}",
        )
    return state


def encode_pointer(pointer: BasePointer) -> bytes:
    """Encode a pointer as MessagePack."""
    return msgspec.msgpack.encode(pointer)


def decode_pointer(item: "Item | None") -> BasePointer | None:
    """Decode the pointer in the store, if there is one.

    Raises
    ------
    ChiverunError
        TICKET_MALFORMED.
    """
    if item is None:
        return None
    try:
        return msgspec.msgpack.decode(item.value, type=BasePointer)
    except DECODE_ERRORS as exc:
        raise ChiverunError(
            ResultCode.TICKET_MALFORMED, f"base pointer in the store: {exc}"
        ) from exc


def is_replaceable(item: "Item | None", state: State, is_forced: bool) -> bool:
    """Return whether a state may replace the base in the store."""
    try:
        base = decode_pointer(item)
    except ChiverunError:
        return True
    if base is None or base.number < state.number + is_forced:
        return True
    return state.follows(base.number, base.digest) is False


def chunk_key(base: BasePointer, index: int) -> str:
    """Return the key of a chunk.

    The hash of the content in the key keeps apart the chunks of writers that
    compact the same ticket with different lengths of history.
    """
    return f"{CHUNK_PREFIX}{base.number}/{base.check}-{index}"


def number_from_key(key: str, prefix: str) -> int | None:
    """Return the ticket number after the prefix of a key, if any."""
    text = key.removeprefix(prefix).partition("/")[0]
    return parse_whole(text, _TICKET_NUMBER)
