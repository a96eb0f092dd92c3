"""Frames that other instances send, in the protocol of ZeroMQ (ZMTP 3.0).

ZeroMQ itself limits the size of a frame but keeps all frames of a message
until the last one has come: a faulty instance that sends frames without end
would fill the memory. Messages between instances have exactly one frame.
"""

_GREETING_BYTES = 64
_SIGNATURE_LAST = 9
_VERSION_AT = 10
_VERSION_MIN = 3
_MECHANISM = slice(12, 32)
_NULL_MECHANISM = b"NULL".ljust(20, b"\x00")
_SIGNATURE = b"\xff" + bytes(8) + b"\x7f"
_SOCKET_TYPE = b"\x05READY\x0bSocket-Type\x00\x00\x00\x06ROUTER"

# What an accepted connection is sent: the greeting and the command READY.
HANDSHAKE = (
    (_SIGNATURE + b"\x03\x00" + _NULL_MECHANISM).ljust(
        _GREETING_BYTES, b"\x00"
    )
    + b"\x04"
    + bytes([len(_SOCKET_TYPE)])
    + _SOCKET_TYPE
)

_HAS_MORE = 0x01
_IS_LONG = 0x02
_IS_COMMAND = 0x04
_SHORT_HEADER_BYTES = 2
_LONG_HEADER_BYTES = 9


class FrameError(ValueError):
    """Bytes that no instance sends."""


class FrameReader:
    """Parses what one connection brings.

    Holds no more than a frame of `bytes_max` bytes and the piece that was
    received last.
    """

    def __init__(self, *, bytes_max: int) -> None:
        self._bytes_max = bytes_max
        self._buffer = bytearray()
        # Whether the other side's greeting has been read.
        self.is_greeted = False

    def feed(self, data: bytes) -> list[bytes]:
        """Return the messages that are complete with these bytes.

        Raises
        ------
        FrameError
            No greeting of the protocol, a message of several frames, or one
            that is too large.
        """
        self._buffer += data
        if not self.is_greeted and not self._read_greeting():
            return []
        messages = []
        read = 0
        while (frame := self._next_frame(read)) is not None:
            start, read, is_command = frame
            if not is_command:
                messages.append(bytes(self._buffer[start:read]))
        del self._buffer[:read]
        return messages

    def _read_greeting(self) -> bool:
        greeting = self._buffer[:_GREETING_BYTES]
        if greeting[:1] != _SIGNATURE[:1][: len(greeting)]:
            raise FrameError("not the protocol of ZeroMQ")
        if len(greeting) < _GREETING_BYTES:
            return False
        if (
            greeting[_SIGNATURE_LAST] != _SIGNATURE[_SIGNATURE_LAST]
            or greeting[_VERSION_AT] < _VERSION_MIN
            or greeting[_MECHANISM] != _NULL_MECHANISM
        ):
            raise FrameError("not version 3 without authentication")
        del self._buffer[:_GREETING_BYTES]
        self.is_greeted = True
        return True

    def _next_frame(self, at: int) -> tuple[int, int, bool] | None:
        """Return start, end and kind of the frame whose header is at `at`.

        None while it is incomplete.
        """
        buffer = self._buffer
        if len(buffer) < at + _SHORT_HEADER_BYTES:
            return None
        flags = buffer[at]
        if flags & _HAS_MORE:
            raise FrameError("a message of several frames")
        if not flags & _IS_LONG:
            start = at + _SHORT_HEADER_BYTES
            size = buffer[at + 1]
        else:
            start = at + _LONG_HEADER_BYTES
            if len(buffer) < start:
                return None
            size = int.from_bytes(buffer[at + 1 : start], "big")
        if size > self._bytes_max:
            raise FrameError(
                f"a frame of {size} bytes, valid are up to {self._bytes_max}"
            )
        end = start + size
        if len(buffer) < end:
            return None
        return start, end, bool(flags & _IS_COMMAND)
