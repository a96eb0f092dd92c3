"""Tests of admission: exact counts, caps, queues, early refusal."""

import threading
import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from nose2.tools import params

from chiverun.core.admission import CLOCK_MARGIN_S
from chiverun.core.errors import ChiverunError
from chiverun.core.errors import ResultCode
from chiverun.core.exchange import Answered
from chiverun.core.exchange import NotSent
from chiverun.core.exchange import Reset
from chiverun.core.exchange import Shed
from chiverun.core.exchange import ShedReason
from chiverun.core.exchange import TimedOut
from chiverun.core.portions import slot_seat
from chiverun.core.ticket import Link
from chiverun.core.ticket import Region
from chiverun.core.ticket import ServerState
from chiverun.core.ticket import Shift
from chiverun.core.ticket import Zone
from tests.core.zones import BOOK
from tests.core.zones import EXPORT
from tests.core.zones import READ
from tests.core.zones import seats
from tests.core.zones import server
from tests.core.zones import state
from tests.core.zones import Zoned

OK = Answered(status=200, headers=(), body=b"")
RESET = Reset(detail="test")
_ENDS = (OK, RESET, TimedOut(), NotSent(detail="test"))


def _learn(zone: Zoned, request_class, seconds: float, count: int = 30):
    """Let a class be observed to run for a time."""
    for _ in range(count):
        grant = zone.take(request_class)
        zone.advance(seconds)
        zone.admission.release(grant, OK)


def _used_by_plain_count(zone: Zoned, live: list) -> dict:
    """Count slots in use the plain way: `live` has (grant, until) pairs."""
    now = zone.clock.monotonic()
    used: dict = {}
    for grant, until in live:
        if until is None or now < until:
            row = used.setdefault(grant.server.name, [])
            row.append(grant)
    return used


class CountsTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(
        st.lists(
            st.one_of(
                st.tuples(st.just("take"), st.sampled_from([READ, EXPORT])),
                st.tuples(st.just("end"), st.integers(0, 20)),
                st.tuples(st.just("move"), st.integers(0, 15)),
                st.tuples(st.just("wait"), st.sampled_from([0.1, 1.0, 3.0])),
            ),
            max_size=60,
        ),
        st.integers(1, 9),
        st.sampled_from([1, 3, 100]),
        st.integers(0, 1000),
    )
    def test_no_cap_is_exceeded_and_no_slot_is_left(
        self, steps, cap, connections, seed
    ):
        """Guards against counts lost over unknown ends, seats and caps.

        Two instances share the seats; a seat moves as the control plane
        moves it, when the giver no longer uses it. A plain count of what
        the servers may be running is compared after each step.
        """
        current = state(
            server("s1", connections_max=connections),
            server("s2", slots=3, long_slots=2),
            in_flight_max=cap,
        )
        zones = [
            Zoned(current, seats(0, 1), seed),
            Zoned(current, seats(2, 3), seed + 1),
        ]
        live: list = []
        for step, value in steps:
            zone = zones[len(live) % 2]
            if step == "take":
                grant = zone.take(value)
                if grant is not None:
                    live.append([grant, None, zone])
                elif value is READ:
                    self._check_refusal(zone, live)
            elif step == "end" and live:
                self._end(live[value % len(live)], _ENDS[value % 4])
            elif step == "move":
                self._move(zones, value)
            elif step == "wait":
                for each in zones:
                    each.advance(value)
            self._check_caps(zone, live, cap, connections)

    def _end(self, entry, end):
        grant, until, zone = entry
        if until is None:
            zone.admission.release(grant, end)
            entry[1] = 0.0
            if end is RESET or isinstance(end, TimedOut):
                now = zone.clock.monotonic()
                entry[1] = max(now, grant.work.deadline + CLOCK_MARGIN_S)

    def _move(self, zones, value):
        previous_holder, taker = zones[value % 2], zones[1 - value % 2]
        moved = [s for s in previous_holder.held if s.index == value % 4]
        previous_holder.held = tuple(
            s for s in previous_holder.held if s not in moved
        )
        previous_holder.publish()
        if moved and previous_holder.admission.seat_in_use(moved[0].index):
            previous_holder.held += tuple(moved)
        else:
            taker.held += tuple(moved)
        for each in zones:
            each.publish()

    def _check_caps(self, zone, live, cap, connections):
        used = _used_by_plain_count(zone, [e[:2] for e in live])
        self.assertLessEqual(sum(map(len, used.values())), cap)
        for name, most, long in (("s1", 4, 1), ("s2", 3, 2)):
            grants = used.get(name, [])
            most = min(most, connections if name == "s1" else most)
            self.assertLessEqual(len(grants), most)
            self.assertEqual(len(grants), len({g.slot for g in grants}))
            longs = [g for g in grants if g.work.request_class is EXPORT]
            self.assertLessEqual(len(longs), long)
            for grant in longs:
                self.assertLess(grant.slot, long)

    def _check_refusal(self, zone, live):
        """A plain scan finds no free slot on a server without failures."""
        region = zone.state.objects["region"]["dar"]
        if region.in_flight_max < 100 or any(e[1] is not None for e in live):
            return
        used = _used_by_plain_count(zone, [e[:2] for e in live])
        taken = {(g.server.name, g.slot) for gs in used.values() for g in gs}
        mine = {seat.index for seat in zone.held}
        free = [
            (row.name, slot)
            for row in (s for s in zone.state.objects["server"].values())
            for slot in range(min(row.slots, row.connections_max))
            if slot_seat(row.name, slot, 4) in mine
            and (row.name, slot) not in taken
        ]
        self.assertEqual([], free)

    def test_units_of_a_claimed_seat_open_with_its_long_slots(self):
        """Guards against charging a cap that a dead holder's work uses."""
        current = state(server("s1", slots=8), in_flight_max=4)
        late = seats(0, 1, opens_at=1005.0) + seats(2, 3)
        zone = Zoned(current, late)
        self.assertEqual(2, len(zone.take_all()))
        zone.advance(6.0)
        self.assertEqual(2, len(zone.take_all()))

    def test_a_slot_that_is_freed_before_it_opens_stays_closed(self):
        """Guards against a slot that is given out early and then twice."""
        zone = Zoned(state(server("s1", slots=1, long_slots=0)))
        grant = zone.take()
        zone.held = seats(opens_at=zone.clock.monotonic() + 1.0)
        zone.publish()
        zone.admission.release(grant, OK)
        self.assertIsNone(zone.take())
        zone.advance(1.1)
        self.assertEqual(1, len(zone.take_all()))

    def test_a_seat_with_a_charged_unit_is_in_use(self):
        """Guards against giving a seat away whose unit is still charged."""
        name = next(n for n in map(str, range(99)) if slot_seat(n, 0, 4) == 3)
        one = server(name, slots=1, long_slots=0)
        zone = Zoned(state(one, in_flight_max=4))
        zone.take()
        in_use = [s for s in range(4) if zone.admission.seat_in_use(s)]
        self.assertEqual([0, 3], in_use)

    def test_connections_max_bounds_requests_in_flight(self):
        """Guards against more connections than the server allows."""
        zone = Zoned(state(server("s1", slots=8, connections_max=3)))
        self.assertEqual(3, len(zone.take_all()))

    def test_an_unknown_end_keeps_the_slot_until_the_deadline(self):
        zone = Zoned(state(server("s1", slots=1, long_slots=0)))
        zone.admission.release(zone.take(), RESET)
        zone.advance(2.0)
        self.assertIsNone(zone.take())
        zone.advance(CLOCK_MARGIN_S + 0.01)
        self.assertIsNotNone(zone.take())

    def test_a_cancelled_request_that_ended_frees_its_slot(self):
        zone = Zoned(state(server("s1", slots=1, long_slots=0)))
        grant = zone.take()
        zone.admission.release(grant, RESET, cancelled=True, ended=True)
        self.assertIsNotNone(zone.take())

    def test_a_second_release_changes_nothing(self):
        """Guards against a slot freed twice and then granted twice."""
        zone = Zoned(state(server("s1", slots=1, long_slots=0)))
        grant = zone.take()
        zone.admission.release(grant, OK)
        second = zone.take()
        zone.admission.release(grant, RESET)
        zone.admission.release(grant, OK)
        self.assertIsNone(zone.take())
        zone.admission.release(second, OK)
        self.assertIsNotNone(zone.take())

    def test_a_server_that_is_dead_for_hours_leaks_no_slot(self):
        """Guards against an overflow of the doubling ejection time."""
        zone = Zoned(state(server("s1", slots=1, long_slots=0)))
        zone.admission._health["s1"].ejections = 5000
        for _ in range(4):
            zone.admission.release(zone.take(), NotSent(detail="test"))
            zone.advance(31.0)
        self.assertEqual(0, zone.admission.in_flight())


class ConfirmTest(unittest.TestCase):
    @params(
        ({"seats": ()},),
        ({"confirmed": False},),
        ({"leaving_servers": frozenset({"s1"})},),
        ({"state": state(server("s1", state=ServerState.DRAIN))},),
        ({"state": state(server("s2"))},),
        ({"published_at": 997.0},),
    )
    def test_a_grant_is_not_used_after_a_change(self, fields):
        """Guards against work on lost seats and leaving servers."""
        zone = Zoned(state(server("s1")))
        grant = zone.take()
        self.assertTrue(zone.admission.confirm(grant))
        zone.publish(**fields)
        self.assertFalse(zone.admission.confirm(grant))

    def test_a_server_that_said_it_drains_gets_no_granted_work(self):
        zone = Zoned(state(server("s1", slots=2, long_slots=0)))
        first, second = zone.take(), zone.take()
        zone.admission.release(first, Shed(reason=ShedReason.DRAINING))
        self.assertFalse(zone.admission.confirm(second))


class QueueTest(unittest.TestCase):
    def test_queues_take_turns_under_a_region_cap(self):
        """Guards against one service starving the others."""
        zone = Zoned(
            state(
                server("s1"),
                server("s2", service="archive"),
                in_flight_max=1,
                services=("desk", "archive"),
            ),
        )
        grant = zone.take()
        waiters = [
            zone.wait(service=name)
            for name in ("desk",) * 4 + ("archive",) * 4
        ]
        order = []
        for _ in range(8):
            zone.admission.release(grant, OK)
            grant = next(w.grant for w in waiters if w.grant)
            waiters = [w for w in waiters if w.grant is not grant]
            order.append(grant.work.service)
        for turn in zip(order[::2], order[1::2], strict=True):
            self.assertEqual({"desk", "archive"}, set(turn))

    def test_a_waiter_at_a_shift_cap_does_not_block_others(self):
        """Guards against a refusal that ends the service of a queue."""
        link = Link(name="l", source="mwanza", target="dar", mbit_per_s=100.0)
        shift = Shift(
            name="move",
            service="desk",
            source="mwanza",
            target="dar",
            fraction=1.0,
            cap_per_s=0,
        )
        zone = Zoned(
            state(
                server("s1", slots=1, long_slots=0),
                region=(Region(name="dar"), Region(name="mwanza")),
                zone=(
                    Zone(name="dar-a", region="dar", seats=4),
                    Zone(name="mwanza-a", region="mwanza", seats=4),
                ),
                link=(link,),
                shift=(shift,),
            )
        )
        grant = zone.take()
        crossing = zone.wait(source="mwanza")
        home = zone.wait()
        zone.admission.release(grant, OK)
        self.assertEqual(ResultCode.SHIFT_CAP, crossing.error.code)
        self.assertIsNotNone(home.grant)

    def test_a_waiter_whose_servers_are_excluded_does_not_block(self):
        zone = Zoned(state(server("s1", slots=1, long_slots=0)))
        grant = zone.take()
        retry = zone.admission.enqueue(
            zone.work(), lambda: None, frozenset({"s1"})
        )
        other = zone.wait()
        zone.admission.release(grant, OK)
        self.assertIsNone(retry.grant)
        self.assertIsNotNone(other.grant)

    def test_a_waiter_past_its_time_gets_no_slot(self):
        """Guards against slots granted to requests that gave up."""
        zone = Zoned(state(server("s1", slots=1, long_slots=0)))
        grant = zone.take()
        late, next_one = zone.wait(remaining_s=0.5), zone.wait()
        zone.clock.advance(1.0)
        zone.admission.release(grant, OK)
        self.assertEqual(ResultCode.DEADLINE_UNREACHABLE, late.error.code)
        self.assertIsNotNone(next_one.grant)

    def test_no_wait_for_a_service_without_a_server_in_use(self):
        """Guards against callers held until their deadline for nothing."""
        zone = Zoned(state(server("s1", state=ServerState.DRAIN)))
        with self.assertRaises(ChiverunError) as caught:
            zone.wait()
        self.assertEqual(ResultCode.NO_CAPACITY, caught.exception.code)

    def test_a_request_that_cannot_start_in_time_is_refused_at_once(self):
        zone = Zoned(state(server("s1", slots=1, long_slots=0)))
        _learn(zone, READ, 0.1)
        zone.take()
        for _ in range(3):
            zone.wait(remaining_s=0.6)
        with self.assertRaises(ChiverunError) as caught:
            zone.wait(remaining_s=0.4)
        self.assertEqual(
            ResultCode.DEADLINE_UNREACHABLE, caught.exception.code
        )

    def test_one_service_does_not_hold_all_threads_of_the_entry(self):
        """Guards against waiters of one service that starve the others."""
        zone = Zoned(
            state(
                server("s1"),
                server("s2", service="archive"),
                services=("desk", "archive"),
            )
        )
        zone.admission._limits.waiters_max = 3
        zone.take_all()
        zone.take_all(service="archive")
        for request_class in (READ, BOOK, READ):
            zone.wait(request_class)
        with self.assertRaises(ChiverunError) as caught:
            zone.wait(BOOK)
        self.assertEqual(ResultCode.QUEUE_FULL, caught.exception.code)
        zone.wait(service="archive")

    def test_old_slow_samples_do_not_refuse_for_ever(self):
        """Guards against a refusal that prevents its own correction."""
        zone = Zoned(state(server("s1", slots=1, long_slots=0)))
        _learn(zone, READ, 1.0)
        self.assertIsNone(zone.take(remaining_s=0.5))
        zone.advance(10.0)
        self.assertIsNotNone(zone.take(remaining_s=0.5))

    def test_threads_wait_and_are_woken(self):
        zone = Zoned(state(server("s1", slots=1, long_slots=0)))
        grant = zone.take()
        got = []
        thread = threading.Thread(
            target=lambda: got.append(zone.admission.acquire(zone.work()))
        )
        thread.start()
        while not zone.admission._queues.length(("desk", "read")):
            pass
        zone.admission.release(grant, OK)
        thread.join(5)
        self.assertEqual(1, len(got))


class LearntLengthTest(unittest.TestCase):
    def test_overdue_class_leaves_slots_to_others(self):
        """Guards against a short class that runs long in all slots."""
        zone = Zoned(state(*[server(f"s{i}", long_slots=0) for i in "1234"]))
        _learn(zone, READ, 0.01)
        stuck = [zone.take() for _ in range(4)]
        zone.advance(0.5)
        more = zone.take_all()
        self.assertEqual(8, len(more))
        self.assertEqual(4, len(zone.take_all(BOOK)))
        for grant in stuck + more:
            zone.admission.release(grant, OK)
        zone.advance(2.0)
        self.assertIsNotNone(zone.take())

    def test_overdue_request_counts_as_long_for_its_server(self):
        zone = Zoned(state(server("s1", slots=4, long_slots=1)))
        _learn(zone, READ, 0.01)
        grant = zone.take()
        zone.advance(0.5)
        self.assertIsNone(zone.take(EXPORT))
        zone.admission.release(grant, OK)
        self.assertIsNotNone(zone.take(EXPORT))
