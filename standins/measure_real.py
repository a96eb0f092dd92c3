"""Checks the simulated load measurements against real processes and HTTP.

Backend servers are stand-in processes reached over HTTP. The request paths
of two instances (`Executor` with `Admission`, hedging and `HttpBackends`)
run on threads of this process; callers reach them without HTTP. The naive
system sends each request to a random server and waits for a free slot there.
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

_SERVER_COUNT = 6
_SLOTS_PER_SERVER = 4
_LOAD_S = 4.0
_WARM_UP_S = 1.0
_UPDATE_INTERVAL_S = 0.1
_REPETITIONS = 3
_CALLER_THREADS = 48
_START_LIMIT_S = 20.0
_SEAT_COUNT = 4
_READ_CLASS = RequestClass(
    name="read", methods=("GET",), repeatable=True, attempts=2
)
_EXPORT_CLASS = RequestClass(
    name="export",
    methods=("GET",),
    repeatable=True,
    attempts=2,
    length=Length.LONG,
    deadline_ms=10000,
)


class _Instance:
    """The request path of one instance and its periodic snapshot update."""

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
                connections=_SLOTS_PER_SERVER,
            ),
            telemetry=Telemetry(instance="i", zone="z", trace_ratio=0.0),
        )
        self.update_snapshot()

    def update_snapshot(self) -> None:
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


class _NaiveSystem:
    """Sends to a random server and waits for a free slot there."""

    def __init__(self, servers: list[Server], seed: int) -> None:
        self._rng = random.Random(seed)
        self._servers = servers
        self._slots = {s.name: threading.Semaphore(s.slots) for s in servers}
        self._clock = SystemClock()
        self._backends = HttpBackends(
            clock=self._clock,
            addresses=AddressMap(mapping={}),
            connections=_SLOTS_PER_SERVER,
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
def _backend_servers(folder: pathlib.Path) -> Iterator[list[Server]]:
    """Start the backend servers; stop only these processes on exit."""
    processes = []
    servers = []
    try:
        for index in range(_SERVER_COUNT):
            name = f"s{index}"
            address = f"127.0.0.1:{_free_port()}"
            args = f"--listen {address} --name {name} --zone z"
            args += f" --slots {_SLOTS_PER_SERVER}"
            command = [sys.executable, "-m", "standins.backend", *args.split()]
            command += ["--log", str(folder / name)]
            processes.append(subprocess.Popen(command))
            servers.append(
                Server(
                    name=name,
                    service="desk",
                    zone="z",
                    address=address,
                    slots=_SLOTS_PER_SERVER,
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
    deadline = time.monotonic() + _START_LIMIT_S
    while time.monotonic() < deadline:
        with contextlib.suppress(OSError):
            socket.create_connection((host, int(port)), 0.5).close()
            return
        time.sleep(0.05)
    raise TimeoutError(
        f"no backend server listens at {address} after {_START_LIMIT_S} s"
    )


def _set_faults(address: str, **faults: Any) -> None:
    body = json.dumps(faults).encode()
    request = (
        f"POST /admin HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    ).encode()
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port)), 5) as conn:
        conn.sendall(request + body)
        conn.recv(1000)


def _run_load(
    systems: list, rate: float, long_share: float, seed: int
) -> dict:
    """Send requests at planned times; latency includes a late start."""
    rng = random.Random(seed)
    plan = []
    due_s = 0.0
    while (due_s := due_s + rng.expovariate(rate)) < _LOAD_S:
        is_long = rng.random() < long_share
        plan.append((due_s, _EXPORT_CLASS if is_long else _READ_CLASS))
    hist = HdrHistogram(1, 600_000_000, 3)
    lock = threading.Lock()
    counts = {"offered": len(plan), "answered": 0}
    remaining = iter(enumerate(plan))
    start = time.monotonic() + 0.1
    stopped = threading.Event()

    def update_snapshots() -> None:
        while not stopped.wait(_UPDATE_INTERVAL_S):
            for system in systems:
                if isinstance(system, _Instance):
                    system.update_snapshot()

    def send_requests() -> None:
        while True:
            with lock:
                item = next(remaining, None)
            if item is None:
                return
            index, (due_s, request_class) = item
            time.sleep(max(0.0, start + due_s - time.monotonic()))
            is_answered = systems[index % len(systems)].run(request_class)
            latency_us = int((time.monotonic() - start - due_s) * 1e6)
            with lock:
                counts["answered"] += is_answered
                if (
                    request_class is _READ_CLASS
                    and is_answered
                    and due_s > _WARM_UP_S
                ):
                    hist.record_value(max(1, latency_us))

    updater = threading.Thread(target=update_snapshots, daemon=True)
    updater.start()
    threads = [
        threading.Thread(target=send_requests) for _ in range(_CALLER_THREADS)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    stopped.set()
    updater.join()
    return {**counts, "p99_ms": hist.get_value_at_percentile(99) / 1000}


def real(seed: int) -> Iterator[dict[str, Any]]:
    """Yield blocking and tail latency with real processes and HTTP."""
    # A request takes 10 ms, a long one 500 ms: 59 ms on average with 10% long
    # ones. The rates load half and 8% of all slots.
    for measure, rate, long_share, slow_server_count in (
        (
            "real-blocking",
            0.5 * _SERVER_COUNT * _SLOTS_PER_SERVER / 0.059,
            0.1,
            0,
        ),
        (
            "real-tail",
            0.08 * _SERVER_COUNT * _SLOTS_PER_SERVER / 0.010,
            0.0,
            2,
        ),
    ):
        with (
            tempfile.TemporaryDirectory() as folder,
            _backend_servers(pathlib.Path(folder)) as servers,
        ):
            yield {
                "measure": measure,
                "seed": seed,
                "repetitions": _REPETITIONS,
                "rate_per_s": round(rate),
                **_compare(servers, rate, long_share, slow_server_count, seed),
                "over_slots": _count_over_slots(pathlib.Path(folder)),
            }


def _compare(
    servers: list[Server],
    rate: float,
    long_share: float,
    slow_server_count: int,
    seed: int,
) -> dict[str, Any]:
    ticket = Ticket(
        number=1,
        reason="measure",
        author="measure",
        region=(Region(name="r"),),
        zone=(Zone(name="z", region="r", seats=_SEAT_COUNT),),
        service=(Service(name="desk", classes=(_READ_CLASS, _EXPORT_CLASS)),),
        server=tuple(servers),
    )
    state = apply_ticket(empty_state(), ticket)
    for position, server in enumerate(servers):
        factor = 10.0 if position < slow_server_count else 1.0
        _set_faults(server.address, cold=False, slow=factor)
    runs: dict[str, list[dict]] = {"real": [], "naive": []}
    for repetition in range(_REPETITIONS):
        kinds = ["real", "naive"]
        for kind in kinds if repetition % 2 else kinds[::-1]:
            run_seed = seed + repetition
            systems = (
                [_NaiveSystem(servers, run_seed)]
                if kind == "naive"
                else [
                    _Instance(state, [0, 1], run_seed),
                    _Instance(state, [2, 3], run_seed),
                ]
            )
            runs[kind].append(_run_load(systems, rate, long_share, run_seed))
    ratios = [
        real_run["p99_ms"] / naive_run["p99_ms"]
        for real_run, naive_run in zip(
            runs["real"], runs["naive"], strict=True
        )
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


def _count_over_slots(folder: pathlib.Path) -> int:
    """Count requests that the servers logged as above their slots."""
    return sum(
        '"event": "over"' in line
        for path in folder.iterdir()
        for line in path.read_text().splitlines()
    )
