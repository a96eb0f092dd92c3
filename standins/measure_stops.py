"""Measures drains, shifts, links and rolling restarts on real processes.

Each function starts a deployment on loopback, sends load to it, and yields
one dictionary per result, audited from the backend servers' own logs.
``python -m standins.measure_stops NAME --seed N`` prints JSON lines.
"""

import argparse
import json
import os
import random
import signal
import threading
import time
from collections.abc import Callable
from collections.abc import Iterator

from standins import audit
from standins import deployment
from standins.deployment import ServerSpec
from standins.loadeddeployment import deployment_under_load
from standins.loadeddeployment import LoadedDeployment
from standins.loadeddeployment import Result

_DRAIN_S = 7.0
_LIST_LAG_S = 5.0
_SECOND_SIGNAL_DELAY_S = 0.5
_RESPONSE_PADDING_BYTES = 20_000
_NARROW_MBIT_PER_S = 2.0


def _machine() -> str:
    pages = os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")
    return f"{os.cpu_count()} cores, {pages >> 30} GB"


# Drains.


def drain(seed: int) -> Iterator[Result]:
    """Drain one server through each drain signal alone."""
    with deployment_under_load("inzira", 9 * _DRAIN_S, seed) as run:
        cluster = run.cluster
        servers = deployment.servers(run.spec)
        drained: dict[str, audit.Drain] = {}

        def drain_by_fault(fault: str) -> Callable[[ServerSpec], None]:
            return lambda s: cluster.admin(s.address, **{fault: True})

        def drain_by_ticket(server: ServerSpec) -> None:
            run.submit(
                deployment.drain_ticket(run.spec, run.last_ticket + 1, server)
            )

        def drain_by_list(server: ServerSpec) -> None:
            cluster.admin(deployment.STORE, leaving=[server.name])

        store = deployment.STORE
        cluster.admin(
            store,
            lag_s=0.0,
            services={
                service.name: {
                    s.name: cluster.local(s.address)
                    for s in servers
                    if s.service is service
                }
                for service in run.spec.services
            },
        )
        for number, (name, start_drain, store_faults) in enumerate(
            (
                ("ticket", drain_by_ticket, {}),
                ("instance list", drain_by_list, {}),
                ("lagging list only", drain_by_list, {"lag_s": _LIST_LAG_S}),
                ("health, no store", drain_by_fault("draining_health"), None),
                (
                    "own response, no store",
                    drain_by_fault("draining_work"),
                    None,
                ),
                ("server, no store", drain_by_fault("draining"), None),
            )
        ):
            faults = {"outage": True} if store_faults is None else store_faults
            cluster.admin(store, **faults)
            time.sleep(1.0)
            server = servers[number]
            drained[name] = audit.Drain(server=server.name, at=time.time())
            start_drain(server)
            time.sleep(_DRAIN_S)
        cluster.admin(store, outage=False)
        run.finish()
        records = run.records()
        for name, audited_drain in drained.items():
            yield _drain_result(run, name, audited_drain, records, seed)
        # A list that lags 5 s exceeds the limit of a drain; the other signals
        # must keep it.
        yield {
            "measure": "drain",
            "case": "all",
            "seed": seed,
            "machine": _machine(),
            **run.figures(
                drains=tuple(
                    d for n, d in drained.items() if n != "lagging list only"
                )
            ),
        }


def _drain_result(
    run: LoadedDeployment,
    name: str,
    audited_drain: audit.Drain,
    records: audit.Records,
    seed: int,
) -> Result:
    """Return the time from a drain to the last work sent to its server."""
    sent_s = [
        e["t"] - audited_drain.at
        for e in records.events
        if e["server"] == audited_drain.server
        and e["event"] in ("start", "shed")
    ]
    after_s = [t for t in sent_s if 0 <= t <= _DRAIN_S]
    return {
        "measure": "drain",
        "case": name,
        "seed": seed,
        "machine": _machine(),
        "deployment": run.spec.name,
        "server": audited_drain.server,
        "sent_in_3_s_before": sum(1 for t in sent_s if -3 <= t < 0),
        "sent_after_drain": len(after_s),
        "last_work_ms": round(max(after_s, default=0.0) * 1000),
    }


# Shifts.


def shift(seed: int) -> Iterator[Result]:
    """Shift under a cap while instances of the target region restart."""
    with deployment_under_load("inzira", 62.0, seed) as run:
        target = run.spec.regions[0]
        names = [
            i.name
            for i in deployment.instances(run.spec)
            if i.region == target
        ]
        cases = (
            (0.5, 20, lambda: _restart_gracefully(run, names[0])),
            (0.5, 8, lambda: _kill_and_restart(run, names[2])),
            (1.0, 2, lambda: None),
            (1.0, 500, lambda: None),
        )
        caps = []
        for fraction, cap_per_s, restart in cases:
            text = deployment.shift_ticket(
                run.spec,
                run.last_ticket + 1,
                fraction=fraction,
                cap_per_s=cap_per_s,
            )
            started_at = time.time()
            first = run.submit(text)
            restart()
            time.sleep(max(0.0, started_at + 12.0 - time.time()))
            caps.append(
                (
                    fraction,
                    audit.ShiftCap(
                        service=run.spec.services[0].name,
                        source=run.spec.regions[1],
                        target=target,
                        cap_per_s=cap_per_s,
                        first=first,
                        last=time.time(),
                    ),
                )
            )
        run.finish()
        records = run.records()
        for fraction, cap in caps:
            yield _shift_result(run, records, fraction, cap, seed)
        yield {
            "measure": "shift",
            "case": "all",
            "seed": seed,
            "machine": _machine(),
            **run.figures(shift_caps=tuple(cap for _, cap in caps)),
        }


def _shift_result(
    run: LoadedDeployment,
    records: audit.Records,
    fraction: float,
    cap: audit.ShiftCap,
    seed: int,
) -> Result:
    """Return the rate of a shift, with its cap and its target fraction.

    The naive version moves a random share of the same requests, uncapped.
    """
    starts = [e for e in records.events if e["event"] == "start"]
    moved = audit.shifted_start_times(starts, cap, run.limits())
    offered = sorted(
        r["t"]
        for r in records.callers
        if r["region"] == cap.source
        and r["path"].startswith(f"{cap.service}/")
        and cap.first <= r["t"] <= cap.last
    )
    rng = random.Random(seed)
    naive = [t for t in offered if rng.random() < fraction]
    seconds = cap.last - cap.first
    return {
        "measure": "shift",
        "case": f"fraction {fraction}, cap {cap.cap_per_s}/s",
        "seed": seed,
        "machine": _machine(),
        "offered_per_s": round(len(offered) / seconds, 1),
        "moved_per_s": round(len(moved) / seconds, 1),
        "moved_in_last_half_per_s": round(
            sum(1 for t in moved if t > cap.last - seconds / 2)
            / (seconds / 2),
            1,
        ),
        "most_in_a_second": _most_in_a_second(moved),
        "over": audit.count_over_cap(moved, cap.cap_per_s),
        "goal_reached_s": _goal_reached_s(moved, offered, fraction, cap),
        "naive_most_in_a_second": _most_in_a_second(naive),
        "naive_over": audit.count_over_cap(naive, cap.cap_per_s),
    }


def _most_in_a_second(times: list[float]) -> int:
    highest = first = 0
    for index, at in enumerate(times):
        while times[first] <= at - audit.WINDOW_S:
            first += 1
        highest = max(highest, index - first + 1)
    return highest


def _goal_reached_s(
    moved: list[float],
    offered: list[float],
    fraction: float,
    cap: audit.ShiftCap,
) -> float | None:
    """Return the time to 2 s at 90% of the goal or at 70% of the cap."""
    span_s = 2.0
    for step in range(int((cap.last - cap.first - span_s) * 10)):
        start = cap.first + step / 10
        moved_count = sum(1 for t in moved if start <= t < start + span_s)
        offered_count = sum(1 for t in offered if start <= t < start + span_s)
        if not offered_count:
            continue
        if moved_count >= min(
            0.9 * fraction * offered_count, 0.7 * cap.cap_per_s * span_s
        ):
            return round(step / 10, 1)
    return None


def _restart_gracefully(run: LoadedDeployment, name: str) -> int:
    """Stop an instance with repeated signals and start it again."""
    cluster = run.cluster
    cluster.signal(name, signal.SIGTERM)
    time.sleep(_SECOND_SIGNAL_DELAY_S)
    cluster.signal(name, signal.SIGINT)
    code = cluster.stop(name)
    cluster.start_instance(name)
    cluster.wait_ready([name])
    return code


def _kill_and_restart(run: LoadedDeployment, name: str) -> int:
    """Kill an instance and start it again."""
    run.cluster.kill(name)
    run.cluster.start_instance(name)
    run.cluster.wait_ready([name])
    return 0


# Links.


def links(seed: int) -> Iterator[Result]:
    """Offer a link more response bytes than its rate allows.

    Instances at its sending end restart meanwhile, so that their shares of
    the link's rate move to other instances.
    """
    with deployment_under_load("inzira", 32.0, seed) as run:
        spec = run.spec
        source, target = spec.regions[1], spec.regions[0]
        for server in deployment.servers(spec):
            if server.region == target:
                run.cluster.admin(
                    server.address, answer_bytes=_RESPONSE_PADDING_BYTES
                )
        link_records = [
            f'[[link]]\nname = "{a}-{b}"\nsource = "{a}"\ntarget = "{b}"\n'
            f"mbit_per_s = {_NARROW_MBIT_PER_S}\n"
            for a, b in ((source, target), (target, source))
        ]
        head = (
            f"number = {run.last_ticket + 1}\n"
            'reason = "Narrow the links"\nauthor = "operations"\n'
        )
        run.submit("\n".join([head, *link_records]))
        text = deployment.shift_ticket(
            spec, run.last_ticket + 1, fraction=1.0, cap_per_s=500
        )
        first = run.submit(text)
        _restart_gracefully(run, f"{target}-a-1")
        time.sleep(3.0)
        _kill_and_restart(run, f"{target}-b-1")
        run.finish()
        records = run.records()
        bytes_by_link = audit.link_bytes(records.traffic, run.limits())
        transfers = [
            (t, size)
            for t, size in bytes_by_link[target, source]
            if t >= first
        ]
        peak_bytes = audit.most_bytes_in_a_second(transfers)
        yield {
            "measure": "links",
            "seed": seed,
            "machine": _machine(),
            "link_mbit_per_s": _NARROW_MBIT_PER_S,
            "most_in_a_second_mbit": round(peak_bytes / 125_000, 3),
            "mean_mbit_per_s": round(
                sum(size for _, size in transfers)
                / (transfers[-1][0] - transfers[0][0])
                / 125_000,
                3,
            ),
            **run.figures(),
        }


# Rolling restarts.


def rolling(seed: int) -> Iterator[Result]:
    """Restart every instance of both deployments, gracefully and by kill."""
    for name in sorted(deployment.SPECS):
        for case, restart_instance in (
            ("graceful", _restart_gracefully),
            ("at once", _kill_and_restart),
        ):
            yield restart_all(name, case, restart_instance, seed)


def restart_all(
    name: str,
    case: str,
    restart_instance: Callable[[LoadedDeployment, str], int],
    seed: int,
) -> Result:
    """Restart all instances, one at a time in each region."""
    with deployment_under_load(name, 55.0, seed) as run:
        codes: list[int] = []

        def restart_region(region: str) -> None:
            for instance in deployment.instances(run.spec):
                if instance.region == region:
                    codes.append(restart_instance(run, instance.name))

        started_at = time.monotonic()
        threads = [
            threading.Thread(target=restart_region, args=(region,))
            for region in run.spec.regions
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        elapsed_s = time.monotonic() - started_at
        run.finish()
        return {
            "measure": "rolling",
            "case": case,
            "seed": seed,
            "machine": _machine(),
            "deployment": name,
            "replaced": len(codes),
            "failed_stops": sum(1 for code in codes if code != 0),
            "seconds": round(elapsed_s, 1),
            **run.figures(),
        }


_MEASURES = {
    "drain": drain,
    "links": links,
    "rolling": rolling,
    "shift": shift,
}


def main() -> None:
    """Print the results of one measure."""
    parser = argparse.ArgumentParser()
    parser.add_argument("name", choices=sorted(_MEASURES))
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    for result in _MEASURES[args.name](args.seed):
        print(json.dumps(result), flush=True)


if __name__ == "__main__":
    main()
