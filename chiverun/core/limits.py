"""Limiters that never exceed their cap in any window.

They take the time as an argument and are not thread-safe; their user holds
a lock.
"""

import collections


class WindowLimiter:
    """At most `cap` admissions in any window of `window_s` seconds.

    A token bucket would allow its burst on top of the rate within one
    window, so the times of the admissions are kept instead.
    """

    def __init__(self, *, cap: int, window_s: float) -> None:
        self.cap = cap
        self.window_s = window_s
        self._times: collections.deque[float] = collections.deque()

    def try_take(self, now: float) -> bool:
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


class ByteRate:
    """A byte rate shared by transfers.

    A transfer is admitted with the most bytes it may have, and scheduled
    with its true size when it is sent. Admitted bytes count against later
    admissions, so that what was admitted can be sent in its time.
    """

    def __init__(self, *, bytes_per_s: float) -> None:
        self.bytes_per_s = bytes_per_s
        self.admitted = 0
        self._free_at = 0.0

    def try_admit(self, now: float, most: int, limit_s: float) -> bool:
        """Admit a transfer of at most `most` bytes, done in `limit_s`."""
        if self.bytes_per_s <= 0:
            return False
        backlog_s = max(0.0, self._free_at - now)
        needed_s = backlog_s + (self.admitted + most) / self.bytes_per_s
        if needed_s > limit_s:
            return False
        self.admitted += most
        return True

    def schedule(self, now: float, most: int, actual: int) -> float:
        """Book an admitted transfer; return the seconds until its end.

        Sending after that time keeps the rate in every window, since the
        bytes of a transfer are booked before they are sent.
        """
        self.admitted -= most
        if actual <= 0:
            return 0.0
        self._free_at = max(now, self._free_at) + actual / self.bytes_per_s
        return self._free_at - now

    def headroom(self, now: float) -> float:
        """Return the free part of the next second, from 0 to 1."""
        if self.bytes_per_s <= 0:
            return 0.0
        backlog_s = max(0.0, self._free_at - now)
        return max(0.0, 1.0 - backlog_s - self.admitted / self.bytes_per_s)
