"""Client accounts by API key.

Keys are kept as digests, so that no message or dump of a process shows one.
"""

import dataclasses
import hashlib
from collections.abc import Collection

from chiverun.core.catalog import ClientAccount
from chiverun.core.catalog import DesiredState
from chiverun.core.catalog import StateFault
from chiverun.core.ids import KeyDigest
from chiverun.core.ids import RegionName

# Long enough that no two keys have the same digest.
DIGEST_BYTES = 16


def digest_of(key: str) -> KeyDigest:
    """Return the digest of an API key."""
    data = key.encode("utf-8", "surrogateescape")
    return KeyDigest(hashlib.blake2b(data, digest_size=DIGEST_BYTES).digest())


@dataclasses.dataclass(frozen=True, kw_only=True)
class KnownKey:
    """The key belongs to a client account."""

    account: ClientAccount


@dataclasses.dataclass(frozen=True, kw_only=True)
class UnknownKey:
    """No client account has the key, or there is none."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class UndecidedKey:
    """The accounts that may have the key cannot be read."""

    reason: str


KeyOwner = KnownKey | UnknownKey | UndecidedKey


class AccountTable:
    """Index of the client accounts of a desired state by key.

    Parameters
    ----------
    accounts : Collection[ClientAccount] or None
        None while requests need no key.
    """

    def __init__(self, accounts: Collection[ClientAccount] | None) -> None:
        self.is_required = accounts is not None
        # An account whose keys are not known may be the owner of any key.
        self._keyless_fault = next(
            (
                account.fault
                for account in accounts or ()
                if account.fault is not None and not account.key_digests
            ),
            None,
        )
        self._by_digest: dict[KeyDigest, ClientAccount] = {
            digest: account
            for account in accounts or ()
            for digest in account.key_digests
        }

    def owner(self, key: str | None) -> KeyOwner:
        """Return whose key it is."""
        if key is None:
            return UnknownKey()
        account = self._by_digest.get(digest_of(key))
        if account is None and self._keyless_fault is not None:
            return UndecidedKey(reason=self._keyless_fault)
        if account is None:
            return UnknownKey()
        if account.fault is not None:
            return UndecidedKey(reason=account.fault)
        return KnownKey(account=account)


def unknown_homes(
    state: DesiredState, regions: Collection[RegionName]
) -> list[StateFault]:
    """Return the home regions that do not exist.

    They serve nothing, and the other homes stay in force.
    """
    rows = [
        (f"route {route.name!r} of {route.host}", route.homes)
        for route in state.routes
    ]
    rows += [
        (f"account {account.name!r}", account.homes)
        for account in state.accounts or ()
    ]
    return [
        StateFault(
            place=place,
            reason=f"home {home!r} is not valid; expected one of "
            f"{', '.join(sorted(regions))}",
        )
        for place, homes in rows
        for home in homes
        if home not in regions
    ]
