"""Records that an edge instance routes by: routes, services, servers.

All records are immutable and are sent between instances as MessagePack.
"""

import bisect
import dataclasses
import enum
from typing import Annotated
from typing import NewType

import msgspec

from chiverun.core.ids import AccountName
from chiverun.core.ids import Address
from chiverun.core.ids import InstanceId
from chiverun.core.ids import KeyDigest
from chiverun.core.ids import RegionName
from chiverun.core.ids import ServerName
from chiverun.core.ids import ServiceName
from chiverun.core.ids import ZoneName
from chiverun.core.statednumbers import CAPACITY
from chiverun.core.statednumbers import COLD_LEFT_S
from chiverun.core.statednumbers import SLOTS
from chiverun.core.statednumbers import START_MS

# Version number that operators assign to a desired state.
StateVersion = NewType("StateVersion", int)


class ServerState(enum.Enum):
    """State that a backend server registers for itself."""

    READY = "ready"
    DRAINING = "draining"


class Part(msgspec.Struct, frozen=True, kw_only=True):
    """A service and its weight among the services of a route."""

    service: ServiceName
    weight: float


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """Handling of the requests of one host and path prefix.

    `homes` are the regions that may serve the route; empty means all. A
    `public` route needs no key of a client account. A route with a `fault`
    cannot be served as the operators want it: its requests are rejected until
    a readable one is in force.
    """

    name: str
    host: str
    prefix: str
    repeatable: bool
    parts: tuple[Part, ...]
    timeout_s: float
    objective_s: float
    attempts: int
    priority: int
    sticky: bool
    homes: tuple[RegionName, ...]
    public: bool = False
    fault: str | None = None


class ServiceSpec(msgspec.Struct, frozen=True, kw_only=True):
    """Health check, connection limit and cold-start limits of servers.

    The defaults apply where a limit is unknown. They are low, since a server
    can crash above its limits.
    """

    name: ServiceName
    health_path: str = "/health"
    connections_max: int = 64
    cold_s: float = 10.0
    cold_per_s: float = 1.0


class ClientLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Size limits and timeouts of client requests."""

    header_bytes: int = 16384
    body_bytes: int = 64 * 1024 * 1024
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 15.0


class ClientAccount(msgspec.Struct, frozen=True, kw_only=True):
    """A client account, whose requests carry one of its keys.

    `priority` is decoded but not used yet. `per_s` is the rate limit in
    requests a second over all instances together, None without one; `burst`
    is the number of requests that may come at once beyond it. `homes` are the
    regions that may serve the account; empty means all. Requests of an account
    with a `fault` are rejected until a readable one is in force.
    """

    name: AccountName
    key_digests: tuple[KeyDigest, ...]
    priority: int | None = None
    per_s: float | None = None
    burst: float = 0.0
    homes: tuple[RegionName, ...] = ()
    fault: str | None = None


class StateFault(msgspec.Struct, frozen=True, kw_only=True):
    """A part of a desired state that this version cannot read."""

    place: str
    reason: str


class DesiredState(msgspec.Struct, frozen=True, kw_only=True, tag="state"):
    """The operators' complete configuration.

    `accounts` is None while requests need no key. `faults` are its unreadable
    parts; the rest is in force.
    """

    version: StateVersion
    routes: tuple[Route, ...]
    services: tuple[ServiceSpec, ...]
    limits: ClientLimits
    accounts: tuple[ClientAccount, ...] | None = None
    faults: tuple[StateFault, ...] = ()


class Server(msgspec.Struct, frozen=True, kw_only=True, tag="server"):
    """A backend server as it has registered itself.

    `cold_left_s` is the remaining cold-start time when the record was
    written; `started_ms` is the wall-clock start time of the process.
    """

    name: ServerName
    service: ServiceName
    address: Address
    zone: ZoneName
    slots: Annotated[int, SLOTS.meta]
    state: ServerState
    cold_left_s: Annotated[float, COLD_LEFT_S.meta]
    started_ms: Annotated[int, START_MS.meta]


class Machine(msgspec.Struct, frozen=True, kw_only=True, tag="machine"):
    """An edge instance; `peer` receives messages and `entry` requests.

    `capacity` is what its processor and link can bear, relative to others.
    """

    name: InstanceId
    peer: Address
    entry: Address
    zone: ZoneName
    region: RegionName
    capacity: Annotated[float, CAPACITY.meta] = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class RouteTable:
    """Routes by host, longest prefix first."""

    version: StateVersion
    by_host: dict[str, tuple[Route, ...]]
    services: dict[ServiceName, ServiceSpec]
    limits: ClientLimits

    @classmethod
    def of(cls, state: DesiredState) -> "RouteTable":
        """Return the index of a desired state."""
        by_host: dict[str, list[Route]] = {}
        for route in state.routes:
            rows = by_host.setdefault(route.host, [])
            bisect.insort(rows, route, key=lambda r: -len(r.prefix))
        return cls(
            version=state.version,
            by_host={host: tuple(rows) for host, rows in by_host.items()},
            services={spec.name: spec for spec in state.services},
            limits=state.limits,
        )

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of `host` with the longest prefix of `path`.

        A route whose host or prefix is unknown has an empty one, and may be
        the route of each request that no other route covers.
        """
        for name in (host.lower(), ""):
            for route in self.by_host.get(name, ()):
                if path.startswith(route.prefix):
                    return route
        return None

    def service(self, name: ServiceName) -> ServiceSpec:
        """Return the limits of a service, low ones if it is unknown."""
        return self.services.get(name) or ServiceSpec(name=name)
