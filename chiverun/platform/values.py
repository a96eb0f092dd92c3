"""Validation of single fields of the platform's JSON bodies."""

import re
from typing import Any

_DURATION = re.compile(r"([0-9]+(?:\.[0-9]+)?)(ms|s)")
_SECONDS = {"ms": 0.001, "s": 1.0}
# Largest integer that messages to other instances can hold.
INTEGER_MAX = 2**63 - 1


class InvalidValueError(ValueError):
    """Raised when a field is missing or has an invalid value."""


def parse_duration_s(value: Any) -> float:
    """Parse a duration such as ``1500ms`` or ``2.5s`` to seconds.

    Raises
    ------
    Malformed
    """
    match = _DURATION.fullmatch(value) if isinstance(value, str) else None
    if match is None:
        raise InvalidValueError(
            f"{value!r} is not a duration; expected a value such as 1500ms "
            "or 2.5s"
        )
    return float(match[1]) * _SECONDS[match[2]]


def field(body: Any, name: str, expected_type: type | tuple[type, ...]) -> Any:
    """Return a field of an object after checking its type.

    Raises
    ------
    Malformed
    """
    if not isinstance(body, dict):
        raise InvalidValueError(
            f"expected an object, got {type(body).__name__}"
        )
    value = body.get(name)
    is_unexpected_bool = isinstance(value, bool) and expected_type is not bool
    if not isinstance(value, expected_type) or is_unexpected_bool:
        raise InvalidValueError(f"{name}: {value!r} has the wrong type")
    return value


def number(body: Any, name: str, *, minimum: float = 0.0) -> float:
    """Return a finite number field that is at least `minimum`.

    Raises
    ------
    Malformed
    """
    value = field(body, name, (int, float))
    if not minimum <= value < float("inf"):
        raise InvalidValueError(f"{name}: {value!r} is below {minimum:g}")
    return float(value)


def integer(
    body: Any, name: str, *, minimum: int = 0, maximum: int = INTEGER_MAX
) -> int:
    """Return an integer field that is from `minimum` to `maximum`.

    Raises
    ------
    Malformed
    """
    value = field(body, name, int)
    if not minimum <= value <= maximum:
        raise InvalidValueError(
            f"{name}: {value!r} is not from {minimum} to {maximum}"
        )
    return value


def duration_s(body: Any, name: str) -> float:
    """Return a duration field, converted to seconds.

    Raises
    ------
    Malformed
    """
    try:
        return parse_duration_s(field(body, name, str))
    except InvalidValueError as exc:
        raise InvalidValueError(f"{name}: {exc}") from exc
