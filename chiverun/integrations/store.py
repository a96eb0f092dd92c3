"""Key-value store client for Consul's HTTP KV API."""

import base64
import urllib.parse
from typing import Any

import msgspec

from chiverun.core.errors import DECODE_ERRORS
from chiverun.core.ids import Address
from chiverun.integrations.boundedclient import BoundedClient
from chiverun.integrations.boundedclient import BoundedResponse
from chiverun.integrations.boundedclient import CallFailed
from chiverun.integrations.boundedclient import CallNotSent
from chiverun.integrations.interfaces import Item
from chiverun.integrations.interfaces import StoreAnswerLost
from chiverun.integrations.interfaces import StoreUnavailable

# Added to the waiting time of a blocking read for its time-out.
_WAIT_MARGIN_S = 2.0
# A value of 1 MB in base64, or a listing of keys.
_BODY_BYTES_MAX = 4 * 1024 * 1024
_CONNECTIONS = 4
_WRITE_RESULTS = {b"true": True, b"false": False}


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
    read_attempts : int
        How often a read is sent before the store counts as unavailable.
    """

    def __init__(
        self, *, address: Address, timeout_s: float, read_attempts: int = 1
    ) -> None:
        self._timeout_s = timeout_s
        self._read_attempts = read_attempts
        self._client = BoundedClient(
            address=address,
            body_bytes_max=_BODY_BYTES_MAX,
            connections=_CONNECTIONS,
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
        pairs = _decode(resp.body, list[_KeyValuePair])
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
        return _decode(resp.body, list[str])

    def close(self) -> None:
        """Close idle connections."""
        self._client.close()

    def _read(
        self, path: str, query: dict[str, str], timeout_s: float
    ) -> BoundedResponse:
        for attempt in range(1, self._read_attempts + 1):
            try:
                resp = self._call("GET", path, query, None, timeout_s)
                break
            except (CallNotSent, CallFailed) as exc:
                if attempt == self._read_attempts:
                    raise StoreUnavailable(f"read {path}: {exc}") from exc
        if resp.status not in (200, 404):
            raise StoreUnavailable(
                f"read {path}: status {resp.status}; expected 200 or 404"
            )
        return resp

    def _write(self, method: str, path: str, body: bytes, cas: int) -> bool:
        query = {"cas": str(cas)}
        try:
            resp = self._call(method, path, query, body, self._timeout_s)
        except CallNotSent as exc:
            raise StoreUnavailable(f"{method} {path}: {exc}") from exc
        except CallFailed as exc:
            raise StoreAnswerLost(f"{method} {path}: {exc}") from exc
        if resp.status != 200:
            # The write may have taken effect before the error.
            raise StoreAnswerLost(
                f"{method} {path}: status {resp.status}; expected 200"
            )
        if resp.body.strip() not in _WRITE_RESULTS:
            # For example a truncated response without a length.
            raise StoreAnswerLost(
                f"{method} {path}: malformed response {resp.body[:20]!r}"
            )
        return _WRITE_RESULTS[resp.body.strip()]

    def _call(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        body: bytes | None,
        timeout_s: float,
    ) -> BoundedResponse:
        target = urllib.parse.quote(path)
        if query:
            target += "?" + urllib.parse.urlencode(query)
        return self._client.call(
            method, target, body=body, timeout_s=timeout_s
        )


def _decode(data: bytes, type_: Any) -> Any:
    try:
        return msgspec.json.decode(data, type=type_)
    except DECODE_ERRORS as exc:
        raise StoreUnavailable(f"read: malformed response: {exc}") from exc
