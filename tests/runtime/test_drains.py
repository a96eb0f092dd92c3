"""Tests that a draining server or instance gets no new work (P6, P7)."""

import random
import unittest

from nose2.tools import params

from chiverun.core.admission import Admission
from chiverun.core.clock import ManualClock
from chiverun.core.errors import ChiverunError
from chiverun.core.exchange import Shed
from chiverun.core.exchange import ShedReason
from chiverun.core.ids import BootId
from chiverun.core.messages import Advert
from chiverun.core.messages import DrainNotice
from chiverun.core.messages import Gossip
from chiverun.core.messages import Ping
from chiverun.core.state import apply_ticket
from chiverun.core.tables import Held
from chiverun.core.ticket import Server
from chiverun.core.ticket import ServerState
from chiverun.core.ticket import Ticket
from chiverun.runtime.control import BeginStop
from chiverun.runtime.control import ControlPlane
from chiverun.runtime.control import Identity
from chiverun.runtime.control import ServersLeaving
from chiverun.runtime.control import StateRead
from tests.core import cap_states

_SERVER = "s-b1"


def _advert(name: str, zone: str, sequence: int = 1) -> Advert:
    return Advert(
        instance=name,
        boot_id=BootId(name),
        incarnation=1,
        sequence=sequence,
        zone=zone,
        lookup=f"{name}:1",
        entry=f"{name}:2",
        forward=f"{name}:3",
        peer=f"{name}:4",
        leaving=False,
        seats=(),
        free_slots={},
        number=1,
    )


class DrainTest(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.sent = []
        self.admission = Admission(
            zone="b1", clock=self.clock, rng=random.Random(1)
        )
        self.plane = ControlPlane(
            identity=Identity(
                instance="b1-0",
                boot_id=BootId("life"),
                zone="b1",
                lookup="me:1",
                entry="me:2",
                forward="me:3",
                peer="me:4",
                seeds=(),
            ),
            clock=self.clock,
            rng=random.Random(1),
            admission=self.admission,
            send=lambda address, message: self.sent.append((address, message)),
            submit=lambda job: None,
        )
        self.plane.handle(StateRead(state=cap_states.make_state(slots=10)))
        for name, zone in [("b1-1", "b1"), ("b1-2", "b1")] + [
            (f"{z}-{i}", z) for z in ("a1", "c1") for i in range(5)
        ]:
            self._receive(name, zone)
        now = self.clock.monotonic()
        for seat in range(cap_states.SEATS):
            self.plane.seats.held[seat] = Held(
                epoch=1, short_opens_at=now, long_opens_at=now
            )
        self.plane.tick()
        self.sent.clear()

    def _receive(self, name, zone, sequence=1, draining=()) -> None:
        gossip = Gossip(
            sender=_advert(name, zone, sequence),
            number=1,
            digest=self.plane.state.digest,
            updates=(),
            adverts=(),
            draining=draining,
        )
        self.plane.receive(Ping(sequence=0, gossip=gossip))

    def _report_draining(self, kind: str) -> None:
        match kind:
            case "report":
                self.plane.handle(ServersLeaving(servers=frozenset({_SERVER})))
            case "peer":
                notice = DrainNotice(server=_SERVER, age_ms=100)
                self._receive("b1-1", "b1", 2, (notice,))
            case "shed":
                work = cap_states.work(self.clock, "b")
                grant = self.admission.try_acquire(work)
                end = Shed(reason=ShedReason.DRAINING)
                self.admission.release(grant, end)
            case "ticket":
                self._set_state(ServerState.DRAIN)

    def _set_state(self, state: ServerState) -> None:
        old = self.plane.state.of(Server)[_SERVER]
        values = {f: getattr(old, f) for f in old.__struct_fields__}
        ticket = Ticket(
            number=self.plane.state.number + 1,
            reason="test",
            author="test",
            server=(Server(**{**values, "state": state}),),
        )
        self.plane.handle(
            StateRead(state=apply_ticket(self.plane.state, ticket))
        )

    def _admitted_count(self) -> int:
        count = 0
        try:
            while True:
                work = cap_states.work(self.clock, "b")
                self.admission.try_acquire(work)
                count += 1
        except ChiverunError:
            return count

    def _advance(self, seconds: float) -> None:
        for _ in range(round(seconds * 10)):
            self.clock.advance(0.1)
            self.plane.tick()

    @params("report", "peer", "shed", "ticket")
    def test_one_report_alone_stops_new_work(self, kind):
        """Guards against waiting over 3 s for the lagging instance list."""
        self._report_draining(kind)
        self._advance(0.1)
        self.assertEqual(0, self._admitted_count())

    @params("report", "shed")
    def test_new_report_reaches_the_zone_at_once(self, kind):
        """Guards against gossip in turn, a minute for the last of 67 peers."""
        self._report_draining(kind)
        self._advance(0.1)
        informed = {a for a, m in self.sent if m.gossip.draining}
        self.assertLessEqual({"b1-1:4", "b1-2:4"}, informed)
        self.sent.clear()
        self._report_draining("report")
        self.assertEqual([], self.sent)

    @params("report", "peer", "shed", "ticket")
    def test_returning_server_starts_slowly(self, kind):
        """Guards against full load on a cold server that has returned.

        Its slow start used to depend on its own draining response.
        """
        self._report_draining(kind)
        self._advance(0.1)
        if kind == "ticket":
            self._set_state(ServerState.ACTIVE)
        for _ in range(300):
            self._advance(0.1)
            if _SERVER not in self.plane.snapshot.leaving_servers:
                break
        self._advance(1.0)
        self.assertIn(self._admitted_count(), range(1, 4))
        self._advance(5.0)
        self.assertGreaterEqual(self._admitted_count(), 6)

    def test_stop_is_announced_to_every_zone(self):
        """Guards against zones that use the instance until gossip arrives."""
        self.plane.handle(BeginStop())
        informed = [a for a, m in self.sent if m.gossip.sender.leaving]
        for zone, count in (("b1", 2), ("a1", 3), ("c1", 3)):
            found = {a for a in informed if a.startswith(zone)}
            self.assertEqual(count, len(found))
        listed = self.plane.snapshot.zones["b1"].instances
        self.assertNotIn("b1-0", {a.instance for a in listed})
