"""Messages between instances, encoded as MessagePack.

Ages travel as durations, since the monotonic clocks of two instances have
nothing in common.
"""

import enum

import msgspec

from chiverun.core.errors import ChiverunError
from chiverun.core.errors import ResultCode
from chiverun.core.ids import Address
from chiverun.core.ids import BootId
from chiverun.core.ids import InstanceId
from chiverun.core.ids import SeatIndex
from chiverun.core.ids import ServerName
from chiverun.core.ids import ServiceName
from chiverun.core.ids import ZoneName
from chiverun.core.ticket import decode_hook
from chiverun.core.ticket import encode_hook
from chiverun.core.ticketentry import Entry


class MemberState(enum.Enum):
    """State of an instance as its zone's members see it."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"


class _Record(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    pass


class SeatClaim(_Record):
    """A seat that an instance holds; a higher epoch is the later holder."""

    seat: SeatIndex
    epoch: int


class Advert(_Record):
    """What an instance says of itself; newest by (incarnation, sequence).

    `free_slots` is the number of its free slots by service, `age_ms` the time
    since the instance made the advert.
    """

    instance: InstanceId
    boot_id: BootId
    incarnation: int
    sequence: int
    zone: ZoneName
    lookup: Address
    entry: Address
    forward: Address
    peer: Address
    leaving: bool
    seats: tuple[SeatClaim, ...]
    free_slots: dict[ServiceName, int]
    number: int
    age_ms: int = 0


class MemberUpdate(_Record):
    """A change of a member's state."""

    instance: InstanceId
    incarnation: int
    state: MemberState


class DrainNotice(_Record):
    """A backend server that said that it is leaving."""

    server: ServerName
    age_ms: int


class Gossip(_Record):
    """What every ping and acknowledgement carries.

    `holders_digest` is a hash of the sender's marks of its zone's seats.
    """

    sender: Advert
    number: int
    digest: str
    holders_digest: int = 0
    updates: tuple[MemberUpdate, ...] = ()
    adverts: tuple[Advert, ...] = ()
    draining: tuple[DrainNotice, ...] = ()


class _Message(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag=True
):
    pass


class Ping(_Message, tag=1):
    """Asks for an acknowledgement."""

    sequence: int
    gossip: Gossip


class Ack(_Message, tag=2):
    """Answers a ping."""

    sequence: int
    gossip: Gossip


class PingRequest(_Message, tag=3):
    """Asks the receiver to ping a third instance."""

    sequence: int
    sender: Address
    target: Address


class IndirectAck(_Message, tag=4):
    """Tells that the pinged third instance answered."""

    sequence: int


class Announce(_Message, tag=5):
    """Tells that the sender has a ticket in force."""

    sender: Address
    number: int


class Pull(_Message, tag=6):
    """Asks for the tickets after `number`."""

    sender: Address
    number: int


class Tickets(_Message, tag=7):
    """Consecutive accepted tickets."""

    entries: tuple[Entry, ...]


class StateChunk(_Message, tag=8):
    """A part of a whole state, for a receiver that is far behind."""

    number: int
    digest: str
    index: int
    total: int
    data: bytes


class SeatRequest(_Message, tag=9):
    """Asks the holder of more seats for a part of them."""

    instance: InstanceId
    boot_id: BootId
    peer: Address
    held: int


class SeatTransfer(_Message, tag=10):
    """Hands a seat to one process lifetime of an instance.

    The slots stay closed to short and long requests for `short_ms` and
    `long_ms`. `sent_epoch_ms` is the wall clock
    of the giver.
    """

    seat: SeatIndex
    epoch: int
    instance: InstanceId
    boot_id: BootId
    previous_holder: Address
    short_ms: int
    long_ms: int
    sent_epoch_ms: int


class SeatTransferAck(_Message, tag=12):
    """Tells the giver of a seat that its transfer has arrived."""

    seat: SeatIndex
    epoch: int
    boot_id: BootId


class SeatHolderRecord(_Record):
    """The latest holder that the sender knows of a seat."""

    seat: SeatIndex
    epoch: int
    boot_id: BootId


class SeatHolderRecords(_Message, tag=11):
    """Marks of the seats of a zone, of which the receiver lacks some."""

    zone: ZoneName
    sender: Address
    known_holders: tuple[SeatHolderRecord, ...]


Message = (
    Ping
    | Ack
    | PingRequest
    | IndirectAck
    | Announce
    | Pull
    | Tickets
    | StateChunk
    | SeatRequest
    | SeatTransfer
    | SeatHolderRecords
    | SeatTransferAck
)

_ENCODER = msgspec.msgpack.Encoder(enc_hook=encode_hook)
_DECODER = msgspec.msgpack.Decoder(Message, dec_hook=decode_hook)


def encode_message(message: Message) -> bytes:
    """Encode a message."""
    return _ENCODER.encode(message)


def decode_message(data: bytes) -> Message:
    """Decode a message; raises REQUEST_MALFORMED."""
    try:
        return _DECODER.decode(data)
    except (msgspec.DecodeError, ValueError) as exc:
        raise ChiverunError(
            ResultCode.REQUEST_MALFORMED, f"peer message: {exc}"
        ) from exc
