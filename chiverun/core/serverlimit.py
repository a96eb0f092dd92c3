"""Rate limits that backend servers name, shared by all machines.

A server names how many requests a second it takes from all machines together.
No machine knows what the others send, so each uses only its own share of the
limit. The shares follow from records that all machines hold, and their sum
does not depend on which machines can hear each other. What the machines do
tell each other is the limit itself: those without a share get no responses
that would show its end.
"""

import dataclasses
from collections.abc import Mapping

from chiverun.core.ids import InstanceId
from chiverun.core.ids import ServerName
from chiverun.core.placement import hash_fraction
from chiverun.core.statednumbers import LIMIT_PER_S

# Machines that may share any limit, and the seconds of the rate by which their
# number grows. Each can send a request at any moment, so this is also what all
# of them may send ahead of the rate.
SENDERS_MIN = 4.0
SENDERS_RATE_S = 1.0
# What a machine may send ahead of its rate: one request and these seconds.
BURST_REQUESTS = 1.0
BURST_RATE_S = 0.5
# A machine without a share cannot see that the limit has ended. It tries the
# server again after this time without news, also from other machines.
LIMIT_MEMORY_S = LIMIT_PER_S.valid_s
# Limits in force are reported to other machines if they are no older, so that
# reports of a machine that gets no more responses end.
REPORT_AGE_MAX_S = 5.0
# A report of a limit must be this much later than the end or the other limit
# that is known: it seems later than it is, by its way from machine to machine.
REPORT_MARGIN_S = 1.0
# A server that takes nothing still gets this many requests a second, from
# which the machines see when it takes more.
PER_S_MIN = 0.1


@dataclasses.dataclass(frozen=True, kw_only=True)
class LimitNews:
    """What a server said of its limit, and how long ago.

    `per_s` is None if it names no limit any more.
    """

    per_s: float | None
    age_s: float


@dataclasses.dataclass(kw_only=True)
class NamedLimit:
    """The limit that a server has named last; times are monotonic seconds.

    `per_s` is the number of requests a second that the server takes from all
    machines together, None if it names no limit. `seen_at` is when a response
    to this machine named one last, `named_at` the same for any machine.
    """

    per_s: float | None = None
    seen_at: float = float("-inf")
    named_at: float = float("-inf")
    ended_at: float = float("-inf")

    def apply(
        self, per_s: float | None, *, sent_at: float, now: float
    ) -> bool:
        """Apply what a response says; return whether the limit changed.

        A response that names no limit ends the limit only if its request was
        sent after the limit was named last: its head can be older than that.
        """
        if per_s is None and sent_at <= self.named_at:
            return False
        if per_s is not None:
            self.seen_at = now
        return self._set(per_s, now)

    def apply_news(self, news: LimitNews, now: float) -> bool:
        """Apply what another machine heard; return whether it changed.

        An end is believed unless a later response says otherwise: if it is
        wrong, the next response tells, but a machine without a share may not
        get any.
        """
        said_at = now - news.age_s
        if news.per_s is None:
            is_news = self.per_s is not None and said_at > self.seen_at
        elif self.per_s is None:
            is_news = said_at > self.ended_at + REPORT_MARGIN_S
        elif news.per_s == self.per_s:
            is_news = said_at > self.named_at
        else:
            is_news = said_at > max(
                self.named_at, self.seen_at + REPORT_MARGIN_S
            )
        return is_news and self._set(news.per_s, said_at)

    def news(self, now: float) -> LimitNews | None:
        """Return what other machines should know, None if nothing."""
        if self.per_s is not None:
            age_s, age_max_s = now - self.named_at, REPORT_AGE_MAX_S
        else:
            # As long as a machine may remember the limit.
            age_s, age_max_s = now - self.ended_at, LIMIT_MEMORY_S
        if age_s > age_max_s:
            return None
        return LimitNews(per_s=self.per_s, age_s=age_s)

    def in_force(self, now: float) -> float | None:
        """Return the rate to keep, None if there is no limit."""
        if self.per_s is None or now - self.named_at > LIMIT_MEMORY_S:
            return None
        return max(PER_S_MIN, self.per_s)

    def _set(self, per_s: float | None, said_at: float) -> bool:
        changed = per_s != self.per_s
        if per_s is not None:
            self.named_at = said_at
        elif changed:
            self.ended_at = said_at
        self.per_s = per_s
        return changed


class LimitBucket:
    """This machine's share of one server's limit.

    A bucket that starts empty, so that a restart brings no further requests
    and a pause none beyond the burst.
    """

    def __init__(self) -> None:
        self._per_s = 0.0
        self._tokens = 0.0
        self._updated_at = float("-inf")

    def set_rate(self, per_s: float, now: float) -> None:
        """Set the rate from `now` on; with 0 nothing may be sent."""
        self._advance(now)
        if per_s == 0:
            self._tokens = 0.0
        self._per_s = per_s

    def wait_s(self, now: float) -> float:
        """Return the time until a request may be sent, 0 if it may be now."""
        self._advance(now)
        missing = 1.0 - self._tokens
        if missing <= 0:
            return 0.0
        return missing / self._per_s if self._per_s else float("inf")

    def take(self) -> None:
        """Count a request that is sent."""
        self._tokens -= 1.0

    def _advance(self, now: float) -> None:
        most = BURST_REQUESTS + BURST_RATE_S * self._per_s
        elapsed_s = max(0.0, now - self._updated_at) if self._per_s else 0.0
        self._tokens = min(most, self._tokens + elapsed_s * self._per_s)
        self._updated_at = now


def senders_max(per_s: float) -> int:
    """Return how many machines may share a limit."""
    return max(1, int(SENDERS_MIN + SENDERS_RATE_S * per_s))


def sender_shares(
    server: ServerName, weights: Mapping[InstanceId, float], count: int
) -> dict[InstanceId, float]:
    """Return each sending machine's share of a server's limit.

    With more machines than `count`, priority sampling (Duffield, Lund and
    Thorup, 2007) selects that many by weight, so that the expected share of
    a machine is its weight. All machines compute the same shares.

    Parameters
    ----------
    server : ServerName
    weights : Mapping[InstanceId, float]
        What each machine is expected to send, relative to the others.
    count : int
        Number of machines that may share the limit.
    """
    priorities = {
        name: weight / max(1e-9, hash_fraction(f"limit\0{server}\0{name}"))
        for name, weight in weights.items()
        if weight > 0
    }
    ranked = sorted(
        priorities, key=lambda name: (priorities[name], name), reverse=True
    )
    senders = ranked[:count]
    threshold = priorities[ranked[count]] if len(ranked) > count else 0.0
    sizes = {name: max(weights[name], threshold) for name in senders}
    total = sum(sizes.values())
    return {name: size / total for name, size in sizes.items()}
