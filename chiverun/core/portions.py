"""Allocation of slots, caps and rates to the seats of zones and regions.

The allocation depends only on the state of the tickets, so all instances
compute the same one. The portions of all seats add up to the total.
"""

from collections.abc import Iterable

import xxhash

from chiverun.core.ids import RegionName
from chiverun.core.ids import SeatIndex
from chiverun.core.ids import ServerName
from chiverun.core.ids import ZoneName
from chiverun.core.state import State
from chiverun.core.ticket import Zone


def _offset(name: str, modulus: int) -> int:
    return xxhash.xxh32_intdigest(name.encode()) % modulus


def slot_seat(server: ServerName, slot: int, seats: int) -> SeatIndex:
    """Return the seat that slot `slot` of a server belongs to."""
    return SeatIndex((_offset(server, seats) + slot) % seats)


def seat_portion(name: str, units: int, position: int, total: int) -> int:
    """Return the units of a cap that belong to one of `total` seats.

    Parameters
    ----------
    name : str
        Name of the cap. Remainders of different caps go to different seats.
    units : int
        The cap, in whole units.
    position : int
        Position of the seat among all seats that share the cap.
    total : int
        Number of seats that share the cap.
    """
    base, rest = divmod(units, total)
    rank = (position - _offset(name, total)) % total
    return base + (1 if rank < rest else 0)


def region_zones(state: State, region: RegionName) -> list[Zone]:
    """Return the zones of a region in order of name."""
    zones = state.of(Zone).values()
    return sorted(
        (z for z in zones if z.region == region), key=lambda z: z.name
    )


def held_portion(
    state: State,
    name: str,
    units: int,
    zone: ZoneName,
    seats: Iterable[SeatIndex],
) -> int:
    """Return the units of a region's cap that belong to seats of a zone."""
    first = 0
    zones = region_zones(state, state.of(Zone)[zone].region)
    for other in zones:
        if other.name == zone:
            break
        first += other.seats
    total = sum(z.seats for z in zones)
    return sum(
        seat_portion(name, units, first + seat, total) for seat in seats
    )
