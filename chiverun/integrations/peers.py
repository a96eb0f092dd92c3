"""Messages between instances over pyzmq; one thread owns all sockets."""

import collections
import threading
import time
from collections.abc import Callable

import logbook
import zmq

from chiverun.core.errors import ChiverunError
from chiverun.core.errors import ResultCode
from chiverun.core.ids import Address
from chiverun.integrations.acceptedpeers import AcceptedPeers
from chiverun.integrations.network import AddressMap

_LOG = logbook.Logger("peers")

_SEND_HIGH_WATER_MARK = 256
_RECONNECT_MS_MAX = 500
# Limit for connects, handshakes and unacknowledged data. With zmq's defaults
# (30 s for a handshake), a zone that rejoined after a partition while the
# store was down received a ticket only after 13 to 20 s.
_LINK_TIMEOUT_MS = 1500
# Limit of the send queue; the oldest messages are dropped first.
OUTBOX_BYTES_MAX = 32 * 1024 * 1024
_OUTBOX_MESSAGES_MAX = 4096
# More than the instances of a large fleet: a quota coordinator answers all.
_CONNECTIONS_MAX = 512
_IDLE_TIMEOUT_S = 60.0
_POLL_MS = 500


class ZmqPeers:
    """Sends and receives datagram-like messages, which may be lost.

    `AcceptedPeers` receives. Each destination has a DEALER socket, which
    reconnects automatically and drops messages while it is not connected.
    """

    def __init__(self, *, bind: Address, addresses: AddressMap) -> None:
        self._bind = bind
        self._addresses = addresses
        self._context = zmq.Context(io_threads=1)
        self._outbox: collections.deque[tuple[Address, bytes]] = (
            collections.deque()
        )
        self._outbox_bytes = 0
        self._outbox_lock = threading.Lock()
        self._stopping = threading.Event()
        self._thread: threading.Thread | None = None
        self._dealers: collections.OrderedDict[
            Address, tuple[zmq.Socket, float]
        ] = collections.OrderedDict()
        self.bytes_sent = 0
        self.messages_dropped = 0
        # Unexpected errors on the thread.
        self.failures = 0

    def start(self, receive: Callable[[bytes], None]) -> None:
        """Bind and start; `receive` is called on the transport's thread.

        Raises
        ------
        ChiverunError
            PORT_IN_USE.
        """
        self._accepted = AcceptedPeers(context=self._context)
        try:
            self._accepted.socket.bind(f"tcp://{self._bind}")
        except zmq.ZMQError as exc:
            raise ChiverunError(
                ResultCode.PORT_IN_USE,
                f"cannot listen on {self._bind}: {exc}",
            ) from exc
        self._wake_receiver = self._context.socket(zmq.PAIR)
        self._wake_receiver.bind("inproc://wake")
        self._wake_sender = self._context.socket(zmq.PAIR)
        self._wake_sender.connect("inproc://wake")
        self._receive = receive
        self._thread = threading.Thread(
            target=self._run, daemon=True, name="peers"
        )
        self._thread.start()

    def send(self, address: Address, payload: bytes) -> None:
        """Queue a message, which is dropped if the peer is not connected."""
        with self._outbox_lock:
            self._outbox.append((address, payload))
            self._outbox_bytes += len(payload)
            while (
                len(self._outbox) > _OUTBOX_MESSAGES_MAX
                or self._outbox_bytes > OUTBOX_BYTES_MAX
            ):
                _, dropped = self._outbox.popleft()
                self._outbox_bytes -= len(dropped)
                self.messages_dropped += 1
            if not self._stopping.is_set():
                try:
                    self._wake_sender.send(b"", zmq.NOBLOCK)
                except zmq.ZMQError:
                    pass

    def stop(self) -> None:
        """Send the queued messages and close the sockets."""
        with self._outbox_lock:
            self._stopping.set()
            if self._thread is None:
                return
            try:
                self._wake_sender.send(b"", zmq.NOBLOCK)
            except zmq.ZMQError:
                pass
        self._thread.join(timeout=2)

    def _run(self) -> None:
        poller = zmq.Poller()
        poller.register(self._accepted.socket, zmq.POLLIN)
        poller.register(self._wake_receiver, zmq.POLLIN)
        while not self._stopping.is_set():
            try:
                self._run_once(poller)
            except Exception:
                # Without this thread the instance would be deaf to its peers.
                self.failures += 1
                _LOG.exception("cannot handle peer traffic")
        self._send_queued()
        self._close_sockets()

    def _run_once(self, poller: zmq.Poller) -> None:
        ready = dict(poller.poll(_POLL_MS))
        if self._wake_receiver in ready:
            _drain(self._wake_receiver)
        if self._accepted.socket in ready:
            # Messages to send wait meanwhile.
            self._accepted.receive(self._deliver)
        self._send_queued()
        self._close_idle()
        self._accepted.close_silent()

    def _deliver(self, message: bytes) -> None:
        try:
            self._receive(message)
        except Exception:
            # Other messages may have come with this one.
            self.failures += 1
            _LOG.exception("cannot handle a message")

    def _send_queued(self) -> None:
        while True:
            with self._outbox_lock:
                if not self._outbox:
                    return
                address, payload = self._outbox.popleft()
                self._outbox_bytes -= len(payload)
            try:
                self._get_dealer(address).send(payload, zmq.NOBLOCK)
                self.bytes_sent += len(payload)
            except (zmq.ZMQError, ValueError):
                # Also for an address that is not valid.
                self.messages_dropped += 1

    def _get_dealer(self, address: Address) -> zmq.Socket:
        now = time.monotonic()
        entry = self._dealers.pop(address, None)
        if entry is None:
            dealer = self._context.socket(zmq.DEALER)
            dealer.setsockopt(zmq.LINGER, 200)
            dealer.setsockopt(zmq.SNDHWM, _SEND_HIGH_WATER_MARK)
            dealer.setsockopt(zmq.RECONNECT_IVL, 100)
            dealer.setsockopt(zmq.RECONNECT_IVL_MAX, _RECONNECT_MS_MAX)
            dealer.setsockopt(zmq.CONNECT_TIMEOUT, _LINK_TIMEOUT_MS)
            dealer.setsockopt(zmq.HANDSHAKE_IVL, _LINK_TIMEOUT_MS)
            dealer.setsockopt(zmq.TCP_MAXRT, _LINK_TIMEOUT_MS)
            try:
                dealer.connect(f"tcp://{self._addresses.translate(address)}")
            except (zmq.ZMQError, ValueError):
                dealer.close()
                raise
        else:
            dealer = entry[0]
        self._dealers[address] = (dealer, now)
        return dealer

    def _close_idle(self) -> None:
        now = time.monotonic()
        while self._dealers:
            address, (dealer, used_at) = next(iter(self._dealers.items()))
            is_over_limit = len(self._dealers) > _CONNECTIONS_MAX
            if now - used_at < _IDLE_TIMEOUT_S and not is_over_limit:
                return
            del self._dealers[address]
            dealer.close()

    def _close_sockets(self) -> None:
        for dealer, _ in self._dealers.values():
            dealer.close()
        self._accepted.close()
        self._wake_receiver.close()
        self._wake_sender.close()
        self._context.term()


def _drain(socket: zmq.Socket) -> None:
    while True:
        try:
            socket.recv(zmq.NOBLOCK)
        except zmq.ZMQError:
            return
