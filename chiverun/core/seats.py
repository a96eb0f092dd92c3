"""Claim, transfer and suspension of seats.

A seat is the right to a share of a zone's slots. The functions here only make
decisions; `runtime.storeworker` updates the store's record of a zone's seats
by compare-and-swap.
"""

import dataclasses
import math
import random
from collections.abc import Iterable
from collections.abc import Mapping
from typing import TYPE_CHECKING

import msgspec
import xxhash

from chiverun.core.admission import CLOCK_MARGIN_S
from chiverun.core.ids import BootId
from chiverun.core.ids import SeatIndex
from chiverun.core.ids import ZoneName
from chiverun.core.membership import DIRECT_PINGS
from chiverun.core.membership import SUSPECT_S
from chiverun.core.messages import MemberState
from chiverun.core.messages import SeatHolderRecord
from chiverun.core.shift import SHIFT_WINDOW_S
from chiverun.core.tables import Held
from chiverun.core.tables import Member
from chiverun.core.tables import MemberTable
from chiverun.core.tables import OldDeadlines
from chiverun.core.tables import Owner
from chiverun.core.tables import SeatHolder
from chiverun.core.tables import SeatTable
from chiverun.core.ticket import Length
from chiverun.core.ticket import Server
from chiverun.core.ticket import Service
from chiverun.core.ticket import Zone

if TYPE_CHECKING:
    from chiverun.core.state import State

CLAIM_PERIOD_S = 1.0
REQUEST_PERIOD_S = 1.0
TRANSFER_RESEND_S = 0.5
# A transfer that was queued for longer is rejected: its sender may have been
# paused, and the seat claimed, before the message reached the network.
TRANSFER_AGE_MAX_S = 2.0
# Wait of a claimant after a holder has been declared dead, in addition to
# the detection time.
DEAD_BEFORE_CLAIM_S = 1.0
# Time for a live holder, wrongly declared dead, to learn of a claim.
CLAIM_NOTICE_MARGIN_S = 2.0
CLAIM_LISTEN_S = 3.0
# Time for a live instance to accept a seat transferred to it, before other
# instances may claim the seat.
UNCOVERED_S = 10.0
# A claim raises the epoch by more than the number of transfers that a live
# holder, wrongly declared dead, can make before it learns of the claim. The
# claim thus has a higher epoch than all of them.
CLAIM_EPOCH_STEP = 64
# Limits the table entries that messages can create.
SEATS_MAX = 4096
OLD_DEADLINES_MAX = 32


class SeatRecord(msgspec.Struct, frozen=True, kw_only=True):
    """The store's record of a zone's seats; a missing seat has no owner.

    `epochs` holds the last epoch of seats that have been released.
    """

    owners: dict[SeatIndex, Owner] = {}
    epochs: dict[SeatIndex, int] = {}

    def epoch(self, seat: SeatIndex) -> int:
        """Return the last epoch of a seat; 0 if it has never been held."""
        owner = self.owners.get(seat)
        return max(self.epochs.get(seat, 0), owner.epoch if owner else 0)


@dataclasses.dataclass(frozen=True, kw_only=True)
class ClaimPlan:
    """Input of a claim by the store worker.

    `ended` are processes that accept no more requests. `known_holders` are
    the latest holders of the seats, which the record may not contain yet.
    `overdue` are seats without a holder for `UNCOVERED_S`. This instance has
    rank `rank` among `live` instances and prefers every `live`-th seat, since
    adjacent seats share the slots of a server.
    """

    missing: frozenset[SeatIndex]
    claims_max: int
    rank: int
    live: int
    ended: frozenset[BootId]
    known_holders: Mapping[SeatIndex, SeatHolder]
    overdue: frozenset[SeatIndex]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Claim:
    """A seat to claim; `was_used` if requests may still run on its slots."""

    seat: SeatIndex
    epoch: int
    was_used: bool


def share(seats: int, live: int) -> int:
    """Return the maximum number of seats for each of `live` instances."""
    return math.ceil(seats / max(1, live))


def record_holder(
    table: SeatTable, seat: SeatIndex, holder: SeatHolder
) -> bool:
    """Store a seat's holder if it is newer; return whether it was stored."""
    current = table.known_holders.get(seat)
    if not 0 <= seat < SEATS_MAX or (
        current is not None and holder <= current
    ):
        return False
    table.known_holders[seat] = holder
    table.digest = None
    return True


def holders_digest(table: SeatTable) -> int:
    """Return a hash of the known holders; 0 if there are none."""
    if table.digest is None:
        known_holders = sorted(
            (s, m.epoch, m.boot_id) for s, m in table.known_holders.items()
        )
        data = msgspec.msgpack.encode(known_holders) if known_holders else b""
        table.digest = xxhash.xxh32_intdigest(data) if data else 0
    return table.digest


def newer_holders(
    table: SeatTable, known_holders: Iterable[SeatHolderRecord]
) -> tuple[SeatHolderRecord, ...]:
    """Return the known holders that are newer than the given ones."""
    return tuple(
        SeatHolderRecord(seat=m.seat, epoch=known.epoch, boot_id=known.boot_id)
        for m in known_holders
        if (known := table.known_holders.get(m.seat)) is not None
        and known > SeatHolder(m.epoch, m.boot_id)
    )


def lost_seats(table: SeatTable, boot_id: BootId) -> set[SeatIndex]:
    """Return held or releasing seats that have a later holder."""
    own_seats = {**table.releasing, **table.held}
    return {
        seat
        for seat, held in own_seats.items()
        if seat in table.known_holders
        and table.known_holders[seat] > SeatHolder(held.epoch, boot_id)
    }


def covered_seats(
    table: SeatTable, members: MemberTable, zone: ZoneName
) -> set[SeatIndex]:
    """Return the seats that live instances hold or are transferring."""
    covered = set(table.held) | set(table.releasing) | set(table.transfers)
    for row in members.live_in_zone(zone):
        if row.advert is not None:
            covered.update(c.seat for c in row.advert.seats)
    return covered


def ended_boots(
    members: MemberTable, zone: ZoneName, now: float
) -> frozenset[BootId]:
    """Return the boot IDs of processes that have ended or count as dead.

    A member that others have declared dead counts only if this instance's
    own pings to it have not been answered either.
    """
    silent = {
        row.boot_id
        for row in members.in_zone(zone)
        if row.boot_id is not None
        and row.state is MemberState.DEAD
        and now - row.state_since >= DEAD_BEFORE_CLAIM_S
        and now - row.measured_at >= SUSPECT_S
        and row.acked_at <= row.state_since
        and row.checks >= DIRECT_PINGS
        and now - row.checked_at >= DEAD_BEFORE_CLAIM_S / 2
    }
    return frozenset(silent | set(members.ended))


def select_claims(
    record: SeatRecord, plan: ClaimPlan, claimant: Owner
) -> list[Claim]:
    """Return the seats to claim, given the store's record.

    Seats that the record assigns to the claimant's own process are claimed
    even above the share, since no other instance may claim them.

    Parameters
    ----------
    record : SeatRecord
        The record as last read from the store.
    plan : ClaimPlan
    claimant : Owner
        Owner entry of the claiming process.
    """
    claims = []
    for seat in sorted(
        plan.missing, key=lambda s: (s % plan.live != plan.rank, s)
    ):
        owner = record.owners.get(seat)
        is_own = owner is not None and owner.boot_id == claimant.boot_id
        if len(claims) >= plan.claims_max and not is_own:
            continue
        if owner is not None and not _has_ended(owner, plan, claimant):
            continue
        holder = plan.known_holders.get(seat, SeatHolder(0, BootId("")))
        epoch = record.epoch(seat)
        if (
            holder.epoch > epoch
            and holder.boot_id not in plan.ended
            and holder.boot_id != claimant.boot_id
            and seat not in plan.overdue
        ):
            continue
        epoch = max(epoch, holder.epoch)
        claims.append(
            Claim(
                seat=seat, epoch=epoch + CLAIM_EPOCH_STEP, was_used=epoch > 0
            )
        )
    return claims


def _has_ended(owner: Owner, plan: ClaimPlan, claimant: Owner) -> bool:
    # An owner with this process's address is an earlier process, since only
    # one process at a time can bind an address. An equal instance name is no
    # proof: a replacement on another host may have the same name.
    return (
        owner.boot_id in plan.ended
        or claimant.boot_id == owner.boot_id
        or (owner.peer == claimant.peer)
    )


def with_owners(
    record: SeatRecord, owners: Mapping[SeatIndex, Owner]
) -> SeatRecord:
    """Return the record with new owners; ignore owners of older epochs."""
    merged = dict(record.owners)
    for seat, owner in owners.items():
        if owner.epoch > record.epoch(seat):
            merged[seat] = owner
    return SeatRecord(owners=merged, epochs=record.epochs)


def without_owner(
    record: SeatRecord, seat: SeatIndex, epoch: int
) -> SeatRecord:
    """Return the record with a seat released at an epoch."""
    owner = record.owners.get(seat)
    if owner is not None and owner.epoch > epoch:
        return record
    owners = {s: o for s, o in record.owners.items() if s != seat}
    epochs = {**record.epochs, seat: max(epoch, record.epochs.get(seat, 0))}
    return SeatRecord(owners=owners, epochs=epochs)


def longest_deadline_s(state: "State", length: Length) -> float:
    """Return the longest deadline of classes of a length, in seconds."""
    deadlines = [
        c.deadline_ms
        for service in state.of(Service).values()
        for c in service.classes
        if c.length is length
    ]
    return max(deadlines, default=0) / 1000.0


def keep_old_deadlines(
    table: SeatTable,
    old: "State",
    new: "State",
    zone: ZoneName,
    now: float,
) -> None:
    """Keep the deadlines of the old state while its requests may still run.

    A change of the number of seats assigns slots to other seats. Held seats
    are then closed until the requests on their slots have ended.
    """
    table.old_deadlines = [o for o in table.old_deadlines if o.until > now]
    short_s = longest_deadline_s(old, Length.SHORT)
    long_s = longest_deadline_s(old, Length.LONG)
    long_slots_changed = _long_slots(old) != _long_slots(new)
    seat_count_changed = zone in old.of(Zone) and old.of(Zone)[
        zone
    ].seats != _seat_count(new, zone)
    until = now + max(short_s, long_s) + CLOCK_MARGIN_S
    if seat_count_changed:
        for held in table.held.values():
            held.short_opens_at = max(held.short_opens_at, until)
            held.long_opens_at = max(held.long_opens_at, until)
    if (
        long_slots_changed
        or seat_count_changed
        or longest_deadline_s(new, Length.SHORT) < short_s
        or longest_deadline_s(new, Length.LONG) < long_s
    ):
        kept = OldDeadlines(
            until=until,
            short_s=short_s,
            long_s=long_s,
            long_slots_changed=long_slots_changed or seat_count_changed,
            seat_count_changed=seat_count_changed,
        )
        table.old_deadlines.append(kept)
    if len(table.old_deadlines) > OLD_DEADLINES_MAX:
        first, second = table.old_deadlines[:2]
        table.old_deadlines[:2] = [_merge_deadlines(first, second)]


def _merge_deadlines(
    first: OldDeadlines, second: OldDeadlines
) -> OldDeadlines:
    return OldDeadlines(
        until=max(first.until, second.until),
        short_s=max(first.short_s, second.short_s),
        long_s=max(first.long_s, second.long_s),
        long_slots_changed=first.long_slots_changed
        or second.long_slots_changed,
        seat_count_changed=first.seat_count_changed
        or second.seat_count_changed,
    )


def _seat_count(state: "State", zone: ZoneName) -> int:
    row = state.of(Zone).get(zone)
    return row.seats if row is not None else 0


def _long_slots(state: "State") -> dict[str, int]:
    return {s.name: s.long_slots for s in state.of(Server).values()}


def held_after_claim(
    table: SeatTable, state: "State", claim: Claim, now: float
) -> Held:
    """Return a claimed seat that opens when no earlier request can run."""
    old_deadlines = [o for o in table.old_deadlines if o.until > now]
    if not claim.was_used and not any(
        o.seat_count_changed for o in old_deadlines
    ):
        return Held(epoch=claim.epoch, short_opens_at=now, long_opens_at=now)
    short_s = longest_deadline_s(state, Length.SHORT)
    long_s = longest_deadline_s(state, Length.LONG)
    for old in old_deadlines:
        long_s = max(long_s, old.long_s)
        short_s = max(
            short_s, long_s if old.long_slots_changed else old.short_s
        )
    margin_s = CLOCK_MARGIN_S + CLAIM_NOTICE_MARGIN_S
    short_opens_at = now + max(short_s + margin_s, SHIFT_WINDOW_S)
    return Held(
        epoch=claim.epoch,
        short_opens_at=short_opens_at,
        long_opens_at=max(short_opens_at, now + long_s + margin_s),
    )


def held_after_transfer(
    epoch: int, now: float, short_opens_at: float, long_opens_at: float
) -> Held:
    """Return a seat transferred by its idle holder.

    It opens after one window of the shift limiter, since admissions of the
    earlier holder still count in that window, and no earlier than it would
    have opened for that holder.
    """
    opens_at = now + SHIFT_WINDOW_S
    return Held(
        epoch=epoch,
        short_opens_at=max(opens_at, short_opens_at),
        long_opens_at=max(opens_at, long_opens_at),
    )


def choose_holder(
    members: MemberTable, zone: ZoneName, held: int, rng: random.Random
) -> Member | None:
    """Return a random member with at least 2 more seats than `held`.

    Candidates have at least half of the largest excess, so that requests of
    many instances with few seats do not all go to the same holder.
    """
    excess = {
        m.instance: len(m.advert.seats) - held
        for m in members.live_in_zone(zone)
        if m.advert is not None and not m.advert.leaving
    }
    excess_min = max(2.0, max(excess.values(), default=0) / 2)
    candidates = [i for i, seats in excess.items() if seats >= excess_min]
    return members.rows[rng.choice(candidates)] if candidates else None
