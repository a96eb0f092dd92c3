"""Stand-in of a backend server, with its own log of what it ran.

``GET /healthz`` and ``GET /load`` are its endpoints; any other path is work.
``POST /admin`` switches faults: ``slow`` (factor of the service time),
``draining`` (sheds work and says so), ``draining_work`` (only sheds work),
``draining_health`` (only says so), ``reset_after`` (number of following
requests that run and then reset), ``short_answers`` (number of answers cut in
the middle), ``dead`` (closes each connection), ``wrong_id``, ``lag_s`` of the
load endpoint, ``answer_bytes`` added to each answer.

The log has one JSON line for each event: ``start`` when a request begins to
run, ``end`` when its answer is ready, ``cancel``, ``shed``, and ``over`` when
a request arrives while all slots are busy.
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

COLD_FACTOR = 3.0
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
        self._loads: collections.deque[tuple[float, int]] = collections.deque(
            maxlen=1000
        )

    def note(self, event: str, **fields: Any) -> None:
        """Write an event to the log."""
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

    def take_fault(self, name: str) -> bool:
        """Use up one of a number of faults."""
        with self.lock:
            if self.faults[name] <= 0:
                return False
            self.faults[name] -= 1
            return True

    def begin(self, fields: dict[str, Any]) -> str | None:
        """Take a slot; return the reason if the request is shed."""
        with self.lock:
            if self.faults["draining"] or self.faults["draining_work"]:
                self.note("shed", reason="draining", **fields)
                return "draining"
            if self.running >= self.slots:
                self.note("over", running=self.running, **fields)
                return "overload"
            self.running += 1
            self.served += 1
            self._loads.append((time.monotonic(), self.running))
            self.note("start", running=self.running, **fields)
            return None

    def end(self, event: str, fields: dict[str, Any]) -> None:
        """Free a slot."""
        with self.lock:
            self.running -= 1
            self._loads.append((time.monotonic(), self.running))
            self.note(event, **fields)

    def duration_s(self, is_long: bool) -> float:
        """Return how long the next request runs."""
        base_ms = self.long_ms if is_long else self.service_ms
        factor = self.faults["slow"]
        if self.faults["cold"] and self.served <= COLD_REQUESTS:
            factor *= COLD_FACTOR
        return base_ms * factor / 1000.0

    def reported_load(self) -> int:
        """Return the load as it was `lag_s` ago."""
        then = time.monotonic() - self.faults["lag_s"]
        load = 0
        for at, running in list(self._loads):
            if at > then:
                break
            load = running
        return load


def make_handler(backend: Backend) -> type[Handler]:
    """Return a handler class for a backend server."""

    class BackendHandler(Handler):
        def do_GET(self) -> None:
            if self.path == "/healthz":
                self._health()
            elif self.path == "/load":
                self.reply_json({"running": backend.reported_load()})
            else:
                self._work()

        def do_POST(self) -> None:
            if self.path == "/admin":
                backend.faults.update(json.loads(self.body()))
                self.reply_json({})
            else:
                self._work()

        def _health(self) -> None:
            if backend.faults["dead"]:
                self._reset()
            elif (
                backend.faults["draining"] or backend.faults["draining_health"]
            ):
                self.reply_json({}, **{"X-Shed": "draining"})
            else:
                self.reply_json({"state": "active"})

        def _work(self) -> None:
            body = self.body()
            if backend.faults["dead"]:
                self._reset()
                return
            fields = self._fields()
            deadline_ms = int(
                self.headers.get("X-Deadline-Epoch-Ms", "0") or 0
            )
            if deadline_ms and time.time() * 1000 >= deadline_ms:
                backend.note("shed", reason="deadline", **fields)
                self._shed("deadline")
                return
            reason = backend.begin(fields)
            if reason is not None:
                self._shed(reason)
                return
            self._run(fields, body, deadline_ms)

        def _run(self, fields, body: bytes, deadline_ms: int) -> None:
            is_long = "/export" in self.path or "/history" in self.path
            until = time.time() + backend.duration_s(is_long)
            if deadline_ms:
                until = min(until, deadline_ms / 1000.0)
            if not self._wait(until):
                backend.end("cancel", fields)
                self.close_connection = True
                return
            backend.end("end", fields)
            self._answer(fields, body)

        def _answer(self, fields, body: bytes) -> None:
            if backend.take_fault("reset_after"):
                self._reset()
                return
            request_id = self.headers.get("X-Request-Id", "")
            if backend.take_fault("wrong_id"):
                request_id = "another"
            answer = json.dumps(
                {
                    "server": backend.name,
                    "token": fields["token"],
                    "padding": "x" * backend.faults["answer_bytes"],
                }
            ).encode()
            if backend.take_fault("short_answers"):
                self.wfile.write(
                    b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n"
                    + answer
                )
                self._reset()
                return
            self.reply(200, answer, {"X-Request-Id": request_id})

        def _wait(self, until: float) -> bool:
            """Run for a while; False if the caller closed the connection."""
            while (left := until - time.time()) > 0:
                readable, _, _ = select.select([self.connection], [], [], left)
                if readable:
                    try:
                        peeked = self.connection.recv(1, socket.MSG_PEEK)
                    except OSError:
                        return False
                    if not peeked:
                        return False
                    time.sleep(min(left, 0.01))
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
            """Close the connection with a reset."""
            self.close_connection = True
            self.connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
            self.connection.close()

    return BackendHandler


def start(address: tuple[str, int], backend: Backend) -> Server:
    """Serve a backend server on a thread."""
    return serve_in_thread(address, make_handler(backend))


def main() -> None:
    """Run the stand-in until it is ended."""
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
        done = threading.Event()
        signal.signal(signal.SIGTERM, lambda *_: done.set())
        done.wait()


if __name__ == "__main__":
    main()
