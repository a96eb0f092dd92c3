"""Applies accepted tickets and passes them between instances."""

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


def note_fork(ctx: "ControlContext", reason: str) -> None:
    """Keep the reason of a fork and raise the alarm once."""
    if ctx.fork != reason:
        ctx.fork = reason
        _LOG.critical("ticket fork", extra={"reason": reason})


def pull_if_behind(
    ctx: "ControlContext", sender: Address, number: int
) -> None:
    """Ask a peer for tickets if it has newer ones."""
    own = ctx.state.number
    now = ctx.clock.monotonic()
    if ctx.pulls.allows(sender=sender, offered=number, own=own, now=now):
        ctx.send(sender, Pull(sender=ctx.identity.peer, number=own))


def on_pull(ctx: "ControlContext", sender: Address, number: int) -> None:
    """Send the tickets or the state that a peer asks for."""
    if number >= ctx.state.number:
        return
    batches = dissemination.entries_after(ctx.recent.entries(), number)
    if batches is not None:
        for batch in batches:
            ctx.send(sender, Tickets(entries=batch))
        return
    for chunk in dissemination.state_chunks(ctx.state):
        ctx.send(sender, chunk)


def on_chunk(ctx: "ControlContext", chunk: StateChunk) -> None:
    """Collect a part of a state; adopt it when complete."""
    if chunk.number <= ctx.state.number:
        return
    ctx.chunks = dissemination.merge_chunk(ctx.chunks, chunk)
    if len(ctx.chunks) < chunk.total:
        return
    parts = [ctx.chunks[i].data for i in sorted(ctx.chunks)]
    ctx.chunks = {}
    try:
        adopt_state(ctx, decode_state(b"".join(parts)))
    except ChiverunError as exc:
        _LOG.error("state of a peer is malformed", extra={"e": str(exc)})


def apply_entries(ctx: "ControlContext", entries: Iterable[Entry]) -> None:
    """Apply tickets that follow; others are skipped."""
    before = ctx.state
    for entry in entries:
        if entry.number != ctx.state.number + 1:
            continue
        try:
            ctx.state = apply_entry(ctx.state, entry)
        except ChiverunError as exc:
            if exc.code is ResultCode.TICKET_FORK:
                note_fork(ctx, exc.message)
            break
        ctx.recent.append(entry)
    _after_advance(ctx, before)


def adopt_state(ctx: "ControlContext", state: State) -> None:
    """Take over a whole state, only if it is newer and continues."""
    before = ctx.state
    if state.number <= before.number:
        return
    continues = state.follows(before.number, before.digest)
    if continues is False:
        note_fork(
            ctx,
            f"a state of ticket {state.number} has another ticket "
            f"{before.number}",
        )
        return
    if continues is None:
        _LOG.warning("history not comparable", extra={"from": before.number})
    ctx.state = state
    ctx.recent.clear()
    _after_advance(ctx, before)


def _after_advance(ctx: "ControlContext", before: State) -> None:
    if ctx.state.number == before.number:
        return
    now = ctx.clock.monotonic()
    # Raised again by the next exchange if the other history is still met.
    ctx.fork = None
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
