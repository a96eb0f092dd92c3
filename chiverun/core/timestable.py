"""Observed running times of the classes of all services."""

from collections.abc import Collection

from chiverun.core.errors import Outcome
from chiverun.core.exchange import classify
from chiverun.core.exchange import ExchangeEnd
from chiverun.core.health import observe_at_least
from chiverun.core.health import record
from chiverun.core.health import ServerHealth
from chiverun.core.ids import ServiceName
from chiverun.core.times import ClassTimes
from chiverun.core.waiting import QueueKey
from chiverun.core.work import Work

# A queued request is rejected when less time is left than this quantile of
# its class's running times: it would use a slot and miss its deadline.
START_QUANTILE = 0.9
HEDGE_QUANTILE = 0.95


class TimesTable(dict[QueueKey, ClassTimes]):
    """Running times by service and class; 0 without samples."""

    def expected_s(self, key: QueueKey, now: float) -> float:
        """Return the mean time of a class, which decays without samples."""
        times = self.get(key)
        return times.expected_s(now) if times else 0.0

    def median_s(self, key: QueueKey) -> float:
        """Return the median time of a class."""
        times = self.get(key)
        return times.quantile_s(0.5) if times else 0.0

    def hedge_delay_s(self, key: QueueKey) -> float | None:
        """Return the delay of a hedge; None while samples are too few."""
        times = self.get(key)
        return (times.quantile_s(HEDGE_QUANTILE) if times else 0.0) or None

    def latest_start(self, work: Work, now: float) -> float:
        """Return the time after which a waiting request is rejected."""
        times = self.get(work.key)
        needed_s = times.quantile_s(START_QUANTILE) if times else 0.0
        # At least half of the time left remains, so that a class is not
        # rejected for ever because of old slow samples.
        remaining_s = work.deadline - now
        return work.deadline - min(needed_s, remaining_s / 2.0)

    def record(
        self,
        work: Work,
        end: ExchangeEnd,
        elapsed_s: float,
        now: float,
        *,
        cancelled: bool,
        health: ServerHealth | None,
    ) -> None:
        """Record the running time of an exchange and the server's health.

        Parameters
        ----------
        work : Work
        end : ExchangeEnd
        elapsed_s : float
        now : float
            Monotonic seconds.
        cancelled : bool
            Whether the exchange was cancelled, so that `elapsed_s` is only
            a lower bound.
        health : ServerHealth or None
            Health of the server; None if it has been removed.
        """
        times = self.setdefault(work.key, ClassTimes())
        typical_s = times.mean_s
        if cancelled:
            times.record(elapsed_s, now)
            if health is not None:
                observe_at_least(health, elapsed_s, typical_s, now)
            return
        if classify(end).outcome is Outcome.ANSWERED:
            times.record(elapsed_s, now)
        if health is not None:
            record(health, end, elapsed_s, typical_s or times.mean_s, now)

    def keep(self, services: Collection[ServiceName]) -> None:
        """Remove the classes of all services but the given ones."""
        for key in [key for key in self if key[0] not in services]:
            del self[key]
