"""The control plane of an instance.

`ControlPlane` is the only writer of its tables. Each tick runs the systems
over them and publishes a snapshot; messages are handled on arrival. It
performs no I/O: messages and store jobs are passed to callables, so that
tests can run it with a manual clock. `ControlActor` in `runtime.instance`
runs it.
"""

from typing import Any

from chiverun.core import membership
from chiverun.core.messages import Ack
from chiverun.core.messages import Announce
from chiverun.core.messages import IndirectAck
from chiverun.core.messages import Message
from chiverun.core.messages import Ping
from chiverun.core.messages import PingRequest
from chiverun.core.messages import Pull
from chiverun.core.messages import SeatHolderRecords
from chiverun.core.messages import SeatRequest
from chiverun.core.messages import SeatTransfer
from chiverun.core.messages import SeatTransferAck
from chiverun.core.messages import StateChunk
from chiverun.core.messages import Tickets
from chiverun.runtime import drainsystem
from chiverun.runtime import gossip
from chiverun.runtime import membersystem
from chiverun.runtime import publishing
from chiverun.runtime import seatsystem
from chiverun.runtime import seattransfer
from chiverun.runtime import ticketspread
from chiverun.runtime.context import ControlContext
from chiverun.runtime.context import Identity
from chiverun.runtime.events import BeginStop
from chiverun.runtime.events import EntriesRead
from chiverun.runtime.events import Event
from chiverun.runtime.events import HeadForked
from chiverun.runtime.events import SeatsClaimed
from chiverun.runtime.events import SeatsRead
from chiverun.runtime.events import SeatsWritten
from chiverun.runtime.events import ServersLeaving
from chiverun.runtime.events import StateRead
from chiverun.runtime.events import TransferSeats

__all__ = [
    "TICK_S",
    "BeginStop",
    "ControlPlane",
    "Event",
    "Identity",
    "ServersLeaving",
    "TransferSeats",
]

TICK_S = 0.1


class ControlPlane(ControlContext):
    """Tables, systems and the published snapshot of one instance."""

    def __init__(self, **dependencies: Any) -> None:
        super().__init__(**dependencies)
        self.snapshot = publishing.make_snapshot(self, self.clock.monotonic())

    def tick(self) -> None:
        """Run all systems once and publish a snapshot."""
        now = self.clock.monotonic()
        seatsystem.suspend_after_pause(self, now)
        self.ticked_at = now
        membersystem.run_members(self, now)
        drainsystem.run_drains(self, now)
        seatsystem.run_seats(self, now)
        publishing.publish(self, now)

    def receive(self, message: Message) -> None:
        """Handle a message from a peer."""
        seatsystem.suspend_after_pause(self, self.clock.monotonic())
        match message:
            case Ping(sequence=sequence, gossip=content):
                gossip.merge(self, content)
                gossip.reply(self, content.sender, sequence)
            case Ack(sequence=sequence, gossip=content):
                membersystem.on_ack(self, sequence, content)
            case PingRequest(sequence=sequence, sender=sender, target=target):
                membersystem.relay_ping(self, sequence, sender, target)
            case IndirectAck(sequence=sequence):
                membership.acknowledge(
                    self.members, sequence, self.clock.monotonic()
                )
            case Announce(sender=sender, number=number):
                ticketspread.pull_if_behind(self, sender, number)
            case Pull(sender=sender, number=number):
                ticketspread.on_pull(self, sender, number)
            case Tickets(entries=entries):
                ticketspread.apply_entries(self, entries)
            case StateChunk():
                ticketspread.on_chunk(self, message)
            case SeatRequest():
                seattransfer.on_seat_request(self, message)
            case SeatTransfer():
                seattransfer.on_seat_transfer(self, message)
            case SeatTransferAck():
                seattransfer.on_transfer_ack(self, message)
            case SeatHolderRecords():
                gossip.on_holder_records(self, message)

    def handle(self, event: Event) -> None:
        """Handle a report or a command from another thread of this process."""
        seatsystem.suspend_after_pause(self, self.clock.monotonic())
        match event:
            case SeatsClaimed():
                seatsystem.on_claimed(self, event)
            case SeatsRead():
                seatsystem.on_seats_read(self, event)
            case SeatsWritten():
                seattransfer.on_seats_written(self, event)
            case EntriesRead(entries=entries):
                ticketspread.apply_entries(self, entries)
            case HeadForked(reason=reason):
                ticketspread.record_fork(self, reason)
            case StateRead(state=state):
                ticketspread.adopt_state(self, state)
            case ServersLeaving(servers=servers):
                drainsystem.record_draining(
                    self, servers, self.clock.monotonic()
                )
            case BeginStop():
                self.is_leaving = True
                publishing.publish(self, self.clock.monotonic())
                gossip.ping_zone(self)
                gossip.ping_remote(self)
            case TransferSeats():
                self.is_transferring_seats = True

    @property
    def has_transferred_seats(self) -> bool:
        """Whether all seats have been transferred after `TransferSeats`."""
        seats = self.seats
        return self.is_transferring_seats and not (
            seats.held
            or seats.releasing
            or seats.transfers
            or seats.unwritten_releases
        )

    def has_recent_ack(self, now: float, within_s: float) -> bool:
        """Return whether a peer of the zone has acknowledged a ping lately."""
        return any(
            now - m.acked_at <= within_s
            for m in self.members.in_zone(self.identity.zone)
        )

    def is_watcher(self) -> bool:
        """Return whether this instance watches the store for its zone."""
        return membersystem.is_watcher(self)
