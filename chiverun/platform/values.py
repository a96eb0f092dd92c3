"""Validation of single fields of the platform's JSON bodies."""

import ipaddress
import re
from typing import Any

from chiverun.core.headertext import is_field_value
from chiverun.core.ids import Address
from chiverun.core.statednumbers import is_port
from chiverun.core.statednumbers import PORT

_DURATION = re.compile(r"([0-9]+(?:\.[0-9]+)?)(ms|s)")
_SECONDS = {"ms": 0.001, "s": 1.0}
# Largest integer that messages to other instances can hold.
INTEGER_MAX = 2**63 - 1
# Far above any number or duration that a platform states, so that sums and
# waiting times stay finite.
NUMBER_MAX = 1e12
DURATION_MAX_S = 1e6
HEADER_VALUE_LENGTH_MAX = 200


class InvalidValueError(ValueError):
    """Raised when a field is missing or has an invalid value."""


def parse_duration_s(value: Any) -> float:
    """Parse a duration such as ``1500ms`` or ``2.5s`` to seconds.

    Raises
    ------
    InvalidValueError
    """
    match = _DURATION.fullmatch(value) if isinstance(value, str) else None
    if match is None:
        raise InvalidValueError(
            f"{value!r} is not a duration; expected a value such as 1500ms "
            "or 2.5s"
        )
    seconds = float(match[1]) * _SECONDS[match[2]]
    if seconds > DURATION_MAX_S:
        raise InvalidValueError(
            f"{value[:40]!r} is longer than {DURATION_MAX_S:g} s"
        )
    return seconds


def field(body: Any, name: str, expected_type: type | tuple[type, ...]) -> Any:
    """Return a field of an object after checking its type.

    Raises
    ------
    InvalidValueError
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
    """Return a number field that is from `minimum` to `NUMBER_MAX`.

    Raises
    ------
    InvalidValueError
    """
    value = field(body, name, (int, float))
    if not minimum <= value <= NUMBER_MAX:
        raise InvalidValueError(
            f"{name}: not from {minimum:g} to {NUMBER_MAX:g}"
        )
    return float(value)


def integer(
    body: Any, name: str, *, minimum: int = 0, maximum: int = INTEGER_MAX
) -> int:
    """Return an integer field that is from `minimum` to `maximum`.

    Raises
    ------
    InvalidValueError
    """
    value = field(body, name, int)
    if not minimum <= value <= maximum:
        raise InvalidValueError(f"{name}: not from {minimum} to {maximum}")
    return value


def duration_s(body: Any, name: str) -> float:
    """Return a duration field, converted to seconds.

    Raises
    ------
    InvalidValueError
    """
    try:
        return parse_duration_s(field(body, name, str))
    except InvalidValueError as exc:
        raise InvalidValueError(f"{name}: {exc}") from exc


def check_header_value(text: str, name: str) -> None:
    """Check that a text can be the value of a header.

    Raises
    ------
    InvalidValueError
    """
    is_valid = (
        0 < len(text) <= HEADER_VALUE_LENGTH_MAX
        and text.isascii()
        and text.isprintable()
        and text == text.strip()
    )
    if not is_valid:
        raise InvalidValueError(
            f"{name}: {text[:80]!r} is not valid; expected 1 to "
            f"{HEADER_VALUE_LENGTH_MAX} printable ASCII characters"
        )


def check_field_value(text: str, name: str) -> None:
    """Check that a text can be the value of a header, which names a server.

    Raises
    ------
    InvalidValueError
    """
    if len(text) > HEADER_VALUE_LENGTH_MAX or not is_field_value(text):
        raise InvalidValueError(
            f"{name}: {text[:80]!r} is not valid; expected 1 to "
            f"{HEADER_VALUE_LENGTH_MAX} Latin-1 characters, no control "
            "characters, and no space at either end"
        )


def address(body: Any, name: str) -> Address:
    """Return a field with an IP address and a port.

    Raises
    ------
    InvalidValueError
    """
    return parse_address(field(body, name, str), name)


def parse_address(text: str, name: str) -> Address:
    """Return an address such as ``10.1.0.5:8080`` after checking it.

    Raises
    ------
    InvalidValueError
    """
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        is_valid = is_port(port)
    except ValueError:
        is_valid = False
    if not is_valid:
        raise InvalidValueError(
            f"{name}: {text[:80]!r} is not valid; expected ip:port with a "
            f"port from {PORT.low} to {PORT.high}"
        )
    return Address(text)
