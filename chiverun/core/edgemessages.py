"""Messages between edge instances and their codec (MessagePack, zlib)."""

import zlib
from typing import Annotated

import msgspec

from chiverun.core.catalog import Machine
from chiverun.core.ids import AccountName
from chiverun.core.ids import Address
from chiverun.core.ids import BootId
from chiverun.core.ids import InstanceId
from chiverun.core.ids import RegionName
from chiverun.core.ids import ServerName
from chiverun.core.ids import ServiceName
from chiverun.core.replica import VersionedRecord
from chiverun.core.revisions import StatedRevision
from chiverun.core.statednumbers import AGE_S
from chiverun.core.statednumbers import ARRIVALS
from chiverun.core.statednumbers import CLOCK_S
from chiverun.core.statednumbers import COLD_LEFT_S
from chiverun.core.statednumbers import DEMAND_PER_S
from chiverun.core.statednumbers import IN_FLIGHT
from chiverun.core.statednumbers import LAPSE_S
from chiverun.core.statednumbers import LIMIT_PER_S
from chiverun.core.statednumbers import MESSAGE_NUMBER
from chiverun.core.statednumbers import QUOTA_TOKENS
from chiverun.core.suspects import EndedServer


class Heartbeat(msgspec.Struct, frozen=True, kw_only=True, tag="b"):
    """Heartbeat of an edge instance.

    `reads_store` is whether its last read of the store succeeded. `heard`
    lists the instances of its zone from which a hub receives heartbeats. A
    hub that knows no live instance of a zone sends a `probe` to some of them,
    which the hubs of that zone answer.
    """

    machine: Machine
    boot_id: BootId = msgspec.field(name="life")
    leaving: bool
    reads_store: bool
    heard: list[InstanceId] | None = None
    probe: bool = False


class Update(msgspec.Struct, frozen=True, kw_only=True, tag="u"):
    """Records that changed after `since`, complete up to `as_of`.

    After a full read of the store, deletions of records that the sender never
    had are missing: the message is then `from_listing`, and complete only for
    a receiver that is exactly at `since`. A hub passes on to its zone what
    comes from another zone, and marks it as `relayed`.

    `lapse_left_s` is how long servers whose records are deleted stay in use
    after a store outage. `live` lists the edge instances from which the
    sender receives heartbeats; only relays send it, and not with each update.
    """

    sender: InstanceId
    boot_id: BootId = msgspec.field(name="life")
    since: StatedRevision
    as_of: StatedRevision
    items: list[VersionedRecord]
    lapse_left_s: Annotated[float, LAPSE_S.meta]
    live: list[InstanceId] | None = None
    from_listing: bool = False
    relayed: bool = False


class Pull(msgspec.Struct, frozen=True, kw_only=True, tag="p"):
    """Requests the records changed after `as_of`; 0 requests all."""

    reply_to: Address
    as_of: StatedRevision


class Snapshot(msgspec.Struct, frozen=True, kw_only=True, tag="s"):
    """Every record as of a revision."""

    as_of: StatedRevision
    items: list[VersionedRecord]


class LimitReport(msgspec.Struct, frozen=True, kw_only=True):
    """What a server said of its limit, as heard by any instance.

    `started_ms` tells the processes of a server apart. `per_s` is None if it
    names no limit any more; `age_s` is the time since.
    """

    server: ServerName
    started_ms: int
    per_s: Annotated[float, LIMIT_PER_S.meta] | None
    age_s: Annotated[float, AGE_S.meta]


class LimitReports(msgspec.Struct, frozen=True, kw_only=True, tag="l"):
    """The limits of servers that an instance knows of."""

    sender: InstanceId
    reports: list[LimitReport]


class ProcessReport(msgspec.Struct, frozen=True, kw_only=True, tag="n"):
    """A sign that another process answers under a server's name.

    `started_ms` is the start time that the sender's record names. `cold_s` is
    how long the process stays cold, None if nothing listened at the server's
    address; `age_s` is the time since the sign.
    """

    sender: InstanceId
    server: ServerName
    started_ms: int
    cold_s: Annotated[float, COLD_LEFT_S.meta] | None
    age_s: Annotated[float, AGE_S.meta]


# A report names no more ends, and no longer fingerprint.
REPORT_ENDS_MAX = 8
FINGERPRINT_BYTES_MAX = 64


class SuspectReport(msgspec.Struct, frozen=True, kw_only=True, tag="x"):
    """The servers that ended while they ran the same request."""

    sender: InstanceId
    fingerprint: Annotated[
        bytes, msgspec.Meta(max_length=FINGERPRINT_BYTES_MAX)
    ]
    ends: Annotated[
        list[EndedServer], msgspec.Meta(max_length=REPORT_ENDS_MAX)
    ]


# Accounts in a report of demand; more are left out.
QUOTA_ROWS_MAX = 2000
_COUNT_MAX = 10**9
_Count = Annotated[int, msgspec.Meta(ge=0, le=_COUNT_MAX)]
_Amount = Annotated[float, QUOTA_TOKENS.meta]
_Seconds = Annotated[float, AGE_S.meta]


class QuotaDemand(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Demand of an account at an instance, in tokens.

    `waiting` requests have found none, `expected` come soon. The instance
    keeps `stock` if there are enough; 0 if it wants none any more.
    """

    account: AccountName
    held: _Count
    returned: _Count
    waiting: _Count
    expected: _Amount
    stock: _Amount


class QuotaReport(msgspec.Struct, frozen=True, kw_only=True, tag="q"):
    """Tokens of accounts that an instance has, and those that it wants.

    `number` grows with each report of a process. The echo is of the last
    grant that has come from the receiver, `echo_age_s` ago. For `share_s`
    after sending, the receiver may use the sender's share of all limits; 0
    ends an earlier delegation. Nobody has used the share for `unused_s`. With
    `starts_filled` its buckets need not start empty.
    """

    sender: InstanceId
    reply_to: Address
    boot_id: BootId = msgspec.field(name="life")
    number: _Count
    echo_boot_id: BootId | None = None
    echo_sent_at: _Seconds = 0.0
    echo_age_s: _Seconds = 0.0
    share_s: Annotated[float, msgspec.Meta(ge=0, le=60)] = 0.0
    unused_s: _Seconds = 0.0
    starts_filled: bool = False
    demands: Annotated[
        list[QuotaDemand], msgspec.Meta(max_length=QUOTA_ROWS_MAX)
    ] = []


class QuotaTokens(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Tokens to add to those held, negative for some to return.

    `wait_s` is the expected time until there are more, 0 if that is open.
    """

    account: AccountName
    tokens: Annotated[int, msgspec.Meta(ge=-_COUNT_MAX, le=_COUNT_MAX)]
    wait_s: Annotated[float, msgspec.Meta(ge=0, le=60)]


class QuotaGrant(msgspec.Struct, frozen=True, kw_only=True, tag="g"):
    """Answer to the report `number` of the process `receiver`.

    `sent_at` is a time of the sender's own clock, which reports return. A
    sender that is `leaving` will not answer for long.
    """

    sender: InstanceId
    boot_id: BootId = msgspec.field(name="life")
    receiver: BootId
    number: _Count
    sent_at: _Seconds
    leaving: bool = False
    tokens: Annotated[
        list[QuotaTokens], msgspec.Meta(max_length=QUOTA_ROWS_MAX)
    ] = []


# A message names no more services, servers or regions.
REPORT_ROWS_MAX = 4096
Clock = Annotated[float, CLOCK_S.meta]
Number = Annotated[int, MESSAGE_NUMBER.meta]
Arrivals = Annotated[int, ARRIVALS.meta]
Rate = Annotated[float, DEMAND_PER_S.meta]
InFlight = Annotated[int, IN_FLIGHT.meta]
_Offset = Annotated[float, msgspec.Meta(ge=-1, le=1)]


class DemandReport(msgspec.Struct, frozen=True, kw_only=True, tag="d"):
    """How many requests an instance has received since it started.

    `at_s` is the instance's own clock. `wants_goals` asks for a `ShareGoals`
    at once.
    """

    sender: InstanceId
    boot_id: BootId = msgspec.field(name="life")
    at_s: Clock
    arrivals: Annotated[
        dict[ServiceName, Arrivals], msgspec.Meta(max_length=REPORT_ROWS_MAX)
    ]
    wants_goals: bool = False


class RegionDemand(msgspec.Struct, frozen=True, kw_only=True, tag="r"):
    """The smoothed request rate of a region, from its hub to other regions.

    `is_relayed` marks one that an instance has passed on to its hub.
    """

    sender: InstanceId
    boot_id: BootId = msgspec.field(name="life")
    number: Number
    region: RegionName
    per_s: Annotated[
        dict[ServiceName, Rate], msgspec.Meta(max_length=REPORT_ROWS_MAX)
    ]
    is_relayed: bool = False


class ShareGoals(msgspec.Struct, frozen=True, kw_only=True, tag="o"):
    """Offsets of a region's shares by service, from its hub.

    `number` grows with each message of a process.
    """

    sender: InstanceId
    boot_id: BootId = msgspec.field(name="life")
    number: Number
    offsets: Annotated[
        dict[ServiceName, dict[RegionName, _Offset]],
        msgspec.Meta(max_length=REPORT_ROWS_MAX),
    ]


class LoadReport(msgspec.Struct, frozen=True, kw_only=True, tag="i"):
    """Requests that an instance has in flight, by server.

    A complete message states all counts that are not 0, another one those
    that have changed. `at_s` is the sender's own clock.
    """

    sender: InstanceId
    boot_id: BootId = msgspec.field(name="life")
    number: Number
    at_s: Clock
    counts: Annotated[
        dict[ServerName, InFlight], msgspec.Meta(max_length=REPORT_ROWS_MAX)
    ]
    is_complete: bool


class RegionLoads(msgspec.Struct, frozen=True, kw_only=True, tag="t"):
    """The sums of a region's `LoadReport`s, from its hub; as these."""

    sender: InstanceId
    boot_id: BootId = msgspec.field(name="life")
    number: Number
    at_s: Clock
    counts: Annotated[
        dict[ServerName, InFlight], msgspec.Meta(max_length=REPORT_ROWS_MAX)
    ]
    is_complete: bool


LoadMessage = LoadReport | RegionLoads
DemandMessage = DemandReport | RegionDemand | ShareGoals
EdgeMessage = (
    Heartbeat
    | Update
    | Pull
    | Snapshot
    | LimitReports
    | SuspectReport
    | ProcessReport
    | QuotaReport
    | QuotaGrant
    | DemandMessage
    | LoadMessage
)

# Compression gains nothing for smaller messages.
COMPRESS_BYTES_MIN = 512
# A desired state of 10,000 routes takes about 2 MB.
MESSAGE_BYTES_MAX = 16 * 1024 * 1024
_PLAIN = b"\x00"
_COMPRESSED = b"\x01"
_DECODER = msgspec.msgpack.Decoder(EdgeMessage)


def encode(message: EdgeMessage) -> bytes:
    """Encode a message; compress large ones.

    Routes and records are similar to each other, and a changed desired state
    is sent to each edge instance of a region.
    """
    data = msgspec.msgpack.encode(message)
    if len(data) < COMPRESS_BYTES_MIN:
        return _PLAIN + data
    return _COMPRESSED + zlib.compress(data)


def decode(payload: bytes) -> EdgeMessage:
    """Decode a message.

    Raises
    ------
    msgspec.MsgspecError
        The payload is not a valid message.
    """
    kind, data = payload[:1], payload[1:]
    if kind == _COMPRESSED:
        data = _decompress(data)
    elif kind != _PLAIN:
        raise msgspec.DecodeError(
            f"first byte of the message is {kind!r}; valid: {_PLAIN!r} or "
            f"{_COMPRESSED!r}"
        )
    return _DECODER.decode(data)


def _decompress(data: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    try:
        plain = decompressor.decompress(data, MESSAGE_BYTES_MAX)
    except zlib.error as exc:
        raise msgspec.DecodeError(f"compressed message: {exc}") from exc
    if not decompressor.eof:
        raise msgspec.DecodeError(
            "compressed message is truncated or larger than "
            f"{MESSAGE_BYTES_MAX} bytes"
        )
    return plain
