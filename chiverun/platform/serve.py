"""Runs an edge instance on the platform."""

import asyncio
import gc

import logbook

from chiverun.core.bytebudget import ByteBudget
from chiverun.core.bytebudget import limit_of
from chiverun.core.edgesettings import EdgeSettings
from chiverun.integrations.logs import set_up_stdout_logs
from chiverun.integrations.readturns import ReadTurns
from chiverun.platform.headercodec import PlatformHeaderCodec
from chiverun.platform.ingress import Ingress
from chiverun.platform.settings import read_platform_settings
from chiverun.platform.store import PlatformStore
from chiverun.runtime.edge import Edge

_LOG = logbook.Logger("platform")


def serve_platform() -> None:
    """Serve until SIGTERM.

    Raises
    ------
    ChiverunError
        If the settings are not valid or an address is already in use.
    """
    cfg = read_platform_settings()
    set_up_stdout_logs(level="INFO", instance=cfg.name)
    # Excludes the imported libraries from each garbage collection.
    gc.freeze()
    asyncio.run(_serve(cfg))


async def _serve(cfg: EdgeSettings) -> None:
    turns = ReadTurns()
    memory = ByteBudget(limit=limit_of(cfg.memory_bytes))
    store = PlatformStore(address=cfg.store, turns=turns, memory=memory)
    edge = Edge(
        cfg=cfg,
        store=store,
        turns=turns,
        memory=memory,
        header_codec=PlatformHeaderCodec(),
        read_settings=read_platform_settings,
    )
    ingress = Ingress(directory=edge.directory, is_ready=edge.is_ready)
    await edge.start(
        {
            cfg.directory: ingress.resolve,
            cfg.readiness: ingress.readiness,
            cfg.metrics: edge.metrics.handle,
        }
    )
    await edge.run()
    store.close()
