"""Tests of the pyzmq transport between instances."""

import socket
import threading
import time
import unittest

from chiverun.core.errors import ChiverunError
from chiverun.integrations import peers as peers_module
from chiverun.integrations.network import AddressMap
from chiverun.integrations.peers import ZmqPeers


def _address() -> str:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


class PeersTest(unittest.TestCase):
    def setUp(self) -> None:
        self._received: list[bytes] = []
        self._received_changed = threading.Condition()
        self._peer_address = _address()
        self.sender = ZmqPeers(
            bind=_address(), addresses=AddressMap(mapping={})
        )
        self.receiver = ZmqPeers(
            bind=self._peer_address, addresses=AddressMap(mapping={})
        )
        self.sender.start(lambda data: None)
        self.addCleanup(self.sender.stop)
        self.addCleanup(self.receiver.stop)

    def _receive(self, data: bytes) -> None:
        with self._received_changed:
            self._received.append(data)
            self._received_changed.notify_all()

    def _wait_for_messages(self, count: int) -> None:
        with self._received_changed:
            done = self._received_changed.wait_for(
                lambda: len(self._received) >= count, timeout=5
            )
        self.assertTrue(done, f"{len(self._received)} of {count} arrived")

    def test_messages_before_and_after_the_peer_starts(self) -> None:
        """Guards against losing messages that are sent before the start."""
        self.sender.send(self._peer_address, b"early")
        self.receiver.start(self._receive)
        self._wait_for_messages(1)
        self.sender.send(self._peer_address, b"late")
        self._wait_for_messages(2)
        self.assertEqual([b"early", b"late"], self._received)

    def test_oversized_message_does_not_arrive(self) -> None:
        """Guards against a peer that exhausts this process's memory."""
        self.receiver.start(self._receive)
        self.sender.send(self._peer_address, b"x" * (3 * 1024 * 1024))
        self.sender.send(self._peer_address, b"small")
        deadline = time.monotonic() + 5
        while not self._received and time.monotonic() < deadline:
            self.sender.send(self._peer_address, b"small")
            time.sleep(0.1)
        self.assertEqual({b"small"}, set(self._received))

    def test_queue_to_send_is_bounded(self) -> None:
        """Guards against a send queue that grows without limit."""
        unstarted = ZmqPeers(bind=_address(), addresses=AddressMap(mapping={}))
        unstarted._stopping.set()
        payload = b"x" * (1024 * 1024)
        for _ in range(2 * peers_module.OUTBOX_BYTES_MAX // len(payload)):
            unstarted.send(self._peer_address, payload)
        self.assertLessEqual(
            unstarted._outbox_bytes, peers_module.OUTBOX_BYTES_MAX
        )
        self.assertEqual(
            unstarted._outbox_bytes, sum(len(p) for _, p in unstarted._outbox)
        )

    def test_address_in_use(self) -> None:
        """Guards against two processes that claim an address's seats."""
        self.receiver.start(self._receive)
        other = ZmqPeers(
            bind=self._peer_address, addresses=AddressMap(mapping={})
        )
        with self.assertRaises(ChiverunError):
            other.start(self._receive)

    def test_failed_receiver_does_not_end_the_transport(self) -> None:
        """Guards against one message that makes an instance deaf."""

        def receive(data: bytes) -> None:
            if data == b"bad":
                raise RuntimeError("fault")
            self._receive(data)

        self.receiver.start(receive)
        for data in (b"bad", b"good"):
            self.sender.send(self._peer_address, data)
        self._wait_for_messages(1)
        self.assertEqual([b"good"], self._received)

    def test_invalid_address_does_not_end_the_transport(self) -> None:
        """Guards against one address in a message that stops all sending."""
        self.receiver.start(self._receive)
        for address in ("", "x", "::::", "1.2.3.4:x", "a\0b:1", "\udcff:1"):
            self.sender.send(address, b"lost")
        self.sender.send(self._peer_address, b"good")
        self._wait_for_messages(1)
        self.assertEqual([b"good"], self._received)
        self.assertGreaterEqual(self.sender.messages_dropped, 5)
