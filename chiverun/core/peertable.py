"""Liveness of edge instances, based on heartbeats.

In each region two machines, the hubs, receive the heartbeats of all other
machines and distribute the list of live ones. Messages and connections of
other machines thus do not grow with the number of machines.
"""

import dataclasses

from chiverun.core.catalog import Machine
from chiverun.core.edgemessages import Heartbeat
from chiverun.core.ids import InstanceId

HEARTBEAT_PERIOD_S = 0.5
# Longer than four heartbeat periods, so four heartbeats have been missed.
SILENT_AFTER_S = 2.2
# After this time without a message of the relay, machines read the store
# themselves and send heartbeats to the whole region until it sends again.
RELAY_SILENT_AFTER_S = 1.0
# Delay between machines that replace a silent relay, by rank.
RELAY_RANK_S = 0.1
RELAY_RANKS_MAX = 8
HUBS_PER_REGION = 2


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
        self._known: set[InstanceId] = {me.name}

    def record_heartbeat(self, heartbeat: Heartbeat, now: float) -> bool:
        """Record a heartbeat; return whether the machine was silent before."""
        name = heartbeat.machine.name
        if name == self.me.name:
            return False
        row = self.rows.get(name)
        was_live = row is not None and now - row.heard_at < SILENT_AFTER_S
        self.rows[name] = PeerRow(heartbeat=heartbeat, heard_at=now)
        self._machines.setdefault(name, heartbeat.machine)
        self._known.add(name)
        return not was_live

    def record_live_list(
        self, hub: InstanceId, names: list[InstanceId], now: float
    ) -> None:
        """Record the list of live machines of a hub."""
        self.lists[hub] = LiveList(names=frozenset(names), heard_at=now)

    def record_machines(self, machines: list[Machine]) -> None:
        """Record the registered machines, whether live or not."""
        for machine in machines:
            self._machines[machine.name] = machine
            self._known.add(machine.name)
        self._machines[self.me.name] = self.me

    @property
    def known(self) -> set[InstanceId]:
        """Names of all machines ever known, including this one.

        An unreachable machine still uses its part of shared limits.
        """
        return self._known

    def heard_names(self, now: float) -> list[InstanceId]:
        """Return the machines of the region that recently sent a heartbeat."""
        return [
            name
            for name, row in self.rows.items()
            if row.heartbeat.machine.region == self.me.region
            and not row.heartbeat.leaving
            and now - row.heard_at < SILENT_AFTER_S
        ]

    def live(self, now: float) -> list[Machine]:
        """Return the live machines of the region, excluding this one."""
        names = set(self.heard_names(now))
        for row in self.lists.values():
            if now - row.heard_at < SILENT_AFTER_S:
                names |= row.names
        leaving = {
            name for name, row in self.rows.items() if row.heartbeat.leaving
        }
        return [
            self._machines[name]
            for name in sorted(names - leaving - {self.me.name})
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

    def remote_machines(self) -> list[Machine]:
        """Return the known machines of other regions."""
        return [
            machine
            for machine in self._machines.values()
            if machine.region != self.me.region
        ]

    def hubs(self, now: float) -> list[InstanceId]:
        """Return the hubs of the region, possibly including this machine."""
        live = {machine.name for machine in self.live(now)}
        names = sorted(
            machine.name
            for machine in self.region_machines()
            if machine.name in live or not self._is_listed(now)
        )
        return sorted([*names, self.me.name])[:HUBS_PER_REGION]

    def is_reader(self, now: float, reads_store: bool) -> bool:
        """Return whether this machine reads the store for its region.

        The reader is the hub with the lowest name whose reads succeed.
        """
        if self.me.name not in self.hubs(now):
            return False
        readers = [
            name
            for name in self.heard_names(now)
            if self.rows[name].heartbeat.reads_store
        ]
        if not readers:
            return True
        return reads_store and self.me.name < min(readers)

    def is_relay_silent(self, now: float) -> bool:
        """Return whether this machine must replace the relay."""
        names = sorted(
            [m.name for m in self.region_machines()] + [self.me.name]
        )
        rank = min(RELAY_RANKS_MAX, names.index(self.me.name))
        limit_s = RELAY_SILENT_AFTER_S + rank * RELAY_RANK_S
        return now - self.relay_heard_at > limit_s

    def heartbeat_targets(self, now: float) -> list[Machine]:
        """Return the machines to send heartbeats to."""
        if now - self.relay_heard_at > RELAY_SILENT_AFTER_S:
            return self.region_machines()
        hubs = self.hubs(now)
        return [
            machine
            for machine in self.region_machines()
            if machine.name in hubs
        ]

    def _is_listed(self, now: float) -> bool:
        return any(
            now - row.heard_at < SILENT_AFTER_S for row in self.lists.values()
        )
