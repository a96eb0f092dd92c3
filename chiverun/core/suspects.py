"""Requests under which backend servers have ended.

When a server ends, each request that ran there may be the cause. The cause is
in each end that it meets and is never answered; the others are in one of them
by chance. A request that has met two ends and was not answered lately is sent
to no further server for a while, whoever asks for it.
"""

import collections
import dataclasses
import hashlib
from typing import Annotated
from typing import NewType

import msgspec

from chiverun.core.body import Body
from chiverun.core.ids import ServerName

# What a request asks for; its id changes when a client returns with it.
Fingerprint = NewType("Fingerprint", bytes)

# Ends that a request may meet before it is sent to no further server.
ENDS_MAX = 2
# A send that began this much after an end was known met another process of
# that server: the connections of the one before have broken by then.
END_MARGIN_S = 0.25
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
_REPEAT_MAX = 2**31 - 1


class EndedServer(msgspec.Struct, frozen=True, kw_only=True):
    """A server process that has ended; the name may be used again.

    `repeat` numbers the processes that have ended under the same record: a
    server may start again before its new record is known, or without one.
    """

    server: ServerName
    started_ms: int
    repeat: Annotated[int, msgspec.Meta(ge=0, le=_REPEAT_MAX)] = 0


@dataclasses.dataclass(kw_only=True)
class Suspect:
    """The ends that a request has met; times are monotonic seconds.

    `ends` has the times at which this instance recorded them.
    """

    ends: dict[EndedServer, float] = dataclasses.field(default_factory=dict)
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
        self,
        fingerprint: Fingerprint,
        server: EndedServer,
        now: float,
        *,
        sent_at: float | None = None,
    ) -> bool:
        """Record that a server ended under a request.

        Return whether this is news: a process ends once, also if several
        instances tell of it.

        Parameters
        ----------
        fingerprint : Fingerprint
        server : EndedServer
            As known by its record, or as another instance tells of it.
        now : float
            Monotonic seconds.
        sent_at : float, optional
            When this instance began to send the request that met the end;
            None if another instance tells of it.
        """
        answered_at = self._answered_at.get(fingerprint, float("-inf"))
        if now - answered_at < MEMORY_S:
            return False
        row = self._row(fingerprint, now)
        if sent_at is not None:
            server = _ended_process(row, server, sent_at)
        if server in row.ends or len(row.ends) >= ENDS_MAX:
            return False
        row.ends[server] = now
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
        if row is None:
            return []
        return sorted(row.ends, key=lambda end: (end.server, end.repeat))

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


def _ended_process(
    row: Suspect, server: EndedServer, sent_at: float
) -> EndedServer:
    """Return the process that ended under a send that began at `sent_at`."""
    known = [
        (end.repeat, known_at)
        for end, known_at in row.ends.items()
        if (end.server, end.started_ms) == (server.server, server.started_ms)
    ]
    if not known:
        return server
    repeat, known_at = max(known)
    if sent_at > known_at + END_MARGIN_S:
        repeat += 1
    return msgspec.structs.replace(server, repeat=repeat)


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
