"""Tests with a real process that an instance exits if it cannot start."""

import pathlib
import subprocess
import sys
import tempfile
import unittest

from nose2.tools import params

_ROOT = pathlib.Path(__file__).parent.parent.parent
_PORT_NAMES = ("lookup", "entry", "forward", "peer")
_SETTINGS = """
[instance]
name = a
zone = z
{addresses}
[peers]
seeds = 127.8.0.1:7009
[platform]
store = 127.8.0.1:7008
"""


class StartupTest(unittest.TestCase):
    @params("entry", "forward", "peer")
    def test_address_in_use(self, name):
        """Guards against a process that hangs after it fails to listen."""
        port_by_name = {key: 7001 + i for i, key in enumerate(_PORT_NAMES)}
        port_by_name[name] = port_by_name["lookup"]
        addresses = "\n".join(
            f"{key}_address = 127.8.0.2:{port}"
            for key, port in port_by_name.items()
        )
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "a.ini"
            path.write_text(_SETTINGS.format(addresses=addresses))
            result = subprocess.run(
                [
                    sys.executable,
                    "-m",
                    "chiverun",
                    "serve",
                    "--settings",
                    str(path),
                ],
                capture_output=True,
                cwd=_ROOT,
                text=True,
                timeout=60,
                check=False,
            )
        self.assertEqual(7, result.returncode, result.stderr)
        self.assertIn("PORT_IN_USE (702)", result.stderr)
        self.assertNotIn("Traceback", result.stderr.splitlines()[-1])
