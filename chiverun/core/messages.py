"""Messages between instances, encoded as MessagePack.

Ages are sent as durations, since the monotonic clocks of two instances are
unrelated.
"""

import enum

import msgspec

from chiverun.core.errors import ChiverunError
from chiverun.core.errors import DECODE_ERRORS
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
    """State of an instance as observed by the members of its zone."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"


class _Record(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    pass


class SeatClaim(_Record):
    """A seat held by an instance; the highest epoch is the current holder."""

    seat: SeatIndex
    epoch: int


class Advert(_Record):
    """Self-description of an instance, ordered by (incarnation, sequence).

    `free_slots` is the number of free slots by service, `age_ms` the time
    since the instance created the advert.
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
    """A changed member state."""

    instance: InstanceId
    incarnation: int
    state: MemberState


class DrainNotice(_Record):
    """A backend server that has announced that it is shutting down."""

    server: ServerName
    age_ms: int


class Gossip(_Record):
    """Payload of every ping and acknowledgement.

    `holders_digest` is a hash of the seat holders known to the sender in its
    zone.
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
    """Requests an acknowledgement."""

    sequence: int
    gossip: Gossip


class Ack(_Message, tag=2):
    """Acknowledges a ping."""

    sequence: int
    gossip: Gossip


class PingRequest(_Message, tag=3):
    """Requests the receiver to ping a third instance."""

    sequence: int
    sender: Address
    target: Address


class IndirectAck(_Message, tag=4):
    """Reports that the pinged third instance has responded."""

    sequence: int


class Announce(_Message, tag=5):
    """Announces the ticket number in force at the sender."""

    sender: Address
    number: int


class Pull(_Message, tag=6):
    """Requests the tickets after `number`."""

    sender: Address
    number: int


class Tickets(_Message, tag=7):
    """Consecutive accepted tickets."""

    entries: tuple[Entry, ...]


class StateChunk(_Message, tag=8):
    """A chunk of a whole state, for a receiver that is far behind."""

    number: int
    digest: str
    index: int
    total: int
    data: bytes


class SeatRequest(_Message, tag=9):
    """Requests seats from an instance that holds more of them."""

    instance: InstanceId
    boot_id: BootId
    peer: Address
    held: int


class SeatTransfer(_Message, tag=10):
    """Transfers a seat to one process lifetime of an instance.

    The slots of the seat stay closed to short requests for `short_ms` and to
    long requests for `long_ms`. `sent_epoch_ms` is the wall-clock time at
    which the previous holder sent the message.
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
    """Acknowledges a seat transfer to the previous holder."""

    seat: SeatIndex
    epoch: int
    boot_id: BootId


class SeatHolderRecord(_Record):
    """The latest holder of a seat known to the sender."""

    seat: SeatIndex
    epoch: int
    boot_id: BootId


class SeatHolderRecords(_Message, tag=11):
    """Seat holders of a zone, some of which the receiver does not know."""

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
    """Encode a message as MessagePack."""
    return _ENCODER.encode(message)


def decode_message(data: bytes) -> Message:
    """Decode a message; raises REQUEST_MALFORMED."""
    try:
        return _DECODER.decode(data)
    except DECODE_ERRORS as exc:
        raise ChiverunError(
            ResultCode.REQUEST_MALFORMED, f"peer message: {exc}"
        ) from exc
