"""Edge instance: wiring, startup, settings reload and graceful shutdown."""

import asyncio
import signal
import uuid
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

import logbook

from chiverun.core.accounts import AccountTable
from chiverun.core.accounts import unknown_homes
from chiverun.core.bytebudget import ByteBudget
from chiverun.core.bytebudget import limit_of
from chiverun.core.callerlimits import entry_limits
from chiverun.core.callerlimits import service_limits
from chiverun.core.catalog import ClientLimits
from chiverun.core.catalog import DesiredState
from chiverun.core.catalog import Machine
from chiverun.core.catalog import RouteTable
from chiverun.core.edgemessages import DemandMessage
from chiverun.core.edgemessages import LoadMessage
from chiverun.core.edgesettings import EdgeSettings
from chiverun.core.errors import ChiverunError
from chiverun.core.errors import ResultCode
from chiverun.core.ids import Address
from chiverun.core.ids import BootId
from chiverun.core.ids import ZoneName
from chiverun.core.suspects import SuspectTable
from chiverun.integrations.asyncserver import Handler
from chiverun.integrations.asyncserver import IncomingRequest
from chiverun.integrations.asyncserver import listen
from chiverun.integrations.asyncserver import ListenerState
from chiverun.integrations.asyncserver import OutgoingResponse
from chiverun.integrations.callerrefusals import CallerRefusals
from chiverun.integrations.catalogstore import CatalogStore
from chiverun.integrations.network import AddressMap
from chiverun.integrations.peers import ZmqPeers
from chiverun.integrations.readturns import ReadTurns
from chiverun.runtime.coldchecks import ColdChecks
from chiverun.runtime.coldshares import ColdShares
from chiverun.runtime.demandexchange import DemandExchange
from chiverun.runtime.directory import Directory
from chiverun.runtime.edgemetrics import EdgeMetrics
from chiverun.runtime.follower import CatalogFollower
from chiverun.runtime.headercodec import HeaderCodec
from chiverun.runtime.limitexchange import LimitExchange
from chiverun.runtime.loadexchange import LoadExchange
from chiverun.runtime.loopwatch import LoopWatch
from chiverun.runtime.processchecks import ProcessChecks
from chiverun.runtime.quotaexchange import QuotaExchange
from chiverun.runtime.selection import Selector
from chiverun.runtime.sending import Sender
from chiverun.runtime.serverprocesses import ServerProcesses
from chiverun.runtime.servertable import ServerTable
from chiverun.runtime.steering import Steering
from chiverun.runtime.stopping import StopProgress
from chiverun.runtime.suspectexchange import SuspectExchange

_LOG = logbook.Logger("edge")

# Requests are served for at least this time, until the look-up answers that
# clients have cached expire.
STOP_SERVE_MIN_S = 3.2
# Clients have moved to other instances after this time without a request.
STOP_IDLE_S = 0.5
# Idle connections are closed after this time even if requests still come in:
# one that arrives while the process exits would get no response.
STOP_CLOSE_IDLE_AFTER_S = 4.2
# Part of the grace period reserved for exit: sockets linger, and the
# interpreter shuts down slowly on a slow machine.
STOP_EXIT_RESERVE_S = 0.9
# Part of the memory of peers' bytes for messages of other instances.
_INBOX_FRACTION = 0.25
# Limits of readiness, look-up and metrics calls, which have no bodies.
_SERVICE_LIMITS = ClientLimits(
    header_bytes=8 * 1024,
    body_bytes=1024,
    header_timeout_s=3.0,
    idle_timeout_s=15.0,
)
_SERVICE_BYTES = 1024 * 1024
_STOP_POLL_S = 0.05
_RESTART_PAUSE_S = 0.5


class Edge:
    """Instance that serves clients according to the platform's catalog."""

    def __init__(
        self,
        *,
        cfg: EdgeSettings,
        store: CatalogStore,
        header_codec: HeaderCodec,
        read_settings: Callable[[], EdgeSettings],
        turns: ReadTurns | None = None,
        memory: ByteBudget | None = None,
    ) -> None:
        self.cfg = cfg
        if memory is None:
            memory = ByteBudget(limit=limit_of(cfg.memory_bytes))
        self._read_settings = read_settings
        self._loop = asyncio.get_running_loop()
        self._turns = turns = turns or ReadTurns()
        self._stopping = asyncio.Event()
        self._stop_requested_at = 0.0
        self._boot_id = BootId(uuid.uuid4().hex[:12])
        self._peers = ZmqPeers(bind=cfg.peer, addresses=AddressMap(mapping={}))
        self._me = Machine(
            name=cfg.name,
            peer=cfg.peer,
            entry=cfg.entry,
            zone=cfg.zone,
            region=cfg.region,
            capacity=cfg.capacity,
        )
        self.follower = CatalogFollower(
            me=self._me,
            boot_id=self._boot_id,
            store=store,
            peers=self._peers,
            seeds=cfg.seeds,
            on_change=self._apply_catalog,
            on_limits=lambda message: self._limits.receive(message),
            on_suspect=lambda message: self._suspects.receive(message),
            on_process=lambda message: self._processes.receive(message),
            on_quota=lambda message: self._quotas.receive(message),
            on_demand=self._receive_demand,
            on_loads=self._receive_loads,
            usage=turns.usage,
            inbox_bytes=int(_INBOX_FRACTION * memory.limit),
        )
        self.metrics = EdgeMetrics()
        turns.count_error = self._count_error
        self._caller_refusals = CallerRefusals(
            count=self.metrics.record_caller_refusal
        )
        self._loop_watch = LoopWatch(usage=turns.usage, metrics=self.metrics)
        self._servers = ServerTable(machine=cfg.name)
        self._limits = LimitExchange(
            servers=self._servers,
            table=self.follower.table,
            peers=self._peers,
        )
        self._demand = DemandExchange(
            servers=self._servers,
            table=self.follower.table,
            peers=self._peers,
            boot_id=self._boot_id,
            regions=cfg.regions,
        )
        self._loads = LoadExchange(
            servers=self._servers,
            table=self.follower.table,
            peers=self._peers,
            boot_id=self._boot_id,
        )
        suspects = SuspectTable()
        self._suspects = SuspectExchange(
            suspects=suspects, table=self.follower.table, peers=self._peers
        )
        self._quotas = QuotaExchange(
            me=self._me,
            boot_id=self._boot_id,
            bounds=cfg.bounds,
            peers=self._peers,
            metrics=self.metrics,
        )
        selector = Selector(
            table=self._servers,
            region=cfg.region,
            zone=cfg.zone,
            regions=cfg.regions,
            bounds=cfg.bounds,
            machine=cfg.name,
            fleet=self.follower.table.fleet,
            region_zones=self._region_zones,
            offsets=self._demand.applied,
        )
        self._processes = ServerProcesses(
            servers=self._servers,
            table=self.follower.table,
            peers=self._peers,
        )
        self._sender = Sender(
            header_codec=header_codec,
            memory=memory,
            turns=turns,
            count_error=self._count_error,
            processes=self._processes,
            checks=ProcessChecks(
                shares=ColdShares(
                    bounds=cfg.bounds, fleet=self.follower.table.fleet
                ),
                processes=self._processes,
                routes=lambda: self._steering.routes,
            ),
        )
        self._steering = Steering(
            header_codec=header_codec,
            selector=selector,
            sender=self._sender,
            bounds=cfg.bounds,
            fleet=self.follower.table.fleet,
            catalog_age_s=self.follower.age_s,
            metrics=self.metrics,
            stop_progress=self._stop_progress,
            suspects=suspects,
            on_end=self._suspects.record_end,
            quotas=self._quotas,
            arrivals=self._demand.arrivals,
        )
        self._cold_checks = ColdChecks(
            table=self._servers,
            selector=selector,
            sender=self._sender,
            routes=lambda: self._steering.routes,
            catalog_age_s=self.follower.age_s,
        )
        self.directory = Directory(
            table=self.follower.table, leaving=self.is_stopping
        )
        self._loop.set_exception_handler(self._on_unexpected)
        self._entry = ListenerState(
            handler=self._handle,
            caller_limits=entry_limits(
                memory_bytes=cfg.memory_bytes, descriptors=cfg.descriptors
            ),
            memory=memory,
            refusals=self._caller_refusals,
            turns=turns,
            count_error=self._count_error,
        )
        self._listeners: list[asyncio.Server] = []
        self._tasks: list[asyncio.Task[None]] = []

    def _receive_demand(self, message: DemandMessage) -> None:
        """Apply what others tell of demand, unless this one does not share."""
        if self.cfg.share_loads:
            self._demand.receive(message)

    def _receive_loads(self, message: LoadMessage) -> None:
        """Apply what others tell of loads, unless this one does not share."""
        if self.cfg.share_loads:
            self._loads.receive(message)

    def _count_error(self) -> None:
        self.metrics.unexpected_errors.add(1)

    def _on_unexpected(
        self, _loop: asyncio.AbstractEventLoop, context: dict[str, Any]
    ) -> None:
        """Log and count an error that no caller of a callback handles."""
        self._count_error()
        exc = context.get("exception")
        _LOG.error(
            "unexpected error",
            exc_info=(type(exc), exc, exc.__traceback__) if exc else None,
            extra={"what": context.get("message")},
        )

    def is_ready(self) -> bool:
        """Return whether clients should connect to this instance."""
        return self.follower.is_current and not self.is_stopping()

    async def _handle(self, incoming: IncomingRequest) -> OutgoingResponse:
        return await self._steering.handle(incoming)

    def _stop_progress(self) -> StopProgress | None:
        if not self.is_stopping():
            return None
        elapsed_s = self._loop.time() - self._stop_requested_at
        return StopProgress(
            elapsed_s=elapsed_s,
            remaining_s=self._serving_time_s() - elapsed_s,
        )

    def _serving_time_s(self) -> float:
        return self.cfg.bounds.stop_grace_s - STOP_EXIT_RESERVE_S

    def is_stopping(self) -> bool:
        """Return whether a stop has been requested."""
        return self._stopping.is_set()

    async def start(self, handlers: dict[Address, Handler]) -> None:
        """Start listeners and background tasks.

        Parameters
        ----------
        handlers : dict
            Handlers for addresses other than the client entry address.

        Raises
        ------
        ChiverunError
            With PORT_IN_USE if an address cannot be bound.
        """
        self.follower.start()
        await self._listen(self.cfg.entry, self._entry)
        for address, handler in handlers.items():
            await self._listen(address, self._service_state(handler))
        self._start_task("follow", self.follower.follow)
        self._start_task("beat", self.follower.send_heartbeats_forever)
        self._start_task("cold", self._cold_checks.check_forever)
        self._start_task("limits", self._limits.send_forever)
        self._start_task("quotas", self._quotas.run_forever)
        if self.cfg.share_loads:
            self._start_task("demand", self._demand.exchange_forever)
            self._start_task("loads", self._loads.exchange_forever)
        self._start_task("loop", self._loop_watch.watch_forever)
        _LOG.info(
            "started",
            extra={
                "life": self._boot_id,
                "zone": self.cfg.zone,
                "region": self.cfg.region,
                "entry": self.cfg.entry,
            },
        )

    def _service_state(self, handler: Handler) -> ListenerState:
        """Return a listener's state with memory and limits of its own.

        It is used while clients take all that the entry listener has.
        """
        return ListenerState(
            handler=handler,
            limits=_SERVICE_LIMITS,
            caller_limits=service_limits(descriptors=self.cfg.descriptors),
            memory=ByteBudget(limit=_SERVICE_BYTES),
            refusals=self._caller_refusals,
            turns=self._turns,
            count_error=self._count_error,
        )

    async def run(self) -> None:
        """Serve until a stop is requested, then shut down gracefully."""
        self._loop.add_signal_handler(signal.SIGTERM, self.request_stop)
        self._loop.add_signal_handler(signal.SIGINT, self.request_stop)
        self._loop.add_signal_handler(signal.SIGHUP, self._reload)
        await self._stopping.wait()
        await self._drain()
        self._close()

    def _reload(self) -> None:
        """Read the settings again; invalid settings change nothing."""
        try:
            cfg = self._read_settings()
        except ChiverunError as exc:
            _LOG.error("reload failed", extra={"reason": str(exc)})
            return
        _LOG.info("reloaded", extra={"changed": cfg != self.cfg})

    def request_stop(self) -> None:
        """Begin a graceful shutdown; repeated calls have no effect."""
        if self.is_stopping():
            return
        self._stop_requested_at = self._loop.time()
        self._stopping.set()
        self._entry.closing = True
        self.follower.leave()
        self._quotas.leave()
        _LOG.info("stop requested", extra={"active": self._entry.active()})

    async def _drain(self) -> None:
        """Serve late and running requests within the grace period."""
        serving_time_s = self._serving_time_s()
        while (
            elapsed_s := self._loop.time() - self._stop_requested_at
        ) < serving_time_s:
            await asyncio.sleep(_STOP_POLL_S)
            idle_s = self._loop.time() - self._entry.last_request_at
            is_idle = (
                idle_s >= STOP_IDLE_S or elapsed_s >= STOP_CLOSE_IDLE_AFTER_S
            )
            if elapsed_s < STOP_SERVE_MIN_S or not is_idle:
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
                "after_s": round(
                    self._loop.time() - self._stop_requested_at, 2
                ),
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

    def _start_task(
        self, name: str, target: Callable[[], Awaitable[None]]
    ) -> None:
        """Run an endless coroutine; log failures and restart it."""

        async def supervise() -> None:
            while True:
                try:
                    await target()
                except asyncio.CancelledError:
                    raise
                except Exception:
                    _LOG.exception(
                        "background task failed; restarting it",
                        extra={"work": name},
                    )
                await asyncio.sleep(_RESTART_PAUSE_S)

        self._tasks.append(self._loop.create_task(supervise(), name=name))

    def _region_zones(self) -> list[ZoneName]:
        """Return the zone of each other live machine in the region."""
        return [m.zone for m in self.follower.table.live(self._loop.time())]

    def _apply_catalog(self) -> None:
        """Apply a catalog change to the routes and the server table."""
        state = self.follower.replica.desired_state()
        if state is None:
            return
        self._quotas.set_fleet(self.follower.table.fleet())
        routes = self._steering.routes
        if routes is None or routes.version != state.version:
            routes = RouteTable.of(state)
            self._steering.routes = routes
            self._steering.callers.accounts = AccountTable(state.accounts)
            self._quotas.set_accounts(state.accounts)
            self._entry.limits = routes.limits
            _LOG.info(
                "desired state in force", extra={"version": state.version}
            )
            self._report_faults(state)
        self._servers.sync(
            self.follower.replica,
            routes,
            dict(self.cfg.regions),
            self._loop.time(),
        )

    def _report_faults(self, state: DesiredState) -> None:
        regions = frozenset(self.cfg.regions.values())
        faults = (*state.faults, *unknown_homes(state, regions))
        self.metrics.state_faults.add(len(faults))
        for fault in faults:
            _LOG.warning(
                "part of the desired state cannot be read",
                extra={
                    "version": state.version,
                    "code": int(ResultCode.STATE_PART_INVALID),
                    "place": fault.place,
                    "reason": fault.reason,
                },
            )
