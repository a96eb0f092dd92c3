"""Measures how long an accepted ticket takes to be in force everywhere.

The instances are real processes on loopback. Messages between zones pass
through the relay, which adds latency. No backend servers or callers run.
"""

import contextlib
import dataclasses
import json
import pathlib
import random
import tempfile
import time
from collections.abc import Iterator
from typing import Any

from chiverun.core.ids import Address
from chiverun.core.ids import TicketNumber
from chiverun.core.ticket import Region
from chiverun.core.ticket import Ticket
from chiverun.core.ticketlog import TicketLog
from chiverun.integrations.store import HttpStore
from standins import deployment
from standins.cluster import Cluster
from standins.cluster import source_program
from standins.cluster import wait_until

# Instances in each zone by total; 9 is the size of the committed deployment.
_INSTANCES_BY_ZONE = {
    9: (2, 2, 2, 1, 1, 1),
    20: (4, 4, 3, 3, 3, 3),
    40: (7, 7, 7, 7, 6, 6),
}
_TICKETS_PER_MODE = 12
_START_LIMIT_S = 120.0
_SPREAD_LIMIT_S = 30.0
# Each instance discovers the members of all zones within some probe periods.
_MEMBERSHIP_SETTLE_S = 8.0


class SpreadCluster(Cluster):
    """A deployment of any size with platform, relay and instances only."""

    routed_ports = (deployment.PEER_PORT,)

    def prepare(self) -> None:
        """Write the instances' settings and the relay's routes."""
        (self.folder / "instances").mkdir(parents=True, exist_ok=True)
        routes: list[dict] = []
        for instance in deployment.instances(self.spec):
            mapping = self._routes_from(instance, routes)
            text = self.local(deployment.settings_text(self.spec, instance))
            path = self.folder / "instances" / f"{instance.name}.ini"
            path.write_text(f"{text}\n[network]\naddress_map = {mapping}\n")
        (self.folder / "routes.json").write_text(json.dumps(routes))

    def start_standins(self) -> None:
        """Start the platform and the relay."""
        store = self.local(deployment.STORE)
        self._start_module("platform", "standins.platform", "--listen", store)
        self._start_module(
            "relay",
            "standins.relay",
            "--routes",
            str(self.folder / "routes.json"),
            "--control",
            self.relay_control,
        )
        self.wait_for_port(store)
        self.wait_for_port(self.relay_control)


class SpreadTimer:
    """Submits tickets and measures when each instance has them in force."""

    def __init__(self, *, cluster: Cluster) -> None:
        self._cluster = cluster
        store = Address(cluster.local(deployment.STORE))
        self._log = TicketLog(store=HttpStore(address=store, timeout_s=5.0))
        self.number = 0

    def submit(self) -> float:
        """Submit the next ticket; return the time before the submission."""
        self.number += 1
        ticket = Ticket(
            number=TicketNumber(self.number),
            reason="measure the spread",
            author="measurement",
            region=(Region(name="region", in_flight_max=self.number),),
        )
        submitted_at = time.monotonic()
        self._log.submit(ticket, f"spread-{self.number}", [])
        return submitted_at

    def in_force_times(self, names: list[str]) -> list[float]:
        """Wait for the newest ticket; return its time in force by instance."""
        found: dict[str, float] = {}

        def is_in_force_everywhere() -> bool:
            for name in names:
                if name in found:
                    continue
                status = self._cluster.status(name)
                if status and status["number"] >= self.number:
                    found[name] = time.monotonic() - status["in_force_s"]
            return len(found) == len(names)

        wait_until(
            is_in_force_everywhere,
            _SPREAD_LIMIT_S,
            f"ticket {self.number} in force on all instances",
        )
        return [found[name] for name in names]


def run(seed: int) -> Iterator[dict[str, Any]]:
    """Yield the spread times of each size, with the store up and down."""
    rng = random.Random(seed)
    for size, by_zone in _INSTANCES_BY_ZONE.items():
        spec = dataclasses.replace(
            deployment.SPECS["inzira"], instances_by_zone=by_zone
        )
        with tempfile.TemporaryDirectory() as folder:
            cluster = SpreadCluster(
                spec=spec,
                folder=pathlib.Path(folder),
                program=source_program(),
            )
            with contextlib.closing(cluster):
                yield from _measure(cluster, size, seed, rng)


def _measure(
    cluster: Cluster, size: int, seed: int, rng: random.Random
) -> Iterator[dict[str, Any]]:
    names = [i.name for i in deployment.instances(cluster.spec)]
    cluster.prepare()
    cluster.start_standins()
    cluster.start_instances()
    for name in names:
        wait_until(
            lambda n=name: cluster.status(n),
            _START_LIMIT_S,
            f"start of {name}",
        )
    timer = SpreadTimer(cluster=cluster)
    timer.submit()
    timer.in_force_times(names)
    time.sleep(_MEMBERSHIP_SETTLE_S)
    spreads_ms: dict[str, list[float]] = {"up": [], "down": []}
    for _ in range(_TICKETS_PER_MODE):
        spreads_ms["up"].append(_spread_store_up(timer, names))
        spreads_ms["down"].append(
            _spread_store_down(cluster, timer, names, rng)
        )
    for mode, values in spreads_ms.items():
        yield {
            "measure": "spread",
            "seed": seed,
            "instances": size,
            "store_after_acceptance": mode,
            "tickets": len(values),
            "in_force_ms_median": round(sorted(values)[len(values) // 2]),
            "in_force_ms_max": round(max(values)),
        }


def _spread_store_up(timer: SpreadTimer, names: list[str]) -> float:
    submitted_at = timer.submit()
    return (max(timer.in_force_times(names)) - submitted_at) * 1000


def _spread_store_down(
    cluster: Cluster, timer: SpreadTimer, names: list[str], rng: random.Random
) -> float:
    """Measure with one zone connected to the store, which then goes down.

    The other zones receive the ticket from their peers.
    """
    zones = [zone for zone, _ in cluster.spec.zones()]
    store_zone = rng.choice(zones)
    for zone in zones:
        if zone != store_zone:
            cluster.relay(f"cut {zone} platform")
    submitted_at = timer.submit()
    store_zone_names = [n for n in names if n.startswith(f"{store_zone}-")]
    wait_until(
        lambda: any(
            (s := cluster.status(n)) and s["number"] >= timer.number
            for n in store_zone_names
        ),
        _SPREAD_LIMIT_S,
        f"ticket {timer.number} in force on the first instance",
    )
    cluster.admin(deployment.STORE, outage=True)
    spread_ms = (max(timer.in_force_times(names)) - submitted_at) * 1000
    cluster.admin(deployment.STORE, outage=False)
    for zone in zones:
        cluster.relay(f"heal {zone} platform")
    wait_until(
        lambda: all(
            (s := cluster.status(n)) and s["store_reachable"] for n in names
        ),
        _START_LIMIT_S,
        "store reachable again from all instances",
    )
    return spread_ms
