"""What a connection moves while it reads a request or writes a response."""

import dataclasses

from chiverun.core.bytebudget import STALLED_BYTES_PER_S
from chiverun.core.bytebudget import STALLED_S


@dataclasses.dataclass(kw_only=True)
class Activity:
    """Since when a connection does the same, and the bytes moved since."""

    since: float
    moved_at: float
    moved_bytes: int = 0

    def begin(self, now: float) -> None:
        """Note that something else begins."""
        self.since = self.moved_at = now
        self.moved_bytes = 0

    def note(self, count: int, now: float) -> None:
        """Add bytes that were read or written."""
        self.moved_at = now
        self.moved_bytes += count

    def is_stalled(self, now: float) -> bool:
        """Return whether hardly anything moves."""
        age_s = now - self.since
        if age_s <= STALLED_S:
            return False
        has_stopped = now - self.moved_at > STALLED_S
        return has_stopped or self.moved_bytes < STALLED_BYTES_PER_S * age_s
