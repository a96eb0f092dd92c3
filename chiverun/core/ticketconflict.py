"""Conflicts of a submitted ticket with what others have in force."""

import dataclasses

from chiverun.core.errors import ChiverunError
from chiverun.core.errors import ResultCode
from chiverun.core.state import State
from chiverun.core.ticket import Ticket
from chiverun.core.ticketentry import Entry


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReportedState:
    """What an instance reported to have in force."""

    instance: str
    number: int
    digest: str


def check_not_behind(number: int, in_force: list[ReportedState]) -> None:
    """Refuse when an instance is ahead of the store."""
    for report in in_force:
        if report.number > number:
            raise ChiverunError(
                ResultCode.STORE_BEHIND,
                f"instance {report.instance} has ticket {report.number} in "
                f"force, the store has {number}; wait until an instance has "
                "repaired the store",
            )


def check_same_history(state: State, in_force: list[ReportedState]) -> None:
    """Refuse when an instance is on another history than the store."""
    for report in in_force:
        if state.follows(report.number, report.digest) is False:
            raise ChiverunError(
                ResultCode.TICKET_FORK,
                f"instance {report.instance} has another ticket "
                f"{report.number} in force than the store",
            )


def outcome_unknown(entry: Entry) -> ChiverunError:
    """Return the error for a write whose response was lost."""
    return ChiverunError(
        ResultCode.TICKET_OUTCOME_UNKNOWN,
        f"ticket {entry.number}: no answer from the store; submit again "
        f"with --submission {entry.submission} to learn the outcome",
    )


def number_taken(
    ticket: Ticket, number: int, winner: Entry | None
) -> ChiverunError:
    """Return the error for a number that was accepted before."""
    told = f": {_name(winner)}" if winner else ""
    return ChiverunError(
        ResultCode.TICKET_OUT_OF_ORDER,
        f"ticket number {ticket.number} is taken{told}; valid: {number + 1}",
    )


def _name(entry: Entry) -> str:
    return (
        f"accepted is {entry.ticket.reason!r} by {entry.ticket.author!r} "
        f"(submission {entry.submission})"
    )


def lost_race(ticket: Ticket, winner: Entry | None) -> ChiverunError:
    """Return the error for a ticket that another one came before."""
    told = _name(winner) if winner else "the head was changed by another"
    return ChiverunError(
        ResultCode.TICKET_LOST_RACE,
        f"ticket {ticket.number} was not accepted: {told}; take the next "
        "number",
    )
