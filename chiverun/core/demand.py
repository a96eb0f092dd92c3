"""What each machine is expected to send to a server.

Derived from the records that all machines hold, by the shares by which
requests are placed, so that all machines come to the same result.
"""

import collections
import dataclasses
from collections.abc import Collection
from collections.abc import Mapping

from chiverun.core.catalog import Machine
from chiverun.core.catalog import Server
from chiverun.core.ids import InstanceId
from chiverun.core.ids import RegionName
from chiverun.core.ids import ZoneName
from chiverun.core.placement import fair_shares

# Part of a server's requests that may come from any machine: for keys whose
# own servers are busy, and on routes that only some regions may serve.
UNPLACED_PART = 0.05


@dataclasses.dataclass(frozen=True, kw_only=True)
class ServiceCapacity:
    """Slots of a service's servers by region and by zone."""

    by_region: Mapping[RegionName, float]
    by_zone: Mapping[ZoneName, float]
    regions: Mapping[ZoneName, RegionName]

    @classmethod
    def of(
        cls,
        servers: Collection[Server],
        regions: Mapping[ZoneName, RegionName],
    ) -> "ServiceCapacity":
        """Return the capacity of servers; `regions` maps their zones."""
        by_region: dict[RegionName, float] = collections.Counter()
        by_zone: dict[ZoneName, float] = collections.Counter()
        for server in servers:
            by_region[regions[server.zone]] += server.slots
            by_zone[server.zone] += server.slots
        return cls(by_region=by_region, by_zone=by_zone, regions=regions)

    def region_shares(
        self, source: RegionName | None
    ) -> dict[RegionName, float]:
        """Return which part of a region's requests each region gets.

        All regions are taken to have the same demand.
        """
        demand = dict.fromkeys(self.by_region, 1.0)
        demand[source] = 1.0
        return fair_shares(self.by_region, demand, source)

    def zone_shares(
        self, demand: Mapping[ZoneName, float], source: ZoneName
    ) -> dict[ZoneName, float]:
        """Return which part of a zone's requests each zone gets.

        Only of those that stay in the region; `demand` is that of its zones.
        """
        zones = {
            zone: slots
            for zone, slots in self.by_zone.items()
            if self.regions[zone] == self.regions.get(source)
        }
        return fair_shares(zones, demand, source)


def sender_weights(
    server_zone: ZoneName,
    capacity: ServiceCapacity,
    machines: Collection[Machine],
) -> dict[InstanceId, float]:
    """Return what each machine is expected to send to a zone's servers.

    Parameters
    ----------
    server_zone : ZoneName
    capacity : ServiceCapacity
        Of the servers of one service that are in use.
    machines : Collection[Machine]
        All machines that may send, whether they are heard or not.

    Returns
    -------
    dict[InstanceId, float]
        Weights with the sum 1.
    """
    per_region = collections.Counter(m.region for m in machines)
    per_zone = collections.Counter(m.zone for m in machines)
    by_zone = {
        zone: _zone_weight(zone, server_zone, capacity, per_zone)
        for zone in per_zone
    }
    weights = {
        m.name: by_zone[m.zone] / per_region[m.region] for m in machines
    }
    total = sum(weights.values())
    even = 1.0 / max(1, len(weights))
    if total <= 0:
        return dict.fromkeys(weights, even)
    return {
        name: (1 - UNPLACED_PART) * weight / total + UNPLACED_PART * even
        for name, weight in weights.items()
    }


def _zone_weight(
    source: ZoneName,
    server_zone: ZoneName,
    capacity: ServiceCapacity,
    machines: Mapping[ZoneName, int],
) -> float:
    """Return which part of a zone's requests goes to a zone's servers."""
    region = capacity.regions[server_zone]
    source_region = capacity.regions.get(source)
    part = capacity.region_shares(source_region).get(region, 0.0)
    if source_region == region:
        demand = {
            zone: count
            for zone, count in machines.items()
            if capacity.regions.get(zone) == region
        }
        shares = capacity.zone_shares(demand, source)
        return part * shares.get(server_zone, 0.0)
    slots = capacity.by_zone.get(server_zone, 0.0)
    return part * slots / max(1.0, capacity.by_region.get(region, 0.0))
