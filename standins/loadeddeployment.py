"""A deployment on loopback under load, with audited figures."""

import contextlib
import pathlib
import subprocess
import tempfile
import time
from collections.abc import Iterator
from typing import Any

from standins import audit
from standins import demo
from standins import deployment
from standins.cluster import Cluster
from standins.cluster import running
from standins.cluster import source_program
from standins.cluster import wait_until

Result = dict[str, Any]
_SETTLE_S = 3.0
_AUDITED = (
    "requests",
    "answered",
    "not_run",
    "unknown",
    "wrong_answers",
    "ran_twice",
    "not_run_but_ran",
    "cut_in_flight",
    "over_cap",
    "over_link",
    "late_starts",
    "started_while_draining",
    "unreadable",
    "p50_ms",
    "p99_ms",
)


class LoadedDeployment:
    """A deployment under load from callers."""

    def __init__(self, cluster: Cluster, load: subprocess.Popen) -> None:
        self.cluster = cluster
        self.spec = cluster.spec
        self.load = load
        self.last_ticket = 1

    def submit(self, text: str) -> float:
        """Submit a ticket; return the time when it is in force everywhere."""
        self.last_ticket += 1
        path = self.cluster.folder / "tickets" / f"{self.last_ticket}.toml"
        path.write_text(self.cluster.local(text))
        code, output = self.cluster.submit(path.name)
        if code != 0:
            raise RuntimeError(
                f"submission of {path.name} exited with code {code}: {output}"
            )
        names = [
            i.name
            for i in deployment.instances(self.spec)
            if i.name in self.cluster.processes
        ]

        def is_in_force() -> bool:
            statuses = [self.cluster.status(name) for name in names]
            return all(s and s["number"] >= self.last_ticket for s in statuses)

        wait_until(is_in_force, 30.0, f"ticket {self.last_ticket} in force")
        return time.time()

    def finish(self) -> None:
        """Wait until the callers exit."""
        code = self.load.wait(120)
        if code != 0:
            raise RuntimeError(f"callers exited with code {code}, not 0")

    def records(self) -> audit.Records:
        """Read the logs of callers, backend servers and relay."""
        return audit.read_records(
            self.cluster.folder,
            [s.name for s in deployment.servers(self.spec)],
        )

    def limits(self, **changes) -> audit.Limits:
        """Return the limits that the audit checks."""
        return audit.Limits(
            region_of_zone=dict(self.spec.zones()),
            link_mbit_per_s=self.spec.link_mbit_per_s,
            **changes,
        )

    def figures(self, **changes) -> Result:
        """Audit the logs; return the printed figures."""
        figures = audit.audit(self.records(), self.limits(**changes))
        return {name: figures[name] for name in _AUDITED}


@contextlib.contextmanager
def deployment_under_load(
    name: str, seconds: float, seed: int
) -> Iterator[LoadedDeployment]:
    """Start a deployment and its callers; stop all of them on exit."""
    with tempfile.TemporaryDirectory() as temporary:
        folder = pathlib.Path(temporary)
        cluster = Cluster(
            spec=deployment.SPECS[name],
            folder=folder,
            program=source_program(),
        )
        with running(cluster):
            load = demo.start_callers(cluster, seconds, seed)
            try:
                time.sleep(_SETTLE_S)
                yield LoadedDeployment(cluster, load)
            finally:
                load.kill()
                load.wait()
