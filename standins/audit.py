"""Audits a run by joining callers' records with backend servers' logs.

Neither chiverun's own logs nor its metrics are used.
"""

import collections
import dataclasses
import json
import pathlib
from collections.abc import Iterable
from collections.abc import Iterator
from typing import Any

from hdrh.histogram import HdrHistogram

WINDOW_S = 1.0
# New requests may reach a draining server for this long.
DRAIN_S = 3.0
# Time between a caller's recording an attempt and sending it.
DEADLINE_MARGIN_S = 0.05
_BYTES_PER_MBIT = 125_000

Record = dict[str, Any]


@dataclasses.dataclass(frozen=True, kw_only=True)
class ShiftCap:
    """The cap of a shift, and when its ticket was in force (wall clock)."""

    service: str
    source: str
    target: str
    cap_per_s: int
    first: float
    last: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Drain:
    """A server that was draining from `at` to `until` (wall clock)."""

    server: str
    at: float
    until: float = float("inf")


@dataclasses.dataclass(frozen=True, kw_only=True)
class Limits:
    """Limits to check a run against; a link rate of 0 is not checked."""

    region_of_zone: dict[str, str]
    shift_caps: tuple[ShiftCap, ...] = ()
    drains: tuple[Drain, ...] = ()
    link_mbit_per_s: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Records:
    """Callers' requests, servers' events, and bytes between zones.

    `unreadable` counts the lines that cannot be parsed, except for a
    truncated last line, which a process leaves when it is killed.
    """

    callers: list[Record]
    events: list[Record]
    traffic: list[Record] = dataclasses.field(default_factory=list)
    unreadable: int = 0


def read_records(folder: pathlib.Path, servers: Iterable[str]) -> Records:
    """Read the log files of a run."""
    callers, bad_callers = read_lines([folder / "callers.jsonl"])
    events, bad_events = read_lines(folder / f"{s}.jsonl" for s in servers)
    relay = folder / "relay.jsonl"
    traffic, bad_traffic = read_lines([relay] if relay.exists() else [])
    return Records(
        callers=callers,
        events=events,
        traffic=traffic,
        unreadable=bad_callers + bad_events + bad_traffic,
    )


def read_lines(paths: Iterable[pathlib.Path]) -> tuple[list[Record], int]:
    """Return the records of JSON lines files and the unreadable line count."""
    records = []
    unreadable = 0
    for path in paths:
        lines = path.read_text().split("\n")
        for line in lines[:-1]:
            try:
                records.append(json.loads(line))
            except ValueError:
                unreadable += 1
    return records, unreadable


def audit(records: Records, limits: Limits) -> dict[str, Any]:
    """Return the figures of a run.

    ``not_run_but_ran`` counts attempts whose outcome was "not run" although
    a backend server started the same attempt.
    """
    callers, events = records.callers, records.events
    starts = [e for e in events if e["event"] == "start"]
    finals = [_final_outcome(r) for r in callers]
    answered = [
        r for r, f in zip(callers, finals, strict=True) if f == "answered"
    ]
    return {
        "requests": len(callers),
        "answered": len(answered),
        "not_run": finals.count("not-run"),
        "unknown": finals.count("unknown"),
        "wrong_answers": sum(1 for r in callers if r.get("wrong")),
        "ran_twice": _ran_twice(callers, starts),
        "not_run_but_ran": _not_run_but_ran(callers, starts),
        "cut_in_flight": sum(r["cuts"] for r in callers),
        "over_cap": sum(1 for e in events if e["event"] == "over")
        + _over_shift_caps(starts, limits),
        "over_link": _over_links(records.traffic, limits),
        "late_starts": _late_starts(callers, starts),
        "started_while_draining": _started_while_draining(starts, limits),
        "unreadable": records.unreadable,
        **_latencies(answered),
    }


def _final_outcome(record: Record) -> str:
    """Return the outcome of a request over all its attempts."""
    outcomes = record["outcomes"]
    if "answered" in outcomes:
        return "answered"
    if any(o in ("unknown", "cut") for o in outcomes):
        return "unknown"
    return "not-run"


def _ran_twice(callers: list[Record], starts: list[Record]) -> int:
    """Count non-repeatable requests that ran more than once.

    Requests whose caller ended before writing its record appear only in
    the servers' events, so requests without a record are counted too.
    """
    repeatable = {r["token"] for r in callers if r["repeatable"]}
    counts = collections.Counter(
        e["token"]
        for e in starts
        if e["token"] not in repeatable and e["method"] != "GET"
    )
    return sum(1 for count in counts.values() if count > 1)


def _not_run_but_ran(callers: list[Record], starts: list[Record]) -> int:
    started = {(e["token"], e["try"]) for e in starts}
    return sum(
        1
        for record in callers
        for number, outcome in enumerate(record["outcomes"])
        if outcome in ("not-run", "refused")
        and (record["token"], number) in started
    )


def _late_starts(callers: list[Record], starts: list[Record]) -> int:
    """Count starts after the deadline of their attempt."""
    by_token = {r["token"]: r for r in callers}
    late = 0
    for event in starts:
        record = by_token.get(event["token"])
        if record is None or not 0 <= event["try"] < len(record["tries"]):
            continue
        limit_s = record["deadline_ms"] / 1000.0 + DEADLINE_MARGIN_S
        late += event["t"] > record["tries"][event["try"]] + limit_s
    return late


def _started_while_draining(starts: list[Record], limits: Limits) -> int:
    return sum(
        1
        for drain in limits.drains
        for e in starts
        if e["server"] == drain.server
        and drain.at + DRAIN_S < e["t"] < drain.until
    )


def _over_shift_caps(starts: list[Record], limits: Limits) -> int:
    """Count starts that exceed a shift's cap in any one-second window."""
    return sum(
        count_over_cap(shifted_start_times(starts, cap, limits), cap.cap_per_s)
        for cap in limits.shift_caps
    )


def shifted_start_times(
    starts: list[Record], cap: ShiftCap, limits: Limits
) -> list[float]:
    """Return when requests from a shift's source started at its target."""
    return sorted(
        e["t"]
        for e in starts
        if e["server"].rpartition("-")[0] == cap.service
        and e["home"] == cap.source
        and limits.region_of_zone[e["zone"]] == cap.target
        and cap.first <= e["t"] <= cap.last
    )


def count_over_cap(times: list[float], cap: int) -> int:
    """Count the times preceded by `cap` or more others within a second."""
    return sum(
        1
        for index in range(cap, len(times))
        if times[index] - times[index - cap] < WINDOW_S
    )


def _over_links(traffic: list[Record], limits: Limits) -> int:
    """Count the log records at which a link exceeded its rate.

    The relay counts all bytes between two zones, including chiverun's own
    messages.
    """
    if not limits.link_mbit_per_s:
        return 0
    cap = limits.link_mbit_per_s * _BYTES_PER_MBIT * WINDOW_S
    return sum(
        1
        for transfers in link_bytes(traffic, limits).values()
        for size in _bytes_by_second(transfers)
        if size > cap
    )


def link_bytes(
    traffic: list[Record], limits: Limits
) -> dict[tuple[str, str], list[tuple[float, int]]]:
    """Return the times and sizes of relayed bytes by region pair."""
    by_link: dict[tuple[str, str], list[tuple[float, int]]] = {}
    regions = limits.region_of_zone
    for record in sorted(traffic, key=lambda r: r["t"]):
        # The store is in no zone; link rates don't apply to its traffic.
        source = regions.get(record["source"])
        target = regions.get(record["destination"])
        if source and target and source != target:
            by_link.setdefault((source, target), []).append(
                (record["t"], record["bytes"])
            )
    return by_link


def most_bytes_in_a_second(transfers: list[tuple[float, int]]) -> int:
    """Return the highest number of bytes in any one-second window."""
    return max(_bytes_by_second(transfers), default=0)


def _bytes_by_second(transfers: list[tuple[float, int]]) -> Iterator[int]:
    """Yield the bytes of the one-second window ending at each record."""
    window: collections.deque[tuple[float, int]] = collections.deque()
    total = 0
    for at, size in transfers:
        window.append((at, size))
        total += size
        while window[0][0] <= at - WINDOW_S:
            total -= window.popleft()[1]
        yield total


def _latencies(answered: list[Record]) -> dict[str, float]:
    histogram = HdrHistogram(1, 60_000_000, 3)
    for record in answered:
        histogram.record_value(max(1, int(record["ms"] * 1000)))
    return {
        "p50_ms": histogram.get_value_at_percentile(50) / 1000,
        "p99_ms": histogram.get_value_at_percentile(99) / 1000,
    }
