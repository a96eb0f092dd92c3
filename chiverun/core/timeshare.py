"""Shares of processing time among the peers whose bytes are processed.

A limit in bytes bounds memory, not time: bytes in small pieces take a thousand
times longer than the same number in one piece. So time itself is accounted.
"""

import dataclasses

# Longest time that the bytes of one peer are processed without a break.
TURN_S = 0.001
# Time that each complete message may take; no more than the work of handling
# it, and what sound peers need. Only what is beyond it counts.
MESSAGE_S = 0.001
# Part of the time that a peer may use beyond that of its messages.
OWN_SHARE = 0.05
# Time that a peer may use at once; one that used more waits.
DEBT_MAX_S = 0.02
# A peer that stops being costly is as any other again after
# ``(DEBT_LIMIT_S - DEBT_MAX_S) / OWN_SHARE``, also if the process was paused
# while its bytes were processed.
DEBT_LIMIT_S = 0.1
# Part of the time for all the peers together that have to wait.
WAITING_SHARE = 0.25


@dataclasses.dataclass(kw_only=True)
class TimeDebt:
    """Time that a peer has used lately beyond its own share.

    `message_s` is the time used since its last complete message.
    """

    debt_s: float = 0.0
    charged_at: float = 0.0
    message_s: float = 0.0

    def debt_at(self, now: float) -> float:
        """Return the debt at a time, in seconds."""
        return max(0.0, self.debt_s - OWN_SHARE * (now - self.charged_at))

    def charge(self, seconds: float, now: float) -> None:
        """Add time that was used."""
        self.debt_s = min(DEBT_LIMIT_S, self.debt_at(now) + seconds)
        self.charged_at = now
        self.message_s += seconds

    def complete_message(self) -> None:
        """Take back what a complete message was charged, within its limit."""
        self.debt_s = max(0.0, self.debt_s - min(self.message_s, MESSAGE_S))
        self.message_s = 0.0

    def must_wait(self, now: float) -> bool:
        """Return whether the peer waits for its turn."""
        return self.debt_at(now) > DEBT_MAX_S


class Pace:
    """When the waiting peers, together, have their next turn."""

    def __init__(self) -> None:
        self.next_at = 0.0

    def note(self, seconds: float, now: float) -> None:
        """Note a turn that has just ended.

        Time that was not used is saved up, to that of one turn.
        """
        saved_from = now - TURN_S / WAITING_SHARE
        self.next_at = max(self.next_at, saved_from) + seconds / WAITING_SHARE
