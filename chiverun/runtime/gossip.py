"""Exchange of adverts and other gossip with peers."""

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
    """Return an advert with the current state of this instance."""
    ctx.advert_sequence += 1
    me = ctx.identity
    return Advert(
        instance=me.instance,
        boot_id=me.boot_id,
        incarnation=ctx.incarnation,
        sequence=ctx.advert_sequence,
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


def _make_gossip(ctx: "ControlContext", about: InstanceId | None) -> Gossip:
    now = ctx.clock.monotonic()
    return Gossip(
        sender=make_advert(ctx),
        number=ctx.state.number,
        digest=ctx.state.digest,
        holders_digest=seat_rules.holders_digest(ctx.seats),
        updates=membership.next_updates(ctx.members, about),
        adverts=dissemination.select_adverts(ctx.members, now, ctx.rng),
        draining=dissemination.select_drain_notices(ctx.drains, now),
    )


def ping(
    ctx: "ControlContext",
    address: Address,
    about: InstanceId | None,
    sequence: int | None = None,
) -> None:
    """Send a ping; one with sequence 0 is not a probe."""
    if sequence is None:
        sequence = ctx.members.sequence
    ctx.send(address, Ping(sequence=sequence, gossip=_make_gossip(ctx, about)))


def send_numbered_ping(
    ctx: "ControlContext", address: Address, about: InstanceId | None
) -> None:
    """Send a ping with a new sequence number, apart from the probes."""
    ctx.members.sequence += 1
    ping(ctx, address, about)


def reply(ctx: "ControlContext", sender: Advert, sequence: int) -> None:
    """Acknowledge a ping."""
    content = _make_gossip(ctx, sender.instance)
    ctx.send(sender.peer, Ack(sequence=sequence, gossip=content))


def ping_zone(ctx: "ControlContext") -> None:
    """Ping all live members of this zone."""
    for row in ctx.members.live_in_zone(ctx.identity.zone):
        send_numbered_ping(ctx, row.peer, row.instance)


def ping_remote(ctx: "ControlContext") -> None:
    """Ping some instances of each other zone."""
    for row in dissemination.contacts_by_zone(
        ctx.members, ctx.identity.zone, ctx.rng
    ):
        send_numbered_ping(ctx, row.peer, None)


def merge(ctx: "ControlContext", content: Gossip) -> None:
    """Merge the gossip of a ping or an acknowledgement."""
    now = ctx.clock.monotonic()
    zone = ctx.identity.zone
    for advert in (content.sender, *content.adverts):
        if advert.instance != ctx.identity.instance:
            membership.merge_advert(ctx.members, advert, zone, now)
        elif advert.boot_id != ctx.identity.boot_id:
            _exceed_incarnation(ctx, advert)
        _record_advertised_holders(ctx, advert)
    for update in content.updates:
        if update.instance == ctx.identity.instance:
            _refute(ctx, update.incarnation, update.state)
        else:
            membership.merge_update(ctx.members, update, now)
    dissemination.merge_drain_notices(ctx.drains, content.draining, now)
    _check_fork(ctx, content)
    ticketspread.pull_if_behind(ctx, content.sender.peer, content.number)
    if content.sender.zone == zone and not knows_same_holders(ctx, content):
        send_holder_records(ctx, content.sender.peer, _all_holder_records(ctx))


def knows_same_holders(ctx: "ControlContext", content: Gossip) -> bool:
    """Return whether the sender knew the same holders of the zone's seats."""
    return content.holders_digest == seat_rules.holders_digest(ctx.seats)


def _record_advertised_holders(ctx: "ControlContext", advert: Advert) -> None:
    if advert.zone == ctx.identity.zone:
        for claim in advert.seats:
            holder = SeatHolder(claim.epoch, advert.boot_id)
            seat_rules.record_holder(ctx.seats, claim.seat, holder)


def _all_holder_records(ctx: "ControlContext") -> tuple[SeatHolderRecord, ...]:
    return tuple(
        SeatHolderRecord(seat=seat, epoch=holder.epoch, boot_id=holder.boot_id)
        for seat, holder in ctx.seats.known_holders.items()
    )


def send_holder_records(
    ctx: "ControlContext",
    address: Address,
    records: tuple[SeatHolderRecord, ...],
) -> None:
    """Send known seat holders to an instance of this zone."""
    if records:
        ctx.send(
            address,
            SeatHolderRecords(
                zone=ctx.identity.zone,
                sender=ctx.identity.peer,
                known_holders=records,
            ),
        )


def on_holder_records(
    ctx: "ControlContext", message: SeatHolderRecords
) -> None:
    """Record later holders; reply with those the sender does not know."""
    if message.zone != ctx.identity.zone:
        return
    for m in message.known_holders:
        seat_rules.record_holder(
            ctx.seats, m.seat, SeatHolder(m.epoch, m.boot_id)
        )
    later = seat_rules.newer_holders(ctx.seats, message.known_holders)
    send_holder_records(ctx, message.sender, later)


def _exceed_incarnation(ctx: "ControlContext", advert: Advert) -> None:
    """Exceed the incarnation of an earlier process of this instance."""
    if advert.incarnation >= ctx.incarnation:
        ctx.incarnation = advert.incarnation + 1


def _refute(
    ctx: "ControlContext", incarnation: int, state: MemberState
) -> None:
    if state is not MemberState.ALIVE and incarnation >= ctx.incarnation:
        ctx.incarnation = incarnation + 1


def _check_fork(ctx: "ControlContext", content: Gossip) -> None:
    if ctx.state.follows(content.number, content.digest) is False:
        ticketspread.record_fork(
            ctx,
            f"instance {content.sender.instance} has another ticket "
            f"{content.number}",
        )
