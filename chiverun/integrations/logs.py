"""JSON-lines logs by logbook."""

import sys

import logbook
import msgspec

from chiverun.core.ids import InstanceId


def set_up_logs(*, level: str, instance: InstanceId) -> None:
    """Send log records as JSON lines to standard error."""
    handler = logbook.StreamHandler(sys.stderr, level=level, bubble=False)

    def formatted(record: logbook.LogRecord, _handler) -> str:
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

    handler.formatter = formatted
    handler.push_application()
