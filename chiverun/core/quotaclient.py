"""Choice of a quota coordinator, and the delegation of this instance's share.

All instances order the others alike and use the first that answers; this
instance itself is the last in its own order. A share is delegated to one
coordinator at a time: to another only when the earlier one has confirmed the
end, or the time for which it was delegated is over.
"""

import dataclasses
from collections.abc import Collection

from chiverun.core.catalog import Machine
from chiverun.core.edgemessages import QuotaGrant
from chiverun.core.edgemessages import QuotaReport
from chiverun.core.ids import Address
from chiverun.core.ids import BootId
from chiverun.core.ids import InstanceId
from chiverun.core.quotacoordinator import QuotaCoordinator
from chiverun.core.quotatokens import report_period_s
from chiverun.core.quotatokens import token_life_s
from chiverun.core.quotatokens import TokenCache

# A delegation ("deposit") of the share expires after the larger of these
# seconds and report periods.
DEPOSIT_LIFE_S = 0.8
DEPOSIT_LIFE_PERIODS = 2.5
# Time-out of a report, which is then repeated; longer than two round trips
# between regions.
ANSWER_S = 0.28
# A coordinator has failed this long after the first report without an
# answer. Covers two reports.
SILENT_S = 0.55
# Candidates are asked in groups, each twice as large as the one before.
SEARCH_PERIOD_S = 0.2
SEARCH_FIRST = 4
SEARCH_MAX = 32
# An instance that searches does not delegate its share before this time: it
# would begin anew at the coordinator that is found next.
SEARCH_SETTLED_S = 0.4
# Earlier candidates are asked again at this interval, a few at a time.
RETRY_PERIOD_S = 2.0
RETRY_CANDIDATES = 4
# A coordinator that has failed is not used again for this time, which doubles
# with each further failure, so that an unreliable link does not make instances
# change their coordinator all the time.
AVOID_S = 2.0
AVOID_MAX_S = 30.0
# A coordinator that has answered for this time counts as reliable again.
RELIABLE_S = 30.0
# Buckets may start filled once in this time, which is longer than a window.
START_PERIODS = 2.0
# Shortest interval of reports that requests cause.
URGENT_PERIOD_S = 0.02

Outgoing = tuple[Address, QuotaReport]


@dataclasses.dataclass(frozen=True, kw_only=True)
class CoordinatorChange:
    """Another instance is this one's coordinator now.

    The previous one had been used for `used_s`, and silent for `silent_s`;
    `instances` is the size of the fleet.
    """

    coordinator: InstanceId
    previous: InstanceId
    reason: str
    silent_s: float
    used_s: float
    instances: int


@dataclasses.dataclass(kw_only=True)
class _Sent:
    """A report that has not been answered."""

    number: int
    receiver: InstanceId
    at: float


@dataclasses.dataclass(kw_only=True)
class _Echo:
    """The last grant of a coordinator."""

    boot_id: BootId
    sent_at: float
    received_at: float


@dataclasses.dataclass(kw_only=True)
class _Failure:
    until: float
    avoid_s: float


class QuotaClient:
    """Gets tokens from a coordinator.

    Parameters
    ----------
    window_s : float
        Window of the limits in seconds.
    """

    def __init__(
        self,
        *,
        me: Machine,
        boot_id: BootId,
        coordinator: QuotaCoordinator,
        window_s: float,
        now: float,
    ) -> None:
        self.me = me
        self.tokens = TokenCache()
        self.current = me.name
        self.changes: list[CoordinatorChange] = []
        self._boot_id = boot_id
        self._own = coordinator
        self._order: list[Machine] = [me]
        self._machines: dict[InstanceId, Machine] = {me.name: me}
        self._size = 1
        self._fleet_at = now
        self._number = 0
        self._sent: _Sent | None = None
        self._hellos: dict[int, _Sent] = {}
        # The message that ends the delegation to an earlier coordinator.
        self._release_number: int | None = None
        self._echoes: dict[InstanceId, _Echo] = {}
        self._silent_since: float | None = None
        self._since = now
        self._failures: dict[InstanceId, _Failure] = {}
        self._report_at = now
        self._reported_at = float("-inf")
        self._is_suspended = True
        self._search(now)
        # An earlier process of this instance may have delegated the share.
        self._deposit_to: InstanceId | None = None
        self._deposit_end = now
        self._created_at = now
        self._start_period_s = START_PERIODS * window_s
        self._started_at = now

    def set_fleet(self, machines: Collection[Machine], now: float) -> None:
        """Set the registered instances."""
        others = [m for m in machines if m.name != self.me.name]
        self._order = sorted([*others, self.me], key=_rank)
        known = self._machines.keys()
        self._machines = {m.name: m for m in self._order}
        self._size = len(self._order)
        if self._machines.keys() != known:
            # Others may have used what is now this instance's share.
            self._fleet_at = now
        if self.current not in self._machines:
            self._fail("not registered any more", now)

    def answer_age_s(self, now: float) -> float | None:
        """Return the time since the coordinator's last answer."""
        echo = self._echoes.get(self.current)
        return None if echo is None else round(now - echo.received_at, 3)

    def suspend(self) -> None:
        """Drop all tokens and expect no answer; the next tick goes on."""
        self.tokens.clear()
        self._sent = None
        self._silent_since = None
        self._is_suspended = True

    def tick(self, now: float) -> list[Outgoing]:
        """Return the messages that are due."""
        if self._is_suspended:
            self._is_suspended = False
            self._search(now)
        self._check_answer(now)
        outgoing = self._ask_candidates(now)
        if now >= self._report_at and self._sent is None:
            outgoing += self._report(now)
        return outgoing

    def ask(self, now: float) -> list[Outgoing]:
        """Return a report for requests that wait, unless one is under way."""
        if self._sent is not None:
            return []
        if now - self._reported_at < URGENT_PERIOD_S:
            self.ask_at(now)
            return []
        return self._report(now)

    def ask_at(self, at: float) -> None:
        """Send the next report at a time, or earlier."""
        at = max(at, self._reported_at + URGENT_PERIOD_S)
        self._report_at = min(self._report_at, at)

    def next_at(self) -> float:
        """Return when the next tick is due."""
        times = [self._search_at]
        if self._sent is None:
            times.append(self._report_at)
        else:
            times.append(self._sent.at + ANSWER_S)
        return min(times)

    def receive(self, grant: QuotaGrant, now: float) -> list[Outgoing]:
        """Apply a grant; return what is to be sent at once."""
        if grant.receiver != self._boot_id:
            return []
        hello = self._hellos.pop(grant.number, None)
        if hello is not None and hello.receiver == grant.sender:
            return self._receive_hello(grant, now)
        sent = self._sent
        if sent is None or sent.number != grant.number:
            return []
        if sent.receiver != grant.sender:
            return []
        return self._receive_tokens(grant, sent, now)

    def _receive_tokens(
        self, grant: QuotaGrant, sent: _Sent, now: float
    ) -> list[Outgoing]:
        self._sent = None
        self._silent_since = None
        echo = self._echoes.get(grant.sender)
        is_new = echo is None or echo.boot_id != grant.boot_id
        if echo is not None and is_new and self._deposit_to == grant.sender:
            # The process to which the share was delegated has ended.
            self._deposit_to = None
        self._record_echo(grant, now)
        self.tokens.apply(
            grant.tokens,
            sent_at=sent.at,
            life_s=token_life_s(self._size),
            now=now,
        )
        if grant.leaving and not self._is_avoided(grant.sender, now):
            self._avoid(grant.sender, now)
            self._search(now)
        return self._report(now) if is_new else []

    def _receive_hello(self, grant: QuotaGrant, now: float) -> list[Outgoing]:
        if grant.number == self._release_number:
            # The confirmation that the share is no longer used there.
            self._release_number = None
            self._deposit_to = None
            self._deposit_end = now
            return self._report(now) if self._sent is None else []
        self._record_echo(grant, now)
        is_usable = not grant.leaving and not self._is_avoided(
            grant.sender, now
        )
        if not is_usable or not self._is_before(grant.sender, now):
            return []
        return self._use(grant.sender, "answers", now)

    def _record_echo(self, grant: QuotaGrant, now: float) -> None:
        self._echoes[grant.sender] = _Echo(
            boot_id=grant.boot_id, sent_at=grant.sent_at, received_at=now
        )

    def _check_answer(self, now: float) -> None:
        sent = self._sent
        if sent is None or now < sent.at + ANSWER_S:
            return
        self._sent = None
        self._report_at = now
        if self._silent_since is None:
            self._silent_since = sent.at
        if now - self._silent_since >= SILENT_S:
            self._fail("no answer", now)

    def _fail(self, reason: str, now: float) -> None:
        """Use no coordinator but the own one until another answers."""
        self._avoid(self.current, now)
        self._echoes.pop(self.current, None)
        self._sent = None
        self._use(self.me.name, reason, now)
        self._search(now)

    def _avoid(self, name: InstanceId, now: float) -> None:
        failure = self._failures.get(name)
        avoid_s = AVOID_S
        if failure is not None and now - self._since < RELIABLE_S:
            avoid_s = min(AVOID_MAX_S, 2 * failure.avoid_s)
        self._failures[name] = _Failure(until=now + avoid_s, avoid_s=avoid_s)

    def _is_avoided(self, name: InstanceId, now: float) -> bool:
        failure = self._failures.get(name)
        return failure is not None and now < failure.until

    def _is_before(self, name: InstanceId, now: float) -> bool:
        """Return whether an instance is to be used instead of the current."""
        machine = self._machines.get(name)
        if machine is None or name == self.current:
            return False
        is_behind = _rank(machine) > _rank(self.me)
        if is_behind and not self._own.is_leaving:
            return False
        if self._is_avoided(self.current, now):
            return True
        return _rank(machine) < _rank(self._machines[self.current])

    def _use(
        self, name: InstanceId, reason: str, now: float
    ) -> list[Outgoing]:
        """Change the coordinator; take the share back from the last one."""
        if name == self.current:
            return []
        previous = self.current
        silent_s = 0.0
        if self._silent_since is not None:
            silent_s = now - self._silent_since
        self.changes.append(
            CoordinatorChange(
                coordinator=name,
                previous=previous,
                reason=reason,
                silent_s=silent_s,
                used_s=now - self._since,
                instances=self._size,
            )
        )
        self.current = name
        self._since = now
        if name == self._order[0].name:
            self._is_searching = False
        self._sent = None
        self._silent_since = None
        self._report_at = now
        if self._deposit_to == self.me.name:
            self._own.release(self.me.name, now)
            self._deposit_to = None
            self._deposit_end = now
        outgoing = []
        self._release_number = None
        if self._deposit_to not in (None, name):
            outgoing = self._hello(self._deposit_to, now)
            self._release_number = self._number if outgoing else None
        return outgoing + self._report(now)

    def _search(self, now: float) -> None:
        self._is_searching = True
        self._searched_at = now
        self._search_at = now
        self._search_from = 0
        self._search_size = SEARCH_FIRST

    def _ask_candidates(self, now: float) -> list[Outgoing]:
        """Ask candidates that are to be used instead of the current one."""
        if now < self._search_at:
            return []
        expired = [
            number
            for number, hello in self._hellos.items()
            if now - hello.at > RETRY_PERIOD_S
        ]
        for number in expired:
            del self._hellos[number]
        names = [m.name for m in self._order if self._is_before(m.name, now)]
        names = [name for name in names if not self._is_avoided(name, now)]
        first = self._search_from if self._search_from < len(names) else 0
        if self._is_searching:
            size = self._search_size
            self._search_size = min(SEARCH_MAX, 2 * size)
            self._search_at = now + SEARCH_PERIOD_S
            # The rest is asked at the longer interval.
            self._is_searching = first + size < len(names)
        else:
            size = RETRY_CANDIDATES
            self._search_at = now + RETRY_PERIOD_S
        self._search_from = first + size
        outgoing: list[Outgoing] = []
        for name in names[first : first + size]:
            outgoing += self._hello(name, now)
        return outgoing

    def _hello(self, name: InstanceId, now: float) -> list[Outgoing]:
        """Return a report that only asks for an answer."""
        machine = self._machines.get(name)
        if machine is None:
            return []
        self._number += 1
        self._hellos[self._number] = _Sent(
            number=self._number, receiver=name, at=now
        )
        report = QuotaReport(
            sender=self.me.name,
            reply_to=self.me.peer,
            boot_id=self._boot_id,
            number=self._number,
        )
        return [(machine.peer, report)]

    def _report(self, now: float) -> list[Outgoing]:
        """Return the report to the current coordinator."""
        period_s = report_period_s(self._size)
        self._number += 1
        self._report_at = now + period_s
        self._reported_at = now
        echo = self._echoes.get(self.current)
        unused_s = max(0.0, now - max(self._share_free_at(), self._fleet_at))
        share_s, starts_filled = self._delegate(echo, now)
        report = QuotaReport(
            sender=self.me.name,
            reply_to=self.me.peer,
            boot_id=self._boot_id,
            number=self._number,
            echo_boot_id=echo.boot_id if echo else None,
            echo_sent_at=echo.sent_at if echo else 0.0,
            echo_age_s=now - echo.received_at if echo else 0.0,
            share_s=share_s,
            unused_s=unused_s if share_s else 0.0,
            starts_filled=starts_filled,
            demands=self.tokens.demands(now, period_s),
        )
        self._sent = _Sent(number=self._number, receiver=self.current, at=now)
        if self.current != self.me.name:
            return [(self._machines[self.current].peer, report)]
        grant = self._own.handle(report, now)
        return self.receive(grant, now) if grant is not None else []

    def _delegate(self, echo: _Echo | None, now: float) -> tuple[float, bool]:
        """Return for how long the share is delegated from now on."""
        free_at = self._share_free_at()
        if self._deposit_to != self.current and now < free_at:
            self._report_at = min(self._report_at, free_at)
            return 0.0, False
        settled_at = self._searched_at + SEARCH_SETTLED_S
        if self._is_searching and now < settled_at:
            self.ask_at(settled_at)
            return 0.0, False
        if echo is None:
            return 0.0, False
        if self._silent_since is not None:
            # So that the share is free when the coordinator is given up.
            return max(0.0, self._deposit_end - now), False
        is_new = self._deposit_to != self.current
        self._release_number = None
        starts_filled = False
        if is_new and now - self._started_at > self._start_period_s:
            starts_filled = True
            self._started_at = now
        life_s = self._deposit_life_s()
        self._deposit_to = self.current
        self._deposit_end = now + life_s
        return life_s, starts_filled

    def _deposit_life_s(self) -> float:
        """Return for how long a share is delegated in this fleet."""
        period_s = report_period_s(self._size)
        return max(DEPOSIT_LIFE_S, DEPOSIT_LIFE_PERIODS * period_s)

    def _share_free_at(self) -> float:
        """Return when nobody else can use the share any more.

        An earlier process of this instance may have delegated it as well.
        """
        return max(
            self._deposit_end, self._created_at + self._deposit_life_s()
        )


def _rank(machine: Machine) -> tuple[float, InstanceId]:
    """Return the sort key of instances: strong ones come first."""
    return (-machine.capacity, machine.name)
