"""Command line for operators and for running instances."""

import contextlib
import functools
import io
import os
import signal
import sys
import uuid
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import fire
import msgspec
from fire.core import FireExit
from fire.decorators import SetParseFn

from chiverun.core.blocks import Blocks
from chiverun.core.errors import ChiverunError
from chiverun.core.errors import DECODE_ERRORS
from chiverun.core.errors import ResultCode
from chiverun.core.settings import is_operator_file
from chiverun.core.settings import OperatorSettings
from chiverun.core.settings import read_operator_settings
from chiverun.core.settings import read_settings
from chiverun.core.ticket import read_ticket
from chiverun.core.ticket import Ticket
from chiverun.core.ticketcheck import check_ticket
from chiverun.core.ticketconflict import ReportedState
from chiverun.core.ticketentry import Entry
from chiverun.core.ticketlog import TicketLog
from chiverun.integrations.boundedclient import BoundedClient
from chiverun.integrations.boundedclient import CallFailed
from chiverun.integrations.boundedclient import CallNotSent
from chiverun.integrations.interfaces import StoreUnavailable
from chiverun.integrations.store import HttpStore
from chiverun.runtime.status import Status

_STATUS_TIMEOUT_S = 2.0
_STATUS_BYTES_MAX = 4 * 1024 * 1024
# One late response must not fail an operator's command.
_STORE_READ_ATTEMPTS = 3
_STATUS_THREADS = 16
_LOG_COUNT = 20
_LOG_COUNT_MAX = 1000
_FILE_BYTES_MAX = 16 * 1024 * 1024
_SUBMISSION_LENGTH_MAX = 100
_COMMANDS = (
    "serve, status, version, platform serve, platform check, "
    "settings check, ticket check, ticket submit, "
    "ticket show, ticket log"
)

# Keeps arguments as text, since fire parses 0007 or 1e5 as numbers.
_parse_as_text = SetParseFn(str)


class _PendingCall:
    """Holds the parsed command until the whole command line is checked.

    fire runs a command before it detects surplus arguments.
    """

    def __init__(self) -> None:
        self.call: Callable[[], str | None] | None = None


def _command(method: Callable[..., str | None]) -> Callable[..., None]:
    """Make a method store its call for later instead of running it."""

    @functools.wraps(method)
    def store_call(self, *args, **kwargs) -> None:
        self._pending.call = lambda: method(self, *args, **kwargs)

    return _parse_as_text(store_call)


class TicketCommands:
    """Check, submit and read change tickets."""

    def __init__(self, pending: _PendingCall) -> None:
        self._pending = pending

    @_command
    def check(self, file: str, settings: str | None = None) -> str:
        """Check a ticket file; with settings, against the state in force."""
        ticket = _read_ticket_file(file)
        if settings is None:
            return f"ticket {ticket.number}: form is valid"
        state = _call_store(_open_log(settings).load)
        check_ticket(state, ticket)
        return f"ticket {ticket.number}: valid after ticket {state.number}"

    @_command
    def submit(
        self, file: str, settings: str, submission: str | None = None
    ) -> str:
        """Submit a ticket; `submission` repeats an earlier submission."""
        ticket = _read_ticket_file(file)
        cfg = read_operator_settings(settings)
        reports = _fetch_reports(cfg)
        if ticket.number > 1 and not reports:
            raise ChiverunError(
                ResultCode.NO_INSTANCE_REACHABLE,
                "no instance reports which ticket is in force; asked: "
                f"{', '.join(cfg.instances)}",
            )
        entry = _open_log(settings).submit(
            ticket, _parse_submission(submission), reports
        )
        return f"ticket {entry.number}: accepted, digest {entry.digest}"

    @_command
    def show(self, number: str, settings: str) -> str:
        """Show an accepted ticket as JSON."""
        parsed_number = _parse_count("number", number, 1, 2**63)
        entry = _call_store(lambda: _open_log(settings).entry(parsed_number))
        if entry is None:
            raise ChiverunError(
                ResultCode.TICKET_NOT_FOUND,
                f"ticket {number} is not in the log; see ticket log",
            )
        return _format_json(entry)

    @_command
    def log(self, settings: str, count: str = str(_LOG_COUNT)) -> str:
        """List the newest accepted tickets, newest first."""
        length = _parse_count("count", count, 1, _LOG_COUNT_MAX)
        log = _open_log(settings)
        head = _call_store(lambda: log.head().entry)
        if head is None:
            return "no ticket has been accepted"
        lines = []
        for number in range(head.number, max(0, head.number - length), -1):
            entry = _call_store(lambda n=number: log.entry(n))
            if entry is None:
                break
            lines.append(_format_entry(entry))
        return "\n".join(lines)


class SettingsCommands:
    """Check settings files."""

    def __init__(self, pending: _PendingCall) -> None:
        self._pending = pending

    @_command
    def check(self, settings: str) -> str:
        """Check a settings file of an instance or an operator."""
        if is_operator_file(settings):
            read_operator_settings(settings)
        else:
            read_settings(settings)
        return f"{settings}: valid"


class PlatformCommands:
    """Run an edge instance on the platform or check its settings."""

    def __init__(self, pending: _PendingCall) -> None:
        self._pending = pending

    @_command
    def serve(self) -> None:
        """Run an edge instance until SIGTERM."""
        # Nothing to reload yet; the default action would end the process.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        from chiverun.platform.serve import serve_platform

        serve_platform()

    @_command
    def check(self) -> str:
        """Check the settings file that CHIVERUN_CONFIG names."""
        from chiverun.platform.settings import read_platform_settings

        cfg = read_platform_settings()
        return f"settings of {cfg.name} in {cfg.zone}: valid"


class Commands:
    """chiverun: global traffic steering driven by change tickets."""

    def __init__(self, pending: _PendingCall) -> None:
        self._pending = pending
        self.ticket = TicketCommands(pending)
        self.settings = SettingsCommands(pending)
        self.platform = PlatformCommands(pending)

    @_command
    def serve(self, settings: str) -> None:
        """Run one instance until SIGTERM."""
        # Imported here because operators' commands start faster without the
        # instance's libraries.
        from chiverun.integrations.logs import set_up_logs
        from chiverun.runtime.instance import Instance

        cfg = read_settings(settings)
        set_up_logs(level=cfg.log_level, instance=cfg.name)
        Instance(cfg=cfg).run()

    @_command
    def status(self, settings: str, json: str = "False") -> str:
        """Show what each instance has in force, its seats and headroom."""
        if json not in ("True", "False"):
            raise ChiverunError(
                ResultCode.USAGE, f"json is {json!r}; valid: no value"
            )
        cfg = read_operator_settings(settings)
        statuses = _fetch_statuses(cfg)
        if not any(statuses.values()):
            raise ChiverunError(
                ResultCode.NO_INSTANCE_REACHABLE,
                f"no instance responds; asked: {', '.join(cfg.instances)}",
            )
        if json == "True":
            return _format_json({a: s for a, s in statuses.items()})
        return _format_statuses(statuses)

    @_command
    def version(self) -> str:
        """Show the version."""
        from chiverun import __version__

        return __version__


def _read_ticket_file(file: str) -> Ticket:
    try:
        with open(file, "rb") as stream:
            data = stream.read(_FILE_BYTES_MAX + 1)
    except (OSError, ValueError) as exc:
        raise ChiverunError(
            ResultCode.FILE_NOT_READABLE,
            f"cannot read ticket file {file}: {exc}",
        ) from exc
    if len(data) > _FILE_BYTES_MAX:
        raise ChiverunError(
            ResultCode.TICKET_TOO_LARGE,
            f"ticket file {file} is too large; valid: at most "
            f"{_FILE_BYTES_MAX} bytes",
        )
    return read_ticket(data)


def _parse_count(name: str, text: str, low: int, high: int) -> int:
    is_number = text.isascii() and text.isdigit() and len(text) < 20
    if not is_number or not low <= int(text) <= high:
        raise ChiverunError(
            ResultCode.USAGE,
            f"{name} is {text!r}; valid: a number from {low} to {high}",
        )
    return int(text)


def _parse_submission(text: str | None) -> str:
    if text is None:
        return uuid.uuid4().hex
    if not text.isprintable() or not 1 <= len(text) <= _SUBMISSION_LENGTH_MAX:
        raise ChiverunError(
            ResultCode.USAGE,
            f"submission is {text!r}; valid: 1 to {_SUBMISSION_LENGTH_MAX} "
            "printable characters",
        )
    return text


def _open_log(settings: str) -> TicketLog:
    cfg = read_operator_settings(settings)
    return TicketLog(
        store=HttpStore(
            address=cfg.store,
            timeout_s=cfg.store_timeout_ms / 1000.0,
            read_attempts=_STORE_READ_ATTEMPTS,
        )
    )


def _call_store(call) -> Any:
    try:
        return call()
    except StoreUnavailable as exc:
        raise ChiverunError(
            ResultCode.STORE_UNAVAILABLE, f"store: {exc}"
        ) from exc


def _fetch_status(address: str) -> Status | None:
    client = BoundedClient(
        address=address, body_bytes_max=_STATUS_BYTES_MAX, connections=0
    )
    try:
        resp = client.call("GET", "/v1/status", timeout_s=_STATUS_TIMEOUT_S)
        return msgspec.json.decode(resp.body, type=Status)
    except (CallNotSent, CallFailed, *DECODE_ERRORS):
        return None


def _fetch_statuses(cfg: OperatorSettings) -> dict[str, Status | None]:
    """Query all instances at once, since an unreachable one takes 2 s."""
    with ThreadPoolExecutor(_STATUS_THREADS) as pool:
        return dict(
            zip(
                cfg.instances,
                pool.map(_fetch_status, cfg.instances),
                strict=True,
            )
        )


def _fetch_reports(cfg: OperatorSettings) -> list[ReportedState]:
    return [
        ReportedState(instance=s.instance, number=s.number, digest=s.digest)
        for s in _fetch_statuses(cfg).values()
        if s is not None
    ]


def _format_statuses(statuses: dict[str, Status | None]) -> str:
    newest = max((s.number for s in statuses.values() if s), default=0)
    lines = [
        f"{'instance':24} {'zone':18} {'ticket':>7} {'seats':>5} "
        f"{'flight':>6}  room, links, remarks"
    ]
    for address, status in statuses.items():
        if status is None:
            lines.append(f"{address:24} unreachable")
            continue
        lines.append(
            f"{status.instance:24} {status.zone:18} {status.number:>7} "
            f"{len(status.seats):>5} {status.in_flight:>6}  "
            f"{_format_details(status, newest)}"
        )
    return "\n".join(lines)


def _format_details(status: Status, newest: int) -> str:
    parts = [f"{s}={n}" for s, n in sorted(status.free_slots.items())]
    parts += [f"link {t}={f:.0%}" for t, f in sorted(status.links.items())]
    if status.number < newest:
        parts.append(f"STALE since {status.in_force_s:.0f}s")
    if not status.store_reachable:
        parts.append("STORE UNREACHABLE")
    if status.store_fault:
        parts.append(f"STORE DATA: {status.store_fault}")
    if status.suspended:
        parts.append("SEATS SUSPENDED")
    if status.leaving:
        parts.append("LEAVING")
    if status.fork:
        parts.append(f"FORK: {status.fork}")
    return ", ".join(parts)


def _format_entry(entry: Entry) -> str:
    ticket = entry.ticket
    return (
        f"{entry.number:>7} {entry.submission:32} {ticket.author}: "
        f"{ticket.reason}"
    )


def _format_json(value: Any) -> str:
    return msgspec.json.format(
        msgspec.json.encode(value, enc_hook=_json_hook)
    ).decode()


def _json_hook(value: Any) -> Any:
    return list(value) if isinstance(value, Blocks) else str(value)


def _parse() -> Callable[[], str | None]:
    """Parse the command line and return the call to run.

    Raises
    ------
    ChiverunError
        USAGE, in place of fire's own messages of many lines.
    SystemExit
        After help has been shown.
    """
    pending = _PendingCall()
    help_text = io.StringIO()
    try:
        with (
            contextlib.redirect_stdout(help_text),
            contextlib.redirect_stderr(help_text),
        ):
            fire.Fire(lambda: Commands(pending), name="chiverun")
    except FireExit as exc:
        if not exc.code:
            print(help_text.getvalue(), end="")
            raise
        reason = exc.trace.elements[-1].ErrorAsStr()
        raise ChiverunError(ResultCode.USAGE, reason) from exc
    if pending.call is None:
        raise ChiverunError(
            ResultCode.USAGE, f"no command given; valid: {_COMMANDS}"
        )
    return pending.call


def _run() -> None:
    try:
        output = _parse()()
    except ChiverunError:
        raise
    except Exception as exc:
        raise ChiverunError(
            ResultCode.INTERNAL, f"{type(exc).__name__}: {exc}"
        ) from exc
    if output is not None:
        print(output, flush=True)


def main() -> None:
    """Run the command line.

    On an error, exit with its result code divided by 100.
    """
    try:
        _run()
    except ChiverunError as exc:
        print(f"error: {' '.join(str(exc).split())}", file=sys.stderr)
        sys.exit(int(exc.code) // 100)
    except BrokenPipeError:
        # The reader of the output, such as `head`, has exited.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
    except KeyboardInterrupt:
        sys.exit(130)
