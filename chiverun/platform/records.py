"""Decoding of items of the platform's store to catalog records."""

import json
from typing import Any

import msgspec

from chiverun.core.catalog import ClientLimits
from chiverun.core.catalog import DesiredState
from chiverun.core.catalog import Machine
from chiverun.core.catalog import Part
from chiverun.core.catalog import Route
from chiverun.core.catalog import Server
from chiverun.core.catalog import ServerState
from chiverun.core.catalog import ServiceSpec
from chiverun.core.catalog import StateVersion
from chiverun.core.ids import Address
from chiverun.core.ids import RegionName
from chiverun.core.ids import ServerName
from chiverun.core.ids import ServiceName
from chiverun.core.ids import ZoneName
from chiverun.core.replica import Evacuation
from chiverun.core.replica import Record
from chiverun.core.replica import Unreadable
from chiverun.platform import values

STATE_KEY = "op/config"
EVACUATION_PREFIX = "op/evacuate/"
SERVER_PREFIX = "servers/"
MACHINE_PREFIX = "chiverun/machines/"
# Keys outside these prefixes are ignored.
PREFIXES = ("op/", SERVER_PREFIX, MACHINE_PREFIX)


def decode_record(key: str, data: bytes) -> Record | None:
    """Decode an item; return None for keys that are not used."""
    try:
        if key == STATE_KEY:
            return _decode_state(json.loads(data))
        if key.startswith(EVACUATION_PREFIX):
            zone = key.removeprefix(EVACUATION_PREFIX)
            return Evacuation(zone=ZoneName(zone))
        if key.startswith(SERVER_PREFIX):
            name = key.removeprefix(SERVER_PREFIX)
            return _decode_server(ServerName(name), json.loads(data))
        if key.startswith(MACHINE_PREFIX):
            return msgspec.json.decode(data, type=Machine)
    except (
        values.InvalidValueError,
        ValueError,
        RecursionError,
        msgspec.MsgspecError,
    ) as exc:
        return Unreadable(reason=str(exc))
    return None


def encode_machine(machine: Machine) -> tuple[str, bytes]:
    """Return the key and value of a machine's registration."""
    return f"{MACHINE_PREFIX}{machine.name}", msgspec.json.encode(machine)


def _decode_server(name: ServerName, body: Any) -> Server:
    state = values.field(body, "state", str)
    if state not in ("ready", "draining"):
        raise values.InvalidValueError(
            f"state: {state!r} is not valid; expected ready or draining"
        )
    address = values.field(body, "address", str)
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        raise values.InvalidValueError(
            f"address: {address!r} is not valid; expected ip:port"
        )
    return Server(
        name=name,
        service=ServiceName(values.field(body, "service", str)),
        address=Address(address),
        zone=ZoneName(values.field(body, "zone", str)),
        slots=values.integer(body, "slots", minimum=1),
        state=ServerState(state),
        # Remaining cold time when the upstream wrote the entry.
        cold_left_s=values.duration_s(body, "coldLeft"),
        # Start time of the process; a later process may reuse the id.
        started_ms=values.integer(body, "born") if "born" in body else 0,
    )


def _decode_state(body: Any) -> DesiredState:
    routes = [
        _decode_route(values.field(listener, "host", str), rule)
        for listener in values.field(body, "listeners", list)
        for rule in values.field(listener, "rules", list)
    ]
    return DesiredState(
        version=StateVersion(values.integer(body, "version")),
        routes=tuple(routes),
        services=tuple(
            _decode_service(row)
            for row in values.field(body, "clusters", list)
        ),
        limits=_decode_limits(values.field(body, "limits", dict)),
    )


def _decode_route(host: str, rule: Any) -> Route:
    action = values.field(rule, "action", dict)
    kind = values.field(rule, "kind", str)
    if kind not in ("safe", "unsafe"):
        raise values.InvalidValueError(
            f"kind: {kind!r} is not valid; expected safe or unsafe"
        )
    return Route(
        name=values.field(rule, "name", str),
        host=host.lower(),
        prefix=values.field(values.field(rule, "match", dict), "prefix", str),
        repeatable=kind == "safe",
        parts=_decode_parts(action),
        timeout_s=values.duration_s(action, "timeout"),
        objective_s=values.duration_s(rule, "targetLatency"),
        attempts=values.integer(action, "maxAttempts", minimum=1),
        priority=int(rule.get("priority") or 0),
        sticky=bool(rule.get("sticky")),
        homes=tuple(
            RegionName(str(home)) for home in action.get("homeRegions") or []
        ),
    )


def _decode_parts(action: dict) -> tuple[Part, ...]:
    if action.get("split"):
        return tuple(
            Part(
                service=ServiceName(values.field(row, "service", str)),
                weight=values.number(row, "weight"),
            )
            for row in values.field(action, "split", list)
        )
    service = ServiceName(values.field(action, "service", str))
    return (Part(service=service, weight=1.0),)


def _decode_service(body: Any) -> ServiceSpec:
    return ServiceSpec(
        name=ServiceName(values.field(body, "name", str)),
        health_path=values.field(body, "healthPath", str),
        connections_max=values.integer(body, "maxConns", minimum=1),
        cold_s=values.duration_s(body, "coldStart"),
        cold_per_s=values.number(body, "coldPerS"),
    )


def _decode_limits(body: Any) -> ClientLimits:
    return ClientLimits(
        header_bytes=values.integer(body, "maxHeaderBytes", minimum=1),
        body_bytes=values.integer(body, "maxBodyBytes"),
        header_timeout_s=values.duration_s(body, "headerTimeout"),
        idle_timeout_s=values.duration_s(body, "idleTimeout"),
    )
