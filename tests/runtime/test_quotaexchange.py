"""Tests of quotas over a few instances with an event loop of manual time."""

import asyncio
import collections
import selectors
import unittest

from nose2.tools import params

from chiverun.core import edgemessages
from chiverun.core.catalog import Machine
from chiverun.core.edgesettings import EdgeBounds
from chiverun.core.quota import Admitted
from chiverun.core.quota import Exceeded
from chiverun.runtime.edgemetrics import EdgeMetrics
from chiverun.runtime.quotaexchange import QuotaExchange
from tests.core.quotafleet import make_account

_LATENCY_S = 0.035
_ACCOUNT = make_account("a", 50.0, 20.0)


class _ManualLoop(asyncio.SelectorEventLoop):
    """Event loop whose time passes without waiting."""

    def __init__(self) -> None:
        super().__init__(_ManualSelector(self))
        self.now = 0.0

    def time(self) -> float:
        return self.now


class _ManualSelector(selectors.SelectSelector):
    def __init__(self, loop: _ManualLoop) -> None:
        super().__init__()
        self._loop = loop

    def select(self, timeout: float | None = None) -> list:
        # Rounded up, so that the timer that is due next has its time.
        self._loop.now += (timeout or 0.0) + 1e-9
        return super().select(0)


class _Fleet:
    """Exchanges of instances; `down` ones neither send nor receive."""

    def __init__(self, count: int) -> None:
        self.loop = asyncio.get_running_loop()
        self.down: set[str] = set()
        self.sent = collections.Counter()
        self.metrics = EdgeMetrics()
        self.machines = [
            Machine(
                name=f"i{n}", peer=f"p{n}", entry="e", zone="z", region="r"
            )
            for n in range(count)
        ]
        self.exchanges = {m.peer: self._start(m) for m in self.machines}
        self.tasks = [
            self.loop.create_task(exchange.run_forever())
            for exchange in self.exchanges.values()
        ]

    def _start(self, machine: Machine) -> QuotaExchange:
        return QuotaExchange(
            me=machine,
            boot_id=f"life-{machine.name}",
            bounds=EdgeBounds(),
            peers=_Peers(self, machine.peer),
            metrics=self.metrics,
        )

    def apply(self, *accounts) -> None:
        """Let all instances know the accounts and each other."""
        for exchange in self.exchanges.values():
            exchange.set_fleet(self.machines)
            exchange.set_accounts(accounts)

    def deliver(self, sender: str, address: str, payload: bytes) -> None:
        self.sent[sender] += 1
        if self.down & {sender, address}:
            return
        message = edgemessages.decode(payload)
        exchange = self.exchanges[address]
        self.loop.call_later(_LATENCY_S, exchange.receive, message)

    async def admit(self, number: int, limit_s: float = 2.0):
        exchange = self.exchanges[f"p{number % len(self.machines)}"]
        return await exchange.admit(_ACCOUNT, self.loop.time() + limit_s)


class _Peers:
    def __init__(self, fleet: _Fleet, address: str) -> None:
        self._fleet = fleet
        self._address = address

    def send(self, address: str, payload: bytes) -> None:
        self._fleet.deliver(self._address, address, payload)


def _run(scenario) -> None:
    """Run a coroutine function with a fleet of four instances."""

    async def main() -> None:
        fleet = _Fleet(4)
        try:
            await scenario(fleet)
        finally:
            for task in fleet.tasks:
                task.cancel()

    with asyncio.Runner(loop_factory=_ManualLoop) as runner:
        runner.run(main())


class QuotaExchangeTest(unittest.TestCase):
    @params((), (make_account("b", None),))
    def test_nothing_is_sent_without_limits(self, *accounts):
        """Guards against messages in fleets that have no limits."""

        async def scenario(fleet: _Fleet) -> None:
            fleet.apply(*accounts)
            await asyncio.sleep(5.0)
            self.assertEqual(0, fleet.sent.total())
            self.assertIsInstance(await fleet.admit(1), Admitted)

        _run(scenario)

    def test_limit_of_all_instances_is_kept_and_used(self):
        """Guards against exchanges that do not share a limit."""

        async def scenario(fleet: _Fleet) -> None:
            fleet.apply(_ACCOUNT)
            await asyncio.sleep(10.0)
            admitted = 0
            for number in range(4000):
                outcome = await fleet.admit(number)
                admitted += isinstance(outcome, Admitted)
                await asyncio.sleep(0.0025)
            elapsed_s = fleet.loop.time() - 10.0
            most = 50.0 * elapsed_s + 20.0
            self.assertLess(admitted, 1.1 * most + 20.0)
            self.assertGreater(admitted, 0.85 * most)

        _run(scenario)

    @params((0.5, 60), (1.5, 55))
    def test_declared_limit_refuses_nothing_below_it(self, after_s, count):
        """Guards against refusals when a limit is declared in service."""

        async def scenario(fleet: _Fleet) -> None:
            fleet.apply()
            await asyncio.sleep(10.0)
            fleet.apply(_ACCOUNT)
            await asyncio.sleep(after_s)
            for number in range(count):
                self.assertIsInstance(await fleet.admit(number), Admitted)
                await asyncio.sleep(0.02)

        _run(scenario)

    def test_restarted_instance_has_no_time_without_limits(self):
        """Guards against restarts that admit more than the limit."""

        async def scenario(fleet: _Fleet) -> None:
            fleet.apply(_ACCOUNT)
            outcomes = [await fleet.admit(1, limit_s=0.4) for _ in range(9)]
            self.assertEqual({Exceeded}, {type(o) for o in outcomes})

        _run(scenario)

    def test_request_waits_no_longer_than_allowed(self):
        """Guards against a request that a dead coordinator holds up."""

        async def scenario(fleet: _Fleet) -> None:
            fleet.apply(make_account("a", 0.001))
            await asyncio.sleep(3.0)
            fleet.down = set(fleet.exchanges)
            began_at = fleet.loop.time()
            outcome = await fleet.admit(3, limit_s=0.8)
            self.assertIsInstance(outcome, Exceeded)
            self.assertLessEqual(fleet.loop.time() - began_at, 0.21)

        _run(scenario)

    def test_removed_limits_end_the_messages(self):
        """Guards against reports that go on, and requests left waiting."""

        async def scenario(fleet: _Fleet) -> None:
            fleet.apply(_ACCOUNT)
            await asyncio.sleep(2.0)
            waiting = [
                fleet.loop.create_task(fleet.admit(3)) for _ in range(300)
            ]
            await asyncio.sleep(0.0)
            fleet.apply()
            outcomes = await asyncio.gather(*waiting)
            self.assertIsInstance(outcomes[-1], Admitted)
            sent = fleet.sent.total()
            await asyncio.sleep(3.0)
            self.assertEqual(sent, fleet.sent.total())

        _run(scenario)

    def test_token_of_a_request_not_run_or_cancelled_is_returned(self):
        """Guards against tokens that failed requests use up."""

        async def scenario(fleet: _Fleet) -> None:
            fleet.apply(make_account("a", 0.5))
            await asyncio.sleep(60.0)
            for _ in range(60):
                self.assertIsInstance(await fleet.admit(1), Admitted)
                fleet.exchanges["p1"].give_back(_ACCOUNT)
                task = fleet.loop.create_task(fleet.admit(2))
                await asyncio.sleep(0.0)
                task.cancel()

        _run(scenario)
