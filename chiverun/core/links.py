"""Rates of the links between regions, divided over seats."""

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
# The rest is for what instances tell each other, which is not admitted.
_REQUEST_SHARE = 0.95
# Start line, framing, and headers that the libraries add.
_OVERHEAD_BYTES = 1024
# A waiting message looks again after this, since the rate may have changed.
_RECHECK_S = 0.25
# The expected size of a class is the largest response seen, with a margin.
# It fades, so that one large response does not close a link for its class.
_SIZE_HALVES_IN_S = 60.0
_SIZE_MARGIN = 1.5


@dataclasses.dataclass(frozen=True, kw_only=True)
class Reservation:
    """Bytes admitted to a link, until their message is booked."""

    rate: ByteRate
    most: int


def message_bytes(headers: Iterable[tuple[str, str]], body: bytes) -> int:
    """Return the bytes that a message counts on a link, at least."""
    lines = sum(len(name) + len(value) + 4 for name, value in headers)
    return _OVERHEAD_BYTES + lines + len(body)


class ResponseSizes:
    """Expected sizes of responses, by a class's name.

    Reserving the largest size a class may have for each of its responses
    would keep a link nearly empty when few responses are that large. The
    rate is kept by booking true sizes; a response above the expected size
    waits longer.
    """

    def __init__(self) -> None:
        self._largest: dict[str, tuple[float, float]] = {}

    def expected(self, name: str, now: float) -> int | None:
        """Return the expected bytes, None if no response was seen."""
        if name not in self._largest:
            return None
        size, seen_at = self._largest[name]
        faded = size * 0.5 ** ((now - seen_at) / _SIZE_HALVES_IN_S)
        return int(faded * _SIZE_MARGIN)

    def note(self, name: str, actual: int, now: float) -> None:
        """Note the size of a response."""
        expected = self.expected(name, now) or 0
        if actual * _SIZE_MARGIN >= expected:
            self._largest[name] = (float(actual), now)


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
        """Take over the portions of a newly published snapshot.

        A seat counts once it is open: until then its earlier holder may
        still send what it has booked.
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
                # Messages that wait for a removed link are not sent.
                self._rates.pop(target).set_rate(now, 0)
            self._usable_until = (
                snapshot.published_at + PAUSE_LIMIT_S
                if snapshot.confirmed
                else float("-inf")
            )

    def reserve(
        self, target: RegionName, most: int, limit_s: float
    ) -> Reservation | None:
        """Admit a message of at most `most` bytes to another region.

        Nothing is admitted after a pause of this process, since its seats
        may have been claimed.
        """
        with self._lock:
            now = self._clock.monotonic()
            rate = self._rates.get(target)
            if rate is None or now > self._usable_until:
                return None
            if not rate.try_admit(now, most, limit_s):
                return None
            return Reservation(rate=rate, most=most)

    def reserve_response(
        self, target: RegionName, name: str, most: int, limit_s: float
    ) -> Reservation | None:
        """Admit the response to a request of a class before it runs.

        A class whose responses are larger than what a second of this
        portion carries is refused, since they could not be sent.
        """
        most += _OVERHEAD_BYTES
        with self._lock:
            expected = self._sizes.expected(name, self._clock.monotonic())
            rate = self._rates.get(target)
            if rate is None or (expected or 0) > rate.bytes_per_s:
                return None
        if expected is not None:
            most = min(most, expected)
        return self.reserve(target, most, limit_s)

    def note_response(self, name: str, actual: int) -> None:
        """Note the true size of a response of a class."""
        with self._lock:
            self._sizes.note(name, actual, self._clock.monotonic())

    def cancel(self, reservation: Reservation) -> None:
        """Give back a reservation whose message is not sent."""
        with self._lock:
            reservation.rate.admitted -= reservation.most

    def pace(
        self, reservation: Reservation, actual: int, deadline: float
    ) -> bool:
        """Wait until a message may be sent; False if not by `deadline`."""
        rate = reservation.rate
        with self._lock:
            now = self._clock.monotonic()
            booking = rate.book(now, reservation.most, actual)
        while True:
            wait_s = self._try_send(rate, booking)
            if wait_s <= 0:
                return True
            left_s = deadline - self._clock.monotonic()
            if left_s <= 0:
                return False
            self._sleep(min(wait_s, left_s, _RECHECK_S))

    def _try_send(self, rate: ByteRate, booking: Booking) -> float:
        with self._lock:
            return rate.try_send(self._clock.monotonic(), booking)

    def headroom(self) -> dict[RegionName, float]:
        """Return the free part of each link's portion, from 0 to 1."""
        now = self._clock.monotonic()
        with self._lock:
            return {t: r.headroom(now) for t, r in self._rates.items()}
