"""Hands seats to other instances and takes them over."""

from typing import TYPE_CHECKING

from chiverun.core import seats as seat_rules
from chiverun.core.ids import InstanceId
from chiverun.core.ids import SeatIndex
from chiverun.core.messages import MemberState
from chiverun.core.messages import SeatRequest
from chiverun.core.messages import SeatTransfer
from chiverun.core.tables import Member
from chiverun.core.tables import Releasing
from chiverun.core.tables import Transfer
from chiverun.core.ticket import Zone
from chiverun.runtime.events import SeatsWritten
from chiverun.runtime.events import WriteSeats

if TYPE_CHECKING:
    from chiverun.runtime.context import ControlContext


def request_share(ctx: "ControlContext", zone: Zone, now: float) -> None:
    """Ask the richest holder for a part of its seats."""
    if now - ctx.seats.requested_at < seat_rules.REQUEST_PERIOD_S:
        return
    rich = seat_rules.richest_member(ctx.members, zone.name)
    if rich is None or rich.advert is None:
        return
    if len(rich.advert.seats) - len(ctx.seats.held) < 2:
        return
    ctx.seats.requested_at = now
    ctx.send(
        rich.peer,
        SeatRequest(
            instance=ctx.identity.instance,
            life=ctx.identity.life,
            peer=ctx.identity.peer,
            held=len(ctx.seats.held),
        ),
    )


def on_seat_request(ctx: "ControlContext", message: SeatRequest) -> None:
    """Release seats to an instance with fewer."""
    row = ctx.members.rows.get(message.instance)
    if row is None or not row.is_live or row.life != message.life:
        return
    if ctx.seats.releasing or ctx.seats.suspended_at is not None:
        return
    count = (len(ctx.seats.held) - message.held) // 2
    # Every other seat: neighbouring seats share one server's slots.
    for seat in sorted(ctx.seats.held)[::2][: max(0, count)]:
        _release(ctx, seat, message.instance)


def _release(
    ctx: "ControlContext", seat: SeatIndex, receiver: InstanceId | None
) -> None:
    held = ctx.seats.held.pop(seat)
    ctx.seats.releasing[seat] = Releasing(epoch=held.epoch, receiver=receiver)


def finish_releases(ctx: "ControlContext", now: float) -> None:
    """Hand over released seats whose work has ended."""
    owners = {}
    given_up = {}
    for seat, releasing in list(ctx.seats.releasing.items()):
        if not releasing.is_published:
            continue
        if ctx.admission.seat_in_use(seat):
            continue
        del ctx.seats.releasing[seat]
        receiver = _receiver(ctx, releasing)
        if receiver is None and not ctx.is_leaving:
            ctx.seats.held[seat] = seat_rules.held_after_transfer(
                releasing.epoch, now
            )
        elif receiver is None:
            given_up[seat] = releasing.epoch
        else:
            owners[seat] = _hand_to(ctx, receiver, seat, releasing.epoch)
    if owners or given_up:
        ctx.submit(WriteSeats(owners=owners, given_up=given_up))


def _receiver(ctx: "ControlContext", releasing: Releasing) -> Member | None:
    if releasing.receiver is None:
        return None
    row = ctx.members.rows.get(releasing.receiver)
    if row is None or not row.is_live or row.advert is None:
        return None
    return row


def _hand_to(
    ctx: "ControlContext", row: Member, seat: SeatIndex, epoch: int
) -> seat_rules.Owner:
    ctx.seats.transfers[seat] = Transfer(
        epoch=epoch + 1, receiver=row.instance, life=row.life
    )
    ctx.seats.epochs[seat] = epoch + 1
    return seat_rules.Owner(
        instance=row.instance,
        life=row.life,
        incarnation=row.incarnation,
        peer=row.peer,
        epoch=epoch + 1,
    )


def resend_transfers(ctx: "ControlContext", now: float) -> None:
    """Repeat transfers until the receiver holds them."""
    for seat, transfer in list(ctx.seats.transfers.items()):
        row = ctx.members.rows.get(transfer.receiver)
        if (
            row is None
            or not row.is_live
            or row.life != transfer.life
            or _has_arrived(ctx, row, seat, transfer)
        ):
            del ctx.seats.transfers[seat]
        elif now - transfer.sent_at >= seat_rules.TRANSFER_RESEND_S:
            transfer.sent_at = now
            ctx.send(
                row.peer,
                SeatTransfer(
                    seat=seat,
                    epoch=transfer.epoch,
                    instance=transfer.receiver,
                    life=transfer.life,
                ),
            )


def _has_arrived(
    ctx: "ControlContext", row: Member, seat: SeatIndex, transfer: Transfer
) -> bool:
    claims = row.advert.seats if row.advert else ()
    return any(c.seat == seat and c.epoch >= transfer.epoch for c in claims)


def on_seat_transfer(ctx: "ControlContext", message: SeatTransfer) -> None:
    """Take a seat over; a repeated or late message changes nothing."""
    if message.life != ctx.identity.life or ctx.is_leaving:
        return
    if message.epoch <= ctx.seats.epochs.get(message.seat, 0):
        return
    now = ctx.clock.monotonic()
    ctx.seats.epochs[message.seat] = message.epoch
    ctx.seats.held[message.seat] = seat_rules.held_after_transfer(
        message.epoch, now
    )


def on_seats_written(ctx: "ControlContext", report: SeatsWritten) -> None:
    """Repeat a write that failed."""
    if not report.is_done:
        ctx.submit(report.job)


def hand_over(ctx: "ControlContext") -> None:
    """Release all seats to the other live instances."""
    ctx.is_handing_over = True
    receivers = [
        m.instance
        for m in ctx.members.live_in_zone(ctx.identity.zone)
        if m.state is MemberState.ALIVE
        and m.advert is not None
        and not m.advert.leaving
    ]
    for index, seat in enumerate(sorted(ctx.seats.held)):
        receiver = receivers[index % len(receivers)] if receivers else None
        _release(ctx, seat, receiver)
    for releasing in ctx.seats.releasing.values():
        if releasing.receiver is None and receivers:
            releasing.receiver = receivers[0]
