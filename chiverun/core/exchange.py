"""Results of an exchange with a backend server or a peer."""

import dataclasses
import enum
from typing import assert_never

from chiverun.core.body import Body
from chiverun.core.errors import Outcome
from chiverun.core.errors import ResultCode

# Request header sent to a peer, which returns it with every response.
EXCHANGE_HEADER = "X-Chiverun-Exchange"
# Result code of a response to a caller or a peer.
CODE_HEADER = "X-Chiverun-Code"

# Statuses that HTTP defines (RFC 9110, section 15).

STATUS_FINAL_MIN = 200
STATUS_MAX = 599


def is_final_status(status: int) -> bool:
    """Return whether a status is that of a final response.

    A response with any other number says nothing about its request.
    """
    return STATUS_FINAL_MIN <= status <= STATUS_MAX


class ShedReason(enum.Enum):
    """Reason why a backend server rejected a request without running it."""

    OVERLOAD = "overload"
    DRAINING = "draining"
    DEADLINE = "deadline"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Answered:
    """A complete response has been received."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes | Body


@dataclasses.dataclass(frozen=True, kw_only=True)
class Shed:
    """The receiver reported that it did not run the request."""

    reason: ShedReason


@dataclasses.dataclass(frozen=True, kw_only=True)
class PeerRefused:
    """A peer reported, with a result code, that it did not run the request."""

    code: ResultCode


@dataclasses.dataclass(frozen=True, kw_only=True)
class NotSent:
    """No byte of the request has been written to the socket."""

    detail: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class TimedOut:
    """The deadline passed after bytes had been sent."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Reset:
    """The connection broke after bytes had been sent."""

    detail: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Incomplete:
    """The response contradicts its declared length."""

    detail: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Mismatched:
    """The response carries the id of another request."""

    request_id: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class TooLarge:
    """The response exceeds the `limit` of its class in bytes."""

    limit: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class PeerUnknown:
    """A peer reported that it does not know whether the request ran."""

    code: ResultCode


ExchangeEnd = (
    Answered
    | Shed
    | PeerRefused
    | NotSent
    | TimedOut
    | Reset
    | Incomplete
    | Mismatched
    | TooLarge
    | PeerUnknown
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Classified:
    """Outcome and result code derived from the end of an exchange."""

    outcome: Outcome
    code: ResultCode


def classify(end: ExchangeEnd) -> Classified:
    """Classify the end of an exchange.

    The outcome is NOT_RUN only if that is proven. A 5xx response without a
    shed header proves nothing, so its outcome is UNKNOWN.
    """
    match end:
        case Answered(status=status) if status >= 500:
            return Classified(outcome=Outcome.UNKNOWN, code=ResultCode.OK)
        case Answered():
            return Classified(outcome=Outcome.ANSWERED, code=ResultCode.OK)
        case Shed():
            return _not_run(ResultCode.BACKEND_SHED)
        case PeerRefused(code=code):
            return _not_run(code)
        case NotSent():
            return _not_run(ResultCode.BACKEND_UNREACHABLE)
        case TimedOut():
            return _unknown(ResultCode.BACKEND_TIMEOUT)
        case Reset():
            return _unknown(ResultCode.BACKEND_RESET)
        case Incomplete():
            return _unknown(ResultCode.ANSWER_INCOMPLETE)
        case Mismatched():
            return _unknown(ResultCode.ANSWER_MISMATCH)
        case TooLarge():
            return _unknown(ResultCode.ANSWER_TOO_LARGE)
        case PeerUnknown(code=code):
            return _unknown(code)
        case _:
            assert_never(end)


def may_still_run(end: ExchangeEnd) -> bool:
    """Return whether the server may still be running the request."""
    match end:
        case Answered() | Shed() | NotSent() | PeerRefused():
            return False
        case _:
            return True


def _not_run(code: ResultCode) -> Classified:
    return Classified(outcome=Outcome.NOT_RUN, code=code)


def _unknown(code: ResultCode) -> Classified:
    return Classified(outcome=Outcome.UNKNOWN, code=code)
