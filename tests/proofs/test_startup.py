"""Proof with processes: an instance that cannot start ends by itself."""

import pathlib
import subprocess
import sys
import tempfile
import unittest

from nose2.tools import params

_ROOT = pathlib.Path(__file__).parent.parent.parent
_PORTS = ("lookup", "entry", "forward", "peer")
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
    def test_address_in_use(self, port):
        """Guards against a process that hangs after it failed to listen."""
        numbers = {name: 7001 + i for i, name in enumerate(_PORTS)}
        numbers[port] = numbers["lookup"]
        addresses = "\n".join(
            f"{name}_address = 127.8.0.2:{number}"
            for name, number in numbers.items()
        )
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "a.ini"
            path.write_text(_SETTINGS.format(addresses=addresses))
            done = subprocess.run(
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
        self.assertEqual(7, done.returncode, done.stderr)
        self.assertIn("PORT_IN_USE (702)", done.stderr)
        self.assertNotIn("Traceback", done.stderr.splitlines()[-1])
