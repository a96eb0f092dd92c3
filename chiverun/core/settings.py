"""INI settings files of instances and operators: parsing and validation."""

import configparser
import dataclasses
import ipaddress
import pathlib
from typing import Any

from chiverun.core.errors import ChiverunError
from chiverun.core.errors import ResultCode
from chiverun.core.ids import Address
from chiverun.core.ids import InstanceId
from chiverun.core.ids import ZoneName
from chiverun.core.statednumbers import is_port


@dataclasses.dataclass(frozen=True, kw_only=True)
class Settings:
    """Settings of one instance; addresses are ``ip:port``."""

    # [instance]
    name: InstanceId
    zone: ZoneName
    lookup_address: Address
    entry_address: Address
    forward_address: Address
    peer_address: Address
    # [peers]
    seeds: tuple[Address, ...]
    # [platform]
    store: Address
    instance_list: Address | None = None
    store_timeout_ms: int = 2000
    # [limits]
    entry_threads: int = 40
    forward_threads: int = 40
    # One thread serves 4,079 look-ups/s where four serve 1,315 since threads
    # contend for the interpreter lock.
    lookup_threads: int = 1
    # [callers]: None takes what the machine has
    connections_max: int | None = None
    address_connections_max: int | None = None
    held_mib_max: int | None = None
    idle_timeout_s: float = 30.0
    head_timeout_s: float = 10.0
    progress_timeout_s: float = 10.0
    progress_bytes_per_s: int = 1024
    # [lookup]
    ttl_s: float = 2.0
    # [network]: announced address, address reachable from this instance
    address_map: tuple[tuple[Address, Address], ...] = ()
    # [telemetry]
    trace_ratio: float = 0.01
    log_level: str = "INFO"


@dataclasses.dataclass(frozen=True, kw_only=True)
class OperatorSettings:
    """Settings of the operators' commands; addresses are ``ip:port``."""

    # [operator]
    store: Address
    instances: tuple[Address, ...]
    store_timeout_ms: int = 2000


_LOG_LEVELS = ("DEBUG", "INFO", "NOTICE", "WARNING", "ERROR", "CRITICAL")
_INSTANCE_SECTIONS = {
    "instance": (
        "name",
        "zone",
        "lookup_address",
        "entry_address",
        "forward_address",
        "peer_address",
    ),
    "peers": ("seeds",),
    "platform": ("store", "instance_list", "store_timeout_ms"),
    "limits": ("entry_threads", "forward_threads", "lookup_threads"),
    "callers": (
        "connections_max",
        "address_connections_max",
        "held_mib_max",
        "idle_timeout_s",
        "head_timeout_s",
        "progress_timeout_s",
        "progress_bytes_per_s",
    ),
    "lookup": ("ttl_s",),
    "network": ("address_map",),
    "telemetry": ("trace_ratio", "log_level"),
}
_OPERATOR_SECTIONS = {
    "operator": ("store", "instances", "store_timeout_ms"),
}
_ADDRESS_KEYS = {
    "lookup_address",
    "entry_address",
    "forward_address",
    "peer_address",
    "store",
    "instance_list",
}
_ADDRESS_LIST_KEYS = {"seeds", "instances"}
_INT_RANGES = {
    "store_timeout_ms": (10, 60000),
    "entry_threads": (1, 512),
    "forward_threads": (1, 512),
    "lookup_threads": (1, 64),
    "connections_max": (8, 1000000),
    "address_connections_max": (1, 1000000),
    "held_mib_max": (8, 65536),
    "progress_bytes_per_s": (1, 1048576),
}
_FLOAT_RANGES = {
    "ttl_s": (0.1, 3600.0),
    "trace_ratio": (0.0, 1.0),
    "idle_timeout_s": (1.0, 3600.0),
    "head_timeout_s": (1.0, 600.0),
    "progress_timeout_s": (1.0, 600.0),
}


def read_settings(path: str | pathlib.Path) -> Settings:
    """Read and validate the settings file of an instance.

    Raises
    ------
    ChiverunError
        FILE_NOT_READABLE, SETTING_UNKNOWN, SETTING_MISSING or
        SETTING_INVALID, with section, key, invalid value and valid values.
    """
    return Settings(**_read_values(path, _INSTANCE_SECTIONS, Settings))


def read_operator_settings(path: str | pathlib.Path) -> OperatorSettings:
    """Read and validate the settings file of an operator.

    Raises
    ------
    ChiverunError
        As `read_settings`.
    """
    return OperatorSettings(
        **_read_values(path, _OPERATOR_SECTIONS, OperatorSettings)
    )


def is_operator_file(path: str | pathlib.Path) -> bool:
    """Return whether a settings file has an [operator] section."""
    return _parse_file(path).has_section("operator")


def _parse_file(path: str | pathlib.Path) -> configparser.ConfigParser:
    parser = configparser.ConfigParser(interpolation=None)
    try:
        with open(path, encoding="utf-8") as stream:
            parser.read_file(stream)
    except (OSError, UnicodeDecodeError) as exc:
        raise ChiverunError(
            ResultCode.FILE_NOT_READABLE, f"settings file {path}: {exc}"
        ) from exc
    except configparser.Error as exc:
        reason = str(exc).replace("\n", " ")
        raise ChiverunError(
            ResultCode.SETTING_INVALID, f"settings file {path}: {reason}"
        ) from exc
    return parser


def _read_values(
    path: str | pathlib.Path, sections: dict[str, tuple[str, ...]], kind: type
) -> dict[str, Any]:
    parser = _parse_file(path)
    values: dict[str, Any] = {}
    for section in parser.sections():
        if section not in sections:
            raise ChiverunError(
                ResultCode.SETTING_UNKNOWN,
                f"settings file {path}: section [{section}] is unknown; "
                f"valid: {', '.join(sections)}",
            )
        for key, text in parser.items(section):
            if key not in sections[section]:
                raise ChiverunError(
                    ResultCode.SETTING_UNKNOWN,
                    f"settings file {path}: [{section}] {key} is unknown; "
                    f"valid: {', '.join(sections[section])}",
                )
            values[key] = _parse_value(
                f"settings file {path}: [{section}] {key}", key, text.strip()
            )
    for section, keys in sections.items():
        for key in keys:
            if key not in values and _is_required(kind, key):
                raise ChiverunError(
                    ResultCode.SETTING_MISSING,
                    f"settings file {path}: [{section}] {key} is missing",
                )
    return values


def _is_required(kind: type, key: str) -> bool:
    field = next(f for f in dataclasses.fields(kind) if f.name == key)
    return field.default is dataclasses.MISSING


def _parse_value(setting: str, key: str, text: str) -> Any:
    if key == "instances" and not _split_list(text):
        raise _invalid_error(setting, text, "at least one IP:PORT")
    if key in _ADDRESS_LIST_KEYS:
        return tuple(
            _parse_address(setting, part) for part in _split_list(text)
        )
    if key == "address_map":
        return tuple(
            _parse_address_pair(setting, part) for part in _split_list(text)
        )
    if key in _ADDRESS_KEYS:
        return _parse_address(setting, text)
    if key in _INT_RANGES:
        return _parse_number(setting, text, int, *_INT_RANGES[key])
    if key in _FLOAT_RANGES:
        return _parse_number(setting, text, float, *_FLOAT_RANGES[key])
    if key == "log_level" and text not in _LOG_LEVELS:
        raise _invalid_error(setting, text, f"one of {', '.join(_LOG_LEVELS)}")
    if not text or not text.isprintable() or "~" in text:
        raise _invalid_error(setting, text, "a printable name without '~'")
    return text


def _split_list(text: str) -> list[str]:
    return [part.strip() for part in text.split(",") if part.strip()]


def _parse_address_pair(setting: str, text: str) -> tuple[Address, Address]:
    announced, _, reachable = text.partition("=")
    return (
        _parse_address(setting, announced),
        _parse_address(setting, reachable),
    )


def _parse_address(setting: str, text: str) -> Address:
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        valid = is_port(port)
    except ValueError:
        valid = False
    if not valid:
        raise _invalid_error(setting, text, "IP:PORT, such as 127.0.0.1:8080")
    return Address(text)


def _parse_number(
    setting: str, text: str, kind: type, low: float, high: float
) -> float:
    try:
        number = kind(text)
    except ValueError:
        number = None
    if number is None or not low <= number <= high:
        raise _invalid_error(
            setting, text, f"{kind.__name__} from {low} to {high}"
        )
    return number


def _invalid_error(setting: str, text: str, valid: str) -> ChiverunError:
    return ChiverunError(
        ResultCode.SETTING_INVALID, f"{setting} is {text!r}; valid: {valid}"
    )
