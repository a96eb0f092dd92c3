"""Validation of a ticket against the state that it would change."""

import ipaddress
import math
import re
from collections.abc import Callable
from collections.abc import Iterator

from chiverun.core.blocks import SITES_MAX
from chiverun.core.errors import ChiverunError
from chiverun.core.errors import ResultCode
from chiverun.core.state import apply_ticket
from chiverun.core.state import State
from chiverun.core.statednumbers import is_port
from chiverun.core.ticket import encode_ticket
from chiverun.core.ticket import KINDS
from chiverun.core.ticket import Link
from chiverun.core.ticket import Region
from chiverun.core.ticket import RequestClass
from chiverun.core.ticket import Server
from chiverun.core.ticket import ServerState
from chiverun.core.ticket import Service
from chiverun.core.ticket import Shift
from chiverun.core.ticket import ShiftState
from chiverun.core.ticket import Site
from chiverun.core.ticket import Ticket
from chiverun.core.ticket import Zone
from chiverun.core.ticket import ZoneState

_SERVICE_NAME = re.compile(r"[A-Za-z0-9._-]+")
# Leaves room for the entry's other fields within a store value of 1 MB.
TICKET_BYTES_MAX = 900_000
SEATS_MAX = 4096
SLOTS_MAX = 4096
DEADLINE_MS_MAX = 3_600_000
ANSWER_BYTES_MAX = 64 * 1024 * 1024


def check_ticket(state: State, ticket: Ticket) -> State:
    """Validate a ticket and return the resulting state.

    Raises
    ------
    ChiverunError
        TICKET_OUT_OF_ORDER, TICKET_TOO_LARGE, or TICKET_INVALID for the first
        problem, with the object, the field, its value and the valid values.
    """
    result = apply_ticket(state, ticket)
    size = len(encode_ticket(ticket))
    if size > TICKET_BYTES_MAX:
        raise ChiverunError(
            ResultCode.TICKET_TOO_LARGE,
            f"ticket {ticket.number} is {size} bytes; valid: at most "
            f"{TICKET_BYTES_MAX} bytes",
        )
    for problem in _find_problems(state, ticket, result):
        raise ChiverunError(
            ResultCode.TICKET_INVALID, f"ticket {ticket.number}: {problem}"
        )
    return result


def _find_problems(
    state: State, ticket: Ticket, result: State
) -> Iterator[str]:
    yield from _check_texts(ticket)
    yield from _check_names(ticket)
    yield from _check_removals(state, ticket)
    for kind, check in _CHECKS.items():
        for name, record in result.objects[kind].items():
            for problem in check(result, record):
                yield f"{kind} {name}: {problem}"
    yield from _check_seat_counts(state, result)
    yield from _check_moved_servers(state, result)
    yield from _check_duplicate_links(result)
    yield from _check_duplicate_addresses(result)
    yield from _check_duplicate_blocks(ticket, result)
    yield from _check_site_count(result)
    yield from _check_competing_shifts(result)
    yield from _check_active_zone(result)


def _check_texts(ticket: Ticket) -> Iterator[str]:
    for field in ("reason", "author"):
        if not getattr(ticket, field).strip():
            yield f"{field} is empty; valid: a non-blank text"


def _check_names(ticket: Ticket) -> Iterator[str]:
    changed_objects = [
        (kind, record.name)
        for kind in KINDS
        for record in getattr(ticket, kind)
    ]
    changed_objects += [(r.kind, r.name) for r in ticket.remove]
    seen = set()
    for kind, name in changed_objects:
        if (kind, name) in seen:
            yield f"{kind} {name!r} is listed twice; valid: once"
        seen.add((kind, name))
        if not name or len(name) > 100 or not name.isprintable():
            yield (
                f"{kind} name is {name!r}; valid: 1 to 100 printable "
                "characters"
            )


def _check_removals(state: State, ticket: Ticket) -> Iterator[str]:
    for removal in ticket.remove:
        if removal.kind not in KINDS:
            yield (
                f"kind of removal is {removal.kind!r}; valid: "
                f"{', '.join(KINDS)}"
            )
        elif removal.name not in state.objects[removal.kind]:
            yield f"{removal.kind} {removal.name!r} to remove does not exist"


def _check_reference(state: State, field: str, kind: type, name: str):
    existing = state.of(kind)
    if name not in existing:
        valid = ", ".join(sorted(existing)[:20]) or "none exist"
        yield f"{field} is {name!r}; valid: {valid}"


def _check_range(field: str, value: float, low: float, high: float):
    if not (math.isfinite(value) and low <= value <= high):
        yield f"{field} is {value}; valid: {low} to {high}"


def _check_region(state: State, record: Region) -> Iterator[str]:
    yield from _check_range("in_flight_max", record.in_flight_max, 0, 10**9)


def _check_zone(state: State, record: Zone) -> Iterator[str]:
    yield from _check_reference(state, "region", Region, record.region)
    yield from _check_range("seats", record.seats, 1, SEATS_MAX)


def _check_link(state: State, record: Link) -> Iterator[str]:
    yield from _check_reference(state, "source", Region, record.source)
    yield from _check_reference(state, "target", Region, record.target)
    yield from _check_range("mbit_per_s", record.mbit_per_s, 0.001, 10**7)
    if record.source == record.target:
        yield (
            f"target is {record.target!r}; valid: a region other than the "
            "source"
        )


def _check_service(state: State, record: Service) -> Iterator[str]:
    if not _SERVICE_NAME.fullmatch(record.name):
        yield (
            f"name is {record.name!r}; valid: letters, digits, '.', '_' and "
            "'-', since it is used in paths"
        )
    if not record.classes:
        yield "classes is empty; valid: at least one class"
    names = [c.name for c in record.classes]
    if len(set(names)) < len(names):
        yield f"class names are {names}; valid: unique names"
    for request_class in record.classes:
        for problem in _check_request_class(request_class):
            yield f"class {request_class.name}: {problem}"


def _check_request_class(record: RequestClass) -> Iterator[str]:
    yield from _check_range("attempts", record.attempts, 1, 10)
    yield from _check_range(
        "deadline_ms", record.deadline_ms, 1, DEADLINE_MS_MAX
    )
    yield from _check_range(
        "answer_bytes_max", record.answer_bytes_max, 1, ANSWER_BYTES_MAX
    )
    if record.attempts > 1 and not record.repeatable:
        yield f"attempts is {record.attempts}; valid: 1 unless repeatable"
    if not record.methods or any(
        not m.isalpha() or not m.isupper() for m in record.methods
    ):
        yield (
            f"methods is {list(record.methods)}; valid: a list of HTTP "
            "methods in upper case such as ['GET']"
        )
    if not record.path_prefix.startswith("/"):
        yield (
            f"path_prefix is {record.path_prefix!r}; valid: a path that "
            "starts with '/'"
        )


def _check_server(state: State, record: Server) -> Iterator[str]:
    yield from _check_reference(state, "service", Service, record.service)
    yield from _check_reference(state, "zone", Zone, record.zone)
    yield from _check_range("slots", record.slots, 1, SLOTS_MAX)
    yield from _check_range("long_slots", record.long_slots, 0, record.slots)
    yield from _check_range(
        "connections_max", record.connections_max, 1, 10**6
    )
    host, _, port = record.address.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        valid = is_port(port)
    except ValueError:
        valid = False
    if not valid:
        yield f"address is {record.address!r}; valid: IP:PORT"


def _check_site(state: State, record: Site) -> Iterator[str]:
    yield from _check_reference(state, "zone", Zone, record.zone)


def _check_shift(state: State, record: Shift) -> Iterator[str]:
    yield from _check_reference(state, "service", Service, record.service)
    yield from _check_reference(state, "source", Region, record.source)
    yield from _check_reference(state, "target", Region, record.target)
    yield from _check_range("fraction", record.fraction, 0.0, 1.0)
    yield from _check_range("cap_per_s", record.cap_per_s, 1, 10**9)
    yield from _check_range("warm_s", record.warm_s, 0.0, 86400.0)
    if record.source == record.target:
        yield (
            f"target is {record.target!r}; valid: a region other than the "
            "source"
        )


_CHECKS: dict[str, Callable[..., Iterator[str]]] = {
    "region": _check_region,
    "zone": _check_zone,
    "link": _check_link,
    "service": _check_service,
    "server": _check_server,
    "site": _check_site,
    "shift": _check_shift,
}


def _check_seat_counts(state: State, result: State) -> Iterator[str]:
    """Reject a changed number of seats while the zone has active servers.

    Slots are assigned to seat holders by the number of seats.
    """
    for name, zone in state.of(Zone).items():
        after = result.of(Zone).get(name)
        active = any(
            s.zone == name and s.state is ServerState.ACTIVE
            for s in state.of(Server).values()
        )
        if after is not None and after.seats != zone.seats and active:
            yield (
                f"zone {name}: seats is {after.seats}; valid: {zone.seats} "
                "while the zone has active servers"
            )


def _check_moved_servers(state: State, result: State) -> Iterator[str]:
    """Reject a new zone for a server that no earlier ticket has drained.

    Seat holders of the old and the new zone would use its slots together.
    """
    for name, server in state.of(Server).items():
        after = result.of(Server).get(name)
        if server.state is ServerState.DRAIN or after is None:
            continue
        if after.zone != server.zone:
            yield (
                f"server {name}: zone is {after.zone!r}; valid: "
                f"{server.zone!r} unless an earlier ticket drained the server"
            )


def _check_duplicate_links(result: State) -> Iterator[str]:
    seen: dict[tuple[str, str], str] = {}
    for link in result.of(Link).values():
        other = seen.setdefault((link.source, link.target), link.name)
        if other != link.name:
            yield (
                f"link {link.name}: source {link.source!r} and target "
                f"{link.target!r} are those of link {other}"
            )


def _check_duplicate_addresses(result: State) -> Iterator[str]:
    seen: dict[str, str] = {}
    for server in result.of(Server).values():
        other = seen.setdefault(server.address, server.name)
        if other != server.name:
            yield (
                f"server {server.name}: address {server.address} is already "
                f"used by server {other}"
            )


def _check_duplicate_blocks(ticket: Ticket, result: State) -> Iterator[str]:
    """Reject a block of the ticket that another site has too."""
    changed_blocks: dict[tuple[int, int], str] = {}
    for site in ticket.site:
        for block in site.blocks.pairs():
            other = changed_blocks.setdefault(block, site.name)
            if other != site.name:
                yield (
                    f"site {site.name}: block {_format_block(block)} is "
                    f"already in site {other}"
                )
    if not changed_blocks:
        return
    changed = {site.name for site in ticket.site}
    for site in result.of(Site).values():
        if site.name in changed:
            continue
        for block in site.blocks.pairs():
            if block in changed_blocks:
                yield (
                    f"site {changed_blocks[block]}: block "
                    f"{_format_block(block)} is already in site {site.name}"
                )


def _format_block(block: tuple[int, int]) -> str:
    return f"{ipaddress.IPv4Address(block[0])}/{block[1]}"


def _check_active_zone(result: State) -> Iterator[str]:
    zones = result.of(Zone).values()
    if zones and all(z.state is ZoneState.DRAIN for z in zones):
        yield "every zone is in state drain; valid: at least one active zone"


def _check_site_count(result: State) -> Iterator[str]:
    count = len(result.of(Site))
    if count > SITES_MAX:
        yield f"{count} sites; valid: at most {SITES_MAX}"


def _check_competing_shifts(result: State) -> Iterator[str]:
    seen: dict[tuple[str, str], str] = {}
    for shift in result.of(Shift).values():
        if shift.state is ShiftState.ENDED:
            continue
        key = (shift.service, shift.source)
        other = seen.setdefault(key, shift.name)
        if other != shift.name:
            yield (
                f"shift {shift.name}: shift {other} already moves "
                f"{shift.service} from {shift.source}; valid: one at a time"
            )
