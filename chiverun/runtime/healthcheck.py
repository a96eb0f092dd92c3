"""Polls backend servers and the instance list for servers that leave."""

import threading
from collections.abc import Callable
from typing import TYPE_CHECKING

from chiverun.core.exchange import Answered
from chiverun.core.exchange import ExchangeEnd
from chiverun.core.exchange import Shed
from chiverun.core.exchange import ShedReason
from chiverun.core.ids import ServerName
from chiverun.core.ticket import Server
from chiverun.core.ticket import Service
from chiverun.integrations.backend import Outgoing
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


class HealthCheck:
    """Checks the servers of this zone once a second, on its own thread."""

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
        self._list_read_at = float("-inf")
        self._thread = threading.Thread(
            target=self._run, daemon=True, name="health"
        )

    def start(self) -> None:
        """Begin to check."""
        self._thread.start()

    def stop(self) -> None:
        """End after the present check."""
        self._stopping.set()

    def _run(self) -> None:
        while not self._stopping.wait(PERIOD_S):
            leaving = {s.name for s in self._servers() if self._says_so(s)}
            leaving |= self._listed()
            if leaving:
                self._report(ServersLeaving(servers=frozenset(leaving)))

    def _servers(self) -> list[Server]:
        zone = self._plane.identity.zone
        servers = self._plane.snapshot.state.of(Server).values()
        return [s for s in servers if s.zone == zone]

    def _says_so(self, server: Server) -> bool:
        """Ask a server whether it is draining."""
        end = self._backends.exchange(
            server.address,
            Outgoing(
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

    def _listed(self) -> set[ServerName]:
        """Read the instance list, on the zone's watchers only."""
        now = self._clock.monotonic()
        if (
            self._instances is None
            or now - self._list_read_at < LIST_PERIOD_S
            or not self._plane.is_watcher()
        ):
            return set()
        self._list_read_at = now
        leaving = set()
        for service in self._plane.snapshot.state.of(Service):
            try:
                listed = self._instances.fetch(service)
            except StoreUnavailable:
                continue
            leaving |= {ServerName(i.name) for i in listed if i.leaving}
        return leaving


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
