"""Tests of requests that end the servers that run them."""

import random
import unittest

from nose2.tools import params

from chiverun.core.suspects import ANSWERED_MAX
from chiverun.core.suspects import END_MARGIN_S
from chiverun.core.suspects import EndedServer
from chiverun.core.suspects import fingerprint_of
from chiverun.core.suspects import MEMORY_S
from chiverun.core.suspects import REQUESTS_MAX
from chiverun.core.suspects import SuspectTable

_S1 = EndedServer(server="s1", started_ms=1)
_S1_AGAIN = EndedServer(server="s1", started_ms=2)
_S2 = EndedServer(server="s2", started_ms=1)
_REQUEST = fingerprint_of(method="GET", host="h", target="/a", body=b"")


class SuspectTableTest(unittest.TestCase):
    def setUp(self) -> None:
        self.table = SuspectTable()

    @params(
        # Ends, and whether the request is sent to no further server.
        ((), False),
        ((_S1,), False),
        # Several instances tell of the same end.
        ((_S1, _S1, _S1), False),
        ((_S1, _S2), True),
        ((_S1, _S1_AGAIN), True),
    )
    def test_two_ends_block_a_request(self, ends, is_blocked) -> None:
        """Guards against a request that ends one server after another."""
        for end in ends:
            self.table.record_end(_REQUEST, end, 10.0)
        self.assertEqual(is_blocked, self.table.is_blocked(_REQUEST, 10.0))

    @params(
        # When the send that met the second end began, after the first one was
        # recorded at 10 s, and whether these are two ends.
        (9.0, False),
        (10.0 + END_MARGIN_S, False),
        (10.1 + END_MARGIN_S, True),
    )
    def test_later_send_meets_another_process(
        self, sent_at, is_blocked
    ) -> None:
        """Guards against a request that ends one server again and again.

        The server starts again under its name, and no record tells so. Sends
        that were under way when the process ended met the same end.
        """
        self.table.record_end(_REQUEST, _S1, 10.0, sent_at=9.5)
        self.table.record_end(_REQUEST, _S1, 12.0, sent_at=sent_at)
        self.assertEqual(is_blocked, self.table.is_blocked(_REQUEST, 12.0))

    def test_told_ends_of_one_record_are_told_apart(self) -> None:
        """Guards against machines that count another machine's end as theirs.

        A machine that has heard of the first end sees the second one, and the
        first machine hears of that.
        """
        other = SuspectTable()
        self.table.record_end(_REQUEST, _S1, 10.0, sent_at=9.5)
        for end in self.table.ends(_REQUEST):
            other.record_end(_REQUEST, end, 10.0)
        other.record_end(_REQUEST, _S1, 12.0, sent_at=11.5)
        for end in other.ends(_REQUEST):
            self.table.record_end(_REQUEST, end, 12.0)
        for table in (self.table, other):
            self.assertTrue(table.is_blocked(_REQUEST, 12.0))

    def test_answered_request_is_not_blocked(self) -> None:
        """Guards against a popular request that everyone refuses."""
        self.table.record_end(_REQUEST, _S1, 10.0)
        self.table.record_answer(_REQUEST, 11.0)
        self.assertFalse(self.table.record_end(_REQUEST, _S2, 12.0))
        self.assertFalse(self.table.is_blocked(_REQUEST, 12.0))

    def test_request_that_was_answered_before_is_not_blocked(self) -> None:
        """Guards against the same when several servers end at once."""
        self.table.record_answer(_REQUEST, 9.0)
        for end in (_S1, _S2):
            self.assertFalse(self.table.record_end(_REQUEST, end, 10.0))
        self.assertFalse(self.table.is_blocked(_REQUEST, 10.0))

    def test_block_ends(self) -> None:
        """Guards against a request that is refused for ever."""
        self.table.record_end(_REQUEST, _S1, 10.0)
        self.table.record_end(_REQUEST, _S2, 11.0)
        self.assertTrue(self.table.is_blocked(_REQUEST, 11.0 + MEMORY_S))
        later = 11.1 + MEMORY_S
        self.assertFalse(self.table.is_blocked(_REQUEST, later))
        self.table.record_end(_REQUEST, _S1_AGAIN, later)
        self.assertFalse(self.table.is_blocked(_REQUEST, later))

    def test_memory_is_bounded(self) -> None:
        """Guards against a caller that fills the memory."""
        for number in range(2 * REQUESTS_MAX):
            request = fingerprint_of(
                method="GET", host="h", target=f"/{number}", body=b""
            )
            self.table.record_end(request, _S1, 10.0)
        self.assertEqual(REQUESTS_MAX, len(self.table._rows))
        for number in range(2 * ANSWERED_MAX):
            request = fingerprint_of(
                method="GET", host="h", target=f"/{number}", body=b""
            )
            self.table.record_answer(request, 11.0)
        self.assertEqual(ANSWERED_MAX, len(self.table._answered_at))

    @params(
        {"method": "POST"},
        {"host": "other"},
        {"target": "/a?b"},
        {"body": b"x"},
        {"target": "/a\0"},
    )
    def test_other_requests_have_other_fingerprints(self, changes) -> None:
        """Guards against the refusal of a request that ends no server."""
        values = {"method": "GET", "host": "h", "target": "/a", "body": b""}
        other = fingerprint_of(**{**values, **changes})
        self.assertNotEqual(_REQUEST, other)

    @params((0.03, True), (0.01, True), (0.1, True), (0.03, False))
    def test_fewer_servers_end(self, share, is_told) -> None:
        """Guards against a rule that stops the cause too late, or others.

        Machines share the servers; some requests end the one that runs them,
        their clients return with them, and servers end without a cause. The
        naive policy sends everything.
        """
        naive = _simulate(share, limits=False, is_told=True)
        limited = _simulate(share, limits=True, is_told=is_told)
        machines = 1 if is_told else _MACHINES
        most = 2 * machines * limited.causes + limited.crashes
        self.assertLessEqual(limited.ended, most)
        self.assertEqual(naive.causes, limited.causes)
        if is_told:
            self.assertLess(limited.ended, naive.ended)
        self.assertEqual(0, limited.refused)


_MACHINES = 8
_RETURNS = 8
_IN_FLIGHT = 4


class _Outcome:
    def __init__(self) -> None:
        self.ended = 0
        self.causes = 0
        self.crashes = 0
        # Requests that end no server and were refused.
        self.refused = 0


def _simulate(share: float, *, limits: bool, is_told: bool) -> _Outcome:
    """Play requests that end their server, and crashes without a cause."""
    # Which requests are causes does not depend on the policy.
    plan = random.Random(1)
    rng = random.Random(2)
    outcome = _Outcome()
    tables = [SuspectTable() for _ in range(_MACHINES)]
    for number in range(400):
        now = 0.1 * number
        is_cause = plan.random() < share
        outcome.causes += is_cause
        is_crash = plan.random() < 0.02 and not is_cause
        outcome.crashes += is_crash
        request = _fingerprint(f"/{number}")
        for attempt in range(_RETURNS if is_cause else 1):
            table = rng.choice(tables)
            if limits and table.is_blocked(request, now):
                outcome.refused += not is_cause
                continue
            if not is_cause and not is_crash:
                continue
            outcome.ended += 1
            end = EndedServer(server=f"s{number}-{attempt}", started_ms=1)
            victims = [
                _fingerprint(f"/v{rng.randrange(20)}")
                for _ in range(_IN_FLIGHT - 1)
            ]
            for told in tables if is_told else [table]:
                for fingerprint in (request, *victims):
                    told.record_end(fingerprint, end, now)
                for fingerprint in victims:
                    told.record_answer(fingerprint, now)
    for number in range(20):
        victim = _fingerprint(f"/v{number}")
        outcome.refused += any(t.is_blocked(victim, 40.0) for t in tables)
    return outcome


def _fingerprint(target: str) -> bytes:
    return fingerprint_of(method="GET", host="h", target=target, body=b"")
