"""Publishes the snapshot that the request path reads."""

import collections
import math
from typing import TYPE_CHECKING

from chiverun.core import dissemination
from chiverun.core.ids import ZoneName
from chiverun.core.snapshot import EntryAddresses
from chiverun.core.snapshot import HeldSeat
from chiverun.core.snapshot import Snapshot
from chiverun.core.snapshot import ZoneView
from chiverun.core.tables import Member
from chiverun.core.ticket import Zone
from chiverun.core.ticket import ZoneState

if TYPE_CHECKING:
    from chiverun.runtime.context import ControlContext

# A remote instance not heard of for this long is left out of look-ups.
REMOTE_LISTED_S = 15.0
# Free slots in the views are at most this much older than the adverts; at
# every tick the views took most of the control plane's time.
_VIEWS_PERIOD_S = 0.5


def publish(ctx: "ControlContext", now: float) -> None:
    """Publish a snapshot and update admission."""
    ctx.snapshot = make_snapshot(ctx, now)
    ctx.admission.update(ctx.snapshot)
    for releasing in ctx.seats.releasing.values():
        releasing.is_published = True


def make_snapshot(ctx: "ControlContext", now: float) -> Snapshot:
    """Return a snapshot of the tables."""
    return Snapshot(
        state=ctx.state,
        published_at=now,
        zones=_current_views(ctx, now),
        seats=tuple(
            HeldSeat(
                index=seat,
                short_opens_at=held.short_opens_at,
                long_opens_at=held.long_opens_at,
            )
            for seat, held in sorted(ctx.seats.held.items())
        ),
        confirmed=ctx.seats.suspended_at is None,
        leaving=ctx.is_leaving,
        leaving_servers=frozenset(
            s for s, until in ctx.drains.until.items() if until > now
        )
        | dissemination.drained_servers(ctx.state, ctx.identity.zone),
    )


def _current_views(
    ctx: "ControlContext", now: float
) -> dict[ZoneName, ZoneView]:
    """Return the views, made anew when due or when members changed."""
    key = (ctx.members.version, ctx.state.number, ctx.is_leaving)
    if key != ctx.views_key or now - ctx.views_at >= _VIEWS_PERIOD_S:
        ctx.views_key = key
        ctx.views_at = now
        ctx.zone_views = _zone_views(ctx, now)
    return ctx.zone_views


def _zone_views(ctx: "ControlContext", now: float) -> dict[ZoneName, ZoneView]:
    rows: dict[ZoneName, list[Member]] = {}
    for row in ctx.members.rows.values():
        if _is_listed(ctx, row, now):
            rows.setdefault(row.zone, []).append(row)
    rows.setdefault(ctx.identity.zone, [])
    zones = ctx.state.of(Zone)
    return {
        name: _zone_view(ctx, zones[name], members, now)
        for name, members in rows.items()
        if name in zones
    }


def _is_listed(ctx: "ControlContext", row: Member, now: float) -> bool:
    if row.advert is None or row.advert.leaving:
        return False
    if row.advert.number == 0:
        # It has just started and would refuse every request.
        return False
    if row.zone == ctx.identity.zone:
        return row.is_live
    return now - row.measured_at <= REMOTE_LISTED_S


def _zone_view(
    ctx: "ControlContext", zone: Zone, members: list[Member], now: float
) -> ZoneView:
    instances = [
        EntryAddresses(
            instance=m.instance,
            lookup=m.advert.lookup,
            entry=m.advert.entry,
            forward=m.advert.forward,
            free_slots=m.advert.free_slots,
            measured_at=m.measured_at,
            seats=tuple(c.seat for c in m.advert.seats),
        )
        for m in members
    ]
    if zone.name == ctx.identity.zone and not ctx.is_leaving:
        instances.append(_own_addresses(ctx))
    free_slots: collections.Counter = collections.Counter()
    for member in members:
        free_slots.update(member.advert.free_slots)
    oldest = max((m.measured_at for m in members), default=-math.inf)
    return ZoneView(
        zone=zone.name,
        region=zone.region,
        instances=tuple(sorted(instances, key=lambda a: a.instance)),
        free_slots=dict(free_slots),
        measured_at=oldest,
        is_drained=zone.state is ZoneState.DRAIN,
    )


def _own_addresses(ctx: "ControlContext") -> EntryAddresses:
    me = ctx.identity
    return EntryAddresses(
        instance=me.instance,
        lookup=me.lookup,
        entry=me.entry,
        forward=me.forward,
        free_slots={},
        measured_at=-math.inf,
    )
