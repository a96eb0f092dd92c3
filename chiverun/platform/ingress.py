"""HTTP handlers for address lookups and readiness checks."""

import json
from collections.abc import Callable
from urllib.parse import parse_qs
from urllib.parse import urlsplit

from chiverun.core.ids import RegionName
from chiverun.core.ids import ZoneName
from chiverun.integrations.asyncserver import IncomingRequest
from chiverun.integrations.asyncserver import OutgoingResponse
from chiverun.runtime.directory import Directory
from chiverun.runtime.directory import LOOKUP_TTL_S

_RESOLVE = "/-/resolve"
_READINESS = "/-/readiness"


class Ingress:
    """Handlers of the directory and readiness listeners."""

    def __init__(
        self, *, directory: Directory, is_ready: Callable[[], bool]
    ) -> None:
        self._directory = directory
        self._is_ready = is_ready

    async def resolve(self, incoming: IncomingRequest) -> OutgoingResponse:
        """Return the addresses that a client should connect to."""
        parts = urlsplit(incoming.target)
        if parts.path != _RESOLVE:
            return OutgoingResponse(status=404, headers=[])
        query = parse_qs(parts.query)
        addresses = self._directory.addresses(
            RegionName(query.get("region", [""])[0]),
            ZoneName(query.get("zone", [""])[0]),
        )
        body = {"addrs": addresses, "ttl": f"{LOOKUP_TTL_S:g}s"}
        return OutgoingResponse(
            status=200,
            headers=[("Content-Type", "application/json")],
            body=json.dumps(body).encode(),
        )

    async def readiness(self, incoming: IncomingRequest) -> OutgoingResponse:
        """Return 200 if this instance accepts requests, 503 otherwise."""
        if incoming.target.partition("?")[0] != _READINESS:
            return OutgoingResponse(status=404, headers=[])
        status = 200 if self._is_ready() else 503
        return OutgoingResponse(status=status, headers=[])
