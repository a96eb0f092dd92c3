"""State shared by all connections of a listener."""

import dataclasses
from collections.abc import Callable
from typing import Protocol

import logbook

from chiverun.core.bytebudget import ByteBudget
from chiverun.core.callerlimits import CallerLimits
from chiverun.core.catalog import ClientLimits
from chiverun.core.connectionchoice import Candidate
from chiverun.core.connectionchoice import connections_to_close
from chiverun.integrations.callerrefusals import CallerRefusals
from chiverun.integrations.httpmessages import Handler
from chiverun.integrations.readturns import ReadTurns

_LOG = logbook.Logger("server")

# Shortest time between two searches for connections to close, if none was
# found.
_SEARCH_PAUSE_S = 0.05


class Connection(Protocol):
    """A connection accepted by a listener."""

    @property
    def is_busy(self) -> bool:
        """Whether a request is being read or handled, or answered."""

    def candidate(self, now: float) -> Candidate["Connection"]:
        """Return what the connection is doing, and since when."""

    def close_if_idle(self) -> None:
        """Close unless it is busy."""

    def evict(self) -> None:
        """Close at once, for a new connection."""


@dataclasses.dataclass(kw_only=True)
class ListenerState:
    """State shared by all connections of a listener."""

    handler: Handler
    limits: ClientLimits = dataclasses.field(default_factory=ClientLimits)
    caller_limits: CallerLimits = dataclasses.field(
        default_factory=CallerLimits
    )
    memory: ByteBudget = dataclasses.field(default_factory=ByteBudget)
    refusals: CallerRefusals = dataclasses.field(
        default_factory=CallerRefusals
    )
    turns: ReadTurns = dataclasses.field(default_factory=ReadTurns)
    # Called with each unexpected error of a connection or its handler.
    count_error: Callable[[], None] = lambda: None
    closing: bool = False
    connections: set[Connection] = dataclasses.field(default_factory=set)
    last_request_at: float = float("-inf")
    search_at: float = float("-inf")

    def active(self) -> int:
        """Return the number of requests in progress."""
        return sum(conn.is_busy for conn in self.connections)

    def note_error(self, what: str, exc: BaseException | None) -> None:
        """Count and log an unexpected error."""
        self.count_error()
        _LOG.error(
            what,
            exc_info=(type(exc), exc, exc.__traceback__) if exc else None,
        )

    def make_place(self, now: float) -> bool:
        """Return whether there is room for a connection.

        Others are closed for it if they are idle or have stalled.
        """
        limit = self.caller_limits.connections
        if len(self.connections) < limit:
            return True
        if now < self.search_at:
            return False
        rows = [conn.candidate(now) for conn in self.connections]
        for conn in connections_to_close(rows, self.caller_limits, now):
            conn.evict()
        if len(self.connections) < limit:
            return True
        self.search_at = now + _SEARCH_PAUSE_S
        return False
