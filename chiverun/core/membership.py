"""SWIM failure detection within a zone, as functions over the member table.

The protocol follows Das, Gupta and Motivala, "SWIM: Scalable
Weakly-consistent Infection-style Process Group Membership Protocol" (DSN
2002). The load of an instance does not grow with the size of the zone.
"""

import math
import random

from chiverun.core.ids import BootId
from chiverun.core.ids import InstanceId
from chiverun.core.ids import ZoneName
from chiverun.core.messages import Advert
from chiverun.core.messages import MemberState
from chiverun.core.messages import MemberUpdate
from chiverun.core.tables import Member
from chiverun.core.tables import MemberTable
from chiverun.core.tables import PendingUpdate
from chiverun.core.tables import Probe

PERIOD_S = 1.0
INDIRECT_AFTER_S = 0.35
INDIRECT_PROBES = 2
SUSPECT_S = 4.0
# Direct pings to a member that other instances have declared dead.
DIRECT_PINGS = 3
DIRECT_PING_PERIOD_S = 0.4
ENDED_BOOTS_MAX = 256
RELAYED_MAX = 256
EXPIRE_PERIOD_S = 0.25
# Maximum number of known instances of each other zone.
REMOTE_PER_ZONE_MAX = 4
# Dead rows are kept so that delayed adverts do not revive them, and so that
# claimants still know the holders of seats.
DEAD_KEPT_S = 600.0
# Rows of other zones without a newer advert are removed after this time.
REMOTE_KEPT_S = 60.0
# Rows of other zones older than this may be replaced by new instances.
REMOTE_REPLACED_S = 10.0
UPDATE_SENDS_FACTOR = 3
UPDATES_PER_MESSAGE = 6


def merge_advert(
    table: MemberTable, advert: Advert, zone: ZoneName, now: float
) -> bool:
    """Merge an advert if it is newer; return whether it was merged.

    At most `REMOTE_PER_ZONE_MAX` instances of each zone other than `zone` are
    kept.
    """
    row = table.rows.get(advert.instance)
    if row is None:
        if not _make_space(table, advert, zone, now):
            return False
        row = Member(
            instance=advert.instance,
            zone=advert.zone,
            peer=advert.peer,
            incarnation=advert.incarnation,
            state_since=now,
        )
        table.add(row)
    elif row.advert is not None and not _is_newer(advert, row.advert):
        return False
    if row.advert is None or row.advert.leaving != advert.leaving:
        table.version += 1
    row.advert = advert
    if row.boot_id != advert.boot_id:
        row.boot_id = advert.boot_id
        row.boot_seen_sequence = table.sequence
    if row.zone != advert.zone:
        row.zone = advert.zone
        table.add(row)
    row.peer = advert.peer
    row.measured_at = now - advert.age_ms / 1000.0
    if advert.incarnation > row.incarnation:
        row.incarnation = advert.incarnation
        _set_state(table, row, MemberState.ALIVE, now)
    return True


def _make_space(
    table: MemberTable, advert: Advert, zone: ZoneName, now: float
) -> bool:
    if advert.zone == zone:
        return True
    rows = table.in_zone(advert.zone)
    if len(rows) < REMOTE_PER_ZONE_MAX:
        return True
    oldest = min(rows, key=lambda m: m.measured_at)
    if now - oldest.measured_at < REMOTE_REPLACED_S:
        return False
    table.remove(oldest.instance)
    return True


def _is_newer(new: Advert, old: Advert) -> bool:
    return (new.incarnation, new.sequence) > (old.incarnation, old.sequence)


def merge_update(table: MemberTable, update: MemberUpdate, now: float) -> bool:
    """Merge a member update; return whether it changed a row."""
    row = table.rows.get(update.instance)
    if row is None or not _overrides(update, row):
        return False
    row.incarnation = update.incarnation
    _set_state(table, row, update.state, now)
    return True


def _overrides(update: MemberUpdate, row: Member) -> bool:
    match update.state:
        case MemberState.ALIVE:
            return update.incarnation > row.incarnation
        case MemberState.SUSPECT:
            if row.state is MemberState.ALIVE:
                return update.incarnation >= row.incarnation
            return update.incarnation > row.incarnation
        case MemberState.DEAD:
            return (
                row.state is not MemberState.DEAD
                and update.incarnation >= row.incarnation
            )


def _set_state(
    table: MemberTable, row: Member, state: MemberState, now: float
) -> None:
    row.state = state
    row.state_since = now
    row.checks = 0
    table.version += 1
    sends = UPDATE_SENDS_FACTOR * math.ceil(math.log2(len(table.rows) + 2))
    table.updates[row.instance] = PendingUpdate(
        update=MemberUpdate(
            instance=row.instance,
            incarnation=row.incarnation,
            state=state,
        ),
        sends_left=sends,
    )


def next_updates(
    table: MemberTable, about: InstanceId | None = None
) -> tuple[MemberUpdate, ...]:
    """Return the updates for the next message, least often sent first.

    An update about the receiver itself is always included, so that a live
    member can refute its suspicion or death.
    """
    pending = sorted(table.updates.values(), key=lambda p: -p.sends_left)
    chosen = pending[:UPDATES_PER_MESSAGE]
    for item in chosen:
        item.sends_left -= 1
        if item.sends_left <= 0:
            del table.updates[item.update.instance]
    updates = [item.update for item in chosen]
    row = table.rows.get(about) if about else None
    if row is not None and row.state is not MemberState.ALIVE:
        updates.append(
            MemberUpdate(
                instance=row.instance,
                incarnation=row.incarnation,
                state=row.state,
            )
        )
    return tuple(updates)


def next_probe(
    table: MemberTable, zone: ZoneName, now: float, rng: random.Random
) -> Member | None:
    """Start the next period: evaluate the last probe and choose a target.

    Targets follow a shuffled order, so each member is probed once a round.
    Dead members are probed as well: one message a round detects those that
    were only partitioned.
    """
    _evaluate_probe(table, now)
    while True:
        if not table.probe_order:
            table.probe_order = [m.instance for m in table.in_zone(zone)]
            rng.shuffle(table.probe_order)
        if not table.probe_order:
            return None
        row = table.rows.get(table.probe_order.pop())
        if row is not None and row.zone == zone:
            break
    table.sequence += 1
    table.probe = Probe(
        target=row.instance, sequence=table.sequence, sent_at=now
    )
    return row


def _evaluate_probe(table: MemberTable, now: float) -> None:
    probe = table.probe
    table.probe = None
    if probe is None or probe.is_acked:
        return
    row = table.rows.get(probe.target)
    if row is not None and row.state is MemberState.ALIVE:
        _set_state(table, row, MemberState.SUSPECT, now)


def reset_failure_detection(table: MemberTable, now: float) -> None:
    """Restart the suspicion timers after a pause of this process.

    Acknowledgements that this process missed while it was paused do not
    indicate a failure.
    """
    table.probe = None
    for row in table.rows.values():
        if row.state is MemberState.SUSPECT:
            row.state_since = now


def members_to_check(
    table: MemberTable, zone: ZoneName, now: float
) -> list[Member]:
    """Return the dead members to ping before their seats may be claimed."""
    due = [
        m
        for m in table.in_zone(zone)
        if m.state is MemberState.DEAD
        and m.checks < DIRECT_PINGS
        and now - m.checked_at >= DIRECT_PING_PERIOD_S
    ]
    for row in due:
        row.checks += 1
        row.checked_at = now
    return due


def record_ack(
    table: MemberTable, sender: Advert, sequence: int, now: float
) -> None:
    """Process an acknowledgement of this instance's ping `sequence`.

    A process with another boot ID, known at the sender's address before the
    ping was sent, has ended. A dead member that responds becomes a suspect.
    """
    for row in list(table.rows.values()):
        if row.peer != sender.peer or row.boot_id is None:
            continue
        if row.boot_id != sender.boot_id:
            if row.boot_seen_sequence < sequence:
                record_ended(table, row.boot_id)
                if row.advert is None:
                    table.remove(row.instance)
            continue
        _record_alive(row, now)


def _record_alive(row: Member, now: float) -> None:
    row.acked_at = now
    if row.state is MemberState.DEAD:
        row.state = MemberState.SUSPECT
        row.state_since = now


def record_ended(table: MemberTable, boot_id: BootId) -> None:
    """Record the boot ID of a process that has ended."""
    table.ended[boot_id] = None
    while len(table.ended) > ENDED_BOOTS_MAX:
        del table.ended[next(iter(table.ended))]


def needs_indirect(table: MemberTable, now: float) -> bool:
    """Return whether to start indirect probes; true once a period."""
    probe = table.probe
    if probe is None or probe.is_acked or probe.is_indirect:
        return False
    if now - probe.sent_at < INDIRECT_AFTER_S:
        return False
    probe.is_indirect = True
    return True


def indirect_helpers(
    table: MemberTable, zone: ZoneName, rng: random.Random
) -> list[Member]:
    """Choose the members that send indirect probes to the target."""
    target = table.probe.target if table.probe else None
    others = [
        m
        for m in table.live_in_zone(zone)
        if m.instance != target
        and m.state is MemberState.ALIVE
        and m.advert is not None
    ]
    return rng.sample(others, min(INDIRECT_PROBES, len(others)))


def acknowledge(table: MemberTable, sequence: int, now: float) -> None:
    """Process the acknowledgement of a probe."""
    probe = table.probe
    if probe is None or probe.sequence != sequence:
        return
    probe.is_acked = True
    row = table.rows.get(probe.target)
    if row is not None:
        _record_alive(row, now)


def expire(table: MemberTable, zone: ZoneName, now: float) -> None:
    """Declare expired suspects dead and remove obsolete rows."""
    if now - table.expired_at < EXPIRE_PERIOD_S:
        return
    table.expired_at = now
    for row in list(table.rows.values()):
        age_s = now - row.state_since
        if row.state is MemberState.SUSPECT and age_s >= SUSPECT_S:
            _set_state(table, row, MemberState.DEAD, now)
        elif _is_obsolete(row, zone, now):
            table.remove(row.instance)


def _is_obsolete(row: Member, zone: ZoneName, now: float) -> bool:
    if row.zone != zone:
        return now - row.measured_at >= REMOTE_KEPT_S
    return (
        row.state is MemberState.DEAD and now - row.state_since >= DEAD_KEPT_S
    )
