"""Tests of the request path for callers, with other parts replaced."""

import contextlib
import types
import unittest

import msgspec
from nose2.tools import params

from chiverun.core.clock import ManualClock
from chiverun.core.errors import Outcome
from chiverun.core.errors import ResultCode
from chiverun.core.exchange import Answered
from chiverun.core.exchange import classify
from chiverun.core.exchange import Incomplete
from chiverun.core.exchange import Mismatched
from chiverun.core.exchange import NotSent
from chiverun.core.exchange import PeerRefused
from chiverun.core.exchange import Reset
from chiverun.core.exchange import Shed
from chiverun.core.exchange import ShedReason
from chiverun.core.exchange import TimedOut
from chiverun.core.idempotency import KeyTable
from chiverun.core.lookup import BlockTables
from chiverun.core.retries import RetryBudget
from chiverun.core.snapshot import EntryAddresses
from chiverun.core.snapshot import Snapshot
from chiverun.core.snapshot import ZoneView
from chiverun.core.state import empty_state
from chiverun.core.ticket import RequestClass
from chiverun.core.ticket import Service
from chiverun.core.ticket import Zone
from chiverun.integrations.web import IncomingRequest
from chiverun.runtime.entry import EntryHandler
from chiverun.runtime.entry import ISSUER_HEADER
from chiverun.runtime.execution import Attempt
from chiverun.runtime.execution import Executor
from chiverun.runtime.forward import ForwardHandler

_OK = Answered(status=200, headers=(), body=b"ok")
_READ = RequestClass(
    name="read", methods=("GET",), repeatable=True, attempts=3
)
_WRITE = RequestClass(name="write", methods=("POST",))


def _state():
    state = empty_state()
    service = Service(name="desk", classes=(_READ, _WRITE))
    zone = Zone(name="a", region="r", seats=1)
    objects = {Service: {"desk": service}, Zone: {"a": zone}}
    return types.SimpleNamespace(
        number=1, digest=state.digest, of=lambda kind: objects.get(kind, {})
    )


class _Telemetry:
    """Counts nothing."""

    def __init__(self) -> None:
        meter = types.SimpleNamespace(
            add=lambda *_: None, record=lambda *_: None
        )
        self.requests = self.latency = self.attempts = meter

    @contextlib.contextmanager
    def span(self, *_args, **_kwargs):
        yield

    def inject(self, _headers) -> None:
        return None


class _Script:
    """Ends each call as listed; the last one holds for all that follow."""

    def __init__(self, *ends) -> None:
        self.ends = list(ends)
        self.calls = []

    def next(self, call):
        self.calls.append(call)
        end = self.ends.pop(0) if len(self.ends) > 1 else self.ends[0]
        if isinstance(end, Exception):
            raise end
        return end

    def expected_wait_s(self, _work):
        return float("inf")

    def run(self, work, content, _excluded, *, may_wait, hedge=None):
        end = self.next(content.request_id)
        is_refused = isinstance(end, PeerRefused)
        return Attempt(end=end, server=None if is_refused else "s-1")

    def exchange(self, _address, req):
        return self.next(req)


def _addresses(name):
    return EntryAddresses(
        instance=name,
        lookup="l",
        entry=f"entry-of-{name}",
        forward="f",
        free_slots={"desk": 1},
        measured_at=1000.0,
    )


class EntryTest(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.peer_calls = _Script(_OK)

    def _snapshot(self, *names, leaving=False):
        view = ZoneView(
            zone="a",
            region="r",
            instances=tuple(_addresses(n) for n in names),
            free_slots={},
            measured_at=1000.0,
        )
        return Snapshot(
            state=_state(),
            published_at=1000.0,
            zones={"a": view},
            seats=(),
            confirmed=True,
            leaving=leaving,
            leaving_servers=frozenset(),
        )

    def _entry(self, executor, *, name="a-1", peers=(), boot_id="life-1"):
        self.plane = types.SimpleNamespace(snapshot=self._snapshot(*peers))
        self.keys = KeyTable(instance=name, boot_id=boot_id, clock=self.clock)
        return EntryHandler(
            identity=types.SimpleNamespace(instance=name, zone="a"),
            clock=self.clock,
            plane=self.plane,
            executor=executor,
            backends=self.peer_calls,
            links=None,
            blocks=BlockTables(),
            keys=self.keys,
            budget=RetryBudget(),
            telemetry=_Telemetry(),
            threads=40,
        )

    def _send(self, entry, *, key="", method="POST", **headers):
        headers = {k.replace("_", "-"): v for k, v in headers.items()}
        if key:
            headers["idempotency-key"] = key
        reply = entry.handle(
            IncomingRequest(
                method=method,
                path="/s/desk/x",
                query="",
                headers=headers,
                body=b"b",
                remote="",
            )
        )
        found = dict(reply.headers)
        return found["X-Chiverun-Outcome"], int(found["X-Chiverun-Code"])

    @params(
        (Reset(detail=""), "unknown", 1),
        (TimedOut(), "unknown", 1),
        (Incomplete(detail=""), "unknown", 1),
        (Mismatched(request_id="x"), "unknown", 1),
        (Answered(status=500, headers=(), body=b""), "unknown", 1),
        (Shed(reason=ShedReason.OVERLOAD), "not-run", 4),
        (NotSent(detail=""), "not-run", 4),
        (_OK, "answered", 1),
    )
    def test_write_runs_at_most_once(self, end, outcome, calls):
        """Guards against another attempt after one that may have run."""
        script = _Script(end)
        entry = self._entry(script)
        (key,) = self.keys.issue(1)
        self.assertEqual(outcome, self._send(entry, key=key)[0])
        self.assertEqual(calls, len(script.calls))
        again, _ = self._send(entry, key=key)
        self.assertEqual(outcome, again)
        if outcome != "not-run":
            self.assertEqual(calls, len(script.calls))

    def test_unknown_read_then_refused_is_unknown(self):
        """Guards against "not run" by the last of several attempts."""
        refused = PeerRefused(code=ResultCode.NO_CAPACITY)
        entry = self._entry(_Script(Reset(detail=""), refused))
        self.assertEqual("unknown", self._send(entry, method="GET")[0])

    def test_error_while_running_uses_up_the_key(self):
        """Guards against a second run after an unexpected error."""
        script = _Script(RuntimeError("fault"), _OK)
        entry = self._entry(script)
        (key,) = self.keys.issue(1)
        with self.assertRaises(RuntimeError):
            self._send(entry, key=key)
        self.assertEqual("unknown", self._send(entry, key=key)[0])
        self.assertEqual(1, len(script.calls))

    def test_request_ids_differ(self):
        """Guards against two requests that compare equal ids."""
        script = _Script(_OK)
        entry = self._entry(script)
        for _ in range(1000):
            self._send(entry, method="GET")
        self.assertEqual(1000, len(set(script.calls)))

    @params(
        (_OK, "answered"),
        (PeerRefused(code=ResultCode.NO_CAPACITY), "not-run"),
        (PeerRefused(code=ResultCode.REQUEST_MALFORMED), "unknown"),
        (NotSent(detail=""), "unknown"),
        (Reset(detail=""), "unknown"),
        (Mismatched(request_id="x"), "unknown"),
    )
    def test_key_of_another_instance(self, end, outcome):
        """Guards against running or judging what only the issuer knows."""
        self.peer_calls = _Script(end)
        script = _Script(_OK)
        entry = self._entry(script, peers=("a-2",))
        self.assertEqual(outcome, self._send(entry, key="a-2~life~1")[0])
        self.assertEqual([], script.calls)
        (call,) = self.peer_calls.calls
        self.assertNotEqual("", call.request_id)
        self.assertTrue(call.fresh_connection and call.to_peer)
        names = [name.lower() for name in call.headers]
        self.assertEqual(len(set(names)), len(names))

    @params(
        ("unused", "not-run"),
        ("used", "unknown"),
        ("of another", "unknown"),
        ("none", "not-run"),
    )
    def test_refusal_before_the_key_is_looked_up(self, case, outcome):
        """Guards against "not run" for a repeat of what may have run."""
        entry = self._entry(_Script(_OK), peers=("a-2",))
        (key,) = self.keys.issue(1)
        match case:
            case "used":
                self._send(entry, key=key)
            case "of another":
                key = "a-2~life~1"
            case "none":
                key = ""
        found, code = self._send(entry, key=key, x_deadline_ms="bad")
        self.assertEqual(ResultCode.DEADLINE_INVALID, code)
        self.assertEqual(outcome, found)

    def test_leaving_issuer_is_still_asked(self):
        """Guards against an avoidable unknown outcome in a planned stop."""
        entry = self._entry(_Script(_OK), peers=("a-2",))
        self._send(entry, method="GET")
        self.plane.snapshot = self._snapshot()
        self.clock.advance(5)
        self.assertEqual("answered", self._send(entry, key="a-2~life~1")[0])

    def test_moved_issuer_is_not_asked_in_a_circle(self):
        """Guards against a loop of instances with old addresses."""
        entry = self._entry(_Script(_OK), peers=("a-2",))
        marked = {ISSUER_HEADER.lower().replace("-", "_"): "a-2"}
        outcome, _ = self._send(entry, key="a-2~life~1", **marked)
        self.assertEqual("unknown", outcome)
        self.assertEqual([], self.peer_calls.calls)

    @params(True, False)
    def test_issuer_without_seats_places_its_keys_elsewhere(self, leaving):
        """Guards against refusing keys that no other instance may run."""
        refused = PeerRefused(code=ResultCode.NO_SEAT)
        self.peer_calls = _Script(refused, refused, _OK)
        entry = self._entry(_Script(refused))
        self.plane.snapshot = self._snapshot("a-2", leaving=leaving)
        self.plane.snapshot.zones["a"].instances[0].free_slots.clear()
        (key,) = self.keys.issue(1)
        self.assertEqual("answered", self._send(entry, key=key)[0])
        self.assertEqual(3, len(self.peer_calls.calls))

    def test_read_without_seats_is_placed_again(self):
        """Guards against refusing reads right after a start.

        A caller that knows only this instance would be refused by each of
        its tries within milliseconds.
        """
        refused = PeerRefused(code=ResultCode.NO_SEAT)
        script = _Script(refused, refused, _OK)
        entry = self._entry(script)
        self.assertEqual("answered", self._send(entry, method="GET")[0])

    def test_read_without_seats_does_not_wait_for_its_deadline(self):
        """Guards against holding a read that can run elsewhere."""

        class Refusing(_Script):
            def run(script, *args, **kwargs):
                self.clock.advance(0.1)
                return super().run(*args, **kwargs)

        entry = self._entry(Refusing(PeerRefused(code=ResultCode.NO_SEAT)))
        began = self.clock.monotonic()
        self.assertEqual("not-run", self._send(entry, method="GET")[0])
        self.assertLess(self.clock.monotonic() - began, 1.0)

    @params("0", "-1", "+1", "1.5", "", "9" * 5000)
    def test_bad_deadline_is_refused(self, text):
        """Guards against an error where a refusal is due."""
        script = _Script(_OK)
        entry = self._entry(script)
        outcome, code = self._send(entry, method="GET", x_deadline_ms=text)
        self.assertEqual("not-run", outcome)
        self.assertEqual(ResultCode.DEADLINE_INVALID, code)
        self.assertEqual([], script.calls)


class ForwardTest(unittest.TestCase):
    @params(
        ("1005000", 1002.0),
        ("1000500", 1000.5),
        ("", None),
        ("-5", None),
        ("9" * 400, None),
    )
    def test_deadline(self, text, deadline):
        """Guards against work past the time at which its seat may move."""
        works = []

        class Runner:
            def run(self, work, *_args, **_kwargs):
                works.append(work.deadline)
                return Attempt(end=_OK)

        forward = ForwardHandler(
            zone="a",
            clock=ManualClock(),
            plane=types.SimpleNamespace(
                snapshot=types.SimpleNamespace(state=_state())
            ),
            executor=Runner(),
            links=None,
            telemetry=_Telemetry(),
            threads=40,
        )
        reply = forward.handle(
            IncomingRequest(
                method="GET",
                path="/f/desk/x",
                query="",
                headers={
                    "x-chiverun-class": "read",
                    "x-chiverun-source": "r",
                    "x-deadline-epoch-ms": text,
                },
                body=b"",
                remote="",
            )
        )
        self.assertEqual([] if deadline is None else [deadline], works)
        if deadline is None:
            self.assertEqual(
                "not-run", msgspec.json.decode(reply.body)["outcome"]
            )


class ExecutorTest(unittest.TestCase):
    def _executor(self, script, *, is_valid=True):
        self.released = []
        admission = types.SimpleNamespace(
            try_acquire=lambda *_: self.grant,
            confirm=lambda _: is_valid,
            cancel=lambda _: self.released.append("cancel"),
            release=lambda _, end, **_kw: self.released.append(end),
        )
        work = types.SimpleNamespace(
            service="desk", deadline=1001.0, request_class=_WRITE
        )
        server = types.SimpleNamespace(name="s-1", address="h:1")
        self.grant = types.SimpleNamespace(server=server, work=work)
        self.content = types.SimpleNamespace(
            method="POST", path="/", headers={}, body=b"", request_id="i"
        )
        executor = Executor(
            clock=ManualClock(),
            admission=admission,
            backends=script,
            telemetry=_Telemetry(),
        )
        return lambda: executor.run(
            work, self.content, frozenset(), may_wait=False
        )

    def test_error_in_an_exchange_leaves_its_slot_occupied(self):
        """Guards against taking an unexpected error for "not sent"."""
        run = self._executor(_Script(RuntimeError("fault")))
        with self.assertRaises(RuntimeError):
            run()
        self.assertIsInstance(self.released[0], Reset)

    def test_grant_from_before_a_pause_is_not_used(self):
        """Guards against old work after the process was stopped."""
        script = _Script(_OK)
        attempt = self._executor(script, is_valid=False)()
        self.assertIs(Outcome.NOT_RUN, classify(attempt.end).outcome)
        self.assertEqual([], script.calls)
        self.assertEqual(["cancel"], self.released)
