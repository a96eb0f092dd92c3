"""Counts and logs clients that are refused or closed."""

import collections
import time
from collections.abc import Callable

import logbook

from chiverun.core.callerlimits import RefusalReason

_LOG = logbook.Logger("server")

# Lines of one reason in a second; a flood of refusals would fill the log.
LINES_PER_S = 5


class CallerRefusals:
    """Log lines, bounded for each reason, and a count of all."""

    def __init__(
        self,
        *,
        count: Callable[[RefusalReason], None] = lambda reason: None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._count = count
        self._clock = clock
        self._second = 0
        self._lines: collections.Counter[RefusalReason] = collections.Counter()
        self._left_out: collections.Counter[RefusalReason] = (
            collections.Counter()
        )

    def note(self, reason: RefusalReason, text: str, **details) -> None:
        """Count a refusal and log it, unless many were logged just now.

        `text` must not quote bytes of a request, which may hold an API key.
        """
        self._count(reason)
        second = int(self._clock())
        if second != self._second:
            self._second = second
            self._lines.clear()
        self._lines[reason] += 1
        if self._lines[reason] > LINES_PER_S:
            self._left_out[reason] += 1
            return
        _LOG.warning(
            "request refused",
            extra={
                "reason": text,
                "kind": reason.value,
                "left_out": self._left_out.pop(reason, 0),
                **details,
            },
        )
