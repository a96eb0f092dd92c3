"""Tests that each sign of a draining server is detected in time (P6)."""

import threading
import unittest

from nose2.tools import params

from chiverun.core.clock import ManualClock
from chiverun.core.exchange import Answered
from chiverun.core.exchange import NotSent
from chiverun.core.exchange import Shed
from chiverun.core.exchange import ShedReason
from chiverun.core.ids import ZoneName
from chiverun.core.ticket import Server
from chiverun.integrations.interfaces import StoreUnavailable
from chiverun.runtime.healthcheck import HealthCheck
from chiverun.runtime.healthcheck import is_draining
from tests.core import cap_states

_DRAINING = Answered(status=200, headers=(("X-Shed", "draining"),), body=b"")
_TIMEOUT_S = 30.0


class _Plane:
    """A control plane with servers of its zone."""

    class identity:
        zone = ZoneName("b1")

    def __init__(self, servers: int, watches: bool = True) -> None:
        state = cap_states.make_state()
        objects = {
            **state.objects,
            "server": {
                f"s-{i}": Server(
                    name=f"s-{i}",
                    service="s",
                    zone="b1",
                    address=f"127.0.0.1:{i + 1}",
                    slots=4,
                )
                for i in range(servers)
            },
        }
        state = type(state)(number=1, digest="", objects=objects)
        self.snapshot = cap_states.snapshot(state, 0.0)
        self._watches = watches

    def is_watcher(self) -> bool:
        return self._watches


class _Backends:
    """All servers hang until released, except the draining one."""

    def __init__(self, draining: str) -> None:
        self.released = threading.Event()
        self.calls: list[str] = []
        self.ended = 0
        self._draining = draining

    def exchange(self, address, _req):
        self.calls.append(address)
        if address == self._draining:
            return _DRAINING
        self.released.wait(_TIMEOUT_S)
        self.ended += 1
        return NotSent(detail="hung")


class _InstanceList:
    def __init__(self, names: dict[str, bool] | None) -> None:
        self.names = names

    def leaving(self) -> frozenset[str]:
        if self.names is None:
            raise StoreUnavailable("down")
        return frozenset(n for n, leaving in self.names.items() if leaving)


def _health_check(plane, backends=None, instances=None, report=print):
    return HealthCheck(
        clock=ManualClock(),
        plane=plane,
        backends=backends,
        instances=instances,
        report=report,
    )


class HealthCheckTest(unittest.TestCase):
    @params(6, 33)
    def test_hung_servers_do_not_delay_other_checks(self, count):
        """Sequential checks of 32 hung servers would delay a sign by 16 s."""
        backends = _Backends(f"127.0.0.1:{count}")
        found = threading.Event()
        reports = []

        def report(event):
            reports.append(event.servers)
            found.set()

        health = _health_check(_Plane(count), backends, report=report)
        try:
            health.check_servers()
            self.assertTrue(found.wait(_TIMEOUT_S))
            self.assertEqual(0, backends.ended)
            self.assertEqual([{f"s-{count - 1}"}], reports)
        finally:
            backends.released.set()

    def test_hung_server_is_checked_once_at_a_time(self):
        """Guards against threads that pile up waiting for the same server."""
        backends = _Backends("none")
        health = _health_check(_Plane(3), backends)
        for _ in range(5):
            health.check_servers()
        backends.released.set()
        self.assertLessEqual(len(backends.calls), 3)

    @params(
        ({"s-1": True, "s-2": False, "other": True}, True, [{"s-1"}]),
        ({"s-1": True}, False, []),
        (None, True, []),
    )
    def test_only_watchers_read_the_list(self, names, watches, expected):
        """A failed read and servers of other zones are ignored."""
        reports = []
        health = _health_check(
            _Plane(3, watches),
            instances=_InstanceList(names),
            report=lambda event: reports.append(event.servers),
        )
        health.read_list()
        self.assertEqual(expected, reports)

    def test_failed_read_keeps_the_last_list(self):
        """Signs expire, so a draining server would get requests otherwise."""
        reports = []
        listed = _InstanceList({"s-1": True})
        health = _health_check(
            _Plane(3),
            instances=listed,
            report=lambda event: reports.append(event.servers),
        )
        for names in ({"s-1": True}, None, None, {"s-1": False}, None):
            listed.names = names
            health.read_list()
        self.assertEqual([{"s-1"}] * 3, reports)

    @params(
        (_DRAINING, True),
        (Shed(reason=ShedReason.DRAINING), True),
        (Shed(reason=ShedReason.OVERLOAD), False),
        (Answered(status=200, headers=(), body=b""), False),
        (NotSent(detail=""), False),
    )
    def test_draining_responses(self, end, expected):
        """An overloaded or unreachable server is not draining."""
        self.assertEqual(expected, is_draining(end))
