"""Adverts and gossip: what this instance tells and takes over."""

from typing import TYPE_CHECKING

from chiverun.core import dissemination
from chiverun.core import membership
from chiverun.core import seats as seat_rules
from chiverun.core.ids import Address
from chiverun.core.ids import InstanceId
from chiverun.core.messages import Ack
from chiverun.core.messages import Advert
from chiverun.core.messages import Gossip
from chiverun.core.messages import MemberState
from chiverun.core.messages import Ping
from chiverun.core.messages import SeatClaim
from chiverun.core.messages import SeatHolderRecord
from chiverun.core.messages import SeatHolderRecords
from chiverun.core.tables import SeatHolder
from chiverun.runtime import ticketspread

if TYPE_CHECKING:
    from chiverun.runtime.context import ControlContext


def make_advert(ctx: "ControlContext") -> Advert:
    """Make an advert of this instance as it is now."""
    ctx.sequence += 1
    me = ctx.identity
    return Advert(
        instance=me.instance,
        boot_id=me.boot_id,
        incarnation=ctx.incarnation,
        sequence=ctx.sequence,
        zone=me.zone,
        lookup=me.lookup,
        entry=me.entry,
        forward=me.forward,
        peer=me.peer,
        leaving=ctx.is_leaving,
        seats=tuple(
            SeatClaim(seat=seat, epoch=held.epoch)
            for seat, held in ctx.seats.held.items()
        ),
        free_slots=ctx.admission.free_slots(),
        number=ctx.state.number,
    )


def _gossip(ctx: "ControlContext", about: InstanceId | None) -> Gossip:
    now = ctx.clock.monotonic()
    return Gossip(
        sender=make_advert(ctx),
        number=ctx.state.number,
        digest=ctx.state.digest,
        holders_digest=seat_rules.holders_digest(ctx.seats),
        updates=membership.next_updates(ctx.members, about),
        adverts=dissemination.select_adverts(ctx.members, now, ctx.rng),
        draining=dissemination.select_drain_signs(ctx.drains, now),
    )


def ping(
    ctx: "ControlContext",
    address: Address,
    about: InstanceId | None,
    sequence: int | None = None,
) -> None:
    """Send a ping; sequence 0 marks one that is not a probe."""
    if sequence is None:
        sequence = ctx.members.sequence
    ctx.send(address, Ping(sequence=sequence, gossip=_gossip(ctx, about)))


def ping_numbered(
    ctx: "ControlContext", address: Address, about: InstanceId | None
) -> None:
    """Send a ping with a number of its own, outside of the probing."""
    ctx.members.sequence += 1
    ping(ctx, address, about)


def reply(ctx: "ControlContext", sender: Advert, sequence: int) -> None:
    """Acknowledge a ping."""
    content = _gossip(ctx, sender.instance)
    ctx.send(sender.peer, Ack(sequence=sequence, gossip=content))


def ping_zone(ctx: "ControlContext") -> None:
    """Ping all live members of the zone."""
    for row in ctx.members.live_in_zone(ctx.identity.zone):
        ping_numbered(ctx, row.peer, row.instance)


def ping_remote(ctx: "ControlContext") -> None:
    """Ping some instances of each other zone."""
    for row in dissemination.contacts_by_zone(
        ctx.members, ctx.identity.zone, ctx.rng
    ):
        ping_numbered(ctx, row.peer, None)


def merge(ctx: "ControlContext", content: Gossip) -> None:
    """Take over what a ping or an acknowledgement carries."""
    now = ctx.clock.monotonic()
    zone = ctx.identity.zone
    for advert in (content.sender, *content.adverts):
        if advert.instance != ctx.identity.instance:
            membership.merge_advert(ctx.members, advert, zone, now)
        elif advert.boot_id != ctx.identity.boot_id:
            _outlive(ctx, advert)
        _note_marks(ctx, advert)
    for update in content.updates:
        if update.instance == ctx.identity.instance:
            _refute(ctx, update.incarnation, update.state)
        else:
            membership.merge_update(ctx.members, update, now)
    dissemination.merge_drain_signs(ctx.drains, content.draining, now)
    _check_fork(ctx, content)
    ticketspread.pull_if_behind(ctx, content.sender.peer, content.number)
    if content.sender.zone == zone and not has_same_marks(ctx, content):
        send_marks(ctx, content.sender.peer, _all_marks(ctx))


def has_same_marks(ctx: "ControlContext", content: Gossip) -> bool:
    """Tell whether the sender knew the same holders of the zone's seats."""
    return content.holders_digest == seat_rules.holders_digest(ctx.seats)


def _note_marks(ctx: "ControlContext", advert: Advert) -> None:
    if advert.zone == ctx.identity.zone:
        for claim in advert.seats:
            mark = SeatHolder(claim.epoch, advert.boot_id)
            seat_rules.record_holder(ctx.seats, claim.seat, mark)


def _all_marks(ctx: "ControlContext") -> tuple[SeatHolderRecord, ...]:
    return tuple(
        SeatHolderRecord(seat=seat, epoch=mark.epoch, boot_id=mark.boot_id)
        for seat, mark in ctx.seats.known_holders.items()
    )


def send_marks(
    ctx: "ControlContext",
    address: Address,
    known_holders: tuple[SeatHolderRecord, ...],
) -> None:
    """Tell an instance of the zone which holders are known."""
    if known_holders:
        ctx.send(
            address,
            SeatHolderRecords(
                zone=ctx.identity.zone,
                sender=ctx.identity.peer,
                known_holders=known_holders,
            ),
        )


def on_marks(ctx: "ControlContext", message: SeatHolderRecords) -> None:
    """Take over later holders; answer with those the sender lacks."""
    if message.zone != ctx.identity.zone:
        return
    for m in message.known_holders:
        seat_rules.record_holder(
            ctx.seats, m.seat, SeatHolder(m.epoch, m.boot_id)
        )
    later = seat_rules.newer_holders(ctx.seats, message.known_holders)
    send_marks(ctx, message.sender, later)


def _outlive(ctx: "ControlContext", advert: Advert) -> None:
    """Rise above the incarnation of an earlier process, if needed."""
    if advert.incarnation >= ctx.incarnation:
        ctx.incarnation = advert.incarnation + 1


def _refute(
    ctx: "ControlContext", incarnation: int, state: MemberState
) -> None:
    if state is not MemberState.ALIVE and incarnation >= ctx.incarnation:
        ctx.incarnation = incarnation + 1


def _check_fork(ctx: "ControlContext", content: Gossip) -> None:
    if ctx.state.follows(content.number, content.digest) is False:
        ticketspread.note_fork(
            ctx,
            f"instance {content.sender.instance} has another ticket "
            f"{content.number}",
        )
