"""Some answers of upstreams have a byte above 127 in a header."""

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

ZONE = "musanze-a"
TIMEOUT_S = 2.0
DEADLINE_MS = 3000
SLACK_S = 0.5
CLIENTS = 20
REQUESTS = 75
PAUSE_S = 0.3
# Half of the upstreams spoil one of twenty answers, for 5 s three times.
UPSTREAMS = 4
FAULTY = 2
SPOILED_EACH = 20
SPELL_S = 5.0
SPELL_EACH_S = 8.0
SPELLS = 3


class NotingUpstream(Upstream):
    """An upstream that adds a header with a file name to its answers.

    If `spoils` is set, one of `SPOILED_EACH` answers within a spell has a byte
    above 127 in that header; all else is as it should be. The spells are
    counted from the first answer.
    """

    def __init__(self, *, spoils: bool, **options) -> None:
        super().__init__(**options)
        self._spoils = spoils
        self._answers = 0
        self._first_at: float | None = None

    def _is_spell(self) -> bool:
        now = time.monotonic()
        if self._first_at is None:
            self._first_at = now
        spell, age_s = divmod(now - self._first_at, SPELL_EACH_S)
        return self._spoils and spell < SPELLS and age_s < SPELL_S

    async def _handle(self, call) -> bytes:
        answer = await super()._handle(call)
        if not answer.startswith(b"HTTP/1.1 200") or call.target == "/health":
            return answer
        is_spell = self._is_spell()
        self._answers += is_spell
        is_spoiled = is_spell and self._answers % SPOILED_EACH == 0
        name = b"re\xe7u" if is_spoiled else b"recu"
        note = b'Content-Disposition: attachment; filename="' + name + b'"'
        return answer.replace(b"\r\n\r\n", b"\r\n" + note + b"\r\n\r\n", 1)


async def play(case: frame.Case) -> bool:
    """Send bookings; return whether too many were not answered in time."""
    store, store_address = await case.start_store()
    runs = []
    for i in range(UPSTREAMS):
        upstream = NotingUpstream(
            spoils=case.trouble and i < FAULTY,
            name=f"i-{i}",
            service="hire-desk",
            address=edge.free_address(),
            zone=ZONE,
            runs=runs,
            slots=9,
        )
        await upstream.start()
        await store.put(f"servers/{upstream.name}", upstream.entry())
    rule = edge.route(
        "/book/", "hire-desk", kind="unsafe", timeout=f"{TIMEOUT_S:g}s"
    )
    await store.put(
        "op/config", edge.state(7, [rule], [edge.service("hire-desk")])
    )
    machine = await case.start_edge("front-1", store_address, zone=ZONE)
    await asyncio.sleep(5.0)
    ends = collections.Counter()
    late: list[str] = []

    async def client(number: int) -> None:
        conn = KeptConnection(machine.listen["front"])
        for i in range(REQUESTS):
            request_id = f"b-{number}-{i}"
            sent_at = time.monotonic()
            await conn.send(
                request_bytes(
                    "POST",
                    f"/book/{request_id}",
                    request_id,
                    deadline_ms=DEADLINE_MS,
                    body=b"kit=7",
                )
            )
            case.note(f"{request_id} sent")
            end = "no answer"
            try:
                async with asyncio.timeout(DEADLINE_MS / 1000.0):
                    answer = await conn.read()
                end = "closed" if answer is None else str(answer.status)
            except TimeoutError:
                conn.close()
            took_s = time.monotonic() - sent_at
            case.note(f"{request_id} {end} after {took_s:.3f} s")
            ends[end] += 1
            if took_s > TIMEOUT_S:
                late.append(request_id)
                if took_s <= TIMEOUT_S + SLACK_S:
                    late.pop()
                    ends["late, answered within the slack"] += 1
            await asyncio.sleep(PAUSE_S)
        conn.close()

    await asyncio.gather(*(client(number) for number in range(CLIENTS)))
    for run in runs:
        case.note(f"{run.server} ran {run.request_id}")
    ran = {run.request_id for run in runs}
    lasted = len(late) + ends["late, answered within the slack"]
    case.say(
        f"{CLIENTS * REQUESTS} requests: {dict(ends)}; {lasted} lasted longer "
        f"than the timeout, {len(late)} of them had no answer {SLACK_S} s "
        f"after it; {len(ran.intersection(late))} of these had run"
    )
    return len(late) >= 8 and len(late) > lasted / 4


frame.run(FOLDER, play)
