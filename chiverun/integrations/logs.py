"""Logs in JSON lines, written by logbook."""

import collections
import json
import os
import sys
import threading
from typing import Any

import logbook
import msgspec

from chiverun.core.ids import InstanceId

# Further lines are dropped while so much waits for a slow reader; lines hold
# texts whose length callers choose.
_QUEUED_LINES_MAX = 4096
_QUEUED_CHARACTERS_MAX = 2 * 1024 * 1024
_STDOUT_FD = 1


def set_up_logs(*, level: str, instance: InstanceId) -> None:
    """Write log records as JSON lines to standard error."""
    handler = logbook.StreamHandler(sys.stderr, level=level, bubble=False)
    handler.formatter = _formatter(instance)
    handler.push_application()


def set_up_stdout_logs(*, level: str, instance: InstanceId) -> None:
    """Write log records as JSON lines to standard output without blocking.

    A separate thread writes the lines. If the reader of the output is too
    slow, lines are dropped and their number is logged later.
    """
    handler = _QueueHandler(level=level, bubble=False)
    handler.formatter = _formatter(instance)
    handler.push_application()


def _formatter(instance: InstanceId):
    def format_record(record: logbook.LogRecord, _handler) -> str:
        line = {
            "time": record.time.isoformat(timespec="milliseconds"),
            "level": record.level_name,
            "instance": instance,
            "logger": record.channel,
            "message": record.message,
            **record.extra,
        }
        if record.exc_info:
            line["exception"] = record.formatted_exception
        return _encode(line)

    return format_record


def _encode(line: dict[str, Any]) -> str:
    """Return a line as JSON, whatever values it has."""
    try:
        return msgspec.json.encode(line, enc_hook=str).decode()
    except (msgspec.MsgspecError, ValueError, OverflowError):
        # A number out of range, or a text that is not Unicode.
        return json.dumps(line, default=str, skipkeys=True)


class _QueueHandler(logbook.Handler, logbook.StringFormatterHandlerMixin):
    """Queues formatted lines for a thread that writes them."""

    def __init__(self, *, level: str, bubble: bool) -> None:
        logbook.Handler.__init__(self, level, bubble=bubble)
        logbook.StringFormatterHandlerMixin.__init__(self, None)
        self._lock = threading.Lock()
        self._lines: collections.deque[str] = collections.deque()
        self._waiting_characters = 0
        self._dropped = 0
        self._has_lines = threading.Event()
        thread = threading.Thread(target=self._run, daemon=True, name="logs")
        thread.start()

    def emit(self, record: logbook.LogRecord) -> None:
        is_full = (
            len(self._lines) >= _QUEUED_LINES_MAX
            or self._waiting_characters >= _QUEUED_CHARACTERS_MAX
        )
        if is_full:
            self._dropped += 1
            return
        line = self.format(record)
        with self._lock:
            self._waiting_characters += len(line)
        self._lines.append(line)
        self._has_lines.set()

    def _run(self) -> None:
        while True:
            self._has_lines.wait()
            self._has_lines.clear()
            while self._lines:
                line = self._lines.popleft()
                self._write(line)
                with self._lock:
                    self._waiting_characters -= len(line)
            if self._dropped:
                dropped, self._dropped = self._dropped, 0
                line = {"message": "log lines dropped", "count": dropped}
                self._write(msgspec.json.encode(line).decode())

    def _write(self, line: str) -> None:
        data = (line + "\n").encode()
        while data:
            try:
                data = data[os.write(_STDOUT_FD, data) :]
            except OSError:
                # The reader of the output has closed it.
                return
