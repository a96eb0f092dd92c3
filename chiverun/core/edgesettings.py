"""Settings of an edge instance, supplied by the adapter of a platform."""

import dataclasses
from collections.abc import Mapping

from chiverun.core.ids import Address
from chiverun.core.ids import InstanceId
from chiverun.core.ids import RegionName
from chiverun.core.ids import ZoneName


@dataclasses.dataclass(frozen=True, kw_only=True)
class EdgeBounds:
    """Limits set by the platform.

    A cold server receives at most ``cold_per_s * cold_excess + cold_extra``
    requests per second, with `cold_per_s` as set for its service. In any
    `quota_window_s` W, a client account runs at most ``(per_s * W + burst) *
    (1 + quota_excess) + quota_extra`` requests over all instances.
    """

    stop_grace_s: float = 6.0
    retry_ratio: float = 0.2
    retry_extra: float = 56.0
    retry_window_s: float = 10.0
    cold_excess: float = 1.5
    cold_extra: float = 5.0
    # Age of the catalog in seconds up to which API keys are trusted, None
    # without a limit.
    key_trust_s: float | None = None
    quota_window_s: float = 5.0
    quota_excess: float = 0.1
    quota_extra: float = 20.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class EdgeSettings:
    """Addresses, location and limits of an edge instance."""

    name: InstanceId
    zone: ZoneName
    region: RegionName
    regions: Mapping[ZoneName, RegionName]
    entry: Address
    readiness: Address
    directory: Address
    peer: Address
    metrics: Address
    seeds: tuple[Address, ...]
    store: Address
    bounds: EdgeBounds
    # What the processor and the link can bear, relative to other machines.
    capacity: float = 1.0
    # Memory that the process may use, None if unknown.
    memory_bytes: int | None = None
    # Files and sockets that the process may have open, None if unknown.
    descriptors: int | None = None
    # Whether instances exchange the demand of regions and the requests in
    # flight at servers.
    share_loads: bool = True
