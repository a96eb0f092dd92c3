"""Tests of keys and requests on a small real deployment (P3, P4, P5).

They guard against a second run of an idempotency key, against requests run
after their deadline, and against ports that garbage makes unusable.
"""

import json
import pathlib
import signal
import socket
import sys
import tempfile
import threading
import time
import unittest
from unittest import mock

import urllib3
from nose2.tools import params
from urllib3.exceptions import HTTPError

from standins import deployment
from standins.audit import read_lines
from standins.cluster import Cluster
from standins.cluster import source_program
from standins.cluster import wait_until
from tests.naive import IS_NAIVE

_SPEC = deployment.Spec(
    name="small",
    regions=("p", "q"),
    instances_by_zone=(2, 1, 0, 0),
    link_mbit_per_s=1000,
    zone_ms=0.5,
    region_ms=1.0,
    connections=300,
    services=(
        deployment.ServiceSpec(
            name="desk",
            servers=2,
            slots=8,
            long_slots=2,
            read="kits",
            long_read="export",
            write="booking",
        ),
    ),
)
_NAMES = [i.name for i in deployment.instances(_SPEC)]
_PORTS = (
    deployment.LOOKUP_PORT,
    deployment.ENTRY_PORT,
    deployment.FORWARD_PORT,
    deployment.PEER_PORT,
)


class RequestsTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        temporary = tempfile.TemporaryDirectory()
        cls.addClassCleanup(temporary.cleanup)
        folder = pathlib.Path(temporary.name)
        patch = mock.patch.object(deployment, "ROOT", folder / "source")
        with patch:
            deployment.write(_SPEC)
            cls.cluster = Cluster(
                spec=_SPEC, folder=folder / "run", program=_program()
            )
            cls.addClassCleanup(cls.cluster.close)
            cls.cluster.prepare()
        cls.cluster.start_standins()
        cls.cluster.start_instances()
        code, output = cls.cluster.submit("0001-declare.toml")
        if code != 0:
            raise RuntimeError(output)
        cls.http = urllib3.PoolManager(num_pools=32, retries=False)
        cls.tokens = 0

    def setUp(self):
        for name in _NAMES:
            if name not in self.cluster.processes:
                self.cluster.start_instance(name)
        self.cluster.wait_ready(_NAMES)
        wait_until(
            self._lookups_list_instances, 30, "two instances in each lookup"
        )
        self._set_faults(slow=1.0, reset_after=0, cold=False)
        type(self).tokens += 1
        self.token = f"t{self.tokens}"

    def _lookups_list_instances(self) -> bool:
        """Return whether each instance's lookup lists two or more."""
        for name in _NAMES:
            resp = self.cluster.get_json(
                f"http://{self._address(name, deployment.LOOKUP_PORT)}"
                "/v1/lookup?service=desk&client=10.1.0.1"
            )
            if resp is None or len(resp.get("instances", ())) < 2:
                return False
        return True

    def _set_faults(self, **faults) -> None:
        for server in deployment.servers(_SPEC):
            self.cluster.admin(server.address, **faults)

    def _address(self, name: str, port: int) -> str:
        hosts = {i.name: i.host for i in deployment.instances(_SPEC)}
        return f"{self.cluster.local(hosts[name])}:{port}"

    def _keys(self, name: str, count: int = 1) -> list[str]:
        address = self._address(name, deployment.LOOKUP_PORT)
        resp = self.http.request(
            "POST", f"http://{address}/v1/keys?count={count}", timeout=5
        )
        return json.loads(resp.data)["keys"]

    def _call(self, name: str, key: str, token: str = "") -> tuple:
        """Return outcome and body, or the outcome "cut" without a response."""
        address = self._address(name, deployment.ENTRY_PORT)
        token = token or self.token
        try:
            resp = self.http.request(
                "POST",
                f"http://{address}/s/desk/booking?token={token}",
                headers={"Idempotency-Key": key},
                timeout=10,
            )
        except HTTPError:
            return "cut", b""
        return resp.headers.get("X-Chiverun-Outcome", ""), resp.data

    def _count_events(self, kind: str, token: str = "") -> int:
        events, _ = read_lines(
            self.cluster.folder / f"{s.name}.jsonl"
            for s in deployment.servers(_SPEC)
        )
        expected = (kind, token or self.token)
        return sum(1 for e in events if (e["event"], e["token"]) == expected)

    def _wait_for_event(self, kind: str) -> None:
        wait_until(lambda: self._count_events(kind) > 0, 20, f"event {kind}")

    def test_repeat_through_other_instances(self):
        """Guards against a second run of a key through another instance."""
        (key,) = self._keys("p-a-1")
        replies = [self._call(n, key) for n in (*_NAMES, *_NAMES)]
        self.assertEqual([("answered", replies[0][1])] * 6, replies)
        self.assertEqual(1, self._count_events("start"))

    def test_backend_runs_and_resets(self):
        """Guards against a second run after a run without a response."""
        (key,) = self._keys("p-a-1")
        self._set_faults(reset_after=1)
        outcomes = {self._call(n, key)[0] for n in (*_NAMES, *_NAMES)}
        self.assertEqual({"unknown"}, outcomes)
        self.assertEqual(1, self._count_events("start"))

    @params(("before", 0), ("start", 1), ("end", 1))
    def test_issuer_is_killed(self, step, starts):
        """Guards against a second run after the key's issuer is killed."""
        (key,) = self._keys("p-a-2")
        first_outcomes = []
        if step != "before":
            self._set_faults(slow=100.0 if step == "start" else 1.0)
            thread = threading.Thread(
                target=lambda: first_outcomes.append(
                    self._call("p-a-2", key)[0]
                )
            )
            thread.start()
            self._wait_for_event(step)
        self.cluster.kill("p-a-2")
        if step != "before":
            thread.join()
            allowed = ("cut",) if step == "start" else ("cut", "answered")
            self.assertIn(first_outcomes[0], allowed)
        for name in ("p-a-1", "p-b-1"):
            self.assertEqual("unknown", self._call(name, key)[0])
        self.cluster.start_instance("p-a-2")
        self.cluster.wait_ready(["p-a-2"])
        self.assertEqual("unknown", self._call("p-a-2", key)[0])
        self.assertEqual(starts, self._count_events("start"))

    def test_work_from_before_a_pause_is_not_run(self):
        """Guards against a run after the caller's deadline.

        The request arrives while its instance is paused.
        """
        (expired_key, fresh_key) = self._keys("p-a-1", 2)
        address = self._address("p-a-1", deployment.ENTRY_PORT)
        host, _, port = address.rpartition(":")
        self.cluster.signal("p-a-1", signal.SIGSTOP)
        try:
            with socket.create_connection((host, int(port)), 5) as conn:
                conn.sendall(
                    f"POST /s/desk/booking?token={self.token} HTTP/1.1\r\n"
                    f"Host: a\r\nIdempotency-Key: {expired_key}\r\n"
                    "X-Deadline-Ms: 300\r\nContent-Length: 0\r\n\r\n".encode()
                )
                time.sleep(3)
        finally:
            self.cluster.signal("p-a-1", signal.SIGCONT)
        wait_until(
            lambda: self._call("p-a-1", fresh_key, "fresh")[0] == "answered",
            30,
            "request after the pause",
        )
        self.assertEqual(0, self._count_events("start"))

    @params(*_PORTS)
    def test_garbage_on_a_port(self, port):
        """Guards against an instance that fails on malformed input."""
        host, _, _ = self._address("p-a-1", port).rpartition(":")
        for data in (b"\0" * 9, b"\xff" * 70_000, b"GET / HTTP/1.1\r\nA\r\n"):
            try:
                with socket.create_connection((host, port), 5) as conn:
                    conn.sendall(data)
            except ConnectionError:
                continue
        (key,) = self._keys("p-a-1")
        self.assertEqual("answered", self._call("p-a-1", key)[0])
        self.assertEqual(1, self._count_events("start"))

    def test_keys_in_a_planned_stop(self):
        """Guards against keys that fail while their issuer still runs."""
        keys = self._keys("p-a-1", 1000)
        codes = []
        stopper = threading.Thread(
            target=lambda: codes.append(self.cluster.stop("p-a-1"))
        )
        stopper.start()
        self.addCleanup(stopper.join)
        outcomes = []
        while stopper.is_alive() and keys:
            # Each key is sent through all instances in turn.
            token = f"{self.token}-{len(keys)}"
            key = keys.pop()
            tries = [self._call(n, key, token)[0] for n in _NAMES]
            self.assertLessEqual(self._count_events("start", token), 1)
            if tries[0] == "cut":
                break
            outcomes.append(tries)
        stopper.join()
        self.assertEqual([0], codes)
        print(f"planned stop: {len(outcomes)} keys, {_summary(outcomes)}")
        # The issuer may exit between the tries of the last key.
        self.assertGreater(len(outcomes), 20)
        self.assertEqual({"answered"}, {o for t in outcomes[:-1] for o in t})


def _program() -> list[str]:
    if IS_NAIVE:
        return [sys.executable, "-m", "tests.naive"]
    return source_program()


def _summary(outcomes: list[list[str]]) -> dict[str, int]:
    counts: dict[str, int] = {}
    for tries in outcomes:
        name = ",".join(tries)
        counts[name] = counts.get(name, 0) + 1
    return counts
