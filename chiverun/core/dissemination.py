"""Dissemination of adverts, drain notices and tickets.

Anti-entropy: every ping and acknowledgement carries the sender's ticket
number, so any exchange shows which side is behind. Announcements only
shorten the delay.
"""

import collections
import dataclasses
import random
from typing import TYPE_CHECKING

import msgspec

from chiverun.core.ids import Address
from chiverun.core.ids import ServerName
from chiverun.core.ids import ZoneName
from chiverun.core.messages import Advert
from chiverun.core.messages import DrainNotice
from chiverun.core.messages import StateChunk
from chiverun.core.state import encode_state
from chiverun.core.state import State
from chiverun.core.tables import DrainTable
from chiverun.core.tables import Member
from chiverun.core.tables import MemberTable
from chiverun.core.ticket import Server
from chiverun.core.ticket import Zone
from chiverun.core.ticket import ZoneState
from chiverun.core.ticketentry import encode_entry
from chiverun.core.ticketrecords import ENTRIES_KEPT

if TYPE_CHECKING:
    from chiverun.core.ticketentry import Entry

ADVERTS_PER_MESSAGE = 6
# Older adverts are not forwarded.
ADVERT_MAX_AGE_S = 10.0
ANNOUNCE_IN_ZONE = 3
ANNOUNCE_REMOTE = 1
# `ENTRIES_KEPT` (256) tickets of the largest size would exceed the 32 MB that
# the control plane of an instance may use.
RECENT_BYTES_MAX = 8 * 1024 * 1024
# Time after which an unanswered pull is repeated.
PULL_RETRY_S = 0.5
FRUITLESS_PULLS_MAX = 6
FRUITLESS_PULL_RETRY_S = 10.0
_PEERS_MAX = 1024
BATCH_BYTES = 256 * 1024
BATCHES_MAX = 64
CONTACTS_PER_ZONE = 3
CHUNK_BYTES = 256 * 1024
# Limits the memory for the chunks of a state.
CHUNKS_MAX = 256
DRAIN_NOTICE_S = 10.0
DRAIN_NOTICES_PER_MESSAGE = 16


def select_adverts(
    members: MemberTable, now: float, rng: random.Random
) -> tuple[Advert, ...]:
    """Choose adverts of other instances to forward, with their age."""
    fresh = [
        m
        for m in members.rows.values()
        if m.advert is not None
        and m.is_live
        and now - m.measured_at <= ADVERT_MAX_AGE_S
    ]
    chosen = rng.sample(fresh, min(ADVERTS_PER_MESSAGE, len(fresh)))
    return tuple(
        msgspec.structs.replace(
            m.advert, age_ms=max(0, int((now - m.measured_at) * 1000))
        )
        for m in chosen
    )


def select_remote(
    members: MemberTable, zone: ZoneName, rng: random.Random
) -> Member | None:
    """Choose a member of another zone, with zones equally likely."""
    others = sorted(z for z in members.by_zone if z != zone)
    if not others:
        return None
    return rng.choice(members.in_zone(rng.choice(others)))


def contacts_by_zone(
    members: MemberTable, zone: ZoneName, rng: random.Random
) -> list[Member]:
    """Choose up to `CONTACTS_PER_ZONE` live members of each other zone."""
    by_zone: dict[ZoneName, list[Member]] = {}
    for row in members.rows.values():
        if row.zone != zone and row.is_live:
            by_zone.setdefault(row.zone, []).append(row)
    return [
        row
        for _, rows in sorted(by_zone.items())
        for row in rng.sample(rows, min(CONTACTS_PER_ZONE, len(rows)))
    ]


def announce_targets(
    members: MemberTable, zone: ZoneName, rng: random.Random
) -> list[Member]:
    """Choose the members that are notified of a new ticket immediately."""
    local = members.live_in_zone(zone)
    targets = rng.sample(local, min(ANNOUNCE_IN_ZONE, len(local)))
    for _ in range(ANNOUNCE_REMOTE):
        remote = select_remote(members, zone, rng)
        if remote is not None:
            targets.append(remote)
    return targets


class RecentTickets:
    """The newest log entries, bounded by count and encoded size."""

    def __init__(self) -> None:
        self._entries: collections.deque[tuple[Entry, int]] = (
            collections.deque()
        )
        self._size_bytes = 0

    def append(self, entry: "Entry") -> None:
        """Add the newest entry; drop the oldest ones beyond the limits."""
        size = len(encode_entry(entry))
        self._entries.append((entry, size))
        self._size_bytes += size
        while len(self._entries) > 1 and (
            len(self._entries) > ENTRIES_KEPT
            or self._size_bytes > RECENT_BYTES_MAX
        ):
            self._size_bytes -= self._entries.popleft()[1]

    def clear(self) -> None:
        """Drop all entries, which do not lead to a state received whole."""
        self._entries.clear()
        self._size_bytes = 0

    def entries(self) -> list["Entry"]:
        """Return the entries, oldest first; thread-safe."""
        return [entry for entry, _ in self._entries.copy()]


@dataclasses.dataclass(kw_only=True)
class _Offer:
    """Offered ticket number of a peer and pulls without a new ticket."""

    number: int
    pulls: int = 0
    pulled_at: float = float("-inf")


class PullSchedule:
    """Decides when to pull tickets from a peer that offers newer ones.

    A number is pulled again after `PULL_RETRY_S`. A peer that has answered
    `FRUITLESS_PULLS_MAX` pulls without an applicable ticket usually has
    another history and would send its whole state each time: it is pulled
    from only every `FRUITLESS_PULL_RETRY_S`.
    """

    def __init__(self) -> None:
        self._number = 0
        self._pulled_at = float("-inf")
        self._offers: dict[Address, _Offer] = {}

    def allows(
        self, *, sender: Address, offered: int, own_number: int, now: float
    ) -> bool:
        """Return whether to pull now; if so, record the pull."""
        if offered <= own_number:
            return False
        # Compared for equality: a later number of another history must not
        # delay the pulls of this instance's history.
        is_repeated = offered == self._number
        if is_repeated and now - self._pulled_at < PULL_RETRY_S:
            return False
        offer = self._offers.get(sender)
        if offer is None or own_number >= offer.number:
            offer = _Offer(number=offered)
        if offer.pulls >= FRUITLESS_PULLS_MAX and (
            now - offer.pulled_at < FRUITLESS_PULL_RETRY_S
        ):
            return False
        offer.pulls += 1
        offer.pulled_at = now
        if len(self._offers) >= _PEERS_MAX:
            self._offers.clear()
        self._offers[sender] = offer
        self._number = offered
        self._pulled_at = now
        return True


def entries_after(
    recent: list["Entry"], number: int
) -> list[tuple["Entry", ...]] | None:
    """Return the entries after a number, one batch per message.

    Return None if some have been dropped, or if more than `BATCHES_MAX`
    messages would be needed: the whole state is cheaper to send then.
    """
    following = [e for e in recent if e.number > number]
    if not following or following[0].number != number + 1:
        return None
    batches: list[list[Entry]] = [[]]
    size = 0
    for entry in following:
        length = len(encode_entry(entry))
        if batches[-1] and size + length > BATCH_BYTES:
            batches.append([])
            size = 0
        batches[-1].append(entry)
        size += length
    if len(batches) > BATCHES_MAX:
        return None
    return [tuple(batch) for batch in batches]


def merge_chunk(
    chunks: dict[int, StateChunk], chunk: StateChunk
) -> dict[int, StateChunk]:
    """Add a chunk; drop the chunks of other states."""
    if not 0 <= chunk.index < chunk.total <= CHUNKS_MAX:
        return chunks
    same = {
        i: c
        for i, c in chunks.items()
        if (c.number, c.digest, c.total)
        == (chunk.number, chunk.digest, chunk.total)
    }
    return {**same, chunk.index: chunk}


def state_chunks(state: State) -> list[StateChunk]:
    """Split a whole state into messages."""
    data = encode_state(state)
    parts = [
        data[i : i + CHUNK_BYTES] for i in range(0, len(data), CHUNK_BYTES)
    ]
    return [
        StateChunk(
            number=state.number,
            digest=state.digest,
            index=index,
            total=len(parts),
            data=part,
        )
        for index, part in enumerate(parts)
    ]


def drained_servers(state: State, zone: ZoneName) -> frozenset[ServerName]:
    """Return all servers of a zone if the zone is in state drain."""
    record = state.of(Zone).get(zone)
    if record is None or record.state is ZoneState.ACTIVE:
        return frozenset()
    return frozenset(
        s.name for s in state.of(Server).values() if s.zone == zone
    )


def merge_drain_notices(
    table: DrainTable, notices: tuple[DrainNotice, ...], now: float
) -> None:
    """Merge the drain notices of other instances."""
    for notice in notices:
        until = now + DRAIN_NOTICE_S - notice.age_ms / 1000.0
        if until > max(now, table.until.get(notice.server, 0.0)):
            table.until[notice.server] = until


def select_drain_notices(
    table: DrainTable, now: float
) -> tuple[DrainNotice, ...]:
    """Return the drain notices to forward, newest first."""
    newest = sorted(table.until.items(), key=lambda item: -item[1])
    return tuple(
        DrainNotice(
            server=server, age_ms=int((now + DRAIN_NOTICE_S - until) * 1000)
        )
        for server, until in newest[:DRAIN_NOTICES_PER_MESSAGE]
        if until > now
    )
