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

# Draws before all servers with a free slot are looked at.
DRAWS_MAX = 8
# Aged slowness at which a request that cannot be hedged probes as well, for
# services that have no others.
PROBE_ANYWAY = 1.5

Lookup = Callable[[ServerName], tuple[ServerHealth, ServerSlots]]
Fits = Callable[[ServerName], bool]


def choose(
    free: NameSet,
    members: Sequence[ServerName],
    lookup: Lookup,
    fits: Fits,
    now: float,
    rng: random.Random,
    *,
    may_probe: bool = True,
) -> ServerName | None:
    """Choose a server: power of two choices by expected latency.

    Parameters
    ----------
    free : NameSet
        Servers with a free slot for the request.
    members : Sequence[ServerName]
        All servers of the service that have slots here.
    lookup : Callable
        Gives a server's health and slots.
    fits : Callable
        Tells whether the request may go to a server at all: never to one
        that is drained, excluded or whose remaining slots are kept free.
    now : float
        Monotonic seconds.
    rng : random.Random
    may_probe : bool
        Whether the request may probe a slow server. One that may be hedged
        loses little by it.
    """
    first: ServerName | None = None
    draws = DRAWS_MAX if len(free) else 0
    for _ in range(draws):
        name = free.draw(rng)
        if name == first or not _may_start(lookup, name, now, may_probe):
            continue
        if not fits(name):
            continue
        if first is None:
            first = name
            continue
        return min(
            first, name, key=lambda n: expected_slowness(lookup, n, now)
        )
    return _scan(free, members, lookup, fits, now, rng, may_probe)


def _scan(
    free: NameSet,
    members: Sequence[ServerName],
    lookup: Lookup,
    fits: Fits,
    now: float,
    rng: random.Random,
    may_probe: bool,
) -> ServerName | None:
    """Look at all servers with a free slot.

    Slow servers are left out only while there is another server to wait
    for; a wrong ejection of all must not stop a service, so one request at
    a time is then tried on an ejected server.
    """
    fitting = [name for name in free.names if fits(name)]
    usable = [
        name for name in fitting if _may_start(lookup, name, now, may_probe)
    ]
    if not usable and not any(_is_normal(lookup, n, now) for n in members):
        usable = [
            name
            for name in fitting
            if eligibility(lookup(name)[0], now) is Eligibility.OPEN
        ] or [name for name in fitting if _may_try(lookup, name, now)]
    if len(usable) > 2:
        usable = rng.sample(usable, 2)
    return min(
        usable,
        key=lambda n: expected_slowness(lookup, n, now),
        default=None,
    )


def expected_slowness(lookup: Lookup, name: ServerName, now: float) -> float:
    """Return the aged slowness, raised by the requests in flight."""
    health, slots = lookup(name)
    load = slots.in_flight / max(1, slots.mine)
    return aged_slowness(health, now) * (1.0 + load)


def _is_normal(lookup: Lookup, name: ServerName, now: float) -> bool:
    health, _ = lookup(name)
    return eligibility(health, now) is Eligibility.OPEN and not is_slow(health)


def _may_try(lookup: Lookup, name: ServerName, now: float) -> bool:
    health, slots = lookup(name)
    is_ejected = eligibility(health, now) is Eligibility.EJECTED
    return is_ejected and slots.in_flight == 0


def _may_start(
    lookup: Lookup, name: ServerName, now: float, may_probe: bool
) -> bool:
    health, slots = lookup(name)
    if eligibility(health, now) is not Eligibility.OPEN:
        return False
    if is_slow(health):
        # One probe once the estimate has aged.
        limit = SLOW_FACTOR if may_probe else PROBE_ANYWAY
        return slots.in_flight == 0 and aged_slowness(health, now) <= limit
    share = slow_start_share(health, now)
    return slots.in_flight < max(1.0, share * slots.mine)
