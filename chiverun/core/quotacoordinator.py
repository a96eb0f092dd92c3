"""Token buckets of client accounts, from which tokens are leased.

A coordinator's buckets have the rate and capacity of the shares that instances
delegate to it at the moment. The tokens in a bucket and those that lease
holders have never exceed its capacity together, so that tokens held unused do
not add to the burst.
"""

import dataclasses
import heapq
from collections.abc import Collection
from collections.abc import Mapping

from chiverun.core.catalog import ClientAccount
from chiverun.core.catalog import Machine
from chiverun.core.edgemessages import QuotaDemand
from chiverun.core.edgemessages import QuotaGrant
from chiverun.core.edgemessages import QuotaReport
from chiverun.core.edgemessages import QuotaTokens
from chiverun.core.edgesettings import EdgeBounds
from chiverun.core.ids import AccountName
from chiverun.core.ids import BootId
from chiverun.core.ids import InstanceId
from chiverun.core.quotabucket import Bucket
from chiverun.core.quotabucket import DepositChange
from chiverun.core.quotabucket import Lease
from chiverun.core.quotabucket import SCARCE_PART
from chiverun.core.quotashares import capacity_of
from chiverun.core.quotashares import excess_of
from chiverun.core.quotashares import ShareTable
from chiverun.core.quotashares import START_PART
from chiverun.core.quotatokens import token_life_s

# Lease holders keep what they have for this time after an instance has begun
# to delegate its share: the others that change their coordinator will follow.
SETTLED_S = 1.5
# Until then there may be tokens earlier than the delegated shares promise.
UNSETTLED_WAIT_S = 0.1
# Accounts that are not in use are forgotten after this time.
BUCKET_IDLE_S = 30.0
# Time to return for accounts whose limit this coordinator does not know.
UNKNOWN_WAIT_S = 0.5
# Changes of shares that are kept for buckets that have not been used since.
CHANGES_MAX = 2000


@dataclasses.dataclass(kw_only=True)
class Deposit:
    """Delegation of an instance's share; times are monotonic seconds.

    `end` is when it expires unless it is renewed. Tokens of the share have
    accrued since `start`.
    """

    start: float
    end: float
    starts_filled: bool


@dataclasses.dataclass(kw_only=True)
class _Holder:
    boot_id: BootId
    number: int
    reported_at: float
    accounts: set[AccountName] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Exhaustion:
    """An account that has run out of tokens, or has some again.

    `since_s` is the time since the change before.
    """

    account: AccountName
    is_exhausted: bool
    level: float
    outstanding: int
    unmet: float
    fraction: float
    since_s: float


class QuotaCoordinator:
    """Answers the reports of lease holders.

    Parameters
    ----------
    boot_id : BootId
        Process lifetime; times of an earlier one mean nothing.
    """

    def __init__(
        self, *, name: InstanceId, boot_id: BootId, bounds: EdgeBounds
    ) -> None:
        self.name = name
        self.boot_id = boot_id
        self.deposits: dict[InstanceId, Deposit] = {}
        self.buckets: dict[AccountName, Bucket] = {}
        # Accounts that have become exhausted or recovered, to be logged.
        self.exhaustions: list[Exhaustion] = []
        self.is_leaving = False
        self._bounds = bounds
        self._accounts: Mapping[AccountName, ClientAccount] = {}
        self._shares = ShareTable(())
        self._holders: dict[InstanceId, _Holder] = {}
        self._changes: list[DepositChange] = []
        self._next_end = float("inf")
        self._swept_at = float("-inf")
        self._joined_at = float("-inf")

    def set_fleet(self, machines: Collection[Machine], now: float) -> None:
        """Set the instances that share the limits."""
        self._advance_all(now)
        self._shares = ShareTable(machines)
        for name, bucket in self.buckets.items():
            self._reshare(name, bucket)

    def set_accounts(
        self, accounts: Mapping[AccountName, ClientAccount], now: float
    ) -> None:
        """Set the accounts with limits; others are forgotten."""
        self._advance_all(now)
        self._accounts = accounts
        for name, bucket in list(self.buckets.items()):
            account = accounts.get(name)
            if account is None:
                del self.buckets[name]
                continue
            bucket.per_s = account.per_s
            bucket.burst = account.burst
            bucket.capacity = capacity_of(account, self._bounds)
            bucket.start = START_PART * excess_of(account, self._bounds)
            self._reshare(name, bucket)

    @property
    def has_accounts(self) -> bool:
        """Return whether any account has a limit here."""
        return bool(self._accounts)

    def release(self, holder: InstanceId, now: float) -> None:
        """End the delegation of an instance's share."""
        self._expire(now)
        if self.deposits.pop(holder, None) is not None:
            self._changes.append(DepositChange(at=now, holder=holder, sign=-1))

    def handle(self, report: QuotaReport, now: float) -> QuotaGrant | None:
        """Return the answer to a report, None if a later one has come."""
        self._expire(now)
        holder = self._holders.get(report.sender)
        if holder is None or holder.boot_id != report.boot_id:
            holder = _Holder(boot_id=report.boot_id, number=0, reported_at=now)
            self._forget(report.sender)
            self._holders[report.sender] = holder
        if report.number <= holder.number:
            return None
        holder.number = report.number
        holder.reported_at = now
        self._record_deposit(report, now)
        named = {demand.account for demand in report.demands}
        for account in holder.accounts - named:
            self._drop_lease(account, report.sender)
        holder.accounts = named
        return QuotaGrant(
            sender=self.name,
            boot_id=self.boot_id,
            receiver=report.boot_id,
            number=report.number,
            sent_at=now,
            leaving=self.is_leaving,
            tokens=[
                self._grant(report.sender, demand, now)
                for demand in report.demands
            ],
        )

    def leased(
        self, count: int, now: float
    ) -> dict[AccountName, dict[InstanceId, tuple[int, float]]]:
        """Return who holds most tokens of the accounts with most leased.

        With each holder come its tokens and the age of its report in seconds.
        """
        most = heapq.nlargest(
            count,
            self.buckets,
            key=lambda name: self.buckets[name].outstanding,
        )
        return {
            account: {
                holder: (
                    lease.tokens,
                    round(now - self._holders[holder].reported_at, 3),
                )
                for holder, lease in heapq.nlargest(
                    count,
                    self.buckets[account].leases.items(),
                    key=lambda item: item[1].tokens,
                )
                if lease.tokens and holder in self._holders
            }
            for account in most
        }

    def _record_deposit(self, report: QuotaReport, now: float) -> None:
        """Use an instance's share as long as it delegates it.

        The end is counted from a time of this clock before the report was
        sent, so it is not late however long the report was on its way.
        """
        if report.share_s <= 0:
            self.release(report.sender, now)
            return
        if report.echo_boot_id != self.boot_id:
            return
        sent_at = report.echo_sent_at + report.echo_age_s
        if sent_at > now:
            return
        end = sent_at + report.share_s
        deposit = self.deposits.get(report.sender)
        if deposit is not None:
            deposit.end = max(deposit.end, end)
        elif end > now:
            self.deposits[report.sender] = Deposit(
                start=now - report.unused_s,
                end=end,
                starts_filled=report.starts_filled,
            )
            self._next_end = min(self._next_end, end)
            self._joined_at = now
            self._changes.append(
                DepositChange(
                    at=now,
                    holder=report.sender,
                    sign=1,
                    unused_s=report.unused_s,
                    starts_filled=report.starts_filled,
                )
            )

    def _grant(
        self, holder: InstanceId, demand: QuotaDemand, now: float
    ) -> QuotaTokens:
        bucket = self._bucket(demand.account, now)
        if bucket is None:
            # Tokens of an account without a known limit are not renewed.
            return QuotaTokens(
                account=demand.account,
                tokens=-demand.held,
                wait_s=UNKNOWN_WAIT_S,
            )
        lease = bucket.leases.setdefault(holder, Lease())
        bucket.settle(lease, demand)
        tokens = bucket.tokens_for(demand)
        is_settled = now - self._joined_at >= SETTLED_S
        if not is_settled:
            tokens = max(0, tokens)
        granted = max(0, tokens)
        bucket.level -= granted
        bucket.outstanding += granted
        lease.tokens = demand.held + granted
        lease.unmet = max(0.0, demand.waiting + demand.expected - lease.tokens)
        bucket.unmet += lease.unmet
        is_short = bucket.level < 1 and lease.tokens <= demand.waiting
        self._note_exhaustion(demand.account, bucket, is_short)
        wait_s = bucket.wait_s() if is_short else 0.0
        if not is_settled:
            wait_s = min(wait_s, UNSETTLED_WAIT_S)
        return QuotaTokens(
            account=demand.account, tokens=tokens, wait_s=wait_s
        )

    def _note_exhaustion(
        self, account: AccountName, bucket: Bucket, is_short: bool
    ) -> None:
        if not bucket.fraction:
            # The limit is not exhausted: no share of it is delegated here.
            return
        if bucket.is_exhausted:
            is_exhausted = bucket.level < SCARCE_PART * bucket.limit
        else:
            is_exhausted = is_short and bucket.level < 1
        if is_exhausted != bucket.is_exhausted:
            bucket.is_exhausted = is_exhausted
            since_s = bucket.updated_at - bucket.changed_at
            bucket.changed_at = bucket.updated_at
            self.exhaustions.append(
                Exhaustion(
                    account=account,
                    is_exhausted=is_exhausted,
                    level=bucket.level,
                    outstanding=bucket.outstanding,
                    unmet=bucket.unmet,
                    fraction=bucket.fraction,
                    since_s=since_s,
                )
            )

    def _bucket(self, name: AccountName, now: float) -> Bucket | None:
        """Return the bucket of an account as of now."""
        account = self._accounts.get(name)
        if account is None:
            return None
        bucket = self.buckets.get(name)
        if bucket is None:
            bucket = self._new_bucket(account, now)
            self.buckets[name] = bucket
        self._advance(bucket, now)
        bucket.used_at = now
        return bucket

    def _new_bucket(self, account: ClientAccount, now: float) -> Bucket:
        """Return a bucket that has filled since shares were delegated."""
        capacity = capacity_of(account, self._bounds)
        start = START_PART * excess_of(account, self._bounds)
        owners = self._shares.owners(account.name, capacity)
        bucket = Bucket(
            per_s=account.per_s,
            burst=account.burst,
            capacity=capacity,
            start=start,
            owners=owners,
            fraction=self._fraction(owners),
            level=0.0,
            updated_at=now,
            used_at=now,
            changed_at=now,
            changes_seen=len(self._changes),
        )
        for holder in owners & self.deposits.keys():
            deposit = self.deposits[holder]
            filled = bucket.filled(now - deposit.start, deposit.starts_filled)
            bucket.level += filled / len(owners)
        return bucket

    def _reshare(self, name: AccountName, bucket: Bucket) -> None:
        bucket.owners = self._shares.owners(name, bucket.capacity)
        bucket.fraction = self._fraction(bucket.owners)
        bucket.clip()

    def _fraction(self, owners: frozenset[InstanceId]) -> float:
        return len(owners & self.deposits.keys()) / max(1, len(owners))

    def _advance(self, bucket: Bucket, now: float) -> None:
        for change in self._changes[bucket.changes_seen :]:
            bucket.apply(change)
        bucket.changes_seen = len(self._changes)
        bucket.accrue(now)

    def _advance_all(self, now: float) -> None:
        self._expire(now)
        self._apply_changes(now)

    def _apply_changes(self, now: float) -> None:
        """Bring all buckets up to date and forget the changes."""
        for bucket in self.buckets.values():
            self._advance(bucket, now)
            bucket.changes_seen = 0
        self._changes.clear()

    def _expire(self, now: float) -> None:
        """End what has not been renewed."""
        if now >= self._next_end:
            self._expire_deposits(now)
        if len(self._changes) > CHANGES_MAX:
            self._apply_changes(now)
        life_s = token_life_s(len(self._shares.names))
        if now - self._swept_at > life_s:
            self._swept_at = now
            self._sweep(now, 2 * life_s)

    def _expire_deposits(self, now: float) -> None:
        ended = sorted(
            (deposit.end, holder)
            for holder, deposit in self.deposits.items()
            if deposit.end <= now
        )
        for end, holder in ended:
            del self.deposits[holder]
            self._changes.append(DepositChange(at=end, holder=holder, sign=-1))
        self._next_end = min(
            (deposit.end for deposit in self.deposits.values()),
            default=float("inf"),
        )

    def _sweep(self, now: float, life_s: float) -> None:
        """Drop silent lease holders and buckets that are full and unused."""
        for name, holder in list(self._holders.items()):
            if now - holder.reported_at > life_s:
                self._forget(name)
                del self._holders[name]
        for account, bucket in list(self.buckets.items()):
            if now - bucket.used_at < BUCKET_IDLE_S or bucket.leases:
                continue
            self._advance(bucket, now)
            if bucket.level >= bucket.limit:
                del self.buckets[account]

    def _forget(self, holder: InstanceId) -> None:
        row = self._holders.get(holder)
        for account in row.accounts if row is not None else ():
            self._drop_lease(account, holder)

    def _drop_lease(self, account: AccountName, holder: InstanceId) -> None:
        bucket = self.buckets.get(account)
        lease = bucket.leases.pop(holder, None) if bucket else None
        if lease is not None:
            bucket.outstanding -= lease.tokens
            bucket.unmet = max(0.0, bucket.unmet - lease.unmet)
