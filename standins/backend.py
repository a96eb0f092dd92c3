"""Stand-in of a backend server, with its own log of the requests it runs.

``GET /healthz`` and ``GET /load`` are its endpoints; any other path is a
request to run. ``POST /admin`` injects faults: ``slow`` (factor of the
service time), ``draining`` (sheds requests and reports draining at
``/healthz``), ``draining_work`` (only sheds requests), ``draining_health``
(only reports draining), ``reset_after`` (number of next requests that run,
after which the connection is reset), ``short_answers`` (number of next
responses that are truncated), ``dead`` (resets each connection), ``wrong_id``
(number of next responses with another request's id), ``lag_s`` (delay of the
load that ``/load`` reports), ``answer_bytes`` (padding of each response),
``cold`` (whether the first requests run slower).

The log has one JSON line for each event: ``start`` when a request begins to
run, ``end`` when its response is ready, ``cancel`` when the caller closes the
connection, ``shed``, and ``over`` when a request arrives while all slots are
busy.
"""

import argparse
import collections
import json
import select
import signal
import socket
import struct
import threading
import time
import urllib.parse
from typing import Any
from typing import TextIO

from standins.web import Handler
from standins.web import serve_in_thread
from standins.web import Server

COLD_SLOWDOWN = 3.0
COLD_REQUESTS = 20


class Backend:
    """State and faults of a backend server."""

    def __init__(
        self,
        *,
        name: str,
        zone: str,
        slots: int,
        service_ms: float,
        long_ms: float,
        log: TextIO | None = None,
    ) -> None:
        self.name = name
        self.zone = zone
        self.slots = slots
        self.service_ms = service_ms
        self.long_ms = long_ms
        self.lock = threading.Lock()
        self.running = 0
        self.served = 0
        self.faults: dict[str, Any] = {
            "slow": 1.0,
            "draining": False,
            "draining_work": False,
            "draining_health": False,
            "reset_after": 0,
            "short_answers": 0,
            "wrong_id": 0,
            "dead": False,
            "answer_bytes": 0,
            "lag_s": 2.0,
            "cold": True,
        }
        self.events: list[dict[str, Any]] = []
        self._log = log
        self._load_samples: collections.deque[tuple[float, int]] = (
            collections.deque(maxlen=1000)
        )

    def log_event(self, event: str, **fields: Any) -> None:
        """Write an event to the log, or append it to `events` without one."""
        record = {
            "t": time.time(),
            "event": event,
            "server": self.name,
            "zone": self.zone,
            **fields,
        }
        if self._log is None:
            self.events.append(record)
        else:
            self._log.write(json.dumps(record) + "\n")
            self._log.flush()

    def consume_fault(self, name: str) -> bool:
        """Decrement a fault counter; return False if it is 0."""
        with self.lock:
            if self.faults[name] <= 0:
                return False
            self.faults[name] -= 1
            return True

    def acquire_slot(self, fields: dict[str, Any]) -> str | None:
        """Acquire a slot; return the reason if the request is shed."""
        with self.lock:
            if self.faults["draining"] or self.faults["draining_work"]:
                self.log_event("shed", reason="draining", **fields)
                return "draining"
            if self.running >= self.slots:
                self.log_event("over", running=self.running, **fields)
                return "overload"
            self.running += 1
            self.served += 1
            self._load_samples.append((time.monotonic(), self.running))
            self.log_event("start", running=self.running, **fields)
            return None

    def release_slot(self, event: str, fields: dict[str, Any]) -> None:
        """Release a slot and log the event."""
        with self.lock:
            self.running -= 1
            self._load_samples.append((time.monotonic(), self.running))
            self.log_event(event, **fields)

    def duration_s(self, is_long: bool) -> float:
        """Return the service time of a request that has acquired a slot."""
        base_ms = self.long_ms if is_long else self.service_ms
        factor = self.faults["slow"]
        if self.faults["cold"] and self.served <= COLD_REQUESTS:
            factor *= COLD_SLOWDOWN
        return base_ms * factor / 1000.0

    def reported_load(self) -> int:
        """Return the number of requests that were running `lag_s` ago."""
        sampled_at = time.monotonic() - self.faults["lag_s"]
        load = 0
        for at, running in list(self._load_samples):
            if at > sampled_at:
                break
            load = running
        return load


def make_handler(backend: Backend) -> type[Handler]:
    """Return a handler class for a backend server."""

    class BackendHandler(Handler):
        def do_GET(self) -> None:
            if self.path == "/healthz":
                self._handle_health()
            elif self.path == "/load":
                self.reply_json({"running": backend.reported_load()})
            else:
                self._handle_request()

        def do_POST(self) -> None:
            if self.path == "/admin":
                backend.faults.update(json.loads(self.body()))
                self.reply_json({})
            else:
                self._handle_request()

        def _handle_health(self) -> None:
            if backend.faults["dead"]:
                self._reset()
            elif (
                backend.faults["draining"] or backend.faults["draining_health"]
            ):
                self.reply_json({}, **{"X-Shed": "draining"})
            else:
                self.reply_json({"state": "active"})

        def _handle_request(self) -> None:
            body = self.body()
            if backend.faults["dead"]:
                self._reset()
                return
            fields = self._fields()
            deadline_ms = int(
                self.headers.get("X-Deadline-Epoch-Ms", "0") or 0
            )
            if deadline_ms and time.time() * 1000 >= deadline_ms:
                backend.log_event("shed", reason="deadline", **fields)
                self._shed("deadline")
                return
            reason = backend.acquire_slot(fields)
            if reason is not None:
                self._shed(reason)
                return
            self._run(fields, body, deadline_ms)

        def _run(self, fields, body: bytes, deadline_ms: int) -> None:
            is_long = "/export" in self.path or "/history" in self.path
            until = time.time() + backend.duration_s(is_long)
            if deadline_ms:
                until = min(until, deadline_ms / 1000.0)
            if not self._wait_until(until):
                backend.release_slot("cancel", fields)
                self.close_connection = True
                return
            backend.release_slot("end", fields)
            self._respond(fields, body)

        def _respond(self, fields, body: bytes) -> None:
            if backend.consume_fault("reset_after"):
                self._reset()
                return
            request_id = self.headers.get("X-Request-Id", "")
            if backend.consume_fault("wrong_id"):
                request_id = "another"
            response = json.dumps(
                {
                    "server": backend.name,
                    "token": fields["token"],
                    "padding": "x" * backend.faults["answer_bytes"],
                }
            ).encode()
            if backend.consume_fault("short_answers"):
                self.wfile.write(
                    b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n"
                    + response
                )
                self._reset()
                return
            self.reply(200, response, {"X-Request-Id": request_id})

        def _wait_until(self, until: float) -> bool:
            """Wait; return False if the caller closes the connection."""
            while (remaining_s := until - time.time()) > 0:
                readable, _, _ = select.select(
                    [self.connection], [], [], remaining_s
                )
                if readable:
                    try:
                        peeked = self.connection.recv(1, socket.MSG_PEEK)
                    except OSError:
                        return False
                    if not peeked:
                        return False
                    time.sleep(min(remaining_s, 0.01))
            return True

        def _fields(self) -> dict[str, Any]:
            query = dict(
                urllib.parse.parse_qsl(urllib.parse.urlsplit(self.path).query)
            )
            return {
                "token": query.get("token", ""),
                "home": query.get("home", ""),
                "try": int(self.headers.get("X-Try", "-1")),
                "method": self.command,
                "path": urllib.parse.urlsplit(self.path).path,
            }

        def _shed(self, reason: str) -> None:
            request_id = self.headers.get("X-Request-Id", "")
            self.reply(
                503, b"", {"X-Shed": reason, "X-Request-Id": request_id}
            )

        def _reset(self) -> None:
            """Reset the connection; a linger time of 0 sends RST."""
            self.close_connection = True
            self.connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
            self.connection.close()

    return BackendHandler


def start(address: tuple[str, int], backend: Backend) -> Server:
    """Serve a backend server on a background thread."""
    return serve_in_thread(address, make_handler(backend))


def main() -> None:
    """Run the stand-in until SIGTERM."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--listen", required=True)
    parser.add_argument("--name", required=True)
    parser.add_argument("--zone", required=True)
    parser.add_argument("--slots", type=int, required=True)
    parser.add_argument("--service-ms", type=float, default=10.0)
    parser.add_argument("--long-ms", type=float, default=500.0)
    parser.add_argument("--log", required=True)
    args = parser.parse_args()
    host, _, port = args.listen.rpartition(":")
    with open(args.log, "a", encoding="utf-8") as log:
        backend = Backend(
            name=args.name,
            zone=args.zone,
            slots=args.slots,
            service_ms=args.service_ms,
            long_ms=args.long_ms,
            log=log,
        )
        start((host, int(port)), backend)
        stopped = threading.Event()
        signal.signal(signal.SIGTERM, lambda *_: stopped.set())
        stopped.wait()


if __name__ == "__main__":
    main()
