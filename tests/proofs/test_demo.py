"""Tests that the demonstration measures ticket spread without start times.

A command or an instance that starts slowly must not count as slow spread.
"""

import unittest
from unittest import mock

from chiverun.core.clock import ManualClock
from chiverun.core.ticketrecords import HEAD_KEY
from standins import demo
from standins import deployment

_COMMAND_START_S = 6.0
_SPREAD_S = 0.4
_INSTANCE_START_S = 4.0


class _Cluster:
    """A cluster on which the operator's command starts slowly."""

    def __init__(self, clock: ManualClock) -> None:
        self.spec = deployment.SPECS["inzira"]
        self.processes = {
            i.name: object() for i in deployment.instances(self.spec)
        }
        self._clock = clock
        self._accepted_at = 0.0
        self.restarted: str | None = None

    def submit(self, _ticket: str) -> tuple[int, str]:
        self._clock.advance(_COMMAND_START_S)
        self._accepted_at = self._clock.monotonic()
        if self.restarted is not None:
            self.processes[self.restarted] = object()
        return 0, ""

    def local(self, address: str) -> str:
        return address

    def get_json(self, _url: str) -> dict[str, float]:
        return {HEAD_KEY: self._accepted_at}

    def status(self, name: str) -> dict[str, int]:
        elapsed_s = self._clock.monotonic() - self._accepted_at
        if name == self.restarted:
            return {"number": int(elapsed_s >= _INSTANCE_START_S)}
        is_last = name == max(self.processes)
        return {"number": int(elapsed_s >= (_SPREAD_S if is_last else 0.0))}


class InForceClockTest(unittest.TestCase):
    def test_time_counts_from_the_acceptance(self) -> None:
        """Guards against a slow command start that counts as spread time.

        Under other load the command took 0.9 to 2.2 s of a measured 1.8 to
        2.3 s, and the step failed with 3,971 and 6,233 ms.
        """
        self.assertAlmostEqual(1000 * _SPREAD_S, self._worst_ms(), delta=25)

    def test_instance_that_starts_meanwhile_is_not_live(self) -> None:
        """Guards against a slow instance start that counts as spread time.

        Under other load an instance that started while the command ran
        received the ticket after 1,730 ms, all others within 55 ms.
        """
        worst_ms = self._worst_ms(restarted="amajyaruguru-a-1")
        self.assertAlmostEqual(1000 * _SPREAD_S, worst_ms, delta=25)

    def _worst_ms(self, restarted: str | None = None) -> float:
        clock = ManualClock()
        cluster = _Cluster(clock)
        cluster.restarted = restarted
        timer = demo.InForceClock(cluster=cluster)
        with mock.patch.object(demo, "time") as time:
            time.monotonic.side_effect = clock.monotonic
            time.sleep.side_effect = clock.advance
            timer.submit("0001.toml", 1)
        return timer.worst_ms
