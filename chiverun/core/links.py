"""Byte rates of the links between regions, divided over seats."""

import dataclasses
import threading
import time
from collections.abc import Callable
from collections.abc import Iterable
from typing import TYPE_CHECKING

from chiverun.core.admission import PAUSE_LIMIT_S
from chiverun.core.ids import RegionName
from chiverun.core.ids import ZoneName
from chiverun.core.limits import Booking
from chiverun.core.limits import ByteRate
from chiverun.core.portions import held_portion
from chiverun.core.ticket import Link
from chiverun.core.ticket import Zone

if TYPE_CHECKING:
    from chiverun.core.clock import Clock
    from chiverun.core.snapshot import Snapshot

_BYTES_PER_MBIT = 125_000
# The rest is for messages between instances, which are not admitted.
_REQUEST_SHARE = 0.95
# Start line, framing and headers added by the HTTP libraries.
_OVERHEAD_BYTES = 1024
# Maximum wait of a message before it checks again, since the rate may change.
_RECHECK_S = 0.25
# The expected size of a class is its largest response, with a margin. It
# decays, so that one large response does not block the class on a link.
_SIZE_HALF_LIFE_S = 60.0
_SIZE_MARGIN_FACTOR = 1.5


@dataclasses.dataclass(frozen=True, kw_only=True)
class Reservation:
    """Bytes admitted to a link until the message is booked."""

    rate: ByteRate
    bytes_max: int


def message_bytes(headers: Iterable[tuple[str, str]], body: bytes) -> int:
    """Return the minimum number of bytes of a message on a link."""
    lines = sum(len(name) + len(value) + 4 for name, value in headers)
    return _OVERHEAD_BYTES + lines + len(body)


class ResponseSizes:
    """Expected response sizes by class name.

    Reserving the maximum size for each response would leave a link nearly
    idle when few responses are that large. Booking actual sizes keeps the
    rate; a response above the expected size waits longer.
    """

    def __init__(self) -> None:
        self._largest: dict[str, tuple[float, float]] = {}

    def expected(self, name: str, now: float) -> int | None:
        """Return the expected bytes; None before the first response."""
        if name not in self._largest:
            return None
        size, seen_at = self._largest[name]
        decayed = size * 0.5 ** ((now - seen_at) / _SIZE_HALF_LIFE_S)
        return int(decayed * _SIZE_MARGIN_FACTOR)

    def record(self, name: str, actual_bytes: int, now: float) -> None:
        """Record the size of a response."""
        expected = self.expected(name, now) or 0
        if actual_bytes * _SIZE_MARGIN_FACTOR >= expected:
            self._largest[name] = (float(actual_bytes), now)


class Links:
    """This instance's portions of the links that leave its region."""

    def __init__(
        self,
        *,
        zone: ZoneName,
        clock: "Clock",
        sleep: Callable[[float], None] = time.sleep,
    ) -> None:
        self._zone = zone
        self._clock = clock
        self._sleep = sleep
        self._lock = threading.Lock()
        self._rates: dict[RegionName, ByteRate] = {}
        self._sizes = ResponseSizes()
        self._usable_until = float("-inf")

    def update(self, snapshot: "Snapshot") -> None:
        """Apply the portions of a newly published snapshot.

        A seat counts once it is open. Before that, its earlier holder may
        still send booked messages.
        """
        state = snapshot.state
        zone = state.of(Zone).get(self._zone)
        if zone is None:
            return
        now = self._clock.monotonic()
        seats = [s.index for s in snapshot.seats if s.short_opens_at <= now]
        portions = {
            link.target: held_portion(
                state,
                f"link:{link.name}",
                int(link.mbit_per_s * _BYTES_PER_MBIT * _REQUEST_SHARE),
                self._zone,
                seats,
            )
            for link in state.of(Link).values()
            if link.source == zone.region
        }
        with self._lock:
            for target, portion in portions.items():
                rate = self._rates.setdefault(target, ByteRate(bytes_per_s=0))
                rate.set_rate(now, portion)
            for target in set(self._rates) - set(portions):
                # Messages waiting for a removed link are never sent.
                self._rates.pop(target).set_rate(now, 0)
            self._usable_until = (
                snapshot.published_at + PAUSE_LIMIT_S
                if snapshot.confirmed
                else float("-inf")
            )

    def reserve(
        self, target: RegionName, bytes_max: int, limit_s: float
    ) -> Reservation | None:
        """Admit a message of at most `bytes_max` bytes to another region.

        After a pause of this process no message is admitted, since other
        instances may have claimed its seats.
        """
        with self._lock:
            now = self._clock.monotonic()
            rate = self._rates.get(target)
            if rate is None or now > self._usable_until:
                return None
            if not rate.try_admit(now, bytes_max, limit_s):
                return None
            return Reservation(rate=rate, bytes_max=bytes_max)

    def reserve_response(
        self, target: RegionName, name: str, bytes_max: int, limit_s: float
    ) -> Reservation | None:
        """Admit the response to a request of a class before it runs.

        A class whose responses exceed one second of this portion is
        rejected, since such responses cannot be sent.
        """
        bytes_max += _OVERHEAD_BYTES
        with self._lock:
            expected = self._sizes.expected(name, self._clock.monotonic())
            rate = self._rates.get(target)
            if rate is None or (expected or 0) > rate.bytes_per_s:
                return None
        if expected is not None:
            bytes_max = min(bytes_max, expected)
        return self.reserve(target, bytes_max, limit_s)

    def record_response(self, name: str, actual_bytes: int) -> None:
        """Record the actual size of a response of a class."""
        with self._lock:
            self._sizes.record(name, actual_bytes, self._clock.monotonic())

    def cancel(self, reservation: Reservation) -> None:
        """Release a reservation whose message will not be sent."""
        with self._lock:
            reservation.rate.admitted -= reservation.bytes_max

    def pace(
        self, reservation: Reservation, actual_bytes: int, deadline: float
    ) -> bool:
        """Wait until a message may be sent; return False after `deadline`."""
        rate = reservation.rate
        with self._lock:
            now = self._clock.monotonic()
            booking = rate.book(now, reservation.bytes_max, actual_bytes)
        while True:
            wait_s = self._try_send(rate, booking)
            if wait_s <= 0:
                return True
            remaining_s = deadline - self._clock.monotonic()
            if remaining_s <= 0:
                return False
            self._sleep(min(wait_s, remaining_s, _RECHECK_S))

    def _try_send(self, rate: ByteRate, booking: Booking) -> float:
        with self._lock:
            return rate.try_send(self._clock.monotonic(), booking)

    def headroom(self) -> dict[RegionName, float]:
        """Return the free share of each link's portion, from 0 to 1."""
        now = self._clock.monotonic()
        with self._lock:
            return {t: r.headroom(now) for t, r in self._rates.items()}
