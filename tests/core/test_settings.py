"""Tests of the settings reader."""

import pathlib
import tempfile
import unittest

from nose2.tools import params

from chiverun.core.errors import ChiverunError
from chiverun.core.errors import ResultCode
from chiverun.core.settings import read_settings

_VALID = {
    "instance": {
        "name": "dar-a-1",
        "zone": "dar-a",
        "lookup_address": "127.0.0.1:7001",
        "entry_address": "127.0.0.1:7002",
        "forward_address": "127.0.0.1:7003",
        "peer_address": "127.0.0.1:7004",
    },
    "peers": {"seeds": "127.0.0.1:7014, 127.0.0.1:7024"},
    "platform": {"store": "127.0.0.1:8500"},
}


def _text(changes: dict[tuple[str, str], str | None]) -> str:
    values = {s: dict(keys) for s, keys in _VALID.items()}
    for (section, key), value in changes.items():
        values.setdefault(section, {})[key] = value
    return "\n".join(
        f"[{section}]\n"
        + "\n".join(f"{k} = {v}" for k, v in keys.items() if v is not None)
        for section, keys in values.items()
    )


def _read(text: str):
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "instance.ini"
        path.write_text(text)
        return read_settings(path)


class SettingsTest(unittest.TestCase):
    def test_valid_file_is_read(self):
        """Guards against settings that are dropped or wrongly parsed."""
        cfg = _read(_text({("limits", "entry_threads"): "8"}))
        self.assertEqual("dar-a", cfg.zone)
        self.assertEqual(8, cfg.entry_threads)
        self.assertEqual(("127.0.0.1:7014", "127.0.0.1:7024"), cfg.seeds)

    @params(
        ("instance", "zone", None, ResultCode.SETTING_MISSING, "zone"),
        ("instance", "zon", "x", ResultCode.SETTING_UNKNOWN, "valid: name"),
        ("instance", "entry_address", "localhost:1", None, "IP:PORT"),
        ("instance", "entry_address", "127.0.0.1:0", None, "IP:PORT"),
        ("limits", "entry_threads", "many", None, "int from 1 to 512"),
        ("limits", "entry_threads", "0", None, "'0'"),
        ("lookup", "ttl_s", "nan", None, "float from 0.1"),
        ("callers", "connections_max", "0", None, "int from 8"),
        ("callers", "head_timeout_s", "0.1", None, "float from 1.0"),
        ("telemetry", "log_level", "LOUD", None, "one of DEBUG"),
        ("extra", "key", "1", ResultCode.SETTING_UNKNOWN, "[extra]"),
    )
    def test_invalid_setting_is_reported(
        self, section, key, value, code, expected_text
    ):
        """Guards against an error without the setting or its valid values."""
        with self.assertRaises(ChiverunError) as caught:
            _read(_text({(section, key): value}))
        self.assertEqual(
            code or ResultCode.SETTING_INVALID, caught.exception.code
        )
        self.assertIn(expected_text, caught.exception.message)

    def test_missing_file_is_reported(self):
        """Guards against an error without a result code."""
        with self.assertRaises(ChiverunError) as caught:
            read_settings("/nonexistent.ini")
        self.assertEqual(ResultCode.FILE_NOT_READABLE, caught.exception.code)
