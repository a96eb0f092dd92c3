"""Bounded queues of requests that wait for a slot, by service and class."""

import collections
import dataclasses
import itertools
from collections.abc import Callable
from collections.abc import Iterable
from typing import Generic
from typing import TypeVar

from chiverun.core.errors import ChiverunError
from chiverun.core.ids import ServerName
from chiverun.core.ids import ServiceName

G = TypeVar("G")
W = TypeVar("W")
QueueKey = tuple[ServiceName, str]

# Maximum number of waiters of a queue checked in one turn, while earlier ones
# have expired or exclude the free servers.
CHECKED_PER_TURN_MAX = 64


@dataclasses.dataclass(kw_only=True, eq=False)
class Waiter(Generic[W, G]):
    """A waiting request; `finish` sets its result and calls `notify`.

    The request is rejected after `latest_start` (monotonic seconds).
    """

    key: QueueKey
    work: W
    excluded: frozenset[ServerName]
    latest_start: float
    notify: Callable[[], object]
    grant: G | None = None
    error: ChiverunError | None = None

    def finish(
        self, *, grant: G | None = None, error: ChiverunError | None = None
    ) -> None:
        """Set the result and notify the waiting caller."""
        self.grant = grant
        self.error = error
        self.notify()


class WaitQueues(Generic[W, G]):
    """Queues served in turn; methods are called with a lock held."""

    def __init__(self) -> None:
        # Insertion order is queue order, and removal takes constant time.
        self._queues: collections.OrderedDict[
            QueueKey, dict[Waiter[W, G], None]
        ] = collections.OrderedDict()

    def add(self, waiter: Waiter[W, G]) -> None:
        """Append a waiter to its queue."""
        self._queues.setdefault(waiter.key, {})[waiter] = None

    def remove(self, waiter: Waiter[W, G]) -> None:
        """Remove a waiter if it is still queued."""
        queue = self._queues.get(waiter.key)
        if queue is not None and waiter in queue:
            del queue[waiter]
            if not queue:
                del self._queues[waiter.key]

    def length(self, key: QueueKey) -> int:
        """Return the number of waiters of a queue."""
        return len(self._queues.get(key, ()))

    def lengths(self, service: ServiceName) -> Iterable[tuple[str, int]]:
        """Return the class name and length of each queue of a service."""
        return [
            (key[1], len(queue))
            for key, queue in self._queues.items()
            if key[0] == service
        ]

    def serve(
        self,
        now: float,
        may_serve: Callable[[QueueKey], bool],
        grant: Callable[[Waiter[W, G]], G | None],
        deadline_error: Callable[[Waiter[W, G]], ChiverunError],
    ) -> None:
        """Grant slots to waiters, one of each queue in turn."""
        progress = True
        while progress:
            progress = False
            for key in list(self._queues):
                if may_serve(key) and self._serve_one(
                    key, now, grant, deadline_error
                ):
                    progress = True
                    if key in self._queues:
                        self._queues.move_to_end(key)

    def _serve_one(
        self,
        key: QueueKey,
        now: float,
        grant: Callable[[Waiter[W, G]], G | None],
        deadline_error: Callable[[Waiter[W, G]], ChiverunError],
    ) -> bool:
        """Serve the first waiter of a queue that can be served.

        A waiter that is rejected for its own reasons, such as its deadline
        or the cap of a shift, ends with that error and does not block others.
        """
        for waiter in self._first(key):
            if waiter.latest_start < now:
                self.remove(waiter)
                waiter.finish(error=deadline_error(waiter))
                continue
            try:
                granted = grant(waiter)
            except ChiverunError as exc:
                self.remove(waiter)
                waiter.finish(error=exc)
                continue
            if granted is not None:
                self.remove(waiter)
                waiter.finish(grant=granted)
                return True
            if not waiter.excluded:
                # No server is free for this class, so later waiters wait too.
                break
        return False

    def _first(self, key: QueueKey) -> list[Waiter[W, G]]:
        return list(itertools.islice(self._queues[key], CHECKED_PER_TURN_MAX))
