"""Logs in JSON lines, written by logbook."""

import collections
import os
import sys
import threading

import logbook
import msgspec

from chiverun.core.ids import InstanceId

# Further lines are dropped while this many wait for a slow reader.
_QUEUED_LINES_MAX = 4096
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
        return msgspec.json.encode(line, enc_hook=str).decode()

    return format_record


class _QueueHandler(logbook.Handler, logbook.StringFormatterHandlerMixin):
    """Queues formatted lines for a thread that writes them."""

    def __init__(self, *, level: str, bubble: bool) -> None:
        logbook.Handler.__init__(self, level, bubble=bubble)
        logbook.StringFormatterHandlerMixin.__init__(self, None)
        self._lines: collections.deque[str] = collections.deque()
        self._dropped = 0
        self._has_lines = threading.Event()
        thread = threading.Thread(target=self._run, daemon=True, name="logs")
        thread.start()

    def emit(self, record: logbook.LogRecord) -> None:
        if len(self._lines) >= _QUEUED_LINES_MAX:
            self._dropped += 1
            return
        self._lines.append(self.format(record))
        self._has_lines.set()

    def _run(self) -> None:
        while True:
            self._has_lines.wait()
            self._has_lines.clear()
            while self._lines:
                self._write(self._lines.popleft())
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
