"""Limiters that never exceed their cap in any window.

They take the time as an argument and are not thread-safe; their user holds
a lock.
"""

import collections
import dataclasses


class WindowLimiter:
    """At most `cap` admissions in any window of `window_s` seconds.

    A token bucket would allow its burst on top of the rate within one
    window, so the times of the admissions are kept instead.
    """

    def __init__(self, *, cap: int, window_s: float) -> None:
        self.cap = cap
        self.window_s = window_s
        self._times: collections.deque[float] = collections.deque()

    def try_consume(self, now: float) -> bool:
        """Admit one unit at `now` if the window has room."""
        self._expire(now)
        if len(self._times) >= self.cap:
            return False
        self._times.append(now)
        return True

    def used(self, now: float) -> int:
        """Return the admissions within the window that ends at `now`."""
        self._expire(now)
        return len(self._times)

    def _expire(self, now: float) -> None:
        while self._times and self._times[0] <= now - self.window_s:
            self._times.popleft()


# Bytes of any second stay within the rate although their arrival at the link
# may be delayed by up to a tenth of a second against each other.
BYTE_WINDOW_S = 1.1
_WAIT_MIN_S = 0.001


@dataclasses.dataclass(frozen=True, kw_only=True)
class Booking:
    """A message that waits to be sent; `position` is its last byte."""

    size: int
    position: float


class ByteRate:
    """A byte rate shared by messages.

    A message is admitted with the most bytes it may have, and booked with
    its true size when it is ready to be sent. Admitted bytes count against
    later admissions, so that what was admitted can be sent in its time.

    Booked messages are sent in order, each when the rate has served all
    bytes up to its last one. A change of the rate applies to what is booked
    already: after a handover of seats the new holder uses their part at
    once.
    """

    def __init__(self, *, bytes_per_s: float) -> None:
        self.bytes_per_s = bytes_per_s
        self.admitted = 0
        self._served = 0.0
        self._served_at = 0.0
        self._booked = 0.0
        self._sent: collections.deque[tuple[float, int]] = collections.deque()
        self._sent_bytes = 0

    def set_rate(self, now: float, bytes_per_s: float) -> None:
        """Change the rate from `now` on."""
        self._advance(now)
        self.bytes_per_s = bytes_per_s

    def try_admit(self, now: float, most: int, limit_s: float) -> bool:
        """Admit a message of at most `most` bytes, sent within `limit_s`.

        An idle rate admits one message of any size, since the true size may
        be far smaller than the largest possible one.
        """
        if self.bytes_per_s <= 0:
            return False
        self._advance(now)
        waiting = self.admitted + self._backlog()
        if waiting and (waiting + most) / self.bytes_per_s > limit_s:
            return False
        self.admitted += most
        return True

    def book(self, now: float, most: int, actual: int) -> Booking:
        """Exchange an admission of `most` bytes for a place in the order."""
        self.admitted -= most
        self._advance(now)
        self._booked = max(self._booked, self._served) + actual
        return Booking(size=actual, position=self._booked)

    def try_send(self, now: float, booking: Booking) -> float:
        """Return 0 if the message may be sent now, else seconds to wait."""
        self._advance(now)
        missing = booking.position - self._served
        if missing > 1e-6:
            if not self.bytes_per_s:
                return 1.0
            return max(_WAIT_MIN_S, missing / self.bytes_per_s)
        if booking.size > self.bytes_per_s:
            # In one piece it is more than a second may carry.
            return 1.0
        while self._sent and self._sent[0][0] <= now - BYTE_WINDOW_S:
            self._sent_bytes -= self._sent.popleft()[1]
        if self._sent and self._sent_bytes + booking.size > self.bytes_per_s:
            # Rounding must not make a refusal look like leave to send.
            return max(_WAIT_MIN_S, self._sent[0][0] + BYTE_WINDOW_S - now)
        self._sent.append((now, booking.size))
        self._sent_bytes += booking.size
        return 0.0

    def headroom(self, now: float) -> float:
        """Return the free part of the next second, from 0 to 1."""
        if self.bytes_per_s <= 0:
            return 0.0
        self._advance(now)
        waiting = self.admitted + self._backlog()
        return max(0.0, 1.0 - waiting / self.bytes_per_s)

    def _advance(self, now: float) -> None:
        """Serve booked bytes up to `now`; idle time is not saved up."""
        if now > self._served_at:
            self._served += (now - self._served_at) * self.bytes_per_s
            self._served_at = now

    def _backlog(self) -> float:
        return max(0.0, self._booked - self._served)
