"""Real-process check of the load measurements.

Backend servers are stand-in processes reached over HTTP; two instances'
request paths (`Executor` with `Admission`, hedging and `HttpBackends`) run
in this process on threads, without HTTP towards callers. The naive system
sends to a random server and waits there for one of its slots.
"""

import contextlib
import json
import pathlib
import random
import socket
import statistics
import subprocess
import sys
import tempfile
import threading
import time
import uuid
from collections.abc import Iterator
from typing import Any

from hdrh.histogram import HdrHistogram

from chiverun.core.admission import Admission
from chiverun.core.clock import SystemClock
from chiverun.core.exchange import Answered
from chiverun.core.retries import RetryBudget
from chiverun.core.snapshot import HeldSeat
from chiverun.core.snapshot import Snapshot
from chiverun.core.state import apply_ticket
from chiverun.core.state import empty_state
from chiverun.core.state import State
from chiverun.core.ticket import Length
from chiverun.core.ticket import Region
from chiverun.core.ticket import RequestClass
from chiverun.core.ticket import Server
from chiverun.core.ticket import Service
from chiverun.core.ticket import Ticket
from chiverun.core.ticket import Zone
from chiverun.core.work import Work
from chiverun.integrations.backend import HttpBackends
from chiverun.integrations.backend import OutgoingRequest
from chiverun.integrations.network import AddressMap
from chiverun.integrations.telemetry import Telemetry
from chiverun.runtime.execution import Executor
from chiverun.runtime.execution import ForwardedContent
from chiverun.runtime.execution import HedgeLimits

SERVERS = 6
SLOTS = 4
SECONDS = 4.0
REPETITIONS = 3
CALLERS = 48
_SEATS = 4
_READ = RequestClass(
    name="read", methods=("GET",), repeatable=True, attempts=2
)
_EXPORT = RequestClass(
    name="export",
    methods=("GET",),
    repeatable=True,
    attempts=2,
    length=Length.LONG,
    deadline_ms=10000,
)


class _Instance:
    """The request path of one instance, with a control tick."""

    def __init__(self, state: State, seats: list[int], seed: int) -> None:
        self.clock = SystemClock()
        self._state = state
        self._seats = tuple(
            HeldSeat(index=i, short_opens_at=0.0, long_opens_at=0.0)
            for i in seats
        )
        self.admission = Admission(
            zone="z", clock=self.clock, rng=random.Random(seed)
        )
        self._budget = RetryBudget()
        self._executor = Executor(
            clock=self.clock,
            admission=self.admission,
            backends=HttpBackends(
                clock=self.clock,
                addresses=AddressMap(mapping={}),
                connections=SLOTS,
            ),
            telemetry=Telemetry(instance="i", zone="z", trace_ratio=0.0),
        )
        self.tick()

    def tick(self) -> None:
        self.admission.update(
            Snapshot(
                state=self._state,
                published_at=self.clock.monotonic(),
                zones={},
                seats=self._seats,
                confirmed=True,
                leaving=False,
                leaving_servers=frozenset(),
            )
        )

    def run(self, request_class: RequestClass) -> bool:
        self._budget.deposit()
        deadline = self.clock.monotonic() + request_class.deadline_ms / 1000
        attempt = self._executor.run(
            Work(
                service="desk",
                request_class=request_class,
                source_region="r",
                deadline=deadline,
            ),
            ForwardedContent(
                method="GET",
                path=f"/{request_class.name}?token=t",
                headers={},
                body=b"",
                request_id=uuid.uuid4().hex,
            ),
            frozenset(),
            may_wait=True,
            hedge=HedgeLimits(attempts_left=2, budget=self._budget),
        )
        return isinstance(attempt.end, Answered)


class _Naive:
    """Sends to a random server and waits for one of its slots."""

    def __init__(self, servers: list[Server], seed: int) -> None:
        self._rng = random.Random(seed)
        self._servers = servers
        self._slots = {s.name: threading.Semaphore(s.slots) for s in servers}
        self._clock = SystemClock()
        self._backends = HttpBackends(
            clock=self._clock,
            addresses=AddressMap(mapping={}),
            connections=SLOTS,
        )

    def run(self, request_class: RequestClass) -> bool:
        server = self._rng.choice(self._servers)
        request_id = uuid.uuid4().hex
        with self._slots[server.name]:
            end = self._backends.exchange(
                server.address,
                OutgoingRequest(
                    method="GET",
                    path=f"/{request_class.name}?token=t",
                    headers={"X-Request-Id": request_id},
                    body=b"",
                    request_id=request_id,
                    deadline=self._clock.monotonic() + 60.0,
                    answer_bytes_max=65536,
                    fresh_connection=False,
                ),
            )
        return isinstance(end, Answered)


def _free_port() -> int:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        return listener.getsockname()[1]


@contextlib.contextmanager
def _servers(folder: pathlib.Path) -> Iterator[list[Server]]:
    """Run the backend servers; end exactly these processes."""
    processes = []
    servers = []
    try:
        for number in range(SERVERS):
            name = f"s{number}"
            address = f"127.0.0.1:{_free_port()}"
            args = f"--listen {address} --name {name} --zone z --slots {SLOTS}"
            command = [sys.executable, "-m", "standins.backend", *args.split()]
            command += ["--log", str(folder / name)]
            processes.append(subprocess.Popen(command))
            servers.append(
                Server(
                    name=name,
                    service="desk",
                    zone="z",
                    address=address,
                    slots=SLOTS,
                )
            )
        for server in servers:
            _wait_for(server.address)
        yield servers
    finally:
        for process in processes:
            process.terminate()
        for process in processes:
            process.wait()


def _wait_for(address: str) -> None:
    host, _, port = address.rpartition(":")
    until = time.monotonic() + 20
    while time.monotonic() < until:
        with contextlib.suppress(OSError):
            socket.create_connection((host, int(port)), 0.5).close()
            return
        time.sleep(0.05)
    raise TimeoutError(f"no backend server at {address}")


def _fault(address: str, **faults: Any) -> None:
    body = json.dumps(faults).encode()
    request = (
        f"POST /admin HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    ).encode()
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port)), 5) as conn:
        conn.sendall(request + body)
        conn.recv(1000)


def _drive(systems: list, rate: float, long_share: float, seed: int) -> dict:
    """Offer requests at planned times; late starts count as latency."""
    rng = random.Random(seed)
    plan = []
    at = 0.0
    while (at := at + rng.expovariate(rate)) < SECONDS:
        plan.append((at, _EXPORT if rng.random() < long_share else _READ))
    hist = HdrHistogram(1, 600_000_000, 3)
    lock = threading.Lock()
    counts = {"offered": len(plan), "answered": 0}
    remaining = iter(enumerate(plan))
    start = time.monotonic() + 0.1
    done = threading.Event()

    def tick() -> None:
        while not done.wait(0.1):
            for system in systems:
                if isinstance(system, _Instance):
                    system.tick()

    def work() -> None:
        while True:
            with lock:
                item = next(remaining, None)
            if item is None:
                return
            index, (due, request_class) = item
            time.sleep(max(0.0, start + due - time.monotonic()))
            is_answered = systems[index % len(systems)].run(request_class)
            took_us = int((time.monotonic() - start - due) * 1e6)
            with lock:
                counts["answered"] += is_answered
                if request_class is _READ and is_answered and due > 1.0:
                    hist.record_value(max(1, took_us))

    ticker = threading.Thread(target=tick, daemon=True)
    ticker.start()
    threads = [threading.Thread(target=work) for _ in range(CALLERS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    done.set()
    ticker.join()
    return {**counts, "p99_ms": hist.get_value_at_percentile(99) / 1000}


def real(seed: int) -> Iterator[dict[str, Any]]:
    """Blocking and tail with real processes and HTTP."""
    for measure, rate, long_share, slowed in (
        ("real-blocking", 0.5 * SERVERS * SLOTS / 0.059, 0.1, 0),
        ("real-tail", 0.08 * SERVERS * SLOTS / 0.010, 0.0, 2),
    ):
        with (
            tempfile.TemporaryDirectory() as folder,
            _servers(pathlib.Path(folder)) as servers,
        ):
            yield {
                "measure": measure,
                "seed": seed,
                "repetitions": REPETITIONS,
                "rate_per_s": round(rate),
                **_compare(servers, rate, long_share, slowed, seed),
                "over_slots": _count_over(pathlib.Path(folder)),
            }


def _compare(
    servers: list[Server],
    rate: float,
    long_share: float,
    slowed: int,
    seed: int,
) -> dict[str, Any]:
    ticket = Ticket(
        number=1,
        reason="measure",
        author="measure",
        region=(Region(name="r"),),
        zone=(Zone(name="z", region="r", seats=_SEATS),),
        service=(Service(name="desk", classes=(_READ, _EXPORT)),),
        server=tuple(servers),
    )
    state = apply_ticket(empty_state(), ticket)
    for place, server in enumerate(servers):
        factor = 10.0 if place < slowed else 1.0
        _fault(server.address, cold=False, slow=factor)
    runs: dict[str, list[dict]] = {"real": [], "naive": []}
    for repetition in range(REPETITIONS):
        order = ["real", "naive"]
        for kind in order if repetition % 2 else order[::-1]:
            number = seed + repetition
            systems = (
                [_Naive(servers, number)]
                if kind == "naive"
                else [
                    _Instance(state, [0, 1], number),
                    _Instance(state, [2, 3], number),
                ]
            )
            runs[kind].append(_drive(systems, rate, long_share, number))
    ratios = [
        a["p99_ms"] / b["p99_ms"]
        for a, b in zip(runs["real"], runs["naive"], strict=True)
    ]
    return {
        "requests": sum(r["offered"] for r in runs["real"]),
        "answered": sum(r["answered"] for r in runs["real"]),
        "naive_answered": sum(r["answered"] for r in runs["naive"]),
        "p99_ms": statistics.median(r["p99_ms"] for r in runs["real"]),
        "naive_p99_ms": statistics.median(r["p99_ms"] for r in runs["naive"]),
        "p99_ratio": round(statistics.median(ratios), 3),
        "p99_ratio_worst": round(max(ratios), 3),
    }


def _count_over(folder: pathlib.Path) -> int:
    """Count requests that met a server without a free slot, by its log."""
    return sum(
        '"event": "over"' in line
        for path in folder.iterdir()
        for line in path.read_text().splitlines()
    )
