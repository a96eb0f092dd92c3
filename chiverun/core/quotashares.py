"""Shares of the limits of client accounts that instances own.

The shares follow from records that all instances hold. They add up to the
limit, whichever instances can reach each other.
"""

from collections.abc import Collection

from chiverun.core.catalog import ClientAccount
from chiverun.core.catalog import Machine
from chiverun.core.edgesettings import EdgeBounds
from chiverun.core.ids import AccountName
from chiverun.core.ids import InstanceId
from chiverun.core.placement import hash_fraction

# Part of the allowed excess that is added to the burst as capacity.
RESERVE_PART = 0.7
# Part of the excess that a new coordinator's buckets may start with. Both
# parts together stay below 1: shares that two instances compute from different
# records of the fleet add up to more than the limit for a moment.
START_PART = 0.25
# An instance with less capacity could never hold a whole token.
CAPACITY_PER_SHARE = 1.25


def excess_of(account: ClientAccount, bounds: EdgeBounds) -> float:
    """Return the requests in a window that are allowed above the limit."""
    limit = account.per_s * bounds.quota_window_s + account.burst
    return bounds.quota_excess * limit + bounds.quota_extra


def capacity_of(account: ClientAccount, bounds: EdgeBounds) -> float:
    """Return the tokens that all buckets and lease holders may have."""
    excess = excess_of(account, bounds)
    return max(1.0, account.burst + RESERVE_PART * excess)


class ShareTable:
    """Instances that share the limits of accounts.

    A limit with much capacity is shared equally by all instances, a small one
    by some of them, so that each share can hold whole tokens. The number of
    these in a zone is in proportion to its size, so that a zone that is cut
    off has about its part of each limit.
    """

    def __init__(self, machines: Collection[Machine]) -> None:
        self._zones: list[tuple[int, list[InstanceId]]] = []
        rows = sorted((m.region, m.zone, m.name) for m in machines)
        self.names = frozenset(name for _, _, name in rows)
        last = None
        for position, (region, zone, name) in enumerate(rows):
            if (region, zone) != last:
                self._zones.append((position, []))
                last = (region, zone)
            self._zones[-1][1].append(name)

    def owners(
        self, account: AccountName, capacity: float
    ) -> frozenset[InstanceId]:
        """Return the instances that own equal shares of a limit."""
        count = max(1, int(capacity / CAPACITY_PER_SHARE))
        size = len(self.names)
        if count >= size:
            return self.names
        shift = hash_fraction(f"quota\0{account}")
        owners: list[InstanceId] = []
        for start, names in self._zones:
            first = int(start * count / size + shift)
            last = int((start + len(names)) * count / size + shift)
            ranked = sorted(
                names, key=lambda name: hash_fraction(f"{account}\0{name}")
            )
            owners += ranked[: last - first]
        return frozenset(owners)
