"""Failure detection in the zone, and pings to other zones and seeds."""

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
# Longer, since all instances ping the same few seeds.
_SEED_JOINED_PERIOD_S = 5.0
_STARTUP_S = 10.0
WATCHERS_PER_ZONE = 2


def run_members(ctx: "ControlContext", now: float) -> None:
    """Evaluate the last probe and send the next pings."""
    membership.expire(ctx.members, ctx.identity.zone, now)
    if membership.needs_indirect(ctx.members, now):
        _request_indirect_probes(ctx)
    for row in membership.members_to_check(
        ctx.members, ctx.identity.zone, now
    ):
        gossip.send_numbered_ping(ctx, row.peer, row.instance)
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
    """Ping one seed per period, so that partitioned zones rejoin."""
    known = {m.peer for m in ctx.members.rows.values() if m.is_live}
    is_new = not known or now - ctx.started_at < _STARTUP_S
    period_s = _SEED_PERIOD_S if is_new else _SEED_JOINED_PERIOD_S
    if now - ctx.seeds_pinged_at < period_s:
        return
    ctx.seeds_pinged_at = now
    seeds = [s for s in ctx.identity.seeds if s != ctx.identity.peer]
    if not seeds:
        return
    unknown = [s for s in seeds if s not in known]
    gossip.ping(ctx, ctx.rng.choice(unknown or seeds), None, sequence=0)


def _request_indirect_probes(ctx: "ControlContext") -> None:
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
    """Record an acknowledgement, and relay it if a peer asked for it."""
    now = ctx.clock.monotonic()
    if 0 < sequence <= ctx.members.sequence:
        membership.record_ack(ctx.members, content.sender, sequence, now)
    gossip.merge(ctx, content)
    row = ctx.members.rows.get(content.sender.instance)
    if row is not None and row.boot_id == content.sender.boot_id:
        row.acked_at = now
        if gossip.knows_same_holders(ctx, content):
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
    """Ping a third instance on behalf of a peer."""
    ctx.members.sequence += 1
    relay_sequence = ctx.members.sequence
    relayed = ctx.members.relayed
    while len(relayed) >= membership.RELAYED_MAX:
        del relayed[next(iter(relayed))]
    relayed[relay_sequence] = (sender, sequence)
    gossip.ping(ctx, target, None, sequence=relay_sequence)


def is_watcher(ctx: "ControlContext") -> bool:
    """Return whether this instance watches the store for its zone.

    The instances with the lowest names do. If instances disagree on the
    members, extra watchers only cost a few reads of the store.
    """
    lower = [
        m
        for m in ctx.members.live_in_zone(ctx.identity.zone)
        if m.advert is not None
        and m.state is MemberState.ALIVE
        and m.instance < ctx.identity.instance
    ]
    return len(lower) < WATCHERS_PER_ZONE
