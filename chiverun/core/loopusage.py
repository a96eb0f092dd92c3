"""Time that the event loop spends on the bytes of each peer."""

import dataclasses
import enum
from typing import NewType

# A peer as it is named in logs: an address, or the name of an instance.
PeerName = NewType("PeerName", str)


class LoopPart(enum.Enum):
    """Part of the program that holds the event loop."""

    CALLERS = "requests of callers"
    SERVERS = "responses of servers"
    STORE = "responses of the store"
    PEERS = "messages of instances"
    COLLECTOR = "garbage collection"


@dataclasses.dataclass(frozen=True, kw_only=True, eq=False)
class Source:
    """Peer whose bytes are processed, and the part that does it.

    Each connection has its own; they are compared by identity.
    """

    part: LoopPart
    peer: PeerName = PeerName("")


@dataclasses.dataclass(kw_only=True)
class Usage:
    """Time spent on a source and the number of its events."""

    source: Source
    seconds: float = 0.0
    events: int = 0


class LoopUsage:
    """Usage by source since it was last taken."""

    def __init__(self) -> None:
        self._by_source: dict[Source, Usage] = {}

    def add(self, source: Source, seconds: float, events: int = 1) -> None:
        """Add time that was spent on a source."""
        usage = self._by_source.get(source)
        if usage is None:
            usage = self._by_source[source] = Usage(source=source)
        usage.seconds += seconds
        usage.events += events

    def take(self) -> list[Usage]:
        """Return the usage since the last call, the largest first."""
        rows = sorted(
            self._by_source.values(),
            key=lambda row: row.seconds,
            reverse=True,
        )
        self._by_source = {}
        return rows
