"""Bodies of requests and responses, kept in pieces.

A body in one piece would be copied when it grows, when it is complete and
when it waits to be written, so that it lay in memory several times.
"""

from collections.abc import Iterator

from chiverun.core.bytebudget import Holding

# Also the largest read. Pieces of about one size leave no gaps in the heap.
PIECE_BYTES = 64 * 1024
# Smaller parts are joined, since each object takes memory of its own.
_JOINED_BYTES = PIECE_BYTES // 4


class Body:
    """A body that grows; its pieces are not copied.

    `holding` counts its bytes until `release`, or until nothing refers to the
    body any more.
    """

    def __init__(self) -> None:
        self.holding: Holding | None = None
        self._pieces: list[bytes | bytearray] = []
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def __bytes__(self) -> bytes:
        return b"".join(self._pieces)

    def __getitem__(self, part: slice) -> bytes:
        """Return a part; its end must be given."""
        found = bytearray()
        for piece in self._pieces:
            found += piece[: max(0, part.stop - len(found))]
            if len(found) >= part.stop:
                break
        return bytes(found[part])

    def __del__(self) -> None:
        self.release()

    def release(self) -> None:
        """Count the bytes no longer; somebody else does."""
        if self.holding is not None:
            self.holding.release()
            self.holding = None

    def add(self, data: bytes | bytearray) -> None:
        """Append bytes; a bytearray may be kept and appended to."""
        self._size += len(data)
        last = self._pieces[-1] if self._pieces else None
        can_join = (
            isinstance(last, bytearray)
            and len(data) < _JOINED_BYTES
            and len(last) + len(data) <= PIECE_BYTES
        )
        if can_join:
            last += data
        else:
            self._pieces.append(
                data if isinstance(data, bytearray) else bytearray(data)
            )

    def clear(self) -> None:
        """Drop all bytes."""
        self._pieces = []
        self._size = 0

    def complete(self) -> "bytes | Body":
        """Return the body, a small one as plain bytes; begin a new one."""
        if len(self._pieces) <= 1:
            data = bytes(self)
            self.clear()
            return data
        body = Body()
        body._pieces, body._size = self._pieces, self._size
        self.clear()
        return body

    def pieces(self) -> Iterator[memoryview]:
        """Return the pieces, in order."""
        return map(memoryview, self._pieces)


def pieces_of(body: bytes | Body) -> Iterator[memoryview]:
    """Return the pieces of a body."""
    if isinstance(body, Body):
        yield from body.pieces()
        return
    view = memoryview(body)
    for offset in range(0, len(view), PIECE_BYTES):
        yield view[offset : offset + PIECE_BYTES]
