"""Region shares that follow the measured demand of regions slowly.

The shares for an even demand follow from records alone, and change with them
at once. Measured demand adds *offsets* to the shares of other regions. Only
the offsets are bounded in speed, whatever the records do meanwhile, so records
that change back and forth cannot hide a movement: between two moments, no
more requests change region than by the records alone and `SHIFT_PER_S`.

A region's first hub computes the offsets, and all its instances apply them,
since keys are placed by them.
"""

import collections
import dataclasses
import math
from collections.abc import Collection
from collections.abc import Mapping

from chiverun.core.ids import BootId
from chiverun.core.ids import InstanceId
from chiverun.core.ids import RegionName
from chiverun.core.ids import ServiceName
from chiverun.core.placement import places_before
from chiverun.core.statednumbers import ARRIVALS_PER_S
from chiverun.core.statednumbers import TRANSIT_S

# Part of a region's keys that may change region per second because of demand.
# Below the platform's bound, since few requests in a window vary by chance.
SHIFT_PER_S = 0.025
# A smaller distance from the goal is left: the noise of rates would move keys
# all the time, and each movement makes keys cold.
IGNORED_SHIFT = 0.03
# Longest time for which a single step makes up: a process that was paused does
# not move all at once.
STEP_MAX_S = 1.5
# Time constants of the smoothed demand. The difference of the two shows the
# trend, by which demand is told for `AHEAD_S` later, since figures and shares
# follow with a delay.
SMOOTHING_S = 1.0
SLOW_SMOOTHING_S = 4.0
AHEAD_S = 6.0
# The trend changes a rate by no larger factor, so that a sudden surge is not
# taken for the start of a larger one.
TREND_FACTOR_MAX = 1.5
# The figures of a region are kept for this time and then halve at each
# half-life.
KEPT_S = 10.0
KEPT_HALF_LIFE_S = 5.0
# Added to each region's rate, so that a few requests are no uneven demand.
RATE_FLOOR_PER_S = 5.0
# Shorter intervals between two reports give no useful rate.
INTERVAL_MIN_S = 0.2
# An instance that has just started applies the first offsets at once.
STARTING_S = 4.0

Offsets = Mapping[RegionName, float]
Rates = Mapping[ServiceName, float]


def shifted_shares(
    base: Mapping[RegionName, float],
    offsets: Offsets,
    places: Collection[RegionName],
    source: RegionName,
    before: Collection[RegionName],
) -> dict[RegionName, float]:
    """Return the shares for an even demand, changed by offsets.

    The shares of other regions are cut to what is left from the outermost
    ones on, in the order in which `choose_place` lays them. So no boundary
    between the keys of two regions moves further than the offsets.

    Parameters
    ----------
    base : Mapping
        Shares for an even demand.
    offsets : Offsets
        Of the other regions.
    places : Collection[RegionName]
        Regions with servers. Without servers in the source, the one next to
        it gets what is left.
    source : RegionName
    before : Collection[RegionName]
        Regions that `choose_place` lays before the source.
    """
    others = sorted(place for place in places if place != source)
    if not any(offsets.get(place) for place in others):
        return dict(base)
    after = [place for place in reversed(others) if place not in before]
    outermost_first = [*after, *(p for p in others if p in before)]
    shares: dict[RegionName, float] = {}
    left = 1.0
    for place in outermost_first:
        wanted = base.get(place, 0.0) + offsets.get(place, 0.0)
        share = min(left, max(0.0, wanted))
        if share > 0:
            shares[place] = share
        left -= share
    if source in places:
        shares[source] = max(0.0, left)
    elif left > 0:
        nearest = after[-1] if after else others[-1]
        shares[nearest] = shares.get(nearest, 0.0) + left
    return shares


def moved_part(
    old: Offsets,
    new: Offsets,
    others: Collection[RegionName],
    before: Collection[RegionName],
) -> float:
    """Return an upper bound of the part of keys that change region.

    The share of a region moves the boundaries between it and the source.
    """
    after = sorted(place for place in others if place not in before)
    inwards = sorted(before, reverse=True)
    return sum(
        boundaries * abs(new.get(place, 0.0) - old.get(place, 0.0))
        for side in (after, inwards)
        for boundaries, place in enumerate(side, start=1)
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class ArrivalReport:
    """The requests for each service that an instance has received.

    `at_s` is the instance's own clock. The counts grow for the life of the
    process, so that a lost or late report loses no request.
    """

    boot_id: BootId
    at_s: float
    arrivals: Mapping[ServiceName, int]


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Reporter:
    report: ArrivalReport
    rates: Rates
    heard_at: float


class RegionRates:
    """Smoothed request rate by service of one region, at its hub."""

    def __init__(self) -> None:
        self._fast: dict[ServiceName, float] = {}
        self._slow: dict[ServiceName, float] = {}
        self._rows: dict[InstanceId, _Reporter] = {}
        self._recorded_since: float | None = None
        self._updated_at: float | None = None

    def record(
        self, sender: InstanceId, report: ArrivalReport, now: float
    ) -> bool:
        """Record a report; return whether the sender's process is new."""
        if self._recorded_since is None:
            self._recorded_since = now
        row = self._rows.get(sender)
        is_new = row is None or row.report.boot_id != report.boot_id
        rates: Rates = {}
        if not is_new:
            interval_s = report.at_s - row.report.at_s
            if -TRANSIT_S.high < interval_s < INTERVAL_MIN_S:
                return False
            rates = _rates_between(row.report, report, interval_s)
        self._rows[sender] = _Reporter(
            report=report, rates=rates, heard_at=now
        )
        return is_new

    def update(self, now: float, silent_after_s: float) -> None:
        """Smooth the sums of the instances that report.

        A new hub waits until each live instance has reported twice: sums that
        grow with the instances heard would look like a trend.
        """
        self._rows = {
            name: row
            for name, row in self._rows.items()
            if now - row.heard_at < silent_after_s
        }
        since = now if self._recorded_since is None else self._recorded_since
        if now - since < silent_after_s:
            return
        sums: collections.Counter[ServiceName] = collections.Counter()
        for row in self._rows.values():
            sums.update(row.rates)
        if self._updated_at is None:
            self._updated_at = now
            self._fast = dict(sums)
            self._slow = dict(sums)
        elapsed_s = max(0.0, now - self._updated_at)
        self._fast = _smooth(self._fast, sums, elapsed_s / SMOOTHING_S)
        self._slow = _smooth(self._slow, sums, elapsed_s / SLOW_SMOOTHING_S)
        self._updated_at = now

    @property
    def is_warm(self) -> bool:
        """Whether the rates rest on enough reports."""
        return self._updated_at is not None

    def expected(self) -> dict[ServiceName, float]:
        """Return the rates that the trend leads to, in requests a second."""
        return {
            service: _with_trend(rate, self._slow.get(service, 0.0))
            for service, rate in self._fast.items()
        }


def _rates_between(
    before: ArrivalReport, after: ArrivalReport, interval_s: float
) -> Rates:
    """Return the rates that are credible.

    There are none if the times are not in order: one of them is wrong.
    """
    if interval_s <= 0:
        return {}
    # The count of a service that is new here is of all time.
    rates = {
        service: max(0, count - before.arrivals[service]) / interval_s
        for service, count in after.arrivals.items()
        if service in before.arrivals
    }
    return {
        service: rate
        for service, rate in rates.items()
        if rate in ARRIVALS_PER_S
    }


def _smooth(rates: Rates, sums: Rates, constants: float) -> Rates:
    """Return rates smoothed over a number of time constants."""
    part = 1 - math.exp(-constants)
    return {
        service: (1 - part) * rates.get(service, 0.0)
        + part * sums.get(service, 0.0)
        for service in {*rates, *sums}
    }


def _with_trend(fast: float, slow: float) -> float:
    per_s = (fast - slow) / (SLOW_SMOOTHING_S - SMOOTHING_S)
    expected = fast + AHEAD_S * per_s
    return min(max(expected, fast / TREND_FACTOR_MAX), fast * TREND_FACTOR_MAX)


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Figures:
    rates: Rates
    heard_at: float


class RegionFigures:
    """Demand by region and service, as the hubs of regions tell it."""

    def __init__(self, *, now: float) -> None:
        self._since = now
        self._rows: dict[RegionName, _Figures] = {}

    def record(self, region: RegionName, rates: Rates, now: float) -> None:
        """Record the rates of a region."""
        self._rows[region] = _Figures(rates=rates, heard_at=now)

    def age_s(self, region: RegionName, now: float) -> float:
        """Return the age of a region's figures."""
        row = self._rows.get(region)
        return math.inf if row is None else now - row.heard_at

    def demand(
        self,
        service: ServiceName,
        regions: Collection[RegionName],
        now: float,
    ) -> dict[RegionName, float] | None:
        """Return the demand of regions, 1 on average and where unknown.

        It is None while figures of a region may still come.
        """
        unknown = [name for name in regions if name not in self._rows]
        if unknown and now - self._since < KEPT_S:
            return None
        rates = {
            name: self._rows[name].rates.get(service, 0.0) + RATE_FLOOR_PER_S
            for name in regions
            if name in self._rows
        }
        weights = {name: self._weight(name, now) for name in rates}
        total = sum(weights.values())
        if total <= 0:
            return dict.fromkeys(regions, 1.0)
        mean = sum(weights[name] * rates[name] for name in rates) / total
        demand = dict.fromkeys(regions, 1.0)
        for name, rate in rates.items():
            weight = weights[name]
            demand[name] = weight * rate / mean + (1 - weight)
        return demand

    def _weight(self, region: RegionName, now: float) -> float:
        late_s = max(0.0, self.age_s(region, now) - KEPT_S)
        return 0.5 ** (late_s / KEPT_HALF_LIFE_S)


class ShareOffsets:
    """Offsets of one region's shares by service, bounded in speed.

    The hub moves them towards what demand wants; each instance moves its own
    towards those of the hub.
    """

    def __init__(
        self,
        *,
        source: RegionName,
        regions: Collection[RegionName],
        now: float,
    ) -> None:
        self.others = sorted(set(regions) - {source})
        self.before = places_before(regions, source)
        # Incremented when offsets change; invalidates shares computed from
        # them.
        self.generation = 0
        self._offsets: dict[ServiceName, dict[RegionName, float]] = {}
        self._moved_at = now

    def of(self, service: ServiceName) -> Offsets:
        """Return the offsets of a service, empty without any."""
        return self._offsets.get(service, {})

    def all(self) -> dict[ServiceName, dict[RegionName, float]]:
        """Return the offsets by service."""
        return dict(self._offsets)

    def adopt(self, offsets: Mapping[ServiceName, Offsets]) -> None:
        """Apply offsets at once, before any request has been placed."""
        self._offsets = {
            service: {place: row.get(place, 0.0) for place in self.others}
            for service, row in offsets.items()
        }
        self.generation += 1

    def move(
        self,
        goals: Mapping[ServiceName, Offsets],
        now: float,
        *,
        ignored: float = 0.0,
    ) -> list[ServiceName]:
        """Move towards goals at the bounded speed.

        Parameters
        ----------
        goals : Mapping
            Services without a goal stay where they are.
        now : float
            Monotonic seconds.
        ignored : float
            Part of the keys; a shorter distance to the goal is left.

        Returns
        -------
        list[ServiceName]
            The services whose offsets have changed.
        """
        elapsed_s = min(STEP_MAX_S, max(0.0, now - self._moved_at))
        self._moved_at = now
        changed = []
        for service, goal in goals.items():
            old = self.of(service)
            distance = moved_part(old, goal, self.others, self.before)
            moved_max = min(SHIFT_PER_S * elapsed_s, distance - ignored)
            if distance <= 0 or moved_max <= 0:
                continue
            part = min(1.0, moved_max / distance)
            self._offsets[service] = {
                place: (1 - part) * old.get(place, 0.0)
                + part * goal.get(place, 0.0)
                for place in self.others
            }
            changed.append(service)
        self.generation += bool(changed)
        return changed

    def forget_except(self, services: Collection[ServiceName]) -> None:
        """Drop the offsets of services that are gone for good."""
        self._offsets = {
            service: row
            for service, row in self._offsets.items()
            if service in services
        }
