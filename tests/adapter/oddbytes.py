"""Odd heads, numbers, texts and endless bytes, drawn from a seed."""

import dataclasses
import itertools
import random
from collections.abc import Iterator

# Numbers that a peer may name in place of a proper one.
_NUMBERS = (
    b"0",
    b"00",
    b"-1",
    b"+5",
    b" 5 ",
    b"1.5",
    b"1e9",
    b"1e999",
    b"0x10",
    b"1_0",
    b"nan",
    b"inf",
    b"",
    b"\xb2",
    b"\xd9\xa3",
    b"7" * 15,
    b"7" * 16,
    b"7" * 19,
    b"7" * 20,
    b"7" * 200,
    b"7" * 309,
    b"7" * 400,
    b"7" * 5000,
)
_TEXTS = (
    b"a",
    b"re\xe7u",
    b"\xc3\xa9",
    b"\xff\xfe",
    bytes(range(0x80, 0x100)),
    b"a\tb",
    b"a\x01b",
    b"a\x00b",
    b"a\rb",
    b"a\r\n b",
    b"a\r\n \xe9b",
    b"HTTP/1.1 200 OK",
    b"x" * 3000,
    b"x" * 70_000,
    b"",
)
_STATUS_LINES = (
    b"HTTP/1.1 200 OK",
    b"HTTP/1.1 200 re\xe7u",
    b"HTTP/1.1 200",
    b"HTTP/1.0 200 OK",
    b"HTTP/1.1 204 No",
    b"HTTP/1.1 304 No",
    b"HTTP/1.1 000 x",
    b"HTTP/1.1 099 x",
    b"HTTP/1.1 600 x",
    b"HTTP/1.1 999 x",
    b"HTTP/1.1 2000 x",
    b"HTTP/1.1 -20 x",
    b"HTTP/1.1 2\xb20 x",
    b"HTTP/1.1 408 x",
    b"HTTP/1.1 421 x",
    b"HTTP/1.1 429 x",
    b"HTTP/1.1 500 x",
    b"HTTP/1.1 503 x",
    b"HTTP/2 200 OK",
    b"ICY 200 OK",
    b"",
)
_SERVER_FIELDS = (
    b"X-Chiverun-Request-Id",
    b"X-Chiverun-Response-Stamp",
    b"X-Chiverun-Not-Run",
    b"X-Chiverun-Server-Load",
    b"X-Chiverun-Instance-Id",
    b"X-Chiverun-Cold-Ms",
    b"Server-Limit",
    b"Server-Leaving",
    b"Retry-After",
    b"Keep-Alive",
    b"Connection",
    b"Content-Encoding",
    b"Set-Cookie",
    b"Content-Type",
    b"X-\xe7",
    b"X A",
    b"",
)
_CALLER_FIELDS = (
    b"Host",
    b"X-Chiverun-Request-Id",
    b"X-Chiverun-Affinity-Key",
    b"X-Chiverun-Deadline-Ms",
    b"X-Chiverun-Expect-Instance",
    b"X-Chiverun-Tenant",
    b"Api-Key",
    b"Connection",
    b"Keep-Alive",
    b"Expect",
    b"Cookie",
    b"TE",
    b"Upgrade",
    b"X-\xe7",
    b"X A",
    b"",
)
_FRAMINGS = (
    (b"Content-Length: 2\r\n", b"ok"),
    (b"Content-Length: 9\r\n", b"ok"),
    (b"Content-Length: 1\r\n", b"ok"),
    (b"Content-Length: 2, 2\r\n", b"ok"),
    (b"Content-Length: 2\r\nContent-Length: 3\r\n", b"ok"),
    (b"Content-Length: 2\r\nTransfer-Encoding: chunked\r\n", b"ok"),
    (b"Transfer-Encoding: gzip\r\n", b"ok"),
    (b"Transfer-Encoding: chunked\r\n", b"2\r\nok\r\n0\r\n\r\n"),
    (
        b"Transfer-Encoding: chunked\r\n",
        b"2;a=\xe7\r\nok\r\n0\r\nX: \xe7\r\n\r\n",
    ),
    (b"Transfer-Encoding: chunked\r\n", b"0x2\r\nok\r\n0\r\n\r\n"),
    (b"Transfer-Encoding: chunked\r\n", b"\xb2\r\nok\r\n0\r\n\r\n"),
    (b"Transfer-Encoding: chunked\r\n", b"-2\r\nok\r\n0\r\n\r\n"),
    (b"Transfer-Encoding: chunked\r\n", b"f" * 19 + b"\r\nok\r\n"),
    (b"Transfer-Encoding: chunked\r\n", b"f" * 5000 + b"\r\nok\r\n"),
    (b"", b""),
    (b"", b"ok"),
)
_ENDLESS_PIECES = (
    b"a" * 8192,
    b"\x00\xff" * 4096,
    b"X-A: a\r\n" * 1024,
    b"1\r\na\r\n" * 1024,
    b"HTTP/1.1 103 x\r\n\r\n" * 512,
    b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na" * 256,
)
_ENDLESS_BYTES = 300_000
_TARGETS = (
    b"/read/a",
    b"/book/a",
    b"/none",
    b"/read/%C3%A9",
    b"/read/\xe7",
    b"/read/a b",
    b"//read",
    b"*",
    b"http://x/read/a",
    b"/read/" + b"a" * 20_000,
    b"",
)
_METHODS = (b"GET", b"POST", b"HEAD", b"OPTIONS", b"CONNECT", b"G\xe7T", b"")


@dataclasses.dataclass(frozen=True, kw_only=True)
class OddBytes:
    """Pieces that a peer sends, and what it does then."""

    pieces: tuple[bytes, ...]
    closes: bool

    def __bytes__(self) -> bytes:
        return b"".join(self.pieces)


def answers(seed: int) -> Iterator[OddBytes]:
    """Yield odd answers; ``%(id)s`` in them stands for the request's id."""
    rng = random.Random(f"answers {seed}")
    while True:
        yield _finish(rng, _answer(rng))


def requests(seed: int) -> Iterator[OddBytes]:
    """Yield odd requests."""
    rng = random.Random(f"requests {seed}")
    while True:
        yield _finish(rng, _request(rng))


def odd_number(rng: random.Random) -> bytes:
    """Return a number, or what stands in its place."""
    return rng.choice(_NUMBERS)


def _value(rng: random.Random) -> bytes:
    match rng.randrange(4):
        case 0:
            return odd_number(rng)
        case 1:
            return b",".join(odd_number(rng) for _ in range(rng.randint(2, 5)))
        case 2:
            return b"timeout=" + odd_number(rng)
    return rng.choice(_TEXTS)


def _rows(rng: random.Random, names: tuple[bytes, ...]) -> bytes:
    return b"".join(
        rng.choice(names)
        + rng.choice((b": ", b":", b" : "))
        + _value(rng)
        + b"\r\n"
        for _ in range(rng.randrange(4))
    )


def _answer(rng: random.Random) -> bytes:
    proper = (
        b"X-Chiverun-Request-Id: %(id)s\r\nX-Chiverun-Response-Stamp: s\r\n"
    )
    framing, body = rng.choice(_FRAMINGS)
    if rng.random() < 0.3:
        framing = b"Content-Length: " + odd_number(rng) + b"\r\n"
    status = rng.choice(_STATUS_LINES)
    if rng.random() < 0.6:
        status = b"HTTP/1.1 200 OK"
    interim = b"HTTP/1.1 103 x\r\n\r\n" if rng.random() < 0.1 else b""
    own = proper if rng.random() < 0.7 else b""
    head = status + b"\r\n" + own + _rows(rng, _SERVER_FIELDS) + framing
    return interim + head + b"\r\n" + body


def _request(rng: random.Random) -> bytes:
    target = rng.choice(_TARGETS)
    method = rng.choice(_METHODS)
    version = b"HTTP/1.1"
    if rng.random() < 0.6:
        target, method = b"/read/a", b"GET"
    elif rng.random() < 0.2:
        version = rng.choice((b"HTTP/1.0", b"HTTP/9.9", b"", b"\xff"))
    framing, body = rng.choice(_FRAMINGS)
    if rng.random() < 0.3:
        framing = b"Content-Length: " + odd_number(rng) + b"\r\n"
    elif rng.random() < 0.4:
        framing, body = b"", b""
    host = b"Host: mill.example\r\n" if rng.random() < 0.9 else b""
    line = method + b" " + target + b" " + version + b"\r\n"
    rows = host + _rows(rng, _CALLER_FIELDS) + framing
    return line + rows + b"\r\n" + body


def _finish(rng: random.Random, data: bytes) -> OddBytes:
    """Damage some, let some go on without end, and cut all in pieces."""
    match rng.randrange(8):
        case 0:
            data = data[: rng.randrange(len(data) + 1)]
        case 1 if data:
            at = rng.randrange(len(data))
            data = data[:at] + rng.randbytes(1) + data[at + 1 :]
        case 2:
            data = data + data[: rng.randrange(len(data) + 1)]
        case 3:
            data = rng.randbytes(rng.randrange(200))
        case 4:
            data = data[: rng.randrange(len(data) + 1)]
            piece = rng.choice(_ENDLESS_PIECES)
            return OddBytes(
                pieces=(data, *[piece] * (_ENDLESS_BYTES // len(piece))),
                closes=False,
            )
    cuts = sorted(
        rng.randrange(len(data) + 1) for _ in range(rng.randrange(3))
    )
    edges = [0, *cuts, len(data)]
    pieces = tuple(data[start:end] for start, end in itertools.pairwise(edges))
    return OddBytes(pieces=pieces, closes=rng.random() < 0.5)
