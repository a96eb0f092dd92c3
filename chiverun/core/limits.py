"""Rate limiters that never exceed their cap in any window.

The current time is an argument. The limiters are not thread-safe; callers
hold a lock.
"""

import collections
import dataclasses


class WindowCount:
    """Events within the last `window_s` seconds."""

    def __init__(self, *, window_s: float) -> None:
        self.window_s = window_s
        self._times: collections.deque[float] = collections.deque()

    def add(self, now: float) -> None:
        """Count an event at `now`."""
        self._times.append(now)

    def count(self, now: float) -> int:
        """Return the events within the window that ends at `now`."""
        while self._times and self._times[0] <= now - self.window_s:
            self._times.popleft()
        return len(self._times)


class WindowLimiter:
    """At most `cap` admissions in any window of `window_s` seconds.

    A token bucket would allow its burst on top of the rate within one
    window, so the limiter stores the time of each admission instead.
    """

    def __init__(self, *, cap: int, window_s: float) -> None:
        self.cap = cap
        self._admitted = WindowCount(window_s=window_s)

    def try_consume(self, now: float) -> bool:
        """Admit one unit at `now` if the window is below the cap."""
        if self._admitted.count(now) >= self.cap:
            return False
        self._admitted.add(now)
        return True

    def used(self, now: float) -> int:
        """Return the admissions within the window that ends at `now`."""
        return self._admitted.count(now)


# One second and 0.1 s of jitter between messages on their way to the link, so
# that the bytes of any second stay within the rate.
BYTE_WINDOW_S = 1.1
_WAIT_MIN_S = 0.001


@dataclasses.dataclass(frozen=True, kw_only=True)
class Booking:
    """A message waiting to be sent; `position` is that of its last byte."""

    size: int
    position: float


class ByteRate:
    """A byte rate shared by messages.

    A message is admitted with its maximum size, and booked with its actual
    size when it is ready to be sent. Admitted bytes count against later
    admissions, so that each admitted message can be sent in time.

    Booked messages are sent in order, each when the rate has served all
    bytes up to its last one. A change of the rate also applies to booked
    messages, since after a transfer of seats the new holder uses their
    portion immediately.
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
        """Set the rate from `now` on."""
        self._advance(now)
        self.bytes_per_s = bytes_per_s

    def try_admit(self, now: float, bytes_max: int, limit_s: float) -> bool:
        """Admit a message of at most `bytes_max` bytes, sent within `limit_s`.

        An idle rate admits one message of any size, since its actual size
        may be far below the maximum.
        """
        if self.bytes_per_s <= 0:
            return False
        self._advance(now)
        waiting = self.admitted + self._backlog()
        if waiting and (waiting + bytes_max) / self.bytes_per_s > limit_s:
            return False
        self.admitted += bytes_max
        return True

    def book(self, now: float, bytes_max: int, actual_bytes: int) -> Booking:
        """Replace an admission of `bytes_max` by a place in send order."""
        self.admitted -= bytes_max
        self._advance(now)
        self._booked = max(self._booked, self._served) + actual_bytes
        return Booking(size=actual_bytes, position=self._booked)

    def try_send(self, now: float, booking: Booking) -> float:
        """Return the wait in seconds; 0 if the message may be sent now."""
        self._advance(now)
        missing = booking.position - self._served
        if missing > 1e-6:
            if not self.bytes_per_s:
                return 1.0
            return max(_WAIT_MIN_S, missing / self.bytes_per_s)
        if booking.size > self.bytes_per_s:
            # The message is sent at once and exceeds the bytes of a second.
            return 1.0
        while self._sent and self._sent[0][0] <= now - BYTE_WINDOW_S:
            self._sent_bytes -= self._sent.popleft()[1]
        if self._sent and self._sent_bytes + booking.size > self.bytes_per_s:
            # A wait rounded to 0 would mean that the message may be sent.
            return max(_WAIT_MIN_S, self._sent[0][0] + BYTE_WINDOW_S - now)
        self._sent.append((now, booking.size))
        self._sent_bytes += booking.size
        return 0.0

    def headroom(self, now: float) -> float:
        """Return the free share of the next second, from 0 to 1."""
        if self.bytes_per_s <= 0:
            return 0.0
        self._advance(now)
        waiting = self.admitted + self._backlog()
        return max(0.0, 1.0 - waiting / self.bytes_per_s)

    def _advance(self, now: float) -> None:
        """Serve booked bytes up to `now`; idle time earns no credit."""
        if now > self._served_at:
            self._served += (now - self._served_at) * self.bytes_per_s
            self._served_at = now

    def _backlog(self) -> float:
        return max(0.0, self._booked - self._served)
