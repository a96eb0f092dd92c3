"""A fleet of catalog followers on a simulated network and clock."""

import collections
import random
from unittest import mock

from chiverun.core import edgemessages
from chiverun.core.catalog import ClientLimits
from chiverun.core.catalog import DesiredState
from chiverun.core.catalog import Machine
from chiverun.core.catalog import Server
from chiverun.core.catalog import ServerState
from chiverun.core.peertable import HEARTBEAT_PERIOD_S
from chiverun.core.replica import Record
from chiverun.core.replica import VersionedRecord
from chiverun.core.revisions import Era
from chiverun.core.revisions import era_of
from chiverun.core.revisions import make_revision
from chiverun.core.revisions import Revision
from chiverun.core.suspects import Fingerprint
from chiverun.core.suspects import SuspectTable
from chiverun.integrations.catalogstore import CatalogUnavailable
from chiverun.integrations.catalogstore import Changes
from chiverun.integrations.catalogstore import HistoryCompacted
from chiverun.runtime.demandexchange import DemandExchange
from chiverun.runtime.demandexchange import TICK_S
from chiverun.runtime.follower import CatalogFollower
from chiverun.runtime.follower import READ_PAUSE_S
from chiverun.runtime.limitexchange import LimitExchange
from chiverun.runtime.loadexchange import LoadExchange
from chiverun.runtime.servertable import ServerTable
from chiverun.runtime.suspectexchange import SuspectExchange
from tests.records import make_row
from tests.records import make_server

SERVER = "s1"
STEP_S = 0.05
_LATENCY_S = 0.05


class _Clock:
    """Takes the place of the event loop."""

    def __init__(self) -> None:
        self.now = 100.0

    def time(self) -> float:
        return self.now


class SharedStore:
    """A store with a change log, as all machines see it.

    It can be restored from an older copy, after which it gives out revisions
    again in a later era.
    """

    def __init__(self) -> None:
        self.log: list[tuple[str, Record | None]] = []
        self.era = Era(1)
        self.calls = 0
        self.down = False

    @property
    def revision(self) -> int:
        """The store's own revision."""
        return len(self.log)

    @property
    def as_of(self) -> Revision:
        """The revision within its era."""
        return make_revision(self.era, self.revision)

    def write(self, key: str, record: Record | None) -> None:
        """Write a record, or remove it."""
        self.log.append((key, record))

    def restore(self, revision: int) -> None:
        """Forget what was written after a revision."""
        del self.log[revision:]
        self.era = Era(self.era + 1)

    def items(self) -> list[VersionedRecord]:
        """Return all changes of the log."""
        return [
            VersionedRecord(
                key=key,
                revision=make_revision(self.era, number + 1),
                record=record,
            )
            for number, (key, record) in enumerate(self.log)
        ]


class _StoreClient:
    """The store as one machine reaches it."""

    def __init__(self, *, store: SharedStore) -> None:
        self._store = store
        self.reachable = True

    def _call(self) -> None:
        self._store.calls += 1
        if not self.reachable or self._store.down:
            raise CatalogUnavailable("cut")

    async def read_all(self) -> Changes:
        self._call()
        latest = {item.key: item for item in self._store.items()}
        items = [item for item in latest.values() if item.record is not None]
        return Changes(items=items, as_of=self._store.as_of)

    async def changes_since(self, revision: int, wait_s: float) -> Changes:
        self._call()
        if era_of(revision) != self._store.era:
            raise HistoryCompacted
        items = [i for i in self._store.items() if i.revision > revision]
        return Changes(items=items, as_of=self._store.as_of)

    async def register(self, machine: Machine, known_revision: int) -> bool:
        self._call()
        self._store.write(f"chiverun/machines/{machine.name}", machine)
        return True


class Fleet:
    """Machines by name; `cut` holds pairs of zones without a link.

    A part of the messages can be lost. All zones are in one region, unless
    `regions` maps them to others. Each machine has one server, `SERVER`, in
    its table, and the `servers`. Loads are exchanged if `shares_loads` is set.
    """

    def __init__(
        self,
        *,
        zones: tuple[str, ...],
        machines: int,
        regions: dict[str, str] | None = None,
        servers: tuple[Server, ...] = (),
    ) -> None:
        self.servers = servers
        self.shares_loads = False
        self.lost_part = 0.0
        self.demands: dict[str, DemandExchange] = {}
        self.loads: dict[str, LoadExchange] = {}
        self.clock = _Clock()
        self.store = SharedStore()
        self.store.write("op/config", desired_state(1))
        self.followers: dict[str, CatalogFollower] = {}
        self.exchanges: dict[str, LimitExchange] = {}
        self.suspects: dict[str, SuspectExchange] = {}
        self.suspect_tables: dict[str, SuspectTable] = {}
        self.tables: dict[str, ServerTable] = {}
        self.regions = regions or dict.fromkeys(zones, "r")
        self.clients: dict[str, _StoreClient] = {}
        self.machines: dict[str, Machine] = {}
        self.down: set[str] = set()
        self.cut: set[frozenset[str]] = set()
        # Messages between two zones, by sender.
        self.sent_between: collections.Counter[str] = collections.Counter()
        self.sent: collections.Counter[str] = collections.Counter()
        self.sent_bytes: collections.Counter[str] = collections.Counter()
        self._in_flight: list[tuple[float, str, bytes]] = []
        self._due: dict[str, list[float]] = {}
        self._by_address: dict[str, str] = {}
        self._rng = random.Random(1)
        for zone in zones:
            for number in range(machines):
                self._add(zone, number)

    def _add(self, zone: str, number: int) -> None:
        name = f"{zone}-{number:03d}"
        machine = Machine(
            name=name,
            peer=f"peer-{name}",
            entry=f"entry-{name}",
            zone=zone,
            region=self.regions[zone],
        )
        self.machines[name] = machine
        self._by_address[machine.peer] = name
        self.start(name)

    def start(self, name: str) -> None:
        """Start a machine, or start it again without any state."""
        self.down.discard(name)
        client = _StoreClient(store=self.store)
        peers = _Sender(fleet=self, name=name)
        with mock.patch("asyncio.get_running_loop", return_value=self.clock):
            follower = CatalogFollower(
                me=self.machines[name],
                boot_id=f"life-{self.clock.now}",
                store=client,
                peers=peers,
                seeds=(),
                on_change=lambda: None,
                on_limits=lambda message: exchange.receive(message),
                on_suspect=lambda message: suspects.receive(message),
                on_demand=lambda message: demand.receive(message),
                on_loads=lambda message: loads.receive(message),
            )
            table = _server_table(name)
            for server in self.servers:
                add_server(table, server, self.regions[server.zone], name)
            demand = DemandExchange(
                servers=table,
                table=follower.table,
                peers=peers,
                boot_id=f"life-{name}-{self.clock.now}",
                regions=self.regions,
            )
            loads = LoadExchange(
                servers=table,
                table=follower.table,
                peers=peers,
                boot_id=f"life-{name}-{self.clock.now}",
            )
            exchange = LimitExchange(
                servers=table, table=follower.table, peers=peers
            )
            suspect_table = SuspectTable()
            suspects = SuspectExchange(
                suspects=suspect_table, table=follower.table, peers=peers
            )
        self.clients[name] = client
        self.followers[name] = follower
        self.tables[name] = table
        self.exchanges[name] = exchange
        self.suspects[name] = suspects
        self.suspect_tables[name] = suspect_table
        self.demands[name] = demand
        self.loads[name] = loads
        start_at = self.clock.now + 0.3 * self._rng.random()
        self._due[name] = [start_at] * 4

    def post(self, sender: str, address: str, payload: bytes) -> None:
        """Send a message, which is lost where the link is cut."""
        receiver = self._by_address[address]
        zones = {self.machines[sender].zone, self.machines[receiver].zone}
        self.sent[sender] += 1
        self.sent_bytes[sender] += len(payload)
        if len(zones) > 1:
            self.sent_between[sender] += 1
        if self.lost_part and self._rng.random() < self.lost_part:
            return
        if frozenset(zones) not in self.cut and receiver not in self.down:
            arrives_at = self.clock.now + _LATENCY_S
            self._in_flight.append((arrives_at, receiver, payload))

    def run(self, seconds: float) -> None:
        """Advance the clock and run all machines."""
        for _ in range(round(seconds / STEP_S)):
            self.clock.now += STEP_S
            self._deliver()
            for name, follower in self.followers.items():
                if name not in self.down:
                    self._run_machine(name, follower)

    def _deliver(self) -> None:
        due = [row for row in self._in_flight if row[0] <= self.clock.now]
        self._in_flight = [
            row for row in self._in_flight if row[0] > self.clock.now
        ]
        for _, receiver, payload in due:
            if receiver not in self.down:
                self.followers[receiver]._receive(payload)

    def _run_machine(self, name: str, follower: CatalogFollower) -> None:
        due = self._due[name]
        if self.clock.now >= due[0]:
            due[0] = self.clock.now + HEARTBEAT_PERIOD_S
            follower.heartbeats.send(follower._reads_store)
            follower.replica.expire(self.clock.now)
            follower.replica.release_held(self.clock.now)
            self.exchanges[name].send()
        if self.clock.now >= due[2]:
            due[2] = self.clock.now + TICK_S
            self.demands[name].tick()
        if self.shares_loads and self.clock.now >= due[3]:
            due[3] = self.clock.now + self.loads[name].period_s()
            self.loads[name].tick()
        if self.clock.now >= due[1] and follower._must_read():
            due[1] = self.clock.now + READ_PAUSE_S
            try:
                follower._read().send(None)
            except StopIteration:
                pass
            except (CatalogUnavailable, HistoryCompacted) as exc:
                follower._record_failure(exc)
                follower._pull()

    def versions(self) -> set[int]:
        """Return the desired states in force on the live machines."""
        return {
            follower.replica.desired_state().version
            for name, follower in self.followers.items()
            if name not in self.down
        }

    def in_use(self) -> set[frozenset[str]]:
        """Return the ready servers that each live machine may use."""
        return {
            frozenset(
                server.name
                for server, _ in follower.replica.servers()
                if server.state is ServerState.READY
            )
            for name, follower in self.followers.items()
            if name not in self.down
        }

    def named_by(self, name: str) -> set[str]:
        """Return the machines that a machine takes for live."""
        live = self.followers[name].table.live(self.clock.now)
        return {machine.name for machine in live} | {name}

    def blocking(self, fingerprint: Fingerprint) -> set[str]:
        """Return the live machines that send a request no further."""
        return {
            name
            for name in self.alive()
            if self.suspect_tables[name].is_blocked(
                fingerprint, self.clock.now
            )
        }

    def hear_limit(self, name: str, per_s: float | None) -> None:
        """Let a machine get a response of the server."""
        now = self.clock.now
        limit = self.tables[name].rows[SERVER].limit
        limit.apply(per_s, sent_at=now, now=now)

    def keeping(self) -> set[str]:
        """Return the live machines that know the server's limit."""
        now = self.clock.now
        return {
            name
            for name in self.alive()
            if self.tables[name].rows[SERVER].limit.in_force(now) is not None
        }

    def alive(self) -> set[str]:
        """Return the machines that run."""
        return set(self.followers) - self.down


class _Sender:
    """The transport of one machine."""

    def __init__(self, *, fleet: Fleet, name: str) -> None:
        self._fleet = fleet
        self._name = name

    def send(self, address: str, payload: bytes) -> None:
        edgemessages.decode(payload)
        self._fleet.post(self._name, address, payload)


def _server_table(machine: str) -> ServerTable:
    table = ServerTable(machine=machine)
    table.rows[SERVER] = make_row(make_server(SERVER), machine=machine)
    return table


def add_server(
    table: ServerTable, server: Server, region: str, machine: str
) -> None:
    """Add a server to the table of a machine."""
    row = make_row(server, region=region, machine=machine)
    table.rows[server.name] = row
    table.by_service.setdefault(server.service, []).append(row)


def desired_state(version: int) -> DesiredState:
    """Return an empty desired state."""
    return DesiredState(
        version=version, routes=(), services=(), limits=ClientLimits()
    )
