"""Interface to the HTTP headers of a platform."""

import dataclasses
from typing import Protocol
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from chiverun.core.catalog import Server
    from chiverun.core.headertext import Headers
    from chiverun.core.ids import AccountName
    from chiverun.core.ids import ServerName
    from chiverun.integrations.asyncserver import IncomingRequest


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallerIdentity:
    """Who sends a request; `account` is None on a public route."""

    account: "AccountName | None"


@dataclasses.dataclass(frozen=True, kw_only=True)
class RequestMetadata:
    """Request metadata from headers; `deadline_s` is the time left."""

    request_id: str
    affinity_key: str
    deadline_s: float | None
    # Of a client account; never logged.
    api_key: str | None = dataclasses.field(default=None, repr=False)
    # None while no client accounts are declared.
    caller: CallerIdentity | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class ServerLoad:
    """Load reported by a server.

    `slowdown` is the current run time relative to the normal one (1.0).
    """

    running: int
    waiting: int
    slots: int
    slowdown: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class ResponseMetadata:
    """Response metadata from headers.

    `not_run` proves that the request did not run; `is_other_server` means
    that the address now belongs to another server. `limit_per_s` is the
    number of requests a second that the server takes from all machines
    together, None if it names no limit; `limit_fault` is a limit that cannot
    be read. `is_leaving` is whether the server says that it is leaving;
    `pause_s` is for how long it wants no requests from this machine.
    `is_mixed` is whether the head has parts of more than one response, so that
    nothing in it can be relied on.
    """

    request_id: str | None
    is_stamped: bool
    not_run: bool
    is_other_server: bool
    server: "ServerName | None"
    load: ServerLoad | None
    cold_s: float | None
    limit_per_s: float | None = None
    limit_fault: str | None = None
    is_leaving: bool = False
    pause_s: float | None = None
    is_mixed: bool = False


class HeaderCodec(Protocol):
    """Reads and writes the headers of a platform."""

    def request_metadata(
        self, request: "IncomingRequest"
    ) -> RequestMetadata: ...

    def request_headers(
        self,
        headers: "Headers",
        server: "Server",
        remaining_s: float,
        caller: CallerIdentity | None = None,
    ) -> "Headers": ...

    def response_metadata(
        self, status: int, headers: "Headers"
    ) -> ResponseMetadata: ...
