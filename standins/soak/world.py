"""Processes, stand-ins and proxies of one soak test, and their faults."""

import asyncio
import itertools
import json
import os
import pathlib
import random
import signal
import sys
import tempfile

from chiverun.core.ids import Address
from standins.metastore import Faults
from standins.metastore import MetaStore
from standins.soak.proxy import Mode
from standins.soak.proxy import Proxy
from standins.upstream import Upstream
from standins.upstream import UpstreamFaults

_ROOT = pathlib.Path(__file__).parent.parent.parent
ZONES = {"a1": "a", "b1": "b"}
EDGES = 3
UPSTREAMS = 4
SERVICE_TIME_S = 0.03
GRACE_S = 6.0
START_LIMIT_S = 20.0
FIRST_PORT = 21000


class Addresses:
    """Loopback addresses that no other soak test and no client uses."""

    def __init__(self, *, seed: int) -> None:
        self.ip = f"127.{1 + seed % 250}.{1 + os.getpid() % 250}.1"
        self._ports = itertools.count(FIRST_PORT)

    def next(self) -> Address:
        """Return the next unused address."""
        return Address(f"{self.ip}:{next(self._ports)}")


class EdgeProcess:
    """One edge instance in its own process."""

    def __init__(
        self, *, folder: str, index: int, store: Address, addresses: Addresses
    ) -> None:
        self.name = f"edge-{index}"
        self.listen = {
            name: addresses.next()
            for name in ("front", "ready", "control", "directory")
        }
        self.store_proxy = Proxy(bind=addresses.next(), to=store)
        self._metrics = addresses.next()
        self.path = pathlib.Path(folder) / f"{self.name}.json"
        self.zone = list(ZONES)[index % len(ZONES)]
        self.process: asyncio.subprocess.Process | None = None
        self._starting = asyncio.Lock()

    def write_settings(self, seeds: list[Address]) -> None:
        """Write the settings file in the platform's format."""
        ip, _, metrics = self._metrics.rpartition(":")
        body = {
            "nodeName": self.name,
            "ip": ip,
            "zone": self.zone,
            "region": ZONES[self.zone],
            "zones": ZONES,
            "listen": self.listen,
            "innerPorts": [0, int(metrics)],
            "seeds": seeds,
            "limits": {
                "cpuShare": 1,
                "cores": 1,
                "memoryMb": 300,
                "linkMbps": 1000,
            },
            "bounds": [f"grace={GRACE_S:g}s", "budgetExtra=60"],
            "platform": {"address": self.store_proxy.bind},
        }
        self.path.write_text(json.dumps(body))

    async def start(self) -> None:
        """Start the process."""
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "chiverun",
            "platform",
            "serve",
            cwd=_ROOT,
            env={**os.environ, "CHIVERUN_CONFIG": str(self.path)},
            stdout=asyncio.subprocess.DEVNULL,
        )

    async def restart(self, ended: asyncio.subprocess.Process) -> None:
        """Replace the `ended` process unless another fault has done so."""
        async with self._starting:
            if self.process is ended:
                await self.start()

    def send_signal(self, signum: signal.Signals) -> None:
        """Signal the process if it is running."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signum)


class SoakEnvironment:
    """All parts of one soak test except its clients."""

    def __init__(self, *, seed: int) -> None:
        self.rng = random.Random(seed)
        self.trouble_rng = random.Random(f"trouble {seed}")
        self._limit_rng = random.Random(f"limit {seed}")
        self.violations: list[str] = []
        self.events: list[str] = []
        self.store = MetaStore()
        self.upstreams: list[Upstream] = []
        self.proxies: list[Proxy] = []
        self.edges: list[EdgeProcess] = []
        self.version = 1
        self._addresses = Addresses(seed=seed)
        self._folder = tempfile.TemporaryDirectory()
        self._listener: asyncio.Server | None = None

    async def start(self) -> None:
        """Start all parts and wait until every instance is ready."""
        address = self._addresses.next()
        self._listener = await self.store.start(address)
        await self.put_state()
        for i in range(UPSTREAMS):
            await self._add_upstream(i)
        self.edges = [
            EdgeProcess(
                folder=self._folder.name,
                index=i,
                store=address,
                addresses=self._addresses,
            )
            for i in range(EDGES)
        ]
        seeds = [edge.listen["control"] for edge in self.edges]
        for edge in self.edges:
            await edge.store_proxy.start()
            edge.write_settings(seeds)
            await edge.start()
        for edge in self.edges:
            await self.wait_ready(edge)

    async def _add_upstream(self, index: int) -> None:
        upstream = Upstream(
            name=f"u{index}",
            service="works",
            address=self._addresses.next(),
            zone=list(ZONES)[index % len(ZONES)],
        )
        upstream.faults = UpstreamFaults(delay_s=SERVICE_TIME_S)
        await upstream.start()
        proxy = Proxy(bind=self._addresses.next(), to=upstream.address)
        await proxy.start()
        self.upstreams.append(upstream)
        self.proxies.append(proxy)
        await self.register(index)

    def name_limit(self) -> Upstream:
        """Let one upstream name a limit from now on; return it."""
        upstream = self._limit_rng.choice(self.upstreams)
        upstream.faults.limit = f"{self._limit_rng.uniform(0.5, 4.0):.1f}"
        self.events.append(f"{upstream.name} names {upstream.faults.limit}")
        return upstream

    async def register(self, index: int, **changes) -> None:
        """Register an upstream under the address of its proxy."""
        upstream = self.upstreams[index]
        entry = upstream.entry(address=self.proxies[index].bind, **changes)
        await self.store.put(f"servers/{upstream.name}", entry)

    async def put_state(self) -> None:
        """Write the next desired state."""
        self.version += 1
        body = {
            "version": self.version,
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 65536,
                "headerTimeout": "3s",
                "idleTimeout": "15s",
            },
            "listeners": [
                {
                    "host": "mill.example",
                    "rules": [
                        _rule("read", "safe"),
                        _rule("book", "unsafe"),
                    ],
                }
            ],
            "clusters": [
                {
                    "name": "works",
                    "healthPath": "/health",
                    "maxConns": 300,
                    "coldStart": "1s",
                    "coldPerS": 20,
                }
            ],
        }
        await self.store.put("op/config", json.dumps(body).encode())

    async def wait_ready(self, edge: EdgeProcess) -> None:
        """Wait until an instance reports that it is ready."""
        host, port = edge.listen["ready"].split(":")
        request = b"GET /-/readiness HTTP/1.1\r\nHost: x\r\n\r\n"
        for _ in range(int(START_LIMIT_S / 0.1)):
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(request)
                line = await asyncio.wait_for(reader.readline(), 1.0)
                writer.close()
                if b" 200 " in line:
                    return
            except (OSError, TimeoutError):
                pass
            await asyncio.sleep(0.1)
        self.violations.append(
            f"{edge.name} was not ready within {START_LIMIT_S} s"
        )

    async def stop(self) -> None:
        """End all started processes and close all listeners and proxies."""
        for edge in self.edges:
            edge.send_signal(signal.SIGCONT)
            edge.send_signal(signal.SIGKILL)
            if edge.process is not None:
                await edge.process.wait()
            edge.store_proxy.stop()
        for proxy in self.proxies:
            proxy.stop()
        for upstream in self.upstreams:
            upstream.stop()
        self._listener.close()
        # Lets cancelled tasks finish before the event loop closes.
        await asyncio.sleep(0.1)
        self._folder.cleanup()

    async def inject_fault(self) -> None:
        """Inject one random fault and revert it after a random time."""
        kinds = (
            self._store_path_fault,
            self._upstream_path_fault,
            self._store_fault,
            self._upstream_fault,
            self._pause_edge,
            self._kill_edge,
            self._stop_edge,
            self._drain_upstream,
            self._publish_states,
        )
        await self.rng.choice(kinds)()

    def _record_event(self, description: str) -> None:
        self.events.append(description)

    async def _store_path_fault(self) -> None:
        edge = self.rng.choice(self.edges)
        await self._inject_path_fault(
            edge.store_proxy, f"store path of {edge.name}"
        )

    async def _upstream_path_fault(self) -> None:
        index = self.rng.randrange(UPSTREAMS)
        await self._inject_path_fault(self.proxies[index], f"path to u{index}")

    async def _inject_path_fault(self, proxy: Proxy, path: str) -> None:
        mode = self.rng.choice([m for m in Mode if m is not Mode.PASS])
        self._record_event(f"{path}: {mode.value}")
        proxy.mode = mode
        await asyncio.sleep(self.rng.uniform(0.5, 3.0))
        proxy.mode = Mode.PASS
        proxy.reset()

    async def _store_fault(self) -> None:
        faults = self.rng.choice(
            [
                Faults(refuse_with=503),
                Faults(refuse_with=429),
                Faults(silent=True),
                Faults(delay_s=0.4),
                Faults(lose_writes=2),
            ]
        )
        self._record_event(f"store: {faults}")
        self.store.faults = faults
        await asyncio.sleep(self.rng.uniform(0.5, 4.0))
        if self.rng.random() < 0.4:
            self._record_event("store drops its history")
            self.store.forget_history()
        self.store.faults = Faults()

    async def _upstream_fault(self) -> None:
        index = self.rng.randrange(UPSTREAMS)
        faults = self.rng.choice(
            [
                UpstreamFaults(reset=True),
                UpstreamFaults(shed=True),
                UpstreamFaults(extra=True, delay_s=SERVICE_TIME_S),
                UpstreamFaults(status=500),
                UpstreamFaults(delay_s=1.5),
                UpstreamFaults(answer=b"HTTP/1.1 200 OK\r\n\r\n"),
                UpstreamFaults(answer=b"\x00\xff\r\n\r\n"),
            ]
        )
        self._record_event(f"u{index}: {faults}")
        self.upstreams[index].faults = faults
        await asyncio.sleep(self.rng.uniform(0.5, 3.0))
        self.upstreams[index].faults = UpstreamFaults(delay_s=SERVICE_TIME_S)

    async def inject_trouble(self) -> None:
        """Inject a fault of a server in trouble, or a long pause."""
        rng = self.trouble_rng
        if rng.random() < 0.2:
            edge = rng.choice(self.edges)
            self._record_event(f"{edge.name} paused for long")
            edge.send_signal(signal.SIGSTOP)
            await asyncio.sleep(rng.uniform(3.0, 6.0))
            edge.send_signal(signal.SIGCONT)
            return
        index = rng.randrange(UPSTREAMS)
        faults = rng.choice(
            [
                UpstreamFaults(answer=b"", endless=b"\x00\xff" * 500),
                UpstreamFaults(answer=_OK, endless=b"X: " + b"a" * 997),
                UpstreamFaults(answer=_OK + b"\r\n", endless=b"a" * 1000),
                UpstreamFaults(answer=b"", endless=_INTERIM),
                UpstreamFaults(copy_after_s=0.0),
                UpstreamFaults(copy_after_s=rng.uniform(0.0, 0.5)),
            ]
        )
        self._record_event(f"u{index}: {faults}")
        self.upstreams[index].faults = faults
        await asyncio.sleep(rng.uniform(0.3, 1.5))
        self.upstreams[index].faults = UpstreamFaults(delay_s=SERVICE_TIME_S)

    async def _pause_edge(self) -> None:
        edge = self.rng.choice(self.edges)
        self._record_event(f"{edge.name} paused")
        edge.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self.rng.uniform(0.3, 3.0))
        edge.send_signal(signal.SIGCONT)

    async def _kill_edge(self) -> None:
        edge = self.rng.choice(self.edges)
        self._record_event(f"{edge.name} killed")
        process = edge.process
        edge.send_signal(signal.SIGKILL)
        await process.wait()
        await asyncio.sleep(self.rng.uniform(0.0, 1.0))
        await edge.restart(process)

    async def _stop_edge(self) -> None:
        edge = self.rng.choice(self.edges)
        process = edge.process
        self._record_event(f"{edge.name} stopped")
        for _ in range(self.rng.randint(1, 3)):
            edge.send_signal(signal.SIGTERM)
            edge.send_signal(signal.SIGHUP)
        try:
            await asyncio.wait_for(process.wait(), GRACE_S + 4.0)
        except TimeoutError:
            self.violations.append(
                f"{edge.name} ran for 4 s past its grace period"
            )
            return
        # The signal itself ends the process if a kill overlaps the stop or
        # if the stop comes before the signal handlers are installed.
        if process.returncode not in (0, -signal.SIGKILL, -signal.SIGTERM):
            self.violations.append(
                f"{edge.name} exited with status {process.returncode}"
            )
        await edge.restart(process)

    async def _drain_upstream(self) -> None:
        index = self.rng.randrange(UPSTREAMS)
        self._record_event(f"u{index} drained")
        await self.register(index, state="draining")
        await asyncio.sleep(self.rng.uniform(1.0, 4.0))
        await self.register(index, sequence=2)

    async def _publish_states(self) -> None:
        self._record_event("desired state updated repeatedly")
        for _ in range(self.rng.randint(1, 6)):
            await self.put_state()
            await asyncio.sleep(0.1)


_OK = b"HTTP/1.1 200 OK\r\n"
_INTERIM = b"HTTP/1.1 103 Early Hints\r\n\r\n" * 20


def _rule(name: str, kind: str) -> dict:
    return {
        "name": name,
        "kind": kind,
        "targetLatency": "200ms",
        "sticky": True,
        "match": {"prefix": f"/{name}/"},
        "action": {
            "service": "works",
            "timeout": "2s",
            "maxAttempts": 2,
            "homeRegions": [],
        },
    }
