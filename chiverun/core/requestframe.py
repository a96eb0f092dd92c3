"""Tells when a request has arrived completely, and joins its chunks.

What a head contains is for the parser, which refuses what is malformed or
over a limit, so a head with anything unusual counts as arrived. Chunks are
read here, once and as they arrive: a parser that reads a body in very small
chunks again would occupy a worker for long.
"""

import enum
import re

from chiverun.core.statednumbers import BODY_BYTES
from chiverun.core.statednumbers import parse_size
from chiverun.core.statednumbers import parse_whole

_HEAD_END = b"\r\n\r\n"
_LINE_END = b"\r\n"
# Chunk extensions have no use here.
_SIZE_LINE_BYTES_MAX = 256
_FRAMING_FIELD = re.compile(
    rb"\r\n(content-length|transfer-encoding|expect):[ \t]*([^\r\n]*)",
    re.IGNORECASE,
)


class Arrived(enum.Enum):
    """How much of a request has arrived."""

    PART_OF_HEAD = "part of head"
    HEAD = "head"
    ALL = "all"
    # Malformed chunks, or a body over the limit.
    INVALID = "invalid"


class RequestFrame:
    """Progress of one request through a growing buffer.

    Parameters
    ----------
    head_bytes_max, body_bytes_max : int
        Limits of the parser; a request over them counts as arrived. The
        size lines of chunks count as a part of the body.

    Attributes
    ----------
    head_bytes : int
        Length of the head, from when it has arrived.
    chunked_body : bytearray or None
        What the chunks contain, if the request has chunks.
    """

    def __init__(self, *, head_bytes_max: int, body_bytes_max: int) -> None:
        self.expects_continue = False
        self.head_bytes = 0
        self.chunked_body: bytearray | None = None
        self._head_bytes_max = head_bytes_max
        self._body_bytes_max = body_bytes_max
        self._arrived = Arrived.PART_OF_HEAD
        self._searched = 0
        self._end: int | None = None
        self._chunk_at = 0
        self._chunk_bytes = 0

    def update(self, data: bytearray) -> Arrived:
        """Return how much has arrived; `data` starts with the request."""
        if self._arrived is Arrived.PART_OF_HEAD:
            self._arrived = self._find_head(data)
        if self._arrived is Arrived.HEAD:
            self._arrived = self._read_body(data)
        return self._arrived

    def _find_head(self, data: bytearray) -> Arrived:
        end = data.find(_HEAD_END, max(0, self._searched - len(_HEAD_END)))
        self._searched = len(data)
        if end < 0:
            if len(data) > self._head_bytes_max:
                return Arrived.ALL
            return Arrived.PART_OF_HEAD
        return self._read_framing(data, end)

    def _read_framing(self, data: bytearray, end: int) -> Arrived:
        body_at = end + len(_HEAD_END)
        if body_at > self._head_bytes_max:
            return Arrived.ALL
        self.head_bytes = body_at
        fields = [
            (name.lower(), value.strip())
            for name, value in _FRAMING_FIELD.findall(data, 0, end)
        ]
        self.expects_continue = (b"expect", b"100-continue") in fields
        framing = [row for row in fields if row[0] != b"expect"]
        match framing:
            case [(b"content-length", value)]:
                length = parse_whole(value.decode("latin-1"), BODY_BYTES)
                if length is None or length > self._body_bytes_max:
                    return Arrived.ALL
                self._end = body_at + length
                return Arrived.HEAD
            case [(b"transfer-encoding", b"chunked")]:
                self._chunk_at = body_at
                self.chunked_body = bytearray()
                return Arrived.HEAD
        return Arrived.ALL

    def _read_body(self, data: bytearray) -> Arrived:
        if self._end is not None:
            return Arrived.ALL if len(data) >= self._end else Arrived.HEAD
        while True:
            line_end = data.find(b"\n", self._chunk_at)
            if line_end < 0:
                return self._await_size_line(data)
            size = parse_size(data[self._chunk_at : line_end].split(b";")[0])
            if size is None:
                return Arrived.INVALID
            counted = self._chunk_bytes + line_end + 1 - self._chunk_at
            if counted + size > self._body_bytes_max:
                return Arrived.INVALID
            if size == 0:
                return Arrived.ALL
            chunk_at = line_end + 1
            chunk_end = chunk_at + size
            if len(data) < chunk_end + len(_LINE_END):
                return Arrived.HEAD
            if data[chunk_end : chunk_end + len(_LINE_END)] != _LINE_END:
                return Arrived.INVALID
            self.chunked_body += data[chunk_at:chunk_end]
            self._chunk_at = chunk_end + len(_LINE_END)
            self._chunk_bytes = counted + size

    def _await_size_line(self, data: bytearray) -> Arrived:
        if len(data) - self._chunk_at > _SIZE_LINE_BYTES_MAX:
            return Arrived.INVALID
        return Arrived.HEAD
