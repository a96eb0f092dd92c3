"""This machine's part of the rate of a cold server."""

from collections.abc import Callable
from collections.abc import Collection

from chiverun.core.catalog import Machine
from chiverun.core.catalog import ServiceSpec
from chiverun.core.edgesettings import EdgeBounds
from chiverun.core.ids import InstanceId
from chiverun.core.ids import ZoneName
from chiverun.runtime.servertable import ServerRow


class ColdShares:
    """Decides whether this machine may send to cold or unknown processes."""

    def __init__(
        self,
        *,
        bounds: EdgeBounds,
        fleet: Callable[[], Collection[Machine]],
    ) -> None:
        self._bounds = bounds
        self._fleet = fleet

    def allows(self, row: ServerRow, spec: ServiceSpec, now: float) -> bool:
        """Return whether a cold server may be sent a request."""
        return row.cold.allows(
            now, self._per_s(spec), self._senders(row.server.zone)
        )

    def allows_unknown(
        self, row: ServerRow, spec: ServiceSpec, now: float
    ) -> bool:
        """Return whether an unknown process may be sent a request."""
        return row.cold.allows_unknown(
            now, self._per_s(spec), self._senders(row.server.zone)
        )

    def _per_s(self, spec: ServiceSpec) -> float:
        excess = spec.cold_per_s * self._bounds.cold_excess
        return excess + self._bounds.cold_extra

    def _senders(self, zone: ZoneName) -> set[InstanceId]:
        """Return the machines that share the rate of a zone's servers.

        Only the machines of its zone share a cold server's rate, since most
        requests for it come from there. A zone without any is shared by all.
        """
        fleet = self._fleet()
        senders = {machine.name for machine in fleet if machine.zone == zone}
        return senders or {machine.name for machine in fleet}
