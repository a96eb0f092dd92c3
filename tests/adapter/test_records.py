"""Tests of decoding the platform's store items and settings."""

import json
import unittest

from nose2.tools import params

from chiverun.core.catalog import Server
from chiverun.core.catalog import ServerState
from chiverun.core.errors import ChiverunError
from chiverun.core.errors import ResultCode
from chiverun.core.replica import Evacuation
from chiverun.core.replica import Unreadable
from chiverun.platform.records import decode_record
from chiverun.platform.settings import decode_settings
from tests.adapter.examples import desired_state
from tests.adapter.examples import server_entry
from tests.adapter.examples import settings_body


class ServerEntryTest(unittest.TestCase):
    def test_entry(self) -> None:
        """Guards against wrong units and states in a decoded server."""
        record = decode_record("servers/i-1", server_entry(coldLeft="1500ms"))
        self.assertIsInstance(record, Server)
        self.assertEqual(record.cold_left_s, 1.5)
        self.assertIs(record.state, ServerState.READY)

    @params(
        b"",
        b"\xff\xfe",
        b"[]",
        b"null",
        b'{"service":',
        b"[" * 100_000,
        server_entry(state="resting"),
        server_entry(slots="4"),
        server_entry(slots=True),
        server_entry(slots=0),
        server_entry(coldLeft=7),
        server_entry(address="nowhere"),
        server_entry(address=None),
        server_entry(born="x"),
        server_entry(service=None),
    )
    def test_invalid_entry_is_unreadable(self, data) -> None:
        """Guards against one invalid entry that affects the valid ones."""
        self.assertIsInstance(decode_record("servers/i-1", data), Unreadable)

    @params("op/evacuate/z1", "op/evacuate/musanze-a")
    def test_evacuation(self, key) -> None:
        """Guards against an evacuation that is lost for its value."""
        record = decode_record(key, b"not read")
        self.assertEqual(record, Evacuation(zone=key.rpartition("/")[2]))

    @params("op/other", "topics/x", "chiverunx")
    def test_other_keys_are_ignored(self, key) -> None:
        """Guards against decoding keys of other writers."""
        self.assertIsNone(decode_record(key, b"{}"))


class DesiredStateTest(unittest.TestCase):
    def test_state(self) -> None:
        """Guards against wrong routes and services in a desired state."""
        state = decode_record(
            "op/config", json.dumps(desired_state()).encode()
        )
        by_prefix = {route.prefix: route for route in state.routes}
        self.assertEqual(by_prefix["/book/"].repeatable, False)
        self.assertEqual(by_prefix["/read/"].timeout_s, 1.2)
        weights = [part.weight for part in by_prefix["/read/"].parts]
        self.assertEqual(weights, [90.0, 10.0])
        self.assertEqual(state.services[0].cold_per_s, 5.8)

    @params(
        ("version", "7"),
        ("listeners", {}),
        ("clusters", None),
        ("limits", []),
    )
    def test_bad_state_is_unreadable(self, name, value) -> None:
        """Guards against applying an invalid desired state."""
        body = {**desired_state(), name: value}
        record = decode_record("op/config", json.dumps(body).encode())
        self.assertIsInstance(record, Unreadable)


class SettingsTest(unittest.TestCase):
    def test_settings(self) -> None:
        """Guards against wrong fields and units in decoded settings."""
        cfg = decode_settings(json.dumps(settings_body()))
        self.assertEqual(cfg.bounds.stop_grace_s, 6.0)
        self.assertEqual(cfg.bounds.retry_extra, 56.0)
        self.assertEqual(cfg.regions["huye-a"], "amajyepfo")

    def test_unknown_fields_are_ignored(self) -> None:
        """Guards against rejecting settings with fields added later."""
        body = {**settings_body(), "new": {"x": 1}}
        body["bounds"] = [*body["bounds"], "newBound=3s"]
        decode_settings(json.dumps(body))

    @params(
        "",
        "{",
        "[]",
        json.dumps({**settings_body(), "zone": None}),
        json.dumps({**settings_body(), "listen": {}}),
        json.dumps({**settings_body(), "bounds": ["grace=soon"]}),
        json.dumps({**settings_body(), "innerPorts": [1]}),
    )
    def test_invalid_settings_raise_setting_invalid(self, text) -> None:
        """Guards against exceptions other than `ChiverunError`."""
        with self.assertRaises(ChiverunError) as caught:
            decode_settings(text)
        self.assertIs(caught.exception.code, ResultCode.SETTING_INVALID)
