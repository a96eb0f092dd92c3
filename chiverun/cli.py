"""The command line of operators and of instances."""

import pathlib
import sys
import uuid
from typing import Any

import fire
import msgspec
import urllib3
from urllib3.exceptions import HTTPError

from chiverun.core.blocks import Blocks
from chiverun.core.errors import ChiverunError
from chiverun.core.errors import ResultCode
from chiverun.core.settings import is_operator_file
from chiverun.core.settings import OperatorSettings
from chiverun.core.settings import read_operator_settings
from chiverun.core.settings import read_settings
from chiverun.core.ticket import read_ticket
from chiverun.core.ticket import Ticket
from chiverun.core.ticketcheck import check_ticket
from chiverun.core.ticketlog import Entry
from chiverun.core.ticketlog import InForce
from chiverun.core.ticketlog import TicketLog
from chiverun.integrations.interfaces import StoreUnavailable
from chiverun.integrations.network import split_address
from chiverun.integrations.store import HttpStore
from chiverun.runtime.status import Status

_STATUS_TIMEOUT_S = 2.0
_LOG_LENGTH = 20


class TicketCommands:
    """Check, submit and read change tickets."""

    def check(self, file: str, settings: str | None = None) -> str:
        """Check a ticket file; with settings, against the state in force."""
        ticket = _read_ticket_file(file)
        if settings is None:
            return f"ticket {ticket.number}: form is valid"
        state = _from_store(_log(settings).load)
        check_ticket(state, ticket)
        return f"ticket {ticket.number}: valid after ticket {state.number}"

    def submit(
        self, file: str, settings: str, submission: str | None = None
    ) -> str:
        """Submit a ticket; `submission` repeats an earlier submission."""
        ticket = _read_ticket_file(file)
        cfg = read_operator_settings(settings)
        reports = _in_force(cfg)
        if ticket.number > 1 and not reports:
            raise ChiverunError(
                ResultCode.NO_INSTANCE_REACHABLE,
                "no instance tells which ticket is in force; asked: "
                f"{', '.join(cfg.instances)}",
            )
        entry = _log(settings).submit(
            ticket, str(submission or uuid.uuid4().hex), reports
        )
        return f"ticket {entry.number}: accepted, digest {entry.digest}"

    def show(self, number: int, settings: str) -> str:
        """Show an accepted ticket as JSON."""
        entry = _from_store(lambda: _log(settings).entry(int(number)))
        if entry is None:
            raise ChiverunError(
                ResultCode.TICKET_NOT_FOUND,
                f"ticket {number} is not in the log; valid: see ticket log",
            )
        return _json(entry)

    def log(self, settings: str, count: int = _LOG_LENGTH) -> str:
        """List the newest accepted tickets, newest first."""
        log = _log(settings)
        head = _from_store(lambda: log.head().entry)
        if head is None:
            return "no ticket has been accepted"
        lines = []
        for number in range(head.number, max(0, head.number - count), -1):
            entry = _from_store(lambda n=number: log.entry(n))
            if entry is None:
                break
            lines.append(_log_line(entry))
        return "\n".join(lines)


class SettingsCommands:
    """Check settings files."""

    def check(self, settings: str) -> str:
        """Check a settings file of an instance or an operator."""
        if is_operator_file(settings):
            read_operator_settings(settings)
        else:
            read_settings(settings)
        return f"{settings}: valid"


class Commands:
    """chiverun: global traffic steering driven by change tickets."""

    def __init__(self) -> None:
        self.ticket = TicketCommands()
        self.settings = SettingsCommands()

    def serve(self, settings: str) -> None:
        """Run one instance until SIGTERM."""
        # Operators' commands start faster without the instance's libraries.
        from chiverun.integrations.logs import set_up_logs
        from chiverun.runtime.instance import Instance

        cfg = read_settings(settings)
        set_up_logs(level=cfg.log_level, instance=cfg.name)
        Instance(cfg=cfg).run()

    def status(self, settings: str, json: bool = False) -> str:
        """Show what each instance has in force, its seats and headroom."""
        cfg = read_operator_settings(settings)
        statuses = {a: _status(a) for a in cfg.instances}
        if json:
            return _json({a: s for a, s in statuses.items()})
        return _status_table(statuses)

    def version(self) -> str:
        """Show the version."""
        from chiverun import __version__

        return __version__


def _read_ticket_file(file: str) -> Ticket:
    try:
        data = pathlib.Path(str(file)).read_bytes()
    except OSError as exc:
        raise ChiverunError(
            ResultCode.FILE_NOT_READABLE, f"ticket file {file}: {exc}"
        ) from exc
    return read_ticket(data)


def _log(settings: str) -> TicketLog:
    cfg = read_operator_settings(settings)
    return TicketLog(
        store=HttpStore(
            address=cfg.store, timeout_s=cfg.store_timeout_ms / 1000.0
        )
    )


def _from_store(call) -> Any:
    try:
        return call()
    except StoreUnavailable as exc:
        raise ChiverunError(
            ResultCode.STORE_UNAVAILABLE, f"store: {exc}"
        ) from exc


def _status(address: str) -> Status | None:
    host, port = split_address(address)
    with urllib3.HTTPConnectionPool(
        host, port, timeout=_STATUS_TIMEOUT_S, retries=False
    ) as pool:
        try:
            resp = pool.urlopen("GET", "/v1/status", retries=False)
            return msgspec.json.decode(resp.data, type=Status)
        except (HTTPError, msgspec.DecodeError):
            return None


def _in_force(cfg: OperatorSettings) -> list[InForce]:
    statuses = [_status(address) for address in cfg.instances]
    return [
        InForce(instance=s.instance, number=s.number, digest=s.digest)
        for s in statuses
        if s is not None
    ]


def _status_table(statuses: dict[str, Status | None]) -> str:
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
            f"{_details(status, newest)}"
        )
    return "\n".join(lines)


def _details(status: Status, newest: int) -> str:
    parts = [f"{s}={n}" for s, n in sorted(status.room.items())]
    parts += [f"link {t}={f:.0%}" for t, f in sorted(status.links.items())]
    if status.number < newest:
        parts.append(f"STALE since {status.in_force_s:.0f}s")
    if not status.store_reachable:
        parts.append("STORE UNREACHABLE")
    if status.suspended:
        parts.append("SEATS SUSPENDED")
    if status.leaving:
        parts.append("LEAVING")
    if status.fork:
        parts.append(f"FORK: {status.fork}")
    return ", ".join(parts)


def _log_line(entry: Entry) -> str:
    ticket = entry.ticket
    return (
        f"{entry.number:>7} {entry.submission:32} {ticket.author}: "
        f"{ticket.reason}"
    )


def _json(value: Any) -> str:
    return msgspec.json.format(
        msgspec.json.encode(value, enc_hook=_json_hook)
    ).decode()


def _json_hook(value: Any) -> Any:
    return list(value) if isinstance(value, Blocks) else str(value)


def main() -> None:
    """Run the command line; exits with the group of the result code."""
    try:
        fire.Fire(Commands, name="chiverun")
    except ChiverunError as exc:
        print(f"error: {exc}", file=sys.stderr)
        sys.exit(int(exc.code) // 100)
    except KeyboardInterrupt:
        sys.exit(130)
