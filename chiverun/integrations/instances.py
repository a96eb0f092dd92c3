"""Instance list client for Consul's HTTP health API."""

import msgspec

from chiverun.core.errors import DECODE_ERRORS
from chiverun.core.ids import Address
from chiverun.core.ids import ServerName
from chiverun.integrations.boundedclient import BoundedClient
from chiverun.integrations.boundedclient import CallFailed
from chiverun.integrations.boundedclient import CallNotSent
from chiverun.integrations.interfaces import StoreUnavailable

# One call returns all services. With 72 zones and 30 services, a call for each
# service and watcher would exhaust the platform's read limit.
_PATH = "/v1/health/state/critical"
# About 20,000 checks.
_BODY_BYTES_MAX = 4 * 1024 * 1024


class _Check(msgspec.Struct):
    service_id: str = msgspec.field(name="ServiceID")


class HttpInstanceList:
    """Client of the platform's list of live and leaving instances."""

    def __init__(self, *, address: Address, timeout_s: float) -> None:
        self._timeout_s = timeout_s
        self._client = BoundedClient(
            address=address, body_bytes_max=_BODY_BYTES_MAX
        )

    def leaving(self) -> frozenset[ServerName]:
        """Return the listed instances that are leaving.

        Raises
        ------
        StoreUnavailable
            If the list cannot be read.
        """
        try:
            resp = self._client.call("GET", _PATH, timeout_s=self._timeout_s)
            checks = msgspec.json.decode(resp.body, type=list[_Check])
        except (CallNotSent, CallFailed, *DECODE_ERRORS) as exc:
            raise StoreUnavailable(
                f"cannot read the instance list: {exc}"
            ) from exc
        if resp.status != 200:
            raise StoreUnavailable(
                f"instance list: status {resp.status}; expected 200"
            )
        return frozenset(ServerName(c.service_id) for c in checks)
