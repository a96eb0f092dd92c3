"""For some seconds a few answers have a spoilt load header."""

import asyncio
import collections
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[1]))

from review.standins2 import case as frame  # noqa: E402
from review.standins2 import edge  # noqa: E402
from review.standins2.client import KeptConnection  # noqa: E402
from review.standins2.client import request_bytes  # noqa: E402
from review.standins2.upstream import Upstream  # noqa: E402

ZONE = "dar-kariakoo"
ZONES = {ZONE: "dar"}
MACHINES = 1
UPSTREAMS = 3
SPOILED_EACH = 20
SPOIL_FOR_S = 5.0
# A spoilt figure: one digit, again and again.
SPOILT = "7" * 320
# `stableWindow` of the settings.
STABLE_S = 4.0
MEASURE_S = 20.0
CLIENTS = 6
PAUSE_S = 0.1
TIMEOUT_MS = 1500
DEADLINE_MS = 2500


class SpoilingUpstream(Upstream):
    """An upstream that spoils a figure in one of `SPOILED_EACH` answers."""

    spoils_until = float("-inf")
    answers = 0

    async def _handle(self, call) -> bytes:
        answer = await super()._handle(call)
        is_run = b"X-Chiverun-Response-Stamp" in answer
        if not is_run or time.monotonic() > self.spoils_until:
            return answer
        self.answers += 1
        if self.answers % SPOILED_EACH:
            return answer
        name = b"X-Chiverun-Server-Load: "
        return answer.replace(name, name + SPOILT.encode(), 1)


async def play(case: frame.Case) -> bool:
    """Return whether a route is not served after the trouble has ended."""
    store, store_address = await case.start_store()
    upstreams = {}
    for service in ("hire-desk", "meet-archive"):
        for i in range(UPSTREAMS):
            upstream = SpoilingUpstream(
                name=f"i-{service}-{i}",
                service=service,
                address=edge.free_address(),
                zone=ZONE,
                runs=[],
                slots=9,
            )
            await upstream.start()
            await store.put(f"servers/{upstream.name}", upstream.entry())
            upstreams[upstream.name] = upstream
    services = [edge.service("hire-desk"), edge.service("meet-archive")]
    timeout = f"{TIMEOUT_MS}ms"
    first = edge.route("/kit/", "hire-desk", kind="safe", timeout=timeout)
    added = edge.route("/heat/", "meet-archive", kind="safe", timeout=timeout)
    await store.put("op/config", edge.state(7, [first], services))
    machines = []
    for i in range(MACHINES):
        seeds = [machine.listen["control"] for machine in machines]
        machines.append(
            await case.start_edge(
                f"front-{i}",
                store_address,
                zone=ZONE,
                zones=ZONES,
                seeds=seeds,
            )
        )
    await asyncio.sleep(3.0)
    await store.put("op/config", edge.state(8, [first, added], services))
    case.say("version 8 adds the route /heat/")
    await asyncio.sleep(3.0)
    started_at = time.monotonic()
    if case.trouble:
        faulty = upstreams["i-meet-archive-0"]
        faulty.spoils_until = started_at + SPOIL_FOR_S
    measure_at = started_at + SPOIL_FOR_S + STABLE_S + 1.0
    until = measure_at + MEASURE_S
    ends: dict[str, collections.Counter[str]] = {
        "/kit/": collections.Counter(),
        "/heat/": collections.Counter(),
    }

    async def client(number: int, prefix: str) -> None:
        machine = machines[number % MACHINES]
        conn = KeptConnection(machine.listen["front"])
        turn = 0
        while time.monotonic() < until:
            turn += 1
            request_id = f"{prefix.strip('/')}-{number}-{turn}"
            sent_at = time.monotonic()
            await conn.send(
                request_bytes(
                    "GET",
                    f"{prefix}{request_id}",
                    request_id,
                    deadline_ms=DEADLINE_MS,
                )
            )
            end = "no answer"
            try:
                async with asyncio.timeout(DEADLINE_MS / 1000.0):
                    answer = await conn.read()
                end = "closed" if answer is None else str(answer.status)
            except TimeoutError:
                conn.close()
            case.note(f"{request_id} at {machine.name}: {end}")
            if sent_at >= measure_at:
                ends[prefix][end] += 1
            await asyncio.sleep(PAUSE_S)
        conn.close()

    await asyncio.gather(
        *(client(n, prefix) for n in range(CLIENTS) for prefix in ends)
    )
    for upstream in upstreams.values():
        spoilt = upstream.answers // SPOILED_EACH
        case.note(f"{upstream.name}: {spoilt} answers spoilt")
    shares = {}
    for prefix, counts in ends.items():
        shares[prefix] = counts["200"] / max(1, counts.total())
        case.say(
            f"{prefix} from {STABLE_S + 1:g} s after the trouble on: "
            f"{dict(counts)}"
        )
    is_enough = ends["/heat/"].total() >= 20
    return is_enough and shares["/heat/"] < shares["/kit/"] / 4


frame.run(FOLDER, play)
