"""Tests of decoding the platform's store items and settings."""

import json
import tempfile
import unittest
from unittest import mock

from nose2.tools import params

from chiverun.core.catalog import DesiredState
from chiverun.core.catalog import RouteTable
from chiverun.core.catalog import Server
from chiverun.core.catalog import ServerState
from chiverun.core.edgesettings import EdgeSettings
from chiverun.core.errors import ChiverunError
from chiverun.core.errors import ResultCode
from chiverun.core.replica import Evacuation
from chiverun.core.replica import Unreadable
from chiverun.platform.records import decode_record
from chiverun.platform.settings import decode_settings
from chiverun.platform.settings import PATH_VARIABLE
from chiverun.platform.settings import read_platform_settings
from chiverun.platform.settings import SHARE_LOADS_VARIABLE
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

    @params(
        *(
            (name, value)
            for name in json.loads(server_entry())
            if name != "born"
            for value in (None, [], {})
        )
    )
    def test_entry_without_a_field_is_unreadable(self, name, value) -> None:
        """Guards against an entry of another writer that names a server."""
        body = json.loads(server_entry())
        del body[name]
        for odd in (body, {**body, name: value}):
            record = decode_record("servers/i-1", json.dumps(odd).encode())
            self.assertIsInstance(record, Unreadable)

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

    def _decode(self, body: dict) -> DesiredState:
        record = decode_record("op/config", json.dumps(body).encode())
        self.assertIsInstance(record, DesiredState, record)
        return record

    @params(
        ("upload", False),
        ("safe", True),
        ("unsafe", False),
        ("stream-of-2030", False),
        (7, False),
        (None, False),
    )
    def test_kind(self, kind, repeatable):
        """Guards against one unknown kind that takes all routes away.

        An unknown kind is served, but sent to a second server only with
        proof that the first has not run it.
        """
        body = desired_state()
        body["listeners"][0]["rules"][1]["kind"] = kind
        state = self._decode(body)
        route = RouteTable.of(state).find("mill.example", "/read/a")
        self.assertEqual((repeatable, None), (route.repeatable, route.fault))
        is_known = kind in ("upload", "safe", "unsafe")
        self.assertEqual(is_known, not state.faults)

    @params(
        ("timeout", None),
        ("timeout", "soon"),
        ("maxAttempts", 0),
        ("service", None),
        ("service", ["works"]),
        ("homeRegions", 3),
        ("split", [{"service": "works"}]),
        ("split", "works"),
    )
    def test_unreadable_action_affects_one_route(self, name, value):
        """Guards against one unreadable route that takes all away."""
        body = desired_state(**{name: value})
        state = self._decode(body)
        table = RouteTable.of(state)
        self.assertIn(name, table.find("mill.example", "/book/1").fault)
        self.assertIsNone(table.find("mill.example", "/read/1").fault)
        self.assertEqual(1, len(state.faults))
        self.assertIn("r-1", state.faults[0].place)

    @params(
        {"match": {"prefix": None}},
        {"match": {"regex": "/book/.*"}},
        {"match": "/book/"},
        {"action": None},
        {"targetLatency": "fast"},
        {"priority": "high"},
        {"name": 5},
    )
    def test_unreadable_rule_affects_one_route(self, changes):
        """Guards against a 404 for a route that exists but is unreadable."""
        body = desired_state()
        body["listeners"][0]["rules"][0].update(changes)
        state = self._decode(body)
        table = RouteTable.of(state)
        self.assertIsNone(table.find("mill.example", "/read/1").fault)
        found = table.find("mill.example", "/book/1")
        self.assertIsNotNone(found)
        has_default = "priority" in changes or "name" in changes
        self.assertEqual(has_default, found.fault is None)
        self.assertEqual(1, len(state.faults))

    @params(
        7, None, "x", {"rules": []}, {"host": 3, "rules": []}, {"host": "a"}
    )
    def test_unreadable_listener_affects_no_other(self, listener):
        """Guards against one unreadable host that takes all away."""
        body = desired_state()
        body["listeners"].append(listener)
        state = self._decode(body)
        table = RouteTable.of(state)
        self.assertIsNone(table.find("mill.example", "/read/1").fault)
        # The unreadable host may be any host.
        self.assertIsNotNone(table.find("a", "/").fault)
        self.assertEqual(1, len(state.faults))

    @params(
        ("maxConns", None),
        ("coldStart", 3),
        ("coldPerS", "many"),
        ("healthPath", None),
    )
    def test_unreadable_service_is_limited_more_strictly(self, name, value):
        """Guards against servers without limits after an unknown value."""
        body = desired_state()
        body["clusters"][0][name] = value
        state = self._decode(body)
        spec = RouteTable.of(state).service("works")
        self.assertLessEqual(spec.connections_max, 330)
        self.assertGreaterEqual(spec.cold_s, 3.0)
        self.assertLessEqual(spec.cold_per_s, 5.8)
        self.assertIn("works", state.faults[0].place)

    @params(7, None, {}, {"name": None})
    def test_unreadable_service_row_affects_no_other(self, row):
        """Guards against one unreadable service that takes all away."""
        body = desired_state()
        body["clusters"].append(row)
        state = self._decode(body)
        table = RouteTable.of(state)
        self.assertEqual(330, table.service("works").connections_max)
        self.assertLess(table.service("other").connections_max, 330)
        self.assertEqual(1, len(state.faults))

    @params("maxHeaderBytes", "maxBodyBytes", "headerTimeout", "idleTimeout")
    def test_unreadable_limit_has_a_default(self, name):
        """Guards against one unknown limit that takes all routes away."""
        body = desired_state()
        body["limits"][name] = "unlimited"
        state = self._decode(body)
        self.assertEqual(2, len(state.routes))
        self.assertIn(name, state.faults[0].reason)

    def test_new_fields_are_ignored(self):
        """Guards against refusing a state of a newer platform."""
        body = desired_state(mirror={"service": "x"})
        body["listeners"][0]["rules"][0]["shape"] = [1]
        body["clusters"][0]["zones"] = {}
        body["layers"] = 3
        self.assertEqual((), self._decode(body).faults)

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

    @params((None, True), ("true", True), ("false", False))
    def test_sharing_of_loads(self, text, expected) -> None:
        """Guards against a switch that does not switch."""
        self.assertIs(expected, self._read(text).share_loads)

    def test_invalid_switch_is_refused(self) -> None:
        """Guards against a misspelt value that is taken for one of both."""
        with self.assertRaises(ChiverunError) as caught:
            self._read("off")
        self.assertIs(caught.exception.code, ResultCode.SETTING_INVALID)
        self.assertIn("'off'", str(caught.exception))

    def _read(self, share_loads: str | None) -> EdgeSettings:
        with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
            json.dump(settings_body(), file)
            file.flush()
            env = {PATH_VARIABLE: file.name}
            if share_loads is not None:
                env[SHARE_LOADS_VARIABLE] = share_loads
            with mock.patch.dict("os.environ", env):
                return read_platform_settings()

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

    @params("127.0.0.1:\u00b2", "127.0.0.1:99999", "127.0.0.1:0", ":80")
    def test_address_with_an_invalid_port(self, address) -> None:
        """Guards against an address that fails only when it is used."""
        listen = {**settings_body()["listen"], "front": address}
        with self.assertRaises(ChiverunError) as caught:
            decode_settings(json.dumps(settings_body(listen=listen)))
        self.assertIs(caught.exception.code, ResultCode.SETTING_INVALID)
