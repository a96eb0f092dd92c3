"""Admits requests within the limits of client accounts.

Sends reports to the coordinator, waits for its grants, and answers the reports
of other instances. Nothing is sent while no account has a limit.
"""

import asyncio
from collections.abc import Collection

import logbook

from chiverun.core import edgemessages
from chiverun.core.catalog import ClientAccount
from chiverun.core.catalog import Machine
from chiverun.core.edgemessages import QuotaGrant
from chiverun.core.edgemessages import QuotaReport
from chiverun.core.edgesettings import EdgeBounds
from chiverun.core.ids import AccountName
from chiverun.core.ids import Address
from chiverun.core.ids import BootId
from chiverun.core.quota import Admitted
from chiverun.core.quota import Exceeded
from chiverun.core.quotaadmission import QuotaAdmission
from chiverun.core.quotaclient import QuotaClient
from chiverun.core.quotacoordinator import Exhaustion
from chiverun.core.quotacoordinator import QuotaCoordinator
from chiverun.integrations.peers import ZmqPeers
from chiverun.runtime.edgemetrics import EdgeMetrics

_LOG = logbook.Logger("quotas")

# Log lines about exhausted accounts in a second; the others are counted.
EXHAUSTIONS_PER_S = 5
# Tokens of this many accounts are named in a log line, those with most first.
LOGGED_ACCOUNTS = 8
STATUS_PERIOD_S = 10.0
# A limit that is declared while this instance runs takes effect after this
# time, in which all instances learn of it and find their coordinator.
DECLARED_S = 1.0
# Sleep while no account has a limit.
_IDLE_S = 1.0


class QuotaExchange:
    """Implements `AccountQuotas` for an instance."""

    def __init__(
        self,
        *,
        me: Machine,
        boot_id: BootId,
        bounds: EdgeBounds,
        peers: ZmqPeers,
        metrics: EdgeMetrics,
    ) -> None:
        self._me = me
        self._peers = peers
        self._metrics = metrics
        self._loop = asyncio.get_running_loop()
        self._coordinator = QuotaCoordinator(
            name=me.name, boot_id=boot_id, bounds=bounds
        )
        self._client = QuotaClient(
            me=me,
            boot_id=boot_id,
            coordinator=self._coordinator,
            window_s=bounds.quota_window_s,
            now=self._loop.time(),
        )
        self._admission = QuotaAdmission(client=self._client, send=self._send)
        self._accounts: dict[AccountName, ClientAccount] = {}
        self._has_state = False
        self._effective_at: dict[AccountName, float] = {}
        self._fleet: list[Machine] = []
        self._wake = asyncio.Event()
        self._sleeps_until = float("inf")
        self._logged_at = float("-inf")
        self._logged = 0
        self._unlogged = 0
        self._status_at = float("-inf")

    def set_accounts(self, accounts: Collection[ClientAccount] | None) -> None:
        """Apply the accounts of a desired state."""
        limited = {
            account.name: account
            for account in accounts or ()
            if account.per_s is not None and account.fault is None
        }
        now = self._loop.time()
        effective_at = now + DECLARED_S if self._has_state else now
        self._has_state = True
        if limited == self._accounts:
            return
        self._effective_at = {
            name: self._effective_at.get(name, effective_at)
            for name in limited
        }
        self._accounts = limited
        self._coordinator.set_accounts(limited, now)
        if not limited:
            self._admission.close()
        self._wake.set()
        _LOG.info(
            "limits of accounts in force", extra={"limits": len(limited)}
        )

    def set_fleet(self, machines: Collection[Machine]) -> None:
        """Apply the registered instances."""
        fleet = list(machines)
        if fleet == self._fleet:
            return
        now = self._loop.time()
        self._fleet = fleet
        self._coordinator.set_fleet(fleet, now)
        self._client.set_fleet(fleet, now)
        self._wake.set()

    def leave(self) -> None:
        """Let the other instances use another coordinator."""
        self._coordinator.is_leaving = True

    async def admit(
        self, account: ClientAccount, deadline: float
    ) -> Admitted | Exceeded:
        """Admit a request; `deadline` is in event loop time."""
        now = self._loop.time()
        if now < self._effective_at.get(account.name, float("inf")):
            return Admitted()
        outcome = self._admission.admit(account.name, now, deadline)
        if outcome is None:
            outcome = await self._wait(account.name, now, deadline)
        if isinstance(outcome, Exceeded):
            reason = outcome.reason.value
            self._metrics.quota_refused.add(1, {"reason": reason})
        return outcome

    def give_back(self, account: ClientAccount) -> None:
        """Return the token of an admitted request that did not run."""
        self._admission.give_back(account.name, self._loop.time())

    async def _wait(
        self, account: AccountName, now: float, deadline: float
    ) -> Admitted | Exceeded:
        self._metrics.quota_waited.add(1)
        fut: asyncio.Future[Admitted | Exceeded] = self._loop.create_future()

        def done(outcome: Admitted | Exceeded) -> None:
            if not fut.done():
                fut.set_result(outcome)
            elif isinstance(outcome, Admitted):
                self._admission.give_back(account, self._loop.time())

        waiter = self._admission.wait(account, now, deadline, done)
        self._after(now)
        try:
            return await fut
        except asyncio.CancelledError:
            self._admission.cancel(waiter)
            if not fut.cancelled() and isinstance(fut.result(), Admitted):
                self._admission.give_back(account, self._loop.time())
            raise

    def receive(self, message: QuotaReport | QuotaGrant) -> None:
        """Handle a message of another instance."""
        match message:
            case QuotaReport():
                self._answer(message)
            case QuotaGrant():
                self._apply(message)

    def _answer(self, report: QuotaReport) -> None:
        """Answer a report, if the limits are known here."""
        if not self._accounts:
            return
        grant = self._coordinator.handle(report, self._loop.time())
        if grant is not None:
            self._peers.send(report.reply_to, edgemessages.encode(grant))
        self._log_exhaustions()

    def _apply(self, grant: QuotaGrant) -> None:
        """Apply the answer of a coordinator."""
        if not self._accounts:
            return
        now = self._loop.time()
        self._admission.receive(grant, now)
        self._after(now)

    async def run_forever(self) -> None:
        """Send reports when they are due; never returns."""
        while True:
            self._wake.clear()
            await self._sleep(self.tick())

    def tick(self) -> float:
        """Send what is due; return the time until the next call."""
        now = self._loop.time()
        if not self._accounts:
            self._sleeps_until = now + _IDLE_S
            return _IDLE_S
        self._admission.tick(now)
        self._log_changes(now)
        self._log_exhaustions()
        self._log_status(now)
        self._sleeps_until = self._admission.next_at()
        return max(0.0, self._sleeps_until - now)

    async def _sleep(self, seconds: float) -> None:
        try:
            async with asyncio.timeout(seconds):
                await self._wake.wait()
        except TimeoutError:
            pass

    def _after(self, now: float) -> None:
        """Tick earlier if something is due before."""
        if self._admission.next_at() < self._sleeps_until:
            self._wake.set()
        self._log_changes(now)

    def _send(self, address: Address, report: QuotaReport) -> None:
        self._peers.send(address, edgemessages.encode(report))

    def _log_changes(self, now: float) -> None:
        for change in self._client.changes:
            _LOG.info(
                "quota coordinator changed",
                extra={
                    "coordinator": change.coordinator,
                    "before": change.previous,
                    "reason": change.reason,
                    "silent_s": round(change.silent_s, 3),
                    "used_s": round(change.used_s, 3),
                    "instances": change.instances,
                    "held": self._held(now),
                },
            )
        self._client.changes.clear()

    def _log_exhaustions(self) -> None:
        rows = self._coordinator.exhaustions
        if not rows:
            return
        now = self._loop.time()
        if now - self._logged_at >= 1.0:
            self._logged_at = now
            self._logged = 0
        for row in rows:
            if self._logged >= EXHAUSTIONS_PER_S:
                self._unlogged += 1
                continue
            self._logged += 1
            self._log_exhaustion(row)
        rows.clear()

    def _log_exhaustion(self, row: Exhaustion) -> None:
        account = self._accounts.get(row.account)
        _LOG.info(
            "account exhausted" if row.is_exhausted else "account recovered",
            extra={
                "account": row.account,
                "per_s": account.per_s if account else None,
                "burst": account.burst if account else None,
                "level": round(row.level, 2),
                "outstanding": row.outstanding,
                "unmet": round(row.unmet, 2),
                "fraction": round(row.fraction, 3),
                "since_s": round(row.since_s, 3),
                "unlogged": self._unlogged,
            },
        )
        self._unlogged = 0

    def _log_status(self, now: float) -> None:
        """Log what is held here, and what is leased from here."""
        if now - self._status_at < STATUS_PERIOD_S:
            return
        self._status_at = now
        _LOG.info(
            "quota tokens",
            extra={
                "coordinator": self._client.current,
                "answer_age_s": self._client.answer_age_s(now),
                "held": self._held(now),
                "leased": self._coordinator.leased(LOGGED_ACCOUNTS, now),
                "deposits": len(self._coordinator.deposits),
            },
        )

    def _held(self, now: float) -> dict[AccountName, int]:
        return self._client.tokens.held(LOGGED_ACCOUNTS, now)
