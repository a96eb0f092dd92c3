"""A real instance of the product's own interface, for tests of its peers."""

import os
import pathlib
import subprocess
import sys
import tempfile
import time
import unittest

import urllib3
from urllib3.exceptions import HTTPError

from standins.cluster import wait_until
from tests.ports import free_address

_ROOT = pathlib.Path(__file__).parent.parent.parent
# Memory of a machine whose memory is not known, as core/bytebudget.py takes
# it: 48 MiB are a fifth of it.
MEMORY_KIB_MAX = 240 * 1024
_START_LIMIT_S = 60.0
_ANSWER_LIMIT_S = 15.0
_ATTEMPT_TIMEOUT_S = 5.0

_LISTENERS = ("lookup", "entry", "forward")
_PORTS = (*_LISTENERS, "peer")
_SETTINGS = """
[instance]
name = a
zone = z
{addresses}
[peers]
seeds = {peer}
[platform]
store = {store}
[limits]
entry_threads = 4
forward_threads = 4
"""
_OPERATOR = "[operator]\nstore = {store}\ninstances = {lookup}\n"
_TICKET = """
number = 1
reason = "Declare the deployment"
author = "tests"
[[region]]
name = "r"
[[zone]]
name = "z"
region = "r"
seats = 2
[[service]]
name = "s"
[[service.classes]]
name = "list"
methods = ["GET", "POST"]
path_prefix = "/list"
repeatable = true
deadline_ms = 3000
answer_bytes_max = 1048576
[[server]]
name = "s-1"
service = "s"
zone = "z"
address = "{backend}"
slots = 8
long_slots = 1
connections_max = 64
state = "active"
[[site]]
name = "site"
zone = "z"
blocks = ["127.0.0.0/8"]
"""
_ORDINARY = (
    ("lookup", "/v1/lookup?client=127.0.0.1", 200),
    ("lookup", "/readyz", 200),
    ("entry", "/s/s/list", 200),
    ("forward", "/unknown", 400),
)


class WebCase(unittest.TestCase):
    """Runs an instance, a store and a backend server for all tests."""

    @classmethod
    def setUpClass(cls):
        folder = tempfile.TemporaryDirectory()
        cls.addClassCleanup(folder.cleanup)
        cls.folder = pathlib.Path(folder.name)
        cls.addresses = {
            name: free_address() for name in (*_PORTS, "store", "backend")
        }
        cls.http = urllib3.PoolManager(retries=False)
        cls._write_files()
        cls._start("-m", "standins.platform", "--listen", cls._of("store"))
        cls._start_backend()
        cls.process = cls._start(
            "-m", "chiverun", "serve", "--settings", str(cls.folder / "a.ini")
        )
        wait_until(cls._submits, _START_LIMIT_S, "the ticket is accepted")
        wait_until(cls._is_ready, _START_LIMIT_S, "the instance is ready")

    @classmethod
    def _of(cls, name: str) -> str:
        return cls.addresses[name]

    @classmethod
    def _write_files(cls) -> None:
        lines = "\n".join(
            f"{name}_address = {cls._of(name)}" for name in _PORTS
        )
        texts = {
            "a.ini": _SETTINGS.format(addresses=lines, **cls.addresses),
            "operator.ini": _OPERATOR.format(**cls.addresses),
            "1.toml": _TICKET.format(**cls.addresses),
        }
        for name, text in texts.items():
            (cls.folder / name).write_text(text)

    @classmethod
    def _start_backend(cls) -> None:
        """Start the backend server."""
        cls._start(*cls._backend_command())

    @classmethod
    def _backend_command(cls) -> list[str]:
        options = {
            "listen": cls._of("backend"),
            "name": "s-1",
            "zone": "z",
            "slots": "8",
            "log": str(cls.folder / "backend.jsonl"),
        }
        command = ["-m", "standins.backend"]
        for name, value in options.items():
            command += [f"--{name}", value]
        return command

    @classmethod
    def _start(cls, *args: str) -> subprocess.Popen:
        with open(cls.folder / "log", "ab") as log:
            process = subprocess.Popen(
                [sys.executable, *args],
                cwd=_ROOT,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )
        cls.addClassCleanup(process.wait)
        cls.addClassCleanup(process.kill)
        return process

    @classmethod
    def _submits(cls) -> bool:
        command = [sys.executable, "-m", "chiverun", "ticket", "submit"]
        paths = [str(cls.folder / "1.toml"), "--settings"]
        done = subprocess.run(
            [*command, *paths, str(cls.folder / "operator.ini")],
            cwd=_ROOT,
            capture_output=True,
            check=False,
        )
        return done.returncode == 0

    @classmethod
    def _is_ready(cls) -> bool:
        return all(cls._is_answered(*row) for row in _ORDINARY)

    @classmethod
    def _is_answered(cls, listener: str, path: str, status: int) -> bool:
        try:
            resp = cls.http.request(
                "GET",
                f"http://{cls._of(listener)}{path}",
                timeout=_ATTEMPT_TIMEOUT_S,
                headers={"Connection": "close"},
            )
        except HTTPError:
            return False
        return resp.status == status

    def setUp(self):
        wait_until(self._is_ready, _START_LIMIT_S, "the instance is ready")
        # Lets the kernel measure the peak of the memory from now on.
        path = pathlib.Path(f"/proc/{self.process.pid}/clear_refs")
        path.write_text("5")

    def _memory_kib(self) -> int:
        status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        return int(status.partition("VmHWM:")[2].split()[0])

    def _descriptors(self) -> int:
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    def _unanswered(self) -> list[str]:
        """Return the ordinary requests without a response in the limit."""
        waiting = list(_ORDINARY)
        deadline = time.monotonic() + _ANSWER_LIMIT_S
        while waiting and time.monotonic() < deadline:
            waiting = [row for row in waiting if not self._is_answered(*row)]
        return [path for _, path, _ in waiting]
