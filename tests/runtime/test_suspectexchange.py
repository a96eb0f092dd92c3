"""Tests of a fleet that tells of requests under which servers have ended."""

import unittest

import logbook

from chiverun.core.suspects import EndedServer
from chiverun.core.suspects import ENDS_MAX
from chiverun.core.suspects import fingerprint_of
from chiverun.runtime.limitexchange import REPEAT_PERIOD_S
from tests.runtime.fleet import Fleet

_ZONES = ("a", "b")
_RESTARTED = ("a-000", "b-001")
_TOLD_S = 0.5
_REQUEST = fingerprint_of(
    method="GET", host="mill.example", target="/read/deadly", body=b""
)


class SuspectExchangeTest(unittest.TestCase):
    def setUp(self) -> None:
        handler = logbook.NullHandler()
        handler.push_application()
        self.addCleanup(handler.pop_application)
        self.fleet = Fleet(zones=_ZONES, machines=3)
        self.fleet.run(6.0)

    def _end_servers(self) -> None:
        """Let as many servers end under the request as it may meet."""
        for number in range(ENDS_MAX):
            self.fleet.suspects["a-000"].record_end(
                _REQUEST,
                EndedServer(server=f"s{number}", started_ms=1),
                "r1",
                self.fleet.clock.time(),
            )

    def _assert_all_block(self) -> None:
        blocking = self.fleet.blocking(_REQUEST)
        self.assertEqual(self.fleet.alive(), blocking)

    # Guards against a retry that another machine sends on.
    def test_all_machines_hear_of_ends(self) -> None:
        self._end_servers()
        self.fleet.run(_TOLD_S)
        self._assert_all_block()

    # Guards against a server that ends under the request again and again, on
    # another machine each time, while its record stays the same.
    def test_ends_of_one_record_add_up(self) -> None:
        for name in ("a-000", "b-001"):
            self.fleet.suspects[name].record_end(
                _REQUEST,
                EndedServer(server="s1", started_ms=1),
                "r1",
                self.fleet.clock.time(),
            )
            self.fleet.run(_TOLD_S)
        self._assert_all_block()

    # Guards against one end that counts twice, since both machines had sent
    # the request to the process.
    def test_end_seen_by_two_machines_is_one(self) -> None:
        sent_at = self.fleet.clock.time()
        for name in ("a-000", "b-001"):
            self.fleet.suspects[name].record_end(
                _REQUEST,
                EndedServer(server="s1", started_ms=1),
                "r1",
                sent_at,
            )
            self.fleet.run(_TOLD_S)
        self.assertEqual(set(), set(self.fleet.blocking(_REQUEST)))

    # Guards against machines that have just started and send the request to
    # two more servers each.
    def test_started_machines_hear_of_earlier_ends(self) -> None:
        self._end_servers()
        self.fleet.run(_TOLD_S)
        for name in _RESTARTED:
            self.fleet.down.add(name)
        self.fleet.run(2.0)
        for name in _RESTARTED:
            self.fleet.start(name)
        self.fleet.run(REPEAT_PERIOD_S + _TOLD_S)
        self._assert_all_block()

    # Guards against a zone that was cut off when the servers ended.
    def test_zone_that_was_cut_off_hears_of_earlier_ends(self) -> None:
        self.fleet.cut.add(frozenset(_ZONES))
        self._end_servers()
        self.fleet.run(4.0)
        self.fleet.cut.clear()
        self.fleet.run(REPEAT_PERIOD_S + _TOLD_S)
        self._assert_all_block()


if __name__ == "__main__":
    unittest.main()
