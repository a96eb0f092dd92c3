"""Tests with real processes that a drained zone gets no new requests."""

import json
import pathlib
import tempfile
import time
import unittest

from standins import deployment
from standins.cluster import Cluster
from standins.cluster import running
from standins.cluster import source_program
from standins.cluster import wait_until

_ZONE = "amajyepfo-a"
_TICKET = """
number = {}
reason = "Zone {}"
author = "proofs"
[[zone]]
name = "amajyepfo-a"
region = "amajyepfo"
seats = 12
state = "{}"
"""


class ZoneDrainProofTest(unittest.TestCase):
    def test_drained_zone_gets_no_requests(self):
        """Guards against requests sent to a zone under maintenance."""
        with tempfile.TemporaryDirectory() as folder:
            self.cluster = Cluster(
                spec=deployment.SPECS["inzira"],
                folder=pathlib.Path(folder),
                program=source_program(),
            )
            with running(self.cluster):
                self._check_drain()

    def _check_drain(self) -> None:
        self.assertEqual({200}, self._send_requests())
        self.assertGreater(self._started_count(), 0)
        self._submit(2, "drain")
        self.assertNotIn(_ZONE, self._lookup_zones())
        started_before = self._started_count()
        self.assertEqual({200}, self._send_requests())
        self.assertEqual(started_before, self._started_count())
        self._submit(3, "active")
        self.assertIn(_ZONE, self._lookup_zones())
        self._send_requests()
        self.assertGreater(self._started_count(), started_before)

    def _instances(self) -> list[deployment.InstanceSpec]:
        return deployment.instances(self.cluster.spec)

    def _submit(self, number: int, state: str) -> None:
        path = self.cluster.folder / "tickets" / f"zone-{number}.toml"
        path.write_text(_TICKET.format(number, state, state))
        code, output = self.cluster.submit(path.name)
        self.assertEqual(0, code, output)
        wait_until(
            lambda: all(
                (s := self.cluster.status(i.name)) and s["number"] >= number
                for i in self._instances()
            ),
            30,
            f"ticket {number} in force",
        )
        # Instances exchange the zone's free slots every second.
        time.sleep(3)

    def _send_requests(self) -> set[int]:
        """Send requests to the instances of the zone's region."""
        statuses = set()
        for instance in self._instances():
            if instance.region != "amajyepfo":
                continue
            host = self.cluster.local(instance.host)
            for _ in range(30):
                resp = self.cluster.http.request(
                    "GET",
                    f"http://{host}:{deployment.ENTRY_PORT}"
                    "/s/race-works/condition",
                    retries=False,
                    timeout=10,
                )
                statuses.add(resp.status)
        return statuses

    def _started_count(self) -> int:
        """Return the number of requests that the zone's servers started."""
        count = 0
        for server in deployment.servers(self.cluster.spec):
            if server.zone == _ZONE:
                log = self.cluster.folder / f"{server.name}.jsonl"
                events = [json.loads(s) for s in log.read_text().splitlines()]
                count += sum(e["event"] == "start" for e in events)
        return count

    def _lookup_zones(self) -> set[str]:
        """Return the zones in lookup responses for clients of the zone."""
        zone_by_host = {
            self.cluster.local(i.host): i.zone for i in self._instances()
        }
        found_zones = set()
        for instance in self._instances():
            host = self.cluster.local(instance.host)
            resp = self.cluster.get_json(
                f"http://{host}:{deployment.LOOKUP_PORT}/v1/lookup"
                "?service=race-works&client=10.3.0.1"
            )
            found_zones |= {
                zone_by_host[a.rpartition(":")[0]] for a in resp["instances"]
            }
        return found_zones
