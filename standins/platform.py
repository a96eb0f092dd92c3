"""Stand-in of the platform: key-value store and delayed instance list.

Serves the parts of the published Consul HTTP interface that chiverun uses.
``POST /admin`` injects faults with a JSON object:

``outage``
    if true, connections of all calls are closed, blocking reads included.
``latency_ms``
    delay of each call.
``lose_answers``
    number of next writes that are applied without a response.
``save`` / ``restore``
    copy the data / restore the copy, as a store restored from a backup.
``leaving``
    names that the instance list shows as leaving after ``lag_s``.
``services``
    instances of the instance list, by service.
"""

import argparse
import base64
import collections
import copy
import json
import threading
import time
import urllib.parse
from typing import Any

from standins.web import Handler
from standins.web import serve_in_thread
from standins.web import Server


class Platform:
    """Data and faults of the stand-in."""

    def __init__(self, *, lag_s: float = 5.0) -> None:
        self.changed = threading.Condition()
        self.data: dict[str, tuple[bytes, int]] = {}
        # Time of each key's last write, by the monotonic clock that all
        # processes of a machine share.
        self.written_at: dict[str, float] = {}
        self.index = 10
        self.backup: tuple[dict, int] | None = None
        self.outage = False
        self.latency_ms = 0.0
        self.lose_answers = 0
        # Delays of the next calls.
        self.late_responses_s: list[float] = []
        self.lag_s = lag_s
        self.services: dict[str, dict[str, str]] = {}
        self.leaving: dict[str, float] = {}
        self.calls: collections.Counter[str] = collections.Counter()

    def get(
        self, key: str, index: int, wait_s: float
    ) -> tuple[bytes, int] | None:
        """Read a key; wait up to `wait_s` while its index equals `index`."""
        deadline = time.monotonic() + wait_s
        with self.changed:
            while index:
                item = self.data.get(key)
                remaining_s = deadline - time.monotonic()
                if self.outage or remaining_s <= 0:
                    break
                if item is None or item[1] != index:
                    break
                self.changed.wait(remaining_s)
            return self.data.get(key)

    def put(self, key: str, value: bytes, cas: int | None) -> bool:
        """Write a key if its index is `cas`; 0 creates, None always writes."""
        with self.changed:
            current = self.data.get(key)
            if cas is not None and cas != (current[1] if current else 0):
                return False
            self.index += 1
            self.data[key] = (value, self.index)
            self.written_at[key] = time.monotonic()
            self.changed.notify_all()
            return True

    def delete(self, key: str, cas: int | None) -> bool:
        """Delete a key if its index is `cas` or `cas` is None."""
        with self.changed:
            current = self.data.get(key)
            if current is None or (cas is not None and cas != current[1]):
                return False
            del self.data[key]
            self.changed.notify_all()
            return True

    def admin(self, request: dict[str, Any]) -> None:
        """Apply an ``/admin`` request."""
        with self.changed:
            for name in ("outage", "latency_ms", "lose_answers", "lag_s"):
                if name in request:
                    setattr(self, name, request[name])
            if request.get("save"):
                self.backup = (copy.deepcopy(self.data), self.index)
            if request.get("restore") and self.backup:
                self.data = copy.deepcopy(self.backup[0])
            for name in request.get("leaving", ()):
                self.leaving[name] = time.monotonic() + self.lag_s
            for service, instances in request.get("services", {}).items():
                self.services[service] = instances
            self.changed.notify_all()

    def critical_checks(self) -> list[dict[str, str]]:
        """Return the checks of instances that were leaving `lag_s` ago."""
        now = time.monotonic()
        return [
            {"ServiceID": name, "ServiceName": service, "Status": "critical"}
            for service, instances in self.services.items()
            for name in instances
            if self.leaving.get(name, now + 1) <= now
        ]


def _call_label(method: str, path: str) -> str:
    """Return the label that a call is counted under: method and key type."""
    return " ".join([method, *path.split("/")[2:5]])


def make_handler(platform: Platform) -> type[Handler]:
    """Return a handler class for a platform."""

    class PlatformHandler(Handler):
        def _begin(self) -> tuple[str, dict[str, str]] | None:
            """Count the call; return path and query, or None in an outage."""
            parts = urllib.parse.urlsplit(self.path)
            query = dict(
                urllib.parse.parse_qsl(parts.query, keep_blank_values=True)
            )
            platform.calls[_call_label(self.command, parts.path)] += 1
            if platform.outage:
                self.close_connection = True
                self.connection.close()
                return None
            if platform.late_responses_s:
                time.sleep(platform.late_responses_s.pop(0))
            if platform.latency_ms:
                time.sleep(platform.latency_ms / 1000.0)
            return urllib.parse.unquote(parts.path), query

        def do_GET(self) -> None:
            if self.path == "/admin/calls":
                self.reply_json(dict(platform.calls))
                return
            if self.path == "/admin/written":
                self.reply_json(dict(platform.written_at))
                return
            call = self._begin()
            if call is None:
                return
            path, query = call
            if path == "/v1/health/state/critical":
                self.reply_json(platform.critical_checks())
                return
            key = path.removeprefix("/v1/kv/")
            if "keys" in query:
                found = [k for k in sorted(platform.data) if k.startswith(key)]
                self.reply_json(found, 200 if found else 404)
                return
            wait_ms = float(query.get("wait", "0ms").removesuffix("ms"))
            item = platform.get(
                key, int(query.get("index", "0")), wait_ms / 1000.0
            )
            if platform.outage:
                self.close_connection = True
                self.connection.close()
            elif item is None:
                self.reply(404)
            else:
                self._reply_item(key, item)

        def _reply_item(self, key: str, item: tuple[bytes, int]) -> None:
            pair = {
                "Key": key,
                "Value": base64.b64encode(item[0]).decode(),
                "ModifyIndex": item[1],
            }
            self.reply_json([pair], **{"X-Consul-Index": str(item[1])})

        def do_PUT(self) -> None:
            body = self.body()
            self._write(lambda key, cas: platform.put(key, body, cas))

        def do_DELETE(self) -> None:
            self._write(platform.delete)

        def _write(self, write) -> None:
            call = self._begin()
            if call is None:
                return
            path, query = call
            cas = int(query["cas"]) if "cas" in query else None
            applied = write(path.removeprefix("/v1/kv/"), cas)
            if platform.lose_answers > 0 and applied:
                platform.lose_answers -= 1
                self.close_connection = True
                self.connection.close()
                return
            self.reply(200, b"true" if applied else b"false")

        def do_POST(self) -> None:
            platform.admin(json.loads(self.body()))
            self.reply_json({})

    return PlatformHandler


def start(address: tuple[str, int], platform: Platform) -> Server:
    """Serve a platform on a background thread."""
    return serve_in_thread(address, make_handler(platform))


def main() -> None:
    """Run the stand-in until the process is killed."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--listen", required=True)
    parser.add_argument("--lag", type=float, default=5.0)
    args = parser.parse_args()
    host, _, port = args.listen.rpartition(":")
    start((host, int(port)), Platform(lag_s=args.lag))
    threading.Event().wait()


if __name__ == "__main__":
    main()
