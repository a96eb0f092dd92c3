"""Messages and bytes of the exchange of demand and loads.

``.venv/bin/python -m tests.runtime.measure_exchange`` prints them for
simulated fleets of three regions, 56 servers in each and 600 requests in
flight at random servers in each region.
"""

import collections
import random

import logbook

from chiverun.core import edgemessages
from tests.records import make_server
from tests.runtime.fleet import Fleet

_ZONES = {"a1": "a", "a2": "a", "b1": "b", "b2": "b", "c1": "c", "c2": "c"}
_SERVERS = 28
_IN_FLIGHT = 600
_SECONDS = 10.0
_KINDS = (
    edgemessages.DemandReport,
    edgemessages.RegionDemand,
    edgemessages.ShareGoals,
    edgemessages.LoadReport,
    edgemessages.RegionLoads,
)


class _MeasuredFleet(Fleet):
    """Counts messages and bytes by kind, and those between zones."""

    def __init__(self, machines: int) -> None:
        names = random.Random(1)
        servers = tuple(
            make_server(f"i-{names.randbytes(5).hex()}", zone=zone)
            for zone in _ZONES
            for _ in range(_SERVERS)
        )
        super().__init__(
            zones=tuple(_ZONES),
            machines=machines,
            regions=_ZONES,
            servers=servers,
        )
        self.shares_loads = True
        self.messages: collections.Counter[type] = collections.Counter()
        self.bytes: collections.Counter[type] = collections.Counter()
        self.bytes_between: collections.Counter[type] = collections.Counter()

    def post(self, sender: str, address: str, payload: bytes) -> None:
        """Count a message and send it."""
        kind = type(edgemessages.decode(payload))
        self.messages[kind] += 1
        self.bytes[kind] += len(payload)
        if self.machines[sender].zone not in address:
            self.bytes_between[kind] += len(payload)
        super().post(sender, address, payload)

    def spread(self, rng: random.Random, part: float) -> None:
        """Replace a part of the requests in flight by others."""
        each = _IN_FLIGHT // len(self.machines) * len(set(_ZONES.values()))
        for name, table in self.tables.items():
            rows = [row for row in table.rows.values() if row.server.name[1]]
            for row in rows:
                if rng.random() < part:
                    row.load.in_flight = 0
            count = sum(row.load.in_flight for row in rows)
            for _ in range(max(0, each - count)):
                rng.choice(rows).load.in_flight += 1
            self.demands[name].arrivals["mill"] += each // 3


def _measure(machines: int) -> None:
    fleet = _MeasuredFleet(machines)
    rng = random.Random(2)
    fleet.run(10.0)
    for counts in (fleet.messages, fleet.bytes, fleet.bytes_between):
        counts.clear()
    for _ in range(round(_SECONDS / 0.2)):
        fleet.spread(rng, 0.25)
        fleet.run(0.2)
    print(f"{2 * machines} machines a region, for each region:")
    for kind in _KINDS:
        per_s = 3 * _SECONDS
        count = fleet.messages[kind]
        print(
            f"  {kind.__name__}: {count / per_s:.1f} messages/s, "
            f"{fleet.bytes[kind] / max(1, count):.0f} bytes each, "
            f"{fleet.bytes[kind] / per_s:.0f} bytes/s, "
            f"{fleet.bytes_between[kind] / per_s:.0f} between zones"
        )


def main() -> None:
    """Measure regions of several sizes."""
    with logbook.NullHandler().applicationbound():
        for machines in (4, 12, 24, 50):
            _measure(machines)


if __name__ == "__main__":
    main()
