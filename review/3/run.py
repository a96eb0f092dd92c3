"""Some upstreams answer at times without end, in chunks of one byte."""

import asyncio
import os
import pathlib
import random
import sys

from review.standins.world import Record
from review.standins.world import rule
from review.standins.world import World

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
WORK_S = 0.1
REQUESTS_PER_S = 40
PLAY_S = 20.0
# A dose of wrong bytes of the site file: half of the servers, 0.05 of their
# answers, for 5 s.
FAULTY_UPSTREAMS = 4
FAULTY_ANSWERS = 0.05
FAULTY_FROM_S = 3.0
FAULTY_FOR_S = 5.0
SEED = 28
TIMEOUT_S = 1.5
DEADLINE_MS = 2500
LATE_S = 0.5
CHUNKS = b"1\r\nx\r\n" * 10_000


_RNG = random.Random(SEED)


async def _answer_at_times(upstream, request_id, reader, writer) -> bool:
    """Send some of the answers in chunks until the caller closes."""
    if _RNG.random() >= FAULTY_ANSWERS:
        return False
    upstream.log("endless", server=upstream.name, id=request_id)
    head = (
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
        f"X-Chiverun-Request-Id: {request_id}\r\n"
        "X-Chiverun-Response-Stamp: s.1\r\n\r\n"
    )
    writer.write(head.encode())
    while True:
        writer.write(CHUNKS)
        await writer.drain()


async def _play(world: World, record: Record) -> bool:
    """Return whether the rule was kept."""
    row = {"zone": "musanze-a", "work_s": WORK_S, "body": b"r" * 400}
    await world.start(
        services={"race-works": [dict(row) for _ in range(8)]},
        routes=[
            rule(
                "/dispatch/",
                "race-works",
                kind="unsafe",
                timeout=f"{int(TIMEOUT_S * 1000)}ms",
                aim="400ms",
            )
        ],
        machines=["musanze-a", "musanze-a"],
    )
    loop = asyncio.get_running_loop()

    async def trouble() -> None:
        faulty = world.upstreams[:FAULTY_UPSTREAMS]
        await asyncio.sleep(FAULTY_FROM_S)
        record("wrong bytes begin", servers=[up.name for up in faulty])
        for upstream in faulty:
            upstream.faulty = _answer_at_times
        await asyncio.sleep(FAULTY_FOR_S)
        record("wrong bytes end")
        for upstream in faulty:
            upstream.faulty = None

    if TROUBLE:
        world.run(trouble())

    async def client(number: int) -> tuple:
        request_id = world.new_id()
        machine = world.machines[number % len(world.machines)]
        sent_at = loop.time()
        got = await world.ask(
            machine.front,
            "POST",
            f"/dispatch/{number}",
            headers=[
                ("X-Chiverun-Request-Id", request_id),
                ("X-Chiverun-Deadline-Ms", str(DEADLINE_MS)),
            ],
            body=b"d" * 1200,
            timeout_s=DEADLINE_MS / 1000,
        )
        lasted_s = loop.time() - sent_at
        record(
            "answered" if got.complete else "cut",
            id=request_id,
            machine=machine.name,
            status=got.status,
            after_s=round(lasted_s, 3),
            error=got.error,
        )
        return lasted_s, got

    unanswered_probes = 0

    async def probe() -> None:
        """Ask each machine once a second whether it is ready."""
        nonlocal unanswered_probes
        while True:
            await asyncio.sleep(1)
            for machine in world.machines:
                if not await machine.is_ready():
                    unanswered_probes += 1
                    record("probe not answered in 1 s", machine=machine.name)

    own_lag_s = 0.0

    async def watch_own_lag() -> None:
        """Note how late this script's own event loop is."""
        nonlocal own_lag_s
        while True:
            due_at = loop.time() + 0.02
            await asyncio.sleep(0.02)
            own_lag_s = max(own_lag_s, loop.time() - due_at)

    world.run(probe())
    world.run(watch_own_lag())
    tasks = []
    for number in range(int(PLAY_S * REQUESTS_PER_S)):
        tasks.append(asyncio.create_task(client(number)))
        await asyncio.sleep(1 / REQUESTS_PER_S)
    results = await asyncio.gather(*tasks)
    long = [row for row in results if row[0] >= TIMEOUT_S]
    late = [row for row in long if row[0] > TIMEOUT_S + LATE_S]
    never = [row for row in results if not row[1].complete]
    good = [row for row in results if row[1].status == 200]
    record(
        "result",
        requests=len(results),
        succeeded=len(good),
        longer_than_timeout=len(long),
        unanswered_half_a_second_later=len(late),
        unanswered_at_deadline=len(never),
        probes_not_answered=unanswered_probes,
        own_lag_s=round(own_lag_s, 3),
        longest_s=round(max(row[0] for row in results), 3),
    )
    return not (len(late) >= 8 and len(late) > len(long) / 4)


async def _main() -> int:
    record = Record(pathlib.Path(__file__).with_name("record.txt"))
    world = World(record)
    try:
        async with asyncio.timeout(100):
            return 0 if await _play(world, record) else 1
    except Exception as exc:
        record("could not run", reason=repr(exc))
        return 2
    finally:
        world.close()
        record.close()


if __name__ == "__main__":
    sys.exit(asyncio.run(_main()))
