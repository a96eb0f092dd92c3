"""Tests of the pyzmq transport between instances."""

import socket
import threading
import time
import unittest
from unittest import mock

from chiverun.core.errors import ChiverunError
from chiverun.integrations import acceptedpeers
from chiverun.integrations import peers as peers_module
from chiverun.integrations.acceptedpeers import MESSAGE_BYTES_MAX
from chiverun.integrations.network import AddressMap
from chiverun.integrations.peers import ZmqPeers
from tests.integrations import zmtp
from tests.ports import free_address


class PeersTest(unittest.TestCase):
    def setUp(self) -> None:
        self._received: list[bytes] = []
        self._received_changed = threading.Condition()
        self._peer_address = free_address()
        self.sender = ZmqPeers(
            bind=free_address(), addresses=AddressMap(mapping={})
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

    def test_stop_does_not_wait(self) -> None:
        """Guards against a stop that waits for a socket left open."""
        self.receiver.start(self._receive)
        self.sender.send(self._peer_address, b"small")
        self._wait_for_messages(1)
        began_at = time.monotonic()
        self.receiver.stop()
        self.assertLess(time.monotonic() - began_at, 1.0)

    def test_parts_without_end_are_cut_off(self) -> None:
        """Guards against a message whose parts fill the memory.

        Another peer's message arrives meanwhile.
        """
        self.receiver.start(self._receive)
        host, port = self._peer_address.split(":")
        with socket.create_connection((host, int(port)), 5.0) as conn:
            conn.sendall(zmtp.GREETING + zmtp.READY)
            sent = 0
            with self.assertRaises(OSError):
                while sent < 8 * MESSAGE_BYTES_MAX:
                    conn.sendall(zmtp.part(bytes(1024 * 1024)))
                    sent += 1024 * 1024
                    time.sleep(0.01)
        self.sender.send(self._peer_address, b"small")
        self._wait_for_messages(1)
        self.assertEqual([b"small"], self._received)
        self.assertEqual(0, self.receiver.failures)

    def test_messages_of_an_ordinary_peer_all_arrive(self) -> None:
        """Guards against a peer that is cut off after many messages."""
        self.receiver.start(self._receive)
        sizes = [0, 1, 255, 256, 300, 70_000]
        for turn in range(1, 201):
            for size in sizes:
                self.sender.send(self._peer_address, bytes(size))
            self._wait_for_messages(turn * len(sizes))
        self.assertEqual(200 * sizes, [len(m) for m in self._received])
        self.assertEqual(0, self.receiver._accepted.cut_off)

    def test_sender_waits_for_a_slow_receiver(self) -> None:
        """Guards against bytes that wait in memory without a limit.

        They are received faster than they are handled.
        """
        free = threading.Event()
        self.addCleanup(free.set)
        self.receiver.start(lambda data: free.wait())
        host, port = self._peer_address.split(":")
        with socket.create_connection((host, int(port)), 5.0) as conn:
            conn.sendall(zmtp.GREETING + zmtp.READY)
            conn.settimeout(0.5)
            sent = 0
            with self.assertRaises(TimeoutError):
                while sent < 64 * MESSAGE_BYTES_MAX:
                    sent += conn.send(zmtp.message(bytes(100)) * 1000)

    def test_silent_connection_is_closed(self) -> None:
        """Guards against connections without a greeting that stay open."""
        self.receiver.start(self._receive)
        host, port = self._peer_address.split(":")
        with (
            mock.patch.object(acceptedpeers, "_HANDSHAKE_TIMEOUT_S", 0.5),
            socket.create_connection((host, int(port)), 5.0) as conn,
        ):
            while conn.recv(65_536):
                pass

    def test_bytes_that_are_no_message(self) -> None:
        """Guards against an error for each piece of another protocol."""
        self.receiver.start(self._receive)
        host, port = self._peer_address.split(":")
        for data in (b"x", b"\x00", b"\xff", b"\x01x", zmtp.GREETING):
            with socket.create_connection((host, int(port)), 5.0) as conn:
                try:
                    for _ in range(100):
                        conn.sendall(data * 65_536)
                except OSError:
                    continue
        self.sender.send(self._peer_address, b"small")
        with self._received_changed:
            arrived = self._received_changed.wait_for(
                lambda: b"small" in self._received, timeout=5
            )
        self.assertTrue(arrived)
        self.assertEqual(0, self.receiver.failures)

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
        unstarted = ZmqPeers(
            bind=free_address(), addresses=AddressMap(mapping={})
        )
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
