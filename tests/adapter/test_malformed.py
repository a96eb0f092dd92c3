"""Tests of the edge's decoders with malformed input.

They guard against one malformed message or item that ends a process or
affects the valid ones.
"""

import asyncio
import unittest

import logbook
import msgspec
from hypothesis import given
from hypothesis import settings
from nose2.tools import params

from chiverun.core import edgemessages
from chiverun.core.catalog import DesiredState
from chiverun.core.catalog import Server
from chiverun.core.errors import ChiverunError
from chiverun.core.replica import Unreadable
from chiverun.core.replica import VersionedRecord
from chiverun.core.revisions import Era
from chiverun.integrations.catalogstore import CatalogUnavailable
from chiverun.platform import store as store_module
from chiverun.platform.records import decode_record
from chiverun.platform.settings import decode_settings
from chiverun.runtime.demandexchange import DemandExchange
from chiverun.runtime.follower import CatalogFollower
from chiverun.runtime.loadexchange import LoadExchange
from chiverun.runtime.servertable import ServerTable
from tests import malformed
from tests.adapter.examples import desired_state
from tests.adapter.examples import server_entry
from tests.adapter.examples import settings_body
from tests.adapter.oddrecords import ODD_MACHINES
from tests.adapter.oddrecords import ODD_SERVERS
from tests.records import make_server
from tests.runtime.fleet import add_server
from tests.runtime.test_follower import FakePeers
from tests.runtime.test_follower import FakeStore
from tests.runtime.test_follower import make_machine

_EXAMPLES = settings(derandomize=True, max_examples=300, deadline=None)
_REGIONS = {"z": "r", "z2": "r2"}
_REMOTE = msgspec.structs.replace(make_machine("m7"), zone="z2", region="r2")
_ITEM = VersionedRecord(key="servers/a", revision=3, record=make_server("a"))
PEER_MESSAGES = (
    edgemessages.LimitReports(
        sender="m1",
        reports=[
            edgemessages.LimitReport(
                server="a", started_ms=1, per_s=5.0, age_s=0.1
            )
        ],
    ),
    edgemessages.Heartbeat(
        machine=make_machine("m1"),
        boot_id="l1",
        leaving=False,
        reads_store=True,
    ),
    edgemessages.Update(
        sender="m1",
        boot_id="l1",
        since=5,
        as_of=6,
        items=[_ITEM],
        lapse_left_s=0.0,
        live=["m1"],
    ),
    edgemessages.DemandReport(
        sender="m1", boot_id="l1", at_s=3.0, arrivals={"mill": 3}
    ),
    edgemessages.RegionDemand(
        sender="m7", boot_id="l1", number=1, region="r2", per_s={"mill": 1.0}
    ),
    edgemessages.ShareGoals(
        sender="m1", boot_id="l1", number=1, offsets={"mill": {"r2": 0.1}}
    ),
    edgemessages.LoadReport(
        sender="m1",
        boot_id="l1",
        number=1,
        at_s=3.0,
        counts={"z": 2},
        is_complete=True,
    ),
    edgemessages.RegionLoads(
        sender="m1",
        boot_id="l1",
        number=1,
        at_s=3.0,
        counts={"z": 2},
        is_complete=False,
    ),
    edgemessages.Pull(reply_to="10.0.0.1:1", as_of=2),
    edgemessages.Snapshot(as_of=6, items=[_ITEM]),
    edgemessages.QuotaReport(
        sender="m1",
        reply_to="10.0.0.1:1",
        boot_id="l1",
        number=1,
        demands=[
            edgemessages.QuotaDemand(
                account="a",
                held=1,
                returned=0,
                waiting=1,
                expected=0.5,
                stock=1.0,
            )
        ],
    ),
    edgemessages.QuotaGrant(
        sender="m1",
        boot_id="l1",
        receiver="l2",
        number=1,
        sent_at=1.0,
        tokens=[edgemessages.QuotaTokens(account="a", tokens=1, wait_s=0.0)],
    ),
)
_STORE_BODY = {
    "storeRevision": 9,
    "items": [{"key": "servers/a", "value": "e30=", "revision": 3}],
    "events": [{"key": "servers/a", "revision": 3, "deleted": True}],
    "hasMore": False,
}


class RecordTest(unittest.TestCase):
    @params("op/config", "servers/a", "chiverun/machines/m", "op/evacuate/z")
    def test_bytes(self, key):
        """Guards against an item of another writer."""

        @_EXAMPLES
        @given(malformed.RANDOM_BYTES)
        def check(data: bytes) -> None:
            decode_record(key, data)

        check()
        decode_record(key, malformed.DEEP_JSON)

    @params(*ODD_SERVERS, *ODD_MACHINES)
    def test_odd_record_is_unreadable(self, name):
        """Guards against a value that fails only where it is used."""
        if name in ODD_SERVERS:
            record = decode_record(f"servers/odd-{name}", ODD_SERVERS[name])
            self.assertIsInstance(record, Unreadable)
        if name in ODD_MACHINES:
            key = f"chiverun/machines/odd-{name}"
            record = decode_record(key, ODD_MACHINES[name])
            self.assertIsInstance(record, Unreadable)

    def test_number_out_of_range_in_a_desired_state(self):
        """Guards against a number that can't be a float."""
        body = desired_state()
        body["clusters"][0]["coldPerS"] = 10**400
        record = decode_record("op/config", malformed.to_json(body))
        self.assertEqual(1, len(record.faults))

    @_EXAMPLES
    @given(malformed.variants(desired_state()))
    def test_desired_state(self, body):
        """Guards against exceptions for one value in a desired state."""
        record = decode_record("op/config", malformed.to_json(body))
        self.assertIsInstance(record, DesiredState | Unreadable)

    @_EXAMPLES
    @given(malformed.variants(msgspec.json.decode(server_entry())))
    def test_server(self, body):
        """Guards against exceptions for one value of a server."""
        record = decode_record("servers/a", malformed.to_json(body))
        self.assertIsInstance(record, Server | Unreadable)

    @_EXAMPLES
    @given(malformed.variants(settings_body()))
    def test_settings(self, body):
        """Guards against exceptions without a code for the settings."""
        try:
            decode_settings(malformed.to_json(body).decode())
        except ChiverunError:
            pass


def _servers() -> ServerTable:
    """Return the table of a service with servers in two regions."""
    servers = ServerTable(machine="m5")
    for zone, region in _REGIONS.items():
        add_server(servers, make_server(zone, zone=zone), region, "m5")
    return servers


async def _decode_rows(body, name) -> None:
    async for row in store_module.valid_rows(body, name):
        store_module.decode_item(row, Era(1))


class StoreBodyTest(unittest.TestCase):
    @_EXAMPLES
    @given(malformed.variants(_STORE_BODY))
    def test_rows(self, body):
        """Guards against a store response that ends the reader."""
        with logbook.NullHandler().applicationbound():
            for name in ("items", "events"):
                try:
                    checked = store_module.decode_body(
                        malformed.to_json(body), "/x"
                    )
                    asyncio.run(_decode_rows(checked, name))
                except CatalogUnavailable:
                    continue


class PeerMessageTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.follower = CatalogFollower(
            me=make_machine("m5"),
            boot_id="l1",
            store=FakeStore(),
            peers=FakePeers(),
            seeds=(),
            on_change=lambda: None,
            on_limits=lambda message: None,
            on_suspect=lambda message: None,
            on_demand=lambda message: self.demand.receive(message),
            on_loads=lambda message: self.loads.receive(message),
        )
        machines = [make_machine("m1"), _REMOTE]
        self.follower.table.record_machines(machines)
        servers = _servers()
        self.demand = DemandExchange(
            servers=servers,
            table=self.follower.table,
            peers=FakePeers(),
            boot_id="l1",
            regions=_REGIONS,
        )
        self.loads = LoadExchange(
            servers=servers,
            table=self.follower.table,
            peers=FakePeers(),
            boot_id="l1",
        )
        handler = logbook.NullHandler()
        handler.push_application()
        self.addCleanup(handler.pop_application)

    def _receive(self, data: bytes) -> None:
        for payload in (data, b"\x00" + data, b"\x01" + data):
            self.follower._receive(payload)

    async def test_bytes(self):
        """Guards against a message of another program."""

        @_EXAMPLES
        @given(malformed.RANDOM_BYTES)
        def check(data: bytes) -> None:
            self._receive(data)

        check()
        self._receive(malformed.DEEP_MSGPACK)

    async def test_fields(self):
        """Guards against one field that ends the follower."""
        for message in PEER_MESSAGES:
            with self.subTest(type(message).__name__):
                self._check_fields(message)

    def _check_fields(self, message: edgemessages.EdgeMessage) -> None:
        body = msgspec.msgpack.decode(msgspec.msgpack.encode(message))

        @_EXAMPLES
        @given(malformed.variants(body))
        def check(variant: object) -> None:
            self._receive(malformed.to_msgpack(variant))
            self.follower.heartbeats.send(True)
            self.follower.table.live(0.0)
            self.demand.tick()
            self.loads.tick()

        check()

    async def test_cut_and_changed_bytes(self):
        """Guards against a damaged message."""
        for message in PEER_MESSAGES:
            with self.subTest(type(message).__name__):
                self._check_damaged(message)

    def _check_damaged(self, message: edgemessages.EdgeMessage) -> None:
        @_EXAMPLES
        @given(malformed.cut_or_flipped(edgemessages.encode(message)))
        def check(payload: bytes) -> None:
            self.follower._receive(payload)
            self.follower.heartbeats.send(True)

        check()
