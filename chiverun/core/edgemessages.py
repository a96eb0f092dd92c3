"""Messages between edge instances and their codec (MessagePack, zlib)."""

import zlib

import msgspec

from chiverun.core.catalog import Machine
from chiverun.core.catalog import Revision
from chiverun.core.ids import Address
from chiverun.core.ids import BootId
from chiverun.core.ids import InstanceId
from chiverun.core.replica import VersionedRecord


class Heartbeat(msgspec.Struct, frozen=True, kw_only=True, tag="b"):
    """Sign of life of a machine.

    `reads_store` tells whether its last read of the store succeeded.
    """

    machine: Machine
    boot_id: BootId = msgspec.field(name="life")
    leaving: bool
    reads_store: bool


class Update(msgspec.Struct, frozen=True, kw_only=True, tag="u"):
    """Records that changed after `since`, complete up to `as_of`.

    `lapse_left_s` is how long servers whose records are deleted stay in use
    because the store was away. `live` names the machines that the sender
    hears, if it is a hub and their turn has come.
    """

    sender: InstanceId
    boot_id: BootId = msgspec.field(name="life")
    since: Revision
    as_of: Revision
    items: list[VersionedRecord]
    lapse_left_s: float
    live: list[InstanceId] | None = None


class Pull(msgspec.Struct, frozen=True, kw_only=True, tag="p"):
    """Asks for what changed after `as_of`; 0 asks for everything."""

    reply_to: Address
    as_of: Revision


class Snapshot(msgspec.Struct, frozen=True, kw_only=True, tag="s"):
    """Every record as of a revision."""

    as_of: Revision
    items: list[VersionedRecord]


EdgeMessage = Heartbeat | Update | Pull | Snapshot

# Smaller messages gain nothing.
COMPRESS_BYTES_MIN = 512
# A desired state of 10,000 routes has about 2 MB.
MESSAGE_BYTES_MAX = 16 * 1024 * 1024
_PLAIN = b"\x00"
_COMPRESSED = b"\x01"
_DECODER = msgspec.msgpack.Decoder(EdgeMessage)


def encode(message: EdgeMessage) -> bytes:
    """Encode a message; large ones are compressed.

    Routes and records resemble each other, and a desired state goes to each
    machine of a region whenever it changes.
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
        The bytes are no message.
    """
    kind, data = payload[:1], payload[1:]
    if kind == _COMPRESSED:
        data = _decompress(data)
    elif kind != _PLAIN:
        raise msgspec.DecodeError(f"kind of message {kind!r}, not 0 or 1")
    return _DECODER.decode(data)


def _decompress(data: bytes) -> bytes:
    worker = zlib.decompressobj()
    try:
        plain = worker.decompress(data, MESSAGE_BYTES_MAX)
    except zlib.error as exc:
        raise msgspec.DecodeError(f"compressed message: {exc}") from exc
    if not worker.eof:
        raise msgspec.DecodeError("compressed message is cut or too large")
    return plain
