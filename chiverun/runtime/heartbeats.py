"""Heartbeats of an edge instance and what it hears from others."""

import asyncio
from collections.abc import Collection
from typing import TYPE_CHECKING

import logbook

from chiverun.core import edgemessages
from chiverun.core.edgemessages import Heartbeat

if TYPE_CHECKING:
    from chiverun.core.catalog import Machine
    from chiverun.core.ids import Address
    from chiverun.core.ids import BootId
    from chiverun.core.ids import InstanceId
    from chiverun.core.peertable import PeerTable
    from chiverun.integrations.peers import ZmqPeers

_LOG = logbook.Logger("catalog")


class Heartbeats:
    """Sends heartbeats and probes, and records those of other machines.

    `live_changed` is set when the machines that this one hears change.
    """

    def __init__(
        self,
        *,
        me: "Machine",
        boot_id: "BootId",
        table: "PeerTable",
        peers: "ZmqPeers",
        seeds: "tuple[Address, ...]",
    ) -> None:
        self.leaving = False
        self.live_changed = True
        self._me = me
        self._boot_id = boot_id
        self._table = table
        self._peers = peers
        self._seeds = {seed for seed in seeds if seed != me.peer}
        self._loop = asyncio.get_running_loop()

    def send(self, reads_store: bool) -> None:
        """Send a heartbeat to the machines that expect it."""
        now = self._loop.time()
        targets = self._table.heartbeat_targets(now, self.leaving)
        addresses = {machine.peer for machine in targets}
        if not addresses and not self._table.region_machines():
            addresses = self._seeds
        self._send_to(addresses, reads_store)
        if self._is_hub():
            probed = {m.peer for m in self._table.probe_targets(now)}
            self._send_to(probed, reads_store, probe=True)

    def receive(self, heartbeat: Heartbeat, reads_store: bool) -> None:
        """Record a heartbeat; answer a probe of another zone."""
        now = self._loop.time()
        if heartbeat.probe and heartbeat.machine.zone != self._me.zone:
            self._answer_probe(heartbeat, reads_store)
        names_before = self._table.heard_names(now)
        if not self._table.record_heartbeat(heartbeat, now):
            return
        names = self._table.heard_names(now)
        if names == names_before:
            return
        self.live_changed = True
        _LOG.info(
            "live machines changed",
            extra={
                "machine": heartbeat.machine.name,
                "life": heartbeat.boot_id,
                "leaving": heartbeat.leaving,
                "heard": sorted(names - names_before),
                "gone": sorted(names_before - names),
            },
        )

    def live_names(self) -> "list[InstanceId]":
        """Return the machines that this one hears, and itself."""
        names = self._table.heard_names(self._loop.time()) - {self._me.name}
        return sorted(names if self.leaving else names | {self._me.name})

    def _send_to(
        self,
        addresses: "Collection[Address]",
        reads_store: bool,
        *,
        probe: bool = False,
    ) -> None:
        if not addresses:
            return
        heard = self._table.heard_in_zone(self._loop.time())
        message = edgemessages.encode(
            Heartbeat(
                machine=self._me,
                boot_id=self._boot_id,
                leaving=self.leaving,
                reads_store=reads_store,
                heard=heard if self._is_hub() else None,
                probe=probe,
            )
        )
        for address in addresses:
            self._peers.send(address, message)

    def _answer_probe(self, probe: Heartbeat, reads_store: bool) -> None:
        """Answer as a hub, or let the hubs of the zone answer."""
        if self._is_hub():
            self._send_to([probe.machine.peer], reads_store)
            return
        message = edgemessages.encode(probe)
        for hub in self._table.zone_hubs(self._loop.time()):
            self._peers.send(hub.peer, message)

    def _is_hub(self) -> bool:
        return self._me in self._table.zone_hubs(self._loop.time())
