"""Keeps the signs of backend servers that are leaving."""

from typing import TYPE_CHECKING

from chiverun.core import dissemination
from chiverun.core.ids import ServerName

if TYPE_CHECKING:
    from chiverun.runtime.context import ControlContext


def run_drains(ctx: "ControlContext", now: float) -> None:
    """Note servers that said they drain; drop old signs."""
    for server in ctx.admission.draining_servers():
        note_drain(ctx, server, now)
    for server, until in list(ctx.drains.until.items()):
        if until <= now:
            del ctx.drains.until[server]


def note_drain(ctx: "ControlContext", server: ServerName, now: float) -> None:
    """Note that a server is leaving."""
    ctx.drains.until[server] = now + dissemination.DRAIN_SIGN_S
