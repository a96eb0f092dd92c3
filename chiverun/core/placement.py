"""Placement of requests: region by fair shares, server by affinity.

All instances of a region compute the same placement without coordination. A
key maps to a region by the shares of its source region, and within that
region to servers in rendezvous order (Thaler and Ravishankar, 1998), with a
server of the instance's own zone first. Requests for an object thus reach
the same servers each time.
"""

import functools
from collections.abc import Collection
from collections.abc import Mapping
from collections.abc import Sequence
from typing import TypeVar

import xxhash

from chiverun.core.catalog import Server
from chiverun.core.ids import RegionName
from chiverun.core.ids import ServerName
from chiverun.core.ids import ZoneName

_HASH_RANGE = float(1 << 64)
# Callers choose keys; the caches hold thousands of them.
KEY_LENGTH_MAX = 128

# A region, or a zone within a region.
Place = TypeVar("Place", RegionName, ZoneName)


def bounded_key(key: str) -> str:
    """Return a key, or a digest in place of a long one."""
    if len(key) <= KEY_LENGTH_MAX:
        return key
    return xxhash.xxh3_128_hexdigest(key.encode())


@functools.lru_cache(maxsize=65536)
def hash_fraction(text: str) -> float:
    """Return a uniform hash of a text in [0, 1)."""
    return xxhash.xxh3_64_intdigest(text.encode()) / _HASH_RANGE


def rendezvous(key: str, servers: Sequence[Server]) -> list[Server]:
    """Return servers in the rendezvous order of a key."""
    return sorted(
        servers,
        key=lambda server: _rendezvous_weight(key, server.name),
        reverse=True,
    )


@functools.lru_cache(maxsize=65536)
def _rendezvous_weight(key: str, name: ServerName) -> float:
    return hash_fraction(f"{name}\0{key}")


def zone_first(
    ranked: Sequence[Server], zone: ZoneName | None
) -> list[Server]:
    """Move the first server of a zone and the first outside it to the front.

    Machines of two zones thus use the same two servers for a key, and each
    machine prefers the server of its own zone.

    Parameters
    ----------
    ranked : Sequence[Server]
        Servers in rendezvous order of the key.
    zone : ZoneName or None
        With None the order is unchanged.
    """
    inside = next((s for s in ranked if s.zone == zone), None)
    if inside is None:
        return list(ranked)
    outside = next((s for s in ranked if s.zone != zone), None)
    preferred = [server for server in (inside, outside) if server is not None]
    return preferred + [server for server in ranked if server not in preferred]


def fair_shares(
    capacity: Mapping[Place, float],
    demand: Mapping[Place, float],
    source: Place,
) -> dict[Place, float]:
    """Return the share of a source's requests for each place.

    Each place keeps the demand that its share of the total capacity covers.
    The excess goes to places with spare capacity, in proportion to it.

    Parameters
    ----------
    capacity : Mapping
        Slots of the service's servers in each place.
    demand : Mapping
        Relative request rate of each place.
    source : RegionName or ZoneName
        The place whose requests are placed.
    """
    total_capacity = sum(capacity.values())
    if total_capacity <= 0:
        return {source: 1.0}
    total_demand = sum(demand.values()) or 1.0
    fair = {
        place: slots / total_capacity * total_demand
        for place, slots in capacity.items()
    }
    own_demand = demand.get(source, 0.0)
    if own_demand <= 0:
        return {source: 1.0}
    covered = min(own_demand, fair.get(source, 0.0))
    surplus = {
        place: max(0.0, fair_demand - demand.get(place, 0.0))
        for place, fair_demand in fair.items()
        if place != source
    }
    total_surplus = sum(surplus.values())
    excess = (own_demand - covered) / own_demand
    if excess <= 0 or total_surplus <= 0:
        return {source: 1.0}
    shares = {source: 1.0 - excess}
    for place, spare in surplus.items():
        if spare > 0:
            shares[place] = excess * spare / total_surplus
    return shares


def choose_place(
    level: str,
    key: str,
    shares: Mapping[Place, float],
    source: Place,
    before: Collection[Place] = (),
) -> Place:
    """Return the place of a key by the shares of a source.

    The shares lie side by side, that of the source after those of the places
    `before`. A share that grows at the source's cost then moves only the
    shares between them. `level` makes the choice of a region independent of
    that of a zone.
    """
    point = hash_fraction(f"{level}\0{key}")
    others = sorted(place for place in shares if place != source)
    ordered = [
        *(place for place in others if place in before),
        source,
        *(place for place in others if place not in before),
    ]
    cumulative = 0.0
    for place in ordered:
        cumulative += shares.get(place, 0.0)
        if point < cumulative:
            return place
    return ordered[-1]


def places_before(places: Collection[Place], source: Place) -> list[Place]:
    """Return the half of the other places that is laid before a source."""
    others = sorted(place for place in places if place != source)
    return others[: len(others) // 2]
