"""Requests in flight at servers, summed over the instances of a region."""

import collections
import dataclasses
import math
from collections.abc import Mapping

from chiverun.core.ids import BootId
from chiverun.core.ids import InstanceId
from chiverun.core.ids import ServerName
from chiverun.core.statednumbers import is_later_message
from chiverun.core.statednumbers import TRANSIT_S

# Reports and totals that are older are not used.
AGE_MAX_S = 1.0
# Clocks of two machines drift apart by less than this part.
CLOCK_DRIFT = 1e-3
# Totals are sent again for a change of at least this many requests, and those
# of servers with free slots for a change by as many as they have slots: there
# nothing waits.
CHANGE_MIN = 2


class TransitAge:
    """How much later than usual a sender's messages arrive.

    There is no common clock, so the fastest message so far is taken to have
    arrived at once.
    """

    def __init__(self) -> None:
        self._offset_s = math.inf
        self._seen_at = 0.0

    def of(self, sent_at: float, now: float) -> float:
        """Return the age in seconds of a message that arrives now.

        Parameters
        ----------
        sent_at : float
            Time of sending by the sender's clock.
        now : float
            Time by the own clock.
        """
        offset_s = now - sent_at
        if abs(offset_s - self._offset_s) > TRANSIT_S.high:
            # This time or the one before is wrong; the newer one counts.
            self._offset_s = math.inf
        drift_s = CLOCK_DRIFT * max(0.0, now - self._seen_at)
        self._offset_s = min(self._offset_s + drift_s, offset_s)
        self._seen_at = now
        return offset_s - self._offset_s


@dataclasses.dataclass(kw_only=True)
class Sequence:
    """Messages of one process of a sender: newer ones, and not late."""

    sender: InstanceId
    boot_id: BootId
    number: int = -1
    age: TransitAge = dataclasses.field(default_factory=TransitAge)

    def accepts(self, number: int, sent_at: float, now: float) -> bool:
        """Record a message; return whether it may be used."""
        age_s = self.age.of(sent_at, now)
        if not is_later_message(number, self.number) or age_s > AGE_MAX_S:
            return False
        self.number = number
        return True

    def is_of(self, sender: InstanceId, boot_id: BootId) -> bool:
        """Return whether a message is of this process."""
        return (self.sender, self.boot_id) == (sender, boot_id)


@dataclasses.dataclass(frozen=True, kw_only=True)
class LoadCounts:
    """Counts by server as one process states them.

    A complete message states all that are not 0, another one only those that
    have changed, so that the next complete one makes up for a lost one.
    """

    sender: InstanceId
    boot_id: BootId
    number: int
    sent_at: float
    counts: Mapping[ServerName, int]
    is_complete: bool


@dataclasses.dataclass(kw_only=True)
class StatedCounts:
    """The counts that one sender states, as far as they have arrived."""

    sequence: Sequence
    counts: dict[ServerName, int] = dataclasses.field(default_factory=dict)
    heard_at: float = float("-inf")
    # Whether a complete message has arrived.
    is_whole: bool = False
    # Whether messages have been lost since then.
    has_gap: bool = False

    def apply(self, message: LoadCounts, now: float) -> bool:
        """Apply a message; return whether it was used."""
        last = self.sequence.number
        if not self.sequence.accepts(message.number, message.sent_at, now):
            return False
        if message.is_complete:
            self.counts.clear()
            self.is_whole = True
            self.has_gap = False
        elif message.number != last + 1:
            self.has_gap = True
        self.counts.update(message.counts)
        self.heard_at = now
        return True


class LoadTotals:
    """Sums of what the instances of a region state, at its hub."""

    def __init__(self) -> None:
        self._rows: dict[InstanceId, StatedCounts] = {}

    def record(self, message: LoadCounts, now: float) -> bool:
        """Record the counts of an instance.

        Return whether the message makes up for lost ones.
        """
        row = self._rows.get(message.sender)
        if row is None or not row.sequence.is_of(
            message.sender, message.boot_id
        ):
            sequence = Sequence(sender=message.sender, boot_id=message.boot_id)
            row = self._rows[message.sender] = StatedCounts(sequence=sequence)
        last = row.sequence.number
        had_gap = row.has_gap or 0 <= last < message.number - 1
        return row.apply(message, now) and had_gap and message.is_complete

    def totals(
        self, now: float, silent_after_s: float
    ) -> dict[ServerName, int]:
        """Return the sums by server of the instances that report."""
        self._rows = {
            name: row
            for name, row in self._rows.items()
            if now - row.heard_at <= silent_after_s
        }
        sums: collections.Counter[ServerName] = collections.Counter()
        for row in self._rows.values():
            sums.update(row.counts)
        return {name: count for name, count in sums.items() if count > 0}


def changed_counts(
    sent: Mapping[ServerName, int],
    counts: Mapping[ServerName, int],
    slots: Mapping[ServerName, int],
) -> dict[ServerName, int]:
    """Return the counts to send, 0 for servers that have none any more.

    Parameters
    ----------
    sent, counts : Mapping
        As last sent, and now.
    slots : Mapping
        A small change counts only for servers that are not in it.
    """
    changed = {}
    for name in {*sent, *counts}:
        count = counts.get(name, 0)
        before = sent.get(name, 0)
        least = CHANGE_MIN
        if name not in slots:
            least = 1
        elif max(count, before) <= slots[name]:
            least = slots[name]
        if abs(count - before) >= least:
            changed[name] = count
    return changed
