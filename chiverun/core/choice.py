"""Choice of a backend server among those with a free slot."""

import random
from collections.abc import Callable
from collections.abc import Sequence

from chiverun.core.health import aged_slowness
from chiverun.core.health import Eligibility
from chiverun.core.health import eligibility
from chiverun.core.health import is_slow
from chiverun.core.health import ServerHealth
from chiverun.core.health import SLOW_FACTOR
from chiverun.core.health import slow_start_share
from chiverun.core.ids import ServerName
from chiverun.core.slots import NameSet
from chiverun.core.slots import ServerSlots

# Random draws before all servers with a free slot are scanned.
RANDOM_DRAWS_MAX = 8
# Aged slowness below which a request that cannot be hedged may also probe a
# server, for services without repeatable requests.
UNHEDGED_PROBE_SLOWNESS_MAX = 1.5

ServerLookup = Callable[[ServerName], tuple[ServerHealth, ServerSlots]]
ServerFilter = Callable[[ServerName], bool]


def choose(
    free: NameSet,
    members: Sequence[ServerName],
    lookup: ServerLookup,
    is_allowed: ServerFilter,
    now: float,
    rng: random.Random,
    *,
    may_probe: bool = True,
) -> ServerName | None:
    """Choose a server by the power of two choices.

    Parameters
    ----------
    free : NameSet
        Servers with a free slot for the request.
    members : Sequence[ServerName]
        All servers of the service with slots of this instance.
    lookup : Callable
        Returns a server's health and slots.
    is_allowed : Callable
        Returns whether the request may be sent to a server at all: false for
        servers that drain, are excluded or must keep their last slots free.
    now : float
        Monotonic seconds.
    rng : random.Random
    may_probe : bool
        Whether the request may probe a slow server. A request that may be
        hedged loses little time.
    """
    first: ServerName | None = None
    draws = RANDOM_DRAWS_MAX if len(free) else 0
    for _ in range(draws):
        name = free.draw(rng)
        if name == first or not _may_start(lookup, name, now, may_probe):
            continue
        if not is_allowed(name):
            continue
        if first is None:
            first = name
            continue
        return min(
            first, name, key=lambda n: expected_slowness(lookup, n, now)
        )
    return _scan(free, members, lookup, is_allowed, now, rng, may_probe)


def _scan(
    free: NameSet,
    members: Sequence[ServerName],
    lookup: ServerLookup,
    is_allowed: ServerFilter,
    now: float,
    rng: random.Random,
    may_probe: bool,
) -> ServerName | None:
    """Choose among all servers with a free slot.

    Slow servers are skipped only while the service has a normal server to
    wait for. Otherwise ejected servers get one request at a time, so that a
    wrong ejection of all servers does not stop a service.
    """
    allowed = [name for name in free.names if is_allowed(name)]
    usable = [
        name for name in allowed if _may_start(lookup, name, now, may_probe)
    ]
    if not usable and not any(_is_normal(lookup, n, now) for n in members):
        usable = [
            name
            for name in allowed
            if eligibility(lookup(name)[0], now) is Eligibility.OPEN
        ] or [name for name in allowed if _may_try_ejected(lookup, name, now)]
    if len(usable) > 2:
        usable = rng.sample(usable, 2)
    return min(
        usable,
        key=lambda n: expected_slowness(lookup, n, now),
        default=None,
    )


def expected_slowness(
    lookup: ServerLookup, name: ServerName, now: float
) -> float:
    """Return the aged slowness, scaled by the requests in flight."""
    health, slots = lookup(name)
    load = slots.in_flight / max(1, slots.capacity)
    return aged_slowness(health, now) * (1.0 + load)


def _is_normal(lookup: ServerLookup, name: ServerName, now: float) -> bool:
    health, _ = lookup(name)
    return eligibility(health, now) is Eligibility.OPEN and not is_slow(health)


def _may_try_ejected(
    lookup: ServerLookup, name: ServerName, now: float
) -> bool:
    health, slots = lookup(name)
    is_ejected = eligibility(health, now) is Eligibility.EJECTED
    return is_ejected and slots.in_flight == 0


def _may_start(
    lookup: ServerLookup, name: ServerName, now: float, may_probe: bool
) -> bool:
    health, slots = lookup(name)
    if eligibility(health, now) is not Eligibility.OPEN:
        return False
    if is_slow(health):
        # A single probe is allowed once the estimate has decayed.
        limit = SLOW_FACTOR if may_probe else UNHEDGED_PROBE_SLOWNESS_MAX
        return slots.in_flight == 0 and aged_slowness(health, now) <= limit
    share = slow_start_share(health, now)
    return slots.in_flight < max(1.0, share * slots.capacity)
