"""Selects the requests that a traffic shift moves to its target region."""

import threading
from typing import TYPE_CHECKING

from chiverun.core.errors import ResultCode
from chiverun.core.exchange import ExchangeEnd
from chiverun.core.exchange import PeerRefused
from chiverun.core.routing import region_free_slots
from chiverun.core.routing import shift_targets
from chiverun.core.routing import Target
from chiverun.core.shift import active_shift
from chiverun.core.shift import grow
from chiverun.core.shift import is_same_move
from chiverun.core.shift import Measurement
from chiverun.core.shift import record_refusal
from chiverun.core.shift import select_targets
from chiverun.core.shift import ShiftProgress
from chiverun.core.shift import should_move
from chiverun.core.shift import with_shift
from chiverun.core.ticket import Shift
from chiverun.core.work import Work

if TYPE_CHECKING:
    from chiverun.core.clock import Clock
    from chiverun.core.ids import InstanceId
    from chiverun.core.snapshot import Snapshot


class ShiftOffers:
    """Tracks the active shifts on this instance; thread-safe."""

    def __init__(self, *, instance: "InstanceId", clock: "Clock") -> None:
        self._instance = instance
        self._clock = clock
        self._lock = threading.Lock()
        self._progress: dict[str, ShiftProgress] = {}

    def targets(
        self, snapshot: "Snapshot", work: Work, now: float
    ) -> list[Target]:
        """Return candidate instances for a request, empty if it stays."""
        shift = active_shift(snapshot.state, work.service, work.source_region)
        if shift is None:
            return []
        with self._lock:
            progress = self._progress_of(shift)
            free_slots, measured_at = region_free_slots(
                snapshot, shift.target, shift.service
            )
            measurement = Measurement(
                free_slots=free_slots, age_s=now - measured_at
            )
            grow(progress, measurement, now)
            if not should_move(progress):
                return []
            targets = shift_targets(snapshot, self._instance, shift, now)
            return select_targets(progress, targets, now)

    def record_result(
        self,
        snapshot: "Snapshot",
        target: Target,
        work: Work,
        end: ExchangeEnd,
    ) -> None:
        """Record the result of an offer; an instance at its cap is paused."""
        if end != PeerRefused(code=ResultCode.SHIFT_CAP):
            return
        shift = active_shift(snapshot.state, work.service, work.source_region)
        if shift is None:
            return
        with self._lock:
            record_refusal(
                self._progress_of(shift), target, self._clock.monotonic()
            )

    def _progress_of(self, shift: Shift) -> ShiftProgress:
        progress = self._progress.get(shift.name)
        if progress is None or not is_same_move(progress.shift, shift):
            progress = ShiftProgress(shift=shift)
        elif progress.shift != shift:
            progress = with_shift(progress, shift)
        self._progress[shift.name] = progress
        return progress
