"""This machine's shares of the limits that backend servers name."""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Mapping

from chiverun.core.catalog import Machine
from chiverun.core.catalog import Server
from chiverun.core.demand import sender_weights
from chiverun.core.demand import ServiceCapacity
from chiverun.core.ids import InstanceId
from chiverun.core.ids import RegionName
from chiverun.core.ids import ServerName
from chiverun.core.ids import ServiceName
from chiverun.core.ids import ZoneName
from chiverun.core.serverlimit import sender_shares
from chiverun.core.serverlimit import senders_max
from chiverun.runtime.servertable import ServerRow
from chiverun.runtime.servertable import ServerTable

Weights = Mapping[InstanceId, float]


class LimitShares:
    """Decides whether this machine may send to servers that name a limit."""

    def __init__(
        self,
        *,
        table: ServerTable,
        machine: InstanceId,
        regions: Mapping[ZoneName, RegionName],
        fleet: Callable[[], Collection[Machine]],
    ) -> None:
        self._table = table
        self._machine = machine
        self._regions = regions
        self._fleet = fleet
        self._version = (-1, 0)
        # By server and the number of machines that may share its limit.
        self._shares: dict[tuple[ServerName, int], float] = {}
        # What the machines send to a service's servers in a zone.
        self._weights: dict[tuple[ServiceName, ZoneName], Weights] = {}

    def wait_s(self, row: ServerRow, now: float) -> float:
        """Return the time until the server may be sent a request."""
        per_s = row.limit.in_force(now)
        if per_s is None:
            return 0.0
        row.bucket.set_rate(per_s * self._share(row, per_s), now)
        return row.bucket.wait_s(now)

    def take(self, row: ServerRow, now: float) -> None:
        """Count a request that is sent to the server."""
        if row.limit.in_force(now) is not None:
            row.bucket.take()

    def _share(self, row: ServerRow, per_s: float) -> float:
        version = (self._table.generation, len(self._fleet()))
        if version != self._version:
            self._version = version
            self._shares.clear()
            self._weights.clear()
        key = (row.server.name, senders_max(per_s))
        share = self._shares.get(key)
        if share is None:
            share = self._shares[key] = self._compute_share(row, key[1])
        return share

    def _compute_share(self, row: ServerRow, count: int) -> float:
        weights = self._weights_of(row.server)
        shares = sender_shares(row.server.name, weights, count)
        return shares.get(self._machine, 0.0)

    def _weights_of(self, server: Server) -> Weights:
        key = (server.service, server.zone)
        weights = self._weights.get(key)
        if weights is None:
            rows = self._table.by_service.get(server.service, ())
            capacity = ServiceCapacity.of(
                [row.server for row in rows if row.is_usable], self._regions
            )
            weights = sender_weights(server.zone, capacity, self._fleet())
            self._weights[key] = weights
        return weights
