"""Addresses of the instances that issued idempotency keys.

An instance that is shutting down is removed from look-ups and snapshots, but
until its process ends, it alone knows the outcome of requests with its keys.
"""

import threading
from typing import TYPE_CHECKING

from chiverun.core.idempotency import KEY_LIFETIME_S
from chiverun.core.routing import Target

if TYPE_CHECKING:
    from chiverun.core.ids import InstanceId
    from chiverun.core.snapshot import Snapshot

REFRESH_PERIOD_S = 1.0


class IssuerDirectory:
    """Addresses of instances, kept until their keys expire; thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._last_seen: dict[InstanceId, tuple[Target, float]] = {}
        self._refreshed_at = float("-inf")

    def refresh(self, snapshot: "Snapshot", now: float) -> None:
        """Store the addresses of a snapshot, once per `REFRESH_PERIOD_S`."""
        with self._lock:
            if now - self._refreshed_at < REFRESH_PERIOD_S:
                return
            self._refreshed_at = now
            for view in snapshot.zones.values():
                for addresses in view.instances:
                    target = Target(
                        zone=view.zone, region=view.region, addresses=addresses
                    )
                    self._last_seen[addresses.instance] = (target, now)
            for instance, (_, last_seen_at) in list(self._last_seen.items()):
                if now - last_seen_at > KEY_LIFETIME_S:
                    del self._last_seen[instance]

    def find(self, instance: "InstanceId") -> "Target | None":
        """Return the last known location of an instance."""
        with self._lock:
            last_seen = self._last_seen.get(instance)
            return last_seen[0] if last_seen else None
