"""Transfers of seats between instances of a zone."""

from typing import TYPE_CHECKING

import logbook

from chiverun.core import seats as seat_rules
from chiverun.core.ids import InstanceId
from chiverun.core.ids import SeatIndex
from chiverun.core.messages import MemberState
from chiverun.core.messages import SeatRequest
from chiverun.core.messages import SeatTransfer
from chiverun.core.messages import SeatTransferAck
from chiverun.core.tables import Held
from chiverun.core.tables import Member
from chiverun.core.tables import Owner
from chiverun.core.tables import Releasing
from chiverun.core.tables import SeatHolder
from chiverun.core.tables import Transfer
from chiverun.core.ticket import Zone
from chiverun.runtime.events import SeatsWritten
from chiverun.runtime.events import WriteSeats

if TYPE_CHECKING:
    from collections.abc import Mapping

    from chiverun.runtime.context import ControlContext

# Each gained seat is announced repeatedly, since messages can be lost.
_ANNOUNCE_SENDS = 4
_WRITE_RETRY_S = 0.5
_WRITE_TIMEOUT_S = 30.0
_LOG = logbook.Logger("control")


def request_share(ctx: "ControlContext", zone: Zone, now: float) -> None:
    """Request seats from an instance that holds more than this one."""
    if now - ctx.seats.requested_at < seat_rules.REQUEST_PERIOD_S:
        return
    larger_holder = seat_rules.choose_holder(
        ctx.members, zone.name, len(ctx.seats.held), ctx.rng
    )
    if larger_holder is None:
        return
    ctx.seats.requested_at = now
    ctx.send(
        larger_holder.peer,
        SeatRequest(
            instance=ctx.identity.instance,
            boot_id=ctx.identity.boot_id,
            peer=ctx.identity.peer,
            held=len(ctx.seats.held),
        ),
    )


def on_seat_request(ctx: "ControlContext", message: SeatRequest) -> None:
    """Release seats to an instance that holds fewer.

    The request may be late or repeated, so seats that the sender advertises
    or that are being transferred to it count as its own.
    """
    row = ctx.members.rows.get(message.instance)
    if row is None or not row.is_live or row.boot_id != message.boot_id:
        return
    seats = ctx.seats
    if seats.releasing or seats.suspended_at is not None or ctx.is_leaving:
        return
    advertised = len(row.advert.seats) if row.advert else 0
    in_transfer = sum(
        1 for t in seats.transfers.values() if t.boot_id == message.boot_id
    )
    count = len(seats.held) - max(message.held, advertised) - in_transfer
    # Every second seat, since adjacent seats share the slots of one server.
    for seat in sorted(seats.held)[::2][: max(0, count // 2)]:
        _release(ctx, seat, message.instance)


def _release(
    ctx: "ControlContext", seat: SeatIndex, receiver: InstanceId | None
) -> None:
    held = ctx.seats.held.pop(seat)
    ctx.seats.releasing[seat] = Releasing(
        epoch=held.epoch,
        short_opens_at=held.short_opens_at,
        long_opens_at=held.long_opens_at,
        receiver=receiver,
    )


def release_all(ctx: "ControlContext") -> None:
    """Release all seats, evenly split among the other live instances."""
    receivers = _receivers(ctx)
    counts = {m.instance: len(m.advert.seats) for m in receivers}
    for seat in sorted(ctx.seats.held):
        receiver = min(counts, key=lambda i: counts[i], default=None)
        if receiver is not None:
            counts[receiver] += 1
        _release(ctx, seat, receiver)


def _receivers(ctx: "ControlContext") -> list[Member]:
    return [
        m
        for m in ctx.members.live_in_zone(ctx.identity.zone)
        if m.state is MemberState.ALIVE
        and m.advert is not None
        and not m.advert.leaving
    ]


def finish_releases(ctx: "ControlContext", now: float) -> None:
    """Transfer released seats on which no request is running."""
    released = {}
    owners = {}
    for seat, releasing in list(ctx.seats.releasing.items()):
        if not releasing.is_published:
            continue
        if ctx.admission.seat_in_use(seat):
            continue
        del ctx.seats.releasing[seat]
        receiver = _choose_receiver(ctx, releasing)
        if receiver is not None:
            owners[seat] = _start_transfer(ctx, receiver, seat, releasing)
        elif ctx.is_leaving:
            released[seat] = releasing.epoch
        else:
            ctx.seats.held[seat] = Held(
                epoch=releasing.epoch,
                short_opens_at=releasing.short_opens_at,
                long_opens_at=releasing.long_opens_at,
            )
    queue_write(ctx, owners, released)


def _choose_receiver(
    ctx: "ControlContext", releasing: Releasing
) -> Member | None:
    row = ctx.members.rows.get(releasing.receiver)
    if row is not None and row.is_live and row.advert is not None:
        return row
    others = _receivers(ctx) if ctx.is_leaving else []
    return min(others, key=lambda m: len(m.advert.seats), default=None)


def _start_transfer(
    ctx: "ControlContext", row: Member, seat: SeatIndex, releasing: Releasing
) -> Owner:
    epoch = releasing.epoch + 1
    ctx.seats.transfers[seat] = Transfer(
        epoch=epoch,
        short_opens_at=releasing.short_opens_at,
        long_opens_at=releasing.long_opens_at,
        receiver=row.instance,
        boot_id=row.boot_id,
    )
    seat_rules.record_holder(ctx.seats, seat, SeatHolder(epoch, row.boot_id))
    return member_owner(row, epoch)


def resend_transfers(ctx: "ControlContext", now: float) -> None:
    """Resend transfers until their receivers hold the seats."""
    for seat, transfer in list(ctx.seats.transfers.items()):
        row = ctx.members.rows.get(transfer.receiver)
        if (
            row is None
            or not row.is_live
            or row.boot_id != transfer.boot_id
            or _has_arrived(ctx, seat, transfer)
        ):
            del ctx.seats.transfers[seat]
        elif now - transfer.sent_at >= seat_rules.TRANSFER_RESEND_S:
            transfer.sent_at = now
            ctx.send(row.peer, _transfer_message(ctx, seat, transfer, now))


def _transfer_message(
    ctx: "ControlContext", seat: SeatIndex, transfer: Transfer, now: float
) -> SeatTransfer:
    return SeatTransfer(
        seat=seat,
        epoch=transfer.epoch,
        instance=transfer.receiver,
        boot_id=transfer.boot_id,
        previous_holder=ctx.identity.peer,
        short_ms=_remaining_ms(transfer.short_opens_at, now),
        long_ms=_remaining_ms(transfer.long_opens_at, now),
        sent_epoch_ms=int(ctx.clock.wall() * 1000),
    )


def _remaining_ms(opens_at: float, now: float) -> int:
    return max(0, int((opens_at - now) * 1000) + 1)


def _has_arrived(
    ctx: "ControlContext", seat: SeatIndex, transfer: Transfer
) -> bool:
    row = ctx.members.rows[transfer.receiver]
    known = ctx.seats.known_holders.get(seat)
    if known is not None and known.epoch > transfer.epoch:
        return True
    claims = row.advert.seats if row.advert else ()
    return any(c.seat == seat and c.epoch >= transfer.epoch for c in claims)


def on_seat_transfer(ctx: "ControlContext", message: SeatTransfer) -> None:
    """Accept a transferred seat; ignore repeated and late messages."""
    zone = ctx.state.of(Zone).get(ctx.identity.zone)
    if message.boot_id != ctx.identity.boot_id or zone is None:
        return
    if not 0 <= message.seat < zone.seats:
        return
    age_s = ctx.clock.wall() - message.sent_epoch_ms / 1000.0
    if abs(age_s) > seat_rules.TRANSFER_AGE_MAX_S:
        _LOG.warning(
            "rejected late seat transfer",
            extra={"seat": message.seat, "age_s": round(age_s, 3)},
        )
        return
    ack = SeatTransferAck(
        seat=message.seat, epoch=message.epoch, boot_id=message.boot_id
    )
    if message.epoch <= ctx.seats.accepted_transfers.get(message.seat, 0):
        ctx.send(message.previous_holder, ack)
        return
    known = ctx.seats.known_holders.get(message.seat)
    if known is not None and known > SeatHolder(
        message.epoch, message.boot_id
    ):
        return
    now = ctx.clock.monotonic()
    ctx.seats.accepted_transfers[message.seat] = message.epoch
    ctx.seats.held[message.seat] = seat_rules.held_after_transfer(
        message.epoch,
        now,
        now + message.short_ms / 1000.0,
        now + message.long_ms / 1000.0,
    )
    record_gained_seat(ctx, message.seat, message.epoch)
    ctx.send(message.previous_holder, ack)
    # The previous holder also writes the record, but may die before it does.
    owner = own_owner(ctx, message.epoch)
    queue_write(ctx, {message.seat: owner}, {})


def on_transfer_ack(ctx: "ControlContext", message: SeatTransferAck) -> None:
    """End a transfer that its receiver has accepted."""
    transfer = ctx.seats.transfers.get(message.seat)
    if transfer is not None and (transfer.epoch, transfer.boot_id) == (
        message.epoch,
        message.boot_id,
    ):
        del ctx.seats.transfers[message.seat]


def record_gained_seat(
    ctx: "ControlContext", seat: SeatIndex, epoch: int
) -> None:
    """Record this instance as the holder of a seat and queue announcements."""
    holder = SeatHolder(epoch, ctx.identity.boot_id)
    seat_rules.record_holder(ctx.seats, seat, holder)
    ctx.seats.gained_seats[seat] = _ANNOUNCE_SENDS


def member_owner(row: Member, epoch: int) -> Owner:
    """Return the seat record's entry for a member that owns a seat."""
    return Owner(
        instance=row.instance,
        boot_id=row.boot_id,
        incarnation=row.incarnation,
        peer=row.peer,
        epoch=epoch,
    )


def own_owner(ctx: "ControlContext", epoch: int) -> Owner:
    """Return the seat record's entry for a seat that this instance owns."""
    return Owner(
        instance=ctx.identity.instance,
        boot_id=ctx.identity.boot_id,
        incarnation=ctx.incarnation,
        peer=ctx.identity.peer,
        epoch=epoch,
    )


# Writes of the seat record.


def queue_write(
    ctx: "ControlContext",
    owners: "Mapping[SeatIndex, Owner]",
    released: "Mapping[SeatIndex, int]",
) -> None:
    """Queue changes to the record; a later epoch replaces an earlier one."""
    for seat, owner in owners.items():
        queued = ctx.seats.unwritten_owners.get(seat)
        if queued is None or owner.epoch > queued.epoch:
            ctx.seats.unwritten_owners[seat] = owner
    ctx.seats.unwritten_releases.update(released)


def flush_writes(ctx: "ControlContext", now: float) -> None:
    """Submit one job with all queued changes, unless one is pending."""
    seats = ctx.seats
    if (
        not (seats.unwritten_owners or seats.unwritten_releases)
        or now < seats.write_at
    ):
        return
    pending = seats.write_pending_since
    if pending is not None and now - pending < _WRITE_TIMEOUT_S:
        return
    seats.write_pending_since = now
    ctx.submit(
        WriteSeats(
            owners=dict(seats.unwritten_owners),
            released=dict(seats.unwritten_releases),
        )
    )


def on_seats_written(ctx: "ControlContext", report: SeatsWritten) -> None:
    """Remove written changes from the queue."""
    seats = ctx.seats
    seats.write_pending_since = None
    if not report.is_done:
        seats.write_at = ctx.clock.monotonic() + _WRITE_RETRY_S
        return
    for seat, owner in report.job.owners.items():
        if seats.unwritten_owners.get(seat) == owner:
            del seats.unwritten_owners[seat]
    for seat, epoch in report.job.released.items():
        if seats.unwritten_releases.get(seat) == epoch:
            del seats.unwritten_releases[seat]
