"""Token bucket of a client account, from which tokens are leased."""

import dataclasses
import math

from chiverun.core.edgemessages import QuotaDemand
from chiverun.core.ids import InstanceId

# Lease holders get tokens in advance only above this part of the capacity, or
# the burst if it is larger, and return those below the second part.
AMPLE_PART = 0.5
SCARCE_PART = 0.25
# Bounds of the wait that lease holders are told. The maximum is also told
# while no share is delegated.
WAIT_MIN_S = 0.02
WAIT_MAX_S = 10.0


@dataclasses.dataclass(kw_only=True)
class Lease:
    """Tokens leased to a holder, and its demand beyond them."""

    tokens: int = 0
    unmet: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class DepositChange:
    """An instance that begins or ceases to delegate its share.

    Nobody has used it for `unused_s`.
    """

    at: float
    holder: InstanceId
    sign: int
    unused_s: float = 0.0
    starts_filled: bool = False


@dataclasses.dataclass(kw_only=True)
class Bucket:
    """Tokens of one account; `fraction` is the delegated part of its limit.

    `per_s`, `burst`, `capacity` and `start`, the tokens of a new bucket, are
    of the whole limit. `outstanding` tokens are leased, `unmet` ones wanted
    beyond the leases.
    """

    per_s: float
    burst: float
    capacity: float
    start: float
    owners: frozenset[InstanceId]
    fraction: float
    level: float
    updated_at: float
    used_at: float
    changes_seen: int
    outstanding: int = 0
    unmet: float = 0.0
    is_exhausted: bool = False
    changed_at: float = 0.0
    leases: dict[InstanceId, Lease] = dataclasses.field(default_factory=dict)

    @property
    def limit(self) -> float:
        """Return the capacity of the delegated shares."""
        return self.capacity * self.fraction

    def accrue(self, now: float) -> None:
        """Add the tokens of the time since the last update."""
        elapsed_s = max(0.0, now - self.updated_at)
        self.level += elapsed_s * self.per_s * self.fraction
        self.updated_at = max(self.updated_at, now)
        self.clip()

    def clip(self) -> None:
        """Drop tokens above the capacity."""
        self.level = min(self.level, max(0.0, self.limit - self.outstanding))

    def apply(self, change: DepositChange) -> None:
        """Change the delegated part."""
        if change.holder not in self.owners:
            return
        self.accrue(change.at)
        part = 1 / len(self.owners)
        self.fraction = max(0.0, self.fraction + change.sign * part)
        if change.sign > 0:
            filled = self.filled(change.unused_s, change.starts_filled)
            self.level += filled * part
        self.clip()

    def filled(self, unused_s: float, starts_filled: bool) -> float:
        """Return the tokens of the whole limit after a time without use."""
        start = self.start if starts_filled else 0.0
        return min(self.capacity, self.per_s * unused_s + start)

    def wait_s(self) -> float:
        """Return the expected time until a token is left."""
        rate = self.per_s * self.fraction
        if rate <= 0:
            return WAIT_MAX_S
        missing = max(0.0, self.unmet + 1.0 - self.level)
        return min(WAIT_MAX_S, max(WAIT_MIN_S, missing / rate))

    def settle(self, lease: Lease, demand: QuotaDemand) -> None:
        """Apply what a lease holder still has and what it returns."""
        spent = lease.tokens - demand.held
        self.outstanding -= spent
        self.level += min(demand.returned, max(0, spent))
        self.unmet = max(0.0, self.unmet - lease.unmet)
        self.clip()

    def tokens_for(self, demand: QuotaDemand) -> int:
        """Return the tokens to add to those held, negative for a return.

        Requests that wait and steady demand may use up the bucket, a stock
        only what exceeds the burst and half of the capacity. So a request of
        an account that is seldom used finds a token at any instance.
        """
        steady = int(demand.expected)
        firm = max(0, demand.waiting + steady - demand.held)
        left = int(self.level)
        ample = max(AMPLE_PART * self.capacity, self.burst) * self.fraction
        if firm > left:
            return left
        stock = demand.waiting + max(math.ceil(demand.stock), steady)
        wanted = max(0, stock - demand.held - firm)
        extra = min(wanted, max(0, int(self.level - firm - ample)))
        if firm + extra:
            return firm + extra
        is_scarce = self.level < SCARCE_PART * self.limit
        is_over = self.outstanding > self.limit
        if is_scarce or is_over:
            keep = demand.waiting + steady
        else:
            keep = stock + max(2, stock)
        return min(0, keep - demand.held)
