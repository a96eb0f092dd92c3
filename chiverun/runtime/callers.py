"""Whom a request is from, and whether its key is still valid."""

import dataclasses
from collections.abc import Callable

from chiverun.core.accounts import AccountTable
from chiverun.core.accounts import KeyOwner
from chiverun.core.accounts import KnownKey
from chiverun.core.accounts import UndecidedKey
from chiverun.core.accounts import UnknownKey
from chiverun.core.catalog import ClientAccount
from chiverun.core.catalog import Route
from chiverun.core.ids import RegionName
from chiverun.runtime.headercodec import CallerIdentity
from chiverun.runtime.headercodec import RequestMetadata

# Above this age of the catalog, an unknown key may have just been added.
UNKNOWN_KEY_AGE_MAX_S = 2.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Caller:
    """Who sends a request.

    `account` is None on a public route; `identity` too while no client
    accounts are declared. `permitted_regions` are the regions that may serve
    the request; empty means all.
    """

    account: ClientAccount | None
    identity: CallerIdentity | None
    permitted_regions: tuple[RegionName, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class DisjointHomes:
    """The homes of route and account have no region in common."""

    account: ClientAccount


class Callers:
    """Identifies callers by the client accounts of the desired state.

    Parameters
    ----------
    catalog_age_s : Callable
        Returns the time since the catalog was last confirmed as current.
    key_trust_s : float or None
        Age of the catalog up to which keys are trusted, None without a limit.
    """

    def __init__(
        self,
        *,
        catalog_age_s: Callable[[], float],
        key_trust_s: float | None,
    ) -> None:
        self.accounts = AccountTable(None)
        self._catalog_age_s = catalog_age_s
        self._key_trust_s = key_trust_s

    def identify(
        self, metadata: RequestMetadata, route: Route
    ) -> Caller | UnknownKey | UndecidedKey | DisjointHomes:
        """Return who sends a request."""
        if not self.accounts.is_required:
            return Caller(
                account=None, identity=None, permitted_regions=route.homes
            )
        if route.public:
            return Caller(
                account=None,
                identity=CallerIdentity(account=None),
                permitted_regions=route.homes,
            )
        owner = self._judge(metadata)
        if not isinstance(owner, KnownKey):
            return owner
        account = owner.account
        regions = _common_regions(route.homes, account.homes)
        if regions is None:
            return DisjointHomes(account=account)
        return Caller(
            account=account,
            identity=CallerIdentity(account=account.name),
            permitted_regions=regions,
        )

    def _judge(self, metadata: RequestMetadata) -> KeyOwner:
        """Return whose key it is, as far as an old catalog can tell."""
        owner = self.accounts.owner(metadata.api_key)
        age_s = self._catalog_age_s()
        match owner:
            case KnownKey() if (
                self._key_trust_s is not None and age_s > self._key_trust_s
            ):
                return UndecidedKey(reason="keys are not trusted any more")
            case UnknownKey() if (
                metadata.api_key and age_s > UNKNOWN_KEY_AGE_MAX_S
            ):
                return UndecidedKey(reason="the key may be new")
            case _:
                return owner

    def is_revoked(
        self, metadata: RequestMetadata, account: ClientAccount | None
    ) -> bool:
        """Return whether a request's key has been taken away meanwhile."""
        if account is None or not self.accounts.is_required:
            return False
        match self.accounts.owner(metadata.api_key):
            case KnownKey(account=owner):
                return owner.name != account.name
            case _:
                return True


def _common_regions(
    first: tuple[RegionName, ...], second: tuple[RegionName, ...]
) -> tuple[RegionName, ...] | None:
    """Return the regions in both; empty means all, None that there is none."""
    if not first or not second:
        return first or second
    return tuple(region for region in first if region in second) or None
