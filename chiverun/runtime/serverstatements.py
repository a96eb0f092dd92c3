"""Applies what a server says of itself in a response."""

import logbook

from chiverun.core.errors import ResultCode
from chiverun.core.statednumbers import LIMIT_PER_S
from chiverun.runtime.headercodec import ResponseMetadata
from chiverun.runtime.servertable import ServerRow

_LOG = logbook.Logger("send")


def apply_statements(
    row: ServerRow,
    response: ResponseMetadata,
    *,
    request_id: str,
    sent_at: float,
    now: float,
) -> None:
    """Apply what a response to a request of `sent_at` says of its server.

    Times are event loop time. Nothing may be applied of a response that may
    be another server's or belong to another request.
    """
    if response.load is not None:
        row.load.report(
            response.load.running,
            response.load.waiting,
            now,
            slots=row.server.slots,
        )
    row.cold_time.apply_answer(
        min(response.cold_s or 0.0, row.cold_limit_s),
        sent_at=sent_at,
        now=now,
    )
    extra = {"id": request_id, "server": row.server.name}
    _apply_limit(row, response, extra, sent_at, now)
    if response.is_leaving and not row.is_leaving:
        row.leaving_since = now
        row.close_idle()
        _LOG.info(
            "server is leaving",
            extra={**extra, "record": row.server.state.value},
        )
    if response.pause_s is not None:
        row.paused_until = max(row.paused_until, now + response.pause_s)
        _LOG.info(
            "server asks for a pause",
            extra={**extra, "pause_ms": round(1000 * response.pause_s)},
        )


def _apply_limit(
    row: ServerRow,
    response: ResponseMetadata,
    extra: dict[str, str],
    sent_at: float,
    now: float,
) -> None:
    if response.limit_fault is not None:
        # The limit in force stays; this is no sign of its end.
        _LOG.warning(
            "server limit cannot be read",
            extra={
                **extra,
                "code": int(ResultCode.SERVER_LIMIT_INVALID),
                "value": response.limit_fault,
                "valid": str(LIMIT_PER_S),
            },
        )
        return
    before = row.limit.per_s
    if not row.limit.apply(response.limit_per_s, sent_at=sent_at, now=now):
        return
    _LOG.info(
        "server limit changed",
        extra={
            **extra,
            "per_s": row.limit.per_s,
            "before_per_s": before,
            "recent_sends": row.recent_sends.count(now),
        },
    )
