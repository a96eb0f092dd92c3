"""The audit must find each kind of violation."""

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


def _call(**changes) -> dict:
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


def _event(event="start", **changes) -> dict:
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


def _crossing(*times: float) -> list[dict]:
    return [_event(t=t, zone="b1", token=f"x{t}", method="GET") for t in times]


def _bytes(t: float, size: int, destination: str = "b1") -> dict:
    return {
        "t": t,
        "source": "a1",
        "destination": destination,
        "bytes": size,
    }


class AuditTest(unittest.TestCase):
    @params(
        ("", [_call()], [_event()], []),
        ("ran_twice", [_call()], [_event(), _event(t=1.2)], []),
        ("ran_twice", [], [_event(), _event(t=1.2)], []),
        ("", [_call(repeatable=True)], [_event(), _event(t=1.2)], []),
        ("not_run_but_ran", [_call(outcomes=["not-run"])], [_event()], []),
        (
            "not_run_but_ran",
            [
                _call(
                    outcomes=["not-run", "answered"],
                    tries=[1.0, 1.0],
                    repeatable=True,
                )
            ],
            [_event(), _event(**{"try": 1})],
            [],
        ),
        ("wrong_answers", [_call(wrong=True)], [_event()], []),
        ("cut_in_flight", [_call(cuts=1)], [_event()], []),
        ("over_cap", [_call()], [_event("over")], []),
        ("over_cap", [], _crossing(1.0, 1.9), []),
        ("", [], _crossing(1.0, 2.0), []),
        ("late_starts", [_call()], [_event(t=3.1)], []),
        ("started_while_draining", [], [_event(server="s-9", t=13.1)], []),
        ("", [], [_event(server="s-9", t=12.9)], []),
        ("", [], [_event(server="s-9", t=20.1)], []),
        ("over_link", [], [], [_bytes(1.0, 600), _bytes(1.5, 600)]),
        ("", [], [], [_bytes(1.0, 600), _bytes(2.1, 600)]),
        ("", [], [], [_bytes(1.0, 6000, "platform")]),
    )
    def test_violation_is_counted_once(self, figure, calls, events, traffic):
        """A figure that misses a violation would pass any run."""
        records = audit.Records(callers=calls, events=events, traffic=traffic)
        figures = audit.audit(records, _LIMITS)
        counted = {
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
        self.assertEqual({figure: 1} if figure else {}, counted)

    def test_unreadable_lines_are_counted(self):
        """A dropped line may hold the violation; a cut last one may not."""
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "log"
            path.write_text('{"a": 1}\n{"b\n{"c": 2}\n{"d')
            records, unreadable = audit.read_lines([path])
        self.assertEqual((2, 1), (len(records), unreadable))
