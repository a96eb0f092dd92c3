"""What the request path needs to know of a platform's headers."""

import dataclasses
from typing import Protocol
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from chiverun.core.catalog import Server
    from chiverun.core.ids import ServerName
    from chiverun.integrations.asyncserver import Headers
    from chiverun.integrations.asyncserver import IncomingRequest


@dataclasses.dataclass(frozen=True, kw_only=True)
class RequestMetadata:
    """What a client says of its request; `deadline_s` counts from now."""

    request_id: str
    affinity_key: str
    deadline_s: float | None


@dataclasses.dataclass(frozen=True, kw_only=True)
class ServerLoad:
    """A server's report of itself.

    `slowdown` is how long work takes on its machine at this moment, 1 as
    usual.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class ResponseMetadata:
    """What a server says with a response.

    `not_run` proves that the request did not run; `is_other_server` tells
    that the address belongs to another server now.
    """

    request_id: str | None
    is_stamped: bool
    not_run: bool
    is_other_server: bool
    server: "ServerName | None"
    load: ServerLoad | None
    cold_s: float | None


class HeaderCodec(Protocol):
    """A platform's own headers, read and written."""

    def request_metadata(
        self, request: "IncomingRequest"
    ) -> RequestMetadata: ...

    def request_headers(
        self, headers: "Headers", server: "Server", remaining_s: float
    ) -> "Headers": ...

    def response_metadata(
        self, status: int, headers: "Headers"
    ) -> ResponseMetadata: ...
