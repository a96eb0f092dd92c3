"""Measure the capacity figures of docs/CAPACITY.md.

They are the costs of state, look-ups, tickets and store calls by size.
"""

import http.client
import multiprocessing
import os
import pathlib
import random
import tempfile
import time
from collections.abc import Iterator
from typing import Any

from chiverun.core.blocks import Blocks
from chiverun.core.blocks import BlockTable
from chiverun.core.state import apply_ticket
from chiverun.core.state import decode_state
from chiverun.core.state import empty_state
from chiverun.core.state import encode_state
from chiverun.core.state import State
from chiverun.core.ticket import encode_ticket
from chiverun.core.ticket import Region
from chiverun.core.ticket import Site
from chiverun.core.ticket import Ticket
from chiverun.core.ticket import Zone
from standins import deployment
from standins.cluster import Cluster
from standins.cluster import source_program
from standins.cluster import wait_until

BLOCK_COUNTS = (40_000, 160_000, 320_000, 640_000)
BLOCKS_PER_SITE = 278
ZONES = 72
REGIONS = 34
_LOOKUP_DURATION_S = 4.0
_LOOKUP_CLIENT_COUNTS = (1, 2, 4, 8)
_CHANGES = 200
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def blocks(seed: int) -> Iterator[dict[str, Any]]:
    """Measure the state and the block table by number of client blocks."""
    context = multiprocessing.get_context("spawn")
    for count in BLOCK_COUNTS:
        with context.Pool(1) as pool:
            yield pool.apply(_measure_blocks, (count, seed))


def _measure_blocks(count: int, seed: int) -> dict[str, Any]:
    rng = random.Random(seed)
    before_bytes = resident_bytes()
    state = state_with_blocks(count, rng)
    with_state_bytes = resident_bytes()
    started = time.process_time()
    table = BlockTable()
    table.update(state.of(Site))
    build_s = time.process_time() - started
    with_table_bytes = resident_bytes()
    image = encode_state(state)
    return {
        "measure": "blocks",
        "blocks": count,
        "sites": len(state.of(Site)),
        "state_mb": round((with_state_bytes - before_bytes) / 1e6, 2),
        "table_mb": round((with_table_bytes - with_state_bytes) / 1e6, 2),
        "image_mb": round(len(image) / 1e6, 2),
        "build_s": round(build_s, 3),
        "decode_s": round(_cpu_time_s(lambda: decode_state(image)), 3),
        "find_us": round(_find_us(table, rng), 3),
        **_change_costs(state, table, rng),
    }


def _find_us(table: BlockTable, rng: random.Random) -> float:
    addresses = [rng.getrandbits(32) for _ in range(100_000)]
    started = time.process_time()
    for address in addresses:
        table.find(address)
    return (time.process_time() - started) / len(addresses) * 1e6


def _change_costs(
    state: State, table: BlockTable, rng: random.Random
) -> dict[str, float]:
    """Measure tickets that move one site each: state, digest and table."""
    names = rng.sample(sorted(state.of(Site)), min(_CHANGES, 50))
    apply_s = 0.0
    update_s = 0.0
    ticket_bytes = 0
    for name in names:
        site = state.of(Site)[name]
        ticket = Ticket(
            number=state.number + 1,
            reason="move a site",
            author="measure",
            site=(
                Site(
                    name=name,
                    zone=f"zone-{rng.randrange(ZONES)}",
                    blocks=site.blocks,
                ),
            ),
        )
        ticket_bytes += len(encode_ticket(ticket))
        started = time.process_time()
        state = apply_ticket(state, ticket)
        applied = time.process_time()
        table.update(state.of(Site))
        update_s += time.process_time() - applied
        apply_s += applied - started
    return {
        "ticket_bytes": round(ticket_bytes / len(names)),
        "apply_ms": round(apply_s / len(names) * 1e3, 3),
        "update_ms": round(update_s / len(names) * 1e3, 3),
    }


def state_with_blocks(count: int, rng: random.Random) -> State:
    """Return a state with zones and sites that have /20 to /28 blocks."""
    sites = max(1, count // BLOCKS_PER_SITE)
    ticket = Ticket(
        number=1,
        reason="declare",
        author="measure",
        region=tuple(Region(name=f"region-{i}") for i in range(REGIONS)),
        zone=tuple(
            Zone(name=f"zone-{i}", region=f"region-{i % REGIONS}")
            for i in range(ZONES)
        ),
        site=tuple(
            Site(
                name=f"site-{i}",
                zone=f"zone-{i % ZONES}",
                blocks=_random_blocks(BLOCKS_PER_SITE, rng),
            )
            for i in range(sites)
        ),
    )
    return apply_ticket(empty_state(), ticket)


def _random_blocks(count: int, rng: random.Random) -> Blocks:
    parts = []
    for _ in range(count):
        length = rng.randint(20, 28)
        first = rng.getrandbits(32) >> (32 - length) << (32 - length)
        parts.append(first.to_bytes(4, "big") + bytes([length]))
    return Blocks(b"".join(parts))


def lookups(seed: int) -> Iterator[dict[str, Any]]:
    """Measure look-up rate and CPU time by number of connections.

    Connections are persistent.
    """
    with tempfile.TemporaryDirectory() as folder:
        cluster = Cluster(
            spec=deployment.SPECS["inzira"],
            folder=pathlib.Path(folder),
            program=source_program(),
        )
        try:
            name = _start_instance(cluster)
            for clients in _LOOKUP_CLIENT_COUNTS:
                yield _measure_lookups(cluster, name, clients, seed)
        finally:
            cluster.close()


def _start_instance(cluster: Cluster) -> str:
    """Start the platform and one instance with the first ticket."""
    cluster.prepare()
    cluster.start_standins()
    name = deployment.instances(cluster.spec)[0].name
    cluster.start_instance(name)
    code, output = cluster.submit("0001-declare.toml")
    if code != 0:
        raise RuntimeError(output)
    wait_until(
        lambda: (cluster.status(name) or {}).get("seats_open", 0) > 0,
        30,
        "instance ready",
    )
    return name


def _measure_lookups(
    cluster: Cluster, name: str, clients: int, seed: int
) -> dict[str, Any]:
    instance = deployment.instances(cluster.spec)[0]
    host = cluster.local(instance.host)
    pid = cluster.processes[name].pid
    context = multiprocessing.get_context("spawn")
    cpu_before_s = cpu_seconds(pid)
    with context.Pool(clients) as pool:
        started = time.monotonic()
        counts = pool.starmap(
            _look_up_for,
            [(host, _LOOKUP_DURATION_S, seed + i) for i in range(clients)],
        )
        elapsed_s = time.monotonic() - started
    cpu_s = cpu_seconds(pid) - cpu_before_s
    lookups_done = sum(count for count, _ in counts)
    rate = sum(count / seconds for count, seconds in counts)
    return {
        "measure": "lookups",
        "connections": clients,
        "lookups_per_s": round(rate),
        "cpu_us_per_lookup": round(cpu_s / lookups_done * 1e6, 1),
        "core_share": round(cpu_s / elapsed_s, 2),
        "resident_mb": round(resident_bytes(pid) / 1e6, 1),
    }


def _look_up_for(host: str, seconds: float, seed: int) -> tuple[int, float]:
    rng = random.Random(seed)
    conn = http.client.HTTPConnection(host, deployment.LOOKUP_PORT)
    started = time.monotonic()
    count = 0
    while time.monotonic() - started < seconds:
        client = f"10.{rng.randint(1, 6)}.{rng.randint(0, 255)}.1"
        conn.request("GET", f"/v1/lookup?client={client}")
        conn.getresponse().read()
        count += 1
    return count, time.monotonic() - started


def store(seed: int) -> Iterator[dict[str, Any]]:
    """Measure the rate of store calls of idle deployments."""
    for name in sorted(deployment.SPECS):
        with tempfile.TemporaryDirectory() as folder:
            cluster = Cluster(
                spec=deployment.SPECS[name],
                folder=pathlib.Path(folder),
                program=source_program(),
            )
            yield _measure_store(cluster)


def _measure_store(cluster: Cluster) -> dict[str, Any]:
    address = cluster.local(deployment.STORE)
    names = [i.name for i in deployment.instances(cluster.spec)]
    try:
        cluster.prepare()
        cluster.start_standins()
        cluster.start_instances()
        cluster.submit("0001-declare.toml")
        cluster.wait_ready(names)
        time.sleep(3)
        before = cluster.get_json(f"http://{address}/admin/calls")
        cpu_before_s = sum(
            cpu_seconds(cluster.processes[n].pid) for n in names
        )
        idle_s = 20.0
        time.sleep(idle_s)
        after = cluster.get_json(f"http://{address}/admin/calls")
        cpu_after_s = sum(cpu_seconds(cluster.processes[n].pid) for n in names)
        resident = [resident_bytes(cluster.processes[n].pid) for n in names]
    finally:
        cluster.close()
    return {
        "measure": "store",
        "deployment": cluster.spec.name,
        "instances": len(names),
        "zones": len(cluster.spec.zones()),
        "calls_per_s": {
            method: round((after[method] - before.get(method, 0)) / idle_s, 2)
            for method in after
        },
        "core_share_per_instance": round(
            (cpu_after_s - cpu_before_s) / idle_s / len(names), 4
        ),
        "resident_mb_per_instance": round(
            sum(resident) / len(resident) / 1e6, 1
        ),
    }


def imports(seed: int) -> Iterator[dict[str, Any]]:
    """Measure resident memory with and without the imported libraries."""
    context = multiprocessing.get_context("spawn")
    for module in ("empty", "chiverun.runtime.instance"):
        with context.Pool(1) as pool:
            yield {
                "measure": "imports",
                "loaded": module,
                "resident_mb": round(pool.apply(_resident_with, (module,)), 1),
            }


def _resident_with(module: str) -> float:
    import importlib

    if module != "empty":
        importlib.import_module(module)
    return resident_bytes() / 1e6


def _cpu_time_s(call) -> float:
    started = time.process_time()
    call()
    return time.process_time() - started


def resident_bytes(pid: int | None = None) -> int:
    """Return the resident memory of a process, by default of this one."""
    path = pathlib.Path(f"/proc/{pid or os.getpid()}/statm")
    return int(path.read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def cpu_seconds(pid: int) -> float:
    """Return the CPU time that a process has used."""
    text = pathlib.Path(f"/proc/{pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S
