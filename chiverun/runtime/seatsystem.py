"""Claims of seats, and their suspension after a pause of the process."""

from typing import TYPE_CHECKING

import logbook

from chiverun.core import membership
from chiverun.core import seats as seat_rules
from chiverun.core.admission import PAUSE_LIMIT_S
from chiverun.core.ids import InstanceId
from chiverun.core.ids import SeatIndex
from chiverun.core.messages import SeatHolderRecord
from chiverun.core.tables import Member
from chiverun.core.tables import SeatHolder
from chiverun.core.ticket import Zone
from chiverun.runtime import gossip
from chiverun.runtime import membersystem
from chiverun.runtime import seattransfer
from chiverun.runtime.events import ClaimSeats
from chiverun.runtime.events import ReadSeats
from chiverun.runtime.events import SeatsClaimed
from chiverun.runtime.events import SeatsRead

if TYPE_CHECKING:
    from chiverun.core.seats import SeatRecord
    from chiverun.runtime.context import ControlContext

# Longer than the sum of the store time-outs of one job. A report that has not
# arrived by then is lost.
_JOB_TIMEOUT_S = 30.0
# Period of claims beyond this instance's share, of seats that no other
# instance may claim.
_EXCESS_CLAIM_PERIOD_S = 5.0
# Time to discover members of the zone before an instance without peers
# claims seats.
_DISCOVERY_S = 3.0
_CONFIRM_PING_S = 0.5
# An instance without acknowledgements from its zone for this long reads the
# record, since others may consider it dead and claim its seats.
_ISOLATED_AFTER_S = 2.5
_ISOLATED_READ_PERIOD_S = 1.0
# Period at which a watcher compares the record with the holders, in case the
# store was restored from a backup or a writer died.
_RECORD_CHECK_PERIOD_S = 5.0
# For this long after a member was declared dead, watchers read the record more
# often, since the member may be partitioned and claim seats of the others.
_DEAD_MEMBER_WATCH_S = 60.0
_ANNOUNCE_PERIOD_S = 0.5
_LOG = logbook.Logger("control")


def suspend_after_pause(ctx: "ControlContext", now: float) -> None:
    """Suspend the seats if the process has paused since the last tick.

    Called before each message or event is handled, so that none of those
    between the pause and the next tick can publish or transfer seats.
    """
    last = ctx.ticked_at
    if last is None or now - last <= PAUSE_LIMIT_S:
        return
    ctx.ticked_at = now
    membership.reset_failure_detection(ctx.members, now)
    _LOG.warning(
        "seats suspended after a pause",
        extra={"pause_s": round(now - last, 3)},
    )
    seats = ctx.seats
    seats.suspended_at = now
    seats.suspended_sequence = ctx.members.sequence
    seats.is_record_read = False
    seats.confirm_sent_at = float("-inf")
    # Another instance may have claimed a seat whose transfer has not arrived.
    seats.transfers.clear()
    _read_record(ctx, now)


def run_seats(ctx: "ControlContext", now: float) -> None:
    """Run all steps of seat management once."""
    zone = ctx.state.of(Zone).get(ctx.identity.zone)
    if zone is None:
        ctx.seats.held.clear()
        return
    for seat in [s for s in ctx.seats.held if s >= zone.seats]:
        del ctx.seats.held[seat]
    _drop_lost_seats(ctx)
    _read_record_if_due(ctx, now)
    seattransfer.flush_writes(ctx, now)
    if ctx.seats.suspended_at is not None:
        _confirm_if_proven(ctx, now)
        return
    if ctx.is_transferring_seats:
        seattransfer.release_all(ctx)
    seattransfer.finish_releases(ctx, now)
    seattransfer.resend_transfers(ctx, now)
    _announce_gained_seats(ctx, now)
    if ctx.is_leaving:
        return
    _claim_missing(ctx, zone, now)
    seattransfer.request_share(ctx, zone, now)


def _drop_lost_seats(ctx: "ControlContext") -> None:
    for seat in seat_rules.lost_seats(ctx.seats, ctx.identity.boot_id):
        _LOG.warning("seat lost to a later holder", extra={"seat": seat})
        _drop_seat(ctx, seat)


def _drop_seat(ctx: "ControlContext", seat: SeatIndex) -> None:
    ctx.seats.held.pop(seat, None)
    ctx.seats.releasing.pop(seat, None)


def _announce_gained_seats(ctx: "ControlContext", now: float) -> None:
    """Announce recently gained seats to the zone.

    An earlier holder that was wrongly declared dead has to learn of its loss
    before the seats open.
    """
    seats = ctx.seats
    if (
        not seats.gained_seats
        or now - seats.gained_announced_at < _ANNOUNCE_PERIOD_S
    ):
        return
    seats.gained_announced_at = now
    records = tuple(
        SeatHolderRecord(
            seat=s,
            epoch=seats.known_holders[s].epoch,
            boot_id=seats.known_holders[s].boot_id,
        )
        for s in seats.gained_seats
    )
    for row in ctx.members.in_zone(ctx.identity.zone):
        gossip.send_holder_records(ctx, row.peer, records)
    seats.gained_seats = {
        s: n - 1 for s, n in seats.gained_seats.items() if n > 1
    }


# Suspension.


def _confirm_if_proven(ctx: "ControlContext", now: float) -> None:
    """End the suspension once the seats are proven to be still held.

    Only acknowledgements of pings sent after the pause count, since messages
    that were queued during the pause are outdated.
    """
    seats = ctx.seats
    rows = ctx.members.live_in_zone(ctx.identity.zone)
    unsynced = [
        m for m in rows if m.synced_sequence <= seats.suspended_sequence
    ]
    silent = [m for m in rows if m.acked_at < seats.suspended_at]
    has_listened = now - seats.suspended_at >= seat_rules.CLAIM_LISTEN_S
    if seats.is_record_read and (has_listened or not unsynced):
        _confirm(ctx, "store")
    elif has_listened and not unsynced and rows:
        _confirm(ctx, "peers")
    elif has_listened and len(silent) == len(rows):
        _confirm(ctx, "silence")
    elif now - seats.confirm_sent_at >= _CONFIRM_PING_S:
        seats.confirm_sent_at = now
        for row in unsynced:
            gossip.send_numbered_ping(ctx, row.peer, row.instance)


def _confirm(ctx: "ControlContext", source: str) -> None:
    ctx.seats.suspended_at = None
    _LOG.info("seats confirmed", extra={"source": source})


# Claims.


def _sharing_members(ctx: "ControlContext") -> list[Member]:
    """Return the other instances among which the zone's seats are split."""
    return [
        m
        for m in ctx.members.live_in_zone(ctx.identity.zone)
        if m.advert is not None and not m.advert.leaving
    ]


def _claim_missing(ctx: "ControlContext", zone: Zone, now: float) -> None:
    seats = ctx.seats
    covered = seat_rules.covered_seats(seats, ctx.members, zone.name)
    missing = set(range(zone.seats)) - covered
    seats.uncovered_since = {
        s: seats.uncovered_since.get(s, now) for s in missing
    }
    if not missing or now < seats.claim_at or not _may_claim(ctx, now):
        return
    sharing = _sharing_members(ctx)
    live = 1 + len(sharing)
    claims_max = max(0, seat_rules.share(zone.seats, live) - len(seats.held))
    period_s = (
        seat_rules.CLAIM_PERIOD_S if claims_max else _EXCESS_CLAIM_PERIOD_S
    )
    seats.claim_at = now + period_s * ctx.rng.uniform(0.7, 1.3)
    seats.claim_pending_since = now
    plan = seat_rules.ClaimPlan(
        missing=frozenset(missing),
        claims_max=claims_max,
        rank=sum(1 for m in sharing if m.instance < ctx.identity.instance),
        live=live,
        ended=seat_rules.ended_boots(ctx.members, zone.name, now),
        known_holders=dict(seats.known_holders),
        overdue=frozenset(
            s
            for s, since in seats.uncovered_since.items()
            if now - since >= seat_rules.UNCOVERED_S
        ),
    )
    ctx.submit(ClaimSeats(plan=plan, claimant=seattransfer.own_owner(ctx, 0)))


def _may_claim(ctx: "ControlContext", now: float) -> bool:
    """Return whether this instance knows the zone well enough to claim."""
    pending = ctx.seats.claim_pending_since
    if pending is not None and now - pending < _JOB_TIMEOUT_S:
        return False
    sharing = _sharing_members(ctx)
    if not sharing:
        return now - ctx.started_at >= _DISCOVERY_S
    return any(m.synced_sequence >= 0 for m in sharing)


def on_claimed(ctx: "ControlContext", report: SeatsClaimed) -> None:
    """Hold the seats whose claims have been written."""
    now = ctx.clock.monotonic()
    ctx.seats.claim_pending_since = None
    if report.record is not None:
        _merge_record(ctx, report.record)
    for claim in report.claims:
        holder = SeatHolder(claim.epoch, ctx.identity.boot_id)
        known = ctx.seats.known_holders.get(claim.seat)
        if claim.seat in ctx.seats.held or (known and known > holder):
            continue
        ctx.seats.held[claim.seat] = seat_rules.held_after_claim(
            ctx.seats, ctx.state, claim, now
        )
        seattransfer.record_gained_seat(ctx, claim.seat, claim.epoch)
    if report.claims:
        _LOG.info("seats claimed", extra={"count": len(report.claims)})


# The store's record.


def _read_record(ctx: "ControlContext", now: float) -> None:
    ctx.seats.read_pending_since = now
    ctx.seats.read_at = now
    ctx.submit(ReadSeats(requested_at=now))


def _read_record_if_due(ctx: "ControlContext", now: float) -> None:
    seats = ctx.seats
    pending = seats.read_pending_since
    if pending is not None and now - pending < _JOB_TIMEOUT_S:
        return
    zone = ctx.identity.zone
    is_isolated = not any(
        now - m.acked_at <= _ISOLATED_AFTER_S
        for m in ctx.members.in_zone(zone)
    )
    is_watcher = membersystem.is_watcher(ctx)
    if (
        seats.suspended_at is not None
        or (is_isolated and seats.held)
        or (is_watcher and _has_recent_dead(ctx, now))
    ):
        period_s = _ISOLATED_READ_PERIOD_S
    elif is_watcher:
        period_s = _RECORD_CHECK_PERIOD_S
    else:
        return
    if now - seats.read_at >= period_s:
        _read_record(ctx, now)


def _has_recent_dead(ctx: "ControlContext", now: float) -> bool:
    return any(
        not m.is_live and now - m.state_since <= _DEAD_MEMBER_WATCH_S
        for m in ctx.members.in_zone(ctx.identity.zone)
    )


def on_seats_read(ctx: "ControlContext", report: SeatsRead) -> None:
    """Compare the record with the seats held here and by members."""
    seats = ctx.seats
    seats.read_pending_since = None
    if report.record is None:
        return
    _merge_record(ctx, report.record)
    since = seats.suspended_at
    if since is None:
        _inform_former_holders(ctx)
        _repair_record(ctx, report.record)
        return
    if report.requested_at < since:
        return
    # After a restore of the store, another owner may have claimed a seat with
    # a lower epoch. Giving up the seat is always safe.
    for seat in [*seats.held, *seats.releasing]:
        owner = report.record.owners.get(seat)
        if owner is not None and owner.boot_id != ctx.identity.boot_id:
            _drop_seat(ctx, seat)
    seats.is_record_read = True


def _inform_former_holders(ctx: "ControlContext") -> None:
    """Inform members that advertise seats with a later holder."""
    for row in ctx.members.live_in_zone(ctx.identity.zone):
        if row.advert is not None:
            claims = tuple(
                SeatHolderRecord(
                    seat=c.seat, epoch=c.epoch, boot_id=row.advert.boot_id
                )
                for c in row.advert.seats
            )
            later = seat_rules.newer_holders(ctx.seats, claims)
            gossip.send_holder_records(ctx, row.peer, later)


def _repair_record(ctx: "ControlContext", record: "SeatRecord") -> None:
    """Write owners missing from the record; later epochs are kept."""
    owners = {
        seat: seattransfer.own_owner(ctx, held.epoch)
        for seat, held in ctx.seats.held.items()
    }
    for row in ctx.members.live_in_zone(ctx.identity.zone):
        for claim in row.advert.seats if row.advert else ():
            known = owners.get(claim.seat)
            if known is None or claim.epoch > known.epoch:
                owners[claim.seat] = seattransfer.member_owner(
                    row, claim.epoch
                )
    seattransfer.queue_write(
        ctx,
        {s: o for s, o in owners.items() if o.epoch > record.epoch(s)},
        {},
    )


def _merge_record(ctx: "ControlContext", record: "SeatRecord") -> None:
    """Record seat owners; add unknown owners as members to be probed."""
    now = ctx.clock.monotonic()
    rows = ctx.members.rows
    boot_ids = {m.boot_id for m in rows.values()}
    for seat, owner in record.owners.items():
        holder = SeatHolder(owner.epoch, owner.boot_id)
        seat_rules.record_holder(ctx.seats, seat, holder)
        if (
            owner.boot_id in boot_ids
            or owner.boot_id in ctx.members.ended
            or owner.peer == ctx.identity.peer
        ):
            continue
        boot_ids.add(owner.boot_id)
        # '~' is not allowed in names of instances, so the name is unique.
        name = owner.instance
        if name in rows or name == ctx.identity.instance:
            name = InstanceId(f"{owner.instance}~{owner.boot_id}")
        ctx.members.add(
            Member(
                instance=name,
                zone=ctx.identity.zone,
                peer=owner.peer,
                incarnation=owner.incarnation,
                boot_id=owner.boot_id,
                state_since=now,
                boot_seen_sequence=ctx.members.sequence,
            )
        )
        ctx.members.probe_order.append(name)
