"""The listeners of an instance and their limits for callers."""

import os
import resource
from collections.abc import Mapping
from typing import TYPE_CHECKING

from chiverun.core.listenerlimits import default_connections
from chiverun.core.listenerlimits import default_held_bytes
from chiverun.core.listenerlimits import Listener
from chiverun.core.listenerlimits import split_limits
from chiverun.integrations.web import BODY_BYTES_MAX
from chiverun.integrations.web import WebServer

if TYPE_CHECKING:
    from chiverun.core.ids import Address
    from chiverun.core.listenerlimits import ListenerLimits
    from chiverun.core.settings import Settings
    from chiverun.integrations.telemetry import Telemetry
    from chiverun.integrations.web import Handler

_MIB = 1024 * 1024
# No request to the look-up listener needs a body.
_LOOKUP_BODY_BYTES_MAX = 16 * 1024


def make_listeners(
    *,
    cfg: "Settings",
    telemetry: "Telemetry",
    handlers: "Mapping[Listener, Handler]",
) -> list[WebServer]:
    """Return the server of each listener."""
    return [
        WebServer(
            address=_address(cfg, listener),
            handler=handler,
            threads=_threads(cfg, listener),
            name=listener.value,
            limits=_limits(cfg, listener),
            body_bytes_max=(
                _LOOKUP_BODY_BYTES_MAX
                if listener is Listener.LOOKUP
                else BODY_BYTES_MAX
            ),
            count_refusal=lambda reason, listener=listener: (
                telemetry.callers_refused.add(
                    1, {"listener": listener.value, "reason": reason}
                )
            ),
        )
        for listener, handler in handlers.items()
    ]


def _address(cfg: "Settings", listener: Listener) -> "Address":
    match listener:
        case Listener.LOOKUP:
            return cfg.lookup_address
        case Listener.ENTRY:
            return cfg.entry_address
        case Listener.FORWARD:
            return cfg.forward_address


def _threads(cfg: "Settings", listener: Listener) -> int:
    match listener:
        case Listener.LOOKUP:
            return cfg.lookup_threads
        case Listener.ENTRY:
            return cfg.entry_threads
        case Listener.FORWARD:
            return cfg.forward_threads


def _limits(cfg: "Settings", listener: Listener) -> "ListenerLimits":
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    memory = os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")
    held_bytes = default_held_bytes(memory)
    if cfg.held_mib_max is not None:
        held_bytes = cfg.held_mib_max * _MIB
    return split_limits(
        listener,
        connections=cfg.connections_max or default_connections(descriptors),
        address_connections=cfg.address_connections_max,
        held_bytes=held_bytes,
        idle_s=cfg.idle_timeout_s,
        head_s=cfg.head_timeout_s,
        progress_s=cfg.progress_timeout_s,
        progress_bytes_per_s=cfg.progress_bytes_per_s,
    )
