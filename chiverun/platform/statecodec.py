"""Decoding of the operators' desired state.

An unknown or invalid value affects the route, service or limit that it
belongs to. Everything else of the desired state is in force.
"""

from collections.abc import Callable
from typing import Any
from typing import TypeVar

import msgspec

from chiverun.core.accounts import digest_of
from chiverun.core.catalog import ClientAccount
from chiverun.core.catalog import ClientLimits
from chiverun.core.catalog import DesiredState
from chiverun.core.catalog import Part
from chiverun.core.catalog import Route
from chiverun.core.catalog import ServiceSpec
from chiverun.core.catalog import StateFault
from chiverun.core.catalog import StateVersion
from chiverun.core.headertext import encode_target
from chiverun.core.ids import AccountName
from chiverun.core.ids import KeyDigest
from chiverun.core.ids import RegionName
from chiverun.core.ids import ServiceName
from chiverun.platform import values

# Kinds of routes, and whether their requests may run more than once.
_REPEATABLE_BY_KIND = {"safe": True, "unsafe": False, "upload": False}
# Matches each host or path that no readable route matches.
_ANY = ""

T = TypeVar("T")


class _Faults:
    """Collects the parts of a desired state that cannot be read."""

    def __init__(self) -> None:
        self.rows: list[StateFault] = []

    def add(self, place: str, reason: str) -> None:
        """Record a part and why it cannot be read."""
        self.rows.append(StateFault(place=place, reason=reason))

    def read(self, place: str, read: Callable[[], T], default: T) -> T:
        """Return a value, or a default that is safe if it is invalid."""
        try:
            return read()
        except values.InvalidValueError as exc:
            self.add(place, str(exc))
            return default


def decode_state(body: Any) -> DesiredState:
    """Decode a desired state.

    Raises
    ------
    InvalidValueError
        If the version is invalid, or a list of routes or services is missing.
    """
    faults = _Faults()
    routes = [
        route
        for listener in values.field(body, "listeners", list)
        for route in _decode_listener(listener, faults)
    ]
    specs = [
        _decode_service(row, faults)
        for row in values.field(body, "clusters", list)
    ]
    return DesiredState(
        version=StateVersion(values.integer(body, "version")),
        routes=tuple(routes),
        services=tuple(spec for spec in specs if spec is not None),
        limits=_decode_limits(values.field(body, "limits", dict), faults),
        accounts=_decode_accounts(body.get("tenants"), faults),
        faults=tuple(faults.rows),
    )


def _decode_listener(listener: Any, faults: _Faults) -> list[Route]:
    host = _ANY
    try:
        host = values.field(listener, "host", str).lower()
        rules = values.field(listener, "rules", list)
    except values.InvalidValueError as exc:
        faults.add(f"listener {host or 'without a host'}", str(exc))
        return [_unreadable_route(host, _ANY, str(exc))]
    return [_decode_rule(host, rule, faults) for rule in rules]


def _decode_rule(host: str, rule: Any, faults: _Faults) -> Route:
    name = rule.get("name") if isinstance(rule, dict) else None
    place = f"route {name!r} of {host}"
    prefix = _ANY
    try:
        match = values.field(rule, "match", dict)
        prefix = encode_target(values.field(match, "prefix", str))
        return _decode_route(place, host, prefix, rule, faults)
    except values.InvalidValueError as exc:
        faults.add(place, str(exc))
        return _unreadable_route(host, prefix, str(exc))


def _decode_route(
    place: str, host: str, prefix: str, rule: dict, faults: _Faults
) -> Route:
    action = values.field(rule, "action", dict)
    return Route(
        name=faults.read(place, lambda: values.field(rule, "name", str), ""),
        host=host,
        prefix=prefix,
        repeatable=faults.read(place, lambda: _is_repeatable(rule), False),
        parts=_decode_parts(action),
        timeout_s=values.duration_s(action, "timeout"),
        objective_s=values.duration_s(rule, "targetLatency"),
        attempts=values.integer(action, "maxAttempts", minimum=1),
        priority=faults.read(place, lambda: _priority(rule), 0),
        sticky=bool(rule.get("sticky")),
        homes=_decode_homes(action),
        public=faults.read(place, lambda: _is_public(rule), False),
    )


def _unreadable_route(host: str, prefix: str, reason: str) -> Route:
    return Route(
        name="",
        host=host,
        prefix=prefix,
        repeatable=False,
        parts=(),
        timeout_s=0.0,
        objective_s=0.0,
        attempts=1,
        priority=0,
        sticky=False,
        homes=(),
        fault=reason,
    )


def _is_repeatable(rule: dict) -> bool:
    kind = rule.get("kind")
    if not isinstance(kind, str) or kind not in _REPEATABLE_BY_KIND:
        raise values.InvalidValueError(
            f"kind: {kind!r} is not valid; expected one of "
            f"{', '.join(_REPEATABLE_BY_KIND)}"
        )
    return _REPEATABLE_BY_KIND[kind]


def _is_public(rule: dict) -> bool:
    if rule.get("public") is None:
        return False
    return values.field(rule, "public", bool)


def _priority(rule: dict) -> int:
    return values.integer(rule, "priority") if rule.get("priority") else 0


def _decode_parts(action: dict) -> tuple[Part, ...]:
    if not action.get("split"):
        service = ServiceName(values.field(action, "service", str))
        return (Part(service=service, weight=1.0),)
    rows = values.field(action, "split", list)
    try:
        return tuple(
            Part(
                service=ServiceName(values.field(row, "service", str)),
                weight=values.number(row, "weight"),
            )
            for row in rows
        )
    except values.InvalidValueError as exc:
        raise values.InvalidValueError(f"split: {exc}") from exc


def _decode_homes(action: dict) -> tuple[RegionName, ...]:
    if action.get("homeRegions") is None:
        return ()
    homes = values.field(action, "homeRegions", list)
    if not all(isinstance(home, str) for home in homes):
        raise values.InvalidValueError(
            f"homeRegions: {homes!r} is not a list of region names"
        )
    return tuple(RegionName(home) for home in homes)


def _decode_accounts(
    rows: Any, faults: _Faults
) -> tuple[ClientAccount, ...] | None:
    """Decode the client accounts; None if none are declared.

    A key in several accounts is that of an unreadable one.
    """
    if rows is None or rows == []:
        return None
    if not isinstance(rows, list):
        reason = f"{type(rows).__name__} is not valid; expected a list"
        faults.add("accounts", reason)
        return (_unreadable_account("", (), reason),)
    accounts = [_decode_account(row, faults) for row in rows]
    return _without_shared_keys([a for a in accounts if a], faults)


def _decode_account(body: Any, faults: _Faults) -> ClientAccount | None:
    try:
        name = AccountName(values.field(body, "name", str))
        values.check_header_value(name, "name")
    except values.InvalidValueError as exc:
        faults.add("account without a valid name", str(exc))
        return None
    place = f"account {name!r}"
    digests = _decode_keys(body, place, faults)
    try:
        return ClientAccount(
            name=name,
            key_digests=digests,
            priority=values.integer(body, "priority")
            if body.get("priority") is not None
            else None,
            per_s=values.number(body, "ratePerS")
            if body.get("ratePerS")
            else None,
            burst=values.number(body, "burst") if body.get("burst") else 0.0,
            homes=_decode_homes(body),
        )
    except values.InvalidValueError as exc:
        faults.add(place, str(exc))
        return _unreadable_account(name, digests, str(exc))


def _decode_keys(
    body: dict, place: str, faults: _Faults
) -> tuple[KeyDigest, ...]:
    """Return digests of the valid keys; no fault quotes a key."""
    rows = body.get("apiKeys") or []
    if not isinstance(rows, list):
        faults.add(place, "apiKeys: expected a list")
        return ()
    valid = [key for key in rows if isinstance(key, str) and key.strip()]
    if len(valid) < len(rows):
        invalid = len(rows) - len(valid)
        faults.add(place, f"apiKeys: {invalid} of {len(rows)} are no text")
    return tuple(digest_of(key) for key in valid)


def _unreadable_account(
    name: str, digests: tuple[KeyDigest, ...], reason: str
) -> ClientAccount:
    return ClientAccount(
        name=AccountName(name), key_digests=digests, fault=reason
    )


def _without_shared_keys(
    accounts: list[ClientAccount], faults: _Faults
) -> tuple[ClientAccount, ...]:
    """Move keys that several accounts have to nameless, unreadable ones."""
    owners: dict[KeyDigest, set[AccountName]] = {}
    for account in accounts:
        for digest in account.key_digests:
            owners.setdefault(digest, set()).add(account.name)
    shared = {key: names for key, names in owners.items() if len(names) > 1}
    if not shared:
        return tuple(accounts)
    extra = []
    for digest, names in shared.items():
        reason = f"apiKeys: one key of {', '.join(sorted(names))}"
        faults.add("accounts", reason)
        extra.append(_unreadable_account("", (digest,), reason))
    kept = [
        msgspec.structs.replace(
            account,
            key_digests=tuple(
                digest
                for digest in account.key_digests
                if digest not in shared
            ),
        )
        for account in accounts
    ]
    return (*kept, *extra)


def _decode_service(body: Any, faults: _Faults) -> ServiceSpec | None:
    try:
        name = ServiceName(values.field(body, "name", str))
    except values.InvalidValueError as exc:
        faults.add("service without a name", str(exc))
        return None
    place = f"service {name}"
    low = ServiceSpec(name=name)
    return ServiceSpec(
        name=name,
        health_path=faults.read(
            place,
            lambda: values.field(body, "healthPath", str),
            low.health_path,
        ),
        connections_max=faults.read(
            place,
            lambda: values.integer(body, "maxConns", minimum=1),
            low.connections_max,
        ),
        cold_s=faults.read(
            place, lambda: values.duration_s(body, "coldStart"), low.cold_s
        ),
        cold_per_s=faults.read(
            place, lambda: values.number(body, "coldPerS"), low.cold_per_s
        ),
    )


def _decode_limits(body: dict, faults: _Faults) -> ClientLimits:
    readers = {
        "header_bytes": lambda: values.integer(
            body, "maxHeaderBytes", minimum=1
        ),
        "body_bytes": lambda: values.integer(body, "maxBodyBytes"),
        "header_timeout_s": lambda: values.duration_s(body, "headerTimeout"),
        "idle_timeout_s": lambda: values.duration_s(body, "idleTimeout"),
    }
    limits = ClientLimits()
    for name, read in readers.items():
        value = faults.read("limits", read, getattr(limits, name))
        limits = msgspec.structs.replace(limits, **{name: value})
    return limits
