"""One edge instance: assembly, start, reload and stop."""

import asyncio
import signal
import uuid
from collections.abc import Awaitable
from collections.abc import Callable

import logbook

from chiverun.core.catalog import Machine
from chiverun.core.catalog import RouteTable
from chiverun.core.edgesettings import EdgeSettings
from chiverun.core.errors import ChiverunError
from chiverun.core.errors import ResultCode
from chiverun.core.ids import Address
from chiverun.core.ids import BootId
from chiverun.core.ids import ZoneName
from chiverun.integrations.asyncserver import Handler
from chiverun.integrations.asyncserver import IncomingRequest
from chiverun.integrations.asyncserver import listen
from chiverun.integrations.asyncserver import ListenerState
from chiverun.integrations.asyncserver import OutgoingResponse
from chiverun.integrations.catalogstore import CatalogStore
from chiverun.integrations.network import AddressMap
from chiverun.integrations.peers import ZmqPeers
from chiverun.runtime.directory import Directory
from chiverun.runtime.edgemetrics import EdgeMetrics
from chiverun.runtime.follower import CatalogFollower
from chiverun.runtime.headercodec import HeaderCodec
from chiverun.runtime.selection import Selector
from chiverun.runtime.sending import Sender
from chiverun.runtime.servertable import ServerTable
from chiverun.runtime.steering import Steering
from chiverun.runtime.steering import Stopping

_LOG = logbook.Logger("edge")

# Callers' cached look-ups have ended by then.
STOP_LINGER_S = 3.2
# No request came for so long: callers have gone elsewhere.
STOP_QUIET_S = 0.5
# Idle connections are closed by then even if requests still come: one that
# arrives while the process ends would get no answer.
STOP_CLOSE_S = 4.2
# Kept of the grace period for closing: sockets linger and the interpreter
# takes its time on a slow machine.
STOP_MARGIN_S = 0.9
_STOP_POLL_S = 0.05
_RESTART_PAUSE_S = 0.5


class Edge:
    """An instance that serves clients by the catalog of its platform."""

    def __init__(
        self,
        *,
        cfg: EdgeSettings,
        store: CatalogStore,
        header_codec: HeaderCodec,
        read_settings: Callable[[], EdgeSettings],
    ) -> None:
        self.cfg = cfg
        self._read_settings = read_settings
        self._loop = asyncio.get_running_loop()
        self._stopping = asyncio.Event()
        self._stop_asked_at = 0.0
        self._boot_id = BootId(uuid.uuid4().hex[:12])
        self._peers = ZmqPeers(bind=cfg.peer, addresses=AddressMap(mapping={}))
        self._me = Machine(
            name=cfg.name,
            peer=cfg.peer,
            entry=cfg.entry,
            zone=cfg.zone,
            region=cfg.region,
        )
        self.follower = CatalogFollower(
            me=self._me,
            boot_id=self._boot_id,
            store=store,
            peers=self._peers,
            seeds=cfg.seeds,
            on_change=self._sync,
        )
        self.metrics = EdgeMetrics()
        self._servers = ServerTable(machine=cfg.name)
        selector = Selector(
            table=self._servers,
            region=cfg.region,
            zone=cfg.zone,
            bounds=cfg.bounds,
            machines=self._machines,
            region_zones=self._region_zones,
        )
        self._sender = Sender(header_codec=header_codec)
        self._steering = Steering(
            header_codec=header_codec,
            selector=selector,
            sender=self._sender,
            bounds=cfg.bounds,
            machines=self._machines,
            catalog_age_s=self.follower.age_s,
            metrics=self.metrics,
        )
        self.directory = Directory(
            table=self.follower.table, leaving=self.is_stopping
        )
        self._entry = ListenerState(handler=self._handle)
        self._listeners: list[asyncio.Server] = []
        self._tasks: list[asyncio.Task[None]] = []

    def is_ready(self) -> bool:
        """Tell whether clients should connect to this instance."""
        return self.follower.is_current and not self.is_stopping()

    async def _handle(self, incoming: IncomingRequest) -> OutgoingResponse:
        stopping = None
        if self.is_stopping():
            since_s = self._loop.time() - self._stop_asked_at
            stopping = Stopping(
                since_s=since_s, ends_in_s=self._stop_after_s() - since_s
            )
        return await self._steering.handle(incoming, stopping)

    def _stop_after_s(self) -> float:
        return self.cfg.bounds.stop_grace_s - STOP_MARGIN_S

    def is_stopping(self) -> bool:
        """Tell whether this instance was asked to stop."""
        return self._stopping.is_set()

    async def start(self, handlers: dict[Address, Handler]) -> None:
        """Listen and follow the catalog; `handlers` serve other addresses.

        Raises
        ------
        ChiverunError
            PORT_IN_USE.
        """
        self.follower.start()
        await self._listen(self.cfg.entry, self._entry)
        for address, handler in handlers.items():
            await self._listen(address, ListenerState(handler=handler))
        self._spawn("follow", self.follower.follow)
        self._spawn("beat", self.follower.beat)
        _LOG.info(
            "started",
            extra={
                "life": self._boot_id,
                "zone": self.cfg.zone,
                "region": self.cfg.region,
                "entry": self.cfg.entry,
            },
        )

    async def run(self) -> None:
        """Serve until asked to stop, then leave gracefully."""
        self._loop.add_signal_handler(signal.SIGTERM, self.ask_stop)
        self._loop.add_signal_handler(signal.SIGINT, self.ask_stop)
        self._loop.add_signal_handler(signal.SIGHUP, self._reload)
        await self._stopping.wait()
        await self._leave()
        self._close()

    def _reload(self) -> None:
        """Read the settings again; what is not valid changes nothing."""
        try:
            cfg = self._read_settings()
        except ChiverunError as exc:
            _LOG.error("reload failed", extra={"reason": str(exc)})
            return
        _LOG.info("reloaded", extra={"changed": cfg != self.cfg})

    def ask_stop(self) -> None:
        """Begin to leave; repeats are ignored."""
        if self.is_stopping():
            return
        self._stop_asked_at = self._loop.time()
        self._stopping.set()
        self._entry.closing = True
        self.follower.leaving = True
        self.follower.send_beats()
        _LOG.info("stop asked", extra={"active": self._entry.active()})

    async def _leave(self) -> None:
        """Serve what still comes, then what runs, within the grace period."""
        last_s = self._stop_after_s()
        while (passed_s := self._loop.time() - self._stop_asked_at) < last_s:
            await asyncio.sleep(_STOP_POLL_S)
            quiet_s = self._loop.time() - self._entry.last_request_at
            is_quiet = quiet_s >= STOP_QUIET_S or passed_s >= STOP_CLOSE_S
            if passed_s < STOP_LINGER_S or not is_quiet:
                continue
            for listener in self._listeners:
                listener.close()
            for connection in list(self._entry.connections):
                connection.close_if_idle()
            if not self._entry.active():
                break
        _LOG.info(
            "stopped",
            extra={
                "after_s": round(self._loop.time() - self._stop_asked_at, 2),
                "active": self._entry.active(),
            },
        )

    def _close(self) -> None:
        for listener in self._listeners:
            listener.close()
        for task in self._tasks:
            task.cancel()
        self._servers.close()
        self._peers.stop()

    async def _listen(self, address: Address, state: ListenerState) -> None:
        try:
            self._listeners.append(await listen(address, state))
        except OSError as exc:
            raise ChiverunError(
                ResultCode.PORT_IN_USE, f"cannot listen on {address}: {exc}"
            ) from exc

    def _spawn(self, name: str, work: Callable[[], Awaitable[None]]) -> None:
        """Run endless work; what fails is logged and begun again."""

        async def supervise() -> None:
            while True:
                try:
                    await work()
                except asyncio.CancelledError:
                    raise
                except Exception:
                    _LOG.exception("work failed", extra={"work": name})
                await asyncio.sleep(_RESTART_PAUSE_S)

        self._tasks.append(self._loop.create_task(supervise(), name=name))

    def _machines(self) -> set:
        return self.follower.table.known

    def _region_zones(self) -> list[ZoneName]:
        """Return the zone of each other live machine of the region."""
        return [m.zone for m in self.follower.table.live(self._loop.time())]

    def _sync(self) -> None:
        """Take over a change of the catalog."""
        state = self.follower.replica.desired_state()
        if state is None:
            return
        routes = self._steering.routes
        if routes is None or routes.version != state.version:
            routes = RouteTable.of(state)
            self._steering.routes = routes
            self._entry.limits = routes.limits
            _LOG.info(
                "desired state in force", extra={"version": state.version}
            )
        self._servers.sync(
            self.follower.replica,
            routes,
            dict(self.cfg.regions),
            self._loop.time(),
        )
