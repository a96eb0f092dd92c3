"""Fault schedules for the control planes of `standins.planes`."""

import dataclasses
import enum
from collections.abc import Callable
from collections.abc import Iterable

from chiverun.core.state import apply_ticket
from chiverun.core.ticketentry import Entry
from chiverun.runtime.control import BeginStop
from chiverun.runtime.control import TransferSeats
from chiverun.runtime.events import EntriesRead
from standins.planes import Lifetime
from standins.planes import make_ticket
from standins.planes import Planes

_STEP_S = 0.5
_HISTORY_STEPS = 60
_INSTANCES_MAX = 6
_LOSS = 0.4
_DUPLICATES = 0.5
_SLOW_S = (0.05, 1.5)
_FAST_S = (0.001, 0.02)


class Kind(enum.Enum):
    """What happens; the target is a live lifetime where one is needed."""

    KILL = "kill"
    RESTART = "restart at the same address"
    MOVE = "freeze, and start one of the same name elsewhere"
    FREEZE = "freeze"
    START = "start another instance"
    LEAVE = "stop gracefully"
    OUTAGE = "store outage"
    STORE_CUT = "store out of one instance's reach"
    ISOLATE = "messages of one instance are lost, it reaches the store"
    LOST_ANSWERS = "answers to store writes are lost"
    RESTORE = "store restored to older data"
    LOSS = "message loss"
    DUPLICATES = "duplicated messages"
    SLOW = "slow and reordered messages"
    TICKET = "a ticket moves the long slots"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Fault:
    """A fault on target number `target`, `pause_s` before the next one."""

    kind: Kind
    target: int = 0
    duration_s: float = 8.0
    pause_s: float = 1.5


class FaultRun:
    """Applies faults to planes with three instances."""

    def __init__(self, *, seed: int, planes: Planes | None = None) -> None:
        self.planes = planes or Planes(seed=seed)
        self._ends: list[tuple[float, Callable[[], None]]] = []
        self._history: list[dict] = []
        self._numbers = 10
        for number in range(3):
            self.planes.start(number)

    def run(self, faults: Iterable[Fault], settle_s: float = 10.0) -> None:
        """Let the zone settle, then apply each fault and its pause."""
        self.advance(settle_s)
        for fault in faults:
            self.apply(fault)
            self.advance(fault.pause_s)

    def end_faults(self) -> None:
        """Wait until all faults are over; one instance at least is live."""
        while self._ends:
            self.advance(_STEP_S)
        planes = self.planes
        planes.exchange.loss = planes.exchange.duplicates = 0.0
        latest: dict[str, Lifetime] = {}
        for lifetime in self._live():
            # Of two processes with one name the replaced one is ended.
            if lifetime.name in latest:
                latest[lifetime.name].is_dead = True
            latest[lifetime.name] = lifetime
        if not latest:
            planes.start(0)

    def advance(self, seconds: float) -> None:
        """Run the planes, ending faults that are due."""
        for _ in range(max(1, round(seconds / _STEP_S))):
            self.planes.run(_STEP_S)
            now = self.planes.clock.monotonic()
            due = [e for e in self._ends if e[0] <= now]
            self._ends = [e for e in self._ends if e[0] > now]
            for _, end in due:
                end()
            if self.planes.store.items:
                self._history.append(dict(self.planes.store.items))
                self._history = self._history[-_HISTORY_STEPS:]

    def apply(self, fault: Fault) -> None:
        """Begin a fault."""
        live = self._live()
        if fault.kind is Kind.START and len(live) < _INSTANCES_MAX:
            self._numbers += 1
            self.planes.start(self._numbers)
        elif live:
            self._apply_to(fault, live[fault.target % len(live)])
        self._apply_to_platform(fault)

    def _live(self) -> list[Lifetime]:
        return [p for p in self.planes.lifetimes if not p.is_dead]

    def _after(self, seconds: float, act: Callable[[], None]) -> None:
        self._ends.append((self.planes.clock.monotonic() + seconds, act))

    def _apply_to(self, fault: Fault, target: Lifetime) -> None:
        planes = self.planes
        match fault.kind:
            case Kind.KILL:
                target.is_dead = True
            case Kind.RESTART:
                planes.start(_number(target), peer=target.peer)
            case Kind.MOVE:
                self._freeze(target, fault.duration_s)
                self._numbers += 1
                peer = planes.address(self._numbers)
                planes.start(_number(target), peer=peer)
            case Kind.FREEZE:
                self._freeze(target, fault.duration_s)
            case Kind.LEAVE if len(self._live()) > 1:
                target.inbox.append(BeginStop())
                self._after(1.0, lambda: target.inbox.append(TransferSeats()))
                self._after(9.0, lambda: setattr(target, "is_dead", True))
            case Kind.STORE_CUT:
                peers = planes.cut_from_store
                peers.add(target.peer)
                self._after(
                    fault.duration_s, lambda: peers.discard(target.peer)
                )
            case Kind.ISOLATE:
                planes.exchange.is_cut = lambda a, b: target.peer in (a, b)
                self._after(
                    fault.duration_s,
                    lambda: setattr(
                        planes.exchange, "is_cut", lambda a, b: False
                    ),
                )

    def _freeze(self, target: Lifetime, seconds: float) -> None:
        until = self.planes.clock.monotonic() + seconds
        target.frozen_until = max(target.frozen_until, until)
        self._after(seconds, lambda: None)

    def _apply_to_platform(self, fault: Fault) -> None:
        store = self.planes.store
        exchange = self.planes.exchange
        match fault.kind:
            case Kind.OUTAGE:
                store.is_down = True
                self._after(
                    fault.duration_s, lambda: setattr(store, "is_down", False)
                )
            case Kind.LOST_ANSWERS:
                store.lost_answers = 1 + fault.target
            case Kind.RESTORE if self._history:
                steps = min(
                    len(self._history), int(fault.duration_s / _STEP_S)
                )
                store.items = dict(self._history[-steps])
            case Kind.LOSS:
                exchange.loss = _LOSS
                self._after(
                    fault.duration_s, lambda: setattr(exchange, "loss", 0.0)
                )
            case Kind.DUPLICATES:
                exchange.duplicates = _DUPLICATES
            case Kind.SLOW:
                exchange.delay_s = _SLOW_S
                self._after(
                    fault.duration_s,
                    lambda: setattr(exchange, "delay_s", _FAST_S),
                )
            case Kind.TICKET:
                self._accept_ticket()

    def _accept_ticket(self) -> None:
        """Give the instances a ticket that moves slots between lengths."""
        planes = self.planes
        number = planes.state.number + 1
        ticket = make_ticket(number, long_slots=1 + 2 * (number % 2))
        state = apply_ticket(planes.state, ticket)
        entry = Entry(
            number=number,
            digest=state.digest,
            submission=str(number),
            ticket=ticket,
        )
        planes.state = state
        for lifetime in planes.running():
            lifetime.inbox.append(EntriesRead(entries=(entry,)))


def _number(lifetime: Lifetime) -> int:
    return int(lifetime.name.rpartition("-")[2])
