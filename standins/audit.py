"""Joins callers' records with what backend servers logged that they ran."""

import collections
import dataclasses
import json
import pathlib
from collections.abc import Iterable
from typing import Any

from hdrh.histogram import HdrHistogram

WINDOW_S = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class ShiftCap:
    """The cap of a shift while its ticket was in force (wall-clock)."""

    service: str
    source: str
    target: str
    cap_per_s: int
    first: float
    last: float


def read_lines(paths: Iterable[pathlib.Path]) -> list[dict[str, Any]]:
    """Read JSON lines; a half-written last line is left out."""
    records = []
    for path in paths:
        for line in path.read_text().splitlines():
            try:
                records.append(json.loads(line))
            except ValueError:
                continue
    return records


def audit(
    callers: list[dict[str, Any]],
    events: list[dict[str, Any]],
    caps: list[ShiftCap],
    region_of_zone: dict[str, str],
) -> dict[str, Any]:
    """Return the figures of a run.

    ``not_run_but_ran`` counts requests whose last outcome was "not run" and
    that a backend server started; a request with an unknown or a cut try is
    not counted, since that try may have run.
    """
    starts = collections.Counter(
        e["token"] for e in events if e["event"] == "start"
    )
    finals = [_final(r) for r in callers]
    answered = [
        r for r, f in zip(callers, finals, strict=True) if f == "answered"
    ]
    return {
        "requests": len(callers),
        "answered": len(answered),
        "not_run": finals.count("not-run"),
        "unknown": finals.count("unknown"),
        "wrong_answers": sum(1 for r in callers if r.get("wrong")),
        "ran_twice": sum(
            1
            for r in callers
            if not r["repeatable"] and starts[r["token"]] > 1
        ),
        "not_run_but_ran": sum(
            1
            for r, f in zip(callers, finals, strict=True)
            if f == "not-run" and starts[r["token"]] > 0
        ),
        "cut_in_flight": sum(r["cuts"] for r in callers),
        "over_cap": _over_slots(events)
        + _over_shift_caps(events, caps, region_of_zone),
        **_latencies(answered),
    }


def _final(record: dict[str, Any]) -> str:
    """Return what the caller knows in the end."""
    outcomes = record["outcomes"]
    if "answered" in outcomes:
        return "answered"
    if any(o in ("unknown", "cut") for o in outcomes):
        return "unknown"
    return "not-run"


def _over_slots(events: list[dict[str, Any]]) -> int:
    return sum(1 for e in events if e["event"] == "over")


def _over_shift_caps(
    events: list[dict[str, Any]],
    caps: list[ShiftCap],
    region_of_zone: dict[str, str],
) -> int:
    """Count starts beyond a shift's cap in any window of one second."""
    over = 0
    for cap in caps:
        times = sorted(
            e["t"]
            for e in events
            if e["event"] == "start"
            and e["server"].startswith(f"{cap.service}-")
            and e["home"] == cap.source
            and region_of_zone[e["zone"]] == cap.target
            and cap.first <= e["t"] <= cap.last
        )
        over += count_over(times, cap.cap_per_s)
    return over


def count_over(times: list[float], cap: int) -> int:
    """Count the times that exceed a cap within the second before them."""
    return sum(
        1
        for index in range(cap, len(times))
        if times[index] - times[index - cap] < WINDOW_S
    )


def _latencies(answered: list[dict[str, Any]]) -> dict[str, float]:
    histogram = HdrHistogram(1, 60_000_000, 3)
    for record in answered:
        histogram.record_value(max(1, int(record["ms"] * 1000)))
    return {
        "p50_ms": histogram.get_value_at_percentile(50) / 1000,
        "p99_ms": histogram.get_value_at_percentile(99) / 1000,
    }
