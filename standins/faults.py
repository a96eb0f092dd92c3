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
_LOSS_RATE = 0.4
_DUPLICATE_RATE = 0.5
_SLOW_DELAY_S = (0.05, 1.5)
_NORMAL_DELAY_S = (0.001, 0.02)


class Kind(enum.Enum):
    """Kinds of faults; some act on a live lifetime chosen by the target."""

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
    """A fault, followed by a pause of `pause_s` before the next one.

    `target` selects a live lifetime, modulo their number.
    """

    kind: Kind
    target: int = 0
    duration_s: float = 8.0
    pause_s: float = 1.5


class FaultRun:
    """Schedule of faults in a zone that starts with three instances."""

    def __init__(self, *, seed: int, planes: Planes | None = None) -> None:
        self.planes = planes or Planes(seed=seed)
        self._scheduled: list[tuple[float, Callable[[], None]]] = []
        self._history: list[dict] = []
        self._last_number = 10
        for number in range(3):
            self.planes.start(number)

    def run(self, faults: Iterable[Fault], settle_s: float = 10.0) -> None:
        """Run the zone for `settle_s`, then apply each fault and its pause."""
        self.advance(settle_s)
        for fault in faults:
            self.apply(fault)
            self.advance(fault.pause_s)

    def end_faults(self) -> None:
        """Run until all faults have ended; leave one live instance or more."""
        while self._scheduled:
            self.advance(_STEP_S)
        planes = self.planes
        planes.exchange.loss = planes.exchange.duplicates = 0.0
        latest: dict[str, Lifetime] = {}
        for lifetime in self._live():
            # Ends the replaced one of two lifetimes with the same name.
            if lifetime.name in latest:
                latest[lifetime.name].is_dead = True
            latest[lifetime.name] = lifetime
        if not latest:
            planes.start(0)

    def advance(self, seconds: float) -> None:
        """Run the planes and end the faults that are due."""
        for _ in range(max(1, round(seconds / _STEP_S))):
            self.planes.run(_STEP_S)
            now = self.planes.clock.monotonic()
            due = [e for e in self._scheduled if e[0] <= now]
            self._scheduled = [e for e in self._scheduled if e[0] > now]
            for _, action in due:
                action()
            if self.planes.store.items:
                self._history.append(dict(self.planes.store.items))
                self._history = self._history[-_HISTORY_STEPS:]

    def apply(self, fault: Fault) -> None:
        """Start a fault."""
        live = self._live()
        if fault.kind is Kind.START and len(live) < _INSTANCES_MAX:
            self._last_number += 1
            self.planes.start(self._last_number)
        elif live:
            self._apply_to_instance(fault, live[fault.target % len(live)])
        self._apply_to_platform(fault)

    def _live(self) -> list[Lifetime]:
        return [p for p in self.planes.lifetimes if not p.is_dead]

    def _schedule(self, delay_s: float, action: Callable[[], None]) -> None:
        due_at = self.planes.clock.monotonic() + delay_s
        self._scheduled.append((due_at, action))

    def _apply_to_instance(self, fault: Fault, target: Lifetime) -> None:
        planes = self.planes
        match fault.kind:
            case Kind.KILL:
                target.is_dead = True
            case Kind.RESTART:
                planes.start(_instance_number(target), peer=target.peer)
            case Kind.MOVE:
                self._freeze(target, fault.duration_s)
                self._last_number += 1
                peer = planes.address(self._last_number)
                planes.start(_instance_number(target), peer=peer)
            case Kind.FREEZE:
                self._freeze(target, fault.duration_s)
            case Kind.LEAVE if len(self._live()) > 1:
                target.inbox.append(BeginStop())
                self._schedule(
                    1.0, lambda: target.inbox.append(TransferSeats())
                )
                self._schedule(9.0, lambda: setattr(target, "is_dead", True))
            case Kind.STORE_CUT:
                peers = planes.cut_from_store
                peers.add(target.peer)
                self._schedule(
                    fault.duration_s, lambda: peers.discard(target.peer)
                )
            case Kind.ISOLATE:
                planes.exchange.is_cut = lambda a, b: target.peer in (a, b)
                self._schedule(
                    fault.duration_s,
                    lambda: setattr(
                        planes.exchange, "is_cut", lambda a, b: False
                    ),
                )

    def _freeze(self, target: Lifetime, duration_s: float) -> None:
        until = self.planes.clock.monotonic() + duration_s
        target.frozen_until = max(target.frozen_until, until)
        self._schedule(duration_s, lambda: None)

    def _apply_to_platform(self, fault: Fault) -> None:
        store = self.planes.store
        exchange = self.planes.exchange
        match fault.kind:
            case Kind.OUTAGE:
                store.is_down = True
                self._schedule(
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
                exchange.loss = _LOSS_RATE
                self._schedule(
                    fault.duration_s, lambda: setattr(exchange, "loss", 0.0)
                )
            case Kind.DUPLICATES:
                exchange.duplicates = _DUPLICATE_RATE
            case Kind.SLOW:
                exchange.delay_s = _SLOW_DELAY_S
                self._schedule(
                    fault.duration_s,
                    lambda: setattr(exchange, "delay_s", _NORMAL_DELAY_S),
                )
            case Kind.TICKET:
                self._accept_ticket()

    def _accept_ticket(self) -> None:
        """Distribute a ticket that changes the number of long slots."""
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


def _instance_number(lifetime: Lifetime) -> int:
    return int(lifetime.name.rpartition("-")[2])
