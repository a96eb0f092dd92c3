"""Control planes in one process, on fakes of their interfaces.

`MessageExchange` replaces the peer transport, `MemoryStore` the platform's
store. `Planes` runs process lifetimes of instances step by step on one manual
clock, gives them requests and records every use of a slot.
"""

import collections
import dataclasses
import heapq
import itertools
import random
from collections.abc import Callable

from chiverun.core.admission import Admission
from chiverun.core.clock import ManualClock
from chiverun.core.errors import ChiverunError
from chiverun.core.exchange import Answered
from chiverun.core.ids import Address
from chiverun.core.ids import BootId
from chiverun.core.ids import InstanceId
from chiverun.core.ids import RegionName
from chiverun.core.ids import ServerName
from chiverun.core.ids import ServiceName
from chiverun.core.ids import TicketNumber
from chiverun.core.ids import ZoneName
from chiverun.core.messages import decode_message
from chiverun.core.messages import encode_message
from chiverun.core.messages import Message
from chiverun.core.state import apply_ticket
from chiverun.core.state import empty_state
from chiverun.core.state import State
from chiverun.core.ticket import Length
from chiverun.core.ticket import Region
from chiverun.core.ticket import RequestClass
from chiverun.core.ticket import Server
from chiverun.core.ticket import Service
from chiverun.core.ticket import Ticket
from chiverun.core.ticket import Zone
from chiverun.core.work import Grant
from chiverun.core.work import Work
from chiverun.integrations.interfaces import Item
from chiverun.integrations.interfaces import StoreAnswerLost
from chiverun.integrations.interfaces import StoreUnavailable
from chiverun.runtime.control import ControlPlane
from chiverun.runtime.control import Identity
from chiverun.runtime.events import Event
from chiverun.runtime.events import StateRead
from chiverun.runtime.events import StoreJob
from chiverun.runtime.storeworker import run_job
from chiverun.runtime.storeworker import SeatRecords

STEP_S = 0.1
REGION = RegionName("dar")
ZONE = ZoneName("dar-a")
SERVICE = ServiceName("hire-desk")
SHORT = RequestClass(name="read", methods=("GET",), deadline_ms=1500)
LONG = RequestClass(
    name="export", methods=("GET",), length=Length.LONG, deadline_ms=6000
)


def make_ticket(
    number: int = 1,
    *,
    seats: int = 6,
    servers: int = 3,
    slots: int = 4,
    long_slots: int = 1,
    classes: tuple[RequestClass, ...] = (SHORT, LONG),
) -> Ticket:
    """Return a ticket that declares one zone with its servers."""
    return Ticket(
        number=TicketNumber(number),
        reason="test",
        author="test",
        region=(Region(name=REGION),),
        zone=(Zone(name=ZONE, region=REGION, seats=seats),),
        service=(Service(name=SERVICE, classes=classes),),
        server=tuple(
            Server(
                name=ServerName(f"desk-{i}"),
                service=SERVICE,
                zone=ZONE,
                address=Address(f"127.0.1.{i + 1}:80"),
                slots=slots,
                long_slots=long_slots,
            )
            for i in range(servers)
        ),
    )


def make_state(**fields) -> State:
    """Return the state after `make_ticket`."""
    return apply_ticket(empty_state(), make_ticket(**fields))


class MemoryStore:
    """A key-value store that can fail, lose answers or be rolled back."""

    def __init__(self) -> None:
        self.items: dict[str, tuple[bytes, int]] = {}
        self.index = 0
        self.is_down = False
        self.lost_answers = 0
        self.calls = 0

    def _check(self) -> None:
        self.calls += 1
        if self.is_down:
            raise StoreUnavailable("store is down")

    def get(
        self, key: str, *, index: int = 0, wait_s: float = 0.0
    ) -> Item | None:
        self._check()
        if key not in self.items:
            return None
        value, at = self.items[key]
        return Item(key=key, value=value, index=at)

    def put(self, key: str, value: bytes, *, cas: int) -> bool:
        self._check()
        current = self.items.get(key)
        if (current[1] if current else 0) != cas:
            return False
        self.index += 1
        self.items[key] = (value, self.index)
        if self.lost_answers > 0:
            self.lost_answers -= 1
            raise StoreAnswerLost(f"answer to the write of {key!r} was lost")
        return True

    def delete(self, key: str, *, cas: int) -> bool:
        self._check()
        return self.items.pop(key, None) is not None

    def keys(self, prefix: str) -> list[str]:
        self._check()
        return [k for k in self.items if k.startswith(prefix)]


class StoreView:
    """The store as seen by one instance, which can be cut off from it."""

    def __init__(
        self, *, store: MemoryStore, is_cut: Callable[[], bool]
    ) -> None:
        self._store = store
        self._is_cut = is_cut

    def get(self, key: str, *, index: int = 0, wait_s: float = 0.0):
        if self._is_cut():
            raise StoreUnavailable("instance is cut off from the store")
        return self._store.get(key)

    def put(self, key: str, value: bytes, *, cas: int) -> bool:
        if self._is_cut():
            raise StoreUnavailable("instance is cut off from the store")
        return self._store.put(key, value, cas=cas)


class MessageExchange:
    """Network of encoded messages with loss, delays, duplicates and cuts."""

    def __init__(self, *, clock: ManualClock, rng: random.Random) -> None:
        self._clock = clock
        self._rng = rng
        self._due: list[tuple[float, int, Address, bytes]] = []
        self._order = itertools.count()
        self.loss = 0.0
        self.duplicates = 0.0
        self.delay_s = (0.001, 0.02)
        self.is_cut: Callable[[Address, Address], bool] = lambda a, b: False
        self.bytes_sent: collections.Counter = collections.Counter()
        self.bytes_received: collections.Counter = collections.Counter()
        self.counts: collections.Counter = collections.Counter()

    def send(self, source: Address, to: Address, message: Message) -> None:
        data = encode_message(message)
        self.bytes_sent[source] += len(data)
        self.counts[type(message).__name__] += 1
        copies = 2 if self._rng.random() < self.duplicates else 1
        for _ in range(copies):
            if self.is_cut(source, to) or self._rng.random() < self.loss:
                continue
            at = self._clock.monotonic() + self._rng.uniform(*self.delay_s)
            heapq.heappush(self._due, (at, next(self._order), to, data))

    def pop_due(self) -> list[tuple[Address, bytes]]:
        """Return the messages that have arrived by now."""
        arrived = []
        while self._due and self._due[0][0] <= self._clock.monotonic():
            _, _, to, data = heapq.heappop(self._due)
            self.bytes_received[to] += len(data)
            arrived.append((to, data))
        return arrived


@dataclasses.dataclass(kw_only=True)
class SlotUse:
    """A use of a slot by a process lifetime, in monotonic seconds."""

    boot_id: BootId
    start: float
    until: float


@dataclasses.dataclass(kw_only=True)
class _RunningRequest:
    grant: Grant
    use: SlotUse
    is_sent: bool = False


class Lifetime:
    """One process lifetime of an instance, with its control plane."""

    def __init__(
        self,
        *,
        planes: "Planes",
        name: str,
        peer: Address,
        plane_type: type[ControlPlane] = ControlPlane,
        zone: ZoneName = ZONE,
    ) -> None:
        self._planes = planes
        self.peer = peer
        self.zone = zone
        self.is_dead = False
        self.frozen_until = float("-inf")
        self.jobs: collections.deque[StoreJob] = collections.deque()
        self.inbox: collections.deque[Event | Message] = collections.deque()
        self.running: list[_RunningRequest] = []
        rng = random.Random(planes.rng.random())
        boot_id = BootId(f"{planes.rng.getrandbits(64):016x}")
        self.admission = Admission(zone=zone, clock=planes.clock, rng=rng)
        host, _, port = peer.rpartition(":")
        first = int(port)
        self.plane = plane_type(
            identity=Identity(
                instance=InstanceId(name),
                boot_id=boot_id,
                zone=zone,
                lookup=Address(f"{host}:{first + 1}"),
                entry=Address(f"{host}:{first + 2}"),
                forward=Address(f"{host}:{first + 3}"),
                peer=peer,
                seeds=planes.seeds,
            ),
            clock=planes.clock,
            rng=rng,
            admission=self.admission,
            send=lambda to, m: planes.exchange.send(peer, to, m),
            submit=self.jobs.append,
        )
        self.records = SeatRecords(
            store=StoreView(
                store=planes.store, is_cut=lambda: planes.is_store_cut(peer)
            ),
            zone=zone,
        )
        if planes.state is not None:
            self.plane.handle(StateRead(state=planes.state))

    @property
    def name(self) -> str:
        return self.plane.identity.instance

    @property
    def boot_id(self) -> BootId:
        return self.plane.identity.boot_id

    @property
    def held(self) -> set[int]:
        return set(self.plane.seats.held)

    @property
    def is_running(self) -> bool:
        now = self._planes.clock.monotonic()
        return not self.is_dead and now >= self.frozen_until

    def step(self) -> None:
        """Handle the inbox, tick, run one store job and process requests.

        The first three run in forward or reverse order at random.
        """
        actions = [self._handle_inbox, self.plane.tick, self._run_job]
        if self._planes.rng.random() < 0.5:
            actions.reverse()
        for action in actions:
            action()
        self._process_requests()

    def _handle_inbox(self) -> None:
        while self.inbox:
            item = self.inbox.popleft()
            if isinstance(item, Event):
                self.plane.handle(item)
            else:
                self.plane.receive(item)

    def _run_job(self) -> None:
        if not self.jobs:
            return
        self.inbox.append(run_job(self.records, self.jobs.popleft()))

    def _process_requests(self) -> None:
        now = self._planes.clock.monotonic()
        for item in list(self.running):
            if not item.is_sent:
                item.is_sent = self.admission.confirm(item.grant)
                if not item.is_sent:
                    self.admission.cancel(item.grant)
                    item.use.until = min(item.use.until, now)
                    self.running.remove(item)
            elif now >= item.use.until:
                self.admission.release(item.grant, _ok_response())
                self.running.remove(item)
        for request_class in self._planes.load:
            self._start_request(request_class, now)

    def _start_request(self, request_class: RequestClass, now: float) -> None:
        limit_s = request_class.deadline_ms / 1000.0
        work = Work(
            service=SERVICE,
            request_class=request_class,
            source_region=REGION,
            deadline=now + limit_s,
        )
        try:
            grant = self.admission.try_acquire(work)
        except ChiverunError:
            return
        # Most requests run until their deadline, the worst case for an
        # instance that claims the seat.
        limit_share = self._planes.rng.choice((1.0, 1.0, 0.1))
        use = SlotUse(
            boot_id=self.boot_id, start=now, until=now + limit_s * limit_share
        )
        self._planes.uses[grant.server.name, grant.slot].append(use)
        self.running.append(_RunningRequest(grant=grant, use=use))


def _ok_response() -> Answered:
    return Answered(status=200, headers=(), body=b"")


class Planes:
    """Several lifetimes that share a clock, an exchange and a store."""

    def __init__(
        self,
        *,
        seed: int,
        state: State | None = None,
        seeds: int = 4,
        load: tuple[RequestClass, ...] = (SHORT, SHORT, LONG),
    ) -> None:
        self.rng = random.Random(seed)
        self.clock = ManualClock()
        self.state = make_state() if state is None else state
        self.load = load
        self.exchange = MessageExchange(clock=self.clock, rng=self.rng)
        self.store = MemoryStore()
        self.seeds = tuple(self.address(i) for i in range(seeds))
        self.cut_from_store: set[Address] = set()
        # Handlers of messages to addresses without a control plane.
        self.other_handlers: dict[Address, Callable[[Message], None]] = {}
        self.lifetimes: list[Lifetime] = []
        self.uses: dict[tuple[str, int], list[SlotUse]] = (
            collections.defaultdict(list)
        )

    @staticmethod
    def address(number: int) -> Address:
        """Return the peer address of an instance by its number."""
        return Address(f"127.0.{number // 200}.{number % 200 + 1}:7000")

    def is_store_cut(self, peer: Address) -> bool:
        return peer in self.cut_from_store

    def start(
        self,
        number: int,
        *,
        peer: Address | None = None,
        plane_type: type[ControlPlane] = ControlPlane,
        zone: ZoneName = ZONE,
    ) -> Lifetime:
        """Start an instance; end a previous one at the same address."""
        peer = peer or self.address(number)
        for other in self.lifetimes:
            if other.peer == peer:
                other.is_dead = True
        started = Lifetime(
            planes=self,
            name=f"{zone}-{number:03d}",
            peer=peer,
            plane_type=plane_type,
            zone=zone,
        )
        self.lifetimes.append(started)
        return started

    def running(self) -> list[Lifetime]:
        return [p for p in self.lifetimes if p.is_running]

    def run(self, seconds: float) -> None:
        """Advance the clock and step all lifetimes that run."""
        for _ in range(round(seconds / STEP_S)):
            self.clock.advance(STEP_S)
            self._deliver()
            for lifetime in self.running():
                lifetime.step()

    def run_until(self, condition: Callable[[], bool], limit_s: float) -> bool:
        """Run until a condition holds; return whether it holds in time."""
        for _ in range(round(limit_s)):
            if condition():
                return True
            self.run(1.0)
        return condition()

    def _deliver(self) -> None:
        by_peer = {p.peer: p for p in self.lifetimes if not p.is_dead}
        for to, data in self.exchange.pop_due():
            if to in by_peer:
                by_peer[to].inbox.append(decode_message(data))
            elif to in self.other_handlers:
                self.other_handlers[to](decode_message(data))

    def overlaps(self) -> list[str]:
        """Describe each simultaneous use of a slot by two lifetimes."""
        found = []
        for slot, uses in self.uses.items():
            last: SlotUse | None = None
            for use in sorted(uses, key=lambda u: (u.start, u.until)):
                if (
                    last is not None
                    and use.boot_id != last.boot_id
                    and use.start < last.until
                ):
                    found.append(
                        f"{slot}: {last.boot_id} until {last.until:.1f}, "
                        f"{use.boot_id} from {use.start:.1f}"
                    )
                if last is None or use.until > last.until:
                    last = use
        return found

    def is_even(self, seats: int = 6) -> bool:
        """Return whether running instances hold all seats, evenly spread."""
        held = [p.held for p in self.running() if not p.plane.is_leaving]
        sizes = [len(h) for h in held]
        return (
            sum(sizes) == seats
            and len(set().union(*held)) == seats
            and max(sizes) - min(sizes) <= 1
        )
