"""Until when a server is cold, by its record and by what it says itself."""

import dataclasses


@dataclasses.dataclass(kw_only=True)
class _StatedTime:
    """The cold time that a server has stated last; monotonic seconds."""

    until: float = float("-inf")
    heard_at: float = float("-inf")

    def apply(self, cold_s: float, *, sent_at: float, now: float) -> None:
        """Apply a response to a request that was sent at `sent_at`.

        A shorter time counts only if the request was sent after the longer
        one was heard: responses overtake each other.
        """
        until = now + cold_s
        if until < self.until and sent_at <= self.heard_at:
            return
        self.until = until
        self.heard_at = now


@dataclasses.dataclass(kw_only=True)
class ColdTime:
    """Until when a server is cold, in monotonic seconds.

    Each source replaces what it has said before, so that a wrong time ends
    with the next right one, and the latest of the sources counts. Answers to
    health checks and to requests are two sources: the latter rarely name it.
    """

    recorded_until: float = float("-inf")
    # Servers may have gone cold in a zone that got no requests.
    returned_until: float = float("-inf")
    # Other machines have asked the server.
    told_until: float = float("-inf")
    _checked: _StatedTime = dataclasses.field(default_factory=_StatedTime)
    _answered: _StatedTime = dataclasses.field(default_factory=_StatedTime)

    @property
    def until(self) -> float:
        """When the server is warm."""
        return max(
            self.recorded_until,
            self.returned_until,
            self.told_until,
            self._checked.until,
            self._answered.until,
        )

    def apply_check(
        self, cold_s: float, *, sent_at: float, now: float
    ) -> None:
        """Apply the answer to a health check; 0 if it names no cold time."""
        self._checked.apply(cold_s, sent_at=sent_at, now=now)

    def apply_news(self, cold_s: float, *, now: float) -> None:
        """Apply what another machine has heard of the server."""
        self.told_until = max(self.told_until, now + cold_s)

    def apply_answer(
        self, cold_s: float, *, sent_at: float, now: float
    ) -> None:
        """Apply the answer to a request; 0 if it names no cold time."""
        self._answered.apply(cold_s, sent_at=sent_at, now=now)
