"""Blocking calls to the platform's store, outside the control thread."""

import random
import threading
import time
from collections.abc import Callable
from typing import TYPE_CHECKING

import logbook
import msgspec
import pykka

from chiverun.core.errors import ChiverunError
from chiverun.core.errors import DECODE_ERRORS
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

BLOCKING_READ_S = 10.0
POLL_PERIOD_S = 5.0
# Longer for instances that also get tickets from peers: a poll every 5 s by
# 4,656 instances that do not watch would be 931 reads/s of the store.
POLL_PERIOD_WITH_PEERS_S = 15.0
_PEER_ACK_AGE_MAX_S = 3.0
_RECHECK_PERIOD_S = 1.0
# With this pause, 144 watchers of 72 zones read an empty store 144 times a
# second in total.
_EMPTY_STORE_DELAY_S = 1.0
# Each check reads up to 70 keys; 144 watchers cause 34 reads/s in total.
BASE_CHECK_PERIOD_S = 300.0
_RETRY_DELAY_MIN_S = 0.2
_RETRY_DELAY_MAX_S = 2.0
_WRITE_ATTEMPTS = 4
_LOG = logbook.Logger("store")

ReportCallback = Callable[[StoreReport], None]


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
            The store did not respond, or the record is malformed. Treating
            a malformed record as empty would free seats of live holders.
        """
        item = self._store.get(self._key)
        if item is None:
            return SeatRecord(), 0
        try:
            record = msgspec.msgpack.decode(item.value, type=SeatRecord)
        except DECODE_ERRORS as exc:
            raise StoreUnavailable(
                f"{self._key} is malformed: {exc}; valid: a seat record"
            ) from exc
        return record, item.index

    def claim(self, job: ClaimSeats) -> tuple[list[Claim], SeatRecord]:
        """Claim seats by the job's plan; return the written claims."""
        record, index = self.read()
        for _ in range(_WRITE_ATTEMPTS):
            claims = select_claims(record, job.plan, job.claimant)
            if not claims:
                return [], record
            owners = {
                c.seat: msgspec.structs.replace(job.claimant, epoch=c.epoch)
                for c in claims
            }
            new_record = with_owners(record, owners)
            if self._write_if_unchanged(new_record, index):
                return claims, new_record
            record, index = self.read()
            if _has_owners(record, owners):
                return claims, record
        return [], record

    def write(self, job: WriteSeats) -> None:
        """Write owners and releases of seats; later epochs are kept.

        Raises
        ------
        StoreUnavailable
            The record could not be changed.
        """
        for _ in range(_WRITE_ATTEMPTS):
            record, index = self.read()
            new_record = with_owners(record, job.owners)
            for seat, epoch in job.released.items():
                new_record = without_owner(new_record, seat, epoch)
            if new_record == record or self._write_if_unchanged(
                new_record, index
            ):
                return
        raise StoreUnavailable(
            f"cannot write {self._key}: too many concurrent writes"
        )

    def _write_if_unchanged(self, record: SeatRecord, index: int) -> bool:
        """Write the record if its index is unchanged.

        A lost response counts as False; the caller reads the record again.
        """
        data = msgspec.msgpack.encode(record)
        try:
            return self._store.put(self._key, data, cas=index)
        except StoreAnswerLost:
            return False


def _has_owners(record: SeatRecord, owners: dict[int, Owner]) -> bool:
    return all(record.owners.get(s) == owner for s, owner in owners.items())


class StoreWorker(pykka.ThreadingActor):
    """Runs store jobs one at a time and reports their results."""

    use_daemon_thread = True

    def __init__(self, records: SeatRecords, report: ReportCallback) -> None:
        super().__init__()
        self._records = records
        self._report = report

    def on_receive(self, message: StoreJob) -> None:
        try:
            report = run_job(self._records, message)
        except Exception:
            # An exception here would end the actor, and no claim would run.
            _LOG.exception("cannot run store job")
            report = failed_report(message)
        self._report(report)


def run_job(records: SeatRecords, job: StoreJob) -> StoreReport:
    """Run a job and return its report, also if the store is unavailable."""
    try:
        match job:
            case ClaimSeats():
                claims, record = records.claim(job)
                return SeatsClaimed(claims=tuple(claims), record=record)
            case ReadSeats(requested_at=requested_at):
                record, _ = records.read()
                return SeatsRead(record=record, requested_at=requested_at)
            case WriteSeats():
                records.write(job)
                return SeatsWritten(is_done=True, job=job)
    except StoreUnavailable as exc:
        _LOG.warning("cannot access seat record", extra={"e": str(exc)})
        return failed_report(job)


def failed_report(job: StoreJob) -> StoreReport:
    """Return the report of a job that has failed."""
    match job:
        case ClaimSeats():
            return SeatsClaimed(claims=(), record=None)
        case ReadSeats(requested_at=requested_at):
            return SeatsRead(record=None, requested_at=requested_at)
        case WriteSeats():
            return SeatsWritten(is_done=False, job=job)


class HeadWatch:
    """Follows the head of the ticket log on a thread.

    A watcher of its zone uses blocking reads. Any other instance polls the
    head only as a fallback, since peers announce new tickets to it.
    """

    def __init__(
        self,
        *,
        log: "TicketLog",
        plane: "ControlPlane",
        report: ReportCallback,
        rng: random.Random,
    ) -> None:
        self._log = log
        self._plane = plane
        self._report = report
        self._rng = rng
        self._stopping = threading.Event()
        self._behind_at_number: int | None = None
        self._base_check_at = float("-inf")
        self._retry_delay_s = _RETRY_DELAY_MIN_S
        self._read_at = float("-inf")
        self.is_reachable = False
        # Why the store's data cannot be used; shown in the status.
        self.fault: str | None = None
        self._thread = threading.Thread(
            target=self._run, daemon=True, name="head-watch"
        )

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread after its current call to the store."""
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
            The index to pass next (0 to read without blocking) and the pause
            before that in seconds.

        Notes
        -----
        No exception is raised, as malformed data in the store must not end
        the thread.
        """
        if self._is_poll_deferred():
            return 0, _RECHECK_PERIOD_S
        self._read_at = self._plane.clock.monotonic()
        try:
            index = self._follow(index)
        except (StoreUnavailable, StoreAnswerLost) as exc:
            self._record_outage(exc)
            self._retry_delay_s = min(
                _RETRY_DELAY_MAX_S, self._retry_delay_s * 2
            )
            return 0, self._retry_delay_s
        except Exception as exc:
            self._record_fault(exc)
            return 0, _RETRY_DELAY_MAX_S
        self.is_reachable = True
        self.fault = None
        self._retry_delay_s = _RETRY_DELAY_MIN_S
        if not self._plane.is_watcher():
            if self._is_poll_deferred():
                return 0, _RECHECK_PERIOD_S * self._rng.uniform(0.8, 1.2)
            return index, POLL_PERIOD_S * self._rng.uniform(0.8, 1.2)
        return index, 0.0 if index else _EMPTY_STORE_DELAY_S

    def _is_poll_deferred(self) -> bool:
        """Return whether the next fallback poll is not due yet."""
        now = self._plane.clock.monotonic()
        return (
            now - self._read_at < POLL_PERIOD_WITH_PEERS_S
            and not self._plane.is_watcher()
            and self._plane.has_recent_ack(now, _PEER_ACK_AGE_MAX_S)
        )

    def _record_outage(self, exc: Exception) -> None:
        if self.is_reachable:
            _LOG.warning("store unreachable", extra={"e": str(exc)})
        self.is_reachable = False

    def _record_fault(self, exc: Exception) -> None:
        reason = str(exc) or type(exc).__name__
        if self.fault == reason:
            return
        self.fault = reason
        if not isinstance(exc, ChiverunError):
            _LOG.exception("cannot follow the head of the ticket log")
            return
        _LOG.error("cannot use ticket log in store", extra={"e": reason})
        if exc.code is ResultCode.TICKET_FORK:
            self._report(HeadForked(reason=reason))

    def _follow(self, index: int) -> int:
        """Read the head once, or wait for a change; return its index."""
        wait_s = BLOCKING_READ_S if index and self._plane.is_watcher() else 0.0
        head = self._log.head(index=index if wait_s else 0, wait_s=wait_s)
        state = self._plane.state
        entry = head.entry
        if entry is None:
            if state.number:
                self._restore_head(0)
            return 0
        if state.follows(entry.number, entry.digest) is False:
            raise fork_error(entry, state)
        if entry.number < state.number:
            self._restore_head(entry.number)
            return 0
        self._behind_at_number = None
        if entry.number > state.number:
            self._read_missing(state.number, entry)
        else:
            self._check_base(state)
        return head.index

    def _read_missing(self, number: int, head: "Entry") -> None:
        entries = self._log.entries_between(number, head)
        if entries is None:
            self._report(StateRead(state=self._log.load()))
        else:
            self._report(EntriesRead(entries=tuple(entries)))

    def _restore_head(self, number: int) -> None:
        """Write missing tickets to a store that stays behind."""
        if self._behind_at_number != number:
            # A random wait, so that one of several instances repairs the store
            # first.
            self._behind_at_number = number
            self._stopping.wait(self._rng.uniform(0.5, 1.5))
            return
        if not self._plane.is_watcher():
            return
        if self._log.restore_head(
            self._plane.state, self._plane.recent_tickets.entries()
        ):
            _LOG.warning(
                "wrote missing tickets to store",
                extra={"from": number, "to": self._plane.state.number},
            )

    def _check_base(self, state: "State") -> None:
        """Check periodically that the whole log can be loaded."""
        now = time.monotonic()
        if now < self._base_check_at or not self._plane.is_watcher():
            return
        self._base_check_at = now + BASE_CHECK_PERIOD_S * self._rng.uniform(
            0.8, 1.2
        )
        if self._log.replace_unloadable_base(state):
            _LOG.warning("replaced unusable base state in store")
