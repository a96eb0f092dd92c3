"""Tokens of client accounts that an instance holds."""

import dataclasses
import heapq
import math

from chiverun.core.edgemessages import QUOTA_ROWS_MAX
from chiverun.core.edgemessages import QuotaDemand
from chiverun.core.edgemessages import QuotaTokens
from chiverun.core.ids import AccountName

# Interval of reports, for each PERIOD_INSTANCES of the fleet.
REPORT_PERIOD_S = 0.25
PERIOD_INSTANCES = 100
# Time that tokens stay valid, at least, and in periods: a report may be lost.
TOKEN_LIFE_S = 1.5
TOKEN_LIFE_PERIODS = 3.0
# Demand is forgotten after this time without a request.
DEMAND_MEMORY_S = 10.0
# Time constant of the demand estimate.
DEMAND_MEAN_S = 1.0
# Demand is reported for this time. It does not grow with the period: lease
# holders with much demand ask as soon as few tokens are left.
EXPECTED_S = 0.375
# A stock of tokens is the expected demand of this time. It is longer than it
# takes to replace a coordinator, so that the requests meanwhile need not wait.
STOCK_S = 1.2
# An instance with steady demand asks for tokens when those left are used up in
# this time, somewhat more than a round trip between regions.
STEADY_PER_S = 1.0
LOW_S = 0.1


def report_period_s(instances: int) -> float:
    """Return the interval of reports in a fleet."""
    return REPORT_PERIOD_S * max(1, math.ceil(instances / PERIOD_INSTANCES))


def token_life_s(instances: int) -> float:
    """Return the time that tokens stay valid in a fleet."""
    return max(TOKEN_LIFE_S, TOKEN_LIFE_PERIODS * report_period_s(instances))


@dataclasses.dataclass(kw_only=True)
class HeldTokens:
    """Tokens of one account and its demand; times are monotonic seconds.

    `rate` is the smoothed demand in requests a second as of `counted_at`,
    `requests` have come since the last report. `returned` tokens go back with
    the next report. `waiting` requests have found no token, and none is
    expected before `none_before`.
    """

    tokens: int = 0
    expires_at: float = float("-inf")
    rate: float = 0.0
    requests: int = 0
    used_at: float = float("-inf")
    counted_at: float = float("-inf")
    returned: int = 0
    waiting: int = 0
    none_before: float = float("-inf")


class TokenCache:
    """Tokens by account, as granted by a coordinator."""

    def __init__(self) -> None:
        self.rows: dict[AccountName, HeldTokens] = {}
        # Whether an account with steady demand has few tokens left.
        self.is_low = False

    def take(self, account: AccountName, now: float) -> bool:
        """Take a token for a new request; return whether there was one."""
        row = self.rows.get(account)
        if row is None:
            row = self.rows[account] = HeldTokens(counted_at=now)
        row.requests += 1
        row.used_at = now
        return self._take(row, now)

    def take_waiting(self, account: AccountName, now: float) -> bool:
        """Take a token for a request that has waited."""
        row = self.rows.get(account)
        return row is not None and self._take(row, now)

    def _take(self, row: HeldTokens, now: float) -> bool:
        if row.tokens <= 0 or now >= row.expires_at:
            return False
        row.tokens -= 1
        is_steady = row.rate >= STEADY_PER_S and row.none_before <= now
        if is_steady and row.tokens <= LOW_S * row.rate:
            self.is_low = True
        return True

    def give_back(self, account: AccountName, now: float) -> None:
        """Return the token of a request that did not run.

        It is lost if all others have expired, since it may have too.
        """
        row = self.rows.get(account)
        if row is not None and now < row.expires_at:
            row.tokens += 1

    def none_for_s(self, account: AccountName, now: float) -> float:
        """Return the time for which the account has no tokens."""
        row = self.rows.get(account)
        return 0.0 if row is None else max(0.0, row.none_before - now)

    def demands(self, now: float, period_s: float) -> list[QuotaDemand]:
        """Return the accounts with recent demand, for a report."""
        self.is_low = False
        demands = []
        recent = sorted(
            self.rows.items(), key=lambda item: item[1].used_at, reverse=True
        )
        for account, row in recent:
            if now >= row.expires_at:
                row.tokens = 0
            # Refused requests, too: there may be tokens earlier than told.
            is_new = row.requests > 0 or row.none_before > now
            _count(row, now)
            demand = _demand(account, row, period_s, now)
            is_over = not demand.stock and not demand.returned
            if is_over or len(demands) >= QUOTA_ROWS_MAX:
                # The coordinator takes what is not reported for spent.
                del self.rows[account]
                continue
            has_tokens = demand.held or demand.returned
            if not (is_new or has_tokens or _is_wanted(demand)):
                continue
            row.returned = 0
            demands.append(demand)
        return demands

    def apply(
        self,
        tokens: list[QuotaTokens],
        *,
        sent_at: float,
        life_s: float,
        now: float,
    ) -> None:
        """Apply the answer to a report sent at `sent_at`."""
        for granted in tokens:
            row = self.rows.get(granted.account)
            if row is None:
                continue
            row.expires_at = sent_at + life_s
            if granted.tokens >= 0:
                row.tokens += granted.tokens
            else:
                returned = min(row.tokens, -granted.tokens)
                row.tokens -= returned
                row.returned += returned
            row.none_before = now + granted.wait_s

    def held(self, count: int, now: float) -> dict[AccountName, int]:
        """Return the accounts with most tokens here, and these."""
        valid = {
            account: row.tokens
            for account, row in self.rows.items()
            if row.tokens > 0 and now < row.expires_at
        }
        most = heapq.nlargest(count, valid, key=lambda name: valid[name])
        return {account: valid[account] for account in most}

    def clear(self) -> None:
        """Drop all tokens."""
        self.rows.clear()


def _demand(
    account: AccountName, row: HeldTokens, period_s: float, now: float
) -> QuotaDemand:
    """Return the demand of an account, and all tokens if there is none."""
    if now - row.used_at > DEMAND_MEMORY_S and not row.waiting:
        row.returned += row.tokens
        row.tokens = 0
        stock = 0.0
    else:
        stock = max(1.0, row.rate * max(STOCK_S, 2 * period_s))
    return QuotaDemand(
        account=account,
        held=row.tokens,
        returned=row.returned,
        waiting=row.waiting,
        expected=round(row.rate * EXPECTED_S, 3),
        stock=round(stock, 3),
    )


def _is_wanted(demand: QuotaDemand) -> bool:
    """Return whether tokens are needed soon."""
    return demand.waiting > 0 or demand.expected >= 1


def _count(row: HeldTokens, now: float) -> None:
    """Update the demand estimate with the requests since the last report."""
    elapsed_s = now - row.counted_at
    if elapsed_s <= 0:
        return
    weight = 1 - math.exp(-elapsed_s / DEMAND_MEAN_S)
    row.rate += weight * (row.requests / elapsed_s - row.rate)
    row.requests = 0
    row.counted_at = now
