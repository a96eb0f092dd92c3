"""Connection and memory limits of the cheroot listeners of an instance.

Time is in seconds of a monotonic clock.
"""

import dataclasses
import enum

_MIB = 1024 * 1024
# Part of a process's descriptors for callers. The rest is for backend
# servers, peers and the store.
_DESCRIPTORS_FRACTION = 0.875
# Connections cost memory even if they are idle.
_CONNECTIONS_MAX = 8192
# Several callers may share an address.
_ADDRESS_FRACTION = 0.5
# Part of a machine's memory for the bytes of callers.
_MEMORY_FRACTION = 0.1
# Admits a request of the largest size for each thread by default.
_MEMORY_BYTES_MAX = 64 * _MIB


class Listener(enum.Enum):
    """The listeners of an instance that callers can reach."""

    LOOKUP = "lookup"
    ENTRY = "entry"
    FORWARD = "forward"


# A full listener leaves the parts of the others alone.
_CONNECTION_PARTS = {
    Listener.LOOKUP: 0.25,
    Listener.ENTRY: 0.5,
    Listener.FORWARD: 0.25,
}
# Requests to the look-up listener need no bodies.
_MEMORY_PARTS = {
    Listener.LOOKUP: 0.05,
    Listener.ENTRY: 0.6,
    Listener.FORWARD: 0.35,
}


class Stage(enum.Enum):
    """What a connection waits for."""

    IDLE = "idle"
    HEAD = "head"
    BODY = "body"
    HANDLING = "handling"
    WRITING = "writing"


@dataclasses.dataclass(frozen=True, kw_only=True)
class ListenerLimits:
    """Limits of one cheroot listener.

    Parameters
    ----------
    connections, address_connections : int
        Open connections in total and of one address.
    held_bytes : int
        Bytes of incomplete or waiting requests and of unsent responses.
    idle_s : float
        Time without a request.
    head_s : float
        Time from the first byte of a request to the end of its head.
    progress_s : float
        Period in which a body or a response moves by at least
        `progress_bytes_per_s` on average.
    """

    connections: int = 1024
    address_connections: int = 512
    held_bytes: int = 32 * _MIB
    idle_s: float = 30.0
    head_s: float = 10.0
    progress_s: float = 10.0
    progress_bytes_per_s: int = 1024


def default_connections(descriptors: int) -> int:
    """Return the connections of all listeners of a process."""
    return min(_CONNECTIONS_MAX, int(descriptors * _DESCRIPTORS_FRACTION))


def default_held_bytes(memory_bytes: int) -> int:
    """Return the bytes that all listeners of a process hold."""
    return min(_MEMORY_BYTES_MAX, int(memory_bytes * _MEMORY_FRACTION))


def split_limits(
    listener: Listener,
    *,
    connections: int,
    address_connections: int | None,
    held_bytes: int,
    **times: float,
) -> ListenerLimits:
    """Return a listener's part of the limits of its process.

    By default one address has half of the listener's connections.
    """
    own = max(1, int(connections * _CONNECTION_PARTS[listener]))
    if address_connections is None:
        address_connections = int(own * _ADDRESS_FRACTION)
    return ListenerLimits(
        connections=own,
        address_connections=max(1, min(own, address_connections)),
        held_bytes=int(held_bytes * _MEMORY_PARTS[listener]),
        **times,
    )


@dataclasses.dataclass(kw_only=True)
class Progress:
    """What a connection waits for, since when, and what has moved."""

    stage: Stage = Stage.IDLE
    began_at: float = 0.0
    held_bytes: int = 0
    period_at: float = 0.0
    period_bytes: int = 0

    def begin(self, stage: Stage, now: float) -> None:
        """Enter a stage."""
        self.stage = stage
        self.began_at = now
        self.period_at = now
        self.period_bytes = 0

    def move(self, count: int) -> None:
        """Note bytes that were received or sent."""
        self.period_bytes += count

    def suspend(self, seconds: float) -> None:
        """Take out a time in which this process did not read."""
        self.began_at += seconds
        self.period_at += seconds

    def is_late(self, limits: ListenerLimits, now: float) -> bool:
        """Return whether the caller has exceeded a limit in time."""
        match self.stage:
            case Stage.HANDLING:
                return False
            case Stage.IDLE:
                return now - self.began_at > limits.idle_s
            case Stage.HEAD:
                return now - self.began_at > limits.head_s
        period_s = now - self.period_at
        if period_s <= limits.progress_s:
            return False
        if self.period_bytes < limits.progress_bytes_per_s * period_s:
            return True
        self.period_at = now
        self.period_bytes = 0
        return False

    def memory_cost(self, now: float) -> float:
        """Return the bytes held, by the time for which they were held.

        Callers that stopped or move little come to hold their bytes longer
        than those that make progress.
        """
        if self.stage is Stage.HANDLING:
            return 0.0
        return self.held_bytes * (now - self.began_at + 0.01)

    def eviction_rank(self, now: float) -> tuple[bool, float]:
        """Return a key that is least for the connection to close first.

        Idle connections come last, the longest wait first.
        """
        return self.stage is Stage.IDLE, self.began_at - now


class LineLimit:
    """Limits repeated log lines for each reason to a few a second."""

    def __init__(self, *, lines_per_s: int = 2) -> None:
        self._lines_per_s = lines_per_s
        self._seconds: dict[str, tuple[int, int, int]] = {}

    def admit(self, reason: str, now: float) -> int | None:
        """Return how many lines were left out before, or None to skip."""
        second, lines, skipped = self._seconds.get(reason, (0, 0, 0))
        if second != int(now):
            second, lines = int(now), 0
        if lines >= self._lines_per_s:
            self._seconds[reason] = (second, lines, skipped + 1)
            return None
        self._seconds[reason] = (second, lines + 1, 0)
        return skipped
