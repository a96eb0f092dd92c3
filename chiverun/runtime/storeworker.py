"""Blocking calls to the platform's store, off the control plane's thread."""

import random
import threading
import time
from collections.abc import Callable
from typing import TYPE_CHECKING

import logbook
import msgspec
import pykka

from chiverun.core.errors import ChiverunError
from chiverun.core.errors import ResultCode
from chiverun.core.ids import ZoneName
from chiverun.core.seats import Claim
from chiverun.core.seats import SeatRecord
from chiverun.core.seats import select_claims
from chiverun.core.seats import with_owners
from chiverun.core.seats import without_owner
from chiverun.core.tables import Owner
from chiverun.core.ticketentry import fork_error
from chiverun.integrations.interfaces import StoreAnswerLost
from chiverun.integrations.interfaces import StoreUnavailable
from chiverun.runtime.events import ClaimSeats
from chiverun.runtime.events import EntriesRead
from chiverun.runtime.events import HeadForked
from chiverun.runtime.events import ReadSeats
from chiverun.runtime.events import SeatsClaimed
from chiverun.runtime.events import SeatsRead
from chiverun.runtime.events import SeatsWritten
from chiverun.runtime.events import StateRead
from chiverun.runtime.events import StoreJob
from chiverun.runtime.events import StoreReport
from chiverun.runtime.events import WriteSeats

if TYPE_CHECKING:
    from chiverun.core.state import State
    from chiverun.core.ticketentry import Entry
    from chiverun.core.ticketlog import TicketLog
    from chiverun.integrations.interfaces import KeyValueStore
    from chiverun.runtime.control import ControlPlane

WATCH_S = 10.0
POLL_S = 5.0
# An instance that hears its peers learns of tickets from them. At 4,656
# daemons that do not watch, a poll every 5 s is 931 reads/s of the store.
POLL_WITH_PEERS_S = 15.0
_HEARD_S = 3.0
_RECHECK_S = 1.0
# 144 watchers of 72 zones read an empty store 144 times a second in all.
_NO_HEAD_PAUSE_S = 1.0
# Each check reads up to 70 keys: 34 reads a second from 144 watchers.
MEND_PERIOD_S = 300.0
_PAUSE_MIN_S = 0.2
_PAUSE_MAX_S = 2.0
_SWAP_ATTEMPTS = 4
_LOG = logbook.Logger("store")

Report = Callable[[StoreReport], None]


class SeatRecords:
    """Changes a zone's seat record by compare-and-swap."""

    def __init__(self, *, store: "KeyValueStore", zone: ZoneName) -> None:
        self._store = store
        self._key = f"chiverun/seats/{zone}"

    def read(self) -> tuple[SeatRecord, int]:
        """Return the record and its index; 0 if there is none.

        Raises
        ------
        StoreUnavailable
            The store did not answer, or the record is malformed; an empty
            record in its place would free the seats of live holders.
        """
        item = self._store.get(self._key)
        if item is None:
            return SeatRecord(), 0
        try:
            record = msgspec.msgpack.decode(item.value, type=SeatRecord)
        except (msgspec.DecodeError, ValueError) as exc:
            raise StoreUnavailable(
                f"{self._key} is malformed: {exc}; valid: a seat record"
            ) from exc
        return record, item.index

    def claim(self, job: ClaimSeats) -> tuple[list[Claim], SeatRecord]:
        """Claim what the job's plan allows; return what took effect."""
        record, index = self.read()
        for _ in range(_SWAP_ATTEMPTS):
            claims = select_claims(record, job.plan, job.me)
            if not claims:
                return [], record
            owners = {
                c.seat: msgspec.structs.replace(job.me, epoch=c.epoch)
                for c in claims
            }
            wanted = with_owners(record, owners)
            if self._swap(wanted, index):
                return claims, wanted
            record, index = self.read()
            if _owns(record, owners):
                return claims, record
        return [], record

    def write(self, job: WriteSeats) -> None:
        """Write owners and give up seats; later epochs are kept.

        Raises
        ------
        StoreUnavailable
            The record could not be changed.
        """
        for _ in range(_SWAP_ATTEMPTS):
            record, index = self.read()
            wanted = with_owners(record, job.owners)
            for seat, epoch in job.released.items():
                wanted = without_owner(wanted, seat, epoch)
            if wanted == record or self._swap(wanted, index):
                return
        raise StoreUnavailable(f"{self._key}: swapped by others")

    def _swap(self, record: SeatRecord, index: int) -> bool:
        """Swap; a lost answer counts as False, and the caller re-reads."""
        data = msgspec.msgpack.encode(record)
        try:
            return self._store.put(self._key, data, cas=index)
        except StoreAnswerLost:
            return False


def _owns(record: SeatRecord, owners: dict[int, Owner]) -> bool:
    return all(record.owners.get(s) == owner for s, owner in owners.items())


class StoreWorker(pykka.ThreadingActor):
    """Runs store jobs one at a time and reports their results."""

    use_daemon_thread = True

    def __init__(self, records: SeatRecords, report: Report) -> None:
        super().__init__()
        self._records = records
        self._report = report

    def on_receive(self, message: StoreJob) -> None:
        try:
            report = run_job(self._records, message)
        except Exception:
            # An exception would end the actor, and with it all claims.
            _LOG.exception("store job failed")
            report = failed_report(message)
        self._report(report)


def run_job(records: SeatRecords, job: StoreJob) -> StoreReport:
    """Run a job and return its report, also when the store is down."""
    try:
        match job:
            case ClaimSeats():
                claims, record = records.claim(job)
                return SeatsClaimed(claims=tuple(claims), record=record)
            case ReadSeats(asked_at=asked_at):
                record, _ = records.read()
                return SeatsRead(record=record, asked_at=asked_at)
            case WriteSeats():
                records.write(job)
                return SeatsWritten(is_done=True, job=job)
    except StoreUnavailable as exc:
        _LOG.warning("seat record", extra={"e": str(exc)})
        return failed_report(job)


def failed_report(job: StoreJob) -> StoreReport:
    """Return the report of a job that the store did not take."""
    match job:
        case ClaimSeats():
            return SeatsClaimed(claims=(), record=None)
        case ReadSeats(asked_at=asked_at):
            return SeatsRead(record=None, asked_at=asked_at)
        case WriteSeats():
            return SeatsWritten(is_done=False, job=job)


class HeadWatch:
    """Follows the head of the ticket log on a thread.

    A watcher of its zone waits on the head; any other instance polls it
    only as a fallback, since its peers tell it of new tickets.
    """

    def __init__(
        self,
        *,
        log: "TicketLog",
        plane: "ControlPlane",
        report: Report,
        rng: random.Random,
    ) -> None:
        self._log = log
        self._plane = plane
        self._report = report
        self._rng = rng
        self._stopping = threading.Event()
        self._behind_since_number: int | None = None
        self._mend_at = float("-inf")
        self._pause_s = _PAUSE_MIN_S
        self._read_at = float("-inf")
        self.is_reachable = False
        # Why what the store holds cannot be used, for the status.
        self.fault: str | None = None
        self._thread = threading.Thread(
            target=self._run, daemon=True, name="head-watch"
        )

    def start(self) -> None:
        """Begin to follow."""
        self._thread.start()

    def stop(self) -> None:
        """End after the present call to the store."""
        self._stopping.set()

    def _run(self) -> None:
        index = 0
        while not self._stopping.is_set():
            index, pause_s = self.step(index)
            self._stopping.wait(pause_s)

    def step(self, index: int) -> tuple[int, float]:
        """Follow the head once.

        Returns
        -------
        tuple of int and float
            The index to wait on next (0: read at once) and the pause before
            it in seconds. No exception leaves this method: the thread must
            outlive whatever the store holds.
        """
        if self._may_rely_on_peers():
            return 0, _RECHECK_S
        self._read_at = self._plane.clock.monotonic()
        try:
            index = self._follow(index)
        except (StoreUnavailable, StoreAnswerLost) as exc:
            self._note_outage(exc)
            self._pause_s = min(_PAUSE_MAX_S, self._pause_s * 2)
            return 0, self._pause_s
        except Exception as exc:
            self._note_fault(exc)
            return 0, _PAUSE_MAX_S
        self.is_reachable = True
        self.fault = None
        self._pause_s = _PAUSE_MIN_S
        if not self._plane.is_watcher():
            if self._may_rely_on_peers():
                return 0, _RECHECK_S * self._rng.uniform(0.8, 1.2)
            return index, POLL_S * self._rng.uniform(0.8, 1.2)
        return index, 0.0 if index else _NO_HEAD_PAUSE_S

    def _may_rely_on_peers(self) -> bool:
        """Tell whether the next fallback poll is not due yet."""
        now = self._plane.clock.monotonic()
        return (
            now - self._read_at < POLL_WITH_PEERS_S
            and not self._plane.is_watcher()
            and self._plane.hears_peers(now, _HEARD_S)
        )

    def _note_outage(self, exc: Exception) -> None:
        if self.is_reachable:
            _LOG.warning("store unreachable", extra={"e": str(exc)})
        self.is_reachable = False

    def _note_fault(self, exc: Exception) -> None:
        reason = str(exc) or type(exc).__name__
        if self.fault == reason:
            return
        self.fault = reason
        if not isinstance(exc, ChiverunError):
            _LOG.exception("following the head failed")
            return
        _LOG.error("ticket log", extra={"e": reason})
        if exc.code is ResultCode.TICKET_FORK:
            self._report(HeadForked(reason=reason))

    def _follow(self, index: int) -> int:
        """Read or await the head once; return the index to wait on."""
        wait_s = WATCH_S if index and self._plane.is_watcher() else 0.0
        head = self._log.head(index=index if wait_s else 0, wait_s=wait_s)
        state = self._plane.state
        entry = head.entry
        if entry is None:
            if state.number:
                self._repair(0)
            return 0
        if state.follows(entry.number, entry.digest) is False:
            raise fork_error(entry, state)
        if entry.number < state.number:
            self._repair(entry.number)
            return 0
        self._behind_since_number = None
        if entry.number > state.number:
            self._read_missing(state.number, entry)
        else:
            self._mend(state)
        return head.index

    def _read_missing(self, number: int, head: "Entry") -> None:
        entries = self._log.entries_between(number, head)
        if entries is None:
            self._report(StateRead(state=self._log.load()))
        else:
            self._report(EntriesRead(entries=tuple(entries)))

    def _repair(self, number: int) -> None:
        """Bring a store with older data forward, if it stays behind."""
        if self._behind_since_number != number:
            # Of several instances that see it, the first one repairs it.
            self._behind_since_number = number
            self._stopping.wait(self._rng.uniform(0.5, 1.5))
            return
        if not self._plane.is_watcher():
            return
        if self._log.restore_head(
            self._plane.state, self._plane.recent.entries()
        ):
            _LOG.warning(
                "store repaired",
                extra={"from": number, "to": self._plane.state.number},
            )

    def _mend(self, state: "State") -> None:
        """Check from time to time that the log behind the head loads."""
        now = time.monotonic()
        if now < self._mend_at or not self._plane.is_watcher():
            return
        self._mend_at = now + MEND_PERIOD_S * self._rng.uniform(0.8, 1.2)
        if self._log.replace_unloadable_base(state):
            _LOG.warning("base in the store replaced")
