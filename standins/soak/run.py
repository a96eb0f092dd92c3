"""Run soak tests: python -m standins.soak.run [--seeds N] [--first-seed S]."""

import asyncio
import json
import random
import sys
from collections.abc import Awaitable
from collections.abc import Callable

import fire

from standins.soak.clients import Clients
from standins.soak.clients import NOT_RUN_STATUSES
from standins.soak.world import SoakEnvironment
from standins.upstream import Upstream

# Seeds that have found faults: 2 and 5, a success without stamp and id was
# passed on; 5 and 7, a cancellation was lost; 4, two faults of the soak test
# started the same edge; 434, SIGHUP ended a process that was starting.
REGRESSION_SEEDS = (2, 4, 5, 7, 434)
FAULT_PHASE_S = 10.0
FAULT_SERIES = 3
CLIENT_LOOPS = 6
# Time after the last fault from which requests must be served again.
RECOVERY_S = 6.0
CHECK_S = 2.0
SERVED_SHARE_MIN = 0.9
# After the faults one server names a limit. From `LIMIT_SETTLE_S` on it may
# get `LIMIT_EXCESS` times what that allows and `LIMIT_SLACK` requests in any
# `LIMIT_WINDOW_S`.
LIMIT_SETTLE_S = 4.0
LIMIT_WINDOW_S = 4.0
LIMIT_EXCESS = 1.5
LIMIT_SLACK = 5


async def soak(seed: int) -> tuple[list[str], list[str], dict]:
    """Run one soak test; return violations, faults and status counts."""
    environment = SoakEnvironment(seed=seed)
    await environment.start()
    clients = Clients(
        addresses=[edge.listen["front"] for edge in environment.edges],
        seed=seed,
    )
    loops = [asyncio.create_task(clients.run()) for _ in range(CLIENT_LOOPS)]
    try:
        await asyncio.gather(
            *(
                _inject_faults(environment.rng, environment.inject_fault)
                for _ in range(FAULT_SERIES)
            ),
            # Drawn apart, so that the faults of recorded seeds stay the same.
            _inject_faults(
                environment.trouble_rng, environment.inject_trouble
            ),
        )
        for edge in environment.edges:
            await environment.wait_ready(edge)
        limited = environment.name_limit()
        settled_at = asyncio.get_running_loop().time() + LIMIT_SETTLE_S
        await asyncio.sleep(RECOVERY_S)
        checked_from = asyncio.get_running_loop().time()
        await asyncio.sleep(CHECK_S)
    finally:
        for loop in loops:
            loop.cancel()
        await asyncio.gather(*loops, return_exceptions=True)
        await environment.stop()
    _check_results(environment, clients, checked_from)
    _check_limit(environment, limited, settled_at)
    return environment.violations, environment.events, dict(clients.statuses)


async def _inject_faults(
    rng: random.Random, inject: Callable[[], Awaitable[None]]
) -> None:
    """Inject faults one after the other; several series run at once."""
    loop = asyncio.get_running_loop()
    until = loop.time() + FAULT_PHASE_S
    while loop.time() < until:
        await asyncio.sleep(rng.uniform(0.0, 1.0))
        await inject()


def _check_results(
    environment: SoakEnvironment, clients: Clients, checked_from: float
) -> None:
    """Check the guarantees against the records of clients and servers."""
    for result in clients.results:
        runs = sum(up.runs[result.request_id] for up in environment.upstreams)
        if not result.repeatable and runs > 1:
            environment.violations.append(
                f"{result.request_id} ran {runs} times"
            )
        if result.status in NOT_RUN_STATUSES and runs:
            environment.violations.append(
                f"{result.request_id} rejected with {result.status} but ran"
            )
        if result.status == 200 and not result.body.startswith(
            f"ran {result.request_id} ".encode()
        ):
            environment.violations.append(
                f"{result.request_id} got the body {result.body[:40]!r}"
            )
        if result.status == 404:
            environment.violations.append(f"{result.request_id} got 404")
    checked = [r for r in clients.results if r.started_at >= checked_from]
    served = sum(r.status == 200 for r in checked)
    if not checked or served < SERVED_SHARE_MIN * len(checked):
        environment.violations.append(
            f"{served} of {len(checked)} requests served after the faults"
        )


def _check_limit(
    environment: SoakEnvironment, limited: Upstream, settled_at: float
) -> None:
    """Check that an upstream got no more than the limit that it named."""
    times = [at for at in limited.arrived_at if at >= settled_at]
    most = max(
        (sum(at <= t < at + LIMIT_WINDOW_S for t in times) for at in times),
        default=0,
    )
    per_s = float(limited.faults.limit)
    allowed = LIMIT_EXCESS * per_s * LIMIT_WINDOW_S + LIMIT_SLACK
    if most > allowed:
        environment.violations.append(
            f"{limited.name} got {most} requests, {allowed:.1f} allowed"
        )


def main(
    seeds: int = 3,
    first_seed: int = 1,
    jobs: int = 1,
    regressions: bool = False,
) -> None:
    """Run soak tests with seeds from `first_seed` on, `jobs` at a time.

    With `regressions`, run `REGRESSION_SEEDS` instead.
    """
    numbers = list(range(first_seed, first_seed + seeds))
    if regressions:
        numbers = list(REGRESSION_SEEDS)
    results = asyncio.run(_run_seeds(numbers, jobs))
    failed = [seed for seed, rows in results.items() if rows]
    print(
        json.dumps(
            {
                "seeds": len(results),
                "failed": failed,
                "violations": sum(len(rows) for rows in results.values()),
            }
        )
    )
    sys.exit(1 if failed else 0)


async def _run_seeds(seeds: list[int], jobs: int) -> dict[int, list[str]]:
    semaphore = asyncio.Semaphore(jobs)
    results: dict[int, list[str]] = {}

    async def run_seed(seed: int) -> None:
        async with semaphore:
            violations, events, statuses = await soak(seed)
        results[seed] = violations
        print(f"seed {seed}: {statuses}, {len(violations)} violations")
        for row in violations[:5]:
            print(f"  {row}")
        if violations:
            print(f"  faults: {'; '.join(events)}", flush=True)

    await asyncio.gather(*(run_seed(seed) for seed in seeds))
    return results


if __name__ == "__main__":
    fire.Fire(main)
