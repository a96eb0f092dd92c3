"""Tests of the choice of a server, its health and learnt times."""

import random
import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from nose2.tools import params

from chiverun.core.choice import choose
from chiverun.core.errors import ChiverunError
from chiverun.core.exchange import Answered
from chiverun.core.exchange import NotSent
from chiverun.core.exchange import Reset
from chiverun.core.exchange import Shed
from chiverun.core.exchange import ShedReason
from chiverun.core.exchange import TimedOut
from chiverun.core.health import aged_slowness
from chiverun.core.health import Eligibility
from chiverun.core.health import eligibility
from chiverun.core.health import is_slow
from chiverun.core.health import observe_at_least
from chiverun.core.health import record
from chiverun.core.health import ServerHealth
from chiverun.core.health import SLOW_START_S
from chiverun.core.slots import NameSet
from chiverun.core.slots import ServerSlots
from chiverun.core.times import ClassTimes
from tests.core.zones import BOOK
from tests.core.zones import EXPORT
from tests.core.zones import READ
from tests.core.zones import server
from tests.core.zones import state
from tests.core.zones import Zoned

OK = Answered(status=200, headers=(), body=b"")
BAD = Answered(status=500, headers=(), body=b"")

_SERVERS = st.lists(
    st.fixed_dictionaries(
        {
            "slowness": st.sampled_from([0.5, 1.0, 2.0, 8.0]),
            "age": st.sampled_from([0.0, 1.0, 60.0]),
            "out": st.sampled_from(["", "", "ejected", "draining"]),
            "in_flight": st.integers(0, 3),
            "free": st.booleans(),
            "fits": st.booleans(),
        }
    ),
    max_size=12,
)


def _naive_allowed(rows: list[dict], index: int) -> bool:
    """Say in plain words whether a server may be chosen at all."""
    row = rows[index]
    return row["free"] and row["fits"] and row["out"] != "draining"


class ChooseTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=500, deadline=None)
    @given(_SERVERS, st.integers(0, 99), st.booleans())
    def test_against_a_naive_choice(self, rows, seed, may_probe):
        """The naive choice draws any allowed server, the real one a good one.

        Never a server without a free slot, a drained or an excluded one;
        ejected and slow ones only when there is no other to wait for.
        """
        now = 1000.0
        table = {}
        free = NameSet()
        for index, row in enumerate(rows):
            until = now + 5 if row["out"] else 0.0
            health = ServerHealth(
                name=str(index),
                slowness=row["slowness"],
                measured_at=now - row["age"],
                ejected_until=until if row["out"] == "ejected" else 0.0,
                draining_until=until if row["out"] == "draining" else 0.0,
            )
            slots = ServerSlots(
                server=None, mine=4, in_flight=row["in_flight"]
            )
            table[str(index)] = health, slots
            if row["free"]:
                free.add(str(index))
        chosen = choose(
            free,
            list(table),
            table.__getitem__,
            lambda name: rows[int(name)]["fits"],
            now,
            random.Random(seed),
            may_probe=may_probe,
        )
        allowed = [i for i in range(len(rows)) if _naive_allowed(rows, i)]
        good = [
            i
            for i in allowed
            if not rows[i]["out"] and rows[i]["slowness"] <= 3.0
        ]
        if chosen is None:
            self.assertEqual([], good)
            return
        place = int(chosen)
        self.assertIn(place, allowed)
        normal = [r for r in rows if not r["out"] and r["slowness"] <= 3.0]
        if normal:
            self.assertEqual("", rows[place]["out"])
        if rows[place]["slowness"] > 3.0 and normal:
            self.assertEqual(0, rows[place]["in_flight"])
            self.assertEqual(60.0, rows[place]["age"])

    def test_quality_against_a_naive_choice(self):
        """Two servers of ten run 10 times slower; count requests there."""
        zone = Zoned(state(*[server(f"s{i}") for i in range(10)]))
        naive = random.Random(1)
        slow = {"s0", "s1"}
        counts = {"naive": 0, "real": 0}
        pending: list = []
        for _ in range(2000):
            zone.advance(0.002)
            now = zone.clock.monotonic()
            for due, grant in [p for p in pending if p[0] <= now]:
                zone.admission.release(grant, OK)
                pending.remove((due, grant))
            grant = zone.take()
            is_slow_one = grant.server.name in slow
            counts["real"] += is_slow_one
            counts["naive"] += f"s{naive.randrange(10)}" in slow
            pending.append((now + (0.1 if is_slow_one else 0.01), grant))
        self.assertLess(counts["real"], 0.1 * counts["naive"])

    def test_the_faster_of_two_is_chosen(self):
        zone = Zoned(state(server("s1", slots=8), server("s2", slots=8)))
        row = zone.admission._health["s1"]
        row.slowness, row.measured_at = 2.5, zone.clock.monotonic()
        names = [zone.take().server.name for _ in range(8)]
        self.assertEqual(["s2"] * 8, names)

    def test_long_requests_do_not_make_a_server_look_slow(self):
        """Guards against comparing servers by their mix of requests."""
        zone = Zoned(state(server("s1", long_slots=4), server("s2")))
        for request_class, seconds in ((READ, 0.01), (EXPORT, 0.5)) * 60:
            grant = zone.take(request_class, remaining_s=9.0)
            zone.advance(seconds)
            zone.admission.release(grant, OK)
        row = zone.admission._health["s1"]
        self.assertLess(aged_slowness(row, zone.clock.monotonic()), 2.0)

    def test_a_service_without_repeatable_requests_still_probes(self):
        """Guards against a server that is never used again."""
        zone = Zoned(state(server("s1"), server("s2")))
        row = zone.admission._health["s1"]
        row.slowness, row.measured_at = 9.0, zone.clock.monotonic()
        zone.advance(0.1)
        names = {g.server.name for g in zone.take_all(BOOK)}
        self.assertEqual({"s2"}, names)
        zone.advance(20.0)
        self.assertIn("s1", {g.server.name for g in zone.take_all(BOOK)})


class HealthTest(unittest.TestCase):
    @params(
        (OK, 0.01, 1, Eligibility.OPEN),
        (BAD, 0.001, 2, Eligibility.EJECTED),
        (Reset(detail=""), 0.01, 3, Eligibility.EJECTED),
        (NotSent(detail=""), 0.001, 1, Eligibility.EJECTED),
        (Shed(reason=ShedReason.OVERLOAD), 0.01, 1, Eligibility.EJECTED),
        (Shed(reason=ShedReason.DRAINING), 0.01, 1, Eligibility.DRAINING),
        (Shed(reason=ShedReason.DEADLINE), 0.01, 5, Eligibility.OPEN),
        (TimedOut(), 2.0, 3, Eligibility.EJECTED),
        # A caller's deadline of 5 ms says nothing about the server.
        (TimedOut(), 0.005, 9, Eligibility.OPEN),
    )
    def test_standing_after_ends(self, end, latency_s, count, expected):
        row = ServerHealth(name="s1")
        for _ in range(count):
            record(row, end, latency_s, 0.01, 1000.0)
        self.assertIs(expected, eligibility(row, 1000.1))

    def test_fast_errors_count_as_slow(self):
        """Guards against a broken server that attracts traffic."""
        row = ServerHealth(name="s1", samples=5)
        record(row, BAD, 0.0001, 0.01, 1000.0)
        self.assertTrue(is_slow(row))

    def test_a_returning_server_starts_slowly(self):
        """Guards against a cold server that gets its full share at once."""
        zone = Zoned(state(server("s1", slots=8, long_slots=0)))
        for _ in range(3):
            zone.admission.release(zone.take(), NotSent(detail="test"))
        zone.advance(2.1)
        first = zone.take_all()
        self.assertEqual(1, len(first))
        zone.advance(SLOW_START_S)
        self.assertEqual(7, len(zone.take_all()))

    def test_a_new_server_of_a_running_instance_starts_slowly(self):
        zone = Zoned(state(server("s1", slots=1)))
        zone.admission.release(zone.take(), OK)
        zone.state = state(server("s1", slots=1), server("s2", slots=8))
        zone.publish()
        names = [g.server.name for g in zone.take_all()]
        self.assertEqual(1, names.count("s2"))

    def test_a_cancelled_exchange_is_no_sign_of_recovery(self):
        """Guards against probes without end of a server that stays slow."""
        row = ServerHealth(name="s1", slowness=9.0, measured_at=1000.0)
        observe_at_least(row, 0.031, 0.01, 1004.0)
        self.assertEqual(9.0, aged_slowness(row, 1004.0))

    def test_probes_get_rarer_while_a_server_stays_slow(self):
        row = ServerHealth(name="s1")
        now, gaps = 1000.0, []
        for _ in range(5):
            record(row, OK, 0.1, 0.01, now)
            before = now
            while aged_slowness(row, now) > 3.0:
                now += 0.1
            gaps.append(now - before)
        self.assertLess(4 * gaps[0], gaps[4])

    def test_load_reports_attract_no_traffic(self):
        """Health rows have no field that a report could lower."""
        names = set(ServerHealth.__dataclass_fields__)
        self.assertFalse([n for n in names if "load" in n or "report" in n])


class TimesTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=100, deadline=None)
    @given(
        st.lists(st.floats(0.001, 5.0), min_size=20, max_size=300),
        st.sampled_from([0.5, 0.9, 0.95]),
    )
    def test_quantiles_against_sorted_samples(self, samples, part):
        times = ClassTimes()
        for sample in samples:
            times.record(sample, 0.0)
        times._cached.clear()
        found = times.quantile_s(part)
        exact = sorted(samples)[max(0, -int(-part * len(samples) // 1) - 1)]
        self.assertLessEqual(exact / 1.001, found)
        self.assertLessEqual(found, exact * 1.2001)

    def test_too_few_samples_give_no_quantile(self):
        times = ClassTimes()
        times.record(1.0, 0.0)
        self.assertEqual(0.0, times.quantile_s(0.95))


class EjectedTest(unittest.TestCase):
    def test_all_ejected_still_get_single_requests(self):
        """Guards against a wrong ejection of all that stops a service."""
        zone = Zoned(state(server("s1"), server("s2")))
        for row in zone.admission._health.values():
            row.ejected_until = zone.clock.monotonic() + 10
        self.assertEqual(2, len(zone.take_all()))
        with self.assertRaises(ChiverunError):
            zone.admission.try_acquire(zone.work())
