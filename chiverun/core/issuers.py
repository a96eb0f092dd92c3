"""Where the issuers of idempotency keys can be reached.

An instance that is leaving is withdrawn from look-ups and from snapshots,
but until its process ends it alone knows what became of its keys.
"""

import threading
from typing import TYPE_CHECKING

from chiverun.core.idempotency import KEY_LIFETIME_S

if TYPE_CHECKING:
    from chiverun.core.ids import InstanceId
    from chiverun.core.snapshot import EntryAddresses
    from chiverun.core.snapshot import Snapshot

REFRESH_PERIOD_S = 1.0


class IssuerDirectory:
    """Addresses of instances for as long as their keys live; thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._seen: dict[InstanceId, tuple[EntryAddresses, float]] = {}
        self._refreshed_at = float("-inf")

    def refresh(self, snapshot: "Snapshot", now: float) -> None:
        """Take over the addresses of a snapshot, once a period."""
        with self._lock:
            if now - self._refreshed_at < REFRESH_PERIOD_S:
                return
            self._refreshed_at = now
            for view in snapshot.zones.values():
                for addresses in view.instances:
                    self._seen[addresses.instance] = (addresses, now)
            for instance, (_, seen_at) in list(self._seen.items()):
                if now - seen_at > KEY_LIFETIME_S:
                    del self._seen[instance]

    def find(self, instance: "InstanceId") -> "EntryAddresses | None":
        """Return the last known addresses of an instance."""
        with self._lock:
            seen = self._seen.get(instance)
            return seen[0] if seen else None
