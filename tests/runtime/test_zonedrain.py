"""Tests that a drained zone disappears from look-ups and routes."""

import unittest

from chiverun.core.errors import ChiverunError
from chiverun.core.errors import ResultCode
from chiverun.core.lookup import answer_lookup
from chiverun.core.lookup import BlockTables
from chiverun.core.routing import overflow_targets
from chiverun.core.routing import region_targets
from chiverun.core.ticket import encode_ticket
from chiverun.core.ticket import RequestClass
from chiverun.core.ticket import Server
from chiverun.core.ticket import Service
from chiverun.core.ticket import Ticket
from chiverun.core.ticket import Zone
from chiverun.core.ticket import ZoneState
from chiverun.core.ticketlog import TicketLog
from standins.memorystore import MemoryStore
from tests.runtime.test_ticketspread import joined


def _zone_ticket(number: int, names: list[str], state: ZoneState) -> Ticket:
    zones = tuple(Zone(name=n, region="r", state=state) for n in names)
    return Ticket(number=number, reason="drain", author="a", zone=zones)


def _servers(number: int) -> Ticket:
    classes = (RequestClass(name="c", methods=("GET",)),)
    return Ticket(
        number=number,
        reason="servers",
        author="a",
        service=(Service(name="v", classes=classes),),
        server=tuple(
            Server(
                name=f"s{i}",
                service="v",
                zone=f"z{i}",
                address=f"127.0.0.1:{i + 1}",
                slots=4,
            )
            for i in range(4)
        ),
    )


class ZoneDrainTest(unittest.TestCase):
    def setUp(self):
        self.net = joined()
        store = MemoryStore(platform=self.net.platform)
        self.log = TicketLog(store=store)

    def accept(self, ticket: Ticket) -> None:
        self.log.submit(ticket, f"s{ticket.number}", [])
        self.net.run(self.net.all_have(ticket.number), 30)
        self.net.run(lambda: False, 0.2)

    def listed(self, name: str) -> set[str]:
        """Return the zones in the look-ups and routes of an instance."""
        plane = self.net.planes[name]
        snapshot = plane.snapshot
        zones = set()
        for client in range(40):
            found = answer_lookup(
                snapshot, BlockTables().get(snapshot.state), client, "z1", 1.0
            )
            zones |= {a.partition("-")[0] for a in found.instances}
        now = self.net.clock.monotonic()
        me, home = plane.identity.instance, plane.identity.zone
        targets = overflow_targets(snapshot, me, home, "v", now)
        targets += region_targets(snapshot, me, "r", "v")
        return zones | {t.zone for t in targets}

    def test_drained_zone_is_left_out(self):
        """Guards against new requests sent to a zone under maintenance."""
        self.accept(_servers(2))
        for name in ("z0-0", "z1-0"):
            self.assertIn("z1", self.listed(name))
        self.accept(_zone_ticket(3, ["z1"], ZoneState.DRAIN))
        for name in ("z0-0", "z1-0"):
            self.assertNotIn("z1", self.listed(name))
            self.assertTrue(self.listed(name))
        planes = self.net.planes
        self.assertEqual({"s1"}, planes["z1-0"].snapshot.leaving_servers)
        self.assertEqual(set(), planes["z0-0"].snapshot.leaving_servers)
        self.accept(_zone_ticket(4, ["z1"], ZoneState.ACTIVE))
        self.assertIn("z1", self.listed("z0-0"))
        self.assertEqual(set(), planes["z1-0"].snapshot.leaving_servers)

    def test_last_zone_is_not_drained(self):
        """Guards against a ticket that drains every zone."""
        names = [f"z{i}" for i in range(6)]
        with self.assertRaises(ChiverunError) as caught:
            self.accept(_zone_ticket(2, names, ZoneState.DRAIN))
        self.assertEqual(ResultCode.TICKET_INVALID, caught.exception.code)

    def test_added_fields_keep_digests(self):
        """Guards against a fork between instances of different versions.

        A new field with a default must not change the encoding of tickets
        that do not set it.
        """
        ticket = _zone_ticket(1, ["z"], ZoneState.ACTIVE)
        self.assertNotIn(b"state", encode_ticket(ticket))
        self.assertNotIn(b"remove", encode_ticket(ticket))
