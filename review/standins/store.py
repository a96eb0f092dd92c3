"""Stand-in of the platform's metadata store: items, watches, transactions."""

import asyncio
import base64
import contextlib
import json
import urllib.parse

from review.standins import http


class Store:
    """One key space with one revision counter and a full history."""

    def __init__(self) -> None:
        self.revision = 1
        self.items = {}
        self.calls = 0
        self._events = []
        self._changed = asyncio.Condition()
        self._server = None
        self.address = ""

    async def start(self) -> None:
        """Listen at a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    def stop(self) -> None:
        """Stop listening."""
        self._server.close()

    async def put(self, key: str, value: dict) -> int:
        """Write an item as the operator or an upstream does."""
        return await self._write({key: json.dumps(value).encode()}, [])

    async def remove(self, key: str) -> int:
        """Remove an item."""
        return await self._write({}, [key])

    async def _write(self, writes: dict, removed: list) -> int:
        async with self._changed:
            self.revision += 1
            for key, value in writes.items():
                old = self.items.get(key)
                row = {
                    "key": key,
                    "value": base64.b64encode(value).decode(),
                    "revision": self.revision,
                    "created": old["created"] if old else self.revision,
                    "lease": 0,
                }
                self.items[key] = row
                self._events.append(row)
            for key in removed:
                if self.items.pop(key, None) is not None:
                    self._events.append(
                        {
                            "key": key,
                            "revision": self.revision,
                            "deleted": True,
                        }
                    )
            self._changed.notify_all()
            return self.revision

    async def _serve(self, reader, writer) -> None:
        try:
            while (req := await http.read_request(reader)) is not None:
                self.calls += 1
                status, body = await self._answer(req)
                data = json.dumps(body).encode()
                writer.write(
                    http.response(
                        status, [("Content-Type", "application/json")], data
                    )
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, req: http.Request) -> tuple[int, dict]:
        parts = urllib.parse.urlsplit(req.target)
        query = dict(
            urllib.parse.parse_qsl(parts.query, keep_blank_values=True)
        )
        match (req.method, parts.path):
            case ("GET", "/-/kv-key"):
                item = self.items.get(query.get("key", ""))
                if item is None:
                    return 404, {}
                return 200, {**item, "storeRevision": self.revision}
            case ("GET", "/-/kv-range"):
                return 200, self._range(query)
            case ("GET", "/-/kv-watch"):
                return await self._watch(query)
            case ("POST", "/-/kv-txn"):
                return await self._txn(json.loads(req.body))
        return 404, {}

    def _range(self, query: dict) -> dict:
        prefix = query.get("prefix", "")
        after = query.get("after", "")
        keys = sorted(
            key for key in self.items if key.startswith(prefix) and key > after
        )
        return {
            "items": [self.items[key] for key in keys[:500]],
            "hasMore": len(keys) > 500,
            "storeRevision": self.revision,
        }

    async def _watch(self, query: dict) -> tuple[int, dict]:
        prefix = query.get("prefix", "")
        after = int(query["after"])
        wait_s = min(30_000, int(query.get("waitMs", "0"))) / 1000

        def news() -> list:
            return [
                event
                for event in self._events
                if event["revision"] > after
                and event["key"].startswith(prefix)
            ]

        async with self._changed:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    await self._changed.wait_for(lambda: bool(news()))
        return 200, {"events": news(), "storeRevision": self.revision}

    async def _txn(self, body: dict) -> tuple[int, dict]:
        wrong = False
        for row in body.get("expectedRev", ()):
            item = self.items.get(row["key"])
            known = item["revision"] if item else 0
            wrong = wrong or known != row["revision"]
        if wrong:
            rows = [
                self.items[row["key"]]
                for row in body["expectedRev"]
                if row["key"] in self.items
            ]
            return 412, {"items": rows}
        writes = {
            row["key"]: base64.b64decode(row["value"])
            for row in body.get("writes", ())
        }
        if any(key.startswith(("op/", "servers/")) for key in writes):
            return 403, {}
        revision = await self._write(writes, body.get("remove", []))
        return 200, {"revision": revision}
