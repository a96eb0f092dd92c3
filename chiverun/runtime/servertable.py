"""Table of the backend servers that an edge instance sends requests to."""

import collections
import dataclasses
from collections.abc import Collection

import logbook

from chiverun.core.catalog import RouteTable
from chiverun.core.catalog import Server
from chiverun.core.catalog import ServerState
from chiverun.core.coldlimit import COLD_WINDOW_S
from chiverun.core.coldlimit import ColdLimit
from chiverun.core.coldtime import ColdTime
from chiverun.core.health import ServerHealth
from chiverun.core.ids import InstanceId
from chiverun.core.ids import RegionName
from chiverun.core.ids import ServerName
from chiverun.core.ids import ServiceName
from chiverun.core.ids import ZoneName
from chiverun.core.limits import WindowCount
from chiverun.core.loads import LoadEstimate
from chiverun.core.replica import Replica
from chiverun.core.serverlimit import LimitBucket
from chiverun.core.serverlimit import NamedLimit
from chiverun.core.serverprocess import KnownProcess
from chiverun.core.serverprocess import ProcessSign
from chiverun.core.statednumbers import cold_limit_s
from chiverun.integrations.asyncclient import ClientConnection
from chiverun.runtime.connectionheaders import KEEP_ALIVE_DEFAULT_S

_LOG = logbook.Logger("servers")

# Fraction of a server's connection limit that all machines use together.
CONNECTIONS_FRACTION = 0.85
# A server is skipped for this time after another one responded at its
# address.
MISDIRECTED_PAUSE_S = 3.0
# Longer than a server takes to leave, and than its record stays away.
LEAVING_MEMORY_S = 120.0
# Cold time of a server's start while its service is not known.
COLD_START_DEFAULT_S = 10.0
# Window of the count of own sends that is logged beside a server's limit.
RECENT_SENDS_WINDOW_S = 4.0


@dataclasses.dataclass(kw_only=True)
class ServerRow:
    """A server, its health and load, and the connections to it."""

    server: Server
    region: RegionName
    health: ServerHealth
    cold: ColdLimit
    process: KnownProcess = dataclasses.field(default_factory=KnownProcess)
    load: LoadEstimate = dataclasses.field(default_factory=LoadEstimate)
    limit: NamedLimit = dataclasses.field(default_factory=NamedLimit)
    bucket: LimitBucket = dataclasses.field(default_factory=LimitBucket)
    recent_sends: WindowCount = dataclasses.field(
        default_factory=lambda: WindowCount(window_s=RECENT_SENDS_WINDOW_S)
    )
    cold_time: ColdTime = dataclasses.field(default_factory=ColdTime)
    # How long a process of the server is cold after its start.
    cold_start_s: float = COLD_START_DEFAULT_S
    misdirected_until: float = float("-inf")
    # The server wants no requests of this machine before.
    paused_until: float = float("-inf")
    is_evacuated: bool = False
    # When the server said that it is leaving, whatever its record says.
    leaving_since: float | None = None
    # Start times of the sends in progress, by send number.
    pending_sends: dict[int, float] = dataclasses.field(default_factory=dict)
    answered_at: float = float("-inf")
    idle: collections.deque[ClientConnection] = dataclasses.field(
        default_factory=collections.deque
    )
    # Connections that were opened before lead to a process that has ended.
    opened_since: float = float("-inf")
    connections: int = 0
    keep_alive_s: float = KEEP_ALIVE_DEFAULT_S

    @property
    def cold_until(self) -> float:
        """Until when the server is cold."""
        return self.cold_time.until

    @property
    def cold_limit_s(self) -> float:
        """How long the server can stay cold, whatever it says."""
        return cold_limit_s(self.cold_start_s)

    @property
    def is_usable(self) -> bool:
        """Whether the server may get new requests."""
        is_ready = self.server.state is ServerState.READY
        return is_ready and not self.is_leaving and not self.is_evacuated

    @property
    def is_leaving(self) -> bool:
        """Whether the server has said that it is leaving."""
        return self.leaving_since is not None

    def begin_send(self, number: int, now: float) -> None:
        """Count a request from the moment at which this server was chosen."""
        self.load.in_flight += 1
        self.pending_sends[number] = now

    def end_send(self, number: int) -> None:
        """Count a request no longer; more than one call has no effect."""
        if self.pending_sends.pop(number, None) is not None:
            self.load.in_flight -= 1

    def pop_idle(
        self, now: float, idle_max_s: float
    ) -> ClientConnection | None:
        """Return the most recently used connection, if still fresh."""
        while self.idle:
            connection = self.idle.pop()
            idle_s = now - connection.idle_since
            if connection.reusable and idle_s < self.keep_alive_s:
                if idle_s < idle_max_s:
                    return connection
                self.idle.append(connection)
                return None
            self.discard(connection)
        return None

    def is_current(self, connection: ClientConnection) -> bool:
        """Return whether a connection may lead to the latest process."""
        return connection.opened_at >= self.opened_since

    def release(self, connection: ClientConnection, now: float) -> None:
        """Return a connection to the pool, or discard it."""
        is_usable = connection.reusable and self.is_current(connection)
        if is_usable and not self.is_leaving:
            connection.idle_since = now
            self.idle.append(connection)
        else:
            self.discard(connection)

    def discard(self, connection: ClientConnection) -> None:
        """Close a connection and remove it from the count."""
        self.connections -= 1
        connection.abort()

    def close_idle(self) -> None:
        """Close all connections that are not in use."""
        while self.idle:
            self.discard(self.idle.pop())

    def forget_permissions(self) -> None:
        """Forget what permits sends and belongs to a process that has ended.

        What restrains them (a limit, a pause, that the server is leaving)
        stays until a record names the new start.
        """
        self.load.forget_reports()
        self.answered_at = float("-inf")
        self.keep_alive_s = KEEP_ALIVE_DEFAULT_S

    def begin_process(self, server: Server, now: float) -> None:
        """Apply the record of another process under the server's name.

        Sends of the past second count on, since the rate of a cold server is
        for all its starts together, and so does the later of the cold times.
        """
        # Others may lead to the process before, which may have ended without
        # closing them.
        is_noticed = self.process.noticed_at > float("-inf")
        is_moved = server.address != self.server.address
        since = self.process.noticed_at if is_noticed else now
        self.close_opened_before(now if is_moved else since)
        self.process.noticed_at = float("-inf")
        self.server = server
        self.health = ServerHealth(name=server.name, address=server.address)
        self.forget_permissions()
        self.load.run_ratio = 1.0
        self.limit = NamedLimit()
        self.bucket = LimitBucket()
        self.leaving_since = None
        self.paused_until = float("-inf")
        self.misdirected_until = float("-inf")

    def close_opened_before(self, time: float) -> None:
        """Close older connections, those in use when they are released."""
        self.opened_since = max(self.opened_since, time)
        connections, self.idle = self.idle, collections.deque()
        for connection in connections:
            if connection.opened_at < time:
                self.discard(connection)
            else:
                self.idle.append(connection)

    def is_stalled(self, now: float, limit_s: float) -> bool:
        """Return whether the oldest send has waited past the limit."""
        if not self.pending_sends:
            return False
        oldest = min(self.pending_sends.values())
        return now - oldest > limit_s and self.answered_at < oldest


class ServerTable:
    """Server rows by name, kept in sync with the replica."""

    def __init__(self, *, machine: InstanceId) -> None:
        self.rows: dict[ServerName, ServerRow] = {}
        self.by_service: dict[ServiceName, list[ServerRow]] = {}
        # Incremented on each sync; invalidates caches computed from the rows.
        self.generation = 0
        self._machine = machine
        # When this process first knew servers, in monotonic seconds.
        self._started_at: float | None = None
        self._evacuated: frozenset[ZoneName] = frozenset()
        # Servers whose records have been removed, while what is known of them
        # still counts. A record that has lapsed in an outage of the store
        # returns with it.
        self._unlisted: dict[ServerName, ServerRow] = {}

    def sync(
        self,
        replica: Replica,
        routes: RouteTable,
        regions: dict[ZoneName, RegionName],
        now: float,
    ) -> None:
        """Apply the servers and evacuations of the replica."""
        if self._started_at is None:
            self._started_at = now
        evacuated = replica.evacuated()
        returned = self._evacuated - evacuated
        self._evacuated = evacuated
        seen = set()
        for server, changed_at in replica.servers():
            if server.zone not in regions:
                continue
            seen.add(server.name)
            row = self._row(server, regions[server.zone], now)
            cold_start_s = routes.service(server.service).cold_s
            row.cold_start_s = cold_start_s
            cold_left_s = min(server.cold_left_s, row.cold_limit_s)
            row.cold_time.recorded_until = changed_at + cold_left_s
            row.is_evacuated = server.zone in evacuated
            if server.zone in returned:
                # Its cache may have gone cold while it got no requests.
                row.cold_time.returned_until = now + cold_start_s
        self._remove(self.rows.keys() - seen, now)
        self.by_service = {}
        for row in self.rows.values():
            self.by_service.setdefault(row.server.service, []).append(row)
        self.generation += 1

    def _row(
        self, server: Server, region: RegionName, now: float
    ) -> ServerRow:
        row = self.rows.get(server.name)
        if row is None:
            row = self._unlisted.pop(server.name, None)
        if row is None:
            row = self._new_row(server, region)
        self.rows[server.name] = row
        row.region = region
        if is_same_process(row.server, server):
            row.server = server
            return row
        _LOG.info(
            "another process of a server",
            extra={
                "server": server.name,
                "sign": ProcessSign.RECORD.value,
                "started_ms": server.started_ms,
                "before_started_ms": row.server.started_ms,
                "noticed_ms_ago": _ms_ago(row.process.noticed_at, now),
                "recent_sends": row.recent_sends.count(now),
            },
        )
        row.begin_process(server, now)
        return row

    def _new_row(self, server: Server, region: RegionName) -> ServerRow:
        return ServerRow(
            server=server,
            region=region,
            health=ServerHealth(name=server.name, address=server.address),
            cold=ColdLimit(
                server=server.name,
                machine=self._machine,
                full_until=self._started_at + COLD_WINDOW_S,
            ),
        )

    def _remove(self, names: Collection[ServerName], now: float) -> None:
        for name in names:
            row = self._unlisted[name] = self.rows.pop(name)
            row.close_idle()
        self._unlisted = {
            name: row
            for name, row in self._unlisted.items()
            if _still_counts(row, now)
        }

    def close(self) -> None:
        """Close all connections that are not in use."""
        for row in self.rows.values():
            row.close_idle()


def _still_counts(row: ServerRow, now: float) -> bool:
    """Return whether what is known of a server must outlast its record."""
    since = row.leaving_since
    return (
        row.limit.in_force(now) is not None
        or now < max(row.cold_until, row.paused_until)
        or row.cold.recent_sends(now) > 0
        # Their sends count when they are made, and may still be to come.
        or row.cold.restricted_sends(now) > 0
        or bool(row.pending_sends)
        or (since is not None and now - since < LEAVING_MEMORY_S)
    )


def _ms_ago(at: float, now: float) -> int | None:
    return round(1000 * (now - at)) if at > float("-inf") else None


def is_same_process(old: Server, new: Server) -> bool:
    """Return whether two records describe the same server process.

    A server may restart under the same name.
    """
    return (old.started_ms, old.address, old.service) == (
        new.started_ms,
        new.address,
        new.service,
    )
