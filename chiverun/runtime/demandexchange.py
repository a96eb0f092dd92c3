"""Exchanges the demand for services within and between regions.

Instances report their arrivals to the first hub of their region. The hubs of
regions exchange the sums, and each distributes the offsets of its region's
shares (`core/regiondemand.py`).
"""

import asyncio
import collections
import random
from collections.abc import Mapping

import logbook
import msgspec

from chiverun.core import edgemessages
from chiverun.core.catalog import Machine
from chiverun.core.demand import ServiceCapacity
from chiverun.core.edgemessages import DemandMessage
from chiverun.core.edgemessages import DemandReport
from chiverun.core.edgemessages import RegionDemand
from chiverun.core.edgemessages import ShareGoals
from chiverun.core.ids import BootId
from chiverun.core.ids import InstanceId
from chiverun.core.ids import RegionName
from chiverun.core.ids import ServiceName
from chiverun.core.ids import ZoneName
from chiverun.core.peertable import PeerTable
from chiverun.core.peertable import scaled_period_s
from chiverun.core.regiondemand import ArrivalReport
from chiverun.core.regiondemand import IGNORED_SHIFT
from chiverun.core.regiondemand import KEPT_S
from chiverun.core.regiondemand import Rates
from chiverun.core.regiondemand import RegionFigures
from chiverun.core.regiondemand import RegionRates
from chiverun.core.regiondemand import ShareOffsets
from chiverun.core.regiondemand import STARTING_S
from chiverun.core.sharegoals import ShareSolver
from chiverun.core.statednumbers import CLOCK_S
from chiverun.core.statednumbers import DEMAND_PER_S
from chiverun.core.statednumbers import is_later_message
from chiverun.integrations.peers import ZmqPeers
from chiverun.runtime.servertable import ServerTable

_LOG = logbook.Logger("demand")

# Interval at which the own shares move, and at which reports may be due.
TICK_S = 0.25
# Interval of reports, sums and offsets; longer in a large region.
PERIOD_S = 1.0
# An instance that has missed this many reports is not counted.
SILENT_PERIODS = 3
# A region's sums go to the instance that sent its own sums so recently, else
# to some instances that pass them on to their hub.
HUB_HEARD_S = 3.0
CANDIDATES = 2
# The offsets of a service outlast its servers for this time: records that come
# back must not move requests further.
SERVICE_MEMORY_S = 60.0
# Interval between log lines about the shares of a service.
LOG_PERIOD_S = 5.0

Goals = dict[ServiceName, Mapping[RegionName, float]]


class DemandExchange:
    """Reports arrivals, acts as the hub, and moves the own shares."""

    def __init__(
        self,
        *,
        servers: ServerTable,
        table: PeerTable,
        peers: ZmqPeers,
        boot_id: BootId,
        regions: Mapping[ZoneName, RegionName],
    ) -> None:
        self.arrivals: collections.Counter[ServiceName] = collections.Counter()
        self._servers = servers
        self._table = table
        self._me = table.me
        self._peers = peers
        self._boot_id = boot_id
        self._regions = regions
        self._loop = asyncio.get_running_loop()
        self._rng = random.Random(boot_id)
        now = self._loop.time()
        self._started_at = now
        source = self._me.region
        names = set(regions.values()) | {source}
        # The offsets that requests are placed by.
        self.applied = ShareOffsets(source=source, regions=names, now=now)
        # Those that the hub has distributed, None before the first.
        self._goals: Goals | None = None
        self._goals_heard_at = now
        self._goals_from: tuple[InstanceId, BootId, int] | None = None
        # The state of a hub.
        self._hub: InstanceId | None = None
        self._rates = RegionRates()
        self._figures = RegionFigures(now=now)
        self._distributed = ShareOffsets(source=source, regions=names, now=now)
        self._solvers: dict[ServiceName, ShareSolver] = {}
        self._number = 0
        self._region_hubs: dict[RegionName, tuple[Machine, float]] = {}
        self._region_numbers: dict[tuple[InstanceId, BootId], int] = {}
        self._due_at = now
        self._seen_at: dict[ServiceName, float] = {}
        self._logged_at: dict[ServiceName, float] = {}

    async def exchange_forever(self) -> None:
        """Move the shares and send what is due; never returns."""
        while True:
            self.tick()
            await asyncio.sleep(TICK_S)

    def tick(self) -> None:
        """Move the own shares; send what is due."""
        now = self._loop.time()
        services = self._shared_services()
        self._move_applied(now)
        if not services or now < self._due_at:
            return
        self._due_at = now + self._period_s()
        hub = self._current_hub(now)
        report = ArrivalReport(
            boot_id=self._boot_id,
            at_s=now,
            arrivals={name: self.arrivals[name] for name in services},
        )
        if hub == self._me:
            self._rates.record(self._me.name, report, now)
            self._act_as_hub(services, now)
        self._send_report(report, hub, now)

    def receive(self, message: DemandMessage) -> None:
        """Apply a message of another instance."""
        now = self._loop.time()
        sender = self._table.machine(message.sender)
        if sender is None or sender == self._me:
            return
        match message:
            case DemandReport():
                if sender.region == self._me.region:
                    self._receive_report(message, sender, now)
            case RegionDemand():
                self._receive_region(message, sender, now)
            case ShareGoals():
                if sender.region == self._me.region:
                    self._receive_goals(message, sender, now)

    def _shared_services(self) -> list[ServiceName]:
        """Return the services with servers in more than one region."""
        names = []
        for service, rows in self._servers.by_service.items():
            regions = {row.region for row in rows if row.is_usable}
            if len(regions) > 1:
                names.append(service)
        return names

    def _period_s(self) -> float:
        machines = 1 + len(self._table.region_machines())
        return scaled_period_s(PERIOD_S, machines)

    def _current_hub(self, now: float) -> Machine:
        hub = self._table.region_hubs(now)[0]
        if hub.name != self._hub:
            _LOG.info(
                "demand hub changed",
                extra={
                    "hub": hub.name,
                    "before": self._hub,
                    "goals_age_ms": round(1000 * (now - self._goals_heard_at)),
                },
            )
            self._hub = hub.name
            self._rates = RegionRates()
            self._figures = RegionFigures(now=now)
            # Continues from what the last hub has distributed.
            self._distributed.adopt(self._goals or {})
        return hub

    def _send_report(
        self, report: ArrivalReport, hub: Machine, now: float
    ) -> None:
        targets = {hub.name: hub}
        wants_goals = self._goals is None
        if wants_goals:
            hubs = self._table.region_hubs(now)
            targets.update((machine.name, machine) for machine in hubs)
        message = edgemessages.encode(
            DemandReport(
                sender=self._me.name,
                boot_id=self._boot_id,
                at_s=min(CLOCK_S.high, report.at_s),
                arrivals=dict(report.arrivals),
                wants_goals=wants_goals,
            )
        )
        for machine in targets.values():
            if machine != self._me:
                self._peers.send(machine.peer, message)

    def _receive_report(
        self, message: DemandReport, sender: Machine, now: float
    ) -> None:
        if self._hub == self._me.name:
            report = ArrivalReport(
                boot_id=message.boot_id,
                at_s=message.at_s,
                arrivals=message.arrivals,
            )
            self._rates.record(sender.name, report, now)
        if message.wants_goals and self._goals is not None:
            # A hub that has just started gets them from the other one.
            self._peers.send(sender.peer, self._encode_goals(self._goals))

    def _act_as_hub(self, services: list[ServiceName], now: float) -> None:
        silent_after_s = SILENT_PERIODS * self._period_s()
        self._rates.update(now, silent_after_s)
        is_starting = now - self._started_at < STARTING_S
        if self._goals is None and is_starting:
            # Another hub may still tell what it has distributed.
            return
        if self._rates.is_warm:
            rates = self._rates.expected()
            self._figures.record(self._me.region, rates, now)
            self._send_region(services, rates, now)
            self._move_distributed(services, now)
        self._goals = self._distributed.all()
        self._goals_heard_at = now
        self._number += 1
        message = self._encode_goals(self._goals)
        for machine in self._table.live(now):
            self._peers.send(machine.peer, message)

    def _move_distributed(
        self, services: list[ServiceName], now: float
    ) -> None:
        goals: Goals = {}
        source = self._me.region
        for service in services:
            rows = self._servers.by_service[service]
            capacity = ServiceCapacity.of(
                [row.server for row in rows if row.is_usable], self._regions
            )
            regions = {*self.applied.others, source}
            demand = self._figures.demand(service, regions, now)
            if demand is not None:
                solver = self._solvers.setdefault(service, ShareSolver())
                shares = solver.solve(capacity, demand)[source]
                goals[service] = _difference(
                    shares, capacity.region_shares(source)
                )
        known = self._known_services(now)
        for service in self._solvers.keys() - known:
            del self._solvers[service]
        self._distributed.forget_except(known)
        self._distributed.move(goals, now, ignored=IGNORED_SHIFT)

    def _send_region(
        self, services: list[ServiceName], rates: Rates, now: float
    ) -> None:
        message = edgemessages.encode(
            RegionDemand(
                sender=self._me.name,
                boot_id=self._boot_id,
                number=self._number,
                region=self._me.region,
                per_s={
                    service: min(
                        DEMAND_PER_S.high,
                        round(rates.get(service, 0.0), 2),
                    )
                    for service in services
                },
            )
        )
        by_region: dict[RegionName, list[Machine]] = {}
        for machine in self._table.remote_machines():
            by_region.setdefault(machine.region, []).append(machine)
        for region, machines in by_region.items():
            for machine in self._region_targets(region, machines, now):
                self._peers.send(machine.peer, message)

    def _region_targets(
        self, region: RegionName, machines: list[Machine], now: float
    ) -> list[Machine]:
        hub, heard_at = self._region_hubs.get(region, (None, 0.0))
        if hub is not None and now - heard_at < HUB_HEARD_S:
            return [hub]
        count = min(CANDIDATES, len(machines))
        return self._rng.sample(machines, count)

    def _receive_region(
        self, message: RegionDemand, sender: Machine, now: float
    ) -> None:
        region = sender.region
        is_valid = region == message.region and region in self.applied.others
        if not is_valid:
            return
        if self._hub != self._me.name:
            self._pass_on(message, now)
            return
        if not self._is_next(message):
            return
        self._region_hubs[region] = (sender, now)
        self._figures.record(region, message.per_s, now)

    def _is_next(self, message: RegionDemand) -> bool:
        """Return whether a message is later than those of its sender."""
        process = (message.sender, message.boot_id)
        last = self._region_numbers.get(process, -1)
        if not is_later_message(message.number, last):
            return False
        self._region_numbers = {
            key: number
            for key, number in self._region_numbers.items()
            if key[0] != message.sender
        }
        self._region_numbers[process] = message.number
        return True

    def _pass_on(self, message: RegionDemand, now: float) -> None:
        """Send another region's sums to the own hub, once."""
        hub = self._table.region_hubs(now)[0]
        if message.is_relayed or hub == self._me:
            return
        relayed = msgspec.structs.replace(message, is_relayed=True)
        self._peers.send(hub.peer, edgemessages.encode(relayed))

    def _encode_goals(self, goals: Goals) -> bytes:
        return edgemessages.encode(
            ShareGoals(
                sender=self._me.name,
                boot_id=self._boot_id,
                number=self._number,
                offsets={
                    service: {
                        region: min(1.0, max(-1.0, round(offset, 5)))
                        for region, offset in row.items()
                    }
                    for service, row in goals.items()
                },
            )
        )

    def _receive_goals(
        self, message: ShareGoals, sender: Machine, now: float
    ) -> None:
        is_first = self._goals is None
        if self._hub == self._me.name and not is_first:
            return
        hub = self._table.region_hubs(now)[0]
        if sender != hub and not is_first:
            return
        previous = self._goals_from
        process = (message.sender, message.boot_id)
        is_same = previous is not None and previous[:2] == process
        if is_same and not is_later_message(message.number, previous[2]):
            return
        self._goals_from = (*process, message.number)
        self._goals = message.offsets
        self._goals_heard_at = now
        if is_first and now - self._started_at < STARTING_S:
            self.applied.adopt(message.offsets)
        if is_first and self._hub == self._me.name:
            self._distributed.adopt(message.offsets)

    def _known_services(self, now: float) -> set[ServiceName]:
        """Return the services with servers, now or a while ago."""
        self._seen_at.update(dict.fromkeys(self._servers.by_service, now))
        self._seen_at = {
            service: seen_at
            for service, seen_at in self._seen_at.items()
            if now - seen_at < SERVICE_MEMORY_S
        }
        return set(self._seen_at)

    def _move_applied(self, now: float) -> None:
        goals = self._goals or {}
        if now - self._goals_heard_at > KEPT_S:
            # No hub is heard: back to the shares for an even demand.
            goals = {service: {} for service in self.applied.all()}
        known = self._known_services(now)
        goals = {name: row for name, row in goals.items() if name in known}
        changed = self.applied.move(goals, now)
        self.applied.forget_except(known)
        for service in changed:
            self._log_shares(service, now)

    def _log_shares(self, service: ServiceName, now: float) -> None:
        logged_at = self._logged_at.get(service, float("-inf"))
        if now - logged_at < LOG_PERIOD_S:
            return
        self._logged_at[service] = now
        offsets = self.applied.of(service)
        _LOG.info(
            "demand shares changed",
            extra={
                "service": service,
                "offsets": {k: round(v, 3) for k, v in offsets.items()},
                "hub": self._hub,
                "goals_age_ms": round(1000 * (now - self._goals_heard_at)),
            },
        )


def _difference(
    shares: Mapping[RegionName, float], base: Mapping[RegionName, float]
) -> dict[RegionName, float]:
    """Return the offsets that turn one set of shares into another."""
    return {
        place: shares.get(place, 0.0) - base.get(place, 0.0)
        for place in {*shares, *base}
    }
