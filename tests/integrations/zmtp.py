"""Bytes of the protocol of ZeroMQ (ZMTP 3.0), for tests of faulty peers."""

_SIGNATURE = b"\xff" + bytes(8) + b"\x7f"
_VERSION = b"\x03\x00"
GREETING = _SIGNATURE + _VERSION + b"NULL".ljust(20, b"\x00") + bytes(32)
_COMMAND = b"\x05READY\x0bSocket-Type\x00\x00\x00\x06DEALER"
READY = b"\x04" + bytes([len(_COMMAND)]) + _COMMAND


def part(data: bytes) -> bytes:
    """Return a frame after which further ones of the message follow."""
    return b"\x03" + len(data).to_bytes(8, "big") + data


def message(data: bytes) -> bytes:
    """Return a message of one frame."""
    return b"\x02" + len(data).to_bytes(8, "big") + data
