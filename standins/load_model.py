"""Discrete-event model of a deployment under load, in virtual time.

Decisions are made by the code of chiverun (`Admission` with server selection,
queue and estimated times, `overflow_targets`, `RetryBudget`, `plan_hedge`);
servers, network and callers are modelled. The naive system sends each request
to a random live server of the caller's region, which has an unbounded queue.

Latency is measured from a request's arrival at an instance to its complete
response there. It excludes the path between caller and instance for both
systems.
"""

import dataclasses
import heapq
import itertools
import random
from collections.abc import Callable
from collections.abc import Iterator

from chiverun.core.admission import Admission
from chiverun.core.clock import ManualClock
from chiverun.core.errors import ChiverunError
from chiverun.core.exchange import Answered
from chiverun.core.exchange import Reset
from chiverun.core.ids import InstanceId
from chiverun.core.retries import plan_hedge
from chiverun.core.retries import RetryBudget
from chiverun.core.routing import overflow_targets
from chiverun.core.routing import REGION_ROUND_TRIP_S
from chiverun.core.snapshot import EntryAddresses
from chiverun.core.snapshot import HeldSeat
from chiverun.core.snapshot import Snapshot
from chiverun.core.snapshot import ZoneView
from chiverun.core.state import apply_ticket
from chiverun.core.state import empty_state
from chiverun.core.ticket import Length
from chiverun.core.ticket import read_ticket
from chiverun.core.ticket import RequestClass
from chiverun.core.ticket import Service
from chiverun.core.work import Grant
from chiverun.core.work import Work
from standins.deployment import first_ticket
from standins.deployment import instances
from standins.deployment import SEATS
from standins.deployment import servers
from standins.deployment import Spec
from standins.loadfigures import Load
from standins.loadfigures import LONG_FACTOR
from standins.loadfigures import SHORT_S
from standins.loadfigures import Tally
from standins.modelserver import Execution
from standins.modelserver import Server

# Sigma of the lognormal distribution of running times.
DURATION_SIGMA = 0.5
TICK_S = 0.1
_OK = Answered(status=200, headers=(), body=b"")
_CANCELLED = Reset(detail="cancelled")


@dataclasses.dataclass(kw_only=True, eq=False)
class _Request:
    service: str
    request_class: RequestClass
    is_long: bool
    arrived_at: float
    deadline: float
    is_measured: bool
    attempts: list = dataclasses.field(default_factory=list)
    ended: bool = False


class Model:
    """One run of a deployment; `naive` replaces all decisions."""

    def __init__(
        self, spec: Spec, load: Load, seed: int, *, naive: bool
    ) -> None:
        self._spec = spec
        self._load = load
        self._naive = naive
        self._clock = ManualClock()
        self._rng = random.Random(seed)
        self._choice_rng = random.Random(seed + 1)
        self._events: list = []
        self._order = itertools.count()
        self._start = self._clock.monotonic()
        self.tally = Tally()
        self._region_running: dict[str, int] = {}
        self._region_cap: dict[str, int] = {}
        self._build()

    def run(self) -> Tally:
        """Run until the load and all requests have ended."""
        load = self._load
        until = self._start + load.warmup_s + load.seconds
        for node in self._nodes:
            node.schedule_arrivals(until)
        if not self._naive:
            self._publish_snapshots(until + 12.0)
        while self._events:
            at, _, call = heapq.heappop(self._events)
            self._clock.advance(at - self._clock.monotonic())
            call()
        for node in self._nodes:
            hedges_max = 10 + 0.1 * node.first_attempts
            self.tally.hedges += node.hedges
            self.tally.over_cap += max(0, int(node.hedges - hedges_max))
        return self.tally

    def after(self, seconds: float, call: Callable[[], None]) -> None:
        """Schedule a call after a delay."""
        at = self._clock.monotonic() + seconds
        heapq.heappush(self._events, (at, next(self._order), call))

    def count_queued(self) -> None:
        """Count a request that exceeds a server's slots or long slots.

        The naive system has no such limit; its servers queue the request.
        """
        if self._naive:
            self.tally.queued_at_server += 1
        else:
            self.tally.over_cap += 1

    def count_running(self, region: str, change: int) -> None:
        """Update the number of requests that run in a region."""
        self._region_running[region] += change
        cap = self._region_cap[region]
        if not self._naive and cap and self._region_running[region] > cap:
            self.tally.over_cap += 1

    def _build(self) -> None:
        spec, load = self._spec, self._load
        self.servers = {
            s.name: Server(self, s, s.region) for s in servers(spec)
        }
        self._by_region: dict[tuple[str, str], list[str]] = {}
        zone_slots: dict[tuple[str, str], int] = {}
        for s in servers(spec):
            key = (s.region, s.service.name)
            self._by_region.setdefault(key, []).append(s.name)
            zone_key = (s.zone, s.service.name)
            zone_slots[zone_key] = (
                zone_slots.get(zone_key, 0) + s.service.slots
            )
        for region in spec.regions:
            slots = sum(
                s.slots for s in self.servers.values() if s.region == region
            )
            self._region_running[region] = 0
            self._region_cap[region] = int(slots * load.region_cap_share)
        for service in spec.services:
            names = sorted(
                n for n in self.servers if n.startswith(service.name)
            )
            for name in self._rng.sample(names, load.slowed_servers):
                self.servers[name].slow_factor = load.slow_factor
        ticket = read_ticket(first_ticket(spec).encode())
        state = apply_ticket(empty_state(), ticket)
        regions = {
            n: type(r)(name=r.name, in_flight_max=self._region_cap[n])
            for n, r in state.of(_region_type(ticket)).items()
        }
        self.state = dataclasses.replace(
            state, objects={**state.objects, "region": regions}
        )
        self._nodes = []
        for index, (zone, _) in enumerate(spec.zones()):
            count = spec.instances_by_zone[index]
            members = [i for i in instances(spec) if i.zone == zone]
            for number, info in enumerate(members):
                rates = {
                    s.name: load.level
                    * zone_slots.get((zone, s.name), 0)
                    / load.mean_s()
                    / count
                    for s in spec.services
                }
                self._nodes.append(
                    _Node(self, info, number, count, rates, self._naive)
                )
        self.by_name = {n.info.name: n for n in self._nodes}

    def _publish_snapshots(self, until: float) -> None:
        now = self._clock.monotonic()
        free_slots = {
            n.info.name: n.admission.free_slots() for n in self._nodes
        }
        zones = {}
        for zone, region in self._spec.zones():
            entries = tuple(
                EntryAddresses(
                    instance=InstanceId(n.info.name),
                    lookup=n.info.name,
                    entry=n.info.name,
                    forward=n.info.name,
                    free_slots=free_slots[n.info.name],
                    measured_at=now,
                )
                for n in self._nodes
                if n.info.zone == zone
            )
            zones[zone] = ZoneView(
                zone=zone,
                region=region,
                instances=entries,
                free_slots={},
                measured_at=now,
            )
        for node in self._nodes:
            node.publish(zones, now)
        if now < until:
            self.after(TICK_S, lambda: self._publish_snapshots(until))


def _region_type(ticket) -> type:
    return type(ticket.region[0])


class _Node:
    """An instance with its arriving requests and its request path."""

    def __init__(self, model, info, number, count, rates, naive) -> None:
        self._model = model
        self.info = info
        self._rates = rates
        self._naive = naive
        self._clock = model._clock
        self._rng = random.Random(model._rng.random())
        self._choice_rng = random.Random(model._choice_rng.random())
        self.admission = Admission(
            zone=info.zone, clock=self._clock, rng=self._choice_rng
        )
        self._seats = tuple(
            HeldSeat(index=i, short_opens_at=0.0, long_opens_at=0.0)
            for i in range(SEATS)
            if i % count == number
        )
        self._budget = RetryBudget()
        self._snapshot: Snapshot | None = None
        self.first_attempts = 0
        self.hedges = 0

    def publish(self, zones, now: float) -> None:
        self._snapshot = Snapshot(
            state=self._model.state,
            published_at=now,
            zones=zones,
            seats=self._seats,
            confirmed=True,
            leaving=False,
            leaving_servers=frozenset(),
        )
        self.admission.update(self._snapshot)

    def schedule_arrivals(self, until: float) -> None:
        """Schedule arrivals, which are the same for both systems."""
        load = self._model._load
        for service, rate in self._rates.items():
            if rate <= 0:
                continue
            at = self._clock.monotonic()
            while (at := at + self._rng.expovariate(rate)) < until:
                request = self._draw_request(service, at, load)
                duration_s = SHORT_S * (
                    LONG_FACTOR if request.is_long else 1.0
                )
                duration_s *= self._rng.lognormvariate(
                    -(DURATION_SIGMA**2) / 2, DURATION_SIGMA
                )
                self._model.after(
                    at - self._clock.monotonic(),
                    lambda r=request, d=duration_s: self._accept(r, d),
                )

    def _draw_request(self, service: str, at: float, load: Load) -> _Request:
        classes = self._model.state.of(Service)[service].classes
        read, long_read, write = classes
        is_long = self._rng.random() < load.long_share
        is_write = self._rng.random() < load.write_share
        if is_long:
            chosen = read if load.long_as_short else long_read
        else:
            chosen = write if is_write else read
        deadline_s = chosen.deadline_ms / 1000.0
        if load.deadline_s is not None and not is_long:
            deadline_s = min(deadline_s, load.deadline_s)
        return _Request(
            service=service,
            request_class=chosen,
            is_long=is_long,
            arrived_at=at,
            deadline=at + deadline_s,
            is_measured=at >= self._model._start + load.warmup_s,
        )

    def _accept(self, request: _Request, duration_s: float) -> None:
        tally = self._model.tally
        if request.is_measured:
            tally.offered += 1
            tally.long_offered += request.is_long
        self.first_attempts += 1
        if self._naive:
            self._run_naive(request, duration_s)
        else:
            self._budget.deposit()
            steps = self._place(request, duration_s)
            self._resume(steps)

    def _run_naive(self, request: _Request, duration_s: float) -> None:
        model = self._model
        name = self._choice_rng.choice(
            model._by_region[self.info.region, request.service]
        )
        model.servers[name].add(
            Execution(
                duration_s=duration_s,
                is_long=request.is_long,
                done=lambda: self._finish(request),
            )
        )

    def _resume(self, steps: Iterator[float]) -> None:
        """Run a placement, which yields its delays in seconds."""
        delay = next(steps, None)
        if delay is not None:
            self._model.after(delay, lambda: self._resume(steps))

    def _place(self, request: _Request, duration_s: float) -> Iterator[float]:
        """Try the own servers, then other instances, then the local queue."""
        work = self._make_work(request)
        try:
            self._send(
                request,
                self.admission.try_acquire(work),
                duration_s,
                hedge=True,
            )
            return
        except ChiverunError:
            pass
        spec = self._model._spec
        for target in overflow_targets(
            self._snapshot,
            InstanceId(self.info.name),
            self.info.zone,
            request.service,
            self._clock.monotonic(),
        ):
            is_far = target.region != self.info.region
            wait_s = self.admission.expected_wait_s(work)
            if is_far and wait_s < REGION_ROUND_TRIP_S:
                continue
            one_way = (spec.region_ms if is_far else spec.zone_ms) / 1000.0
            yield one_way
            peer = self._model.by_name[target.addresses.instance]
            try:
                grant = peer.admission.try_acquire(work)
            except ChiverunError:
                yield one_way
                continue
            peer._send(request, grant, duration_s, return_s=one_way)
            return
        self._enqueue(request, work, duration_s)

    def _enqueue(
        self, request: _Request, work: Work, duration_s: float
    ) -> None:
        waiter = None

        def notify() -> None:
            self._model.after(0.0, finish)

        def finish() -> None:
            self.admission.withdraw(waiter)
            if waiter.grant is not None:
                self._send(request, waiter.grant, duration_s, hedge=True)
            else:
                self._reject(request)

        def expire() -> None:
            if waiter.grant is None and waiter.error is None:
                finish()

        try:
            waiter = self.admission.enqueue(work, notify)
        except ChiverunError:
            self._reject(request)
            return
        remaining_s = waiter.latest_start - self._clock.monotonic()
        self._model.after(max(0.0, remaining_s), expire)

    def _make_work(self, request: _Request) -> Work:
        return Work(
            service=request.service,
            request_class=request.request_class,
            source_region=self.info.region,
            deadline=request.deadline,
        )

    def _send(
        self,
        request: _Request,
        grant: Grant,
        duration_s: float,
        *,
        hedge: bool = False,
        return_s: float = 0.0,
    ) -> None:
        model = self._model
        server = model.servers[grant.server.name]
        attempt = (self, grant, server)

        def done() -> None:
            if execution.cancelled:
                self.admission.release(
                    grant, _CANCELLED, cancelled=True, ended=True
                )
                return
            self.admission.release(grant, _OK)
            for _, _, other, other_execution in request.attempts:
                if (
                    other_execution is not execution
                    and not other_execution.cancelled
                ):
                    other.cancel(other_execution)
            model.after(return_s, lambda: self._finish(request))

        execution = Execution(
            duration_s=duration_s,
            is_long=request.request_class.length is Length.LONG,
            done=done,
        )
        request.attempts.append((*attempt, execution))
        server.add(execution)
        if hedge:
            self._schedule_hedge(request, grant, duration_s)

    def _schedule_hedge(
        self, request: _Request, grant: Grant, duration_s: float
    ) -> None:
        plan = plan_hedge(
            repeatable=request.request_class.repeatable,
            attempts_left=request.request_class.attempts,
            delay_s=self.admission.hedge_delay_s(grant.work),
            remaining_s=request.deadline - self._clock.monotonic(),
        )
        if plan is None:
            return

        def hedge() -> None:
            if request.ended or not self._budget.withdraw():
                return
            try:
                second = self.admission.try_acquire(
                    grant.work, frozenset({grant.server.name})
                )
            except ChiverunError:
                self._budget.refund()
                return
            self.hedges += 1
            self._send(request, second, duration_s)

        self._model.after(plan.delay_s, hedge)

    def _finish(self, request: _Request) -> None:
        if request.ended:
            return
        request.ended = True
        if not request.is_measured:
            return
        tally = self._model.tally
        now = self._clock.monotonic()
        in_time = now <= request.deadline
        tally.in_time += in_time
        if request.is_long:
            tally.long_in_time += in_time
            return
        latency_us = max(1, int((now - request.arrived_at) * 1e6))
        tally.short_us.record_value(latency_us)
        if not request.request_class.repeatable:
            tally.write_us.record_value(latency_us)

    def _reject(self, request: _Request) -> None:
        request.ended = True
        if request.is_measured:
            self._model.tally.not_run += 1
