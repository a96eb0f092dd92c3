"""Request hedging: parallel attempts of which the first answer is used."""

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
    """Bounded thread pool for attempts; thread-safe."""

    def __init__(self, *, threads: int = HEDGE_THREADS) -> None:
        self._free_threads = threading.Semaphore(threads)
        self._pool = ThreadPoolExecutor(
            max_workers=threads, thread_name_prefix="attempt"
        )

    def start(self, send: Send) -> "HedgedRequest | None":
        """Start the first attempt; return None if no thread is free."""
        hedged = HedgedRequest(self)
        return hedged if hedged.add(send) else None

    def submit(self, call: Callable[[], None]) -> bool:
        """Run a call on a free thread; return whether there was one."""
        if not self._free_threads.acquire(blocking=False):
            return False
        context = contextvars.copy_context()
        try:
            self._pool.submit(self._run, context, call)
        except RuntimeError:
            # The interpreter is shutting down.
            self._free_threads.release()
            return False
        return True

    def _run(
        self, context: contextvars.Context, call: Callable[[], None]
    ) -> None:
        try:
            context.run(call)
        finally:
            self._free_threads.release()


class HedgedRequest:
    """Parallel attempts of one request; thread-safe."""

    def __init__(self, pool: HedgePool) -> None:
        self._pool = pool
        self._condition = threading.Condition()
        self._cancellations: list[Cancellation] = []
        self._ends: list[ExchangeEnd] = []

    def add(self, send: Send) -> bool:
        """Start an attempt; return whether a thread was free for it."""
        cancellation = Cancellation()

        def run() -> None:
            end: ExchangeEnd = Reset(detail="internal error")
            try:
                end = send(cancellation)
            finally:
                with self._condition:
                    self._ends.append(end)
                    self._condition.notify_all()

        with self._condition:
            self._cancellations.append(cancellation)
        if self._pool.submit(run):
            return True
        with self._condition:
            self._cancellations.remove(cancellation)
        return False

    def wait(self, seconds: float) -> None:
        """Wait until an attempt has ended or `seconds` have passed."""
        with self._condition:
            self._condition.wait_for(lambda: self._ends, seconds)

    def is_any_finished(self) -> bool:
        """Return whether at least one attempt has ended."""
        with self._condition:
            return bool(self._ends)

    def result(self) -> ExchangeEnd:
        """Wait for an answer or the end of all attempts; cancel the rest.

        Without an answer, an end after which the request may have run takes
        precedence over one that proves that it did not run.
        """
        with self._condition:
            self._condition.wait_for(
                lambda: (
                    self._answer() is not None
                    or len(self._ends) == len(self._cancellations)
                )
            )
            is_complete = len(self._ends) == len(self._cancellations)
            result = self._answer() or max(self._ends, key=_may_have_run)
        if not is_complete:
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
