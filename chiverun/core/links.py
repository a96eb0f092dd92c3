"""Rates of the links between regions, divided over seats."""

import threading
from typing import TYPE_CHECKING

from chiverun.core.ids import RegionName
from chiverun.core.ids import ZoneName
from chiverun.core.limits import ByteRate
from chiverun.core.portions import held_portion
from chiverun.core.ticket import Link
from chiverun.core.ticket import Zone

if TYPE_CHECKING:
    from chiverun.core.clock import Clock
    from chiverun.core.snapshot import Snapshot

_BYTES_PER_MBIT = 125_000
# Lines and headers of a message, beyond its body.
HEADER_BYTES = 1024


class Links:
    """This instance's portions of the links that leave its region."""

    def __init__(self, *, zone: ZoneName, clock: "Clock") -> None:
        self._zone = zone
        self._clock = clock
        self._lock = threading.Lock()
        self._rates: dict[RegionName, ByteRate] = {}

    def update(self, snapshot: "Snapshot") -> None:
        """Take over the portions of a newly published snapshot."""
        state = snapshot.state
        zone = state.of(Zone).get(self._zone)
        if zone is None:
            return
        seats = [seat.index for seat in snapshot.seats]
        portions = {
            link.target: held_portion(
                state,
                f"link:{link.name}",
                int(link.mbit_per_s * _BYTES_PER_MBIT),
                self._zone,
                seats,
            )
            for link in state.of(Link).values()
            if link.source == zone.region
        }
        with self._lock:
            for target, portion in portions.items():
                rate = self._rates.setdefault(
                    target, ByteRate(bytes_per_s=portion)
                )
                rate.bytes_per_s = portion
            for target in set(self._rates) - set(portions):
                del self._rates[target]

    def try_admit(
        self, target: RegionName, most: int, limit_s: float
    ) -> ByteRate | None:
        """Admit a message of at most `most` bytes to another region."""
        with self._lock:
            rate = self._rates.get(target)
            if rate is None:
                return None
            now = self._clock.monotonic()
            return rate if rate.try_admit(now, most, limit_s) else None

    def schedule(self, rate: ByteRate, most: int, actual: int) -> float:
        """Book an admitted message; return the seconds to wait."""
        with self._lock:
            return rate.schedule(self._clock.monotonic(), most, actual)

    def headroom(self) -> dict[RegionName, float]:
        """Return the free part of each link's portion, from 0 to 1."""
        now = self._clock.monotonic()
        with self._lock:
            return {t: r.headroom(now) for t, r in self._rates.items()}
