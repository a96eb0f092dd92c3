"""Change tickets: record types, TOML parsing and MessagePack codec.

A ticket holds the complete new record of every object that it changes. An
object is identified by its kind (a key of `KINDS`) and its name.
"""

import enum
from collections.abc import Callable
from typing import Any
from typing import TypeVar

import msgspec

from chiverun.core.blocks import Blocks
from chiverun.core.errors import ChiverunError
from chiverun.core.errors import DECODE_ERRORS
from chiverun.core.errors import ResultCode
from chiverun.core.ids import Address
from chiverun.core.ids import RegionName
from chiverun.core.ids import ServerName
from chiverun.core.ids import ServiceName
from chiverun.core.ids import SiteName
from chiverun.core.ids import TicketNumber
from chiverun.core.ids import ZoneName


class Length(enum.Enum):
    """Expected running time of a request class."""

    SHORT = "short"
    LONG = "long"


class ServerState(enum.Enum):
    """Whether a backend server may receive new work."""

    ACTIVE = "active"
    DRAIN = "drain"


class ShiftState(enum.Enum):
    """Whether a shift moves requests."""

    ACTIVE = "active"
    ENDED = "ended"


class ZoneState(enum.Enum):
    """Whether a zone is returned to callers and runs requests."""

    ACTIVE = "active"
    DRAIN = "drain"


# Defaults are not encoded: a field added in a later version leaves the digest
# of tickets without it unchanged, so instances of both versions agree.
class _Record(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
    omit_defaults=True,
):
    pass


class Region(_Record):
    """A region; `in_flight_max` caps its requests in flight (0: no cap)."""

    name: RegionName
    in_flight_max: int = 0


class Zone(_Record):
    """An availability zone, whose server slots are divided into `seats`.

    A zone in state drain is omitted from look-ups and runs no new requests;
    its instances forward theirs to other zones.
    """

    name: ZoneName
    region: RegionName
    seats: int = 12
    state: ZoneState = ZoneState.ACTIVE


class Link(_Record):
    """The link from one region to another, in one direction."""

    name: str
    source: RegionName
    target: RegionName
    mbit_per_s: float


class RequestClass(_Record):
    """Matching rule and handling of one class of a service's requests.

    A request matches by method and path prefix (the part of the path after
    ``/s/<service>``); the first matching class applies.
    """

    name: str
    methods: tuple[str, ...]
    path_prefix: str = "/"
    repeatable: bool = False
    length: Length = Length.SHORT
    attempts: int = 1
    deadline_ms: int = 2000
    answer_bytes_max: int = 65536


class Service(_Record):
    """A service and its request classes, in matching order."""

    name: ServiceName
    classes: tuple[RequestClass, ...]


class Server(_Record):
    """A backend server; `long_slots` of its slots may carry long requests."""

    name: ServerName
    service: ServiceName
    zone: ZoneName
    address: Address
    slots: int
    long_slots: int = 1
    connections_max: int = 330
    state: ServerState = ServerState.ACTIVE


class Site(_Record):
    """Client blocks (CIDR) and the zone that serves them."""

    name: SiteName
    zone: ZoneName
    blocks: Blocks = Blocks()


class Shift(_Record):
    """Moves `fraction` of a service's requests from source to target.

    All instances together move at most `cap_per_s` requests in any second.
    The moved fraction grows in steps at least `warm_s` seconds apart.
    """

    name: str
    service: ServiceName
    source: RegionName
    target: RegionName
    fraction: float
    cap_per_s: int
    warm_s: float = 5.0
    state: ShiftState = ShiftState.ACTIVE


class Removal(_Record):
    """Removes the object of this kind and name."""

    kind: str
    name: str


class Ticket(_Record):
    """A numbered change ticket."""

    number: TicketNumber
    reason: str
    author: str
    region: tuple[Region, ...] = ()
    zone: tuple[Zone, ...] = ()
    link: tuple[Link, ...] = ()
    service: tuple[Service, ...] = ()
    server: tuple[Server, ...] = ()
    site: tuple[Site, ...] = ()
    shift: tuple[Shift, ...] = ()
    remove: tuple[Removal, ...] = ()


# Kinds in dependency order: a record refers only to earlier kinds.
KINDS: dict[str, type[_Record]] = {
    "region": Region,
    "zone": Zone,
    "link": Link,
    "service": Service,
    "server": Server,
    "site": Site,
    "shift": Shift,
}

StateObject = Region | Zone | Link | Service | Server | Site | Shift
T = TypeVar("T")


def read_ticket(text: bytes) -> Ticket:
    """Parse a ticket from TOML.

    Raises
    ------
    ChiverunError
        TICKET_MALFORMED, with the field and its valid values.
    """
    return _decode_checked(
        lambda: msgspec.toml.decode(text, type=Ticket, dec_hook=decode_hook)
    )


def encode_ticket(ticket: Ticket) -> bytes:
    """Encode a ticket as MessagePack for the store and for peers."""
    return msgspec.msgpack.encode(ticket, enc_hook=encode_hook)


def decode_ticket(data: bytes) -> Ticket:
    """Decode the output of `encode_ticket`; raises TICKET_MALFORMED."""
    return _decode_checked(
        lambda: msgspec.msgpack.decode(data, type=Ticket, dec_hook=decode_hook)
    )


def encode_hook(value: Any) -> Any:
    """Encode field types that msgspec does not support natively."""
    if isinstance(value, Blocks):
        return value.packed
    raise NotImplementedError(f"cannot encode {type(value).__name__}")


def decode_hook(kind: type, value: Any) -> Any:
    """Decode field types that msgspec does not support natively.

    Ticket files list blocks as CIDR strings; encoded records hold them
    packed.
    """
    if kind is not Blocks:
        raise NotImplementedError(f"cannot decode {kind.__name__}")
    if isinstance(value, bytes):
        return Blocks(value)
    if not isinstance(value, list) or not all(
        isinstance(v, str) for v in value
    ):
        raise ValueError('blocks; valid: a list such as ["10.1.0.0/16"]')
    return Blocks.parse(value)


def _decode_checked(decode: Callable[[], T]) -> T:
    try:
        return decode()
    except DECODE_ERRORS as exc:
        reason = str(exc).replace("\n", " ")
        raise ChiverunError(
            ResultCode.TICKET_MALFORMED, f"ticket: {reason}"
        ) from exc
