"""Conflicts of a submitted ticket with the store and other instances."""

import dataclasses

from chiverun.core.errors import ChiverunError
from chiverun.core.errors import ResultCode
from chiverun.core.state import State
from chiverun.core.ticket import Ticket
from chiverun.core.ticketentry import Entry


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReportedState:
    """Ticket number and state digest that an instance reports in force."""

    instance: str
    number: int
    digest: str


def check_store_not_behind(number: int, in_force: list[ReportedState]) -> None:
    """Raise STORE_BEHIND if an instance is ahead of the store."""
    for report in in_force:
        if report.number > number:
            raise ChiverunError(
                ResultCode.STORE_BEHIND,
                f"instance {report.instance} has ticket {report.number} in "
                f"force, the store has ticket {number}; wait until an "
                "instance has repaired the store",
            )


def check_same_history(state: State, in_force: list[ReportedState]) -> None:
    """Raise TICKET_FORK if an instance has another history than the store."""
    for report in in_force:
        if state.follows(report.number, report.digest) is False:
            raise ChiverunError(
                ResultCode.TICKET_FORK,
                f"ticket {report.number} in force on instance "
                f"{report.instance} differs from that of the store",
            )


def outcome_unknown_error(entry: Entry) -> ChiverunError:
    """Return the error for a write whose response was lost."""
    return ChiverunError(
        ResultCode.TICKET_OUTCOME_UNKNOWN,
        f"ticket {entry.number}: no response from the store; submit again "
        f"with --submission {entry.submission} to get the outcome",
    )


def number_taken_error(
    ticket: Ticket, number: int, winner: Entry | None
) -> ChiverunError:
    """Return the error for a number that has already been accepted."""
    detail = f": {_describe(winner)}" if winner else ""
    return ChiverunError(
        ResultCode.TICKET_OUT_OF_ORDER,
        f"ticket number {ticket.number} is taken{detail}; valid: {number + 1}",
    )


def _describe(entry: Entry) -> str:
    return (
        f"accepted is {entry.ticket.reason!r} by {entry.ticket.author!r} "
        f"(submission {entry.submission})"
    )


def lost_race_error(ticket: Ticket, winner: Entry | None) -> ChiverunError:
    """Return the error for a ticket overtaken by a concurrent one."""
    detail = (
        _describe(winner) if winner else "another submitter changed the head"
    )
    return ChiverunError(
        ResultCode.TICKET_LOST_RACE,
        f"ticket {ticket.number} was not accepted: {detail}; use the next "
        "number",
    )
