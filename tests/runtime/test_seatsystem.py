"""Tests of claims, suspension and transfers of seats."""

import unittest

import logbook
import msgspec
from nose2.tools import params

from chiverun.core.messages import Ack
from chiverun.core.messages import MemberState
from chiverun.core.messages import MemberUpdate
from chiverun.core.messages import SeatHolderRecords
from chiverun.core.messages import SeatRequest
from chiverun.core.messages import SeatTransfer
from chiverun.core.messages import Tickets
from chiverun.core.seats import CLAIM_EPOCH_STEP
from chiverun.core.seats import CLAIM_NOTICE_MARGIN_S
from chiverun.core.state import apply_ticket
from chiverun.core.ticket import Zone
from chiverun.core.ticketentry import Entry
from chiverun.runtime import gossip
from chiverun.runtime.control import BeginStop
from chiverun.runtime.control import TransferSeats
from chiverun.runtime.events import EntriesRead
from chiverun.runtime.events import StateRead
from standins.planes import Lifetime
from standins.planes import LONG
from standins.planes import make_state
from standins.planes import make_ticket
from standins.planes import Planes
from standins.planes import SHORT
from standins.planes import ZONE

_QUIET = {"load": ()}


class SeatSystemTest(unittest.TestCase):
    def setUp(self) -> None:
        self._logs = logbook.NullHandler()
        self._logs.push_application()

    def tearDown(self) -> None:
        self._logs.pop_application()

    def _planes(self, count: int, **fields) -> tuple[Planes, list[Lifetime]]:
        planes = Planes(seed=3, **fields)
        started = [planes.start(n) for n in range(count)]
        seats = planes.state.of(Zone)[ZONE].seats
        self.assertTrue(planes.run_until(lambda: planes.is_even(seats), 40))
        return planes, started

    def _pass_time(self, planes: Planes, seconds: float) -> None:
        """Advance the clock while all instances are paused."""
        planes.clock.advance(seconds)

    @params(True, False)
    def test_ticket_before_first_tick_after_pause(self, by_peer) -> None:
        """Guards against seats published as confirmed right after a pause."""
        planes, (one,) = self._planes(1, **_QUIET)
        self._pass_time(planes, 10.0)
        ticket = make_ticket(2)
        digest = apply_ticket(planes.state, ticket).digest
        entry = Entry(number=2, digest=digest, submission="", ticket=ticket)
        if by_peer:
            one.plane.receive(Tickets(entries=(entry,)))
        else:
            one.plane.handle(EntriesRead(entries=(entry,)))
        self.assertEqual(2, one.plane.snapshot.state.number)
        self.assertFalse(one.plane.snapshot.confirmed)

    def test_transfer_waits_for_confirmation(self) -> None:
        """Guards against a transfer of a seat claimed during a pause."""
        planes, (one, two) = self._planes(2, **_QUIET)
        request = SeatRequest(
            instance=two.name, boot_id=two.boot_id, peer=two.peer, held=0
        )
        self._pass_time(planes, 10.0)
        planes.store.is_down = True
        one.plane.handle(TransferSeats())
        one.plane.receive(request)
        one.plane.tick()
        one.plane.tick()
        self.assertEqual({}, one.plane.seats.transfers)
        self.assertTrue(one.held)

    def test_ack_from_before_the_pause_confirms_nothing(self) -> None:
        """Guards against confirmation by messages queued during a pause."""
        planes, (one, two) = self._planes(2, **_QUIET)
        planes.store.is_down = True
        # The paused instance's queue holds the reply to its last ping.
        old = Ack(
            sequence=one.plane.members.sequence,
            gossip=gossip._make_gossip(two.plane, None),
        )
        self._pass_time(planes, 10.0)
        one.jobs.clear()
        one.plane.tick()
        for _ in range(40):
            planes.clock.advance(0.1)
            one.plane.receive(old)
            one.plane.tick()
        self.assertIsNotNone(one.plane.seats.suspended_at)

    def test_claimed_seat_stays_closed_over_transfer(self) -> None:
        """Guards against a seat that opens while a dead holder's work runs."""
        planes, (one, two) = self._planes(2, **_QUIET)
        two.is_dead = True
        self.assertTrue(
            planes.run_until(lambda: len(one.held) == 6, limit_s=30)
        )
        opens = {s: h.long_opens_at for s, h in one.plane.seats.held.items()}
        three = planes.start(9)
        planes.run_until(lambda: len(three.held) == 3, limit_s=30)
        for got, held in three.plane.seats.held.items():
            self.assertGreaterEqual(held.long_opens_at, opens[got])

    def test_transfer_before_the_state_is_known(self) -> None:
        """Guards against losing a seat sent to an instance without a state."""
        planes, (_one, _two) = self._planes(2, **_QUIET)
        state, planes.state = planes.state, None
        fresh = planes.start(5)
        fresh.plane.receive(
            SeatTransfer(
                seat=0,
                epoch=50,
                instance=fresh.name,
                boot_id=fresh.boot_id,
                previous_holder=fresh.peer,
                short_ms=0,
                long_ms=0,
                sent_epoch_ms=int(planes.clock.wall() * 1000),
            )
        )
        fresh.plane.tick()
        planes.state = state
        fresh.plane.handle(StateRead(state=state))
        self.assertTrue(planes.run_until(planes.is_even, limit_s=30))

    @params((0.0, True), (3.0, False), (-3.0, False))
    def test_late_transfer_is_refused(self, age_s, is_taken) -> None:
        """Guards against a delayed transfer that arrives after a claim."""
        planes, (one, two) = self._planes(2, **_QUIET)
        seat = min(two.held)
        message = SeatTransfer(
            seat=seat,
            epoch=two.plane.seats.held[seat].epoch + 1,
            instance=one.name,
            boot_id=one.boot_id,
            previous_holder=two.peer,
            short_ms=0,
            long_ms=5000,
            sent_epoch_ms=int((planes.clock.wall() - age_s) * 1000),
        )
        one.plane.receive(message)
        self.assertEqual(is_taken, seat in one.held)
        if is_taken:
            opens = one.plane.seats.held[seat].long_opens_at
            self.assertGreaterEqual(opens, planes.clock.monotonic() + 5)

    def test_lost_transfer_is_claimed_again(self) -> None:
        """Guards against an unused seat after a lost transfer.

        The record names a receiver that never got the seat.
        """
        planes, (one, two) = self._planes(2, **_QUIET)
        planes.exchange.is_cut = lambda a, b: a == two.peer
        two.plane.handle(BeginStop())
        two.plane.handle(TransferSeats())
        planes.run(1.5)
        two.is_dead = True
        self.assertTrue(planes.run_until(lambda: len(one.held) == 6, 40))

    def test_late_and_repeated_seat_requests(self) -> None:
        """Guards against releasing more than the excess for a late request."""
        planes, (one, two) = self._planes(2, **_QUIET)
        request = SeatRequest(
            instance=two.name, boot_id=two.boot_id, peer=two.peer, held=0
        )
        for _ in range(3):
            one.plane.receive(request)
            self.assertEqual({}, one.plane.seats.releasing)
        three = planes.start(9)
        planes.run(2.0)
        late = SeatRequest(
            instance=three.name, boot_id=three.boot_id, peer=three.peer, held=0
        )
        one.plane.seats.releasing.clear()
        before = len(one.held)
        held = len(three.held) + len(one.plane.seats.transfers)
        one.plane.receive(late)
        self.assertLessEqual(
            before - len(one.held), max(0, (before - held) // 2)
        )

    def test_claim_starts_above_every_known_epoch(self) -> None:
        """Guards against a claim below the holder's epoch after a restore."""
        planes, (one, two) = self._planes(2, **_QUIET)
        old = dict(planes.store.items)
        three = planes.start(9)
        planes.run_until(planes.is_even, 30)
        before = {s: h.epoch for s, h in three.plane.seats.held.items()}
        self.assertTrue(before)
        planes.store.is_down = True
        three.is_dead = True
        planes.run(1.0)
        planes.store.items = old
        planes.store.is_down = False
        self.assertTrue(planes.run_until(planes.is_even, 40))
        for lifetime in (one, two):
            for seat in set(before) & lifetime.held:
                epoch = lifetime.plane.seats.held[seat].epoch
                self.assertGreater(epoch, before[seat])

    def test_record_names_another_holder_after_a_pause(self) -> None:
        """Guards against a seat kept despite another owner in the record.

        After a restore, the other owner's claim may have a lower epoch.
        """
        planes, (one,) = self._planes(1, **_QUIET)
        record, _ = one.records.read()
        other = msgspec.structs.replace(
            record.owners[0], boot_id="other", peer="127.9.9.9:1", epoch=1
        )
        record.owners[0] = other
        for seat in one.plane.seats.held.values():
            seat.epoch = 100
        key = f"chiverun/seats/{ZONE}"
        index = planes.store.items[key][1]
        planes.store.put(key, msgspec.msgpack.encode(record), cas=index)
        self._pass_time(planes, 10.0)
        planes.run(4.0)
        self.assertEqual({1, 2, 3, 4, 5}, one.held)
        self.assertTrue(one.plane.snapshot.confirmed)

    def test_unanswered_transfer_ends_with_a_pause(self) -> None:
        """Guards against a transfer resent after a pause and a claim."""
        planes, (one, two) = self._planes(2, **_QUIET)
        planes.exchange.is_cut = lambda a, b: b == two.peer
        one.plane.handle(BeginStop())
        one.plane.handle(TransferSeats())
        planes.run(0.5)
        self.assertTrue(one.plane.seats.transfers)
        self._pass_time(planes, 10.0)
        one.plane.tick()
        self.assertEqual({}, one.plane.seats.transfers)

    def test_receiver_writes_the_record(self) -> None:
        """Guards against a wrong owner if the previous holder dies early."""
        planes, (one, two) = self._planes(2, **_QUIET)
        planes.cut_from_store.add(two.peer)
        two.plane.handle(BeginStop())
        two.plane.handle(TransferSeats())
        planes.run(2.0)
        two.is_dead = True
        record, _ = one.records.read()
        self.assertEqual(
            {one.boot_id}, {o.boot_id for o in record.owners.values()}
        )

    def test_claims_are_announced_to_a_member_declared_dead(self) -> None:
        """Guards against a live holder that keeps using claimed seats.

        It was wrongly declared dead and has to learn of the claims.
        """
        planes, (one, two) = self._planes(2, **_QUIET)
        two.is_dead = True
        sent = []
        send = one.plane.send
        one.plane.send = lambda to, m: (sent.append((to, m)), send(to, m))
        planes.run_until(lambda: len(one.held) == 6, 30)
        planes.run(2.0)
        announcements = [
            m
            for to, m in sent
            if to == two.peer
            and isinstance(m, SeatHolderRecords)
            and any(
                holder.epoch >= 2 * CLAIM_EPOCH_STEP
                for holder in m.known_holders
            )
        ]
        self.assertGreaterEqual(len(announcements), 4)

    def test_partitioned_holder_reads_the_record(self) -> None:
        """Guards against a partitioned holder that uses claimed seats.

        In a large zone, it detects the partition long after the other
        instances could claim its seats.
        """
        state = make_state(seats=24)
        planes, started = self._planes(12, state=state, load=())
        cut = started[-1]
        planes.exchange.is_cut = lambda a, b: cut.peer in (a, b)
        both_since: dict[int, float] = {}
        longest_s = 0.0
        for _ in range(300):
            planes.run(0.1)
            now = planes.clock.monotonic()
            others = set().union(*(p.held for p in started[:-1]))
            both = others & cut.held
            both_since = {s: both_since.get(s, now) for s in both}
            for since in both_since.values():
                longest_s = max(longest_s, now - since)
        self.assertGreater(longest_s, 0.0)
        self.assertLess(longest_s, CLAIM_NOTICE_MARGIN_S)

    def test_restored_record_is_repaired(self) -> None:
        """Guards against former owners in a restored record."""
        planes, (one, two) = self._planes(2, **_QUIET)
        planes.store.items = {}
        planes.run(12.0)
        record, _ = one.records.read()
        owners = {s: o.boot_id for s, o in record.owners.items()}
        expected = {s: p.boot_id for p in (one, two) for s in p.held}
        self.assertEqual(expected, owners)

    def test_member_declared_dead_that_acknowledges_keeps_its_seats(
        self,
    ) -> None:
        """Guards against claims based only on gossip about a dead member."""
        planes, (one, two, three) = self._planes(3, **_QUIET)
        before = three.held
        for _ in range(200):
            for other in (one, two):
                row = other.plane.members.rows[three.name]
                update = MemberUpdate(
                    instance=three.name,
                    incarnation=row.incarnation,
                    state=MemberState.DEAD,
                )
                content = msgspec.structs.replace(
                    gossip._make_gossip(three.plane, None),
                    updates=(update,),
                    adverts=(),
                )
                row.measured_at = float("-inf")
                other.plane.receive(Ack(sequence=0, gossip=content))
            planes.run(0.1)
        self.assertEqual(before, three.held)

    @params(
        # The dead instance may have run a long request on the slot.
        (make_ticket(2, long_slots=0), 6.0),
        # The dead instance may have run a request with a longer deadline.
        (
            make_ticket(
                2, classes=(msgspec.structs.replace(SHORT, deadline_ms=100),)
            ),
            1.5,
        ),
    )
    def test_claim_after_a_ticket_changed_slots(self, ticket, least_s) -> None:
        """Guards against opening slots on which earlier work still runs."""
        planes, (one, two) = self._planes(2, **_QUIET)
        state = apply_ticket(planes.state, ticket)
        entry = Entry(
            number=2, digest=state.digest, submission="", ticket=ticket
        )
        for lifetime in (one, two):
            lifetime.plane.handle(EntriesRead(entries=(entry,)))
        planes.state = state
        two.is_dead = True
        gone = two.held
        changed_at = planes.clock.monotonic()
        self.assertTrue(planes.run_until(lambda: len(one.held) == 6, 30))
        for seat in gone:
            opens = one.plane.seats.held[seat].short_opens_at
            self.assertGreaterEqual(opens, changed_at + least_s)

    # Liveness.

    def test_graceful_stop_transfers_all_seats(self) -> None:
        """Guards against seats left without a holder by a graceful stop."""
        planes, (one, _two, _three) = self._planes(3)
        one.plane.handle(BeginStop())
        planes.run(1.0)
        one.plane.handle(TransferSeats())
        self.assertTrue(
            planes.run_until(
                lambda: one.plane.has_transferred_seats, limit_s=8
            )
        )
        one.is_dead = True
        self.assertTrue(planes.run_until(planes.is_even, limit_s=5))

    def test_zone_without_store_keeps_its_seats(self) -> None:
        """Guards against seats given up because the store is down."""
        planes, started = self._planes(3)
        before = [p.held for p in started]
        planes.store.is_down = True
        planes.run(30.0)
        uses = sum(len(u) for u in planes.uses.values())
        planes.run(5.0)
        self.assertEqual(before, [p.held for p in started])
        self.assertGreater(sum(len(u) for u in planes.uses.values()), uses)

    def test_fresh_instance_in_an_outage_gets_seats(self) -> None:
        """Guards against transfers that depend on the store."""
        planes, _ = self._planes(2, load=(SHORT, LONG))
        planes.store.is_down = True
        fresh = planes.start(9)
        self.assertTrue(
            planes.run_until(lambda: len(fresh.held) >= 2, limit_s=20)
        )
        self.assertEqual([], planes.overlaps())

    def test_whole_zone_pauses_without_store(self) -> None:
        """Guards against seats suspended for ever while the store is down."""
        planes, started = self._planes(3)
        planes.store.is_down = True
        self._pass_time(planes, 30.0)
        self.assertTrue(
            planes.run_until(
                lambda: all(p.plane.snapshot.confirmed for p in started), 15
            )
        )
        self.assertEqual([], planes.overlaps())

    def test_more_instances_than_seats(self) -> None:
        """Guards against an uneven split if seats are scarce."""
        _planes, started = self._planes(
            9, state=make_state(seats=6), seeds=9, load=()
        )
        self.assertEqual(6, sum(len(p.held) for p in started))
        self.assertEqual(1, max(len(p.held) for p in started))
