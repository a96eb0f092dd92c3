"""Adverts and gossip: what this instance tells and takes over."""

from typing import TYPE_CHECKING

from chiverun.core import dissemination
from chiverun.core import membership
from chiverun.core.ids import Address
from chiverun.core.ids import InstanceId
from chiverun.core.messages import Ack
from chiverun.core.messages import Advert
from chiverun.core.messages import Gossip
from chiverun.core.messages import MemberState
from chiverun.core.messages import Ping
from chiverun.core.messages import SeatClaim
from chiverun.runtime import ticketspread

if TYPE_CHECKING:
    from chiverun.runtime.context import ControlContext


def make_advert(ctx: "ControlContext") -> Advert:
    """Make an advert of this instance as it is now."""
    ctx.sequence += 1
    me = ctx.identity
    return Advert(
        instance=me.instance,
        life=me.life,
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
        room=ctx.admission.room(),
        number=ctx.state.number,
    )


def _gossip(ctx: "ControlContext", about: InstanceId | None) -> Gossip:
    now = ctx.clock.monotonic()
    return Gossip(
        sender=make_advert(ctx),
        number=ctx.state.number,
        digest=ctx.state.digest,
        updates=membership.take_updates(ctx.members, about),
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


def reply(ctx: "ControlContext", sender: Advert, sequence: int) -> None:
    """Acknowledge a ping."""
    gossip = _gossip(ctx, sender.instance)
    ctx.send(sender.peer, Ack(sequence=sequence, gossip=gossip))


def ping_zone(ctx: "ControlContext") -> None:
    """Ping all live members of the zone."""
    for row in ctx.members.live_in_zone(ctx.identity.zone):
        ping(ctx, row.peer, row.instance, sequence=0)


def merge(ctx: "ControlContext", gossip: Gossip) -> None:
    """Take over what a ping or an acknowledgement carries."""
    now = ctx.clock.monotonic()
    for advert in (gossip.sender, *gossip.adverts):
        if advert.instance != ctx.identity.instance:
            membership.merge_advert(ctx.members, advert, now)
            _note_epochs(ctx, advert)
        elif advert.life != ctx.identity.life:
            _outlive(ctx, advert)
    for update in gossip.updates:
        if update.instance == ctx.identity.instance:
            _refute(ctx, update.incarnation, update.state)
        else:
            membership.merge_update(ctx.members, update, now)
    dissemination.merge_drain_signs(ctx.drains, gossip.draining, now)
    _check_fork(ctx, gossip)
    ticketspread.pull_if_behind(ctx, gossip.sender.peer, gossip.number)


def _note_epochs(ctx: "ControlContext", advert: Advert) -> None:
    if advert.zone != ctx.identity.zone:
        return
    for claim in advert.seats:
        known = ctx.seats.epochs.get(claim.seat, 0)
        if claim.epoch > known and claim.seat not in ctx.seats.held:
            ctx.seats.epochs[claim.seat] = claim.epoch


def _outlive(ctx: "ControlContext", advert: Advert) -> None:
    """Rise above the incarnation of an earlier process, if needed."""
    if advert.incarnation >= ctx.incarnation:
        ctx.incarnation = advert.incarnation + 1


def _refute(
    ctx: "ControlContext", incarnation: int, state: MemberState
) -> None:
    if state is not MemberState.ALIVE and incarnation >= ctx.incarnation:
        ctx.incarnation = incarnation + 1


def _check_fork(ctx: "ControlContext", gossip: Gossip) -> None:
    if gossip.number == ctx.state.number and gossip.digest != ctx.state.digest:
        ticketspread.note_fork(
            ctx,
            f"instance {gossip.sender.instance} has another ticket "
            f"{gossip.number}",
        )
