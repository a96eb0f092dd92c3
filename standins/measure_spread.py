"""Measures how long an accepted ticket takes to be in force everywhere.

Real processes on loopback; messages between zones pass the relay with its
latency. No backend servers and no callers run.
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

# Instances by zone; 9 are those of the committed deployment.
SIZES = {
    9: (2, 2, 2, 1, 1, 1),
    20: (4, 4, 3, 3, 3, 3),
    40: (7, 7, 7, 7, 6, 6),
}
TICKETS_PER_MODE = 12
_START_LIMIT_S = 120.0
_SPREAD_LIMIT_S = 30.0
# Members of all zones have been heard of after some periods of probing.
_SETTLE_S = 8.0


class SpreadCluster(Cluster):
    """A deployment of any size with only platform, relay and instances."""

    routed_ports = (deployment.PEER_PORT,)

    def prepare(self) -> None:
        """Write settings and routes for peers and the store."""
        (self.folder / "instances").mkdir(parents=True, exist_ok=True)
        routes: list[dict] = []
        for instance in deployment.instances(self.spec):
            mapping = self._routes_from(instance, routes)
            text = self.local(deployment.settings_text(self.spec, instance))
            path = self.folder / "instances" / f"{instance.name}.ini"
            path.write_text(f"{text}\n[network]\naddress_map = {mapping}\n")
        (self.folder / "routes.json").write_text(json.dumps(routes))

    def start_standins(self) -> None:
        """Start platform and relay."""
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


class SpreadClock:
    """Submits tickets and reads when each instance had them in force."""

    def __init__(self, *, cluster: Cluster) -> None:
        self._cluster = cluster
        store = Address(cluster.local(deployment.STORE))
        self._log = TicketLog(store=HttpStore(address=store, timeout_s=5.0))
        self.number = 0

    def submit(self) -> float:
        """Have the next ticket accepted; return when the call was made."""
        self.number += 1
        ticket = Ticket(
            number=TicketNumber(self.number),
            reason="measure the spread",
            author="measurement",
            region=(Region(name="region", in_flight_max=self.number),),
        )
        called_at = time.monotonic()
        self._log.submit(ticket, f"spread-{self.number}", [])
        return called_at

    def in_force_at(self, names: list[str]) -> list[float]:
        """Return when each instance had the newest ticket in force."""
        found: dict[str, float] = {}

        def all_have() -> bool:
            for name in names:
                if name in found:
                    continue
                status = self._cluster.status(name)
                if status and status["number"] >= self.number:
                    found[name] = time.monotonic() - status["in_force_s"]
            return len(found) == len(names)

        wait_until(all_have, _SPREAD_LIMIT_S, f"ticket {self.number}")
        return [found[name] for name in names]


def run(seed: int) -> Iterator[dict[str, Any]]:
    """Yield the spread times of each size, with the store up and down."""
    rng = random.Random(seed)
    for size, by_zone in SIZES.items():
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
        wait_until(lambda n=name: cluster.status(n), _START_LIMIT_S, name)
    clock = SpreadClock(cluster=cluster)
    clock.submit()
    clock.in_force_at(names)
    time.sleep(_SETTLE_S)
    taken: dict[str, list[float]] = {"up": [], "down": []}
    for _ in range(TICKETS_PER_MODE):
        taken["up"].append(_spread_store_up(clock, names))
        taken["down"].append(_spread_store_down(cluster, clock, names, rng))
    for mode, values in taken.items():
        yield {
            "measure": "spread",
            "seed": seed,
            "instances": size,
            "store_after_acceptance": mode,
            "tickets": len(values),
            "in_force_ms_median": round(sorted(values)[len(values) // 2]),
            "in_force_ms_max": round(max(values)),
        }


def _spread_store_up(clock: SpreadClock, names: list[str]) -> float:
    called_at = clock.submit()
    return (max(clock.in_force_at(names)) - called_at) * 1000


def _spread_store_down(
    cluster: Cluster, clock: SpreadClock, names: list[str], rng: random.Random
) -> float:
    """All zones but one are cut off from the store, then it goes down."""
    zones = [zone for zone, _ in cluster.spec.zones()]
    reader = rng.choice(zones)
    for zone in zones:
        if zone != reader:
            cluster.relay(f"cut {zone} platform")
    called_at = clock.submit()
    readers = [n for n in names if n.startswith(f"{reader}-")]
    wait_until(
        lambda: any(
            (s := cluster.status(n)) and s["number"] >= clock.number
            for n in readers
        ),
        _SPREAD_LIMIT_S,
        "the first instance",
    )
    cluster.admin(deployment.STORE, outage=True)
    taken_ms = (max(clock.in_force_at(names)) - called_at) * 1000
    cluster.admin(deployment.STORE, outage=False)
    for zone in zones:
        cluster.relay(f"heal {zone} platform")
    wait_until(
        lambda: all(
            (s := cluster.status(n)) and s["store_reachable"] for n in names
        ),
        _START_LIMIT_S,
        "the store is reachable again",
    )
    return taken_ms
