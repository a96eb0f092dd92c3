"""What log lines tell of a server and of the connection to it."""

import math
from typing import Any

from chiverun.integrations.asyncclient import ClientConnection
from chiverun.runtime.servertable import ServerRow


def describe_selection(row: ServerRow, now: float) -> dict[str, Any]:
    """Return what is known of a server at event loop time `now`."""
    return {
        **_load_at_selection(row, now),
        **_limit_at_selection(row, now),
        **_cold_at_selection(row, now),
        "recent_sends": row.recent_sends.count(now),
    }


def describe_connection(
    connection: ClientConnection, now: float
) -> dict[str, Any]:
    """Return the age of a connection and its exchanges so far, 0 if new.

    A connection leads to the process that accepted it, so its age tells
    whether a process that has started since can have got a request.
    """
    return {
        "connection_age_ms": round(1000 * (now - connection.opened_at)),
        "connection_exchanges": connection.exchanges,
    }


def _load_at_selection(row: ServerRow, now: float) -> dict:
    """Return the load estimate at selection and the age of its report."""
    age_s = now - row.load.reported_at
    return {
        "load_at_choice": round(row.load.total(now), 1),
        "load_by_region": round(row.load.total_by_region(now), 1)
        if row.load.has_totals(now)
        else None,
        "load_age_ms": round(1000 * age_s) if age_s < math.inf else None,
    }


def _limit_at_selection(row: ServerRow, now: float) -> dict:
    """Return the limit that the server names, if any."""
    if row.limit.per_s is None:
        return {}
    return {
        "limit_per_s": row.limit.per_s,
        "limit_age_ms": round(1000 * (now - row.limit.named_at)),
    }


def _cold_at_selection(row: ServerRow, now: float) -> dict:
    """Return how long the server is taken for cold, if it is."""
    if now >= row.cold_until:
        return {}
    return {"cold_left_ms": round(1000 * (row.cold_until - now))}
