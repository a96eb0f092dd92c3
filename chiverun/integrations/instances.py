"""Instance list client for Consul's HTTP health API."""

import msgspec
import urllib3
from urllib3.exceptions import HTTPError

from chiverun.core.ids import Address
from chiverun.core.ids import ServerName
from chiverun.integrations.interfaces import StoreUnavailable
from chiverun.integrations.network import split_address

# One call returns all services. With 72 zones and 30 services, a call for each
# service and watcher would exhaust the platform's read limit.
_PATH = "/v1/health/state/critical"


class _Check(msgspec.Struct):
    service_id: str = msgspec.field(name="ServiceID")


class HttpInstanceList:
    """Client of the platform's list of live and leaving instances."""

    def __init__(self, *, address: Address, timeout_s: float) -> None:
        host, port = split_address(address)
        self._pool = urllib3.HTTPConnectionPool(
            host, port, maxsize=1, retries=False, timeout=timeout_s
        )

    def leaving(self) -> frozenset[ServerName]:
        """Return the listed instances that are leaving.

        Raises
        ------
        StoreUnavailable
            If the list cannot be read.
        """
        try:
            resp = self._pool.urlopen("GET", _PATH, retries=False)
            checks = msgspec.json.decode(resp.data, type=list[_Check])
        except (HTTPError, msgspec.DecodeError) as exc:
            raise StoreUnavailable(
                f"cannot read the instance list: {exc}"
            ) from exc
        if resp.status != 200:
            raise StoreUnavailable(
                f"instance list: status {resp.status}; expected 200"
            )
        return frozenset(ServerName(c.service_id) for c in checks)
