"""Decoding of items of the platform's store to catalog records."""

import json
from typing import Any

import msgspec

from chiverun.core.catalog import Machine
from chiverun.core.catalog import Server
from chiverun.core.catalog import ServerState
from chiverun.core.errors import DECODE_ERRORS
from chiverun.core.ids import ServerName
from chiverun.core.ids import ServiceName
from chiverun.core.ids import ZoneName
from chiverun.core.replica import Evacuation
from chiverun.core.replica import Record
from chiverun.core.replica import Unreadable
from chiverun.core.statednumbers import SLOTS
from chiverun.platform import values
from chiverun.platform.statecodec import decode_state

STATE_KEY = "op/config"
EVACUATION_PREFIX = "op/evacuate/"
SERVER_PREFIX = "servers/"
MACHINE_PREFIX = "chiverun/machines/"
# Length of the reason that is logged, since it quotes the record.
REASON_LENGTH_MAX = 300
# Keys outside these prefixes are ignored.
PREFIXES = ("op/", SERVER_PREFIX, MACHINE_PREFIX)


def decode_record(key: str, data: bytes) -> Record | None:
    """Decode an item; return None for keys that are not used.

    What cannot be passed on to other instances is unreadable too.
    """
    try:
        record = _decode_record(key, data)
        msgspec.msgpack.encode(record)
    except (*DECODE_ERRORS, OverflowError) as exc:
        return Unreadable(reason=str(exc)[:REASON_LENGTH_MAX])
    return record


def _decode_record(key: str, data: bytes) -> Record | None:
    if key == STATE_KEY:
        return decode_state(json.loads(data))
    if key.startswith(EVACUATION_PREFIX):
        zone = key.removeprefix(EVACUATION_PREFIX)
        return Evacuation(zone=ZoneName(zone))
    if key.startswith(SERVER_PREFIX):
        name = key.removeprefix(SERVER_PREFIX)
        return _decode_server(ServerName(name), json.loads(data))
    if key.startswith(MACHINE_PREFIX):
        return _decode_machine(key.removeprefix(MACHINE_PREFIX), data)
    return None


def _decode_machine(name: str, data: bytes) -> Machine:
    machine = msgspec.json.decode(data, type=Machine)
    if machine.name != name:
        raise values.InvalidValueError(
            f"name: {machine.name!r} is not that of the key, {name!r}"
        )
    values.parse_address(machine.peer, "peer")
    values.parse_address(machine.entry, "entry")
    return machine


def encode_machine(machine: Machine) -> tuple[str, bytes]:
    """Return the key and value of a machine's registration."""
    return f"{MACHINE_PREFIX}{machine.name}", msgspec.json.encode(machine)


def _decode_server(name: ServerName, body: Any) -> Server:
    # Not used here, but an entry without them is not the server's own.
    values.field(body, "version", str)
    values.integer(body, "sequence")
    values.check_field_value(name, "id")
    state = values.field(body, "state", str)
    if state not in ("ready", "draining"):
        raise values.InvalidValueError(
            f"state: {state!r} is not valid; expected ready or draining"
        )
    return Server(
        name=name,
        service=ServiceName(values.field(body, "service", str)),
        address=values.address(body, "address"),
        zone=ZoneName(values.field(body, "zone", str)),
        slots=values.integer(
            body, "slots", minimum=SLOTS.low, maximum=SLOTS.high
        ),
        state=ServerState(state),
        # Remaining cold time when the upstream wrote the entry.
        cold_left_s=values.duration_s(body, "coldLeft"),
        # Start time of the process; a later process may reuse the id.
        started_ms=values.integer(body, "born") if "born" in body else 0,
    )
