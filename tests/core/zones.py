"""States and snapshots of one zone for the tests of admission."""

import random

from chiverun.core.admission import Admission
from chiverun.core.clock import ManualClock
from chiverun.core.errors import ChiverunError
from chiverun.core.snapshot import HeldSeat
from chiverun.core.snapshot import Snapshot
from chiverun.core.state import apply_ticket
from chiverun.core.state import empty_state
from chiverun.core.state import State
from chiverun.core.ticket import Length
from chiverun.core.ticket import Region
from chiverun.core.ticket import RequestClass
from chiverun.core.ticket import Server
from chiverun.core.ticket import Service
from chiverun.core.ticket import Ticket
from chiverun.core.ticket import Zone
from chiverun.core.work import Work

READ = RequestClass(
    name="read",
    methods=("GET",),
    path_prefix="/read",
    repeatable=True,
    attempts=2,
)
BOOK = RequestClass(name="book", methods=("POST",))
EXPORT = RequestClass(
    name="export",
    methods=("GET",),
    path_prefix="/export",
    repeatable=True,
    attempts=2,
    length=Length.LONG,
    deadline_ms=10000,
)
CLASSES = (READ, EXPORT, BOOK)


def server(name: str, slots: int = 4, **fields) -> Server:
    """Return a server of the test zone."""
    base = {"service": "desk", "zone": "dar-a", "address": "127.0.0.1:9"}
    return Server(name=name, slots=slots, **{**base, **fields})


def state(
    *servers: Server,
    in_flight_max: int = 0,
    seats: int = 4,
    services: tuple[str, ...] = ("desk",),
    **kinds,
) -> State:
    """Return a state with one region of one zone."""
    region = Region(name="dar", in_flight_max=in_flight_max)
    zone = Zone(name="dar-a", region="dar", seats=seats)
    kinds.setdefault("region", (region,))
    kinds.setdefault("zone", (zone,))
    return apply_ticket(
        empty_state(),
        Ticket(
            number=1,
            reason="test",
            author="test",
            service=tuple(Service(name=s, classes=CLASSES) for s in services),
            server=servers,
            **kinds,
        ),
    )


def seats(*indexes: int, opens_at: float = 0.0) -> tuple[HeldSeat, ...]:
    """Return held seats; all four if no index is given."""
    return tuple(
        HeldSeat(index=i, short_opens_at=opens_at, long_opens_at=opens_at)
        for i in indexes or range(4)
    )


class Zoned:
    """An Admission with a manual clock."""

    def __init__(self, current: State, held=None, seed: int = 1) -> None:
        self.clock = ManualClock()
        self.admission = Admission(
            zone="dar-a", clock=self.clock, rng=random.Random(seed)
        )
        self.state = current
        self.held = seats() if held is None else held
        self.publish()

    def publish(self, **fields) -> None:
        """Publish a snapshot, as the control tick does."""
        values = {
            "state": self.state,
            "published_at": self.clock.monotonic(),
            "zones": {},
            "seats": self.held,
            "confirmed": True,
            "leaving": False,
            "leaving_servers": frozenset(),
            **fields,
        }
        self.admission.update(Snapshot(**values))

    def advance(self, seconds: float) -> None:
        """Let time pass, with a control tick at its end."""
        self.clock.advance(seconds)
        self.publish()

    def work(
        self, request_class=READ, remaining_s=2.0, service="desk", **fields
    ):
        """Return a request with a deadline in `remaining_s`."""
        return Work(
            service=service,
            request_class=request_class,
            source_region=fields.get("source", "dar"),
            deadline=self.clock.monotonic() + remaining_s,
        )

    def take(self, request_class=READ, **fields):
        """Return a grant, or None if the request is refused."""
        try:
            return self.admission.try_acquire(
                self.work(request_class, **fields)
            )
        except ChiverunError:
            return None

    def take_all(self, request_class=READ, **fields) -> list:
        """Take slots until one is refused."""
        grants = []
        while grant := self.take(request_class, **fields):
            grants.append(grant)
        return grants

    def wait(self, request_class=READ, **fields):
        """Queue a request."""
        return self.admission.enqueue(
            self.work(request_class, **fields), lambda: None
        )
