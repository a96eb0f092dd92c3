"""Attempts of one request that run side by side; the first answer counts."""

import contextvars
import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from chiverun.core.errors import Outcome
from chiverun.core.exchange import classify
from chiverun.core.exchange import ExchangeEnd
from chiverun.core.exchange import Reset
from chiverun.integrations.cancellation import Cancellation

HEDGE_THREADS = 80

Send = Callable[[Cancellation], ExchangeEnd]


class HedgePool:
    """A bounded number of threads for attempts; thread-safe."""

    def __init__(self, *, threads: int = HEDGE_THREADS) -> None:
        self._free = threading.Semaphore(threads)
        self._pool = ThreadPoolExecutor(
            max_workers=threads, thread_name_prefix="attempt"
        )

    def start(self, send: Send) -> "HedgedRequest | None":
        """Start a race with its first attempt; None if all threads work."""
        race = HedgedRequest(self)
        return race if race.add(send) else None

    def submit(self, call: Callable[[], None]) -> bool:
        """Run a call on a thread, if one is free."""
        if not self._free.acquire(blocking=False):
            return False
        context = contextvars.copy_context()
        try:
            self._pool.submit(self._work, context, call)
        except RuntimeError:
            # The interpreter is shutting down.
            self._free.release()
            return False
        return True

    def _work(
        self, context: contextvars.Context, call: Callable[[], None]
    ) -> None:
        try:
            context.run(call)
        finally:
            self._free.release()


class HedgedRequest:
    """Attempts of one request; thread-safe."""

    def __init__(self, threads: HedgePool) -> None:
        self._threads = threads
        self._changed = threading.Condition()
        self._cancellations: list[Cancellation] = []
        self._ends: list[ExchangeEnd] = []

    def add(self, send: Send) -> bool:
        """Start an attempt, if a thread is free for it."""
        cancellation = Cancellation()

        def run() -> None:
            end: ExchangeEnd = Reset(detail="internal error")
            try:
                end = send(cancellation)
            finally:
                with self._changed:
                    self._ends.append(end)
                    self._changed.notify_all()

        with self._changed:
            self._cancellations.append(cancellation)
        if self._threads.submit(run):
            return True
        with self._changed:
            self._cancellations.remove(cancellation)
        return False

    def wait(self, seconds: float) -> None:
        """Wait until an attempt has ended, at most for a time."""
        with self._changed:
            self._changed.wait_for(lambda: self._ends, seconds)

    def is_any_finished(self) -> bool:
        """Tell whether an attempt has ended."""
        with self._changed:
            return bool(self._ends)

    def result(self) -> ExchangeEnd:
        """Wait for an answer or the end of all attempts; cancel the rest.

        Without an answer, an end that leaves open whether the request ran
        counts more than one that proves that it did not.
        """
        with self._changed:
            self._changed.wait_for(
                lambda: (
                    self._answer() is not None
                    or len(self._ends) == len(self._cancellations)
                )
            )
            is_over = len(self._ends) == len(self._cancellations)
            result = self._answer() or max(self._ends, key=_may_have_run)
        if not is_over:
            for cancellation in self._cancellations:
                cancellation.cancel()
        return result

    def _answer(self) -> ExchangeEnd | None:
        for end in self._ends:
            if classify(end).outcome is Outcome.ANSWERED:
                return end
        return None


def _may_have_run(end: ExchangeEnd) -> bool:
    return classify(end).outcome is Outcome.UNKNOWN
