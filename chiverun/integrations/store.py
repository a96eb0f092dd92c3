"""Key-value store client for Consul's HTTP KV API."""

import base64
import urllib.parse
from typing import Any

import msgspec
import urllib3
from urllib3.exceptions import HTTPError
from urllib3.exceptions import NewConnectionError

from chiverun.core.ids import Address
from chiverun.integrations.interfaces import Item
from chiverun.integrations.interfaces import StoreAnswerLost
from chiverun.integrations.interfaces import StoreUnavailable
from chiverun.integrations.network import split_address

# Added to the waiting time of a blocking read for its time-out.
_WAIT_MARGIN_S = 2.0


class _KeyValuePair(msgspec.Struct, rename="pascal"):
    key: str
    value: str | None
    modify_index: int


class HttpStore:
    """Client of the platform's key-value store; thread-safe.

    Parameters
    ----------
    address : Address
        ``ip:port`` of the store.
    timeout_s : float
        Time-out of non-blocking calls in seconds.
    """

    def __init__(self, *, address: Address, timeout_s: float) -> None:
        host, port = split_address(address)
        self._timeout_s = timeout_s
        self._pool = urllib3.HTTPConnectionPool(
            host, port, maxsize=4, retries=False
        )

    def get(
        self, key: str, *, index: int = 0, wait_s: float = 0.0
    ) -> Item | None:
        query = {}
        if index:
            query = {"index": str(index), "wait": f"{int(wait_s * 1000)}ms"}
        timeout_s = self._timeout_s + (
            wait_s + _WAIT_MARGIN_S if index else 0.0
        )
        resp = self._read(f"/v1/kv/{key}", query, timeout_s)
        if resp.status == 404:
            return None
        pairs = _decode(resp.data, list[_KeyValuePair])
        if not pairs:
            raise StoreUnavailable("read returned no key-value pair")
        pair = pairs[0]
        try:
            value = base64.b64decode(pair.value or "", validate=True)
        except ValueError as exc:
            raise StoreUnavailable(
                f"read {key}: value is not valid base64: {exc}"
            ) from exc
        return Item(key=pair.key, value=value, index=pair.modify_index)

    def put(self, key: str, value: bytes, *, cas: int) -> bool:
        return self._write("PUT", f"/v1/kv/{key}", value, cas)

    def delete(self, key: str, *, cas: int) -> bool:
        return self._write("DELETE", f"/v1/kv/{key}", b"", cas)

    def keys(self, prefix: str) -> list[str]:
        resp = self._read(
            f"/v1/kv/{prefix}", {"keys": "true"}, self._timeout_s
        )
        if resp.status == 404:
            return []
        return _decode(resp.data, list[str])

    def close(self) -> None:
        """Close idle connections."""
        self._pool.close()

    def _read(
        self, path: str, query: dict[str, str], timeout_s: float
    ) -> urllib3.BaseHTTPResponse:
        try:
            resp = self._request("GET", path, query, None, timeout_s)
        except HTTPError as exc:
            raise StoreUnavailable(f"read {path}: {exc}") from exc
        if resp.status not in (200, 404):
            raise StoreUnavailable(
                f"read {path}: status {resp.status}; expected 200 or 404"
            )
        return resp

    def _write(self, method: str, path: str, body: bytes, cas: int) -> bool:
        query = {"cas": str(cas)}
        try:
            resp = self._request(method, path, query, body, self._timeout_s)
        except NewConnectionError as exc:
            raise StoreUnavailable(f"{method} {path}: {exc}") from exc
        except HTTPError as exc:
            raise StoreAnswerLost(f"{method} {path}: {exc}") from exc
        if resp.status != 200:
            # The write may have taken effect before the error.
            raise StoreAnswerLost(
                f"{method} {path}: status {resp.status}; expected 200"
            )
        return resp.data.strip() == b"true"

    def _request(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        body: bytes | None,
        timeout_s: float,
    ) -> urllib3.BaseHTTPResponse:
        url = path + ("?" + urllib.parse.urlencode(query) if query else "")
        return self._pool.urlopen(
            method,
            url,
            body=body,
            retries=False,
            redirect=False,
            timeout=urllib3.Timeout(connect=self._timeout_s, read=timeout_s),
        )


def _decode(data: bytes, type_: Any) -> Any:
    try:
        return msgspec.json.decode(data, type=type_)
    except (msgspec.DecodeError, ValueError) as exc:
        raise StoreUnavailable(f"read: malformed response: {exc}") from exc
