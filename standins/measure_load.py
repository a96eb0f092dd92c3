"""Measurements under load, interleaved with the naive system.

Each repetition runs both systems with the same arrivals, in virtual time
(see `standins.load_model`), for the sizes of both deployments. Medians are
taken over the repetitions, ratios within each pair of runs.
"""

import gc
import json
import random
import statistics
import time
from collections.abc import Iterator
from typing import Any

import fire

from chiverun.core.admission import Admission
from chiverun.core.clock import ManualClock
from chiverun.core.snapshot import HeldSeat
from chiverun.core.snapshot import Snapshot
from chiverun.core.state import apply_ticket
from chiverun.core.state import empty_state
from chiverun.core.ticket import Region
from chiverun.core.ticket import RequestClass
from chiverun.core.ticket import Server
from chiverun.core.ticket import Service
from chiverun.core.ticket import Ticket
from chiverun.core.ticket import Zone
from chiverun.core.work import Work
from standins.deployment import SPECS
from standins.load_model import Model
from standins.loadfigures import Load
from standins.loadfigures import SHORT_S
from standins.loadfigures import Tally
from standins.measure_real import real

REPETITIONS = 5
Result = dict[str, Any]


def _run_pairs(name: str, load: Load, seed: int) -> list[tuple[Tally, Tally]]:
    """Run both systems in turn and alternate which one runs first."""
    pairs = []
    for repetition in range(REPETITIONS):
        order = [False, True] if repetition % 2 else [True, False]
        tallies = {
            naive: Model(
                SPECS[name], load, seed + repetition, naive=naive
            ).run()
            for naive in order
        }
        pairs.append((tallies[False], tallies[True]))
    return pairs


def _latency_ms(
    tally: Tally, percentile: float, *, write: bool = False
) -> float:
    hist = tally.write_us if write else tally.short_us
    return hist.get_value_at_percentile(percentile) / 1000.0


def _measure(
    measure: str, name: str, load: Load, seed: int, *, write: bool = False
) -> Result:
    pairs = _run_pairs(name, load, seed)
    median = statistics.median

    def medians(read) -> tuple[float, float]:
        return (
            round(median(read(a) for a, _ in pairs), 3),
            round(median(read(b) for _, b in pairs), 3),
        )

    ratios = [
        _latency_ms(a, 99, write=write) / _latency_ms(b, 99, write=write)
        for a, b in pairs
    ]
    p50 = medians(lambda t: _latency_ms(t, 50, write=write))
    p99 = medians(lambda t: _latency_ms(t, 99, write=write))
    p999 = medians(lambda t: _latency_ms(t, 99.9, write=write))
    not_run = medians(lambda t: t.not_run / max(1, t.offered))
    in_time = medians(lambda t: t.in_time / max(1, t.offered))
    long_in_time = medians(lambda t: t.long_in_time / max(1, t.long_offered))
    return {
        "measure": measure,
        "deployment": name,
        "level": load.level,
        "long_share": load.long_share,
        "seed": seed,
        "repetitions": REPETITIONS,
        "requests": sum(a.offered for a, _ in pairs),
        "p50_ms": p50[0],
        "naive_p50_ms": p50[1],
        "p99_ms": p99[0],
        "naive_p99_ms": p99[1],
        "p999_ms": p999[0],
        "naive_p999_ms": p999[1],
        "p99_ratio": round(median(ratios), 3),
        "p99_ratio_worst": round(max(ratios), 3),
        "not_run_share": not_run[0],
        "in_time_share": in_time[0],
        "naive_in_time_share": in_time[1],
        "long_in_time_share": long_in_time[0],
        "naive_long_in_time_share": long_in_time[1],
        "hedges": sum(a.hedges for a, _ in pairs),
        "over_cap": sum(a.over_cap for a, _ in pairs),
        "naive_over_slots": sum(b.queued_at_server for _, b in pairs),
    }


def latency(seed: int) -> Iterator[Result]:
    """Measure short requests at ordinary load, and the cost of a grant."""
    for name in SPECS:
        for level in (0.5, 0.7):
            yield _measure("latency", name, Load(level=level), seed)
    for servers in (2, 20, 200):
        yield _grant_cost(servers, seed)


def blocking(seed: int) -> Iterator[Result]:
    """Measure short requests if 10% of all are 50 times as long."""
    for name in SPECS:
        for level in (0.25, 0.5, 0.7):
            load = Load(level=level, long_share=0.1, seconds=12.0)
            yield _measure("blocking", name, load, seed)
    for name in SPECS:
        load = Load(
            level=0.5, long_share=0.1, seconds=16.0, long_as_short=True
        )
        yield _measure("blocking-hidden", name, load, seed, write=True)


def tail(seed: int) -> Iterator[Result]:
    """Measure short requests if 2 servers per service are 10 times slower."""
    for name in SPECS:
        for level in (0.08, 0.3, 0.5):
            yield _measure(
                "tail", name, Load(level=level, slowed_servers=2), seed
            )


def overload(seed: int) -> Iterator[Result]:
    """Measure goodput at 1.5 times capacity.

    The deadline is 10 times the mean running time of short requests.
    """
    for name in SPECS:
        for share in (0.0, 0.75):
            load = Load(
                level=1.5,
                seconds=1.5,
                warmup_s=1.0,
                deadline_s=10.0 * SHORT_S,
                region_cap_share=share,
            )
            row = _measure("overload", name, load, seed)
            capacity = 1.0 / load.level * (share or 1.0)
            row["region_cap_share"] = share
            row["goodput_of_capacity"] = round(
                row["in_time_share"] / capacity, 3
            )
            row["naive_goodput_of_capacity"] = round(
                row["naive_in_time_share"] / (1.0 / load.level), 3
            )
            yield row


def _grant_cost(count: int, seed: int) -> Result:
    """Measure the time of a grant with half of the slots in use."""
    clock = ManualClock()
    admission = Admission(zone="z", clock=clock, rng=random.Random(seed))
    admission.update(_zone_snapshot(count))
    rng = random.Random(seed)
    work = Work(
        service="desk",
        request_class=RequestClass(name="read", methods=("GET",)),
        source_region="r",
        deadline=clock.monotonic() + 10.0,
    )
    grants = []
    times_s = []
    gc.collect()
    for _ in range(5000):
        started = time.perf_counter()
        grant = admission.try_acquire(work)
        times_s.append(time.perf_counter() - started)
        grants.append(grant)
        if len(grants) > count * 4:
            index = rng.randrange(len(grants))
            admission.cancel(grants.pop(index))
        clock.advance(0.0001)
    times_s.sort()
    return {
        "measure": "grant-cost",
        "servers": count,
        "seed": seed,
        "grants": len(times_s),
        "median_us": round(times_s[len(times_s) // 2] * 1e6, 1),
        "p99_us": round(times_s[int(len(times_s) * 0.99)] * 1e6, 1),
    }


def _zone_snapshot(count: int) -> Snapshot:
    servers = tuple(
        Server(
            name=f"s{number}",
            service="desk",
            zone="z",
            address="127.0.0.1:8080",
            slots=8,
        )
        for number in range(count)
    )
    ticket = Ticket(
        number=1,
        reason="measure",
        author="measure",
        region=(Region(name="r"),),
        zone=(Zone(name="z", region="r", seats=4),),
        service=(Service(name="desk", classes=()),),
        server=servers,
    )
    return Snapshot(
        state=apply_ticket(empty_state(), ticket),
        published_at=ManualClock().monotonic(),
        zones={},
        seats=tuple(
            HeldSeat(index=i, short_opens_at=0.0, long_opens_at=0.0)
            for i in range(4)
        ),
        confirmed=True,
        leaving=False,
        leaving_servers=frozenset(),
    )


def main(name: str, seed: int = 1) -> None:
    """Print the results of one measurement as JSON lines."""
    measures = {
        "latency": latency,
        "blocking": blocking,
        "tail": tail,
        "overload": overload,
        "real": real,
    }
    for result in measures[name](seed):
        print(json.dumps(result), flush=True)


if __name__ == "__main__":
    fire.Fire(main)
