"""Drains and stops of real processes under load (P6, P7)."""

import contextlib
import signal
import time
import unittest

from standins import audit
from standins import deployment
from standins import measure_stops
from standins.cluster import wait_until

_LOAD_S = 75.0
_LIMIT_S = 40.0
_STOPPED = ("amajyaruguru-a-1", "iburengerazuba-a-1")


class StopTest(unittest.TestCase):
    """One deployment for all tests; callers keep connections alive."""

    @classmethod
    def setUpClass(cls):
        cls.stack = contextlib.ExitStack()
        cls.run_ = cls.stack.enter_context(
            measure_stops.loaded("inzira", _LOAD_S, 1)
        )
        cls.cluster = cls.run_.cluster

    @classmethod
    def tearDownClass(cls):
        cls.stack.close()

    def _listed(self, asked: str) -> set[str]:
        """Return the entries in an instance's look-up answers."""
        hosts = {i.name: i.host for i in deployment.instances(self.run_.spec)}
        address = f"{hosts[asked]}:{deployment.LOOKUP_PORT}"
        found = set()
        for zone in range(6):
            url = f"http://{address}/v1/lookup?client=10.{zone + 1}.0.1"
            answer = self.cluster.get_json(self.cluster.local(url))
            found |= set(answer["instances"]) if answer else set()
        return found

    def _entry(self, name: str) -> str:
        for instance in deployment.instances(self.run_.spec):
            if instance.name == name:
                host = self.cluster.local(instance.host)
                return f"{host}:{deployment.ENTRY_PORT}"
        raise KeyError(name)

    def test_1_drain_without_store_and_list(self):
        """A drain known by the lagging list only takes 5 s and more."""
        server = deployment.servers(self.run_.spec)[1]
        self.cluster.admin(deployment.STORE, outage=True)
        at = time.time()
        self.cluster.admin(server.address, draining_health=True)
        wait_until(lambda: time.time() > at + 8, _LIMIT_S, "8 s of drain")
        events = self.run_.records().events
        sent = [
            e["t"] - at
            for e in events
            if e["server"] == server.name and e["event"] in ("start", "shed")
        ]
        self.assertGreater(len([t for t in sent if t < 0]), 0)
        self.assertEqual([], [t for t in sent if t > audit.DRAIN_S])
        self.cluster.admin(deployment.STORE, outage=False)

    def test_2_stop_with_repeated_signals_and_no_store(self):
        """A second signal must not cut off, nor wait for the store.

        One of the stopped instances is the only one of its zone.
        """
        before = sum(r["cuts"] for r in self.run_.records().callers)
        self.cluster.admin(deployment.STORE, outage=True)
        entries = {self._entry(name) for name in _STOPPED}
        for number in (signal.SIGTERM, signal.SIGTERM, signal.SIGINT):
            for name in _STOPPED:
                self.cluster.signal(name, number)
        wait_until(
            lambda: not entries & self._listed("amajyepfo-b-1"),
            _LIMIT_S,
            "look-ups without the leaving instances",
        )
        running = [self.cluster.processes[n].poll() for n in _STOPPED]
        self.assertEqual([None, None], running)
        codes = [self.cluster.processes[n].wait(_LIMIT_S) for n in _STOPPED]
        self.assertEqual([0, 0], codes)
        self.cluster.admin(deployment.STORE, outage=False)
        for name in _STOPPED:
            self.cluster.start_instance(name)
        self.cluster.wait_ready(list(_STOPPED))
        records = self.run_.records()
        cut = [r for r in records.callers if r["cuts"]]
        self.assertEqual(before, sum(r["cuts"] for r in cut), cut)
        lost = [r for r in records.callers if "answered" not in r["outcomes"]]
        self.assertEqual([], lost)

    def test_3_stop_at_once_cuts_off(self):
        """The naive version: the process ends when it is told to."""
        for name in _STOPPED:
            self.cluster.kill(name)
        wait_until(
            lambda: any(r["cuts"] for r in self.run_.records().callers),
            _LIMIT_S,
            "a request that was cut off",
        )
