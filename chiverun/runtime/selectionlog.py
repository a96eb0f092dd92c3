"""What log lines of sends tell of a server when it was chosen."""

import math
from typing import Any

from chiverun.runtime.servertable import ServerRow


def describe_selection(row: ServerRow, now: float) -> dict[str, Any]:
    """Return what is known of a server at event loop time `now`."""
    return {
        **_load_at_selection(row, now),
        **_limit_at_selection(row, now),
        **_cold_at_selection(row, now),
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
    """Return the server's limit and the own sends that count towards it."""
    if row.limit.per_s is None:
        return {}
    return {
        "limit_per_s": row.limit.per_s,
        "limit_age_ms": round(1000 * (now - row.limit.named_at)),
        "recent_sends": row.recent_sends.count(now),
    }


def _cold_at_selection(row: ServerRow, now: float) -> dict:
    """Return how long the server is taken for cold, and the own sends."""
    if now >= row.cold_until:
        return {}
    return {
        "cold_left_ms": round(1000 * (row.cold_until - now)),
        "recent_sends": row.recent_sends.count(now),
    }
