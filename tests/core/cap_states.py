"""A state with two regions and a shift, and views of it, for tests."""

import random

from chiverun.core.admission import Admission
from chiverun.core.blocks import Blocks
from chiverun.core.ids import TicketNumber
from chiverun.core.snapshot import EntryAddresses
from chiverun.core.snapshot import HeldSeat
from chiverun.core.snapshot import Snapshot
from chiverun.core.snapshot import ZoneView
from chiverun.core.state import apply_ticket
from chiverun.core.state import empty_state
from chiverun.core.ticket import Link
from chiverun.core.ticket import Region
from chiverun.core.ticket import RequestClass
from chiverun.core.ticket import Server
from chiverun.core.ticket import Service
from chiverun.core.ticket import Shift
from chiverun.core.ticket import Site
from chiverun.core.ticket import Ticket
from chiverun.core.ticket import Zone
from chiverun.core.work import Work

SEATS = 6
CLASS = RequestClass(name="read", methods=("GET",), repeatable=True)


def shift(**changes) -> Shift:
    """Return the shift of service "s" from region "a" to region "b"."""
    values = {
        "name": "relief",
        "service": "s",
        "source": "a",
        "target": "b",
        "fraction": 1.0,
        "cap_per_s": 4,
        "warm_s": 1.0,
        **changes,
    }
    return Shift(**values)


def make_state(
    shifts=(), *, zones=("a1", "b1", "c1"), mbit_per_s=8.0, slots=60
):
    """Return a state with zones of the regions that they are named for."""
    zones = {z: z[0] for z in zones}
    ticket = Ticket(
        number=TicketNumber(1),
        reason="test",
        author="test",
        region=tuple(Region(name=r) for r in "abc"),
        zone=tuple(
            Zone(name=z, region=r, seats=SEATS) for z, r in zones.items()
        ),
        link=tuple(
            Link(name=f"{s}-{t}", source=s, target=t, mbit_per_s=mbit_per_s)
            for s in "abc"
            for t in "abc"
            if s != t
        ),
        service=(Service(name="s", classes=(CLASS,)),),
        server=tuple(
            Server(
                name=f"s-{z}",
                service="s",
                zone=z,
                address="127.0.0.1:1",
                slots=slots,
            )
            for z in zones
        ),
        site=tuple(
            Site(name=z, zone=z, blocks=Blocks.parse([f"10.{i}.0.0/16"]))
            for i, z in enumerate(zones)
        ),
        shift=tuple(shifts),
    )
    return apply_ticket(empty_state(), ticket)


def snapshot(state, now, seats=(), *, zones=(), opens=None, **changes):
    """Return a snapshot that holds seats; `opens` gives opening times."""
    opens = opens or {}
    values = {
        "state": state,
        "published_at": now,
        "zones": {v.zone: v for v in zones},
        "seats": tuple(
            HeldSeat(
                index=s,
                short_opens_at=opens.get(s, now),
                long_opens_at=opens.get(s, now),
            )
            for s in seats
        ),
        "confirmed": True,
        "leaving": False,
        "leaving_servers": frozenset(),
        **changes,
    }
    return Snapshot(**values)


def view(zone, region, instances) -> ZoneView:
    """Return a zone's view; `instances` maps names to (seats, measured)."""
    addresses = tuple(
        EntryAddresses(
            instance=name,
            lookup=f"{name}:1",
            entry=f"{name}:2",
            forward=f"{name}:3",
            free_slots={"s": 5},
            measured_at=measured_at,
            seats=tuple(seats),
        )
        for name, (seats, measured_at) in instances.items()
    )
    return ZoneView(
        zone=zone,
        region=region,
        instances=addresses,
        free_slots={"s": 5 * len(addresses)},
        measured_at=min(a.measured_at for a in addresses),
    )


def work(clock, source="a", origin=None, deadline_s=2.0) -> Work:
    """Return a request of the service's only class."""
    return Work(
        service="s",
        request_class=CLASS,
        source_region=source,
        deadline=clock.monotonic() + deadline_s,
        origin_region=origin,
    )


def admission(zone, clock) -> Admission:
    """Return the admission of an instance in a zone."""
    return Admission(zone=zone, clock=clock, rng=random.Random(1))
