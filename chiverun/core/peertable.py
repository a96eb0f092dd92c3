"""Which edge instances live, as their signs of life tell.

In each region two machines, the hubs, receive the signs of life of all the
others and pass on which of them live. So neither messages nor connections of
a machine that is no hub grow with the number of machines.
"""

import dataclasses

from chiverun.core.catalog import Machine
from chiverun.core.edgemessages import Heartbeat
from chiverun.core.ids import InstanceId

BEAT_PERIOD_S = 0.5
# Four signs of life are missing.
SILENT_AFTER_S = 2.2
# A relay silent for so long is replaced by reads of one's own, and signs of
# life go to the whole region until it is back.
RELAY_SILENT_AFTER_S = 1.0
# Machines begin to replace a silent relay one after the other.
RELAY_RANK_S = 0.1
RELAY_RANKS_MAX = 8
HUBS = 2


@dataclasses.dataclass(kw_only=True)
class PeerRow:
    """Another machine; `heard_at` is monotonic seconds."""

    beat: Heartbeat
    heard_at: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class LiveList:
    """The machines that a hub hears."""

    names: frozenset[InstanceId]
    heard_at: float


class PeerTable:
    """Rows of the machines that this one hears, and lists of the hubs."""

    def __init__(self, *, me: Machine) -> None:
        self.me = me
        self.rows: dict[InstanceId, PeerRow] = {}
        self.lists: dict[InstanceId, LiveList] = {}
        self.relay_heard_at = float("-inf")
        self._machines: dict[InstanceId, Machine] = {me.name: me}
        self._known: set[InstanceId] = {me.name}

    def note_beat(self, beat: Heartbeat, now: float) -> bool:
        """Take over a sign of life; return whether the machine was silent."""
        name = beat.machine.name
        if name == self.me.name:
            return False
        row = self.rows.get(name)
        was_live = row is not None and now - row.heard_at < SILENT_AFTER_S
        self.rows[name] = PeerRow(beat=beat, heard_at=now)
        self._machines.setdefault(name, beat.machine)
        self._known.add(name)
        return not was_live

    def note_list(
        self, hub: InstanceId, names: list[InstanceId], now: float
    ) -> None:
        """Take over which machines a hub hears."""
        self.lists[hub] = LiveList(names=frozenset(names), heard_at=now)

    def note_machines(self, machines: list[Machine]) -> None:
        """Take over the registered machines, heard or not."""
        for machine in machines:
            self._machines[machine.name] = machine
            self._known.add(machine.name)
        self._machines[self.me.name] = self.me

    @property
    def known(self) -> set[InstanceId]:
        """Names of all machines that were ever known, this one included.

        A machine that is out of reach still uses its part of shared bounds.
        """
        return self._known

    def heard(self, now: float) -> list[InstanceId]:
        """Return the machines of the region that this one hears itself."""
        return [
            name
            for name, row in self.rows.items()
            if row.beat.machine.region == self.me.region
            and not row.beat.leaving
            and now - row.heard_at < SILENT_AFTER_S
        ]

    def live(self, now: float) -> list[Machine]:
        """Return machines of the region to name, without this one."""
        names = set(self.heard(now))
        for row in self.lists.values():
            if now - row.heard_at < SILENT_AFTER_S:
                names |= row.names
        leaving = {name for name, row in self.rows.items() if row.beat.leaving}
        return [
            self._machines[name]
            for name in sorted(names - leaving - {self.me.name})
            if name in self._machines
        ]

    def region(self) -> list[Machine]:
        """Return all known machines of the region but this one."""
        return [
            machine
            for machine in self._machines.values()
            if machine.region == self.me.region
            and machine.name != self.me.name
        ]

    def others(self) -> list[Machine]:
        """Return the known machines of other regions."""
        return [
            machine
            for machine in self._machines.values()
            if machine.region != self.me.region
        ]

    def hubs(self, now: float) -> list[InstanceId]:
        """Return the hubs of the region, this machine perhaps included."""
        live = {machine.name for machine in self.live(now)}
        names = sorted(
            machine.name
            for machine in self.region()
            if machine.name in live or not self._is_listed(now)
        )
        return sorted([*names, self.me.name])[:HUBS]

    def is_reader(self, now: float, reads_store: bool) -> bool:
        """Tell whether this machine reads the store for its region.

        The hub with the lowest name whose reads succeed does.
        """
        if self.me.name not in self.hubs(now):
            return False
        readers = [
            name
            for name in self.heard(now)
            if self.rows[name].beat.reads_store
        ]
        if not readers:
            return True
        return reads_store and self.me.name < min(readers)

    def is_relay_silent(self, now: float) -> bool:
        """Tell whether this machine has to replace the relay."""
        names = sorted([m.name for m in self.region()] + [self.me.name])
        rank = min(RELAY_RANKS_MAX, names.index(self.me.name))
        limit_s = RELAY_SILENT_AFTER_S + rank * RELAY_RANK_S
        return now - self.relay_heard_at > limit_s

    def beat_targets(self, now: float) -> list[Machine]:
        """Return whom to send a sign of life."""
        if now - self.relay_heard_at > RELAY_SILENT_AFTER_S:
            return self.region()
        hubs = self.hubs(now)
        return [machine for machine in self.region() if machine.name in hubs]

    def _is_listed(self, now: float) -> bool:
        return any(
            now - row.heard_at < SILENT_AFTER_S for row in self.lists.values()
        )
