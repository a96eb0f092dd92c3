"""Decoding of items of the platform's store to catalog records."""

import json
from typing import Any

import msgspec

from chiverun.core.catalog import Machine
from chiverun.core.catalog import Server
from chiverun.core.catalog import ServerState
from chiverun.core.errors import DECODE_ERRORS
from chiverun.core.ids import Address
from chiverun.core.ids import ServerName
from chiverun.core.ids import ServiceName
from chiverun.core.ids import ZoneName
from chiverun.core.replica import Evacuation
from chiverun.core.replica import Record
from chiverun.core.replica import Unreadable
from chiverun.platform import values
from chiverun.platform.statecodec import decode_state

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
            return decode_state(json.loads(data))
        if key.startswith(EVACUATION_PREFIX):
            zone = key.removeprefix(EVACUATION_PREFIX)
            return Evacuation(zone=ZoneName(zone))
        if key.startswith(SERVER_PREFIX):
            name = key.removeprefix(SERVER_PREFIX)
            return _decode_server(ServerName(name), json.loads(data))
        if key.startswith(MACHINE_PREFIX):
            return msgspec.json.decode(data, type=Machine)
    except DECODE_ERRORS as exc:
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
