"""Polls backend servers and the instance list for servers that leave."""

import contextlib
import threading
from collections.abc import Callable
from typing import TYPE_CHECKING

import logbook

from chiverun.core.exchange import Answered
from chiverun.core.exchange import ExchangeEnd
from chiverun.core.exchange import Shed
from chiverun.core.exchange import ShedReason
from chiverun.core.ids import ServerName
from chiverun.core.ticket import Server
from chiverun.integrations.backend import OutgoingRequest
from chiverun.integrations.interfaces import StoreUnavailable
from chiverun.runtime.control import ServersLeaving

if TYPE_CHECKING:
    from chiverun.core.clock import Clock
    from chiverun.integrations.backend import HttpBackends
    from chiverun.integrations.interfaces import InstanceList
    from chiverun.runtime.control import ControlPlane

PERIOD_S = 1.0
LIST_PERIOD_S = 2.0
_TIMEOUT_S = 0.5
_ANSWER_BYTES_MAX = 4096
_DRAINING_HEADER = "x-shed"
_LOG = logbook.Logger("health")


class HealthCheck:
    """Checks the servers of this zone once a second, on its own threads.

    A server that does not answer holds up neither the checks of others nor
    the start of the next round. The instance list is read on a thread of its
    own, since a read takes long while the platform is down.
    """

    def __init__(
        self,
        *,
        clock: "Clock",
        plane: "ControlPlane",
        backends: "HttpBackends",
        instances: "InstanceList | None",
        report: Callable[[ServersLeaving], None],
    ) -> None:
        self._clock = clock
        self._plane = plane
        self._backends = backends
        self._instances = instances
        self._report = report
        self._stopping = threading.Event()
        self._lock = threading.Lock()
        self._checking: set[ServerName] = set()
        self._listed: frozenset[ServerName] = frozenset()
        self._threads = [
            threading.Thread(
                target=self._repeat, args=args, daemon=True, name="health"
            )
            for args in (
                (self.check_servers, PERIOD_S),
                (self.read_list, LIST_PERIOD_S),
            )
        ]

    def start(self) -> None:
        """Begin to check."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """End after the present checks."""
        self._stopping.set()

    def _repeat(self, check: Callable[[], None], period_s: float) -> None:
        due = self._clock.monotonic() + period_s
        while not self._stopping.wait(max(0.0, due - self._clock.monotonic())):
            due = max(due + period_s, self._clock.monotonic())
            try:
                check()
            except Exception:
                # A fault in one round must not end the checks.
                _LOG.exception("check failed")

    def check_servers(self) -> None:
        """Start a check of each server whose last one has ended.

        The threads are daemons: a server that sends its answer byte by byte
        must not hold up the end of the process.
        """
        for server in self._servers():
            with self._lock:
                if server.name in self._checking or self._stopping.is_set():
                    continue
                self._checking.add(server.name)
            threading.Thread(
                target=self._check, args=(server,), daemon=True, name="health"
            ).start()

    def _check(self, server: Server) -> None:
        try:
            if self._says_so(server):
                names = frozenset({server.name})
                self._report(ServersLeaving(servers=names))
        finally:
            with self._lock:
                self._checking.discard(server.name)

    def read_list(self) -> None:
        """Read the instance list, on the zone's watchers only.

        While it cannot be read, what it said last holds: a server that is
        leaving does not come back because the platform is down.
        """
        if self._instances is None or not self._plane.is_watcher():
            return
        with contextlib.suppress(StoreUnavailable):
            self._listed = self._instances.leaving()
        names = self._listed & {s.name for s in self._servers()}
        if names:
            self._report(ServersLeaving(servers=names))

    def _servers(self) -> list[Server]:
        zone = self._plane.identity.zone
        servers = self._plane.snapshot.state.of(Server).values()
        return [s for s in servers if s.zone == zone]

    def _says_so(self, server: Server) -> bool:
        """Ask a server whether it is draining."""
        end = self._backends.exchange(
            server.address,
            OutgoingRequest(
                method="GET",
                path="/healthz",
                headers={},
                body=b"",
                request_id="",
                deadline=self._clock.monotonic() + _TIMEOUT_S,
                answer_bytes_max=_ANSWER_BYTES_MAX,
                fresh_connection=False,
            ),
        )
        return is_draining(end)


def is_draining(end: ExchangeEnd) -> bool:
    """Tell whether a health check's end says that the server is draining."""
    match end:
        case Shed(reason=ShedReason.DRAINING):
            return True
        case Answered(headers=headers):
            return any(
                name.lower() == _DRAINING_HEADER
                and value == ShedReason.DRAINING.value
                for name, value in headers
            )
        case _:
            return False
