"""Validation of single fields of the platform's JSON bodies."""

import re
from typing import Any

_DURATION = re.compile(r"([0-9]+(?:\.[0-9]+)?)(ms|s)")
_SECONDS = {"ms": 0.001, "s": 1.0}


class Malformed(ValueError):
    """Raised when a field is missing or has an invalid value."""


def duration_s(value: Any) -> float:
    """Parse a duration such as ``1500ms`` or ``2.5s`` to seconds.

    Raises
    ------
    Malformed
    """
    match = _DURATION.fullmatch(value) if isinstance(value, str) else None
    if match is None:
        raise Malformed(
            f"{value!r} is not a duration; expected a value such as 1500ms "
            "or 2.5s"
        )
    return float(match[1]) * _SECONDS[match[2]]


def field(body: Any, name: str, kind: type | tuple[type, ...]) -> Any:
    """Return a field of an object after checking its type.

    Raises
    ------
    Malformed
    """
    if not isinstance(body, dict):
        raise Malformed(f"expected an object, got {type(body).__name__}")
    value = body.get(name)
    is_number = isinstance(value, bool) and kind is not bool
    if not isinstance(value, kind) or is_number:
        raise Malformed(f"{name}: {value!r} has the wrong type")
    return value


def number(body: Any, name: str, *, least: float = 0.0) -> float:
    """Return a finite number field that is at least `least`.

    Raises
    ------
    Malformed
    """
    value = field(body, name, (int, float))
    if not least <= value < float("inf"):
        raise Malformed(f"{name}: {value!r} is below {least:g}")
    return float(value)


def whole(body: Any, name: str, *, least: int = 0) -> int:
    """Return an integer field that is at least `least`.

    Raises
    ------
    Malformed
    """
    value = field(body, name, int)
    if value < least:
        raise Malformed(f"{name}: {value!r} is below {least}")
    return value


def seconds(body: Any, name: str) -> float:
    """Return a duration field, converted to seconds.

    Raises
    ------
    Malformed
    """
    try:
        return duration_s(field(body, name, str))
    except Malformed as exc:
        raise Malformed(f"{name}: {exc}") from exc
