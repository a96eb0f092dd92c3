"""Stand-in of the platform's metadata store, with fault injection.

It implements the calls that the adapter uses (one key space, one revision
counter, watches, conditional writes) and can hang, delay or lose responses,
compact its event history and reject calls.
"""

import asyncio
import base64
import contextlib
import dataclasses
import json
from urllib.parse import parse_qs
from urllib.parse import urlsplit

from chiverun.core.ids import Address
from chiverun.integrations.asyncserver import IncomingRequest
from chiverun.integrations.asyncserver import listen
from chiverun.integrations.asyncserver import ListenerState
from chiverun.integrations.asyncserver import OutgoingResponse

_PAGE_ITEMS = 50


@dataclasses.dataclass(kw_only=True)
class Faults:
    """Faults of calls.

    `refuse_with` is the status of every call, unless 0; `silent` leaves
    every call without a response; `reset` closes the connection of every
    call without a response; `delay_s` delays each response;
    `lose_writes` is the number of writes that are applied without a
    response.
    """

    refuse_with: int = 0
    silent: bool = False
    reset: bool = False
    delay_s: float = 0.0
    lose_writes: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class StoreCopy:
    """What a store held at a revision."""

    items: dict[str, tuple[int, bytes]]
    revision: int


class MetaStore:
    """Items by key, each with the revision of its last change."""

    def __init__(self) -> None:
        self.items: dict[str, tuple[int, bytes]] = {}
        self.revision = 1
        self.compacted_revision = 0
        # Raised with each restoration from an older copy.
        self.era = 1
        self.calls = 0
        self.faults = Faults()
        self._events: list[dict] = []
        self._changed = asyncio.Condition()

    async def start(self, address: Address) -> asyncio.Server:
        """Listen at an address."""
        return await listen(address, ListenerState(handler=self.handle))

    async def put(self, key: str, value: bytes) -> int:
        """Write an item, as an operator or a server does."""
        async with self._changed:
            self._write(key, value)
            self._changed.notify_all()
        return self.revision

    async def remove(self, key: str) -> None:
        """Remove an item."""
        async with self._changed:
            self._delete(key)
            self._changed.notify_all()

    def forget_history(self) -> None:
        """Drop all events; watches from earlier revisions get status 410."""
        self.compacted_revision = self.revision
        self._events.clear()

    def copy(self) -> StoreCopy:
        """Return a copy to restore the store from."""
        return StoreCopy(items=dict(self.items), revision=self.revision)

    def restore(self, copy: StoreCopy) -> None:
        """Go back to a copy; revisions after it are given out again."""
        self.items = dict(copy.items)
        self.revision = copy.revision
        self.forget_history()
        self.era += 1

    async def handle(self, incoming: IncomingRequest) -> OutgoingResponse:
        """Handle one call; each response names the store's era."""
        response = await self._handle(incoming)
        era = ("Store-Era", str(self.era))
        return dataclasses.replace(response, headers=[*response.headers, era])

    async def _handle(self, incoming: IncomingRequest) -> OutgoingResponse:
        self.calls += 1
        faults = self.faults
        if faults.silent:
            await asyncio.Event().wait()
        if faults.reset:
            # The listener closes the connection of a cancelled call.
            raise asyncio.CancelledError
        await asyncio.sleep(faults.delay_s)
        if faults.refuse_with:
            return _response(faults.refuse_with, {"error": "refused"})
        parts = urlsplit(incoming.target)
        query = {
            name: values[0]
            for name, values in parse_qs(
                parts.query, keep_blank_values=True
            ).items()
        }
        match (incoming.method, parts.path):
            case ("GET", "/-/kv-range"):
                return self._range(query)
            case ("GET", "/-/kv-watch"):
                return await self._watch(query)
            case ("POST", "/-/kv-txn"):
                return await self._txn(json.loads(incoming.body))
        return _response(404, {"error": "no such call"})

    def _range(self, query: dict[str, str]) -> OutgoingResponse:
        after = query.get("after", "")
        keys = sorted(
            key
            for key in self.items
            if key.startswith(query["prefix"]) and key > after
        )
        return _response(
            200,
            {
                "items": [self._item(key) for key in keys[:_PAGE_ITEMS]],
                "hasMore": len(keys) > _PAGE_ITEMS,
                "storeRevision": self.revision,
            },
        )

    async def _watch(self, query: dict[str, str]) -> OutgoingResponse:
        after = int(query["after"])
        wait_s = int(query["waitMs"]) / 1000.0
        if not self.compacted_revision <= after <= self.revision:
            return _response(410, {"error": "history gone"})
        async with self._changed:
            # asyncio.wait_for would run the wait in a separate task, which
            # may acquire the lock after this cancelled call releases it.
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    await self._changed.wait_for(lambda: self.revision > after)
        events = [
            event
            for event in self._events
            if event["revision"] > after
            and event["key"].startswith(query["prefix"])
        ]
        return _response(
            200, {"events": events, "storeRevision": self.revision}
        )

    async def _txn(self, body: dict) -> OutgoingResponse:
        for row in body["expectedRev"]:
            revision, _ = self.items.get(row["key"], (0, b""))
            if revision != row["revision"]:
                return _response(412, {"items": []})
        async with self._changed:
            for row in body["writes"]:
                self._write(row["key"], base64.b64decode(row["value"]))
            for key in body["remove"]:
                self._delete(key)
            self._changed.notify_all()
        if self.faults.lose_writes:
            self.faults.lose_writes -= 1
            await asyncio.Event().wait()
        return _response(200, {"revision": self.revision})

    def _write(self, key: str, value: bytes) -> None:
        self.revision += 1
        self.items[key] = (self.revision, value)
        self._events.append(self._item(key))

    def _delete(self, key: str) -> None:
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self._events.append(
            {"key": key, "revision": self.revision, "deleted": True}
        )

    def _item(self, key: str) -> dict:
        revision, value = self.items[key]
        return {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": revision,
            "created": revision,
            "lease": 0,
        }


def _response(status: int, body: dict) -> OutgoingResponse:
    return OutgoingResponse(
        status=status,
        headers=[("Content-Type", "application/json")],
        body=json.dumps(body).encode(),
    )
