"""A simulated fleet of edge instances and servers that name a limit.

Each machine has its own server table and selector. It learns the limit of a
server from the responses that it gets and from the other machines that it
hears. Time passes in steps.
"""

import collections
import dataclasses
import functools
import heapq
import itertools
import random
from collections.abc import Callable
from unittest import mock

from chiverun.core import edgemessages
from chiverun.core.catalog import Machine
from chiverun.core.catalog import Part
from chiverun.core.catalog import Route
from chiverun.core.catalog import ServiceSpec
from chiverun.core.edgesettings import EdgeBounds
from chiverun.runtime.limitexchange import CHANGED_PERIOD_S
from chiverun.runtime.limitexchange import LimitExchange
from chiverun.runtime.selection import make_placement
from chiverun.runtime.selection import Selector
from chiverun.runtime.servertable import ServerRow
from chiverun.runtime.servertable import ServerTable
from tests.records import make_row
from tests.records import make_server

SERVICE = "mill"
SPEC = ServiceSpec(name=SERVICE, connections_max=100_000)
STEP_S = 0.02
# A request arrives at its server after this time, and its response as long
# after the run.
TRANSIT_S = 0.02
RUN_S = 0.15
# Messages between machines arrive after this time.
MESSAGE_S = 0.3
# Number of machines that a machine tells the limits that it knows.
TOLD_MACHINES = 8
# A machine counts once it has had a response with the limit for this long.
TOLD_S = 0.5
ROUTE = Route(
    name="r",
    host="h",
    prefix="/p/",
    repeatable=True,
    parts=(Part(service=SERVICE, weight=1.0),),
    timeout_s=2.0,
    objective_s=0.3,
    attempts=3,
    priority=0,
    sticky=True,
    homes=(),
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Size:
    """Size of a fleet; `limited` is the share of servers with a limit."""

    regions: int = 3
    zones_per_region: int = 2
    machines: int
    servers: int
    requests_per_s: float
    limit_per_s: float
    limited: float = 0.7


@dataclasses.dataclass(frozen=True, kw_only=True)
class Arrival:
    """A request that reached a server; `told` as defined by `TOLD_S`."""

    at: float
    machine: str
    told: bool


class SimulatedMachine:
    """An edge instance: what it knows and the selector that uses it."""

    def __init__(self, record: Machine, fleet: "LimitedFleet") -> None:
        self.record = record
        self.fleet = fleet
        self.known = {record.name: record}
        self.told_at: dict[str, float] = {}
        self.paused_until = float("-inf")
        self.waiting: list[float] = []
        self.start()

    def start(self) -> None:
        """Start with empty tables, as after a restart."""
        self.told_at = {}
        self.table = ServerTable(machine=self.record.name)
        for server in self.fleet.servers:
            row = make_row(
                server,
                region=self.fleet.region_of[server.zone],
                machine=self.record.name,
            )
            self.table.rows[server.name] = row
            self.table.by_service.setdefault(SERVICE, []).append(row)
        self.selector = self._make_selector()
        with mock.patch("asyncio.get_running_loop", return_value=self.fleet):
            self.exchange = LimitExchange(
                servers=self.table, table=_OtherMachines(self), peers=self
            )

    def send(self, address: str, payload: bytes) -> None:
        """Send a message to another machine."""
        receiver = next(
            m for m in self.fleet.machines if m.record.peer == address
        )
        message = _decode(payload)
        self.fleet.at(
            self.fleet.now + MESSAGE_S,
            lambda: receiver.exchange.receive(message),
        )

    def pause(self, until_s: float) -> None:
        """Handle nothing until a time, and then all that has come."""
        self.paused_until = until_s

    def _make_selector(self) -> Selector:
        return Selector(
            table=self.table,
            region=self.record.region,
            zone=self.record.zone,
            regions=self.fleet.region_of,
            bounds=EdgeBounds(),
            machine=self.record.name,
            fleet=self.known.values,
            region_zones=lambda: [
                m.zone
                for m in self.known.values()
                if m.region == self.record.region
                and m.name != self.record.name
            ],
        )


@functools.lru_cache(maxsize=16)
def _decode(payload: bytes) -> edgemessages.EdgeMessage:
    """Decode a message once for all its receivers."""
    return edgemessages.decode(payload)


class _OtherMachines:
    """Lets a machine tell some others the limits that it knows."""

    def __init__(self, machine: SimulatedMachine) -> None:
        self.me = machine.record
        self._fleet = machine.fleet

    def limit_targets(self, now: float, rng: random.Random) -> list[Machine]:
        """Return some of the others, if machines hear each other."""
        if not self._fleet.hear_each_other:
            return []
        others = [
            machine.record
            for machine in self._fleet.machines
            if machine.record != self.me
        ]
        return rng.sample(others, min(TOLD_MACHINES, len(others)))


class LimitedFleet:
    """Machines, servers and the requests between them.

    `fails` makes every response a failure, so that each request is sent to
    as many servers as its route allows.
    """

    def __init__(
        self,
        size: Size,
        *,
        seed: int,
        fails: bool = False,
        hear_each_other: bool = True,
    ) -> None:
        self.size = size
        self.hear_each_other = hear_each_other
        self._exchanged_at = 0.0
        self.now = 0.0
        self.fails = fails
        self.refused = 0
        self.asked = 0
        self.limit_from = 0.0
        self.limit_until = float("inf")
        self.arrivals: dict[str, list[Arrival]] = collections.defaultdict(list)
        self._rng = random.Random(seed)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        zones = [
            (f"r{r}", f"z{z}-{r}")
            for z in range(size.zones_per_region)
            for r in range(size.regions)
        ]
        self.region_of = {zone: region for region, zone in zones}
        self.servers = [
            make_server(
                f"s{i}",
                address=f"10.1.0.1:{1000 + i}",
                zone=zones[i % len(zones)][1],
            )
            for i in range(size.servers)
        ]
        limited = self._rng.sample(
            self.servers, round(size.limited * size.servers)
        )
        self.limited = {server.name for server in limited}
        self.machines: list[SimulatedMachine] = []
        for i in range(size.machines):
            region, zone = zones[i % len(zones)]
            self.join(f"m{i}", region, zone)
        self.spread_machines()

    def join(self, name: str, region: str, zone: str) -> None:
        """Add a machine, which the others know once it is spread."""
        record = Machine(
            name=name, peer=name, entry=name, zone=zone, region=region
        )
        self.machines.append(SimulatedMachine(record, self))

    def spread_machines(self) -> None:
        """Let each machine know the records of all."""
        for machine in self.machines:
            for other in self.machines:
                machine.known[other.record.name] = other.record

    def at(self, time_s: float, action: Callable[[], None]) -> None:
        """Run an action at a time."""
        heapq.heappush(self._events, (time_s, next(self._numbers), action))

    def run(self, until_s: float) -> None:
        """Let clients send requests evenly to all machines until a time."""
        while self.now < until_s:
            self.now += STEP_S
            while self._events and self._events[0][0] <= self.now:
                heapq.heappop(self._events)[2]()
            for machine in self.machines:
                self._resume(machine)
            self._exchange()
            mean = self.size.requests_per_s * STEP_S
            for _ in range(_poisson(self._rng, mean)):
                self._arrive(self._rng.choice(self.machines))

    def time(self) -> float:
        """Return the time, as an event loop does."""
        return self.now

    def keeping(self) -> set[tuple[str, str]]:
        """Return the machines that keep a limit, and its server."""
        return {
            (machine.record.name, row.server.name)
            for machine in self.machines
            for row in machine.table.rows.values()
            if row.limit.in_force(self.now) is not None
        }

    def _exchange(self) -> None:
        if self.now - self._exchanged_at < CHANGED_PERIOD_S:
            return
        self._exchanged_at = self.now
        for machine in self.machines:
            if self.now >= machine.paused_until:
                machine.exchange.send()

    def _resume(self, machine: SimulatedMachine) -> None:
        if machine.waiting and self.now >= machine.paused_until:
            for _ in range(len(machine.waiting)):
                self._ask(machine)
            machine.waiting = []

    def _arrive(self, machine: SimulatedMachine) -> None:
        if self.now < machine.paused_until:
            machine.waiting.append(self.now)
            return
        self._ask(machine)

    def _ask(self, machine: SimulatedMachine) -> None:
        self.asked += 1
        key = f"k{int(self._rng.random() ** 2 * 40 * self.size.servers)}"
        placement = make_placement(
            ROUTE, SERVICE, ROUTE.homes, key, "id", RUN_S, RUN_S
        )
        self._send(machine, placement, set())

    def _send(self, machine: SimulatedMachine, placement, tried) -> None:
        row = machine.selector.choose(placement, SPEC, tried, self.now)
        if not isinstance(row, ServerRow):
            self.refused += not tried
            return
        row.load.in_flight += 1
        sent_at = self.now
        name = row.server.name
        told_at = machine.told_at.get(name, float("inf"))
        arrival = Arrival(
            at=sent_at + TRANSIT_S,
            machine=machine.record.name,
            told=told_at <= sent_at - TOLD_S,
        )
        self.arrivals[name].append(arrival)

        def answer() -> None:
            row.load.in_flight -= 1
            per_s = self._named_limit(name)
            row.limit.apply(per_s, sent_at=sent_at, now=self.now)
            if per_s is not None:
                machine.told_at.setdefault(name, self.now)
            if self.fails and len(tried) < ROUTE.attempts - 1:
                self._send(machine, placement, tried | {name})

        self.at(self.now + 2 * TRANSIT_S + RUN_S, answer)

    def _named_limit(self, name: str) -> float | None:
        in_force = self.limit_from <= self.now < self.limit_until
        if in_force and name in self.limited:
            return self.size.limit_per_s
        return None

    def most_in_window(
        self, name: str, window_s: float, since_s: float
    ) -> int:
        """Return the most requests of told machines in any window."""
        times = sorted(
            arrival.at
            for arrival in self.arrivals[name]
            if arrival.told and arrival.at >= since_s
        )
        most = first = 0
        for last, at in enumerate(times):
            while times[first] <= at - window_s:
                first += 1
            most = max(most, last - first + 1)
        return most

    def rate(self, name: str, since_s: float, until_s: float) -> float:
        """Return the requests a second that a server got."""
        count = sum(
            since_s <= arrival.at < until_s for arrival in self.arrivals[name]
        )
        return count / (until_s - since_s)


def _poisson(rng: random.Random, mean: float) -> int:
    count, left = 0, rng.expovariate(1.0)
    while left < mean:
        count += 1
        left += rng.expovariate(1.0)
    return count
