"""Tests of the command line with invalid input and failing stores."""

import contextlib
import io
import json
import pathlib
import re
import sys
import tempfile
import unittest
from unittest import mock

from nose2.tools import params

from chiverun.cli import main
from chiverun.core.errors import ResultCode
from chiverun.core.ids import Address
from chiverun.core.ticket import read_ticket
from chiverun.core.ticketlog import TicketLog
from chiverun.integrations.store import HttpStore
from standins.platform import Platform
from standins.platform import start
from tests.adapter.examples import settings_body

_TICKET = 'number = {}\nreason = "r"\nauthor = "a"\n[[region]]\nname = "x"\n'
_ERROR = re.compile(r"error: ([A-Z_]+) \((\d+)\): [^\n]+\n")
_SERVER = '[[server]]\nname="s"\nservice="v"\nzone="z"\n'


def run(*args: str) -> tuple[int, str, str]:
    """Run the command line; return its exit status and output."""
    out, err = io.StringIO(), io.StringIO()
    code = 0
    with (
        contextlib.redirect_stdout(out),
        contextlib.redirect_stderr(err),
        mock.patch.object(sys, "argv", ["chiverun", *args]),
    ):
        try:
            main()
        except SystemExit as exc:
            code = exc.code or 0
    return code, out.getvalue(), err.getvalue()


class CommandLineTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.platform = Platform()
        server = start(("127.0.0.1", 0), cls.platform)
        cls.port = server.server_address[1]
        cls.addClassCleanup(server.server_close)
        cls.addClassCleanup(server.shutdown)

    def setUp(self):
        self.platform.data.clear()
        self.platform.outage = False
        self.platform.lose_answers = 0
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.write("op.ini", self.operator_settings(f"127.0.0.1:{self.port}"))

    def operator_settings(self, store: str) -> str:
        return (
            f"[operator]\nstore = {store}\ninstances = 127.0.0.1:9\n"
            "store_timeout_ms = 500\n"
        )

    def write(self, name: str, data: str | bytes) -> str:
        path = self.folder / name
        path.write_bytes(data.encode() if isinstance(data, str) else data)
        return str(path)

    def assert_fails(self, code: ResultCode, *args: str) -> str:
        """Check the error line, the exit status and the unchanged store."""
        before = dict(self.platform.data)
        status, out, err = run(*args)
        match = _ERROR.fullmatch(err)
        self.assertIsNotNone(match, err)
        self.assertEqual((code.name, str(int(code))), match.groups(), err)
        self.assertEqual((int(code) // 100, ""), (status, out))
        self.assertEqual(before, self.platform.data)
        return err

    @params(
        (),
        ("ticket",),
        ("settings",),
        ("frob",),
        ("--frob",),
        ("ticket", "frob"),
        ("ticket", "check"),
        ("ticket", "submit"),
        ("ticket", "submit", "t.toml"),
        ("ticket", "check", "t.toml", "op.ini", "upper"),
        ("ticket", "check", "t.toml", "--frob", "1"),
        ("ticket", "show", "--settings", "op.ini"),
        ("ticket", "show", "x", "--settings", "op.ini"),
        ("ticket", "show", "-1", "--settings", "op.ini"),
        ("ticket", "log", "--settings", "op.ini", "--count", "0"),
        ("ticket", "log", "--settings", "op.ini", "--count", "1e3"),
        ("serve",),
        ("status",),
        ("status", "op.ini", "--json", "maybe"),
        ("settings", "check"),
    )
    def test_usage(self, *args):
        """Guards against fire's usage pages, tracebacks and exit status 2."""
        self.assert_fails(ResultCode.USAGE, *args)

    @params(
        (None, ResultCode.FILE_NOT_READABLE, "No such file"),
        ("", ResultCode.TICKET_MALFORMED, "number"),
        (b"\xff\x00\xfe", ResultCode.TICKET_MALFORMED, "ticket"),
        ("a = " + "[" * 100_000, ResultCode.TICKET_MALFORMED, "ticket"),
        ("number = [", ResultCode.TICKET_MALFORMED, "document"),
        ("number = 'x'", ResultCode.TICKET_MALFORMED, "`int`"),
        (_TICKET.format(1) + "size = 3", ResultCode.TICKET_MALFORMED, "size"),
        (
            _TICKET.format(1) + 'in_flight_max = "9"',
            ResultCode.TICKET_MALFORMED,
            "region[0].in_flight_max",
        ),
        (_TICKET.format(0), ResultCode.TICKET_OUT_OF_ORDER, "valid: 1"),
        (_TICKET.format(-3), ResultCode.TICKET_OUT_OF_ORDER, "valid: 1"),
        (_TICKET.format(7), ResultCode.TICKET_OUT_OF_ORDER, "valid: 1"),
        (
            _TICKET.format(1) + "in_flight_max = -1",
            ResultCode.TICKET_INVALID,
            "in_flight_max is -1",
        ),
        (
            _TICKET.format(1) + _SERVER + 'address="h:0"\nslots=1',
            ResultCode.TICKET_INVALID,
            "valid: none exist",
        ),
        (
            _TICKET.format(1) + '[[shift]]\nname="s"',
            ResultCode.TICKET_MALFORMED,
            "shift[0]",
        ),
    )
    def test_ticket_file(self, data, code, expected_text):
        """Guards against accepting an invalid ticket or an unclear error."""
        path = str(self.folder / "t.toml")
        if data is not None:
            self.write("t.toml", data)
        settings = str(self.folder / "op.ini")
        for command in ("check", "submit"):
            if command == "submit" and "7" in str(data):
                code = ResultCode.NO_INSTANCE_REACHABLE
                expected_text = "asked: 127.0.0.1:9"
            err = self.assert_fails(code, "ticket", command, path, settings)
            self.assertIn(expected_text, err)

    @params(
        (None, ResultCode.FILE_NOT_READABLE),
        ("", ResultCode.SETTING_MISSING),
        (b"\xff\x00", ResultCode.FILE_NOT_READABLE),
        ("store = 1", ResultCode.SETTING_INVALID),
        ("[operator]\nstore = 127.0.0.1:x\n", ResultCode.SETTING_INVALID),
        ("[operator]\nstore = 127.0.0.1:+8\n", ResultCode.SETTING_INVALID),
        ("[operator]\nstore = 127.0.0.1:8\n", ResultCode.SETTING_MISSING),
        ("[operator]\ninstances =\n", ResultCode.SETTING_INVALID),
        ("[operator]\nfrob = 1\n", ResultCode.SETTING_UNKNOWN),
        ("[frob]\n", ResultCode.SETTING_UNKNOWN),
    )
    def test_settings_file(self, data, code):
        """Guards against errors without a code for invalid settings."""
        path = str(self.folder / "bad.ini")
        if data is not None:
            self.write("bad.ini", data)
        ticket = self.write("t.toml", _TICKET.format(1))
        self.assert_fails(code, "settings", "check", path)
        self.assert_fails(code, "ticket", "submit", ticket, path)
        self.assert_fails(code, "ticket", "log", path)

    def test_folder_and_unbounded_file(self):
        """Guards against a traceback and against reading without a limit."""
        folder = str(self.folder)
        self.assert_fails(
            ResultCode.FILE_NOT_READABLE, "ticket", "check", folder
        )
        self.assert_fails(
            ResultCode.FILE_NOT_READABLE, "settings", "check", folder
        )
        self.assert_fails(ResultCode.FILE_NOT_READABLE, "serve", folder)
        self.assert_fails(
            ResultCode.TICKET_TOO_LARGE, "ticket", "check", "/dev/zero"
        )

    def test_accepted_ticket_is_read_back(self):
        """Guards against commands that reject valid input."""
        settings = str(self.folder / "op.ini")
        path = self.write("t.toml", _TICKET.format(1))
        for command in ("check", "submit"):
            self.assertEqual(0, run("ticket", command, path, settings)[0])
        again = self.assert_fails(
            ResultCode.TICKET_OUT_OF_ORDER, "ticket", "submit", path, settings
        )
        self.assertIn("taken: accepted is 'r' by 'a'", again)
        self.assertIn('"number": 1', run("ticket", "show", "1", settings)[1])
        self.assertIn("a: r", run("ticket", "log", settings)[1])
        missing = ("ticket", "show", "2", settings)
        self.assert_fails(ResultCode.TICKET_NOT_FOUND, *missing)
        self.assert_fails(ResultCode.NO_INSTANCE_REACHABLE, "status", settings)

    def test_store_down_and_damaged(self):
        """Guards against errors without a code when the store fails."""
        settings = str(self.folder / "op.ini")
        path = self.write("t.toml", _TICKET.format(1))
        self.platform.put("chiverun/head", b"\xff", None)
        for args in (("submit", path), ("check", path), ("log",)):
            self.assert_fails(
                ResultCode.TICKET_MALFORMED, "ticket", *args, settings
            )
        self.platform.outage = True
        for args in (("submit", path), ("check", path), ("log",)):
            self.assert_fails(
                ResultCode.STORE_UNAVAILABLE, "ticket", *args, settings
            )

    def test_one_late_response(self):
        """Guards against a command that fails while the store works.

        The first response takes longer than the time-out of a call.
        """
        settings = str(self.folder / "op.ini")
        path = self.write("t.toml", _TICKET.format(1))
        for args in (("check", path), ("submit", path), ("log",)):
            self.platform.late_responses_s = [0.8]
            status, _, err = run("ticket", *args, settings)
            self.assertEqual((0, ""), (status, err))
            self.assertEqual([], self.platform.late_responses_s)

    def test_lost_responses_over_http(self):
        """Guards against a wrong outcome when responses to writes are lost."""
        address = Address(f"127.0.0.1:{self.port}")
        store = HttpStore(address=address, timeout_s=0.5)
        log = TicketLog(store=store, sleep=lambda _s: None)
        for number in range(1, 9):
            self.platform.lose_answers = number % 3
            ticket = read_ticket(_TICKET.format(number).encode())
            entry = log.submit(ticket, f"s{number}", [])
            self.assertEqual(number, entry.number)
        self.platform.lose_answers = 0
        self.assertEqual(8, log.load().number)


class PlatformCommandsTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name) / "local.json"

    def check(self, env: dict[str, str]) -> tuple[int, str, str]:
        with mock.patch.dict("os.environ", env):
            return run("platform", "check")

    def test_valid_settings(self):
        """Guards against rejecting a valid settings file."""
        self.path.write_text(json.dumps(settings_body()))
        code, out, _ = self.check({"CHIVERUN_CONFIG": str(self.path)})
        self.assertEqual(code, 0)
        self.assertIn("front-musanze-a-1", out)

    @params(("", "SETTING_MISSING"), ("/nowhere", "FILE_NOT_READABLE"))
    def test_missing_settings(self, path, name):
        """Guards against errors without a code for a missing file."""
        code, _, err = self.check({"CHIVERUN_CONFIG": path})
        self.assertEqual(code, 1)
        self.assertIn(name, err)
