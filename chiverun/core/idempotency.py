"""Idempotency keys issued by one process lifetime of an instance.

Only the process that issued a key runs its request. The table is in memory:
when the process ends, its keys can never run again, and other instances
answer that their outcome is unknown.
"""

import collections
import dataclasses
import enum
import secrets
import threading
from typing import TYPE_CHECKING

from chiverun.core.errors import Outcome
from chiverun.core.errors import ResultCode
from chiverun.core.ids import BootId
from chiverun.core.ids import IdempotencyKey
from chiverun.core.ids import InstanceId

if TYPE_CHECKING:
    from chiverun.core.clock import Clock

KEY_LIFETIME_S = 600.0
# 100,000 finished keys take 51 MB besides their responses.
KEYS_MAX = 40_000
STORED_BYTES_MAX = 16 * 1024 * 1024
_HEADER_OVERHEAD_BYTES = 128
_SEPARATOR = "~"


class _KeyState(enum.Enum):
    ISSUED = "issued"
    RUNNING = "running"
    FINISHED = "finished"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StoredResult:
    """The response to a request with a key, kept for repeats."""

    outcome: Outcome
    code: ResultCode
    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclasses.dataclass(frozen=True, kw_only=True)
class Run:
    """The caller of `begin` must run the request and call `finish`."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Replay:
    """The request has finished; its stored result is the response."""

    result: StoredResult


@dataclasses.dataclass(frozen=True, kw_only=True)
class Reject:
    """The key cannot be used; `outcome` says what is known of its request."""

    outcome: Outcome
    code: ResultCode


Begin = Run | Replay | Reject


@dataclasses.dataclass(frozen=True, kw_only=True)
class KeyParts:
    """The issuer named by a key."""

    instance: InstanceId
    boot_id: BootId


def parse_key(key: str) -> KeyParts | None:
    """Return the issuer of a key, or None if it is malformed."""
    parts = key.split(_SEPARATOR)
    if len(parts) != 3 or not all(parts):
        return None
    return KeyParts(instance=InstanceId(parts[0]), boot_id=BootId(parts[1]))


@dataclasses.dataclass(kw_only=True, slots=True)
class _Row:
    issued_at: float
    state: _KeyState = _KeyState.ISSUED
    fingerprint: str = ""
    result: StoredResult | None = None


class KeyTable:
    """Thread-safe table of the keys issued by this process.

    Parameters
    ----------
    instance, life
        The issuer; both are part of each key.
    clock : Clock
        Keys expire KEY_LIFETIME_S monotonic seconds after their issue.
    """

    def __init__(
        self, *, instance: InstanceId, boot_id: BootId, clock: "Clock"
    ) -> None:
        self._instance = instance
        self._boot_id = boot_id
        self._clock = clock
        self._changed = threading.Condition()
        self._rows: collections.OrderedDict[IdempotencyKey, _Row] = (
            collections.OrderedDict()
        )
        # Sizes of stored responses, in the order in which they finished.
        self._stored: collections.OrderedDict[IdempotencyKey, int] = (
            collections.OrderedDict()
        )
        self._stored_bytes = 0

    def issue(self, count: int) -> list[IdempotencyKey]:
        """Issue keys; fewer than `count` when the table is full."""
        now = self._clock.monotonic()
        with self._changed:
            self._expire(now)
            count = min(count, KEYS_MAX - len(self._rows))
            keys = [self._new_key() for _ in range(count)]
            for key in keys:
                self._rows[key] = _Row(issued_at=now)
        return keys

    def begin(
        self, key: IdempotencyKey, fingerprint: str, *, wait_until: float
    ) -> Begin:
        """Decide what to do with a request that carries a key.

        Waits while another thread runs the same key, until `wait_until`
        (monotonic seconds).
        """
        with self._changed:
            self._expire(self._clock.monotonic())
            row = self._rows.get(key)
            if row is None:
                return _unlisted(key, self._boot_id)
            if row.fingerprint not in ("", fingerprint):
                # This request itself did not run; the key's own one may have.
                return Reject(
                    outcome=Outcome.NOT_RUN, code=ResultCode.KEY_REUSED
                )
            row.fingerprint = fingerprint
            while row.state is _KeyState.RUNNING:
                left = wait_until - self._clock.monotonic()
                if left <= 0 or not self._changed.wait(left):
                    return Reject(
                        outcome=Outcome.UNKNOWN,
                        code=ResultCode.KEY_IN_PROGRESS,
                    )
            if row.state is _KeyState.FINISHED:
                if row.result is None:
                    return Reject(
                        outcome=Outcome.UNKNOWN,
                        code=ResultCode.KEY_ANSWER_GONE,
                    )
                return Replay(result=row.result)
            row.state = _KeyState.RUNNING
            return Run()

    def outcome(self, key: IdempotencyKey) -> Outcome:
        """Return NOT_RUN on proof that no request with the key has begun."""
        if parse_key(key) is None:
            return Outcome.NOT_RUN
        with self._changed:
            row = self._rows.get(key)
            if row is not None and row.state is _KeyState.ISSUED:
                return Outcome.NOT_RUN
            return Outcome.UNKNOWN

    def finish(self, key: IdempotencyKey, result: StoredResult) -> None:
        """Record the result; a proven NOT_RUN makes the key usable again."""
        with self._changed:
            row = self._rows.get(key)
            if row is not None and row.state is _KeyState.RUNNING:
                if result.outcome is Outcome.NOT_RUN:
                    row.state = _KeyState.ISSUED
                else:
                    row.state = _KeyState.FINISHED
                    row.result = result
                    self._store(key, result)
            self._changed.notify_all()

    def _store(self, key: IdempotencyKey, result: StoredResult) -> None:
        """Count a result's memory; drop the oldest ones beyond the limit.

        Repeats come soon after the first try, so the newest are kept.
        """
        self._stored[key] = _size_bytes(result)
        self._stored_bytes += self._stored[key]
        while self._stored_bytes > STORED_BYTES_MAX:
            oldest, size = self._stored.popitem(last=False)
            self._stored_bytes -= size
            self._rows[oldest].result = None

    def _new_key(self) -> IdempotencyKey:
        parts = (self._instance, self._boot_id, secrets.token_hex(8))
        return IdempotencyKey(_SEPARATOR.join(parts))

    def _expire(self, now: float) -> None:
        """Drop the oldest keys past their lifetime, but no running one."""
        while self._rows:
            key, row = next(iter(self._rows.items()))
            if now - row.issued_at < KEY_LIFETIME_S:
                return
            if row.state is _KeyState.RUNNING:
                return
            self._stored_bytes -= self._stored.pop(key, 0)
            del self._rows[key]


def _size_bytes(result: StoredResult) -> int:
    headers = sum(
        len(name) + len(value) + _HEADER_OVERHEAD_BYTES
        for name, value in result.headers
    )
    return len(result.body) + headers


def _unlisted(key: IdempotencyKey, boot_id: BootId) -> Reject:
    """An unlisted key may have run before it expired or its process ended."""
    parts = parse_key(key)
    if parts is None:
        return Reject(outcome=Outcome.NOT_RUN, code=ResultCode.KEY_UNKNOWN)
    if parts.boot_id != boot_id:
        return Reject(outcome=Outcome.UNKNOWN, code=ResultCode.KEY_OTHER_LIFE)
    return Reject(outcome=Outcome.UNKNOWN, code=ResultCode.KEY_UNKNOWN)
