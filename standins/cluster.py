"""Starts the processes of one deployment on loopback and stops them.

Used by the demo, by measurements and by tests of whole processes. It starts
real processes and sends them signals; it simulates nothing.
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
_STOP_LIMIT_S = 40.0


class Cluster:
    """The processes of one deployment, in a folder of their own.

    Parameters
    ----------
    spec : Spec
    folder : Path
        For settings, logs of backend servers and callers' records.
    program : list of str
        Command that runs chiverun.
    service_ms, long_ms : float
        Service times of short and long requests at the backend servers.
    """

    # Ports of instances that other zones reach through the relay.
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
        self._lock, self.network = _take_network()
        self.env = {
            **os.environ,
            "PYTHONPATH": str(_ROOT),
            "SHIV_ROOT": str(folder / "shiv"),
            "PYTHONHASHSEED": "0",
        }
        self.http = urllib3.PoolManager(num_pools=128, retries=False)

    def local(self, text: str) -> str:
        """Move addresses of the committed files to this run's network."""
        return text.replace(deployment.NETWORK, self.network)

    def prepare(self) -> None:
        """Write settings, tickets and the relay's routes."""
        source = deployment.ROOT / self.spec.name
        for path in source.rglob("*"):
            if path.is_file():
                target = self.folder / path.relative_to(source)
                target.parent.mkdir(parents=True, exist_ok=True)
                target.write_text(self.local(path.read_text()))
        routes = []
        for instance in deployment.instances(self.spec):
            mapping = self._routes_from(instance, routes)
            path = self.folder / "instances" / f"{instance.name}.ini"
            with path.open("a") as stream:
                stream.write(f"\n[network]\naddress_map = {mapping}\n")
        (self.folder / "routes.json").write_text(json.dumps(routes))

    def _routes_from(self, instance, routes: list[dict]) -> str:
        """Add the relay's routes from an instance to other zones."""
        zones = [zone for zone, _ in self.spec.zones()]
        mapping = []
        others = deployment.instances(self.spec)
        source = zones.index(instance.zone)
        number = int(instance.host.rpartition(".")[2])
        for index, other in enumerate(others):
            if other.zone == instance.zone:
                continue
            near = other.region == instance.region
            relay = f"{self.network}{100 + source * 20 + number}.{index + 1}"
            for port in self.routed_ports:
                announced = f"{self.local(other.host)}:{port}"
                routes.append(
                    {
                        "listen": f"{relay}:{port}",
                        "target": announced,
                        "latency_ms": self.spec.zone_ms
                        if near
                        else self.spec.region_ms,
                        "source": instance.zone,
                        "destination": other.zone,
                    }
                )
                mapping.append(f"{announced}={relay}:{port}")
        self._route_to_store(instance, source, number, routes, mapping)
        return ", ".join(mapping)

    def _route_to_store(
        self, instance, source: int, number: int, routes, mapping
    ) -> None:
        """The store is reached through the relay too, so it can be cut."""
        store = self.local(deployment.STORE)
        relay = f"{self.network}{100 + source * 20 + number}.250:8500"
        near = instance.region == self.spec.regions[0]
        routes.append(
            {
                "listen": relay,
                "target": store,
                "latency_ms": self.spec.zone_ms
                if near
                else self.spec.region_ms,
                "source": instance.zone,
                "destination": "platform",
            }
        )
        mapping.append(f"{store}={relay}")

    def start_standins(self) -> None:
        """Start platform, relay and backend servers."""
        self._python(
            "platform",
            "standins.platform",
            "--listen",
            self.local(deployment.STORE),
        )
        self._python(
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
        self._python(
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

    def _python(self, name: str, module: str, *args: str) -> None:
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

    def run(self, *args: str, limit_s: float = 30.0) -> tuple[int, str]:
        """Run an operators' command; return its exit code and output."""
        done = subprocess.run(
            [*self.program, *args],
            capture_output=True,
            text=True,
            env=self.env,
            cwd=self.folder,
            timeout=limit_s,
            check=False,
        )
        return done.returncode, done.stdout + done.stderr

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
        """Return an instance's status, None if it does not answer."""
        instance = next(
            i for i in deployment.instances(self.spec) if i.name == name
        )
        address = f"{self.local(instance.host)}:{deployment.LOOKUP_PORT}"
        return self.get_json(f"http://{address}/v1/status")

    def get_json(self, url: str) -> dict[str, Any] | None:
        """Read a JSON document, None if there is no answer."""
        try:
            resp = self.http.request("GET", url, timeout=2.0, retries=False)
            return json.loads(resp.data)
        except (HTTPError, ValueError):
            return None

    def admin(self, address: str, **order: Any) -> None:
        """Switch faults of a stand-in."""
        self.http.request(
            "POST",
            f"http://{self.local(address)}/admin",
            body=json.dumps(order).encode(),
            retries=False,
        )

    def relay(self, command: str) -> None:
        """Send a command to the relay."""
        host, _, port = self.relay_control.rpartition(":")
        with socket.create_connection((host, int(port)), 5) as conn:
            conn.sendall(command.encode() + b"\n")
            conn.recv(16)

    def wait_for_port(self, address: str, limit_s: float = 30.0) -> None:
        """Wait until an address accepts connections."""
        host, _, port = address.rpartition(":")

        def accepts() -> bool:
            with contextlib.suppress(OSError):
                socket.create_connection((host, int(port)), 1).close()
                return True
            return False

        wait_until(accepts, limit_s, f"port {address}")

    def wait_ready(self, names: list[str], limit_s: float = 40.0) -> None:
        """Wait until instances hold seats that are open."""

        def ready() -> bool:
            statuses = [self.status(name) for name in names]
            return all(s and s["seats_open"] > 0 for s in statuses)

        wait_until(ready, limit_s, "instances ready")

    def signal(self, name: str, number: int) -> None:
        """Send a signal to a process that this cluster started."""
        self.processes[name].send_signal(number)

    def stop(self, name: str, limit_s: float = _STOP_LIMIT_S) -> int:
        """Stop a process by SIGTERM; return its exit code."""
        process = self.processes.pop(name)
        process.terminate()
        try:
            return process.wait(limit_s)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
            return -9

    def kill(self, name: str) -> None:
        """End a process without warning."""
        process = self.processes.pop(name)
        process.kill()
        process.wait()

    def close(self) -> None:
        """End all processes that are left."""
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait()
        self.processes.clear()
        self._lock.close()


def wait_until(condition, limit_s: float, what: str) -> None:
    """Wait for a condition with a generous limit."""
    deadline = time.monotonic() + limit_s
    while not condition():
        if time.monotonic() >= deadline:
            raise TimeoutError(f"{what}: not within {limit_s} s")
        time.sleep(0.05)


def _take_network() -> tuple[socket.socket, str]:
    """Reserve a part of the loopback range for this run."""
    for octet in range(_FIRST_OCTET, _LAST_OCTET):
        lock = socket.socket()
        try:
            lock.bind((f"127.{octet}.0.250", _LOCK_PORT))
        except OSError:
            lock.close()
            continue
        return lock, f"127.{octet}."
    raise RuntimeError("no free part of the loopback range")


@contextlib.contextmanager
def running(cluster: Cluster) -> Iterator[Cluster]:
    """Start stand-ins and instances, declare the deployment, end all."""
    try:
        cluster.prepare()
        cluster.start_standins()
        cluster.start_instances()
        code, output = cluster.submit("0001-declare.toml")
        if code != 0:
            raise RuntimeError(f"first ticket: {output}")
        names = [i.name for i in deployment.instances(cluster.spec)]
        cluster.wait_ready(names)
        yield cluster
    finally:
        cluster.close()


def source_program() -> list[str]:
    """Return the command that runs chiverun from the source tree."""
    return [sys.executable, "-m", "chiverun"]
