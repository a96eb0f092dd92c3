"""Application of accepted tickets and their spread between instances."""

from collections.abc import Iterable
from typing import TYPE_CHECKING

import logbook

from chiverun.core import dissemination
from chiverun.core import seats as seat_rules
from chiverun.core.errors import ChiverunError
from chiverun.core.errors import ResultCode
from chiverun.core.ids import Address
from chiverun.core.messages import Announce
from chiverun.core.messages import Pull
from chiverun.core.messages import StateChunk
from chiverun.core.messages import Tickets
from chiverun.core.state import decode_state
from chiverun.core.state import State
from chiverun.core.ticketentry import apply_entry
from chiverun.core.ticketentry import Entry
from chiverun.runtime import publishing

if TYPE_CHECKING:
    from chiverun.runtime.context import ControlContext

_LOG = logbook.Logger("control")


def record_fork(ctx: "ControlContext", reason: str) -> None:
    """Record the reason of a fork and log it once."""
    if ctx.fork_reason != reason:
        ctx.fork_reason = reason
        _LOG.critical("ticket history has forked", extra={"reason": reason})


def pull_if_behind(
    ctx: "ControlContext", sender: Address, number: int
) -> None:
    """Request tickets from a peer that has newer ones."""
    own = ctx.state.number
    now = ctx.clock.monotonic()
    if ctx.pull_schedule.allows(
        sender=sender, offered=number, own_number=own, now=now
    ):
        ctx.send(sender, Pull(sender=ctx.identity.peer, number=own))


def on_pull(ctx: "ControlContext", sender: Address, number: int) -> None:
    """Send a peer the tickets that it lacks, or the whole state."""
    if number >= ctx.state.number:
        return
    batches = dissemination.entries_after(ctx.recent_tickets.entries(), number)
    if batches is not None:
        for batch in batches:
            ctx.send(sender, Tickets(entries=batch))
        return
    for chunk in dissemination.state_chunks(ctx.state):
        ctx.send(sender, chunk)


def on_chunk(ctx: "ControlContext", chunk: StateChunk) -> None:
    """Collect a chunk of a state; adopt the state once complete."""
    if chunk.number <= ctx.state.number:
        return
    ctx.received_chunks = dissemination.merge_chunk(ctx.received_chunks, chunk)
    if len(ctx.received_chunks) < chunk.total:
        return
    parts = [ctx.received_chunks[i].data for i in sorted(ctx.received_chunks)]
    ctx.received_chunks = {}
    try:
        adopt_state(ctx, decode_state(b"".join(parts)))
    except ChiverunError as exc:
        _LOG.error("rejected malformed state from peer", extra={"e": str(exc)})


def apply_entries(ctx: "ControlContext", entries: Iterable[Entry]) -> None:
    """Apply tickets that continue the history; skip others."""
    before = ctx.state
    for entry in entries:
        if entry.number != ctx.state.number + 1:
            continue
        try:
            ctx.state = apply_entry(ctx.state, entry)
        except ChiverunError as exc:
            if exc.code is ResultCode.TICKET_FORK:
                record_fork(ctx, exc.message)
            break
        ctx.recent_tickets.append(entry)
    _publish_new_state(ctx, before)


def adopt_state(ctx: "ControlContext", state: State) -> None:
    """Adopt a whole state if it is newer and continues the history."""
    before = ctx.state
    if state.number <= before.number:
        return
    is_continuation = state.follows(before.number, before.digest)
    if is_continuation is False:
        record_fork(
            ctx,
            f"a state of ticket {state.number} has another ticket "
            f"{before.number}",
        )
        return
    if is_continuation is None:
        _LOG.warning(
            "adopted state without comparing its history",
            extra={"from": before.number},
        )
    ctx.state = state
    ctx.recent_tickets.clear()
    _publish_new_state(ctx, before)


def _publish_new_state(ctx: "ControlContext", before: State) -> None:
    if ctx.state.number == before.number:
        return
    now = ctx.clock.monotonic()
    # Set again by the next exchange with a peer that has the other history.
    ctx.fork_reason = None
    seat_rules.keep_old_deadlines(
        ctx.seats, before, ctx.state, ctx.identity.zone, now
    )
    ctx.in_force_at = now
    publishing.publish(ctx, now)
    _LOG.info("ticket in force", extra={"number": ctx.state.number})
    announce = Announce(sender=ctx.identity.peer, number=ctx.state.number)
    for target in dissemination.announce_targets(
        ctx.members, ctx.identity.zone, ctx.rng
    ):
        ctx.send(target.peer, announce)
