"""Claim, transfer and suspension of seats.

A seat is the right to a share of a zone's slots. These functions decide; the
store's record of a zone's seats is changed by compare-and-swap in
`runtime.storeworker`.
"""

import dataclasses
import math
from collections.abc import Mapping
from typing import TYPE_CHECKING

import msgspec

from chiverun.core.admission import CLOCK_MARGIN_S
from chiverun.core.admission import SHIFT_WINDOW_S
from chiverun.core.ids import Address
from chiverun.core.ids import InstanceId
from chiverun.core.ids import LifeId
from chiverun.core.ids import SeatIndex
from chiverun.core.ids import ZoneName
from chiverun.core.membership import SUSPECT_S
from chiverun.core.messages import MemberState
from chiverun.core.tables import Held
from chiverun.core.tables import Member
from chiverun.core.tables import MemberTable
from chiverun.core.tables import SeatTable
from chiverun.core.ticket import Length
from chiverun.core.ticket import Service

if TYPE_CHECKING:
    from chiverun.core.state import State

CLAIM_PERIOD_S = 1.0
REQUEST_PERIOD_S = 1.0
TRANSFER_RESEND_S = 0.5
# A claimant waits this long after a holder was declared dead, on top of the
# time of the detection itself.
DEAD_BEFORE_CLAIM_S = 1.0
LISTEN_S = 3.0


class Owner(msgspec.Struct, frozen=True, kw_only=True):
    """The holder of a seat in the store's record."""

    instance: InstanceId
    life: LifeId
    incarnation: int
    peer: Address
    epoch: int


class SeatRecord(msgspec.Struct, frozen=True, kw_only=True):
    """The store's record of a zone's seats; a missing seat has no owner.

    `epochs` keeps the last epoch of seats that were given up.
    """

    owners: dict[SeatIndex, Owner] = {}
    epochs: dict[SeatIndex, int] = {}


@dataclasses.dataclass(frozen=True, kw_only=True)
class ClaimPlan:
    """What a claimant asks the store worker to claim.

    `ended` are process lifetimes that provably take no more requests. Of
    `live` instances this one has the rank `rank`; it prefers every `live`-th
    seat, since neighbouring seats share the slots of one server.
    """

    missing: frozenset[SeatIndex]
    most: int
    rank: int
    live: int
    ended: frozenset[tuple[InstanceId, LifeId]]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Claim:
    """A seat to claim; `was_used` tells whether work may still run on it."""

    seat: SeatIndex
    epoch: int
    was_used: bool


def share(seats: int, live: int) -> int:
    """Return the most seats that one of `live` instances should hold."""
    return math.ceil(seats / max(1, live))


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
) -> frozenset[tuple[InstanceId, LifeId]]:
    """Return the process lifetimes of dead members of the zone."""
    return frozenset(
        (row.instance, row.life)
        for row in members.in_zone(zone)
        if row.life is not None
        and row.state is MemberState.DEAD
        and now - row.state_since >= DEAD_BEFORE_CLAIM_S
        and now - row.measured_at >= SUSPECT_S
    )


def select_claims(
    record: SeatRecord,
    plan: ClaimPlan,
    me: Owner,
    replaced: Mapping[InstanceId, int],
) -> list[Claim]:
    """Choose the seats to claim from the store's record.

    Parameters
    ----------
    record : SeatRecord
        As just read from the store.
    plan : ClaimPlan
    me : Owner
        The claimant.
    replaced : mapping
        The incarnation of each live instance: an owner with a lower one is
        an earlier process of that instance and has ended.
    """
    claims = []
    for seat in sorted(
        plan.missing, key=lambda s: (s % plan.live != plan.rank, s)
    ):
        if len(claims) >= plan.most:
            break
        owner = record.owners.get(seat)
        if owner is None:
            epoch = record.epochs.get(seat, 0)
            claims.append(
                Claim(seat=seat, epoch=epoch + 1, was_used=epoch > 0)
            )
        elif _has_ended(owner, plan, me, replaced):
            claims.append(
                Claim(seat=seat, epoch=owner.epoch + 1, was_used=True)
            )
    return claims


def _has_ended(
    owner: Owner,
    plan: ClaimPlan,
    me: Owner,
    replaced: Mapping[InstanceId, int],
) -> bool:
    if owner.instance == me.instance:
        # Either an earlier process of this instance, or a seat that this
        # process gave up without the record being changed.
        return True
    if (owner.instance, owner.life) in plan.ended:
        return True
    return replaced.get(owner.instance, 0) > owner.incarnation


def with_owners(
    record: SeatRecord, owners: Mapping[SeatIndex, Owner]
) -> SeatRecord:
    """Return the record with new owners; older epochs change nothing."""
    merged = dict(record.owners)
    for seat, owner in owners.items():
        known = record.epochs.get(seat, 0)
        if seat in merged:
            known = max(known, merged[seat].epoch)
        if owner.epoch > known:
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


def held_after_claim(state: "State", claim: Claim, now: float) -> Held:
    """Return the held seat, opening when no earlier work can still run."""
    if not claim.was_used:
        return Held(epoch=claim.epoch, short_from=now, long_from=now)
    short_s = longest_deadline_s(state, Length.SHORT) + CLOCK_MARGIN_S
    long_s = longest_deadline_s(state, Length.LONG) + CLOCK_MARGIN_S
    short_from = now + max(short_s, SHIFT_WINDOW_S)
    return Held(
        epoch=claim.epoch,
        short_from=short_from,
        long_from=max(short_from, now + long_s),
    )


def held_after_transfer(epoch: int, now: float) -> Held:
    """Return a seat handed over by its idle holder.

    It opens after one window of the shift limiter, since admissions of the
    earlier holder still count in that window.
    """
    opens_at = now + SHIFT_WINDOW_S
    return Held(epoch=epoch, short_from=opens_at, long_from=opens_at)


def richest_member(members: MemberTable, zone: ZoneName) -> Member | None:
    """Return the live member that holds the most seats."""
    rows = [m for m in members.live_in_zone(zone) if m.advert is not None]
    return max(rows, key=lambda m: len(m.advert.seats), default=None)


def lost_to_others(
    table: SeatTable, members: MemberTable, zone: ZoneName
) -> set[SeatIndex]:
    """Return held seats that a member holds with a higher epoch."""
    lost = set()
    for row in members.in_zone(zone):
        if row.advert is None:
            continue
        for claim in row.advert.seats:
            held = table.held.get(claim.seat)
            if held is not None and claim.epoch > held.epoch:
                lost.add(claim.seat)
    return lost
