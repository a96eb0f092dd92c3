"""The control plane of an instance.

`ControlPlane` holds the tables and is their only writer. Each tick runs the
systems over the tables and publishes a snapshot; messages are handled as
they come. It does no input or output itself: it sends through a callable and
hands store jobs to another, so that tests drive it with a manual clock.
`ControlActor` runs it.
"""

import collections
import dataclasses
import math
import random
from collections.abc import Callable
from collections.abc import Iterable
from typing import TYPE_CHECKING

import logbook

from chiverun.core import dissemination
from chiverun.core import membership
from chiverun.core import seats as seat_rules
from chiverun.core.admission import PAUSE_LIMIT_S
from chiverun.core.errors import ChiverunError
from chiverun.core.errors import ResultCode
from chiverun.core.ids import Address
from chiverun.core.ids import InstanceId
from chiverun.core.ids import LifeId
from chiverun.core.ids import SeatIndex
from chiverun.core.ids import ServerName
from chiverun.core.ids import ZoneName
from chiverun.core.messages import Ack
from chiverun.core.messages import Advert
from chiverun.core.messages import Announce
from chiverun.core.messages import Gossip
from chiverun.core.messages import IndirectAck
from chiverun.core.messages import MemberState
from chiverun.core.messages import Message
from chiverun.core.messages import Ping
from chiverun.core.messages import PingRequest
from chiverun.core.messages import Pull
from chiverun.core.messages import SeatClaim
from chiverun.core.messages import SeatRequest
from chiverun.core.messages import SeatTransfer
from chiverun.core.messages import StateChunk
from chiverun.core.messages import Tickets
from chiverun.core.snapshot import EntryAddresses
from chiverun.core.snapshot import HeldSeat
from chiverun.core.snapshot import Snapshot
from chiverun.core.snapshot import ZoneView
from chiverun.core.state import decode_state
from chiverun.core.state import empty_state
from chiverun.core.state import State
from chiverun.core.tables import DrainTable
from chiverun.core.tables import Member
from chiverun.core.tables import MemberTable
from chiverun.core.tables import Releasing
from chiverun.core.tables import SeatTable
from chiverun.core.tables import Transfer
from chiverun.core.ticket import Zone
from chiverun.core.ticket import ZoneState
from chiverun.core.ticketlog import apply_entry
from chiverun.core.ticketlog import Entry

if TYPE_CHECKING:
    from chiverun.core.admission import Admission
    from chiverun.core.clock import Clock
    from chiverun.core.seats import SeatRecord

TICK_S = 0.1
WATCHERS_PER_ZONE = 2
# A remote instance not heard of for this long is left out of look-ups.
REMOTE_LISTED_S = 15.0
_SEED_PERIOD_S = 1.0
_CLAIM_ANSWER_LIMIT_S = 30.0
_LOG = logbook.Logger("control")


@dataclasses.dataclass(frozen=True, kw_only=True)
class Identity:
    """Who this instance is."""

    instance: InstanceId
    life: LifeId
    zone: ZoneName
    lookup: Address
    entry: Address
    forward: Address
    peer: Address
    seeds: tuple[Address, ...]


# Jobs for the store worker, and what it reports back.


@dataclasses.dataclass(frozen=True, kw_only=True)
class ClaimSeats:
    """Claim seats of the zone in the store's record."""

    plan: seat_rules.ClaimPlan
    me: seat_rules.Owner
    replaced: dict[InstanceId, int]


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReadSeats:
    """Read the zone's seat record; `asked_at` comes back unchanged."""

    asked_at: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class WriteSeats:
    """Write owners, and give up seats (by epoch), in the record."""

    owners: dict[SeatIndex, seat_rules.Owner]
    given_up: dict[SeatIndex, int]


StoreJob = ClaimSeats | ReadSeats | WriteSeats


@dataclasses.dataclass(frozen=True, kw_only=True)
class SeatsClaimed:
    """The claims that took effect, and the record after them.

    `record` is None when the store did not answer.
    """

    claims: tuple[seat_rules.Claim, ...]
    record: "SeatRecord | None"


@dataclasses.dataclass(frozen=True, kw_only=True)
class SeatsRead:
    """The seat record as read for a `ReadSeats` job, None if unreadable."""

    record: "SeatRecord | None"
    asked_at: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class SeatsWritten:
    """Whether a `WriteSeats` job took effect."""

    is_done: bool
    job: WriteSeats


@dataclasses.dataclass(frozen=True, kw_only=True)
class EntriesRead:
    """Accepted tickets read from the store, in order."""

    entries: tuple[Entry, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class StateRead:
    """A whole state read from the store."""

    state: State


@dataclasses.dataclass(frozen=True, kw_only=True)
class HeadForked:
    """The store's head is not of the history of the state in force."""

    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class ServersLeaving:
    """Backend servers that are leaving, by the instance list or health."""

    servers: frozenset[ServerName]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Leave:
    """The instance begins to stop: it leaves look-up answers."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class HandOver:
    """The instance has no work left: it gives its seats away."""


StoreReport = (
    SeatsClaimed
    | SeatsRead
    | SeatsWritten
    | EntriesRead
    | StateRead
    | HeadForked
)
Event = StoreReport | ServersLeaving | Leave | HandOver


class ControlPlane:
    """Tables, systems and the published snapshot of one instance.

    Parameters
    ----------
    identity : Identity
    clock : Clock
    rng : random.Random
    admission : Admission
        Read for free slots and seats in use; updated with each snapshot.
    send : callable
        Sends a message to a peer address; loss is allowed.
    submit : callable
        Hands a job to the store worker, which reports back by `handle`.
    """

    def __init__(
        self,
        *,
        identity: Identity,
        clock: "Clock",
        rng: random.Random,
        admission: "Admission",
        send: Callable[[Address, Message], None],
        submit: Callable[[StoreJob], None],
    ) -> None:
        self.identity = identity
        self._clock = clock
        self._rng = rng
        self._admission = admission
        self._send = send
        self._submit = submit
        self.state = empty_state()
        self.recent = dissemination.RecentTickets()
        self._pulls = dissemination.PullSchedule()
        self.members = MemberTable()
        self.seats = SeatTable()
        self.drains = DrainTable()
        self.incarnation = int(clock.wall() * 1000)
        self.is_leaving = False
        self.is_handing_over = False
        self.fork: str | None = None
        self.in_force_at = clock.monotonic()
        self._sequence = 0
        self._ticked_at: float | None = None
        self._seeds_pinged_at = float("-inf")
        self._chunks: dict[int, StateChunk] = {}
        self._advert = self._make_advert()
        self.snapshot = self._make_snapshot(clock.monotonic())

    # Ticks.

    def tick(self) -> None:
        """Run all systems once and publish a snapshot."""
        now = self._clock.monotonic()
        self._pause_system(now)
        self._ticked_at = now
        self._member_system(now)
        self._drain_system(now)
        self._seat_system(now)
        self._publish(now)

    def _pause_system(self, now: float) -> None:
        last = self._ticked_at
        if last is None or now - last <= PAUSE_LIMIT_S:
            return
        membership.forget_probe(self.members)
        if self.seats.held:
            _LOG.warning(
                "seats suspended after a pause",
                extra={"pause_s": round(now - last, 3)},
            )
            self.seats.suspended_at = now
            self._submit(ReadSeats(asked_at=now))

    def _member_system(self, now: float) -> None:
        membership.expire(self.members, self.identity.zone, now)
        if membership.needs_indirect(self.members, now):
            self._ask_indirect()
        if now < self.members.next_probe_at:
            return
        self.members.next_probe_at = now + membership.PERIOD_S
        target = membership.next_probe(
            self.members, self.identity.zone, now, self._rng
        )
        if target is not None:
            self._ping(target.peer, target.instance)
        remote = dissemination.select_remote(
            self.members, self.identity.zone, self._rng
        )
        if remote is not None:
            self._ping(remote.peer, None, sequence=0)
        self._ping_seed(now)

    def _ping_seed(self, now: float) -> None:
        """Ping one seed a period, so that a lost zone is found again."""
        if now - self._seeds_pinged_at < _SEED_PERIOD_S:
            return
        self._seeds_pinged_at = now
        seeds = [s for s in self.identity.seeds if s != self.identity.peer]
        if not seeds:
            return
        known = {m.peer for m in self.members.rows.values() if m.is_live}
        unknown = [s for s in seeds if s not in known]
        self._ping(self._rng.choice(unknown or seeds), None, sequence=0)

    def _ask_indirect(self) -> None:
        probe = self.members.probe
        row = self.members.rows.get(probe.target)
        if row is None:
            return
        for helper in membership.indirect_helpers(
            self.members, self.identity.zone, self._rng
        ):
            self._send(
                helper.peer,
                PingRequest(
                    sequence=probe.sequence,
                    sender=self.identity.peer,
                    target=row.peer,
                ),
            )

    def _drain_system(self, now: float) -> None:
        for server in self._admission.draining_servers():
            self._note_drain(server, now)
        for server, until in list(self.drains.until.items()):
            if until <= now:
                del self.drains.until[server]

    def _note_drain(self, server: ServerName, now: float) -> None:
        self.drains.until[server] = now + dissemination.DRAIN_SIGN_S

    # Seats.

    def _seat_system(self, now: float) -> None:
        zone = self.state.of(Zone).get(self.identity.zone)
        if zone is None:
            self.seats.held.clear()
            return
        for seat in [s for s in self.seats.held if s >= zone.seats]:
            del self.seats.held[seat]
        self._drop_lost_seats()
        self._confirm_by_peers(now)
        self._finish_releases(now)
        self._resend_transfers(now)
        if self.seats.suspended_at is not None or self.is_leaving:
            return
        self._claim_missing(zone, now)
        self._request_share(zone, now)

    def _drop_lost_seats(self) -> None:
        for seat in seat_rules.lost_to_others(
            self.seats, self.members, self.identity.zone
        ):
            _LOG.warning("seat lost to a later holder", extra={"seat": seat})
            del self.seats.held[seat]

    def _confirm_by_peers(self, now: float) -> None:
        """Confirm suspended seats when the store cannot be asked."""
        since = self.seats.suspended_at
        if since is None or now - since < seat_rules.LISTEN_S:
            return
        waiting = [
            m
            for m in self.members.live_in_zone(self.identity.zone)
            if m.acked_at < since and m.measured_at < since
        ]
        if not waiting:
            self._confirm("peers")

    def _confirm(self, source: str) -> None:
        self.seats.suspended_at = None
        _LOG.info("seats confirmed", extra={"source": source})

    def _sharers(self) -> list[Member]:
        """Return the other instances that share the zone's seats."""
        return [
            m
            for m in self.members.live_in_zone(self.identity.zone)
            if m.advert is not None and not m.advert.leaving
        ]

    def _live_count(self) -> int:
        return 1 + len(self._sharers())

    def _rank(self) -> int:
        me = self.identity.instance
        return sum(1 for m in self._sharers() if m.instance < me)

    def _claim_missing(self, zone: Zone, now: float) -> None:
        seats = self.seats
        pending = seats.claim_pending_since
        if pending is not None and now - pending < _CLAIM_ANSWER_LIMIT_S:
            return
        if now - seats.claimed_at < seat_rules.CLAIM_PERIOD_S:
            return
        covered = seat_rules.covered_seats(seats, self.members, zone.name)
        missing = set(range(zone.seats)) - covered
        most = seat_rules.share(zone.seats, self._live_count())
        most -= len(seats.held)
        if not missing or most <= 0:
            return
        seats.claim_pending_since = now
        self._submit(
            ClaimSeats(
                plan=seat_rules.ClaimPlan(
                    missing=frozenset(missing),
                    most=most,
                    rank=self._rank(),
                    live=self._live_count(),
                    ended=seat_rules.ended_lives(self.members, zone.name, now),
                ),
                me=self._owner(0),
                replaced={
                    m.instance: m.incarnation
                    for m in self.members.live_in_zone(zone.name)
                    if m.advert is not None
                },
            )
        )

    def _request_share(self, zone: Zone, now: float) -> None:
        if now - self.seats.requested_at < seat_rules.REQUEST_PERIOD_S:
            return
        rich = seat_rules.richest_member(self.members, zone.name)
        if rich is None or rich.advert is None:
            return
        if len(rich.advert.seats) - len(self.seats.held) < 2:
            return
        self.seats.requested_at = now
        self._send(
            rich.peer,
            SeatRequest(
                instance=self.identity.instance,
                life=self.identity.life,
                peer=self.identity.peer,
                held=len(self.seats.held),
            ),
        )

    def _on_seat_request(self, message: SeatRequest) -> None:
        row = self.members.rows.get(message.instance)
        if row is None or not row.is_live or row.life != message.life:
            return
        if self.seats.releasing or self.seats.suspended_at is not None:
            return
        count = (len(self.seats.held) - message.held) // 2
        # Every other seat: neighbouring seats share one server's slots.
        for seat in sorted(self.seats.held)[::2][: max(0, count)]:
            self._release(seat, message.instance)

    def _release(self, seat: SeatIndex, receiver: InstanceId | None) -> None:
        held = self.seats.held.pop(seat)
        self.seats.releasing[seat] = Releasing(
            epoch=held.epoch, receiver=receiver
        )

    def _finish_releases(self, now: float) -> None:
        owners = {}
        given_up = {}
        for seat, releasing in list(self.seats.releasing.items()):
            if not releasing.is_published:
                continue
            if self._admission.seat_in_use(seat):
                continue
            del self.seats.releasing[seat]
            receiver = self._receiver(releasing)
            if receiver is None and not self.is_leaving:
                self.seats.held[seat] = seat_rules.held_after_transfer(
                    releasing.epoch, now
                )
            elif receiver is None:
                given_up[seat] = releasing.epoch
            else:
                owners[seat] = self._hand_to(receiver, seat, releasing.epoch)
        if owners or given_up:
            self._submit(WriteSeats(owners=owners, given_up=given_up))

    def _receiver(self, releasing: Releasing) -> Member | None:
        if releasing.receiver is None:
            return None
        row = self.members.rows.get(releasing.receiver)
        if row is None or not row.is_live or row.advert is None:
            return None
        return row

    def _hand_to(
        self, row: Member, seat: SeatIndex, epoch: int
    ) -> seat_rules.Owner:
        self.seats.transfers[seat] = Transfer(
            epoch=epoch + 1, receiver=row.instance, life=row.life
        )
        self.seats.epochs[seat] = epoch + 1
        return seat_rules.Owner(
            instance=row.instance,
            life=row.life,
            incarnation=row.incarnation,
            peer=row.peer,
            epoch=epoch + 1,
        )

    def _resend_transfers(self, now: float) -> None:
        for seat, transfer in list(self.seats.transfers.items()):
            row = self.members.rows.get(transfer.receiver)
            if (
                row is None
                or not row.is_live
                or row.life != transfer.life
                or self._has_arrived(row, seat, transfer)
            ):
                del self.seats.transfers[seat]
            elif now - transfer.sent_at >= seat_rules.TRANSFER_RESEND_S:
                transfer.sent_at = now
                self._send(
                    row.peer,
                    SeatTransfer(
                        seat=seat,
                        epoch=transfer.epoch,
                        instance=transfer.receiver,
                        life=transfer.life,
                    ),
                )

    def _has_arrived(
        self, row: Member, seat: SeatIndex, transfer: Transfer
    ) -> bool:
        claims = row.advert.seats if row.advert else ()
        return any(
            c.seat == seat and c.epoch >= transfer.epoch for c in claims
        )

    def _on_seat_transfer(self, message: SeatTransfer) -> None:
        """Take a seat over; a repeated or late message changes nothing."""
        if message.life != self.identity.life or self.is_leaving:
            return
        if message.epoch <= self.seats.epochs.get(message.seat, 0):
            return
        now = self._clock.monotonic()
        self.seats.epochs[message.seat] = message.epoch
        self.seats.held[message.seat] = seat_rules.held_after_transfer(
            message.epoch, now
        )

    def _on_claimed(self, report: SeatsClaimed) -> None:
        now = self._clock.monotonic()
        self.seats.claim_pending_since = None
        self.seats.claimed_at = now
        for claim in report.claims:
            if claim.epoch <= self.seats.epochs.get(claim.seat, 0):
                continue
            self.seats.epochs[claim.seat] = claim.epoch
            self.seats.held[claim.seat] = seat_rules.held_after_claim(
                self.state, claim, now
            )
        if report.claims:
            _LOG.info("seats claimed", extra={"count": len(report.claims)})
        if report.record is not None:
            self._note_owners(report.record, now)

    def _note_owners(self, record: "SeatRecord", now: float) -> None:
        """Add owners that were never heard of, so that they are probed."""
        for owner in record.owners.values():
            if (
                owner.instance == self.identity.instance
                or owner.instance in self.members.rows
            ):
                continue
            self.members.rows[owner.instance] = Member(
                instance=owner.instance,
                zone=self.identity.zone,
                peer=owner.peer,
                incarnation=owner.incarnation,
                life=owner.life,
                state_since=now,
            )

    def _on_seats_read(self, report: SeatsRead) -> None:
        since = self.seats.suspended_at
        if since is None or report.record is None or report.asked_at < since:
            return
        for seat, held in list(self.seats.held.items()):
            owner = report.record.owners.get(seat)
            if owner is None or owner.epoch < held.epoch:
                continue
            if owner.life != self.identity.life:
                del self.seats.held[seat]
        self._confirm("store")

    def _on_seats_written(self, report: SeatsWritten) -> None:
        if not report.is_done:
            self._submit(report.job)

    def _owner(self, epoch: int) -> seat_rules.Owner:
        return seat_rules.Owner(
            instance=self.identity.instance,
            life=self.identity.life,
            incarnation=self.incarnation,
            peer=self.identity.peer,
            epoch=epoch,
        )

    # Messages and events.

    def receive(self, message: Message) -> None:
        """Handle a message of a peer."""
        match message:
            case Ping(sequence=sequence, gossip=gossip):
                self._merge(gossip)
                self._reply(gossip.sender, sequence)
            case Ack(sequence=sequence, gossip=gossip):
                self._on_ack(sequence, gossip)
            case PingRequest(sequence=sequence, sender=sender, target=target):
                self._relay_ping(sequence, sender, target)
            case IndirectAck(sequence=sequence):
                membership.acknowledge(
                    self.members, sequence, self._clock.monotonic()
                )
            case Announce(sender=sender, number=number):
                self._pull_if_behind(sender, number)
            case Pull(sender=sender, number=number):
                self._on_pull(sender, number)
            case Tickets(entries=entries):
                self._apply(entries)
            case StateChunk():
                self._on_chunk(message)
            case SeatRequest():
                self._on_seat_request(message)
            case SeatTransfer():
                self._on_seat_transfer(message)

    def handle(self, event: Event) -> None:
        """Handle a report of the store worker or an order of the instance."""
        match event:
            case SeatsClaimed():
                self._on_claimed(event)
            case SeatsRead():
                self._on_seats_read(event)
            case SeatsWritten():
                self._on_seats_written(event)
            case EntriesRead(entries=entries):
                self._apply(entries)
            case StateRead(state=state):
                self._adopt(state)
            case HeadForked(reason=reason):
                self._note_fork(reason)
            case ServersLeaving(servers=servers):
                now = self._clock.monotonic()
                for server in servers:
                    self._note_drain(server, now)
            case Leave():
                self.is_leaving = True
                self._publish(self._clock.monotonic())
                self._tell_zone()
            case HandOver():
                self._hand_over()

    def _hand_over(self) -> None:
        self.is_handing_over = True
        receivers = [
            m.instance
            for m in self.members.live_in_zone(self.identity.zone)
            if m.state is MemberState.ALIVE
            and m.advert is not None
            and not m.advert.leaving
        ]
        for index, seat in enumerate(sorted(self.seats.held)):
            receiver = receivers[index % len(receivers)] if receivers else None
            self._release(seat, receiver)
        for releasing in self.seats.releasing.values():
            if releasing.receiver is None and receivers:
                releasing.receiver = receivers[0]

    @property
    def has_handed_over(self) -> bool:
        """Whether no seat is left here after `HandOver`."""
        seats = self.seats
        return self.is_handing_over and not (
            seats.held or seats.releasing or seats.transfers
        )

    def is_watcher(self) -> bool:
        """Tell whether this instance watches the store for its zone.

        The instances with the lowest names do. Two watchers that disagree
        on the members cost a few reads and nothing else.
        """
        lower = [
            m
            for m in self.members.live_in_zone(self.identity.zone)
            if m.advert is not None
            and m.state is MemberState.ALIVE
            and m.instance < self.identity.instance
        ]
        return len(lower) < WATCHERS_PER_ZONE

    def _on_ack(self, sequence: int, gossip: Gossip) -> None:
        now = self._clock.monotonic()
        self._merge(gossip)
        row = self.members.rows.get(gossip.sender.instance)
        if row is not None:
            row.acked_at = now
        relayed = self.members.relayed.pop(sequence, None)
        if relayed is not None:
            address, original = relayed
            self._send(address, IndirectAck(sequence=original))
        elif sequence:
            membership.acknowledge(self.members, sequence, now)

    def _relay_ping(
        self, sequence: int, sender: Address, target: Address
    ) -> None:
        self.members.sequence += 1
        own = self.members.sequence
        if len(self.members.relayed) > 256:
            self.members.relayed.clear()
        self.members.relayed[own] = (sender, sequence)
        self._ping(target, None, sequence=own)

    def _ping(
        self,
        address: Address,
        about: InstanceId | None,
        sequence: int | None = None,
    ) -> None:
        if sequence is None:
            sequence = self.members.sequence
        self._send(
            address, Ping(sequence=sequence, gossip=self._gossip(about))
        )

    def _reply(self, sender: Advert, sequence: int) -> None:
        gossip = self._gossip(sender.instance)
        self._send(sender.peer, Ack(sequence=sequence, gossip=gossip))

    def _tell_zone(self) -> None:
        for row in self.members.live_in_zone(self.identity.zone):
            self._ping(row.peer, row.instance, sequence=0)

    def _gossip(self, about: InstanceId | None) -> Gossip:
        now = self._clock.monotonic()
        return Gossip(
            sender=self._make_advert(),
            number=self.state.number,
            digest=self.state.digest,
            updates=membership.take_updates(self.members, about),
            adverts=dissemination.select_adverts(self.members, now, self._rng),
            draining=dissemination.select_drain_signs(self.drains, now),
        )

    def _merge(self, gossip: Gossip) -> None:
        now = self._clock.monotonic()
        for advert in (gossip.sender, *gossip.adverts):
            if advert.instance != self.identity.instance:
                membership.merge_advert(self.members, advert, now)
                self._note_epochs(advert)
            elif advert.life != self.identity.life:
                self._outlive(advert)
        for update in gossip.updates:
            if update.instance == self.identity.instance:
                self._refute(update.incarnation, update.state)
            else:
                membership.merge_update(self.members, update, now)
        dissemination.merge_drain_signs(self.drains, gossip.draining, now)
        self._check_fork(gossip)
        self._pull_if_behind(gossip.sender.peer, gossip.number)

    def _note_epochs(self, advert: Advert) -> None:
        if advert.zone != self.identity.zone:
            return
        for claim in advert.seats:
            known = self.seats.epochs.get(claim.seat, 0)
            if claim.epoch > known and claim.seat not in self.seats.held:
                self.seats.epochs[claim.seat] = claim.epoch

    def _outlive(self, advert: Advert) -> None:
        """Rise above the incarnation of an earlier process, if needed."""
        if advert.incarnation >= self.incarnation:
            self.incarnation = advert.incarnation + 1

    def _refute(self, incarnation: int, state: MemberState) -> None:
        if state is not MemberState.ALIVE and incarnation >= self.incarnation:
            self.incarnation = incarnation + 1

    def _check_fork(self, gossip: Gossip) -> None:
        if self.state.follows(gossip.number, gossip.digest) is False:
            self._note_fork(
                f"instance {gossip.sender.instance} has another ticket "
                f"{gossip.number}"
            )

    def _note_fork(self, reason: str) -> None:
        if self.fork != reason:
            self.fork = reason
            _LOG.critical("ticket fork", extra={"reason": reason})

    # Tickets.

    def _pull_if_behind(self, sender: Address, number: int) -> None:
        own = self.state.number
        now = self._clock.monotonic()
        if self._pulls.allows(sender=sender, offered=number, own=own, now=now):
            self._send(sender, Pull(sender=self.identity.peer, number=own))

    def _on_pull(self, sender: Address, number: int) -> None:
        if number >= self.state.number:
            return
        batches = dissemination.entries_after(self.recent.entries(), number)
        if batches is not None:
            for batch in batches:
                self._send(sender, Tickets(entries=batch))
            return
        for chunk in dissemination.state_chunks(self.state):
            self._send(sender, chunk)

    def _on_chunk(self, chunk: StateChunk) -> None:
        if chunk.number <= self.state.number:
            return
        self._chunks = dissemination.merge_chunk(self._chunks, chunk)
        if len(self._chunks) < chunk.total:
            return
        parts = [self._chunks[i].data for i in sorted(self._chunks)]
        self._chunks = {}
        try:
            self._adopt(decode_state(b"".join(parts)))
        except ChiverunError as exc:
            _LOG.error("state of a peer is malformed", extra={"e": str(exc)})

    def _apply(self, entries: Iterable[Entry]) -> None:
        """Apply tickets that follow; others are skipped."""
        before = self.state.number
        for entry in entries:
            if entry.number != self.state.number + 1:
                continue
            try:
                self.state = apply_entry(self.state, entry)
            except ChiverunError as exc:
                if exc.code is ResultCode.TICKET_FORK:
                    self._note_fork(exc.message)
                break
            self.recent.append(entry)
        self._after_advance(before)

    def _adopt(self, state: State) -> None:
        """Take over a whole state, only if it is newer and continues."""
        before = self.state.number
        if state.number <= before:
            return
        continues = state.follows(before, self.state.digest)
        if continues is False:
            self._note_fork(
                f"a state of ticket {state.number} has another ticket {before}"
            )
            return
        if continues is None:
            _LOG.warning("history not comparable", extra={"from": before})
        self.state = state
        self.recent.clear()
        self._after_advance(before)

    def _after_advance(self, before: int) -> None:
        if self.state.number == before:
            return
        now = self._clock.monotonic()
        # Raised again by the next exchange if the other history is still met.
        self.fork = None
        self.in_force_at = now
        self._publish(now)
        _LOG.info("ticket in force", extra={"number": self.state.number})
        announce = Announce(
            sender=self.identity.peer, number=self.state.number
        )
        for target in dissemination.announce_targets(
            self.members, self.identity.zone, self._rng
        ):
            self._send(target.peer, announce)

    # Publishing.

    def _make_advert(self) -> Advert:
        self._sequence += 1
        me = self.identity
        return Advert(
            instance=me.instance,
            life=me.life,
            incarnation=self.incarnation,
            sequence=self._sequence,
            zone=me.zone,
            lookup=me.lookup,
            entry=me.entry,
            forward=me.forward,
            peer=me.peer,
            leaving=self.is_leaving,
            seats=tuple(
                SeatClaim(seat=seat, epoch=held.epoch)
                for seat, held in self.seats.held.items()
            ),
            room=self._admission.room(),
            number=self.state.number,
        )

    def _publish(self, now: float) -> None:
        self.snapshot = self._make_snapshot(now)
        self._admission.update(self.snapshot)
        for releasing in self.seats.releasing.values():
            releasing.is_published = True

    def _make_snapshot(self, now: float) -> Snapshot:
        return Snapshot(
            state=self.state,
            published_at=now,
            zones=self._zone_views(now),
            seats=tuple(
                HeldSeat(
                    index=seat,
                    short_from=held.short_from,
                    long_from=held.long_from,
                )
                for seat, held in sorted(self.seats.held.items())
            ),
            confirmed=self.seats.suspended_at is None,
            leaving=self.is_leaving,
            leaving_servers=frozenset(
                s for s, until in self.drains.until.items() if until > now
            )
            | dissemination.drained_servers(self.state, self.identity.zone),
        )

    def _zone_views(self, now: float) -> dict[ZoneName, ZoneView]:
        rows: dict[ZoneName, list[Member]] = {}
        for row in self.members.rows.values():
            if self._is_listed(row, now):
                rows.setdefault(row.zone, []).append(row)
        rows.setdefault(self.identity.zone, [])
        zones = self.state.of(Zone)
        return {
            name: self._zone_view(zones[name], members, now)
            for name, members in rows.items()
            if name in zones
        }

    def _is_listed(self, row: Member, now: float) -> bool:
        if row.advert is None or row.advert.leaving:
            return False
        if row.zone == self.identity.zone:
            return row.is_live
        return now - row.measured_at <= REMOTE_LISTED_S

    def _zone_view(
        self, zone: Zone, members: list[Member], now: float
    ) -> ZoneView:
        instances = [
            EntryAddresses(
                instance=m.instance,
                lookup=m.advert.lookup,
                entry=m.advert.entry,
                forward=m.advert.forward,
                room=m.advert.room,
                measured_at=m.measured_at,
            )
            for m in members
        ]
        if zone.name == self.identity.zone and not self.is_leaving:
            instances.append(self._own_addresses())
        room: collections.Counter = collections.Counter()
        for member in members:
            room.update(member.advert.room)
        oldest = max((m.measured_at for m in members), default=-math.inf)
        return ZoneView(
            zone=zone.name,
            region=zone.region,
            instances=tuple(sorted(instances, key=lambda a: a.instance)),
            room=dict(room),
            measured_at=oldest,
            is_drained=zone.state is ZoneState.DRAIN,
        )

    def _own_addresses(self) -> EntryAddresses:
        me = self.identity
        return EntryAddresses(
            instance=me.instance,
            lookup=me.lookup,
            entry=me.entry,
            forward=me.forward,
            room={},
            measured_at=-math.inf,
        )
