"""Idempotency keys issued by one process lifetime of an instance.

Only the process that issued a key runs its request. The table is in memory:
after the process has ended, no request with its keys can run, and other
instances report their outcome as unknown.
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
# 100,000 finished keys take 51 MB in addition to their responses.
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
    """The response to a request with a key, stored for repeated requests."""

    outcome: Outcome
    code: ResultCode
    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclasses.dataclass(frozen=True, kw_only=True)
class Run:
    """Instructs the caller of `begin` to run the request, then `finish`."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Replay:
    """Instructs the caller of `begin` to respond with a stored result."""

    result: StoredResult


@dataclasses.dataclass(frozen=True, kw_only=True)
class Reject:
    """Instructs the caller of `begin` to reject the request.

    `outcome` is the known outcome of the request.
    """

    outcome: Outcome
    code: ResultCode


BeginResult = Run | Replay | Reject


@dataclasses.dataclass(frozen=True, kw_only=True)
class KeyIssuer:
    """The issuer encoded in a key."""

    instance: InstanceId
    boot_id: BootId


def parse_key(key: str) -> KeyIssuer | None:
    """Return the issuer of a key, or None if it is malformed."""
    parts = key.split(_SEPARATOR)
    if len(parts) != 3 or not all(parts):
        return None
    return KeyIssuer(instance=InstanceId(parts[0]), boot_id=BootId(parts[1]))


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
    instance, boot_id
        The issuer; both are part of each key.
    clock : Clock
        Keys expire `KEY_LIFETIME_S` after their issue (monotonic time).
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
        # Sizes of stored responses in bytes, in order of completion.
        self._stored_sizes: collections.OrderedDict[IdempotencyKey, int] = (
            collections.OrderedDict()
        )
        self._stored_bytes = 0

    def issue(self, count: int) -> list[IdempotencyKey]:
        """Issue `count` keys, or fewer if the table is full."""
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
    ) -> BeginResult:
        """Decide how to handle a request with a key.

        While another thread runs a request with the same key, wait for it
        until `wait_until` (monotonic seconds).
        """
        with self._changed:
            self._expire(self._clock.monotonic())
            row = self._rows.get(key)
            if row is None:
                return _reject_unlisted(key, self._boot_id)
            if row.fingerprint not in ("", fingerprint):
                # This request did not run; the one that used the key may have.
                return Reject(
                    outcome=Outcome.NOT_RUN, code=ResultCode.KEY_REUSED
                )
            row.fingerprint = fingerprint
            while row.state is _KeyState.RUNNING:
                remaining_s = wait_until - self._clock.monotonic()
                if remaining_s <= 0 or not self._changed.wait(remaining_s):
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
        """Return NOT_RUN if provably no request with the key has started."""
        if parse_key(key) is None:
            return Outcome.NOT_RUN
        with self._changed:
            row = self._rows.get(key)
            if row is not None and row.state is _KeyState.ISSUED:
                return Outcome.NOT_RUN
            return Outcome.UNKNOWN

    def finish(self, key: IdempotencyKey, result: StoredResult) -> None:
        """Store the result; a proven NOT_RUN makes the key usable again."""
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
        """Add the size of a result; drop the oldest ones beyond the limit.

        The newest are kept, since requests are repeated soon after the first
        attempt.
        """
        self._stored_sizes[key] = _size_bytes(result)
        self._stored_bytes += self._stored_sizes[key]
        while self._stored_bytes > STORED_BYTES_MAX:
            oldest, size = self._stored_sizes.popitem(last=False)
            self._stored_bytes -= size
            self._rows[oldest].result = None

    def _new_key(self) -> IdempotencyKey:
        parts = (self._instance, self._boot_id, secrets.token_hex(8))
        return IdempotencyKey(_SEPARATOR.join(parts))

    def _expire(self, now: float) -> None:
        """Drop expired keys, oldest first, up to the first running one."""
        while self._rows:
            key, row = next(iter(self._rows.items()))
            if now - row.issued_at < KEY_LIFETIME_S:
                return
            if row.state is _KeyState.RUNNING:
                return
            self._stored_bytes -= self._stored_sizes.pop(key, 0)
            del self._rows[key]


def _size_bytes(result: StoredResult) -> int:
    headers = sum(
        len(name) + len(value) + _HEADER_OVERHEAD_BYTES
        for name, value in result.headers
    )
    return len(result.body) + headers


def _reject_unlisted(key: IdempotencyKey, boot_id: BootId) -> Reject:
    """Return the rejection of a key that is not in the table.

    Its request may have run before the key expired or its process ended.
    """
    parts = parse_key(key)
    if parts is None:
        return Reject(outcome=Outcome.NOT_RUN, code=ResultCode.KEY_UNKNOWN)
    if parts.boot_id != boot_id:
        return Reject(outcome=Outcome.UNKNOWN, code=ResultCode.KEY_OTHER_LIFE)
    return Reject(outcome=Outcome.UNKNOWN, code=ResultCode.KEY_UNKNOWN)
