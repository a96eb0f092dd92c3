"""A model of instances that send to the same servers, in virtual time.

Servers, network and clients are modelled; servers are selected and loads
exchanged by the code under test.
"""

import dataclasses
import heapq
import itertools
import random
from collections.abc import Callable
from unittest import mock

import msgspec

from chiverun.core import edgemessages
from chiverun.core.catalog import Machine
from chiverun.core.edgesettings import EdgeBounds
from chiverun.core.health import SHED_PAUSE_S
from chiverun.runtime.loadexchange import LoadExchange
from chiverun.runtime.selection import make_placement
from chiverun.runtime.selection import Selector
from chiverun.runtime.servertable import ServerRow
from chiverun.runtime.servertable import ServerTable
from tests.records import make_server
from tests.runtime.fleet import add_server
from tests.runtime.test_selection import ROUTE

ZONES = {"a1": "a", "a2": "a"}
SLOTS = 4
QUEUE = 9
RUN_S = (0.3, 1.0)
# A key that a server has not run in the last `CACHED_KEYS` runs of others.
COLD_FACTOR = 2.0
CACHED_KEYS = 60
MESSAGE_S = 0.002
OBJECTIVE_S = 1.6
KEYS = 400
SENDS_MAX = 3


@dataclasses.dataclass(kw_only=True)
class _Request:
    key: str
    run_s: float
    tried: set[str] = dataclasses.field(default_factory=set)


class _Server:
    def __init__(self, model: "LoadModel", name: str, speed: float) -> None:
        self._model = model
        self.name = name
        self._speed = speed
        self.running = 0
        self.waiting: list[Callable[[], None]] = []
        self._cached: dict[str, None] = {}

    def arrive(
        self, request: _Request, done: Callable[[bool, int, int], None]
    ) -> None:
        if self.running >= SLOTS and len(self.waiting) >= QUEUE:
            self._model.rejected += 1
            done(False, self.running, len(self.waiting))
            return
        self.waiting.append(lambda: self._run(request, done))
        self._start()

    def _start(self) -> None:
        while self.waiting and self.running < SLOTS:
            self.running += 1
            self.waiting.pop(0)()

    def _run(self, request: _Request, done: Callable) -> None:
        is_cold = request.key not in self._cached
        self._cached.pop(request.key, None)
        self._cached[request.key] = None
        if len(self._cached) > CACHED_KEYS:
            del self._cached[next(iter(self._cached))]
        self._model.cold += is_cold
        run_s = request.run_s * (COLD_FACTOR if is_cold else 1) / self._speed

        def end() -> None:
            self.running -= 1
            self._start()
            done(True, self.running, len(self.waiting))

        self._model.after(run_s, end)


class _Peers:
    """The transport of one instance, and the peers that it knows."""

    def __init__(self, model: "LoadModel", me: Machine) -> None:
        self.me = me
        self._model = model

    def send(self, address: str, payload: bytes) -> None:
        message = edgemessages.decode(payload)
        receiver = self._model.instances[address]
        self._model.after(
            MESSAGE_S, lambda: receiver.exchange.receive(message)
        )

    def region_hubs(self, now: float) -> list[Machine]:
        return self._machines()[:1]

    def region_machines(self) -> list[Machine]:
        return [m for m in self._machines() if m != self.me]

    def live(self, now: float) -> list[Machine]:
        return self.region_machines()

    def machine(self, name: str) -> Machine:
        return self._model.instances[name].me

    def _machines(self) -> list[Machine]:
        return [i.me for i in self._model.instances.values()]


class _Instance:
    def __init__(self, model: "LoadModel", name: str, zone: str) -> None:
        self._model = model
        self.me = Machine(
            name=name, peer=name, entry=name, zone=zone, region="a"
        )
        self.table = ServerTable(machine=name)
        for server in model.records:
            add_server(self.table, server, "a", name)
        peers = _Peers(model, self.me)
        with mock.patch("asyncio.get_running_loop", return_value=model):
            self.exchange = LoadExchange(
                servers=self.table, table=peers, peers=peers, boot_id=name
            )
        self.selector = Selector(
            table=self.table,
            region="a",
            zone=zone,
            regions=ZONES,
            bounds=EdgeBounds(),
            machine=name,
            fleet=lambda: [i.me for i in model.instances.values()],
            region_zones=lambda: [i.me.zone for i in model.instances.values()],
        )

    def tick(self) -> None:
        self.exchange.tick()
        self._model.after(self.exchange.period_s(), self.tick)

    def handle(self, request: _Request) -> None:
        """Send a request, again if a server rejects it."""
        run_s = sum(RUN_S) / 2
        placement = make_placement(
            self._model.route, "mill", (), request.key, "id", run_s, run_s
        )
        now = self._model.now
        row = self.selector.choose(placement, None, request.tried, now)
        if not isinstance(row, ServerRow):
            self._model.refused += 1
            return
        self._model.sends += 1
        request.tried.add(row.server.name)
        row.load.in_flight += 1
        server = self._model.servers[row.server.name]
        arrived_at = now
        factor = 1 + max(0.0, row.load.total(now) - SLOTS + 1) / SLOTS

        def done(is_run: bool, running: int, waiting: int) -> None:
            row.load.in_flight -= 1
            row.load.report(
                running, waiting, self._model.now, slots=row.server.slots
            )
            if is_run:
                elapsed_s = self._model.now - arrived_at
                row.load.record_run(elapsed_s / factor / run_s)
                self._model.record(elapsed_s)
                return
            row.health.ejected_until = self._model.now + SHED_PAUSE_S
            if len(request.tried) < SENDS_MAX:
                self.handle(request)

        def back(*result) -> None:
            self._model.after(MESSAGE_S, lambda: done(*result))

        self._model.after(MESSAGE_S, lambda: server.arrive(request, back))


class LoadModel:
    """Instances, servers of different speed and Poisson arrivals."""

    def __init__(
        self,
        *,
        instances: int,
        servers: int,
        use: float,
        exchanges: bool,
        seed: int,
    ) -> None:
        self.now = 100.0
        self.route = msgspec.structs.replace(ROUTE, objective_s=OBJECTIVE_S)
        self.rejected = self.refused = self.sends = self.cold = 0
        self.served = self.in_time = 0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._rng = rng = random.Random(seed)
        zones = list(ZONES)
        self.records = [
            make_server(f"s{i:02d}", zone=zones[i % 2], slots=SLOTS)
            for i in range(servers)
        ]
        speeds = {s.name: rng.uniform(0.6, 1.4) for s in self.records}
        self.servers = {
            name: _Server(self, name, speed) for name, speed in speeds.items()
        }
        self.instances: dict[str, _Instance] = {}
        for i in range(instances):
            name = f"m{i:02d}"
            self.instances[name] = _Instance(self, name, zones[i % 2])
        if exchanges:
            for instance in self.instances.values():
                self.after(0.2 * rng.random(), instance.tick)
        mean_s = sum(RUN_S) / 2 * 1.1
        self._per_s = use * SLOTS * sum(speeds.values()) / mean_s
        self.after(0.0, self._arrive)

    def time(self) -> float:
        """Return the virtual time, as the event loop's."""
        return self.now

    def after(self, delay_s: float, call: Callable[[], None]) -> None:
        """Schedule a call."""
        event = (self.now + delay_s, next(self._numbers), call)
        heapq.heappush(self._events, event)

    def run(self, seconds: float) -> None:
        """Advance the time."""
        until = self.now + seconds
        while self._events and self._events[0][0] <= until:
            self.now, _, call = heapq.heappop(self._events)
            call()
        self.now = until

    def record(self, elapsed_s: float) -> None:
        """Count a request that was served."""
        self.served += 1
        self.in_time += elapsed_s <= OBJECTIVE_S

    def _arrive(self) -> None:
        # Few keys get many requests.
        key = f"k{int(KEYS * self._rng.random() ** 2)}"
        request = _Request(key=key, run_s=self._rng.uniform(*RUN_S))
        self._rng.choice(list(self.instances.values())).handle(request)
        # Bursts of 4 s in every 12 s.
        is_burst = self.now % 12 < 4
        per_s = self._per_s * (1.5 if is_burst else 0.75)
        self.after(self._rng.expovariate(per_s), self._arrive)
