"""Admits requests against the tokens of their accounts; some wait for one."""

import collections
import dataclasses
from collections.abc import Callable

from chiverun.core.edgemessages import QuotaGrant
from chiverun.core.edgemessages import QuotaReport
from chiverun.core.ids import AccountName
from chiverun.core.ids import Address
from chiverun.core.quota import Admitted
from chiverun.core.quota import Exceeded
from chiverun.core.quota import QuotaReason
from chiverun.core.quotabucket import WAIT_MAX_S as NO_SHARE_WAIT_S
from chiverun.core.quotaclient import Outgoing
from chiverun.core.quotaclient import QuotaClient

# A request waits for a token this long at most, and this part of the time that
# it has left: the rest is for the request itself.
WAIT_MAX_S = 0.3
WAIT_PART = 0.25
# Time to return when no coordinator has said another.
RETRY_S = 0.3

_ADMITTED = Admitted()


@dataclasses.dataclass(eq=False, kw_only=True)
class Waiter:
    """A request that waits for a token until a time."""

    account: AccountName
    until: float
    done: Callable[[Admitted | Exceeded], None]


class QuotaAdmission:
    """Admits requests.

    Parameters
    ----------
    client : QuotaClient
    send : Callable
        Sends a report to an address.
    """

    def __init__(
        self,
        *,
        client: QuotaClient,
        send: Callable[[Address, QuotaReport], None],
    ) -> None:
        self.client = client
        self._send = send
        self._tokens = client.tokens
        self._waiters: dict[AccountName, collections.deque[Waiter]] = {}

    def admit(
        self, account: AccountName, now: float, deadline: float
    ) -> Admitted | Exceeded | None:
        """Return the outcome for a request, None if it has to wait."""
        if self._tokens.take(account, now):
            if self._tokens.is_low:
                self._post(self.client.ask(now), now)
            return _ADMITTED
        wait_s = self._tokens.none_for_s(account, now)
        if wait_s > _wait_max_s(now, deadline):
            return _exceeded(wait_s)
        return None

    def wait(
        self,
        account: AccountName,
        now: float,
        deadline: float,
        done: Callable[[Admitted | Exceeded], None],
    ) -> Waiter:
        """Let a request wait for a token; `done` gets the outcome."""
        until = now + _wait_max_s(now, deadline)
        waiter = Waiter(account=account, until=until, done=done)
        self._waiters.setdefault(account, collections.deque()).append(waiter)
        self._count(account)
        has_none = self._tokens.none_for_s(account, now) > 0
        try:
            self._post([] if has_none else self.client.ask(now), now)
        except Exception:
            self.cancel(waiter)
            raise
        return waiter

    def cancel(self, waiter: Waiter) -> None:
        """Forget a request that waits no longer."""
        rows = self._waiters.get(waiter.account)
        if rows is not None and waiter in rows:
            rows.remove(waiter)
            self._count(waiter.account)

    def give_back(self, account: AccountName, now: float) -> None:
        """Return the token of a request that did not run."""
        self._tokens.give_back(account, now)

    def receive(self, grant: QuotaGrant, now: float) -> None:
        """Apply a grant."""
        self._post(self.client.receive(grant, now), now)

    def tick(self, now: float) -> None:
        """Send what is due, and end the waiting of requests."""
        try:
            self._post(self.client.tick(now), now)
        finally:
            # No request may wait longer because of an unexpected error.
            self._serve_waiters(now)

    def next_at(self) -> float:
        """Return when the next tick is due."""
        ends = [rows[0].until for rows in self._waiters.values() if rows]
        return min([self.client.next_at(), *ends])

    def close(self) -> None:
        """End all waiting; used when no account has a limit any more."""
        for account in list(self._waiters):
            for waiter in self._waiters.pop(account):
                waiter.done(_ADMITTED)
        self.client.suspend()

    def _post(self, outgoing: list[Outgoing], now: float) -> None:
        for address, report in outgoing:
            self._send(address, report)
        self._serve_waiters(now)

    def _serve_waiters(self, now: float) -> None:
        for account in list(self._waiters):
            rows = self._waiters[account]
            self._serve(account, rows, now)
            if not rows:
                del self._waiters[account]
            self._count(account)

    def _serve(
        self, account: AccountName, rows: collections.deque[Waiter], now: float
    ) -> None:
        while rows and self._tokens.take_waiting(account, now):
            rows.popleft().done(_ADMITTED)
        wait_s = self._tokens.none_for_s(account, now)
        for waiter in list(rows):
            if now >= waiter.until or now + wait_s > waiter.until:
                rows.remove(waiter)
                waiter.done(_exceeded(wait_s))
        if rows:
            self.client.ask_at(now + wait_s)

    def _count(self, account: AccountName) -> None:
        row = self._tokens.rows.get(account)
        if row is not None:
            row.waiting = len(self._waiters.get(account, ()))


def _exceeded(wait_s: float) -> Exceeded:
    """Return the outcome if there are no tokens, for a time if it is known.

    Without a share of the limit it is not: another instance may have one.
    """
    if 0 < wait_s < NO_SHARE_WAIT_S:
        return Exceeded(wait_s=wait_s)
    return Exceeded(wait_s=RETRY_S, reason=QuotaReason.NO_ANSWER)


def _wait_max_s(now: float, deadline: float) -> float:
    """Return how long a request may wait for a token."""
    return min(WAIT_MAX_S, WAIT_PART * max(0.0, deadline - now))
