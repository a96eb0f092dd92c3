"""Generators of malformed messages for the tests of decoders."""

import json

import msgspec
from hypothesis import strategies

# Values that no field expects, among them ones that are hard to handle.
ODD_VALUES = (
    None,
    True,
    -1,
    2**63 - 1,
    1e308,
    "",
    "\x00",
    "\u202e9\ufffd",
    "9" * 5000,
    [],
    {},
    [[[[[[]]]]]],
    {"": {"": {}}},
)
DEEP_JSON = b"[" * 100_000
DEEP_MSGPACK = b"\x91" * 100_000
RANDOM_BYTES = strategies.binary(max_size=400)


def with_one_odd_field(body: object, path: list[int], odd: object) -> object:
    """Return a copy of a JSON value with one nested field replaced.

    `path` selects the field at each level.
    """
    if not path or not isinstance(body, dict | list) or not body:
        return odd
    keys = list(body) if isinstance(body, dict) else list(range(len(body)))
    key = keys[path[0] % len(keys)]
    copy = dict(body) if isinstance(body, dict) else list(body)
    copy[key] = with_one_odd_field(body[key], path[1:], odd)
    return copy


def variants(body: object) -> strategies.SearchStrategy[object]:
    """Return a strategy of a value with one odd field at any depth."""
    return strategies.builds(
        with_one_odd_field,
        strategies.just(body),
        strategies.lists(strategies.integers(0, 20), min_size=1, max_size=6),
        strategies.sampled_from(ODD_VALUES),
    )


def cut_or_flipped(data: bytes) -> strategies.SearchStrategy[bytes]:
    """Return a strategy of valid bytes that are cut, or have one changed."""
    position = strategies.integers(0, max(0, len(data) - 1))
    flipped = strategies.builds(
        lambda i, b: data[:i] + bytes([b]) + data[i + 1 :],
        position,
        strategies.integers(0, 255),
    )
    return strategies.one_of(position.map(lambda i: data[:i]), flipped)


def to_json(body: object) -> bytes:
    """Encode a variant as JSON, also with numbers out of range."""
    return json.dumps(body).encode()


def to_msgpack(body: object) -> bytes:
    """Encode a variant as MessagePack."""
    return msgspec.msgpack.encode(body)
