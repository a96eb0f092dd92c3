"""A simulated fleet of instances that share the limits of client accounts.

Each instance has the coordinator, the tokens and the choice of a coordinator
that it has in service, and a monotonic clock of its own. Time passes from
event to event.
"""

import collections
import dataclasses
import heapq
import itertools
import random
from collections.abc import Callable
from collections.abc import Collection

from chiverun.core import edgemessages
from chiverun.core.catalog import ClientAccount
from chiverun.core.catalog import Machine
from chiverun.core.edgemessages import QuotaGrant
from chiverun.core.edgemessages import QuotaReport
from chiverun.core.edgesettings import EdgeBounds
from chiverun.core.quota import Admitted
from chiverun.core.quota import Exceeded
from chiverun.core.quotaadmission import QuotaAdmission
from chiverun.core.quotaclient import QuotaClient
from chiverun.core.quotacoordinator import QuotaCoordinator

BOUNDS = EdgeBounds()
# One-way delays of messages.
ZONE_S = 0.001
REGION_S = 0.035
# A change of the store is known at an instance within this time.
KNOWN_S = 1.0
DEADLINE_S = 2.0


def make_account(name: str, per_s: float, burst: float = 0.0):
    """Return an account with a limit."""
    return ClientAccount(name=name, key_digests=(), per_s=per_s, burst=burst)


def allowed(account: ClientAccount, bounds: EdgeBounds = BOUNDS) -> float:
    """Return the requests that all instances may admit in a window."""
    limit = account.per_s * bounds.quota_window_s + account.burst
    return limit * (1 + bounds.quota_excess) + bounds.quota_extra


@dataclasses.dataclass(kw_only=True)
class Tally:
    """Outcomes of the requests of an account; times in seconds."""

    admitted: list[float] = dataclasses.field(default_factory=list)
    refused: list[float] = dataclasses.field(default_factory=list)
    waits: list[float] = dataclasses.field(default_factory=list)
    retry_s: list[float] = dataclasses.field(default_factory=list)


class Instance:
    """One edge instance and its process at the moment."""

    def __init__(self, machine: Machine, fleet: "QuotaFleet") -> None:
        self.machine = machine
        self.fleet = fleet
        self.is_up = False
        self.paused_until = float("-inf")
        self._backlog: list[Callable[[], None]] = []
        self._wakes_at = float("inf")
        self._life = 0

    def start(self) -> None:
        """Start a process, which knows nothing."""
        self._life += 1
        self.is_up = True
        self.paused_until = float("-inf")
        self._backlog = []
        self._wakes_at = float("inf")
        self._offset = self.fleet.rng.uniform(0, 1e5)
        name = self.machine.name
        boot_id = f"{name}.{self._life}"
        self.coordinator = QuotaCoordinator(
            name=name, boot_id=boot_id, bounds=self.fleet.bounds
        )
        self.client = QuotaClient(
            me=self.machine,
            boot_id=boot_id,
            coordinator=self.coordinator,
            window_s=self.fleet.bounds.quota_window_s,
            now=self.time(),
        )
        self.admission = QuotaAdmission(client=self.client, send=self._send)
        self.learn()

    def stop(self) -> None:
        """Kill the process."""
        self.is_up = False

    def time(self) -> float:
        """Return the time of the own clock."""
        return self.fleet.now + self._offset

    def learn(self) -> None:
        """Learn the present accounts and instances."""
        accounts = {a.name: a for a in self.fleet.accounts.values()}
        registered = list(self.fleet.registered)
        self.coordinator.set_accounts(accounts, self.time())
        self.coordinator.set_fleet(registered, self.time())
        self.client.set_fleet(registered, self.time())
        self._schedule()

    def run(self, action: Callable[[], None]) -> None:
        """Run an action now, or when a pause is over."""
        if not self.is_up:
            return
        if self.fleet.now < self.paused_until:
            self._backlog.append(action)
            return
        action()
        self._schedule()

    def pause(self, seconds: float) -> None:
        """Handle nothing for a time, then all that has come."""
        self.paused_until = self.fleet.now + seconds
        self.fleet.at(self.paused_until, self._resume)

    def _resume(self) -> None:
        backlog, self._backlog = self._backlog, []
        for action in backlog:
            self.run(action)

    def receive(self, message: QuotaReport | QuotaGrant) -> None:
        """Handle a message of another instance."""
        if isinstance(message, QuotaGrant):
            self.admission.receive(message, self.time())
            return
        if not self.coordinator.has_accounts:
            return
        grant = self.coordinator.handle(message, self.time())
        if grant is not None:
            self._send(message.reply_to, grant)

    def request(self, account: str) -> None:
        """Handle a request of a client."""
        tally = self.fleet.tallies[account]
        came_at = self.fleet.now

        def done(outcome: Admitted | Exceeded) -> None:
            if isinstance(outcome, Exceeded):
                tally.refused.append(self.fleet.now)
                tally.retry_s.append(outcome.wait_s)
            else:
                tally.admitted.append(self.fleet.now)
                tally.waits.append(self.fleet.now - came_at)

        now = self.time()
        deadline = now + DEADLINE_S
        outcome = self.admission.admit(account, now, deadline)
        if outcome is not None:
            done(outcome)
        else:
            self.admission.wait(account, now, deadline, done)

    def _send(self, address: str, message) -> None:
        self.fleet.post(self, address, message)

    def _schedule(self) -> None:
        if not self.coordinator.has_accounts:
            return
        at = max(self.fleet.now, self.admission.next_at() - self._offset)
        if at < self._wakes_at:
            self._wakes_at = at
            life = self._life
            self.fleet.at(at, lambda: self._wake(life, at))

    def _wake(self, life: int, at: float) -> None:
        if life != self._life or at != self._wakes_at:
            return
        self._wakes_at = float("inf")
        self.run(self._tick)

    def _tick(self) -> None:
        if self.coordinator.has_accounts:
            self.admission.tick(self.time())


class QuotaFleet:
    """Instances in regions and zones, and the network between them."""

    def __init__(
        self,
        *,
        machines: int,
        accounts: Collection[ClientAccount],
        seed: int = 1,
        zones: int = 6,
        regions: int = 3,
        bounds: EdgeBounds = BOUNDS,
        loss: float = 0.0,
        measures_bytes: bool = False,
    ) -> None:
        self.now = 0.0
        self.rng = random.Random(seed)
        self.bounds = bounds
        self.loss = loss
        self.accounts = {account.name: account for account in accounts}
        self.tallies = collections.defaultdict(Tally)
        self.messages = 0
        self.bytes = 0
        self.sent_by: collections.Counter[str] = collections.Counter()
        self.bytes_by: collections.Counter[str] = collections.Counter()
        self._measures_bytes = measures_bytes
        self._side: Callable[[Machine], object] = lambda machine: None
        # Whether messages from one instance to another are lost.
        self.blocks: Callable[[Machine, Machine], bool] = (
            lambda sender, receiver: False
        )
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self.instances: dict[str, Instance] = {}
        self.registered: list[Machine] = []
        for number in range(machines):
            zone = number % zones
            self._add(number, f"z{zone}", f"r{zone % regions}")
        self.registered = [i.machine for i in self.instances.values()]
        for instance in self.instances.values():
            instance.start()

    def _add(self, number: int, zone: str, region: str) -> Instance:
        name = f"i{number:03d}"
        machine = Machine(
            name=name, peer=name, entry=name, zone=zone, region=region
        )
        self.instances[name] = Instance(machine, self)
        return self.instances[name]

    def join(self, zone: str = "z0", region: str = "r0") -> None:
        """Add an instance, of which all learn."""
        instance = self._add(len(self.instances), zone, region)
        self.registered.append(instance.machine)
        instance.start()
        self.announce()

    def announce(self) -> None:
        """Let all instances learn what has changed in the store."""
        for instance in self.instances.values():
            delay_s = self.rng.uniform(0, KNOWN_S)
            self.at(self.now + delay_s, lambda i=instance: i.run(i.learn))

    def set_limit(self, account: ClientAccount) -> None:
        """Change the limit of an account."""
        self.accounts[account.name] = account
        self.announce()

    def cut(self, side: Callable[[Machine], object]) -> None:
        """Let only instances of the same side reach each other."""
        self._side = side

    def heal(self) -> None:
        """End a partition."""
        self._side = lambda machine: None
        self.blocks = lambda sender, receiver: False

    def at(self, time_s: float, action: Callable[[], None]) -> None:
        """Run an action at a time."""
        heapq.heappush(self._events, (time_s, next(self._numbers), action))

    def run(self, until_s: float) -> None:
        """Let time pass."""
        while self._events and self._events[0][0] <= until_s:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = until_s

    def post(self, sender: Instance, address: str, message) -> None:
        """Send a message, which may be lost."""
        receiver = self.instances[address]
        self.messages += 1
        self.sent_by[sender.machine.name] += 1
        if self._measures_bytes:
            size = len(edgemessages.encode(message))
            self.bytes += size
            self.bytes_by[sender.machine.name] += size
        is_cut = self._side(sender.machine) != self._side(
            receiver.machine
        ) or self.blocks(sender.machine, receiver.machine)
        if is_cut or self.rng.random() < self.loss:
            return
        is_near = sender.machine.region == receiver.machine.region
        delay_s = (ZONE_S if is_near else REGION_S) * self.rng.uniform(1, 1.2)
        self.at(
            self.now + delay_s,
            lambda: receiver.run(lambda: receiver.receive(message)),
        )

    def reset_counts(self) -> None:
        """Count messages and bytes anew."""
        self.messages = self.bytes = 0
        self.sent_by.clear()
        self.bytes_by.clear()

    def load(
        self,
        account: str,
        per_s: float,
        *,
        since_s: float,
        until_s: float,
        only: Callable[[Machine], bool] = lambda machine: True,
    ) -> None:
        """Let clients send requests to live instances.

        Their times vary, but no request is sent ahead of the rate.
        """

        def arrive() -> None:
            targets = [
                i
                for i in self.instances.values()
                if i.is_up and only(i.machine)
            ]
            if targets:
                target = self.rng.choice(targets)
                target.run(lambda: target.request(account))
            schedule(self.now)

        def schedule(after_s: float) -> None:
            at = after_s + self.rng.uniform(1.0, 1.1) / per_s
            if at < until_s:
                self.at(at, arrive)

        schedule(since_s)

    def coordinators(self) -> collections.Counter[str]:
        """Return how many live instances use each coordinator."""
        return collections.Counter(
            i.client.current for i in self.instances.values() if i.is_up
        )


def most_in_window(times: list[float], window_s: float) -> int:
    """Return the largest count in any window, by counting each anew."""
    times = sorted(times)
    most = first = 0
    for last, at in enumerate(times):
        while times[first] <= at - window_s:
            first += 1
        most = max(most, last - first + 1)
    return most
