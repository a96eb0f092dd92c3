"""Decoding of the platform's settings file to `EdgeSettings`."""

import dataclasses
import json
import os
import pathlib
import resource
from typing import Any

from chiverun.core.edgesettings import EdgeBounds
from chiverun.core.edgesettings import EdgeSettings
from chiverun.core.errors import ChiverunError
from chiverun.core.errors import ResultCode
from chiverun.core.ids import Address
from chiverun.core.ids import InstanceId
from chiverun.core.ids import RegionName
from chiverun.core.ids import ZoneName
from chiverun.core.statednumbers import CAPACITY
from chiverun.core.statednumbers import is_port
from chiverun.platform import values

PATH_VARIABLE = "CHIVERUN_CONFIG"
# The platform's settings file has no place for settings of the deployment.
SHARE_LOADS_VARIABLE = "CHIVERUN_SHARE_LOADS"
# Link that a machine with one core needs to be limited by its core alone.
LINK_MBPS_PER_CORE = 100.0
_CAPACITY_MIN = 0.001

# Maps the platform's names of bounds to fields of `EdgeBounds`. The values of
# durations have a unit.
_BOUND_FIELDS = {
    "grace": "stop_grace_s",
    "retryBudgetRatio": "retry_ratio",
    "budgetExtra": "retry_extra",
    "budgetWindow": "retry_window_s",
    "coldExcess": "cold_excess",
    "coldSlack": "cold_extra",
    "quotaWindow": "quota_window_s",
    "quotaExcess": "quota_excess",
    "quotaSlack": "quota_extra",
}
# Time for which keys are trusted without news, if the other bound says so.
_KEY_TRUST = "revoke"
_KEY_TRUST_LIMITED = "strictRevoke"


def read_platform_settings() -> EdgeSettings:
    """Read the settings file whose path is in `PATH_VARIABLE`.

    Raises
    ------
    ChiverunError
        SETTING_MISSING, FILE_NOT_READABLE or SETTING_INVALID.
    """
    path = os.environ.get(PATH_VARIABLE)
    if not path:
        raise ChiverunError(
            ResultCode.SETTING_MISSING,
            f"{PATH_VARIABLE} is not set; it names the settings file",
        )
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        raise ChiverunError(
            ResultCode.FILE_NOT_READABLE,
            f"cannot read settings file {path}: {exc}",
        ) from exc
    return dataclasses.replace(
        decode_settings(text), share_loads=_read_share_loads()
    )


def _read_share_loads() -> bool:
    text = os.environ.get(SHARE_LOADS_VARIABLE, "true")
    if text not in ("true", "false"):
        raise ChiverunError(
            ResultCode.SETTING_INVALID,
            f"{SHARE_LOADS_VARIABLE} is {text!r}; valid: true or false",
        )
    return text == "true"


def decode_settings(text: str) -> EdgeSettings:
    """Decode the text of a settings file, ignoring unknown fields.

    Raises
    ------
    ChiverunError
        SETTING_INVALID.
    """
    try:
        return _decode_body(json.loads(text))
    except (ValueError, RecursionError) as exc:
        raise ChiverunError(
            ResultCode.SETTING_INVALID, f"invalid settings file: {exc}"
        ) from exc


def _decode_body(body: Any) -> EdgeSettings:
    listen = values.field(body, "listen", dict)
    ip = values.field(body, "ip", str)
    _, last_port = values.field(body, "innerPorts", list)
    seeds = values.field(body, "seeds", list) if body.get("seeds") else []
    return EdgeSettings(
        name=InstanceId(values.field(body, "nodeName", str)),
        zone=ZoneName(values.field(body, "zone", str)),
        region=RegionName(values.field(body, "region", str)),
        regions={
            ZoneName(zone): RegionName(region)
            for zone, region in values.field(body, "zones", dict).items()
        },
        entry=_decode_address(listen, "front"),
        readiness=_decode_address(listen, "ready"),
        directory=_decode_address(listen, "directory"),
        # Peers use the platform's control address, since the seeds in the
        # settings are three control addresses.
        peer=_decode_address(listen, "control"),
        metrics=Address(f"{ip}:{last_port}"),
        seeds=tuple(Address(str(seed)) for seed in seeds),
        store=_decode_address(values.field(body, "platform", dict), "address"),
        bounds=_decode_bounds(values.field(body, "bounds", list)),
        capacity=_decode_capacity(body.get("limits") or {}),
        memory_bytes=_decode_memory(body.get("limits") or {}),
        descriptors=_decode_descriptors(body.get("limits") or {}),
    )


def _decode_memory(limits: Any) -> int | None:
    """Return the memory of a process; missing or 0 means no known limit."""
    if not isinstance(limits, dict):
        return None
    return int(_decode_number(limits, "memoryMb") * 1024 * 1024) or None


def _decode_descriptors(limits: Any) -> int:
    """Return the lesser of the platform's and the system's limit."""
    system_max, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if not isinstance(limits, dict):
        return system_max
    return min(system_max, int(_decode_number(limits, "maxFds")) or system_max)


def _decode_address(body: dict, name: str) -> Address:
    text = values.field(body, name, str)
    host, _, port = text.rpartition(":")
    if not host or not is_port(port):
        raise values.InvalidValueError(
            f"{name}: {text!r} is not valid; expected ip:port"
        )
    return Address(text)


def _decode_bounds(rows: list) -> EdgeBounds:
    texts = dict(str(row).partition("=")[::2] for row in rows)
    overrides = {
        field: _decode_bound(texts[name])
        for name, field in _BOUND_FIELDS.items()
        if name in texts
    }
    if texts.get(_KEY_TRUST_LIMITED) == "true" and _KEY_TRUST in texts:
        overrides["key_trust_s"] = _decode_bound(texts[_KEY_TRUST])
    return dataclasses.replace(EdgeBounds(), **overrides)


def _decode_bound(text: str) -> float:
    """Return a duration in seconds, or a plain number."""
    if text.endswith("s"):
        return values.parse_duration_s(text)
    return float(text)


def _decode_capacity(limits: Any) -> float:
    """Return the lesser of processor and link, relative to a full core."""
    if not isinstance(limits, dict):
        return 1.0
    cores = _decode_number(limits, "cpuShare") * max(
        1.0, _decode_number(limits, "cores")
    )
    link = _decode_number(limits, "linkMbps") / LINK_MBPS_PER_CORE
    known = [value for value in (cores, link) if value > 0]
    if not known:
        return 1.0
    return min(CAPACITY.high, max(_CAPACITY_MIN, round(min(known), 3)))


def _decode_number(body: dict, name: str) -> float:
    """Return a number, 0 if it is missing."""
    return values.number(body, name) if body.get(name) else 0.0
