"""Rate of a cold server, of which each machine has its own part."""

from collections.abc import Collection

from chiverun.core.limits import WindowCount
from chiverun.core.placement import hash_fraction

# Usable part of the rate. The rest is a margin, since windows differ between
# machines and a request can arrive up to a round trip after it was sent.
COLD_PART = 0.75
# Window of sends to a cold server: one second and the jitter of arrivals.
COLD_WINDOW_S = 1.25


class ColdLimit:
    """Limit of this machine's sends to one cold server.

    The limit of a cold server is divided into whole sends per window. With
    fewer sends than machines, a hash selects the machines that may send.

    Parameters
    ----------
    full_until : float
        Until then the machine's part counts as used, in monotonic seconds:
        before it started again, it may have used it.
    """

    def __init__(
        self,
        *,
        server: str,
        machine: str,
        full_until: float = float("-inf"),
    ) -> None:
        self._server = server
        self._machine = machine
        self._full_until = full_until
        self._sends = WindowCount(window_s=COLD_WINDOW_S)
        # Sends to the server while it was cold, or to a process of it that
        # was not known.
        self._restricted = WindowCount(window_s=COLD_WINDOW_S)

    def record(self, now: float) -> None:
        """Count a send, whether the server is known to be cold or not.

        It may already have been cold when its machines learn of it.
        """
        self._sends.add(now)

    def record_restricted(self, now: float) -> None:
        """Count a send to a cold server or to an unknown process of it."""
        self._restricted.add(now)

    def recent_sends(self, now: float) -> int:
        """Return the sends within the window that ends at `now`."""
        return self._sends.count(now)

    def restricted_sends(self, now: float) -> int:
        """Return the restricted sends within the window."""
        return self._restricted.count(now)

    def allows(
        self, now: float, per_s: float, machines: Collection[str]
    ) -> bool:
        """Return whether a send is within this machine's part.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        per_s : float
            Maximum requests per second to the server from all machines.
        machines : Collection[str]
            Names of all machines that share the limit.
        """
        return self._has_room(self._sends, now, per_s, machines)

    def allows_unknown(
        self, now: float, per_s: float, machines: Collection[str]
    ) -> bool:
        """Return whether a send to an unknown process is within the part.

        Parameters are those of `allows`. Sends to a warm process that is
        known do not count: none of them reaches another one.
        """
        return self._has_room(self._restricted, now, per_s, machines)

    def _has_room(
        self,
        sends: WindowCount,
        now: float,
        per_s: float,
        machines: Collection[str],
    ) -> bool:
        if now < self._full_until:
            return False
        return sends.count(now) < self._part(per_s, machines)

    def _part(self, per_s: float, machines: Collection[str]) -> int:
        """Return how many sends per window this machine may make."""
        if self._machine not in machines:
            return 0
        sends = int(per_s * COLD_PART)
        if sends >= len(machines):
            return sends // len(machines)
        ranked = sorted(
            machines,
            key=lambda name: hash_fraction(f"{self._server}\0{name}"),
        )
        return int(self._machine in ranked[:sends])
