"""Caps of the shifts into this region, enforced by this instance."""

from typing import TYPE_CHECKING

from chiverun.core.errors import ResultCode
from chiverun.core.ids import ZoneName
from chiverun.core.limits import WindowLimiter
from chiverun.core.portions import held_portion
from chiverun.core.shift import active_shift
from chiverun.core.shift import cap_name
from chiverun.core.shift import SHIFT_JITTER_S
from chiverun.core.shift import SHIFT_WINDOW_S
from chiverun.core.ticket import Shift
from chiverun.core.ticket import Zone
from chiverun.core.work import Grant
from chiverun.core.work import rejection
from chiverun.core.work import Work

if TYPE_CHECKING:
    from chiverun.core.snapshot import Snapshot


class ShiftCaps:
    """Limits the requests that cross regions by a shift."""

    def __init__(self, *, zone: ZoneName) -> None:
        self._zone = zone
        self._limits: dict[str, WindowLimiter] = {}

    def consume(self, snapshot: "Snapshot", work: Work, now: float) -> None:
        """Count a request against the caps of its shifts.

        Raises
        ------
        ChiverunError
            SHIFT_CAP; the request has not run.
        """
        for shift in self._crossed(snapshot, work):
            self._consume_cap(snapshot, shift, work, now)

    def is_timely(
        self, snapshot: "Snapshot", grant: Grant, now: float
    ) -> bool:
        """Return whether a grant may still be sent within its window.

        After a pause between grant and send, the request would arrive in a
        later window than the one that counts it.
        """
        return now - grant.granted_at <= SHIFT_JITTER_S or not (
            self._crossed(snapshot, grant.work)
        )

    def prune(self, now: float) -> None:
        """Remove limiters without requests in their window.

        Requests of a removed shift count in the window of its replacement.
        """
        for name in [
            n for n, one in self._limits.items() if not one.used(now)
        ]:
            del self._limits[name]

    def _crossed(self, snapshot: "Snapshot", work: Work) -> list[Shift]:
        """Return the shifts into this region that a request counts for.

        A caller in the source region may have entered through another
        region, if its look-up returned no instance of its own region.
        """
        state = snapshot.state
        region = state.of(Zone)[self._zone].region
        sources = {work.source_region, work.origin_region} - {region, None}
        shifts = (
            active_shift(state, work.service, source, region)
            for source in sorted(sources)
        )
        return [shift for shift in shifts if shift is not None]

    def _consume_cap(
        self, snapshot: "Snapshot", shift: Shift, work: Work, now: float
    ) -> None:
        name = cap_name(shift)
        cap = held_portion(
            snapshot.state,
            name,
            shift.cap_per_s,
            self._zone,
            [s.index for s in snapshot.seats if now >= s.short_opens_at],
        )
        limiter = self._limits.setdefault(
            name, WindowLimiter(cap=cap, window_s=SHIFT_WINDOW_S)
        )
        limiter.cap = cap
        if not limiter.try_consume(now):
            raise rejection(
                ResultCode.SHIFT_CAP,
                work,
                f"shift {shift.name} is at this instance's cap of {cap}/s",
            )
