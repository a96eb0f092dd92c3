"""Table of backend servers that are draining."""

from collections.abc import Collection
from typing import TYPE_CHECKING

from chiverun.core import dissemination
from chiverun.core.ids import ServerName
from chiverun.runtime import gossip
from chiverun.runtime import publishing

if TYPE_CHECKING:
    from chiverun.runtime.context import ControlContext


def run_drains(ctx: "ControlContext", now: float) -> None:
    """Record servers that report draining; remove expired entries."""
    record_draining(ctx, ctx.admission.draining_servers(), now)
    for server, until in list(ctx.drains.until.items()):
        if until <= now:
            del ctx.drains.until[server]


def record_draining(
    ctx: "ControlContext", servers: Collection[ServerName], now: float
) -> None:
    """Record draining servers and announce new ones to the zone at once.

    In a large zone, a peer's next ping in turn may come after the time within
    which a draining server must get no more work.
    """
    until = ctx.drains.until
    is_new = any(until.get(s, now) <= now for s in servers)
    for server in servers:
        until[server] = now + dissemination.DRAIN_NOTICE_S
    if is_new:
        publishing.publish(ctx, now)
        gossip.ping_zone(ctx)
