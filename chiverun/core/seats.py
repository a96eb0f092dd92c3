"""Claim, transfer and suspension of seats.

A seat is the right to a share of a zone's slots. These functions decide; the
store's record of a zone's seats is changed by compare-and-swap in
`runtime.storeworker`.
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
from chiverun.core.membership import CHECKS
from chiverun.core.membership import SUSPECT_S
from chiverun.core.messages import MemberState
from chiverun.core.messages import SeatHolderRecord
from chiverun.core.shift import SHIFT_WINDOW_S
from chiverun.core.tables import Held
from chiverun.core.tables import Member
from chiverun.core.tables import MemberTable
from chiverun.core.tables import OldClasses
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
# A transfer that was queued for longer is refused: its sender may have been
# paused, and the seat claimed, before it reached the network.
TRANSFER_AGE_MAX_S = 2.0
# A claimant waits this long after a holder was declared dead, on top of the
# time of the detection itself.
DEAD_BEFORE_CLAIM_S = 1.0
# Time for a live holder that was wrongly taken for dead to hear of a claim.
NEWS_MARGIN_S = 2.0
LISTEN_S = 3.0
# Time that a live instance has to take a seat that was handed to it before
# another may claim the seat.
UNCOVERED_S = 10.0
# A claim raises the epoch by more than the transfers that a live holder,
# wrongly taken for dead, can make before it hears of the claim, so that the
# claim is later than all of them.
CLAIM_EPOCHS = 64
# Bounds the marks that messages can create.
SEATS_MAX = 4096
OLD_CLASSES_MAX = 32


class SeatRecord(msgspec.Struct, frozen=True, kw_only=True):
    """The store's record of a zone's seats; a missing seat has no owner.

    `epochs` keeps the last epoch of seats that were given up.
    """

    owners: dict[SeatIndex, Owner] = {}
    epochs: dict[SeatIndex, int] = {}

    def epoch(self, seat: SeatIndex) -> int:
        """Return the last epoch of a seat, 0 if it was never held."""
        owner = self.owners.get(seat)
        return max(self.epochs.get(seat, 0), owner.epoch if owner else 0)


@dataclasses.dataclass(frozen=True, kw_only=True)
class ClaimPlan:
    """What a claimant asks the store worker to claim.

    `ended` are process lifetimes that take no more requests. `known_holders`
    are the latest holders of the seats, which the record may not show yet;
    `overdue` seats have been without a holder for `UNCOVERED_S`. Of `live`
    instances this one has the rank `rank`; it prefers every `live`-th seat,
    since neighbouring seats share the slots of one server.
    """

    missing: frozenset[SeatIndex]
    most: int
    rank: int
    live: int
    ended: frozenset[BootId]
    known_holders: Mapping[SeatIndex, SeatHolder]
    overdue: frozenset[SeatIndex]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Claim:
    """A seat to claim; `was_used` tells whether work may still run on it."""

    seat: SeatIndex
    epoch: int
    was_used: bool


def share(seats: int, live: int) -> int:
    """Return the most seats that one of `live` instances should hold."""
    return math.ceil(seats / max(1, live))


def record_holder(table: SeatTable, seat: SeatIndex, mark: SeatHolder) -> bool:
    """Take over a mark; return whether it is later than the known one."""
    known = table.known_holders.get(seat)
    if not 0 <= seat < SEATS_MAX or (known is not None and mark <= known):
        return False
    table.known_holders[seat] = mark
    table.digest = None
    return True


def holders_digest(table: SeatTable) -> int:
    """Return a hash of the marks, 0 if there are none."""
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
    """Return the known marks that are later than the given ones."""
    return tuple(
        SeatHolderRecord(seat=m.seat, epoch=known.epoch, boot_id=known.boot_id)
        for m in known_holders
        if (known := table.known_holders.get(m.seat)) is not None
        and known > SeatHolder(m.epoch, m.boot_id)
    )


def lost_seats(table: SeatTable, boot_id: BootId) -> set[SeatIndex]:
    """Return the seats held or being released that a later holder has."""
    mine = {**table.releasing, **table.held}
    return {
        seat
        for seat, held in mine.items()
        if seat in table.known_holders
        and table.known_holders[seat] > SeatHolder(held.epoch, boot_id)
    }


def covered_seats(
    table: SeatTable, members: MemberTable, zone: ZoneName
) -> set[SeatIndex]:
    """Return the seats that a live instance holds or is handing over."""
    covered = set(table.held) | set(table.releasing) | set(table.transfers)
    for row in members.live_in_zone(zone):
        if row.advert is not None:
            covered.update(c.seat for c in row.advert.seats)
    return covered


def ended_lives(
    members: MemberTable, zone: ZoneName, now: float
) -> frozenset[BootId]:
    """Return the lifetimes that ended or were silent for the dead time.

    A member that others declared dead counts only after this instance's own
    pings to it stayed without an answer.
    """
    silent = {
        row.boot_id
        for row in members.in_zone(zone)
        if row.boot_id is not None
        and row.state is MemberState.DEAD
        and now - row.state_since >= DEAD_BEFORE_CLAIM_S
        and now - row.measured_at >= SUSPECT_S
        and row.acked_at <= row.state_since
        and row.checks >= CHECKS
        and now - row.checked_at >= DEAD_BEFORE_CLAIM_S / 2
    }
    return frozenset(silent | set(members.ended))


def select_claims(
    record: SeatRecord, plan: ClaimPlan, me: Owner
) -> list[Claim]:
    """Choose the seats to claim from the store's record.

    Seats that the record gives to this very lifetime are claimed even above
    the share, since no other instance may claim them.

    Parameters
    ----------
    record : SeatRecord
        As just read from the store.
    plan : ClaimPlan
    me : Owner
        The claimant.
    """
    claims = []
    for seat in sorted(
        plan.missing, key=lambda s: (s % plan.live != plan.rank, s)
    ):
        owner = record.owners.get(seat)
        is_mine = owner is not None and owner.boot_id == me.boot_id
        if len(claims) >= plan.most and not is_mine:
            continue
        if owner is not None and not _has_ended(owner, plan, me):
            continue
        mark = plan.known_holders.get(seat, SeatHolder(0, BootId("")))
        epoch = record.epoch(seat)
        if (
            mark.epoch > epoch
            and mark.boot_id not in plan.ended
            and mark.boot_id != me.boot_id
            and seat not in plan.overdue
        ):
            continue
        epoch = max(epoch, mark.epoch)
        claims.append(
            Claim(seat=seat, epoch=epoch + CLAIM_EPOCHS, was_used=epoch > 0)
        )
    return claims


def _has_ended(owner: Owner, plan: ClaimPlan, me: Owner) -> bool:
    # An owner at this process's own address is an earlier process, since an
    # address is bound by one process at a time. The instance's name alone
    # proves nothing: a replacement elsewhere may have the same name.
    return (
        owner.boot_id in plan.ended
        or me.boot_id == owner.boot_id
        or (owner.peer == me.peer)
    )


def with_owners(
    record: SeatRecord, owners: Mapping[SeatIndex, Owner]
) -> SeatRecord:
    """Return the record with new owners; older epochs change nothing."""
    merged = dict(record.owners)
    for seat, owner in owners.items():
        if owner.epoch > record.epoch(seat):
            merged[seat] = owner
    return SeatRecord(owners=merged, epochs=record.epochs)


def without_owner(
    record: SeatRecord, seat: SeatIndex, epoch: int
) -> SeatRecord:
    """Return the record with a seat given up at an epoch."""
    owner = record.owners.get(seat)
    if owner is not None and owner.epoch > epoch:
        return record
    owners = {s: o for s, o in record.owners.items() if s != seat}
    epochs = {**record.epochs, seat: max(epoch, record.epochs.get(seat, 0))}
    return SeatRecord(owners=owners, epochs=epochs)


def longest_deadline_s(state: "State", length: Length) -> float:
    """Return the longest deadline of a class of a length, in seconds."""
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
    """Keep the deadlines of a state while work under it may still run.

    With another number of seats the slots belong to other seats, so that
    held ones are closed until the work on the slots has ended.
    """
    table.old_classes = [o for o in table.old_classes if o.until > now]
    short_s = longest_deadline_s(old, Length.SHORT)
    long_s = longest_deadline_s(old, Length.LONG)
    is_relaid = _long_slots(old) != _long_slots(new)
    is_reseated = zone in old.of(Zone) and old.of(Zone)[zone].seats != _seats(
        new, zone
    )
    until = now + max(short_s, long_s) + CLOCK_MARGIN_S
    if is_reseated:
        for held in table.held.values():
            held.short_opens_at = max(held.short_opens_at, until)
            held.long_opens_at = max(held.long_opens_at, until)
    if (
        is_relaid
        or is_reseated
        or longest_deadline_s(new, Length.SHORT) < short_s
        or longest_deadline_s(new, Length.LONG) < long_s
    ):
        kept = OldClasses(
            until=until,
            short_s=short_s,
            long_s=long_s,
            is_relaid=is_relaid or is_reseated,
            is_reseated=is_reseated,
        )
        table.old_classes.append(kept)
    if len(table.old_classes) > OLD_CLASSES_MAX:
        first, second = table.old_classes[:2]
        table.old_classes[:2] = [_merged(first, second)]


def _merged(first: OldClasses, second: OldClasses) -> OldClasses:
    return OldClasses(
        until=max(first.until, second.until),
        short_s=max(first.short_s, second.short_s),
        long_s=max(first.long_s, second.long_s),
        is_relaid=first.is_relaid or second.is_relaid,
        is_reseated=first.is_reseated or second.is_reseated,
    )


def _seats(state: "State", zone: ZoneName) -> int:
    known = state.of(Zone).get(zone)
    return known.seats if known is not None else 0


def _long_slots(state: "State") -> dict[str, int]:
    return {s.name: s.long_slots for s in state.of(Server).values()}


def held_after_claim(
    table: SeatTable, state: "State", claim: Claim, now: float
) -> Held:
    """Return the held seat, opening when no earlier work can still run."""
    old_classes = [o for o in table.old_classes if o.until > now]
    if not claim.was_used and not any(o.is_reseated for o in old_classes):
        return Held(epoch=claim.epoch, short_opens_at=now, long_opens_at=now)
    short_s = longest_deadline_s(state, Length.SHORT)
    long_s = longest_deadline_s(state, Length.LONG)
    for old in old_classes:
        long_s = max(long_s, old.long_s)
        short_s = max(short_s, long_s if old.is_relaid else old.short_s)
    margin_s = CLOCK_MARGIN_S + NEWS_MARGIN_S
    short_opens_at = now + max(short_s + margin_s, SHIFT_WINDOW_S)
    return Held(
        epoch=claim.epoch,
        short_opens_at=short_opens_at,
        long_opens_at=max(short_opens_at, now + long_s + margin_s),
    )


def held_after_transfer(
    epoch: int, now: float, short_opens_at: float, long_opens_at: float
) -> Held:
    """Return a seat handed over by its idle holder.

    It opens after one window of the shift limiter, since admissions of the
    earlier holder still count in that window, and not before it would have
    opened for that holder.
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
    """Choose a member that holds at least 2 more seats than `held`.

    It is one of those with at least half the excess of the richest, so that
    the requests of many poor instances do not all go to one.
    """
    excess = {
        m.instance: len(m.advert.seats) - held
        for m in members.live_in_zone(zone)
        if m.advert is not None and not m.advert.leaving
    }
    least = max(2.0, max(excess.values(), default=0) / 2)
    rich = [i for i, seats in excess.items() if seats >= least]
    return members.rows[rng.choice(rich)] if rich else None
