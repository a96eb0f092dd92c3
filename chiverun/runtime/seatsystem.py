"""Claims seats, suspends them after a pause and confirms them."""

from typing import TYPE_CHECKING

import logbook

from chiverun.core import membership
from chiverun.core import seats as seat_rules
from chiverun.core.admission import PAUSE_LIMIT_S
from chiverun.core.tables import Member
from chiverun.core.ticket import Zone
from chiverun.runtime import seattransfer
from chiverun.runtime.events import ClaimSeats
from chiverun.runtime.events import ReadSeats
from chiverun.runtime.events import SeatsClaimed
from chiverun.runtime.events import SeatsRead

if TYPE_CHECKING:
    from chiverun.core.seats import SeatRecord
    from chiverun.runtime.context import ControlContext

_CLAIM_ANSWER_LIMIT_S = 30.0
_LOG = logbook.Logger("control")


def run_pause(ctx: "ControlContext", now: float) -> None:
    """Suspend the seats if the last tick is too long ago."""
    last = ctx.ticked_at
    if last is None or now - last <= PAUSE_LIMIT_S:
        return
    membership.forget_probe(ctx.members)
    if ctx.seats.held:
        _LOG.warning(
            "seats suspended after a pause",
            extra={"pause_s": round(now - last, 3)},
        )
        ctx.seats.suspended_at = now
        ctx.submit(ReadSeats(asked_at=now))


def run_seats(ctx: "ControlContext", now: float) -> None:
    """Run all rules of the seats once."""
    zone = ctx.state.of(Zone).get(ctx.identity.zone)
    if zone is None:
        ctx.seats.held.clear()
        return
    for seat in [s for s in ctx.seats.held if s >= zone.seats]:
        del ctx.seats.held[seat]
    _drop_lost_seats(ctx)
    _confirm_by_peers(ctx, now)
    seattransfer.finish_releases(ctx, now)
    seattransfer.resend_transfers(ctx, now)
    if ctx.seats.suspended_at is not None or ctx.is_leaving:
        return
    _claim_missing(ctx, zone, now)
    seattransfer.request_share(ctx, zone, now)


def _drop_lost_seats(ctx: "ControlContext") -> None:
    for seat in seat_rules.lost_to_others(
        ctx.seats, ctx.members, ctx.identity.zone
    ):
        _LOG.warning("seat lost to a later holder", extra={"seat": seat})
        del ctx.seats.held[seat]


def _confirm_by_peers(ctx: "ControlContext", now: float) -> None:
    """Confirm suspended seats when the store cannot be asked."""
    since = ctx.seats.suspended_at
    if since is None or now - since < seat_rules.LISTEN_S:
        return
    waiting = [
        m
        for m in ctx.members.live_in_zone(ctx.identity.zone)
        if m.acked_at < since and m.measured_at < since
    ]
    if not waiting:
        _confirm(ctx, "peers")


def _confirm(ctx: "ControlContext", source: str) -> None:
    ctx.seats.suspended_at = None
    _LOG.info("seats confirmed", extra={"source": source})


def _sharers(ctx: "ControlContext") -> list[Member]:
    """Return the other instances that share the zone's seats."""
    return [
        m
        for m in ctx.members.live_in_zone(ctx.identity.zone)
        if m.advert is not None and not m.advert.leaving
    ]


def _live_count(ctx: "ControlContext") -> int:
    return 1 + len(_sharers(ctx))


def _rank(ctx: "ControlContext") -> int:
    me = ctx.identity.instance
    return sum(1 for m in _sharers(ctx) if m.instance < me)


def _claim_missing(ctx: "ControlContext", zone: Zone, now: float) -> None:
    seats = ctx.seats
    pending = seats.claim_pending_since
    if pending is not None and now - pending < _CLAIM_ANSWER_LIMIT_S:
        return
    if now - seats.claimed_at < seat_rules.CLAIM_PERIOD_S:
        return
    covered = seat_rules.covered_seats(seats, ctx.members, zone.name)
    missing = set(range(zone.seats)) - covered
    most = seat_rules.share(zone.seats, _live_count(ctx))
    most -= len(seats.held)
    if not missing or most <= 0:
        return
    seats.claim_pending_since = now
    ctx.submit(
        ClaimSeats(
            plan=seat_rules.ClaimPlan(
                missing=frozenset(missing),
                most=most,
                rank=_rank(ctx),
                live=_live_count(ctx),
                ended=seat_rules.ended_lives(ctx.members, zone.name, now),
            ),
            me=_owner(ctx, 0),
            replaced={
                m.instance: m.incarnation
                for m in ctx.members.live_in_zone(zone.name)
                if m.advert is not None
            },
        )
    )


def on_claimed(ctx: "ControlContext", report: SeatsClaimed) -> None:
    """Take over the seats whose claims took effect."""
    now = ctx.clock.monotonic()
    ctx.seats.claim_pending_since = None
    ctx.seats.claimed_at = now
    for claim in report.claims:
        if claim.epoch <= ctx.seats.epochs.get(claim.seat, 0):
            continue
        ctx.seats.epochs[claim.seat] = claim.epoch
        ctx.seats.held[claim.seat] = seat_rules.held_after_claim(
            ctx.state, claim, now
        )
    if report.claims:
        _LOG.info("seats claimed", extra={"count": len(report.claims)})
    if report.record is not None:
        _note_owners(ctx, report.record, now)


def _note_owners(
    ctx: "ControlContext", record: "SeatRecord", now: float
) -> None:
    """Add owners that were never heard of, so that they are probed."""
    for owner in record.owners.values():
        if (
            owner.instance == ctx.identity.instance
            or owner.instance in ctx.members.rows
        ):
            continue
        ctx.members.rows[owner.instance] = Member(
            instance=owner.instance,
            zone=ctx.identity.zone,
            peer=owner.peer,
            incarnation=owner.incarnation,
            life=owner.life,
            state_since=now,
        )


def on_seats_read(ctx: "ControlContext", report: SeatsRead) -> None:
    """Confirm suspended seats by the record."""
    since = ctx.seats.suspended_at
    if since is None or report.record is None or report.asked_at < since:
        return
    for seat, held in list(ctx.seats.held.items()):
        owner = report.record.owners.get(seat)
        if owner is None or owner.epoch < held.epoch:
            continue
        if owner.life != ctx.identity.life:
            del ctx.seats.held[seat]
    _confirm(ctx, "store")


def _owner(ctx: "ControlContext", epoch: int) -> seat_rules.Owner:
    return seat_rules.Owner(
        instance=ctx.identity.instance,
        life=ctx.identity.life,
        incarnation=ctx.incarnation,
        peer=ctx.identity.peer,
        epoch=epoch,
    )
