"""Instance list client over the published Consul health HTTP interface."""

import msgspec
import urllib3
from urllib3.exceptions import HTTPError

from chiverun.core.ids import Address
from chiverun.integrations.interfaces import ListedInstance
from chiverun.integrations.interfaces import StoreUnavailable
from chiverun.integrations.network import split_address


class _Service(msgspec.Struct, rename="pascal"):
    id: str = msgspec.field(name="ID")
    address: str
    port: int


class _Check(msgspec.Struct, rename="pascal"):
    status: str


class _Entry(msgspec.Struct, rename="pascal"):
    service: _Service
    checks: list[_Check] = []


class HttpInstanceList:
    """Client of the platform's list of live and leaving instances."""

    def __init__(self, *, address: Address, timeout_s: float) -> None:
        host, port = split_address(address)
        self._pool = urllib3.HTTPConnectionPool(
            host, port, maxsize=1, retries=False, timeout=timeout_s
        )

    def fetch(self, service: str) -> list[ListedInstance]:
        """Return the listed instances of a service.

        Raises
        ------
        StoreUnavailable
            The list could not be read.
        """
        url = f"/v1/health/service/{service}"
        try:
            resp = self._pool.urlopen("GET", url, retries=False)
            if resp.status != 200:
                raise StoreUnavailable(f"instance list: status {resp.status}")
            entries = msgspec.json.decode(resp.data, type=list[_Entry])
        except (HTTPError, msgspec.DecodeError, ValueError) as exc:
            raise StoreUnavailable(f"instance list: {exc}") from exc
        return [
            ListedInstance(
                service=service,
                name=entry.service.id,
                address=Address(
                    f"{entry.service.address}:{entry.service.port}"
                ),
                leaving=any(c.status != "passing" for c in entry.checks),
            )
            for entry in entries
        ]
