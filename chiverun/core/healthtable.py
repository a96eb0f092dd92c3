"""Health rows of the backend servers of a zone."""

from typing import TYPE_CHECKING

from chiverun.core.health import Eligibility
from chiverun.core.health import eligibility
from chiverun.core.health import note_returned
from chiverun.core.health import ServerHealth
from chiverun.core.ids import ServerName
from chiverun.core.ticket import Server
from chiverun.core.ticket import ServerState

if TYPE_CHECKING:
    from chiverun.core.snapshot import Snapshot


class HealthTable(dict[ServerName, ServerHealth]):
    """Rows by server name."""

    def __init__(self) -> None:
        super().__init__()
        self._out: frozenset[ServerName] = frozenset()

    def rebuild(self, servers: list[Server], now: float) -> None:
        """Keep the rows of known servers; start new ones slowly.

        The servers of a new instance are new to it and not cold.
        """
        old = dict(self)
        is_running = any(row.samples for row in old.values())
        self.clear()
        for server in servers:
            row = old.get(server.name)
            if row is None or row.address != server.address:
                row = ServerHealth(name=server.name, address=server.address)
                if is_running:
                    row.returned_at = now
            self[server.name] = row

    def note_returned(self, snapshot: "Snapshot", now: float) -> None:
        """Begin the slow start of servers that no longer drain."""
        leaving = snapshot.leaving_servers
        servers = snapshot.state.of(Server)
        out = frozenset(
            name
            for name in self
            if name in leaving or servers[name].state is ServerState.DRAIN
        )
        note_returned(self, self._out - out, now)
        self._out = out

    def draining(self, now: float) -> frozenset[ServerName]:
        """Return the servers that said that they are leaving."""
        return frozenset(
            name
            for name, row in self.items()
            if eligibility(row, now) is Eligibility.DRAINING
        )

    def may_use(
        self, snapshot: "Snapshot", name: ServerName, now: float
    ) -> bool:
        """Tell whether a server may get requests."""
        current = snapshot.state.of(Server).get(name)
        return (
            current is not None
            and current.state is ServerState.ACTIVE
            and name not in snapshot.leaving_servers
            and eligibility(self[name], now) is not Eligibility.DRAINING
        )
