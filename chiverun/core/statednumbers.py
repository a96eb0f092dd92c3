"""Numbers that peers state: how they are read, and which are credible.

Servers, callers, other instances and the store may be faulty. A number that
cannot be read or is out of its range counts as not stated. `valid_s` tells
for how long a credible one is believed if its peer states no other.
"""

import dataclasses
import re

import msgspec

# Longer texts are not converted: their value would be out of any range.
_DIGITS_MAX = 15
_WHOLE = re.compile(rf"[0-9]{{1,{_DIGITS_MAX}}}")
_DECIMAL = re.compile(
    rf"[0-9]{{1,{_DIGITS_MAX}}}(?:\.[0-9]{{1,{_DIGITS_MAX}}})?"
)
_HEXADECIMAL = re.compile(rf"[0-9A-Fa-f]{{1,{_DIGITS_MAX}}}")
_BLANKS = " \t"


@dataclasses.dataclass(frozen=True, kw_only=True)
class StatedNumber:
    """Range of a number that a peer states, in its unit.

    `valid_s` is None for a number that concerns one message only.
    """

    low: float = 0
    high: float
    unit: str
    valid_s: float | None = None

    def __contains__(self, value: float) -> bool:
        return self.low <= value <= self.high

    def __str__(self) -> str:
        return f"{self.low:g} to {self.high:g} {self.unit}"

    @property
    def meta(self) -> msgspec.Meta:
        """The range for a field of a message."""
        return msgspec.Meta(ge=self.low, le=self.high)


# Of a caller or a server.
BODY_BYTES = StatedNumber(high=10**_DIGITS_MAX, unit="bytes")

# Of a caller.
DEADLINE_MS = StatedNumber(high=10**_DIGITS_MAX, unit="ms")

# Of a server. Requests that run or wait at it; see `is_credible_load`.
LOAD_COUNT = StatedNumber(high=1_000_000, unit="requests", valid_s=5.0)
SLOWDOWN_PERCENT = StatedNumber(low=1, high=100_000, unit="percent")
# It is believed for `cold_limit_s` at a time: a server that is taken for warm
# too early may end.
COLD_MS = StatedNumber(high=3_600_000, unit="ms")
LIMIT_PER_S = StatedNumber(
    high=1_000_000, unit="requests a second", valid_s=60.0
)
PAUSE_S = StatedNumber(high=300, unit="s")
KEEP_ALIVE_S = StatedNumber(high=86_400, unit="s")


# Of a record or a setting.
PORT = StatedNumber(low=1, high=65_535, unit="")
_PORT_DIGITS_MAX = 5

# Of a record. Requests go to servers by their slots, so that one with more
# than any server has would draw them all.
SLOTS = StatedNumber(low=1, high=100_000, unit="slots")
COLD_LEFT_S = StatedNumber(high=1_000_000, unit="s")
START_MS = StatedNumber(high=2**63 - 1, unit="ms")
CAPACITY = StatedNumber(low=1e-6, high=1_000_000, unit="cores")

# Of another instance.
AGE_S = StatedNumber(high=1e9, unit="s")
IN_FLIGHT = StatedNumber(high=100_000, unit="requests")
ARRIVALS = StatedNumber(high=2**53, unit="requests")
ARRIVALS_PER_S = StatedNumber(high=20_000, unit="requests a second")
DEMAND_PER_S = StatedNumber(high=1_000_000, unit="requests a second")
QUOTA_TOKENS = StatedNumber(high=1e9, unit="requests")
LAPSE_S = StatedNumber(high=60, unit="s")
CLOCK_S = StatedNumber(high=1e9, unit="s")
# A message is in transit for less, or its time is wrong.
TRANSIT_S = StatedNumber(high=60, unit="s")
MESSAGE_NUMBER = StatedNumber(high=2**53, unit="")
# A number this far below the last one does not belong to a late message: one
# of the two is wrong, and the newer one counts.
MESSAGE_NUMBERS_LATE = 64

# Requests at a server for each of its slots, and beyond these.
_LOAD_PER_SLOT = 64
_LOAD_EXTRA = 256
# A server that has become cold again has at most this many cold starts left.
_COLD_STARTS = 2


def parse_whole(text: str | None, number: StatedNumber) -> int | None:
    """Return a whole number, None if the text states no credible one."""
    digits = (text or "").strip(_BLANKS)
    if _WHOLE.fullmatch(digits) is None:
        return None
    value = int(digits)
    return value if value in number else None


def parse_decimal(text: str | None, number: StatedNumber) -> float | None:
    """Return a decimal number, None if the text states no credible one."""
    digits = (text or "").strip(_BLANKS)
    if _DECIMAL.fullmatch(digits) is None:
        return None
    value = float(digits)
    return value if value in number else None


def is_port(text: str) -> bool:
    """Return whether a text is the number of a port, without blanks."""
    return (
        len(text) <= _PORT_DIGITS_MAX
        and _WHOLE.fullmatch(text) is not None
        and int(text) in PORT
    )


def parse_size(data: bytes | bytearray) -> int | None:
    """Return the size of a chunk, None if it is none (RFC 9112, 7.1)."""
    digits = data.decode("latin-1").strip(_BLANKS + "\r")
    if _HEXADECIMAL.fullmatch(digits) is None:
        return None
    return int(digits, 16)


def is_credible_load(requests: int, slots: int) -> bool:
    """Return whether a server with these slots can have so many requests."""
    return requests <= _LOAD_PER_SLOT * slots + _LOAD_EXTRA


def cold_limit_s(cold_start_s: float) -> float:
    """Return how long a server can stay cold from now on."""
    return _COLD_STARTS * cold_start_s


def is_later_message(number: int, last: int) -> bool:
    """Return whether a message is later than the last one of its process."""
    return number > last or number <= last - MESSAGE_NUMBERS_LATE
