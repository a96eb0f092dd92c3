"""Assembly and graceful shutdown of one instance."""

import random
import secrets
import signal
import time
from collections.abc import Callable
from typing import TYPE_CHECKING

import logbook
import pykka

from chiverun.core.admission import Admission
from chiverun.core.clock import SystemClock
from chiverun.core.errors import ChiverunError
from chiverun.core.idempotency import KeyTable
from chiverun.core.ids import BootId
from chiverun.core.links import Links
from chiverun.core.listenerlimits import Listener
from chiverun.core.lookup import BlockTables
from chiverun.core.messages import decode_message
from chiverun.core.messages import encode_message
from chiverun.core.messages import Message
from chiverun.core.retries import RetryBudget
from chiverun.core.seats import longest_deadline_s
from chiverun.core.ticket import Length
from chiverun.core.ticketlog import TicketLog
from chiverun.core.timer import TimerService
from chiverun.integrations.backend import HttpBackends
from chiverun.integrations.instances import HttpInstanceList
from chiverun.integrations.network import AddressMap
from chiverun.integrations.peers import ZmqPeers
from chiverun.integrations.store import HttpStore
from chiverun.integrations.telemetry import Telemetry
from chiverun.runtime.control import BeginStop
from chiverun.runtime.control import ControlPlane
from chiverun.runtime.control import Event
from chiverun.runtime.control import Identity
from chiverun.runtime.control import TICK_S
from chiverun.runtime.control import TransferSeats
from chiverun.runtime.entry import EntryHandler
from chiverun.runtime.events import StoreJob
from chiverun.runtime.execution import Executor
from chiverun.runtime.forward import ForwardHandler
from chiverun.runtime.healthcheck import HealthCheck
from chiverun.runtime.listeners import make_listeners
from chiverun.runtime.public import LookupHandler
from chiverun.runtime.status import StatusSources
from chiverun.runtime.storeworker import HeadWatch
from chiverun.runtime.storeworker import SeatRecords
from chiverun.runtime.storeworker import StoreWorker

if TYPE_CHECKING:
    from chiverun.core.ids import Address
    from chiverun.core.settings import Settings

# Time in which all look-up answers come to omit a leaving instance.
STOP_SPREAD_S = 2.0
STOP_ANNOUNCE_PERIOD_S = 0.5
SEAT_TRANSFER_TIMEOUT_S = 5.0
# Time in which requests that were received before the listeners close are
# answered.
STOP_DRAIN_S = 3.0
# Allows responses to be written after the longest request deadline.
RESPONSE_MARGIN_S = 5.0
_WAIT_POLL_S = 0.05
# Messages from peers are dropped while the control actor's queue is longer.
_CONTROL_QUEUE_MAX = 2000
_BACKEND_CONNECTIONS = 16
_LOG = logbook.Logger("instance")


class _Tick:
    """Message that triggers one run of the control plane's systems."""


class ControlActor(pykka.ThreadingActor):
    """Actor that runs the control plane.

    Its thread is the only one that writes the control plane's tables.
    """

    use_daemon_thread = True

    def __init__(self, plane: ControlPlane, links: Links) -> None:
        super().__init__()
        self._plane = plane
        self._links = links

    def on_receive(self, message: _Tick | Message | Event) -> None:
        try:
            self._dispatch(message)
        except Exception:
            # An exception here would end the actor.
            _LOG.exception("cannot handle control message")

    def _dispatch(self, message: _Tick | Message | Event) -> None:
        match message:
            case _Tick():
                self._plane.tick()
                self._links.update(self._plane.snapshot)
            case event if isinstance(event, Event):
                self._plane.handle(event)
            case _:
                self._plane.receive(message)


class Instance:
    """One running instance.

    Parameters
    ----------
    cfg : Settings
    """

    def __init__(self, *, cfg: "Settings") -> None:
        self._cfg = cfg
        self._clock = SystemClock()
        self._rng = random.Random(secrets.randbits(64))
        self._is_stop_requested = False
        self._addresses = AddressMap(mapping=dict(cfg.address_map))
        boot_id = BootId(secrets.token_hex(8))
        self._identity = Identity(
            instance=cfg.name,
            boot_id=boot_id,
            zone=cfg.zone,
            lookup=cfg.lookup_address,
            entry=cfg.entry_address,
            forward=cfg.forward_address,
            peer=cfg.peer_address,
            seeds=cfg.seeds,
        )
        self._telemetry = Telemetry(
            instance=cfg.name, zone=cfg.zone, trace_ratio=cfg.trace_ratio
        )
        self._admission = Admission(
            zone=cfg.zone,
            clock=self._clock,
            rng=self._rng,
            waiters_max=max(1, cfg.entry_threads // 2),
        )
        self._links = Links(zone=cfg.zone, clock=self._clock)
        self._keys = KeyTable(
            instance=cfg.name, boot_id=boot_id, clock=self._clock
        )
        self._backends = HttpBackends(
            clock=self._clock,
            addresses=self._addresses,
            connections=_BACKEND_CONNECTIONS,
        )
        self._timer = TimerService(clock=self._clock)
        self._peers = ZmqPeers(
            bind=cfg.peer_address, addresses=self._addresses
        )
        self._build_control()
        self._build_handlers()

    def _build_control(self) -> None:
        cfg = self._cfg
        timeout_s = cfg.store_timeout_ms / 1000.0
        store_address = self._addresses.translate(cfg.store)
        worker_store = HttpStore(address=store_address, timeout_s=timeout_s)
        watch_store = HttpStore(address=store_address, timeout_s=timeout_s)
        self._worker = StoreWorker.start(
            SeatRecords(store=worker_store, zone=cfg.zone),
            self._send_to_control,
        )
        self._plane = ControlPlane(
            identity=self._identity,
            clock=self._clock,
            rng=self._rng,
            admission=self._admission,
            send=self._send_to_peer,
            submit=self._submit_store_job,
        )
        self._control = ControlActor.start(self._plane, self._links)
        self._watch = HeadWatch(
            log=TicketLog(store=watch_store),
            plane=self._plane,
            report=self._send_to_control,
            rng=self._rng,
        )

    def _build_handlers(self) -> None:
        cfg = self._cfg
        blocks = BlockTables()
        executor = Executor(
            clock=self._clock,
            admission=self._admission,
            backends=self._backends,
            telemetry=self._telemetry,
            hedge_threads=2 * cfg.entry_threads,
        )
        self._entry = EntryHandler(
            identity=self._identity,
            clock=self._clock,
            plane=self._plane,
            executor=executor,
            backends=self._backends,
            links=self._links,
            blocks=blocks,
            keys=self._keys,
            budget=RetryBudget(),
            telemetry=self._telemetry,
            threads=cfg.entry_threads,
        )
        self._forward = ForwardHandler(
            zone=cfg.zone,
            clock=self._clock,
            plane=self._plane,
            executor=executor,
            links=self._links,
            telemetry=self._telemetry,
            threads=cfg.forward_threads,
        )
        public = LookupHandler(
            sources=StatusSources(
                clock=self._clock,
                plane=self._plane,
                admission=self._admission,
                links=self._links,
                watch=self._watch,
            ),
            keys=self._keys,
            blocks=blocks,
            telemetry=self._telemetry,
            ttl_s=cfg.ttl_s,
        )
        self._health = HealthCheck(
            clock=self._clock,
            plane=self._plane,
            backends=self._backends,
            instances=self._instance_list(),
            report=self._send_to_control,
        )
        self._servers = make_listeners(
            cfg=cfg,
            telemetry=self._telemetry,
            handlers={
                Listener.LOOKUP: public.handle,
                Listener.ENTRY: self._entry.handle,
                Listener.FORWARD: self._forward.handle,
            },
        )

    def _instance_list(self) -> HttpInstanceList | None:
        if self._cfg.instance_list is None:
            return None
        return HttpInstanceList(
            address=self._addresses.translate(self._cfg.instance_list),
            timeout_s=self._cfg.store_timeout_ms / 1000.0,
        )

    def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then stop gracefully."""
        signal.signal(signal.SIGTERM, self._on_signal)
        signal.signal(signal.SIGINT, self._on_signal)
        try:
            self._start()
            while not self._is_stop_requested:
                time.sleep(_WAIT_POLL_S)
            self._stop_gracefully()
        finally:
            self._stop_components()

    def _on_signal(self, _number: int, _frame) -> None:
        """Request a stop.

        A signal handler can interrupt any code of the main thread, including
        another handler, so it must not acquire a lock. Setting a
        `threading.Event` acquires one and can deadlock.
        """
        self._is_stop_requested = True

    def _start(self) -> None:
        self._peers.start(self._on_peer_message)
        for server in self._servers:
            server.start()
        self._timer.subscribe(TICK_S, lambda: self._send_to_control(_Tick()))
        self._timer.start()
        self._watch.start()
        self._health.start()
        _LOG.info("started", extra={"life": self._identity.boot_id})

    def _stop_gracefully(self) -> None:
        """Withdraw from look-ups, finish requests and transfer the seats."""
        _LOG.info("leaving")
        for server in self._servers:
            server.close_connections()
        self._announce_stop(self._cfg.ttl_s + STOP_SPREAD_S)
        self._forward.refuse_new_requests()
        if not self._wait_until(
            lambda: self._in_flight() == 0, self._longest_request_s()
        ):
            _LOG.warning(
                "requests still in flight at shutdown",
                extra={"count": self._in_flight()},
            )
        self._send_to_control(TransferSeats())
        if not self._wait_until(
            lambda: self._plane.has_transferred_seats, SEAT_TRANSFER_TIMEOUT_S
        ):
            seats = self._plane.seats
            _LOG.warning(
                "seats not transferred before shutdown",
                extra={
                    "in_use": sorted(seats.releasing),
                    "not_taken": sorted(seats.transfers),
                },
            )
        try:
            # The worker's queue holds the last change to the seat record.
            self._worker.stop(block=True, timeout=SEAT_TRANSFER_TIMEOUT_S)
        except pykka.Timeout:
            _LOG.warning(
                "cannot write seat record at shutdown: store timed out"
            )
        self._answer_received_requests()

    def _answer_received_requests(self) -> None:
        """Answer what has been received but is not in flight yet.

        On a busy machine a request waits for a thread, and callers whose
        look-up answers have expired are late to notice.
        """
        for server in self._servers:
            if not server.drain(STOP_DRAIN_S):
                _LOG.warning("requests still arrive at shutdown")

    def _announce_stop(self, seconds: float) -> None:
        """Announce the shutdown repeatedly, since messages may be lost."""
        deadline = self._clock.monotonic() + seconds
        while self._clock.monotonic() < deadline:
            self._send_to_control(BeginStop())
            time.sleep(STOP_ANNOUNCE_PERIOD_S)

    def _longest_request_s(self) -> float:
        """Return the longest time for which requests stay in flight."""
        state = self._plane.snapshot.state
        longest_s = max(longest_deadline_s(state, kind) for kind in Length)
        return longest_s + RESPONSE_MARGIN_S

    def _wait_until(
        self, condition: Callable[[], bool], limit_s: float
    ) -> bool:
        wait_deadline = self._clock.monotonic() + limit_s
        while not condition():
            if self._clock.monotonic() >= wait_deadline:
                return False
            time.sleep(_WAIT_POLL_S)
        return True

    def _in_flight(self) -> int:
        return self._entry.in_flight + self._forward.in_flight

    def _stop_components(self) -> None:
        # A signal during interpreter shutdown must not change the exit code.
        signal.signal(signal.SIGTERM, signal.SIG_IGN)
        signal.signal(signal.SIGINT, signal.SIG_IGN)
        # Stopping a component that has not been started may raise; the other
        # components have to be stopped all the same.
        for stop in (
            *(server.stop for server in self._servers),
            self._timer.stop,
            self._watch.stop,
            self._health.stop,
            self._peers.stop,
            lambda: pykka.ActorRegistry.stop_all(block=False),
            self._backends.close,
            self._telemetry.stop,
        ):
            try:
                stop()
            except Exception:
                _LOG.exception("cannot stop component")
        _LOG.info("stopped")

    def _send_to_control(self, message: _Tick | Message | Event) -> None:
        try:
            self._control.tell(message)
        except pykka.ActorDeadError:
            return

    def _submit_store_job(self, job: StoreJob) -> None:
        try:
            self._worker.tell(job)
        except pykka.ActorDeadError:
            return

    def _send_to_peer(self, address: "Address", message: Message) -> None:
        self._peers.send(address, encode_message(message))

    def _on_peer_message(self, data: bytes) -> None:
        try:
            message = decode_message(data)
        except ChiverunError as exc:
            _LOG.warning("peer message dropped", extra={"e": str(exc)})
            return
        if self._control.actor_inbox.qsize() < _CONTROL_QUEUE_MAX:
            self._send_to_control(message)
