"""Requests of short classes that run far longer than usual for their class.

They count as long requests of their server. A class with many of them may not
use the last free slot of a server, so that other classes of the service can
still run.
"""

import dataclasses
import heapq
from typing import TYPE_CHECKING

from chiverun.core.waiting import QueueKey

if TYPE_CHECKING:
    from chiverun.core.ids import ServerName

# In multiples of the class's median; with exponential running times, one
# request in 250 exceeds 8 medians.
OVERDUE_MEDIANS = 8.0
OVERDUE_MIN_S = 0.02
# A class is suspect if its overdue requests reach both this number and this
# share of the service's slots.
SUSPECT_MIN = 2
SUSPECT_SHARE = 0.1
# Minimum time as a suspect, so that a class does not refill all slots at once.
SUSPECT_S = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class _WatchedRequest:
    key: QueueKey
    server: "ServerName"


class OverdueTable:
    """Watched requests by number; methods are called with a lock held."""

    def __init__(self) -> None:
        self._due_times: list[tuple[float, int]] = []
        self._watched: dict[int, _WatchedRequest] = {}
        self._overdue: dict[int, _WatchedRequest] = {}
        self._by_class: dict[QueueKey, int] = {}
        self._suspect_until: dict[QueueKey, float] = {}

    def watch(
        self, number: int, key: QueueKey, server: "ServerName", due_at: float
    ) -> None:
        """Watch a request that becomes overdue at `due_at`."""
        self._watched[number] = _WatchedRequest(key=key, server=server)
        heapq.heappush(self._due_times, (due_at, number))

    def advance(self, now: float) -> list["ServerName"]:
        """Return the server of each request that has just become overdue."""
        servers = []
        while self._due_times and self._due_times[0][0] <= now:
            _, number = heapq.heappop(self._due_times)
            row = self._watched.pop(number, None)
            if row is not None:
                self._overdue[number] = row
                self._by_class[row.key] = self._by_class.get(row.key, 0) + 1
                servers.append(row.server)
        return servers

    def end(self, number: int) -> "ServerName | None":
        """Stop watching a request; return its server if it was overdue."""
        self._watched.pop(number, None)
        row = self._overdue.pop(number, None)
        if len(self._due_times) > 64 + 2 * len(self._watched):
            self._due_times = [
                d for d in self._due_times if d[1] in self._watched
            ]
            heapq.heapify(self._due_times)
        if row is None:
            return None
        self._by_class[row.key] -= 1
        if not self._by_class[row.key]:
            del self._by_class[row.key]
        return row.server

    def is_suspect(self, key: QueueKey, slots: int, now: float) -> bool:
        """Return whether a class has or recently had many overdue requests."""
        least = max(SUSPECT_MIN, SUSPECT_SHARE * slots)
        if self._by_class.get(key, 0) >= least:
            self._suspect_until[key] = now + SUSPECT_S
            return True
        until = self._suspect_until.get(key)
        if until is not None and now >= until:
            del self._suspect_until[key]
        return until is not None and now < until
