"""What an instance does with the signs of a leaving server (P6, P7)."""

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

    def _sign(self, kind: str) -> None:
        match kind:
            case "report":
                self.plane.handle(ServersLeaving(servers=frozenset({_SERVER})))
            case "peer":
                sign = DrainNotice(server=_SERVER, age_ms=100)
                self._receive("b1-1", "b1", 2, (sign,))
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

    def _admitted(self) -> int:
        count = 0
        try:
            while True:
                work = cap_states.work(self.clock, "b")
                self.admission.try_acquire(work)
                count += 1
        except ChiverunError:
            return count

    def _pass(self, seconds: float) -> None:
        for _ in range(round(seconds * 10)):
            self.clock.advance(0.1)
            self.plane.tick()

    @params("report", "peer", "shed", "ticket")
    def test_one_sign_alone_stops_new_work(self, kind):
        """Waiting for the lagging list alone takes longer than 3 s."""
        self._sign(kind)
        self._pass(0.1)
        self.assertEqual(0, self._admitted())

    @params("report", "shed")
    def test_new_sign_is_told_to_the_zone_at_once(self, kind):
        """In turn, the last of 67 peers would be pinged after a minute."""
        self._sign(kind)
        self._pass(0.1)
        told = {a for a, m in self.sent if m.gossip.draining}
        self.assertLessEqual({"b1-1:4", "b1-2:4"}, told)
        self.sent.clear()
        self._sign("report")
        self.assertEqual([], self.sent)

    @params("report", "peer", "shed", "ticket")
    def test_returning_server_starts_slowly(self, kind):
        """It is cold; before, only its own response led to a slow start."""
        self._sign(kind)
        self._pass(0.1)
        if kind == "ticket":
            self._set_state(ServerState.ACTIVE)
        for _ in range(300):
            self._pass(0.1)
            if _SERVER not in self.plane.snapshot.leaving_servers:
                break
        self._pass(1.0)
        self.assertIn(self._admitted(), range(1, 4))
        self._pass(5.0)
        self.assertGreaterEqual(self._admitted(), 6)

    def test_leave_is_told_to_every_zone(self):
        """Other zones would forward and list it until gossip reached them."""
        self.plane.handle(BeginStop())
        told = [a for a, m in self.sent if m.gossip.sender.leaving]
        for zone, count in (("b1", 2), ("a1", 3), ("c1", 3)):
            found = {a for a in told if a.startswith(zone)}
            self.assertEqual(count, len(found))
        listed = self.plane.snapshot.zones["b1"].instances
        self.assertNotIn("b1-0", {a.instance for a in listed})
