"""What messages carry: adverts, drain signs and tickets.

Anti-entropy: each ping and acknowledgement carries the ticket number, so
that any exchange shows who is behind; announcements only make it faster.
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
# Adverts older than this are not passed on.
ADVERT_MAX_AGE_S = 10.0
ANNOUNCE_IN_ZONE = 3
ANNOUNCE_REMOTE = 1
# Two hundred-odd tickets of the largest size would exceed the 32 MB that the
# control plane of an instance may use.
RECENT_BYTES_MAX = 8 * 1024 * 1024
# A pull that was not answered is repeated after this time.
PULL_RETRY_S = 0.5
FUTILE_PULLS = 6
FUTILE_PAUSE_S = 10.0
_OFFERS_MAX = 1024
BATCH_BYTES = 256 * 1024
BATCHES_MAX = 64
CONTACTS_PER_ZONE = 3
CHUNK_BYTES = 256 * 1024
# Bounds the memory that chunks of a state can take.
CHUNKS_MAX = 256
DRAIN_SIGN_S = 10.0
DRAIN_SIGNS_PER_MESSAGE = 16


def select_adverts(
    members: MemberTable, now: float, rng: random.Random
) -> tuple[Advert, ...]:
    """Choose adverts of other instances to pass on, with their age."""
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
    """Choose a member of another zone, each zone with equal chance."""
    others = sorted(z for z in members.by_zone if z != zone)
    if not others:
        return None
    return rng.choice(members.in_zone(rng.choice(others)))


def contacts_by_zone(
    members: MemberTable, zone: ZoneName, rng: random.Random
) -> list[Member]:
    """Choose live members of each other zone, at most three of a zone."""
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
    """Choose the members that are told of a new ticket at once."""
    local = members.live_in_zone(zone)
    targets = rng.sample(local, min(ANNOUNCE_IN_ZONE, len(local)))
    for _ in range(ANNOUNCE_REMOTE):
        remote = select_remote(members, zone, rng)
        if remote is not None:
            targets.append(remote)
    return targets


class RecentTickets:
    """The last tickets in force, bounded by number and encoded size."""

    def __init__(self) -> None:
        self._entries: collections.deque[tuple[Entry, int]] = (
            collections.deque()
        )
        self._bytes = 0

    def append(self, entry: "Entry") -> None:
        """Add the newest ticket; the oldest ones are dropped."""
        size = len(encode_entry(entry))
        self._entries.append((entry, size))
        self._bytes += size
        while len(self._entries) > 1 and (
            len(self._entries) > ENTRIES_KEPT or self._bytes > RECENT_BYTES_MAX
        ):
            self._bytes -= self._entries.popleft()[1]

    def clear(self) -> None:
        """Drop all: they do not lead to a state that was taken over."""
        self._entries.clear()
        self._bytes = 0

    def entries(self) -> list["Entry"]:
        """Return the tickets, oldest first; safe from other threads."""
        return [entry for entry, _ in self._entries.copy()]


@dataclasses.dataclass(kw_only=True)
class _Offer:
    """What a peer offered and how often it was pulled in vain."""

    number: int
    pulls: int = 0
    pulled_at: float = float("-inf")


class PullSchedule:
    """Decides when tickets are pulled from a peer that offers them.

    A number is pulled again after `PULL_RETRY_S`. A peer whose tickets were
    not applied `FUTILE_PULLS` times is on another history, as a rule, and
    would send its whole state with each pull: it is asked every
    `FUTILE_PAUSE_S`.
    """

    def __init__(self) -> None:
        self._number = 0
        self._pulled_at = float("-inf")
        self._offers: dict[Address, _Offer] = {}

    def allows(
        self, *, sender: Address, offered: int, own: int, now: float
    ) -> bool:
        """Tell whether to pull now, and note it."""
        if offered <= own:
            return False
        # Compared for equality: a later number of another history must not
        # hold up the pulls of the own one.
        is_asked = offered == self._number
        if is_asked and now - self._pulled_at < PULL_RETRY_S:
            return False
        offer = self._offers.get(sender)
        if offer is None or own >= offer.number:
            offer = _Offer(number=offered)
        if offer.pulls >= FUTILE_PULLS and (
            now - offer.pulled_at < FUTILE_PAUSE_S
        ):
            return False
        offer.pulls += 1
        offer.pulled_at = now
        if len(self._offers) >= _OFFERS_MAX:
            self._offers.clear()
        self._offers[sender] = offer
        self._number = offered
        self._pulled_at = now
        return True


def entries_after(
    recent: list["Entry"], number: int
) -> list[tuple["Entry", ...]] | None:
    """Return the tickets that follow a number, cut into messages.

    None means that some are gone, or that the whole state is cheaper to
    send: more than `BATCHES_MAX` messages.
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
    """Add a chunk to those of the same state; others are dropped."""
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
    """Cut a whole state into messages."""
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
    """Return the servers of a zone that a ticket drains as a whole."""
    record = state.of(Zone).get(zone)
    if record is None or record.state is ZoneState.ACTIVE:
        return frozenset()
    return frozenset(
        s.name for s in state.of(Server).values() if s.zone == zone
    )


def merge_drain_signs(
    table: DrainTable, signs: tuple[DrainNotice, ...], now: float
) -> None:
    """Take over drain signs of other instances."""
    for sign in signs:
        until = now + DRAIN_SIGN_S - sign.age_ms / 1000.0
        if until > max(now, table.until.get(sign.server, 0.0)):
            table.until[sign.server] = until


def select_drain_signs(
    table: DrainTable, now: float
) -> tuple[DrainNotice, ...]:
    """Return the drain signs to pass on, newest first."""
    newest = sorted(table.until.items(), key=lambda item: -item[1])
    return tuple(
        DrainNotice(
            server=server, age_ms=int((now + DRAIN_SIGN_S - until) * 1000)
        )
        for server, until in newest[:DRAIN_SIGNS_PER_MESSAGE]
        if until > now
    )
