"""Stand-in of the platform's store, on loopback.

It answers the calls of PROTOCOL.md that the edge uses: `kv-range`, `kv-key`,
`kv-watch` and `kv-txn`.
"""

import asyncio
import base64
import json
import urllib.parse
from collections.abc import Callable

from review.standins2.http import Call
from review.standins2.http import respond
from review.standins2.http import serve


class Store:
    """Items by key, each with the revision of its last change.

    Parameters
    ----------
    delay_s : float
        Time that each answer takes.
    page_items : int
        Items on a page of a listing.
    on_call : callable, optional
        Called with each call, after it has been answered.
    """

    def __init__(
        self,
        *,
        delay_s: float = 0.004,
        page_items: int = 500,
        on_call: Callable[[Call, int], None] | None = None,
    ) -> None:
        self.delay_s = delay_s
        self.page_items = page_items
        self.on_call = on_call
        self.revision = 10
        self.items: dict[str, tuple[int, int, bytes]] = {}
        self.events: list[dict] = []
        self._changed = asyncio.Condition()
        self._server: asyncio.Server | None = None

    async def start(self, address: str) -> None:
        """Listen at an address."""
        self._server = await serve(address, self._handle)

    async def put(self, key: str, body: dict | bytes) -> int:
        """Write an item; return the revision."""
        value = body if isinstance(body, bytes) else json.dumps(body).encode()
        async with self._changed:
            self._write(key, value)
            self._changed.notify_all()
        return self.revision

    async def report(self, key: str, body: dict) -> None:
        """Write an upstream's entry if more than its `sequence` changes."""
        known = self.items.get(key)
        if known is not None:
            try:
                before = {**json.loads(known[2]), "sequence": 0}
            except ValueError:
                before = {}
            if before == {**body, "sequence": 0}:
                return
        await self.put(key, body)

    async def remove(self, key: str) -> None:
        """Remove an item."""
        async with self._changed:
            self.revision += 1
            self.items.pop(key, None)
            self.events.append(
                {"key": key, "revision": self.revision, "deleted": True}
            )
            self._changed.notify_all()

    def _write(self, key: str, value: bytes) -> None:
        self.revision += 1
        created = self.items[key][1] if key in self.items else self.revision
        self.items[key] = (self.revision, created, value)
        self.events.append(self._item(key))

    def _item(self, key: str) -> dict:
        revision, created, value = self.items[key]
        return {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": revision,
            "created": created,
            "lease": 0,
        }

    async def _handle(self, call: Call) -> bytes:
        await asyncio.sleep(self.delay_s)
        parts = urllib.parse.urlsplit(call.target)
        query = dict(
            urllib.parse.parse_qsl(parts.query, keep_blank_values=True)
        )
        match (call.method, parts.path):
            case ("GET", "/-/kv-range"):
                status, body = 200, self._range(query)
            case ("GET", "/-/kv-key"):
                status, body = self._key(query)
            case ("GET", "/-/kv-watch"):
                status, body = 200, await self._watch(query)
            case ("POST", "/-/kv-txn"):
                status, body = await self._txn(json.loads(call.body))
            case _:
                status, body = 404, {"error": "no such call"}
        answer = respond(status, json.dumps(body).encode())
        if self.on_call is not None:
            self.on_call(call, status)
        return answer

    def _range(self, query: dict) -> dict:
        keys = sorted(
            key
            for key in self.items
            if key.startswith(query.get("prefix", ""))
            and key > query.get("after", "")
        )
        page = keys[: self.page_items]
        return {
            "items": [self._item(key) for key in page],
            "hasMore": len(keys) > len(page),
            "storeRevision": self.revision,
        }

    def _key(self, query: dict) -> tuple[int, dict]:
        if query["key"] not in self.items:
            return 404, {"storeRevision": self.revision}
        item = self._item(query["key"])
        return 200, {**item, "storeRevision": self.revision}

    async def _watch(self, query: dict) -> dict:
        after = int(query["after"])

        def found() -> list[dict]:
            return [
                event
                for event in self.events
                if event["revision"] > after
                and event["key"].startswith(query.get("prefix", ""))
            ]

        async with self._changed:
            try:
                async with asyncio.timeout(int(query["waitMs"]) / 1000.0):
                    await self._changed.wait_for(found)
            except TimeoutError:
                pass
        return {"events": found(), "storeRevision": self.revision}

    async def _txn(self, body: dict) -> tuple[int, dict]:
        async with self._changed:
            for row in body.get("expectedRev", ()):
                known = self.items.get(row["key"], (0, 0, b""))[0]
                if known != row["revision"]:
                    return 412, {"items": []}
            for row in body.get("writes", ()):
                self._write(row["key"], base64.b64decode(row["value"]))
            self._changed.notify_all()
        return 200, {"revision": self.revision}
