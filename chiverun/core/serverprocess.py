"""Which process of a backend server its connections lead to.

A server may start again under the name and address that it had. A connection
does not outlive the process that accepted it, so a connection that was open
while a process is known to have been there leads to this process or nowhere.
"""

import dataclasses
import enum

# A response is on its way for no longer than this: a round trip between
# regions and a retransmission. What a cut holds up is lost with its process.
TRANSIT_MAX_S = 0.25


class ProcessSign(enum.Enum):
    """What shows that another process may answer under a server's name."""

    # A record names another start time, address or service.
    RECORD = "record"
    # The server refused a connection, so nothing listened.
    REFUSED = "refused"
    # A health response on a new connection named a cold time.
    COLD = "cold"


@dataclasses.dataclass(kw_only=True)
class KnownProcess:
    """The process of a server that is known; times are monotonic seconds.

    `known_at` is the latest time at which it is known to have been there.
    `noticed_at` is when a sign of another process was seen that no record has
    confirmed yet.
    """

    known_at: float = float("-inf")
    noticed_at: float = float("-inf")

    def covers(self, opened_at: float) -> bool:
        """Return whether a connection leads to the known process, if any."""
        return opened_at <= self.known_at

    def is_safe(
        self, opened_at: float, now: float, *, cold_start_s: float
    ) -> bool:
        """Return whether a connection leads to no process that is cold unseen.

        One that has been open for longer than a process is cold after its
        start leads to a warm process, if any.
        """
        return self.covers(opened_at) or now - opened_at >= cold_start_s

    def confirm(self, sent_at: float) -> None:
        """Apply what a process said of itself when asked at `sent_at`."""
        self.known_at = max(self.known_at, sent_at)

    def apply_response(
        self,
        opened_at: float,
        *,
        sent_at: float,
        now: float,
        cold_start_s: float,
    ) -> None:
        """Apply a response that has arrived to a request of `sent_at`.

        The process was alive when it sent it, so what is known of it covers
        all connections that were open by then.
        """
        if self.is_safe(opened_at, sent_at, cold_start_s=cold_start_s):
            alive_at = max(sent_at, now - TRANSIT_MAX_S)
            self.known_at = max(self.known_at, alive_at)

    def notice_end(self, now: float) -> None:
        """Apply that no process is there."""
        self.known_at = float("-inf")
        self.noticed_at = now

    def notice_start(self, now: float) -> None:
        """Apply that the process that is there may be another one."""
        self.noticed_at = max(self.noticed_at, now)
