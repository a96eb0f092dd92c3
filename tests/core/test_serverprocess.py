"""Tests of which process of a server its connections lead to."""

import dataclasses
import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import invariant
from hypothesis.stateful import precondition
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine
from nose2.tools import params

from chiverun.core.serverprocess import KnownProcess
from chiverun.core.serverprocess import TRANSIT_MAX_S

_EXAMPLES = 400
_STEPS = 60
# How long a process is cold after its start.
_COLD_START_S = 3.0
_PICKS = st.integers(min_value=0, max_value=1_000_000)


@dataclasses.dataclass(eq=False)
class _Process:
    """A process under the server's name; one runs at a time."""

    started_at: float
    has_ended: bool = False


@dataclasses.dataclass(eq=False)
class _Attempt:
    """A connection attempt on its way back; refused without a process."""

    process: _Process | None


@dataclasses.dataclass(eq=False)
class _Connection:
    opened_at: float
    process: _Process


@dataclasses.dataclass(eq=False)
class _Exchange:
    """A request or a health check on its way, there or back."""

    connection: _Connection
    sent_at: float
    is_check: bool
    was_safe: bool
    answered_at: float = float("inf")


class RestartedServer(RuleBasedStateMachine):
    """A server whose processes end and start while a machine sends to it.

    Attempts and requests take any time, responses up to `TRANSIT_MAX_S`; all
    may be lost and overtake each other. A response that is on its way arrives
    also after its process has ended.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.known = KnownProcess()
        self.process: _Process | None = _Process(started_at=self.now)
        # Processes that have told of themselves.
        self.told: set[_Process] = set()
        self.attempts: list[_Attempt] = []
        self.connections: list[_Connection] = []
        self.requests: list[_Exchange] = []
        self.responses: list[_Exchange] = []

    @rule(seconds=st.sampled_from([0.001, 0.1, 1.0]))
    def wait(self, seconds) -> None:
        """Let time pass; without it several things happen at one time."""
        self.now += seconds

    @precondition(lambda self: self.process is not None)
    @rule(is_replaced=st.booleans())
    def end_process(self, is_replaced) -> None:
        """End the process; another one may start at once."""
        self.process.has_ended = True
        # A process needs some time to start.
        self.now += 0.0005
        self.process = None
        if is_replaced:
            self.start_process()

    @precondition(lambda self: self.process is None)
    @rule()
    def start_process(self) -> None:
        """Start another process."""
        self.process = _Process(started_at=self.now)

    @rule()
    def attempt(self) -> None:
        """Reach the server with an attempt to connect."""
        self.attempts.append(_Attempt(process=self.process))

    @precondition(lambda self: self.attempts)
    @rule(pick=_PICKS)
    def end_attempt(self, pick) -> None:
        """Learn how an attempt ended."""
        attempt = self.attempts.pop(pick % len(self.attempts))
        if attempt.process is not None:
            self.connections.append(
                _Connection(opened_at=self.now, process=attempt.process)
            )
        else:
            self.known.notice_end(self.now)

    @precondition(lambda self: self.connections)
    @rule(pick=_PICKS, is_check=st.booleans())
    def send(self, pick, is_check) -> None:
        """Send a request or a health check on any connection."""
        connection = self.connections[pick % len(self.connections)]
        self.requests.append(
            _Exchange(
                connection=connection,
                sent_at=self.now,
                is_check=is_check,
                was_safe=self._is_safe(connection),
            )
        )

    @precondition(lambda self: self.requests)
    @rule(pick=_PICKS)
    def reach(self, pick) -> None:
        """Let a request reach the process that accepted its connection."""
        exchange = self.requests.pop(pick % len(self.requests))
        process = exchange.connection.process
        if process.has_ended:
            return
        if exchange.was_safe:
            assert self._may_get_requests(process), "not asked before"
        exchange.answered_at = self.now
        self.responses.append(exchange)

    @precondition(lambda self: self.responses)
    @rule(pick=_PICKS)
    def answer(self, pick) -> None:
        """Let a response arrive, unless its way has taken too long."""
        exchange = self.responses.pop(pick % len(self.responses))
        if self.now - exchange.answered_at > TRANSIT_MAX_S:
            return
        opened_at = exchange.connection.opened_at
        if exchange.is_check:
            self.told.add(exchange.connection.process)
            self.known.confirm(exchange.sent_at)
            # Or else a server would be asked before each request.
            assert self.known.covers(opened_at)
        else:
            self.known.apply_response(
                opened_at,
                sent_at=exchange.sent_at,
                now=self.now,
                cold_start_s=_COLD_START_S,
            )

    @invariant()
    def safe_connections_lead_to_no_cold_process_unseen(self) -> None:
        """Check the connections to the process that runs."""
        for connection in self.connections:
            if connection.process.has_ended:
                continue
            if self.known.covers(connection.opened_at):
                assert self._may_get_requests(connection.process)
            if self._is_safe(connection):
                assert self._may_get_requests(connection.process)

    def _is_safe(self, connection: _Connection) -> bool:
        return self.known.is_safe(
            connection.opened_at, self.now, cold_start_s=_COLD_START_S
        )

    def _may_get_requests(self, process: _Process) -> bool:
        """Return whether a process is warm or has told that it is cold."""
        is_warm = self.now - process.started_at >= _COLD_START_S
        return process in self.told or is_warm


class RestartedServerTest(RestartedServer.TestCase):
    """Guards against requests to a new process that nobody has asked.

    It is cold, and may not get what the one before it got.
    """

    settings = settings(
        max_examples=_EXAMPLES,
        stateful_step_count=_STEPS,
        deadline=None,
        derandomize=True,
    )


class KnownProcessTest(unittest.TestCase):
    @params(
        # When a connection was opened, a request was sent on it and the
        # response arrived; until when connections are covered then. The
        # process was asked at 10 s.
        (9.0, 10.1, 11.0, 11.0 - TRANSIT_MAX_S),
        (9.0, 10.9, 11.0, 10.9),
        (10.0, 10.1, 10.2, 10.1),
        # Not covered, and too young to be warm.
        (10.1, 10.2, 11.0, 10.0),
        (10.1, 10.0 + _COLD_START_S, 13.5, 10.0),
        # The process is older than its cold time.
        (10.1, 10.1 + _COLD_START_S, 13.2, 10.1 + _COLD_START_S),
    )
    def test_responses_cover_connections(
        self, opened_at, sent_at, arrived_at, covered_until
    ) -> None:
        """Guards against unchecked connections to a process that is cold."""
        process = KnownProcess()
        process.confirm(10.0)
        process.apply_response(
            opened_at,
            sent_at=sent_at,
            now=arrived_at,
            cold_start_s=_COLD_START_S,
        )
        self.assertTrue(process.covers(covered_until))
        self.assertFalse(process.covers(covered_until + 0.01))

    def test_refused_connection_uncovers_all(self) -> None:
        """Guards against sends to a new process as to the one before."""
        process = KnownProcess()
        process.confirm(10.0)
        process.notice_end(11.0)
        self.assertFalse(process.covers(9.0))
