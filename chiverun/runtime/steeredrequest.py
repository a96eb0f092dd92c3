"""A client's request while an edge instance serves it."""

import asyncio
import dataclasses
import functools

from chiverun.core.catalog import ClientAccount
from chiverun.core.catalog import Route
from chiverun.core.exchange import Answered
from chiverun.core.ids import ServerName
from chiverun.core.ids import ServiceName
from chiverun.core.suspects import Fingerprint
from chiverun.core.suspects import fingerprint_of
from chiverun.integrations.asyncserver import IncomingRequest
from chiverun.runtime.headercodec import RequestMetadata
from chiverun.runtime.refusals import Refusal
from chiverun.runtime.selection import Placement
from chiverun.runtime.sending import SendResult
from chiverun.runtime.servertable import ServerRow


@dataclasses.dataclass(kw_only=True)
class Request:
    """State of a client's request in progress; times are event loop time."""

    incoming: IncomingRequest
    metadata: RequestMetadata
    route: Route
    service: ServiceName
    placement: Placement
    deadline: float
    # None on a public route, and while no accounts are declared.
    account: ClientAccount | None = None
    # Number of sends that may have run on a server.
    runs: int = 0
    sends: int = 0
    tried: set[ServerName] = dataclasses.field(default_factory=set)
    failure: Answered | None = None
    pending: dict[asyncio.Task[SendResult], "Send"] = dataclasses.field(
        default_factory=dict
    )
    # Why the last choice of a server failed.
    refusal: Refusal | None = None

    @functools.cached_property
    def fingerprint(self) -> Fingerprint:
        """What the request asks for."""
        return fingerprint_of(
            method=self.incoming.method,
            host=self.incoming.header("host") or "",
            target=self.incoming.target,
            body=self.incoming.body,
        )


@dataclasses.dataclass(frozen=True, kw_only=True)
class Send:
    """Send in progress; `queue_factor` is the expected queueing slowdown."""

    row: ServerRow
    started_at: float
    queue_factor: float
