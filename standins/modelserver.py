"""A backend server of the load model."""

import dataclasses
from collections.abc import Callable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from standins.load_model import Model

# Time from the cancellation of a request to its end at the server.
CANCEL_DELAY_S = 0.001


@dataclasses.dataclass(kw_only=True, eq=False)
class Execution:
    """Execution of one request on a server."""

    duration_s: float
    is_long: bool
    done: Callable[[], None]
    cancelled: bool = False
    started: bool = False


class Server:
    """A server that queues requests beyond its slots."""

    def __init__(self, model: "Model", spec, region: str) -> None:
        self._model = model
        self.slots = spec.service.slots
        self.long_slots = spec.service.long_slots
        self.region = region
        self.slow_factor = 1.0
        self.running = 0
        self.long_running = 0
        self._queue: list[Execution] = []

    def add(self, execution: Execution) -> None:
        """Start an execution, or queue it."""
        if self.running >= self.slots:
            self._model.count_queued()
            self._queue.append(execution)
        else:
            self._start(execution)

    def cancel(self, execution: Execution) -> None:
        """End an execution a little later."""
        execution.cancelled = True
        self._model.after(CANCEL_DELAY_S, lambda: self._end(execution))

    def _start(self, execution: Execution) -> None:
        self.running += 1
        self.long_running += execution.is_long
        if execution.is_long and self.long_running > self.long_slots:
            self._model.count_queued()
        execution.started = True
        self._model.count_running(self.region, 1)
        self._model.after(
            execution.duration_s * self.slow_factor,
            lambda: None if execution.cancelled else self._end(execution),
        )

    def _end(self, execution: Execution) -> None:
        self.running -= 1
        self.long_running -= execution.is_long
        self._model.count_running(self.region, -1)
        if self._queue:
            self._start(self._queue.pop(0))
        execution.done()
