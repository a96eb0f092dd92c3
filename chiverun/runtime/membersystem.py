"""Probes the members of the zone and pings other zones and seeds."""

from typing import TYPE_CHECKING

from chiverun.core import dissemination
from chiverun.core import membership
from chiverun.core.ids import Address
from chiverun.core.messages import Gossip
from chiverun.core.messages import IndirectAck
from chiverun.core.messages import MemberState
from chiverun.core.messages import PingRequest
from chiverun.runtime import gossip

if TYPE_CHECKING:
    from chiverun.runtime.context import ControlContext

_SEED_PERIOD_S = 1.0
# All instances ping the same few seeds.
_SEED_KNOWN_PERIOD_S = 5.0
_START_S = 10.0
WATCHERS_PER_ZONE = 2


def run_members(ctx: "ControlContext", now: float) -> None:
    """Judge the last probe and send the next pings."""
    membership.expire(ctx.members, ctx.identity.zone, now)
    if membership.needs_indirect(ctx.members, now):
        _ask_indirect(ctx)
    for row in membership.members_to_check(
        ctx.members, ctx.identity.zone, now
    ):
        gossip.ping_numbered(ctx, row.peer, row.instance)
    if now < ctx.members.next_probe_at:
        return
    ctx.members.next_probe_at = now + membership.PERIOD_S
    target = membership.next_probe(
        ctx.members, ctx.identity.zone, now, ctx.rng
    )
    if target is not None:
        gossip.ping(ctx, target.peer, target.instance)
    remote = dissemination.select_remote(
        ctx.members, ctx.identity.zone, ctx.rng
    )
    if remote is not None:
        gossip.ping(ctx, remote.peer, None, sequence=0)
    _ping_seed(ctx, now)


def _ping_seed(ctx: "ControlContext", now: float) -> None:
    """Ping one seed a period, so that a lost zone is found again."""
    known = {m.peer for m in ctx.members.rows.values() if m.is_live}
    is_new = not known or now - ctx.started_at < _START_S
    period_s = _SEED_PERIOD_S if is_new else _SEED_KNOWN_PERIOD_S
    if now - ctx.seeds_pinged_at < period_s:
        return
    ctx.seeds_pinged_at = now
    seeds = [s for s in ctx.identity.seeds if s != ctx.identity.peer]
    if not seeds:
        return
    unknown = [s for s in seeds if s not in known]
    gossip.ping(ctx, ctx.rng.choice(unknown or seeds), None, sequence=0)


def _ask_indirect(ctx: "ControlContext") -> None:
    probe = ctx.members.probe
    row = ctx.members.rows.get(probe.target)
    if row is None:
        return
    for helper in membership.indirect_helpers(
        ctx.members, ctx.identity.zone, ctx.rng
    ):
        ctx.send(
            helper.peer,
            PingRequest(
                sequence=probe.sequence,
                sender=ctx.identity.peer,
                target=row.peer,
            ),
        )


def on_ack(ctx: "ControlContext", sequence: int, content: Gossip) -> None:
    """Note an acknowledgement, and pass it on if it was relayed."""
    now = ctx.clock.monotonic()
    if 0 < sequence <= ctx.members.sequence:
        membership.record_ack(ctx.members, content.sender, sequence, now)
    gossip.merge(ctx, content)
    row = ctx.members.rows.get(content.sender.instance)
    if row is not None and row.boot_id == content.sender.boot_id:
        row.acked_at = now
        if gossip.has_same_marks(ctx, content):
            row.synced_sequence = max(row.synced_sequence, sequence)
    relayed = ctx.members.relayed.pop(sequence, None)
    if relayed is not None:
        address, original = relayed
        ctx.send(address, IndirectAck(sequence=original))
    elif sequence:
        membership.acknowledge(ctx.members, sequence, now)


def relay_ping(
    ctx: "ControlContext", sequence: int, sender: Address, target: Address
) -> None:
    """Ping a third instance for a peer."""
    ctx.members.sequence += 1
    own = ctx.members.sequence
    relayed = ctx.members.relayed
    while len(relayed) >= membership.RELAYED_MAX:
        del relayed[next(iter(relayed))]
    relayed[own] = (sender, sequence)
    gossip.ping(ctx, target, None, sequence=own)


def is_watcher(ctx: "ControlContext") -> bool:
    """Tell whether this instance watches the store for its zone.

    The instances with the lowest names do. Two watchers that disagree
    on the members cost a few reads and nothing else.
    """
    lower = [
        m
        for m in ctx.members.live_in_zone(ctx.identity.zone)
        if m.advert is not None
        and m.state is MemberState.ALIVE
        and m.instance < ctx.identity.instance
    ]
    return len(lower) < WATCHERS_PER_ZONE
