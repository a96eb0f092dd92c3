"""Requests under which backend servers have ended.

When a server ends, each request that ran there may be the cause. The cause is
in each end that it meets and is never answered; the others are in one of them
by chance. A request that has met two ends and was not answered lately is sent
to no further server for a while, whoever asks for it.
"""

import collections
import dataclasses
import hashlib
from typing import NewType

import msgspec

from chiverun.core.body import Body
from chiverun.core.ids import ServerName

# What a request asks for; its id changes when a client returns with it.
Fingerprint = NewType("Fingerprint", bytes)

# Ends that a request may meet before it is sent to no further server.
ENDS_MAX = 2
# An end counts for this time, and an answer clears a request for as long.
MEMORY_S = 60.0
# Answered requests that are remembered, the latest ones. Only those asked for
# often can be running at several servers when these end.
ANSWERED_MAX = 4096
# A larger body is told apart by its first bytes and its length.
BODY_BYTES_MAX = 64 * 1024
# Only requests that were running when a server ended take up a place.
REQUESTS_MAX = 4096
_FINGERPRINT_BYTES = 16


class EndedServer(msgspec.Struct, frozen=True, kw_only=True):
    """A server process that has ended; the name may be used again."""

    server: ServerName
    started_ms: int


@dataclasses.dataclass(kw_only=True)
class Suspect:
    """The ends that a request has met; times are monotonic seconds."""

    ends: set[EndedServer] = dataclasses.field(default_factory=set)
    ended_at: float = float("-inf")


class SuspectTable:
    """Requests that have met ends of servers, the latest last."""

    def __init__(self) -> None:
        self._rows: collections.OrderedDict[Fingerprint, Suspect] = (
            collections.OrderedDict()
        )
        # When a request was last answered, the latest last.
        self._answered_at: collections.OrderedDict[Fingerprint, float] = (
            collections.OrderedDict()
        )

    def record_end(
        self, fingerprint: Fingerprint, server: EndedServer, now: float
    ) -> bool:
        """Record that a server ended under a request.

        Return whether this is news: a server ends once, also if several
        instances tell of it.
        """
        answered_at = self._answered_at.get(fingerprint, float("-inf"))
        if now - answered_at < MEMORY_S:
            return False
        row = self._row(fingerprint, now)
        if server in row.ends or len(row.ends) >= ENDS_MAX:
            return False
        row.ends.add(server)
        row.ended_at = now
        return True

    def record_answer(self, fingerprint: Fingerprint, now: float) -> None:
        """Clear a request that a server has answered."""
        self._rows.pop(fingerprint, None)
        self._answered_at[fingerprint] = now
        self._answered_at.move_to_end(fingerprint)
        if len(self._answered_at) > ANSWERED_MAX:
            self._answered_at.popitem(last=False)

    def is_blocked(self, fingerprint: Fingerprint, now: float) -> bool:
        """Return whether a request may be sent to no further server."""
        row = self._rows.get(fingerprint)
        if row is None or now - row.ended_at > MEMORY_S:
            return False
        return len(row.ends) >= ENDS_MAX

    def ends(self, fingerprint: Fingerprint) -> list[EndedServer]:
        """Return the servers that ended under a request."""
        row = self._rows.get(fingerprint)
        return sorted(row.ends, key=lambda end: end.server) if row else []

    def __bool__(self) -> bool:
        return bool(self._rows)

    def _row(self, fingerprint: Fingerprint, now: float) -> Suspect:
        row = self._rows.pop(fingerprint, None)
        if row is None or now - row.ended_at > MEMORY_S:
            row = Suspect()
        self._rows[fingerprint] = row
        if len(self._rows) > REQUESTS_MAX:
            self._rows.popitem(last=False)
        return row


def fingerprint_of(
    *, method: str, host: str, target: str, body: bytes | Body
) -> Fingerprint:
    """Return what a request asks for, as a hash."""
    digest = hashlib.blake2b(digest_size=_FINGERPRINT_BYTES)
    for part in (method, host.lower(), target):
        digest.update(part.encode("utf-8", "surrogatepass"))
        digest.update(b"\0")
    digest.update(len(body).to_bytes(8, "big"))
    digest.update(body[:BODY_BYTES_MAX])
    return Fingerprint(digest.digest())
