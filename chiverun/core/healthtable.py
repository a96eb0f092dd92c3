"""Health of the backend servers of a zone."""

from typing import TYPE_CHECKING

from chiverun.core.health import Eligibility
from chiverun.core.health import eligibility
from chiverun.core.health import ServerHealth
from chiverun.core.health import start_slow_start
from chiverun.core.ids import ServerName
from chiverun.core.ticket import Server
from chiverun.core.ticket import ServerState

if TYPE_CHECKING:
    from chiverun.core.snapshot import Snapshot


class HealthTable(dict[ServerName, ServerHealth]):
    """Health rows by server name."""

    def __init__(self) -> None:
        super().__init__()
        self._draining: frozenset[ServerName] = frozenset()

    def rebuild(self, servers: list[Server], now: float) -> None:
        """Keep the rows of known servers; new servers get a slow start.

        The servers that a starting instance finds are not cold, so they get
        none.
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

    def start_slow_start(self, snapshot: "Snapshot", now: float) -> None:
        """Start the slow start of servers that no longer drain."""
        leaving = snapshot.leaving_servers
        servers = snapshot.state.of(Server)
        draining_names = frozenset(
            name
            for name in self
            if name in leaving or servers[name].state is ServerState.DRAIN
        )
        start_slow_start(self, self._draining - draining_names, now)
        self._draining = draining_names

    def draining(self, now: float) -> frozenset[ServerName]:
        """Return the servers that have announced that they are draining."""
        return frozenset(
            name
            for name, row in self.items()
            if eligibility(row, now) is Eligibility.DRAINING
        )

    def may_use(
        self, snapshot: "Snapshot", name: ServerName, now: float
    ) -> bool:
        """Return whether a server may receive requests."""
        current = snapshot.state.of(Server).get(name)
        return (
            current is not None
            and current.state is ServerState.ACTIVE
            and name not in snapshot.leaving_servers
            and eligibility(self[name], now) is not Eligibility.DRAINING
        )
