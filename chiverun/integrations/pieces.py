"""Received bytes, handed to an HTTP parser in pieces of a few lines.

h11 parses a head, or the trailers of a body, in one go when its last line has
arrived. Its limit is one of bytes, which hold very many lines.
"""

import re

import h11

# Lines of a head, or of trailers.
LINES_MAX = 512
_PIECE_LINES = 256
_PIECE_PATTERN = re.compile(rb"(?:[^\n]*\n){%d}" % _PIECE_LINES)
_HEAD_TOO_LARGE_STATUS = 431


class Pieces:
    """Bytes that the parser has not got yet."""

    def __init__(self) -> None:
        self._data = b""
        self._offset = 0
        self._is_ended = False
        # Handed to the parser since it last returned an event.
        self._lines = 0

    def __len__(self) -> int:
        return len(self._data) - self._offset

    def add(self, data: bytes) -> None:
        """Append bytes."""
        self._data = self._data[self._offset :] + data
        self._offset = 0

    def end(self) -> None:
        """Note that no bytes follow."""
        self._is_ended = True

    def clear(self) -> None:
        """Forget all bytes."""
        self.__init__()

    def note_event(self) -> None:
        """Note that the parser has returned an event."""
        self._lines = 0

    def feed(self, http: h11.Connection) -> bool:
        """Hand the next piece to a parser that needs data.

        Return False if there is none.

        Raises
        ------
        RemoteProtocolError
            If a head or trailers have more than `LINES_MAX` lines.
        """
        if self._lines > LINES_MAX:
            raise h11.RemoteProtocolError(
                f"more than {LINES_MAX} lines",
                error_status_hint=_HEAD_TOO_LARGE_STATUS,
            )
        if not len(self):
            if self._is_ended:
                self._is_ended = False
                http.receive_data(b"")
                return True
            return False
        piece = self._next_piece()
        self._lines += piece.count(b"\n")
        http.receive_data(piece)
        return True

    def _next_piece(self) -> bytes:
        match = None
        if self._data.count(b"\n", self._offset) > _PIECE_LINES:
            match = _PIECE_PATTERN.match(self._data, self._offset)
        end = match.end() if match else len(self._data)
        piece = self._data[self._offset : end]
        self._offset = end
        if end == len(self._data):
            self._data = b""
            self._offset = 0
        return piece
