"""Demonstrates a whole deployment as separate processes on loopback.

Submits tickets (including a shift and a drain), sends callers' load, restarts
one instance gracefully, stops all processes and audits the run against the
backend servers' own logs. Exits non-zero when a guarantee is broken.
"""

import argparse
import json
import pathlib
import subprocess
import sys
import tempfile
import threading
import time
from typing import Any

from chiverun.core.ticketrecords import HEAD_KEY
from standins import audit
from standins import deployment
from standins.cluster import Cluster
from standins.cluster import running
from standins.cluster import source_program

IN_FORCE_LIMIT_MS = 3000
# Time after which waiting for a ticket to be in force ends.
IN_FORCE_TIMEOUT_S = 30.0
CALLERS_PER_REGION = 16
RATE_PER_CALLER = 4.0
SHIFT_CAP_PER_S = 20
_FIGURES_THAT_MUST_BE_ZERO = (
    "wrong_answers",
    "ran_twice",
    "not_run_but_ran",
    "cut_in_flight",
    "over_cap",
    "over_link",
    "late_starts",
    "started_while_draining",
    "unreadable",
    "failed_stops",
)


class InForceClock:
    """Measures how long tickets take to be in force on all instances.

    `worst_ms` is the longest time of all tickets submitted.
    """

    def __init__(self, *, cluster: Cluster) -> None:
        self._cluster = cluster
        self.worst_ms = 0.0

    def submit(self, ticket: str, number: int) -> None:
        """Submit a ticket and wait until every live instance applies it.

        The time is measured from the store's acceptance of the ticket, so
        it excludes the start-up of the operator command. An instance that
        starts during the submission is not live: it serves no requests yet.
        """
        processes_before = dict(self._cluster.processes)
        code, output = self._cluster.submit(ticket)
        if code != 0:
            raise RuntimeError(f"submitting {ticket} failed: {output}")
        names = [
            i.name
            for i in deployment.instances(self._cluster.spec)
            if i.name in processes_before
            and self._cluster.processes.get(i.name) is processes_before[i.name]
        ]
        accepted_at = self._accepted_at()
        while not all(self._has_applied(name, number) for name in names):
            if time.monotonic() - accepted_at > IN_FORCE_TIMEOUT_S:
                break
            time.sleep(0.02)
        elapsed_ms = (time.monotonic() - accepted_at) * 1000
        self.worst_ms = max(self.worst_ms, elapsed_ms)

    def _accepted_at(self) -> float:
        store = self._cluster.local(deployment.STORE)
        write_times = self._cluster.get_json(f"http://{store}/admin/written")
        return write_times[HEAD_KEY]

    def _has_applied(self, name: str, number: int) -> bool:
        status = self._cluster.status(name)
        return status is not None and status["number"] >= number


def callers_plan(cluster: Cluster) -> dict[str, Any]:
    """Return the plan file of the callers."""
    spec = cluster.spec
    kinds = []
    for service in spec.services:
        kinds += [
            _request_kind("GET", service, service.read, 0.35, True, 2000),
            _request_kind(
                "GET", service, service.long_read, 0.05, True, 10000
            ),
            _request_kind("POST", service, service.write, 0.10, False, 3000),
        ]
    zones = spec.zones()
    callers = []
    for region_index, region in enumerate(spec.regions):
        lookups = [
            f"{cluster.local(i.host)}:{deployment.LOOKUP_PORT}"
            for i in deployment.instances(spec)
            if i.region == region
        ]
        for number in range(CALLERS_PER_REGION):
            block = region_index * 2 + number % 2 + 1
            assert zones[block - 1][1] == region
            callers.append(
                {
                    "region": region,
                    "client": f"{cluster.network}"
                    f"{deployment.CALLERS_OCTET + block - 1}.{number + 1}",
                    "lookups": lookups,
                }
            )
    return {
        "kinds": kinds,
        "callers": callers,
        "rate_per_caller": RATE_PER_CALLER,
    }


def _request_kind(
    method, service, path, weight, repeatable, deadline_ms
) -> dict:
    return {
        "method": method,
        "path": f"{service.name}/{path}",
        "weight": weight,
        "is_repeatable": repeatable,
        "deadline_ms": deadline_ms,
    }


def start_callers(cluster: Cluster, seconds: float, seed: int):
    """Start the callers as a separate process."""
    (cluster.folder / "plan.json").write_text(
        json.dumps(callers_plan(cluster))
    )
    return subprocess.Popen(
        [
            sys.executable,
            "-m",
            "standins.callers",
            "--plan",
            str(cluster.folder / "plan.json"),
            "--seconds",
            str(seconds),
            "--seed",
            str(seed),
            "--log",
            str(cluster.folder / "callers.jsonl"),
        ],
        env=cluster.env,
    )


def demo(cluster: Cluster, seconds: float, seed: int) -> dict[str, Any]:
    """Run the demonstration; return the audit's figures."""
    clock = InForceClock(cluster=cluster)
    spec = cluster.spec
    names = [i.name for i in deployment.instances(spec)]
    callers_process = start_callers(cluster, seconds, seed)
    failed_stops = 0
    try:
        time.sleep(seconds * 0.1)
        clock.submit("0002-shift.toml", 2)
        shift_started_at = time.time()
        servers = deployment.servers(spec)
        time.sleep(seconds * 0.2)
        drain = audit.Drain(server=servers[0].name, at=time.time())
        clock.submit("0003-drain.toml", 3)
        restart = threading.Thread(
            target=lambda: restart_codes.append(
                _restart_instance(cluster, names[0])
            )
        )
        restart_codes: list[int] = []
        restart.start()
        time.sleep(seconds * 0.3)
        shift_ended_at = time.time()
        clock.submit("0004-end-shift.toml", 4)
        callers_process.wait(seconds + 60)
        restart.join()
        failed_stops += sum(1 for code in restart_codes if code != 0)
        failed_stops += callers_process.returncode != 0
    finally:
        callers_process.kill()
        callers_process.wait()
    codes = _stop_all(cluster, names)
    failed_stops += sum(1 for code in codes if code != 0)
    cap = audit.ShiftCap(
        service=spec.services[0].name,
        source=spec.regions[1],
        target=spec.regions[0],
        cap_per_s=SHIFT_CAP_PER_S,
        first=shift_started_at,
        last=shift_ended_at,
    )
    figures = audit.audit(
        audit.read_records(cluster.folder, [s.name for s in servers]),
        audit.Limits(
            region_of_zone=dict(spec.zones()),
            shift_caps=(cap,),
            drains=(drain,),
            link_mbit_per_s=spec.link_mbit_per_s,
        ),
    )
    figures["failed_stops"] = failed_stops
    figures["ticket_in_force_ms_max"] = round(clock.worst_ms)
    return figures


def _restart_instance(cluster: Cluster, name: str) -> int:
    """Restart an instance gracefully; return the exit code of its stop.

    Wait until it is ready: a signal during the interpreter's start-up kills
    the process at once, so the next stop would not test a graceful stop.
    """
    code = cluster.stop(name)
    cluster.start_instance(name)
    cluster.wait_ready([name])
    return code


def _stop_all(cluster: Cluster, names: list[str]) -> list[int]:
    codes: list[int] = []
    threads = [
        threading.Thread(target=lambda n=n: codes.append(cluster.stop(n)))
        for n in names
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return codes


def are_guarantees_kept(figures: dict[str, Any]) -> bool:
    """Return whether the run kept all guarantees."""
    return (
        all(figures[name] == 0 for name in _FIGURES_THAT_MUST_BE_ZERO)
        and figures["ticket_in_force_ms_max"] <= IN_FORCE_LIMIT_MS
        and figures["answered"] >= 0.99 * figures["requests"] > 0
    )


def main() -> None:
    """Run the demonstration."""
    parser = argparse.ArgumentParser()
    parser.add_argument(
        "--deployment", choices=sorted(deployment.SPECS), default="inzira"
    )
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--program", default="")
    parser.add_argument("--keep", default="")
    args = parser.parse_args()
    program = (
        [sys.executable, args.program] if args.program else source_program()
    )
    with tempfile.TemporaryDirectory() as temporary:
        folder = pathlib.Path(args.keep or temporary)
        folder.mkdir(parents=True, exist_ok=True)
        cluster = Cluster(
            spec=deployment.SPECS[args.deployment],
            folder=folder,
            program=program,
        )
        cluster.run("version")
        with running(cluster):
            figures = demo(cluster, args.seconds, args.seed)
    print(json.dumps(figures))
    sys.exit(0 if are_guarantees_kept(figures) else 1)


if __name__ == "__main__":
    main()
