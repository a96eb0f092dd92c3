"""Starts and stops the processes of one deployment on loopback.

The demo, the measurements and the end-to-end tests use it. It starts real
processes and sends them signals; nothing is simulated.
"""

import contextlib
import json
import os
import pathlib
import socket
import subprocess
import sys
import time
from collections.abc import Iterator
from typing import Any

import urllib3
from urllib3.exceptions import HTTPError

from standins import deployment
from standins.deployment import Spec

_ROOT = pathlib.Path(__file__).parent.parent
_FIRST_OCTET = 20
_LAST_OCTET = 199
_LOCK_PORT = 6999
_STOP_TIMEOUT_S = 40.0


class Cluster:
    """The processes of one deployment.

    Parameters
    ----------
    spec : Spec
    folder : Path
        Folder for settings, backend servers' logs and callers' records.
    program : list of str
        Command that runs chiverun.
    service_ms, long_ms : float
        Service times of short and long requests at the backend servers.
    """

    # Ports of instances that other zones connect to through the relay.
    routed_ports: tuple[int, ...] = (
        deployment.ENTRY_PORT,
        deployment.FORWARD_PORT,
        deployment.PEER_PORT,
    )

    def __init__(
        self,
        *,
        spec: Spec,
        folder: pathlib.Path,
        program: list[str],
        service_ms: float = 10.0,
        long_ms: float = 500.0,
    ) -> None:
        self.spec = spec
        self.folder = folder
        self.program = program
        self.service_ms = service_ms
        self.long_ms = long_ms
        self.processes: dict[str, subprocess.Popen] = {}
        self._lock, self.network = _reserve_network()
        self.env = {
            **os.environ,
            "PYTHONPATH": str(_ROOT),
            "SHIV_ROOT": str(folder / "shiv"),
            "PYTHONHASHSEED": "0",
        }
        self.http = urllib3.PoolManager(num_pools=128, retries=False)

    def local(self, text: str) -> str:
        """Replace the network of the committed files by this run's network."""
        return text.replace(deployment.NETWORK, self.network)

    def prepare(self) -> None:
        """Write the settings, the tickets and the relay's routes."""
        source = deployment.ROOT / self.spec.name
        for path in source.rglob("*"):
            if path.is_file():
                target = self.folder / path.relative_to(source)
                target.parent.mkdir(parents=True, exist_ok=True)
                target.write_text(self.local(path.read_text()))
        routes = []
        for instance in deployment.instances(self.spec):
            address_map = self._routes_from(instance, routes)
            path = self.folder / "instances" / f"{instance.name}.ini"
            with path.open("a") as stream:
                stream.write(f"\n[network]\naddress_map = {address_map}\n")
        (self.folder / "routes.json").write_text(json.dumps(routes))

    def _routes_from(self, instance, routes: list[dict]) -> str:
        """Add an instance's routes to other zones; return its address map."""
        zones = [zone for zone, _ in self.spec.zones()]
        address_map = []
        others = deployment.instances(self.spec)
        source = zones.index(instance.zone)
        host_number = int(instance.host.rpartition(".")[2])
        for index, other in enumerate(others):
            if other.zone == instance.zone:
                continue
            is_same_region = other.region == instance.region
            relay = (
                f"{self.network}{100 + source * 20 + host_number}.{index + 1}"
            )
            for port in self.routed_ports:
                announced = f"{self.local(other.host)}:{port}"
                routes.append(
                    {
                        "listen": f"{relay}:{port}",
                        "target": announced,
                        "latency_ms": self.spec.zone_ms
                        if is_same_region
                        else self.spec.region_ms,
                        "source": instance.zone,
                        "destination": other.zone,
                    }
                )
                address_map.append(f"{announced}={relay}:{port}")
        self._route_to_store(
            instance, source, host_number, routes, address_map
        )
        return ", ".join(address_map)

    def _route_to_store(
        self, instance, source: int, host_number: int, routes, address_map
    ) -> None:
        """Add the route to the store, so that a partition can include it."""
        store = self.local(deployment.STORE)
        relay = f"{self.network}{100 + source * 20 + host_number}.250:8500"
        is_same_region = instance.region == self.spec.regions[0]
        routes.append(
            {
                "listen": relay,
                "target": store,
                "latency_ms": self.spec.zone_ms
                if is_same_region
                else self.spec.region_ms,
                "source": instance.zone,
                "destination": "platform",
            }
        )
        address_map.append(f"{store}={relay}")

    def start_standins(self) -> None:
        """Start the platform, the relay and the backend servers."""
        self._start_module(
            "platform",
            "standins.platform",
            "--listen",
            self.local(deployment.STORE),
        )
        self._start_module(
            "relay",
            "standins.relay",
            "--routes",
            str(self.folder / "routes.json"),
            "--control",
            self.relay_control,
            "--log",
            str(self.folder / "relay.jsonl"),
        )
        for server in deployment.servers(self.spec):
            self.start_server(server)
        self.wait_for_port(self.local(deployment.STORE))
        self.wait_for_port(self.relay_control)
        for server in deployment.servers(self.spec):
            self.wait_for_port(self.local(server.address))

    def start_server(self, server: deployment.ServerSpec) -> None:
        """Start one backend server."""
        self._start_module(
            server.name,
            "standins.backend",
            "--listen",
            self.local(server.address),
            "--name",
            server.name,
            "--zone",
            server.zone,
            "--slots",
            str(server.service.slots),
            "--service-ms",
            str(self.service_ms),
            "--long-ms",
            str(self.long_ms),
            "--log",
            str(self.folder / f"{server.name}.jsonl"),
        )

    @property
    def relay_control(self) -> str:
        """Control address of the relay."""
        return f"{self.network}0.2:9000"

    def start_instances(self) -> None:
        """Start all instances."""
        for instance in deployment.instances(self.spec):
            self.start_instance(instance.name)

    def start_instance(self, name: str) -> None:
        """Start one instance."""
        path = self.folder / "instances" / f"{name}.ini"
        self._start(name, [*self.program, "serve", "--settings", str(path)])

    def _start_module(self, name: str, module: str, *args: str) -> None:
        self._start(name, [sys.executable, "-m", module, *args])

    def _start(self, name: str, command: list[str]) -> None:
        with open(self.folder / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(
                command,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
                env=self.env,
                cwd=self.folder,
            )

    def run(self, *args: str, timeout_s: float = 30.0) -> tuple[int, str]:
        """Run an operator command; return its exit code and output."""
        completed = subprocess.run(
            [*self.program, *args],
            capture_output=True,
            text=True,
            env=self.env,
            cwd=self.folder,
            timeout=timeout_s,
            check=False,
        )
        return completed.returncode, completed.stdout + completed.stderr

    def submit(self, ticket: str) -> tuple[int, str]:
        """Submit a ticket file of the deployment."""
        return self.run(
            "ticket",
            "submit",
            str(self.folder / "tickets" / ticket),
            "--settings",
            str(self.folder / "operator.ini"),
        )

    def status(self, name: str) -> dict[str, Any] | None:
        """Return an instance's status, or None without a response."""
        instance = next(
            i for i in deployment.instances(self.spec) if i.name == name
        )
        address = f"{self.local(instance.host)}:{deployment.LOOKUP_PORT}"
        return self.get_json(f"http://{address}/v1/status")

    def get_json(self, url: str) -> dict[str, Any] | None:
        """Return a JSON document, or None without a valid response."""
        try:
            resp = self.http.request("GET", url, timeout=2.0, retries=False)
            return json.loads(resp.data)
        except (HTTPError, ValueError):
            return None

    def admin(self, address: str, **fields: Any) -> None:
        """Send an ``/admin`` request, which sets faults of a stand-in."""
        self.http.request(
            "POST",
            f"http://{self.local(address)}/admin",
            body=json.dumps(fields).encode(),
            retries=False,
        )

    def relay(self, command: str) -> None:
        """Send a command to the relay."""
        host, _, port = self.relay_control.rpartition(":")
        with socket.create_connection((host, int(port)), 5) as conn:
            conn.sendall(command.encode() + b"\n")
            conn.recv(16)

    def wait_for_port(self, address: str, timeout_s: float = 30.0) -> None:
        """Wait until an address accepts connections."""
        host, _, port = address.rpartition(":")

        def accepts() -> bool:
            with contextlib.suppress(OSError):
                socket.create_connection((host, int(port)), 1).close()
                return True
            return False

        wait_until(accepts, timeout_s, f"port {address}")

    def wait_ready(self, names: list[str], timeout_s: float = 40.0) -> None:
        """Wait until each instance has an open seat."""

        def ready() -> bool:
            statuses = [self.status(name) for name in names]
            return all(s and s["seats_open"] > 0 for s in statuses)

        wait_until(ready, timeout_s, "ready instances")

    def signal(self, name: str, number: int) -> None:
        """Send a signal to a process that this cluster started."""
        self.processes[name].send_signal(number)

    def stop(self, name: str, timeout_s: float = _STOP_TIMEOUT_S) -> int:
        """Stop a process by SIGTERM; return its exit code, or -9 if killed."""
        process = self.processes.pop(name)
        process.terminate()
        try:
            return process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
            return -9

    def kill(self, name: str) -> None:
        """Kill a process by SIGKILL."""
        process = self.processes.pop(name)
        process.kill()
        process.wait()

    def close(self) -> None:
        """Kill all remaining processes and release the network."""
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait()
        self.processes.clear()
        self._lock.close()


def wait_until(condition, timeout_s: float, description: str) -> None:
    """Wait until a condition holds; raise TimeoutError after the timeout."""
    deadline = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() >= deadline:
            raise TimeoutError(f"{description}: timed out after {timeout_s} s")
        time.sleep(0.05)


def _reserve_network() -> tuple[socket.socket, str]:
    """Reserve a loopback network for this run by binding a lock port."""
    for octet in range(_FIRST_OCTET, _LAST_OCTET):
        lock = socket.socket()
        try:
            lock.bind((f"127.{octet}.0.250", _LOCK_PORT))
        except OSError:
            lock.close()
            continue
        return lock, f"127.{octet}."
    raise RuntimeError("every loopback network for test runs is in use")


@contextlib.contextmanager
def running(cluster: Cluster) -> Iterator[Cluster]:
    """Run a deployment with its first ticket submitted; kill it at exit."""
    try:
        cluster.prepare()
        cluster.start_standins()
        cluster.start_instances()
        code, output = cluster.submit("0001-declare.toml")
        if code != 0:
            raise RuntimeError(f"submitting the first ticket failed: {output}")
        names = [i.name for i in deployment.instances(cluster.spec)]
        cluster.wait_ready(names)
        yield cluster
    finally:
        cluster.close()


def source_program() -> list[str]:
    """Return the command that runs chiverun from the source tree."""
    return [sys.executable, "-m", "chiverun"]
