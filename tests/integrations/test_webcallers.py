"""Tests with a real instance against clients that misbehave.

A crowd keeps its connections open while the process is checked: it lives,
its memory and descriptors are within bounds, and each listener answers an
ordinary request.
"""

import os
import pathlib
import subprocess
import sys
import tempfile
import time
import unittest

import urllib3
from nose2.tools import params
from urllib3.exceptions import HTTPError

from standins.cluster import wait_until
from tests.integrations.crowds import Caller
from tests.integrations.crowds import Crowd
from tests.integrations.test_web import free_address

_ROOT = pathlib.Path(__file__).parent.parent.parent
_CALLERS = 100
# Memory of a machine whose memory is not known, as core/bytebudget.py takes
# it: 48 MiB are a fifth of it.
_MEMORY_KIB_MAX = 240 * 1024
# Descriptors of a process by the default of Linux.
_DESCRIPTORS_MAX = 1024
_START_LIMIT_S = 60.0
_SEND_LIMIT_S = 1.5
_ANSWER_LIMIT_S = 15.0
_ATTEMPT_TIMEOUT_S = 5.0
_BODY_BYTES = 1024 * 1024
_ANSWER_BYTES = 900_000

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


def _post(path: bytes, fields: bytes) -> bytes:
    return b"POST " + path + b" HTTP/1.1\r\nHost: a\r\n" + fields + b"\r\n"


def _short_fields(size: int) -> bytes:
    """Return distinct short fields of `size` bytes or a little less."""
    fields = b""
    for number in range(size):
        field = b"%x:\r\n" % number
        if len(fields) + len(field) > size:
            break
        fields += field
    return fields


def _sized(path: bytes) -> bytes:
    """Return a request of the largest body without its last byte."""
    head = _post(path, b"Content-Length: %d\r\n" % _BODY_BYTES)
    return head + bytes(_BODY_BYTES - 1)


def _chunked(path: bytes, chunk: bytes, count: int) -> bytes:
    """Return a request in chunks without its end."""
    head = _post(path, b"Transfer-Encoding: chunked\r\n")
    return head + b"%x\r\n%s\r\n" % (len(chunk), chunk) * count


_CROWDS = {
    "silent": lambda _path: Caller(first=b""),
    "part of a head": lambda path: Caller(first=_post(path, b"")[:-2]),
    "dripped head": lambda path: Caller(
        first=b"POST " + path + b" HTTP/1.1\r\nX-A: ", drip=b"a" * 1000
    ),
    "body without its end": lambda path: Caller(first=_sized(path)),
    "dripped body": lambda path: Caller(
        first=_post(path, b"Content-Length: 9999\r\n"), drip=b"a" * 1000
    ),
    "large chunks": lambda path: Caller(
        first=_chunked(path, bytes(60_000), 17)
    ),
    "small chunks": lambda path: Caller(first=_chunked(path, b"a", 100_000)),
    "body over the limit": lambda path: Caller(
        first=_post(path, b"Content-Length: 999999999\r\n")
        + bytes(_BODY_BYTES),
        repeats=True,
    ),
    "endless chunk": lambda path: Caller(
        first=_post(path, b"Transfer-Encoding: chunked\r\n")
        + b"ffffffff\r\n"
        + bytes(_BODY_BYTES),
        repeats=True,
    ),
    "many short fields": lambda path: Caller(
        first=_post(path, _short_fields(15_000))
    ),
    "many short fields without an end": lambda path: Caller(
        first=_post(path, _short_fields(15_000))[:-2]
    ),
    "requests ahead": lambda path: Caller(
        first=b"GET %s HTTP/1.1\r\nHost: a\r\n\r\n" % path * 2000
    ),
    "answers not read": lambda path: Caller(
        first=b"GET %s HTTP/1.1\r\nHost: a\r\n\r\n" % path,
        receive_buffer=4096,
    ),
}
_ENTRY = ("entry", b"/s/s/list")
_LOOKUP = ("lookup", b"/readyz")
_FORWARD = ("forward", b"/f/s/list")
_ROUTES_BY_CROWD = {
    "silent": (_LOOKUP, _ENTRY),
    "part of a head": (_LOOKUP, _ENTRY, _FORWARD),
    "dripped head": (_LOOKUP, _ENTRY),
    "body without its end": (
        _LOOKUP,
        _ENTRY,
        ("entry", b"/unknown"),
        _FORWARD,
    ),
    "dripped body": (_ENTRY,),
    "large chunks": (_ENTRY, _FORWARD),
    "small chunks": (_ENTRY,),
    "body over the limit": (_LOOKUP, _ENTRY),
    "endless chunk": (_ENTRY,),
    "many short fields": (_ENTRY,),
    "many short fields without an end": (_ENTRY,),
    "requests ahead": (("lookup", b"/unknown"), _ENTRY),
    "answers not read": (_ENTRY,),
}
_ROWS = tuple(
    (listener, path, crowd)
    for crowd, routes in _ROUTES_BY_CROWD.items()
    for listener, path in routes
)


class CrowdTest(unittest.TestCase):
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
        cls._start(*cls._backend_command())
        cls.process = cls._start(
            "-m", "chiverun", "serve", "--settings", str(cls.folder / "a.ini")
        )
        wait_until(cls._submits, _START_LIMIT_S, "the ticket is accepted")
        wait_until(cls._is_ready, _START_LIMIT_S, "the instance is ready")
        cls.http.request(
            "POST",
            f"http://{cls._of('backend')}/admin",
            body=b'{"answer_bytes": %d}' % _ANSWER_BYTES,
        )

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

    @params(*_ROWS)
    def test_crowd(self, listener, path, crowd_name):
        """Guards against clients that end, fill or occupy the process."""
        host, _, port = self._of(listener).rpartition(":")
        crowd = Crowd(
            address=(host, int(port)),
            count=_CALLERS,
            caller=_CROWDS[crowd_name](path),
        )
        self.addCleanup(crowd.close)
        crowd.start()
        crowd.wait(_SEND_LIMIT_S)
        descriptors = self._descriptors()
        began_at = time.monotonic()
        unanswered = self._unanswered()
        print(
            f"{crowd_name} at {listener} {path.decode()}: peak "
            f"{self._memory_kib() // 1024} MiB, {descriptors} descriptors, "
            f"unanswered {unanswered} after "
            f"{time.monotonic() - began_at:.1f} s",
            file=sys.stderr,
        )
        self.assertIsNone(self.process.poll())
        self.assertEqual([], unanswered)
        self.assertLess(self._memory_kib(), _MEMORY_KIB_MAX)
        self.assertLess(descriptors, _DESCRIPTORS_MAX)

    def _unanswered(self) -> list[str]:
        """Return the ordinary requests without a response in the limit."""
        waiting = list(_ORDINARY)
        deadline = time.monotonic() + _ANSWER_LIMIT_S
        while waiting and time.monotonic() < deadline:
            waiting = [row for row in waiting if not self._is_answered(*row)]
        return [path for _, path, _ in waiting]
