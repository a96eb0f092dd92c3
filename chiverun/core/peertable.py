"""Liveness of edge instances, based on heartbeats.

In each zone two machines, the hubs, receive the heartbeats of the others and
pass on news to them. The two first hubs of a region receive the heartbeats of
all its hubs, with the machines that these have heard; one of them reads the
store for the region. So a machine's messages do not grow with the number of
machines, a hub's only with those of its zone, and between zones only hubs
talk to each other.
"""

import dataclasses
import random
from collections.abc import Collection

from chiverun.core.catalog import Machine
from chiverun.core.edgemessages import Heartbeat
from chiverun.core.ids import InstanceId
from chiverun.core.ids import RegionName
from chiverun.core.ids import ZoneName

HEARTBEAT_PERIOD_S = 0.5
# Longer than four heartbeat periods, so four heartbeats have been missed.
SILENT_AFTER_S = 2.2
# After this time without a message of the relay, machines of a zone read the
# store themselves, and send heartbeats to further machines.
RELAY_SILENT_AFTER_S = 1.0
# Delay between machines that replace a silent relay, by rank.
RELAY_RANK_S = 0.1
RELAY_RANKS_MAX = 8
HUBS_PER_ZONE = 2
HUBS_PER_REGION = 2
# Machines of the own zone that get heartbeats while no relay is heard.
CANDIDATES = 4
# Machines of a silent zone that are probed with each heartbeat.
PROBES = 8
# Machines of a region up to which its exchanges run at their full rate.
FULL_RATE_MACHINES = 50
# For the choice of a region's hubs, machines on the last list of a hub that
# has fallen silent are taken for live for this long, so that the zones choose
# the same ones.
PRESUMED_S = 3.5


@dataclasses.dataclass(kw_only=True)
class PeerRow:
    """The last heartbeat of a machine; `heard_at` is monotonic seconds."""

    heartbeat: Heartbeat
    heard_at: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class LiveList:
    """The live machines according to a hub."""

    names: frozenset[InstanceId]
    heard_at: float


class PeerTable:
    """Machines that this one receives heartbeats from, and hub lists."""

    def __init__(self, *, me: Machine) -> None:
        self.me = me
        self.rows: dict[InstanceId, PeerRow] = {}
        self.lists: dict[InstanceId, LiveList] = {}
        self.relay_heard_at = float("-inf")
        self._machines: dict[InstanceId, Machine] = {me.name: me}
        # Whether the other machines can know of this one.
        self._is_registered = False

    def record_heartbeat(self, heartbeat: Heartbeat, now: float) -> bool:
        """Record a heartbeat; return whether the live machines changed."""
        name = heartbeat.machine.name
        if name == self.me.name:
            return False
        row = self.rows.get(name)
        self.rows[name] = PeerRow(heartbeat=heartbeat, heard_at=now)
        self._machines.setdefault(name, heartbeat.machine)
        return (
            row is None
            or not _is_fresh(row.heard_at, now)
            or row.heartbeat.leaving != heartbeat.leaving
            or row.heartbeat.heard != heartbeat.heard
        )

    def record_live_list(
        self, hub: InstanceId, names: list[InstanceId], now: float
    ) -> None:
        """Record the list of live machines of a hub."""
        self.lists[hub] = LiveList(names=frozenset(names), heard_at=now)

    def record_machines(self, machines: list[Machine]) -> None:
        """Record the registered machines, whether live or not."""
        for machine in machines:
            self._machines[machine.name] = machine
            self._is_registered |= machine.name == self.me.name
        self._machines[self.me.name] = self.me

    def fleet(self) -> Collection[Machine]:
        """Return the machines that share common limits.

        An unreachable machine still uses its share. This one has none before
        it is registered: the others share the limits without it.
        """
        if self._is_registered:
            return self._machines.values()
        return [m for m in self._machines.values() if m.name != self.me.name]

    def machine(self, name: InstanceId) -> Machine | None:
        """Return a registered machine, None if it is not known."""
        return self._machines.get(name)

    def heard_in_zone(self, now: float) -> list[InstanceId]:
        """Return the live machines of the zone that were heard directly."""
        return sorted(
            row.heartbeat.machine.name
            for row in self._fresh_rows(now)
            if row.heartbeat.machine.zone == self.me.zone
            and not row.heartbeat.leaving
        )

    def heard_names(self, now: float) -> set[InstanceId]:
        """Return the region's machines heard directly or by its hubs."""
        names: set[InstanceId] = set()
        for row in self._fresh_rows(now):
            names.add(row.heartbeat.machine.name)
            names.update(row.heartbeat.heard or ())
        return names - self._leaving(now)

    def live(self, now: float) -> list[Machine]:
        """Return the live machines of the region, excluding this one."""
        names = self.heard_names(now)
        for row in self.lists.values():
            if _is_fresh(row.heard_at, now):
                names |= row.names
        names -= self._leaving(now)
        return [
            self._machines[name]
            for name in sorted(names - {self.me.name})
            if name in self._machines
        ]

    def region_machines(self) -> list[Machine]:
        """Return all known machines of the region, excluding this one."""
        return [
            machine
            for machine in self._machines.values()
            if machine.region == self.me.region
            and machine.name != self.me.name
        ]

    def zone_machines(self) -> list[Machine]:
        """Return all known machines of the zone, excluding this one."""
        zone = self.me.zone
        return [m for m in self.region_machines() if m.zone == zone]

    def remote_machines(self) -> list[Machine]:
        """Return the known machines of other regions."""
        return [
            machine
            for machine in self._machines.values()
            if machine.region != self.me.region
        ]

    def zone_hubs(self, now: float) -> list[Machine]:
        """Return the hubs of the zone, possibly including this machine."""
        names = None
        if any(_is_fresh(row.heard_at, now) for row in self.lists.values()):
            names = {machine.name for machine in self.live(now)}
        return self._first(self.zone_machines(), names)[:HUBS_PER_ZONE]

    def region_hubs(self, now: float) -> list[Machine]:
        """Return the hubs of the region, possibly including this machine."""
        names = self._presumed(now)
        if names is not None:
            names |= {machine.name for machine in self.live(now)}
        return self._first(self.region_machines(), names)[:HUBS_PER_REGION]

    def is_reader(self, now: float, reads_store: bool) -> bool:
        """Return whether this machine reads the store for its region.

        The reader is the first hub of the region whose reads succeed.
        """
        hubs = self.region_hubs(now)
        if self.me not in hubs:
            return False
        rows = {
            row.heartbeat.machine.name: row for row in self._fresh_rows(now)
        }
        readers = [
            hub
            for hub in hubs
            if hub.name in rows
            and rows[hub.name].heartbeat.reads_store
            and not rows[hub.name].heartbeat.leaving
        ]
        if not readers:
            return True
        return reads_store and _rank(self.me) < _rank(readers[0])

    def is_relay_silent(self, now: float) -> bool:
        """Return whether this machine must replace the relay in its zone."""
        machines = sorted([*self.zone_machines(), self.me], key=_rank)
        rank = min(RELAY_RANKS_MAX, machines.index(self.me))
        limit_s = RELAY_SILENT_AFTER_S + rank * RELAY_RANK_S
        return now - self.relay_heard_at > limit_s

    def heartbeat_targets(self, now: float, leaving: bool) -> list[Machine]:
        """Return the machines to send heartbeats to."""
        hubs = self.zone_hubs(now)
        targets = {hub.name: hub for hub in hubs}
        if self.me in hubs or leaving:
            targets.update((hub.name, hub) for hub in self.region_hubs(now))
        if now - self.relay_heard_at > RELAY_SILENT_AFTER_S:
            nearest = sorted(self.zone_machines(), key=_rank)[:CANDIDATES]
            targets.update((machine.name, machine) for machine in nearest)
        targets.pop(self.me.name, None)
        return list(targets.values())

    def probe_targets(self, now: float) -> list[Machine]:
        """Return machines of zones in which none is known to live.

        They are others with each heartbeat, so that a zone is found whichever
        of its machines live.
        """
        targets = []
        for machines in self._silent_zones(now).values():
            first = int(now / HEARTBEAT_PERIOD_S) * PROBES
            count = min(PROBES, len(machines))
            targets += [
                machines[(first + i) % len(machines)] for i in range(count)
            ]
        return targets

    def relay_targets(self, now: float, *, is_reader: bool) -> list[Machine]:
        """Return the machines that this one sends the store's news to.

        The reader of the region also sends it to the hubs of other zones.
        """
        targets = self.zone_machines()
        if not is_reader:
            return targets
        live = {machine.name for machine in self.live(now)}
        for machines in self._other_zones().values():
            hubs = [machine for machine in machines if machine.name in live]
            targets += hubs[:HUBS_PER_ZONE]
        return targets

    def limit_targets(self, now: float, rng: random.Random) -> list[Machine]:
        """Return the machines to tell the limits of servers.

        Hubs tell their zone and the hubs of the region, and these a machine
        of each other region.
        """
        targets = {
            m.name: m for m in self.heartbeat_targets(now, leaving=False)
        }
        is_region_hub = self.me in self.region_hubs(now)
        if is_region_hub or self.me in self.zone_hubs(now):
            served = self.relay_targets(now, is_reader=is_region_hub)
            targets.update((machine.name, machine) for machine in served)
        if is_region_hub:
            by_region: dict[RegionName, list[Machine]] = {}
            for machine in self.remote_machines():
                by_region.setdefault(machine.region, []).append(machine)
            others = [rng.choice(rows) for rows in by_region.values()]
            targets.update((machine.name, machine) for machine in others)
        return list(targets.values())

    def passes_on(self, sender: InstanceId, now: float) -> bool:
        """Return whether this machine passes on a sender's news."""
        machine = self._machines.get(sender)
        if machine is None or machine.zone == self.me.zone:
            return False
        return self.zone_hubs(now)[0] == self.me

    def _other_zones(self) -> dict[ZoneName, list[Machine]]:
        """Return the machines of the region's other zones by rank."""
        zones: dict[ZoneName, list[Machine]] = {}
        for machine in sorted(self.region_machines(), key=_rank):
            if machine.zone != self.me.zone:
                zones.setdefault(machine.zone, []).append(machine)
        return zones

    def _silent_zones(self, now: float) -> dict[ZoneName, list[Machine]]:
        live = {machine.zone for machine in self.live(now)}
        return {
            zone: machines
            for zone, machines in self._other_zones().items()
            if zone not in live
        }

    def _first(
        self, machines: list[Machine], names: set[InstanceId] | None
    ) -> list[Machine]:
        """Return the named machines and this one, the first by rank first.

        With None, while no hub has told which ones live, all count.
        """
        if names is not None:
            machines = [m for m in machines if m.name in names]
        return sorted([*machines, self.me], key=_rank)

    def _presumed(self, now: float) -> set[InstanceId] | None:
        """Return the machines on recent lists, without silent senders."""
        names: set[InstanceId] | None = None
        silent = set()
        for sender, row in self.lists.items():
            if now - row.heard_at < PRESUMED_S:
                names = (names or set()) | row.names
            if not _is_fresh(row.heard_at, now):
                silent.add(sender)
        return None if names is None else names - silent

    def _fresh_rows(self, now: float) -> list[PeerRow]:
        """Return the rows of the region with a recent heartbeat."""
        return [
            row
            for row in self.rows.values()
            if row.heartbeat.machine.region == self.me.region
            and _is_fresh(row.heard_at, now)
        ]

    def _leaving(self, now: float) -> set[InstanceId]:
        return {
            row.heartbeat.machine.name
            for row in self._fresh_rows(now)
            if row.heartbeat.leaving
        }


def scaled_period_s(period_s: float, machines: int) -> float:
    """Return the interval of an exchange in a region, in seconds.

    It grows in proportion to a large region, so that the messages of the
    region's hub do not.
    """
    return period_s * max(1.0, machines / FULL_RATE_MACHINES)


def _is_fresh(heard_at: float, now: float) -> bool:
    return now - heard_at < SILENT_AFTER_S


def _rank(machine: Machine) -> tuple[float, InstanceId]:
    """Return the sort key of machines: strong ones come first."""
    return (-machine.capacity, machine.name)
