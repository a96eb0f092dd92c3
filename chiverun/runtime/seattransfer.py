"""Hands seats to other instances and takes them over."""

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

# Each piece of news is sent this many times, since messages can be lost.
_NEWS_SENDS = 4
_WRITE_RETRY_S = 0.5
_WRITE_LIMIT_S = 30.0
_LOG = logbook.Logger("control")


def request_share(ctx: "ControlContext", zone: Zone, now: float) -> None:
    """Ask one of the richer holders for a part of its seats."""
    if now - ctx.seats.requested_at < seat_rules.REQUEST_PERIOD_S:
        return
    rich = seat_rules.choose_holder(
        ctx.members, zone.name, len(ctx.seats.held), ctx.rng
    )
    if rich is None:
        return
    ctx.seats.requested_at = now
    ctx.send(
        rich.peer,
        SeatRequest(
            instance=ctx.identity.instance,
            boot_id=ctx.identity.boot_id,
            peer=ctx.identity.peer,
            held=len(ctx.seats.held),
        ),
    )


def on_seat_request(ctx: "ControlContext", message: SeatRequest) -> None:
    """Release seats to an instance with fewer.

    The request may be late or repeated: seats that the sender was seen to
    hold, or that are on the way to it, count as well.
    """
    row = ctx.members.rows.get(message.instance)
    if row is None or not row.is_live or row.boot_id != message.boot_id:
        return
    seats = ctx.seats
    if seats.releasing or seats.suspended_at is not None or ctx.is_leaving:
        return
    known = len(row.advert.seats) if row.advert else 0
    under_way = sum(
        1 for t in seats.transfers.values() if t.boot_id == message.boot_id
    )
    count = len(seats.held) - max(message.held, known) - under_way
    # Every other seat: neighbouring seats share one server's slots.
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
    """Release all seats to the other live instances, evenly."""
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
    """Hand over released seats whose work has ended."""
    released = {}
    owners = {}
    for seat, releasing in list(ctx.seats.releasing.items()):
        if not releasing.is_published:
            continue
        if ctx.admission.seat_in_use(seat):
            continue
        del ctx.seats.releasing[seat]
        receiver = _receiver(ctx, releasing)
        if receiver is not None:
            owners[seat] = _hand_to(ctx, receiver, seat, releasing)
        elif ctx.is_leaving:
            released[seat] = releasing.epoch
        else:
            ctx.seats.held[seat] = Held(
                epoch=releasing.epoch,
                short_opens_at=releasing.short_opens_at,
                long_opens_at=releasing.long_opens_at,
            )
    queue_write(ctx, owners, released)


def _receiver(ctx: "ControlContext", releasing: Releasing) -> Member | None:
    row = ctx.members.rows.get(releasing.receiver)
    if row is not None and row.is_live and row.advert is not None:
        return row
    others = _receivers(ctx) if ctx.is_leaving else []
    return min(others, key=lambda m: len(m.advert.seats), default=None)


def _hand_to(
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
    """Repeat transfers until the receiver holds them."""
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
        short_ms=_left_ms(transfer.short_opens_at, now),
        long_ms=_left_ms(transfer.long_opens_at, now),
        sent_epoch_ms=int(ctx.clock.wall() * 1000),
    )


def _left_ms(opens_at: float, now: float) -> int:
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
    """Take a seat over; a repeated or late message changes nothing."""
    zone = ctx.state.of(Zone).get(ctx.identity.zone)
    if message.boot_id != ctx.identity.boot_id or zone is None:
        return
    if not 0 <= message.seat < zone.seats:
        return
    age_s = ctx.clock.wall() - message.sent_epoch_ms / 1000.0
    if abs(age_s) > seat_rules.TRANSFER_AGE_MAX_S:
        _LOG.warning(
            "late seat transfer refused",
            extra={"seat": message.seat, "age_s": round(age_s, 3)},
        )
        return
    taken = SeatTransferAck(
        seat=message.seat, epoch=message.epoch, boot_id=message.boot_id
    )
    if message.epoch <= ctx.seats.taken.get(message.seat, 0):
        ctx.send(message.previous_holder, taken)
        return
    known = ctx.seats.known_holders.get(message.seat)
    if known is not None and known > SeatHolder(
        message.epoch, message.boot_id
    ):
        return
    now = ctx.clock.monotonic()
    ctx.seats.taken[message.seat] = message.epoch
    ctx.seats.held[message.seat] = seat_rules.held_after_transfer(
        message.epoch,
        now,
        now + message.short_ms / 1000.0,
        now + message.long_ms / 1000.0,
    )
    gain(ctx, message.seat, message.epoch)
    ctx.send(message.previous_holder, taken)
    # The giver writes the record too, but may die before it can.
    owner = own_owner(ctx, message.epoch)
    queue_write(ctx, {message.seat: owner}, {})


def on_seat_taken(ctx: "ControlContext", message: SeatTransferAck) -> None:
    """End a transfer whose receiver has the seat."""
    transfer = ctx.seats.transfers.get(message.seat)
    if transfer is not None and (transfer.epoch, transfer.boot_id) == (
        message.epoch,
        message.boot_id,
    ):
        del ctx.seats.transfers[message.seat]


def gain(ctx: "ControlContext", seat: SeatIndex, epoch: int) -> None:
    """Note a seat that this instance holds from now on."""
    mark = SeatHolder(epoch, ctx.identity.boot_id)
    seat_rules.record_holder(ctx.seats, seat, mark)
    ctx.seats.gained_seats[seat] = _NEWS_SENDS


def member_owner(row: Member, epoch: int) -> Owner:
    """Return a member as the owner of a seat."""
    return Owner(
        instance=row.instance,
        boot_id=row.boot_id,
        incarnation=row.incarnation,
        peer=row.peer,
        epoch=epoch,
    )


def own_owner(ctx: "ControlContext", epoch: int) -> Owner:
    """Return this instance as the owner of a seat."""
    return Owner(
        instance=ctx.identity.instance,
        boot_id=ctx.identity.boot_id,
        incarnation=ctx.incarnation,
        peer=ctx.identity.peer,
        epoch=epoch,
    )


# Writes to the store's record.


def queue_write(
    ctx: "ControlContext",
    owners: "Mapping[SeatIndex, Owner]",
    released: "Mapping[SeatIndex, int]",
) -> None:
    """Keep changes until they are written; later epochs replace earlier."""
    for seat, owner in owners.items():
        kept = ctx.seats.unwritten.get(seat)
        if kept is None or owner.epoch > kept.epoch:
            ctx.seats.unwritten[seat] = owner
    ctx.seats.unwritten_releases.update(released)


def flush_writes(ctx: "ControlContext", now: float) -> None:
    """Submit one job with all kept changes, unless one is under way."""
    seats = ctx.seats
    if (
        not (seats.unwritten or seats.unwritten_releases)
        or now < seats.write_at
    ):
        return
    pending = seats.write_pending_since
    if pending is not None and now - pending < _WRITE_LIMIT_S:
        return
    seats.write_pending_since = now
    ctx.submit(
        WriteSeats(
            owners=dict(seats.unwritten),
            released=dict(seats.unwritten_releases),
        )
    )


def on_seats_written(ctx: "ControlContext", report: SeatsWritten) -> None:
    """Forget what was written; the rest is written later."""
    seats = ctx.seats
    seats.write_pending_since = None
    if not report.is_done:
        seats.write_at = ctx.clock.monotonic() + _WRITE_RETRY_S
        return
    for seat, owner in report.job.owners.items():
        if seats.unwritten.get(seat) == owner:
            del seats.unwritten[seat]
    for seat, epoch in report.job.released.items():
        if seats.unwritten_releases.get(seat) == epoch:
            del seats.unwritten_releases[seat]
