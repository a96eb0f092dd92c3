"""Tests of ticket spread between control planes, in simulated time.

The control planes exchange encoded messages over a simulated network that
delays, drops and limits them as the transport does.
"""

import collections
import random
import types
import unittest

from nose2.tools import params

from chiverun.core.admission import Admission
from chiverun.core.blocks import Blocks
from chiverun.core.clock import ManualClock
from chiverun.core.dissemination import PullSchedule
from chiverun.core.dissemination import RecentTickets
from chiverun.core.dissemination import state_chunks
from chiverun.core.messages import decode_message
from chiverun.core.messages import encode_message
from chiverun.core.ticket import Region
from chiverun.core.ticket import Site
from chiverun.core.ticket import Ticket
from chiverun.core.ticket import Zone
from chiverun.core.ticketentry import Entry
from chiverun.core.ticketlog import TicketLog
from chiverun.integrations.acceptedpeers import MESSAGE_BYTES_MAX
from chiverun.runtime.control import ControlPlane
from chiverun.runtime.control import Identity
from chiverun.runtime.events import EntriesRead
from chiverun.runtime.events import ReadSeats
from chiverun.runtime.storeworker import HeadWatch
from chiverun.runtime.storeworker import SeatRecords
from chiverun.runtime.storeworker import StoreWorker
from standins.memorystore import MemoryStore
from standins.platform import Platform

STEP_S = 0.02
TICK_STEPS = 5
LATENCY_S = 0.04
IN_FORCE_LIMIT_S = 3.0


class Network:
    """Control planes with one manual clock, `per_zone` in each zone."""

    def __init__(self, *, zones=4, per_zone=4, gossips=True, seed=1) -> None:
        self.clock = ManualClock()
        self.platform = Platform()
        self.gossips = gossips
        self.cut: set[str] = set()
        self.frozen: set[str] = set()
        self.planes: dict[str, ControlPlane] = {}
        self.watches: dict[str, HeadWatch] = {}
        self._rng = random.Random(seed)
        self._queue = collections.deque()
        self._due: dict[str, float] = {}
        self._index: dict[str, int] = {}
        self._steps = 0
        self.names = [
            f"z{z}-{n}" for z in range(zones) for n in range(per_zone)
        ]
        for name in self.names:
            self.add(name)

    def add(self, name: str, instance: str | None = None) -> None:
        """Start an instance; its zone is the part before the hyphen."""
        zone = name.partition("-")[0]
        identity = Identity(
            instance=name,
            boot_id=f"life-{name}-{self._steps}",
            zone=zone,
            lookup=name,
            entry=name,
            forward=name,
            peer=name,
            seeds=tuple(n for n in self.names if n != name),
        )
        self.planes[name] = ControlPlane(
            identity=identity,
            clock=self.clock,
            rng=random.Random(self._rng.random()),
            admission=Admission(
                zone=zone, clock=self.clock, rng=random.Random(0)
            ),
            send=lambda address, m: self._send(name, address, m),
            submit=lambda _job: None,
        )
        self.watches[name] = HeadWatch(
            log=TicketLog(store=MemoryStore(platform=self.platform)),
            plane=self.planes[name],
            report=self.planes[name].handle,
            rng=random.Random(self._rng.random()),
        )
        self.watches[name]._stopping = types.SimpleNamespace(
            wait=lambda _s: None
        )
        self._due[name] = 0.0

    def _send(self, source: str, target: str, message) -> None:
        data = encode_message(message)
        if self.gossips and len(data) <= MESSAGE_BYTES_MAX:
            due = self.clock.monotonic() + LATENCY_S
            self._queue.append((due, source, target, data))

    def _passes(self, source: str, target: str) -> bool:
        zones = {source.partition("-")[0], target.partition("-")[0]}
        return len(zones) == 1 or not zones & self.cut

    def run(self, until, limit_s: float) -> float:
        """Run until a condition holds; return the simulated seconds."""
        start = self.clock.monotonic()
        while not until():
            if self.clock.monotonic() - start >= limit_s:
                return float("inf")
            self._step()
        return self.clock.monotonic() - start

    def _step(self) -> None:
        self.clock.advance(STEP_S)
        self._steps += 1
        now = self.clock.monotonic()
        held = []
        while self._queue and self._queue[0][0] <= now:
            item = self._queue.popleft()
            _, source, target, data = item
            if target in self.frozen:
                held.append(item)
            elif target in self.planes and self._passes(source, target):
                self.planes[target].receive(decode_message(data))
        self._queue.extendleft(reversed(held))
        for name, plane in self.planes.items():
            if name in self.frozen:
                continue
            if self._steps % TICK_STEPS == 0:
                plane.tick()
            if self._due[name] <= now and name.partition("-")[0] not in (
                self.cut
            ):
                index, pause_s = self.watches[name].step(0)
                # A blocking read returns as soon as the head changes.
                self._due[name] = now + max(pause_s, 0.1 if index else 0.0)

    def all_have(self, number: int, names=None):
        """Return a predicate: is a ticket in force on the instances?"""
        return lambda: all(
            self.planes[n].state.number >= number for n in names or self.planes
        )

    def submit(self, count=1, author="a", size=0) -> list:
        """Submit tickets and return the accepted entries."""
        log = TicketLog(store=MemoryStore(platform=self.platform))
        head = log.head().entry
        first = (head.number if head else 0) + 1
        return [
            log.submit(ticket(n, author, size), f"{author}{n}", [])
            for n in range(first, first + count)
        ]

    def forks(self) -> list[str]:
        return [n for n, p in self.planes.items() if p.fork_reason]


def ticket(number: int, author: str, size: int = 0) -> Ticket:
    texts = [f"10.{number % 250}.0.0/16"] if size else []
    return Ticket(
        number=number,
        reason=f"t{number}" + "x" * size,
        author=author,
        region=(Region(name="r"),),
        zone=tuple(Zone(name=f"z{i}", region="r") for i in range(6)),
        site=(
            Site(
                name=f"s{number % 250}", zone="z0", blocks=Blocks.parse(texts)
            ),
        ),
    )


def joined(**kwargs) -> Network:
    """Return a network with ticket 1 whose members know each other."""
    net = Network(**kwargs)
    net.submit()
    net.run(net.all_have(1), 30)
    net.run(lambda: False, 8)
    return net


class SpreadTest(unittest.TestCase):
    @params((False, False), (True, True))
    def test_store_down_after_acceptance(self, gossips, expected):
        """Guards against spread that depends on the store.

        Only one instance has read the ticket before the store goes down.
        """
        worst = 0.0
        for seed in range(4):
            net = joined(zones=6, gossips=gossips, seed=seed)
            entry = net.submit()[0]
            net.platform.outage = True
            net.planes["z3-2"].handle(EntriesRead(entries=(entry,)))
            worst = max(worst, net.run(net.all_have(2), 30))
        self.assertEqual(expected, worst <= IN_FORCE_LIMIT_S, worst)

    @params((), ("z0-0",), ("z0-0", "z0-1"), ("z0-0", "z1-0", "z2-0", "z3-0"))
    def test_frozen_watchers(self, *frozen):
        """Guards against spread that depends on a frozen watcher."""
        net = joined()
        net.frozen.update(frozen)
        net.submit()
        others = [n for n in net.names if n not in frozen]
        elapsed_s = net.run(net.all_have(2, others), 30)
        self.assertLessEqual(elapsed_s, IN_FORCE_LIMIT_S)
        net.frozen.clear()
        elapsed_s = net.run(net.all_have(2), 30)
        self.assertLessEqual(elapsed_s, IN_FORCE_LIMIT_S)

    @params((3, 0), (300, 0), (64, 50_000))
    def test_zone_rejoins_after_a_partition(self, count, size):
        """Guards against a zone that stays behind after a partition.

        The missing tickets exceed the recent ones or the size of a message.
        """
        net = joined()
        net.cut.add("z1")
        net.run(lambda: False, 20)
        last = net.submit(count, size=size)[-1]
        net.run(net.all_have(last.number, ["z0-0", "z2-0", "z3-3"]), 30)
        net.run(lambda: False, 5)
        self.assertEqual(1, net.planes["z1-0"].state.number)
        net.platform.outage = True
        net.cut.clear()
        elapsed_s = net.run(net.all_have(last.number), 30)
        self.assertLessEqual(elapsed_s, IN_FORCE_LIMIT_S)
        self.assertEqual([], net.forks())

    @params(1, 300)
    def test_fresh_instances_in_an_outage(self, count):
        """Guards against a replaced fleet that cannot repair the store.

        The new instances have got the state only from peers that have ended
        since, and the store returns with older data.
        """
        net = joined()
        net.platform.admin({"save": True})
        last = net.submit(count)[-1]
        net.run(net.all_have(last.number), 30)
        net.platform.outage = True
        for name in list(net.names):
            net.add(name.replace("-", "-n"))
        elapsed_s = net.run(net.all_have(last.number), 30)
        self.assertLessEqual(elapsed_s, IN_FORCE_LIMIT_S)
        for name in net.names:
            del net.planes[name]
        net.platform.admin({"restore": True, "outage": False})
        log = TicketLog(store=MemoryStore(platform=net.platform))
        elapsed_s = net.run(lambda: log.head().entry.number == last.number, 60)
        self.assertLessEqual(elapsed_s, 20)
        self.assertEqual(last.digest, log.load().digest)
        self.assertEqual([], net.forks())

    @params(2, 60, 300)
    def test_fork_reverts_no_instance(self, count):
        """Guards against an instance that adopts a forked history.

        After a restore of the store, operators submit tickets whose numbers
        are in force with other content. The forked history is longer, so
        that whole states of it are offered too.
        """
        net = joined()
        net.platform.admin({"save": True})
        net.submit(2)
        net.run(net.all_have(3), 30)
        digest = net.planes["z0-0"].state.digest
        net.platform.admin({"restore": True})
        net.submit(2 + count, author="b")
        net.run(lambda: False, 10)
        net.add("z0-fresh")
        for _ in range(10):
            net.run(lambda: False, 1)
            for name in net.names:
                state = net.planes[name].state
                self.assertIs(True, state.follows(3, digest), name)
        self.assertEqual(net.names, [n for n in net.forks() if n in net.names])

    def test_restored_store_is_repaired(self):
        """Guards against a restored store that stays behind the instances."""
        net = joined()
        net.platform.admin({"save": True})
        last = net.submit(5)[-1]
        net.run(net.all_have(6), 30)
        net.platform.admin({"restore": True})
        log = TicketLog(store=MemoryStore(platform=net.platform))
        elapsed_s = net.run(lambda: log.head().entry.number == 6, 30)
        self.assertLessEqual(elapsed_s, 6.0)
        self.assertEqual(last.digest, log.load().digest)
        self.assertEqual([], net.forks())


class RecentTicketsTest(unittest.TestCase):
    @params((10, 0, 10), (300, 0, 256), (40, 800_000, 10))
    def test_bounded_by_number_and_size(self, count, size, kept):
        """Guards against memory use that grows with the size of tickets."""
        recent = RecentTickets()
        for number in range(1, count + 1):
            recent.append(
                Entry(
                    number=number,
                    digest="",
                    submission="s",
                    ticket=ticket(number, "a", size),
                )
            )
        numbers = [e.number for e in recent.entries()]
        self.assertEqual(list(range(count - kept + 1, count + 1)), numbers)


class PullScheduleTest(unittest.TestCase):
    def test_peer_with_a_forked_history(self):
        """Guards against endless transfers of states that are rejected.

        A peer offers a longer, forked history five times a second, while
        another peer continues this instance's history.
        """
        pulls = PullSchedule()
        own, forked, late = 10, 0, 0
        for step in range(1000):
            now = step / 5
            forked += pulls.allows(
                sender="forked", offered=500, own_number=own, now=now
            )
            if step % 10 == 0:
                offered_at, is_behind = now, True
            if is_behind and pulls.allows(
                sender="healthy", offered=own + 1, own_number=own, now=now
            ):
                own += 1
                is_behind = False
                late = max(late, now - offered_at)
        self.assertEqual(110, own)
        self.assertLessEqual(forked, 6 + 200 / 10)
        self.assertLessEqual(late, 1.5)


class HeadWatchTest(unittest.TestCase):
    @params(b"", b"\xff" * 9, b"\x93\x01\x02\x03")
    def test_malformed_values(self, data):
        """Guards against malformed data that ends the thread of the watch."""
        net = joined(zones=1, per_zone=2)
        net.submit(70)
        net.run(net.all_have(71), 30)
        for key in ("chiverun/head", "chiverun/base", "chiverun/ticket/70"):
            old = net.platform.data[key][0]
            net.platform.put(key, data, None)
            net.add("z0-x")
            net.gossips = False
            watch = net.watches["z0-x"]
            for _ in range(3):
                watch.step(0)
            if key == "chiverun/head":
                self.assertIn("TICKET_MALFORMED", watch.fault)
            net.platform.put(key, old, None)
            for _ in range(3):
                watch.step(0)
            self.assertIsNone(watch.fault)
            self.assertEqual(71, net.planes["z0-x"].state.number, key)

    def test_malformed_base_is_replaced(self):
        """Guards against a malformed base that blocks all submissions."""
        net = joined(zones=1, per_zone=1)
        net.submit(70)
        net.run(net.all_have(71), 30)
        net.platform.put("chiverun/base", b"\xff", None)
        net.watches["z0-0"]._base_check_at = 0.0
        net.watches["z0-0"].step(0)
        self.assertEqual(72, net.submit()[0].number)

    def test_fork_at_the_same_number(self):
        """Guards against an undetected fork at the number in force."""
        net = joined(zones=1, per_zone=1)
        net.platform.admin({"save": True})
        net.submit()
        net.run(net.all_have(2), 30)
        net.platform.admin({"restore": True})
        net.submit(author="b")
        net.watches["z0-0"].step(0)
        self.assertIn("another ticket 2", net.planes["z0-0"].fork_reason)

    def test_unexpected_errors_are_caught(self):
        """Guards against an exception that ends the thread of the watch."""
        net = joined(zones=1, per_zone=1)
        watch = net.watches["z0-0"]
        for error in (RuntimeError("changed size"), MemoryError(), KeyError()):
            watch._log = types.SimpleNamespace(
                head=lambda error=error, **_k: (_ for _ in ()).throw(error)
            )
            self.assertEqual(0, watch.step(5)[0])
            self.assertTrue(watch.fault)

    def test_malformed_seat_record(self):
        """Guards against a malformed record that ends the store worker."""
        platform = Platform()
        platform.put("chiverun/seats/z0", b"\xff", None)
        records = SeatRecords(store=MemoryStore(platform=platform), zone="z0")
        reports = []
        worker = StoreWorker.start(records, reports.append)
        worker.ask(ReadSeats(requested_at=1.0))
        worker.ask(ReadSeats(requested_at=2.0))
        worker.stop()
        self.assertEqual([1.0, 2.0], [r.requested_at for r in reports])

    def test_malformed_state_chunks(self):
        """Guards against malformed chunks that raise or mix two states."""
        net = joined(zones=1, per_zone=1)
        plane = net.planes["z0-0"]
        other = joined(zones=1, per_zone=1)
        for entry in other.submit(3):
            other.run(other.all_have(entry.number), 30)
        state = other.planes["z0-0"].state
        good = state_chunks(state)[0]
        for index, total in ((-1, 1), (1, 1), (0, 0), (5, 10**9), (0, 2)):
            bad = type(good)(
                number=state.number,
                digest=state.digest,
                index=index,
                total=total,
                data=good.data,
            )
            plane.receive(bad)
            self.assertEqual(1, plane.state.number)
        plane.receive(good)
        self.assertEqual(4, plane.state.number)
