"""Tests that instances of a real deployment apply the same tickets (P8).

They guard against lost, diverging or late tickets in outages, partitions and
races. All tests share one deployment of nine instances; each test leaves the
store up, the zones connected and all instances running.
"""

import pathlib
import signal
import subprocess
import tempfile
import time
import unittest

from standins import deployment
from standins.cluster import source_program
from standins.cluster import wait_until
from standins.measure_spread import SpreadCluster
from standins.measure_spread import SpreadTimer

_TICKET = (
    'number = {}\nreason = "{}"\nauthor = "proofs"\n'
    '[[region]]\nname = "r"\nin_flight_max = {}\n'
)
_IN_FORCE_LIMIT_S = 3.0
# 256 tickets before the base, 64 after it, and head, base and seat records.
_KEYS_MAX = 340
_WAIT_LIMIT_S = 60.0


class TicketProofTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        folder = tempfile.TemporaryDirectory()
        cls.addClassCleanup(folder.cleanup)
        cls.cluster = SpreadCluster(
            spec=deployment.SPECS["inzira"],
            folder=pathlib.Path(folder.name),
            program=source_program(),
        )
        cls.addClassCleanup(cls.cluster.close)
        cls.names = [i.name for i in deployment.instances(cls.cluster.spec)]
        cls.cluster.prepare()
        text = deployment.operator_text(cls.cluster.spec)
        operator = cls.cluster.folder / "operator.ini"
        operator.write_text(cls.cluster.local(text))
        cls.cluster.start_standins()
        cls.cluster.start_instances()
        cls.timer = SpreadTimer(cluster=cls.cluster)
        cls.wait(lambda: all(cls.cluster.status(n) for n in cls.names))
        cls.timer.submit()
        cls.timer.in_force_times(cls.names)
        cls.wait(
            lambda: all(len(cls.status(n)["members"]) == 8 for n in cls.names)
        )

    @classmethod
    def wait(cls, condition) -> None:
        wait_until(condition, _WAIT_LIMIT_S, "condition")

    @classmethod
    def status(cls, name: str) -> dict:
        return cls.cluster.status(name) or {"members": [], "number": -1}

    def tearDown(self):
        numbers = {self.status(n)["number"] for n in self.names}
        self.assertEqual({self.timer.number}, numbers)
        forks = [self.status(n)["fork"] for n in self.names]
        self.assertEqual([None] * len(forks), forks)

    def assert_in_force_within_limit(self, since: float, names=None):
        """Check that the newest ticket came into force within the limit."""
        spread_s = max(self.timer.in_force_times(names or self.names)) - since
        self.assertLessEqual(spread_s, _IN_FORCE_LIMIT_S)

    def submit_command(self, name: str, number: int, reason: str) -> list[str]:
        path = self.cluster.folder / name
        path.write_text(_TICKET.format(number, reason, number))
        operator = str(self.cluster.folder / "operator.ini")
        return ["ticket", "submit", str(path), "--settings", operator]

    def test_operators_race(self):
        """Guards against concurrent submissions that are both accepted."""
        number = self.timer.number + 1
        commands = [
            self.submit_command(f"race-{i}.toml", number, f"race {i}")
            for i in range(4)
        ]
        since = time.monotonic()
        started = [
            subprocess.Popen(
                [*self.cluster.program, *command],
                stdout=subprocess.PIPE,
                stderr=subprocess.STDOUT,
                text=True,
                env=self.cluster.env,
            )
            for command in commands
        ]
        outputs = [process.communicate()[0] for process in started]
        codes = [process.returncode for process in started]
        self.assertEqual([0, 2, 2, 2], sorted(codes), outputs)
        winner = f"accepted is 'race {codes.index(0)}' by 'proofs'"
        conflicts = [output for output in outputs if winner in output]
        self.assertEqual(3, len(conflicts), outputs)
        self.timer.number = number
        self.timer.in_force_times(self.names)
        self.assertLess(time.monotonic() - since, _WAIT_LIMIT_S)

    def test_two_hundred_tickets(self):
        """Guards against store keys whose number grows with the tickets."""
        for _ in range(200):
            since = self.timer.submit()
        self.assert_in_force_within_limit(since)
        keys = self.timer._log._store.keys("chiverun/")
        self.assertLessEqual(len(keys), _KEYS_MAX)

    def test_frozen_watchers(self):
        """Guards against a ticket that waits for a paused instance."""
        paused = [n for n in self.names if n.endswith("-1")][:3]
        for name in paused:
            self.cluster.signal(name, signal.SIGSTOP)
        try:
            since = self.timer.submit()
            running = [n for n in self.names if n not in paused]
            self.assert_in_force_within_limit(since, running)
        finally:
            for name in paused:
                self.cluster.signal(name, signal.SIGCONT)
        self.assert_in_force_within_limit(time.monotonic())

    def test_restart_in_an_outage(self):
        """Guards against an instance that cannot start without the store."""
        self.assert_in_force_within_limit(self.timer.submit())
        self.cluster.admin(deployment.STORE, outage=True)
        name = self.names[-1]
        self.cluster.kill(name)
        self.cluster.start_instance(name)
        self.wait(lambda: self.cluster.status(name))
        self.assert_in_force_within_limit(time.monotonic())
        self.cluster.admin(deployment.STORE, outage=False)

    def test_store_restored_to_older_data(self):
        """Guards against a return to older tickets and a lost ticket."""
        self.cluster.admin(deployment.STORE, save=True)
        for _ in range(3):
            self.assert_in_force_within_limit(self.timer.submit())
        number = self.timer.number
        command = self.submit_command("late.toml", number - 2, "late")
        self.cluster.admin(deployment.STORE, restore=True)
        code, output = self.cluster.run(*command)
        self.assertEqual(2, code, output)
        self.assertRegex(output, "STORE_BEHIND|TICKET_OUT_OF_ORDER")
        for _ in range(20):
            numbers = {self.status(n)["number"] for n in self.names}
            self.assertEqual({number}, numbers)
            time.sleep(0.05)
        log = self.timer._log
        self.wait(lambda: log.head().entry.number == number)
        self.assert_in_force_within_limit(self.timer.submit())

    def test_zone_cut_off_and_rejoined(self):
        """Guards against a zone that stays behind after a partition.

        The store is down when the zone rejoins, so peers must send tickets.
        """
        zone, _ = self.cluster.spec.zones()[1]
        inside = [n for n in self.names if n.startswith(f"{zone}-")]
        outside = [n for n in self.names if n not in inside]
        number = self.timer.number
        self.cluster.relay(f"cut {zone} *")
        for _ in range(3):
            self.assert_in_force_within_limit(self.timer.submit(), outside)
        # Long enough for instances to open new connections, which hang.
        time.sleep(10)
        for name in inside:
            self.assertEqual(number, self.status(name)["number"])
        self.cluster.admin(deployment.STORE, outage=True)
        self.cluster.relay(f"heal {zone} *")
        self.assert_in_force_within_limit(time.monotonic())
        self.cluster.admin(deployment.STORE, outage=False)

    def test_damaged_values(self):
        """Guards against an instance that exits on a damaged store value."""
        store = self.timer._log._store
        item = store.get("chiverun/head")
        store.put("chiverun/head", b"\xff\x00", cas=item.index)
        try:
            self.wait(
                lambda: any(
                    self.status(n).get("store_fault") for n in self.names
                )
            )
        finally:
            damaged = store.get("chiverun/head")
            store.put("chiverun/head", item.value, cas=damaged.index)
        self.wait(
            lambda: not any(self.status(n)["store_fault"] for n in self.names)
        )
        self.assert_in_force_within_limit(self.timer.submit())
