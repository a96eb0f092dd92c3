"""Applies what a server says of itself in a response."""

import logbook

from chiverun.core.errors import ResultCode
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
    """Apply the limit, the leaving and the pause that a response names.

    Times are event loop time; the response answers a request of `sent_at`.
    """
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
                "valid": "requests a second, a decimal number from 0 on",
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
