"""Tests that the audit counts each kind of violation.

An audit that misses one reports a broken guarantee as kept.
"""

import pathlib
import tempfile
import unittest

from nose2.tools import params

from standins import audit

_REGIONS = {"a1": "a", "b1": "b"}
_LIMITS = audit.Limits(
    region_of_zone=_REGIONS,
    shift_caps=(
        audit.ShiftCap(
            service="s", source="a", target="b", cap_per_s=1, first=0, last=99
        ),
    ),
    drains=(audit.Drain(server="s-9", at=10.0, until=20.0),),
    link_mbit_per_s=0.008,
)


def _caller_record(**changes) -> dict:
    return {
        "token": "t",
        "repeatable": False,
        "outcomes": ["answered"],
        "tries": [1.0],
        "deadline_ms": 2000,
        "cuts": 0,
        "ms": 5.0,
        **changes,
    }


def _server_event(event="start", **changes) -> dict:
    return {
        "t": 1.1,
        "event": event,
        "server": "s-1",
        "zone": "a1",
        "token": "t",
        "home": "a",
        "method": "POST",
        "try": 0,
        **changes,
    }


def _region_crossings(*times: float) -> list[dict]:
    return [
        _server_event(t=t, zone="b1", token=f"x{t}", method="GET")
        for t in times
    ]


def _transfer(t: float, size: int, destination: str = "b1") -> dict:
    return {
        "t": t,
        "source": "a1",
        "destination": destination,
        "bytes": size,
    }


class AuditTest(unittest.TestCase):
    @params(
        ("", [_caller_record()], [_server_event()], []),
        (
            "ran_twice",
            [_caller_record()],
            [_server_event(), _server_event(t=1.2)],
            [],
        ),
        ("ran_twice", [], [_server_event(), _server_event(t=1.2)], []),
        (
            "",
            [_caller_record(repeatable=True)],
            [_server_event(), _server_event(t=1.2)],
            [],
        ),
        (
            "not_run_but_ran",
            [_caller_record(outcomes=["not-run"])],
            [_server_event()],
            [],
        ),
        (
            "not_run_but_ran",
            [
                _caller_record(
                    outcomes=["not-run", "answered"],
                    tries=[1.0, 1.0],
                    repeatable=True,
                )
            ],
            [_server_event(), _server_event(**{"try": 1})],
            [],
        ),
        ("wrong_answers", [_caller_record(wrong=True)], [_server_event()], []),
        ("cut_in_flight", [_caller_record(cuts=1)], [_server_event()], []),
        ("over_cap", [_caller_record()], [_server_event("over")], []),
        ("over_cap", [], _region_crossings(1.0, 1.9), []),
        ("", [], _region_crossings(1.0, 2.0), []),
        ("late_starts", [_caller_record()], [_server_event(t=3.1)], []),
        (
            "started_while_draining",
            [],
            [_server_event(server="s-9", t=13.1)],
            [],
        ),
        ("", [], [_server_event(server="s-9", t=12.9)], []),
        ("", [], [_server_event(server="s-9", t=20.1)], []),
        ("over_link", [], [], [_transfer(1.0, 600), _transfer(1.5, 600)]),
        ("", [], [], [_transfer(1.0, 600), _transfer(2.1, 600)]),
        ("", [], [], [_transfer(1.0, 6000, "platform")]),
    )
    def test_violation_is_counted_once(self, figure, calls, events, traffic):
        """Guards against a violation that is missed or counted twice."""
        records = audit.Records(callers=calls, events=events, traffic=traffic)
        figures = audit.audit(records, _LIMITS)
        violations = {
            name: figures[name]
            for name in (
                "ran_twice",
                "not_run_but_ran",
                "wrong_answers",
                "cut_in_flight",
                "over_cap",
                "late_starts",
                "started_while_draining",
                "over_link",
            )
            if figures[name]
        }
        self.assertEqual({figure: 1} if figure else {}, violations)

    def test_unreadable_lines_are_counted(self):
        """Guards against a skipped line that hides a violation.

        A truncated last line is no fault: its process was killed.
        """
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "log"
            path.write_text('{"a": 1}\n{"b\n{"c": 2}\n{"d')
            records, unreadable = audit.read_lines([path])
        self.assertEqual((2, 1), (len(records), unreadable))
