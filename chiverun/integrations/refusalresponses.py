"""Responses to requests that are not handled, and what they say."""

import h11

from chiverun.core.bytebudget import ByteBudget
from chiverun.core.callerlimits import CODES
from chiverun.core.callerlimits import RefusalReason
from chiverun.core.catalog import ClientLimits
from chiverun.core.exchange import CODE_HEADER
from chiverun.integrations.pieces import LINES_MAX

# Retry-After of a request that was refused for lack of memory or connections.
RETRY_AFTER_S = 1.0


def encode_refusal(
    http: h11.Connection,
    status: int,
    reason: RefusalReason,
    text: str,
    *,
    method: bytes = b"",
) -> bytes:
    """Return the response after which a connection is closed.

    `method` is that of the request, if it is known.
    """
    body = text.encode()
    headers = [
        ("Connection", "close"),
        ("Content-Length", str(len(body))),
    ]
    if reason in CODES:
        headers.append((CODE_HEADER, str(int(CODES[reason]))))
    if status == 503:
        headers.append(("Retry-After", f"{RETRY_AFTER_S:g}"))
    head = http.send(h11.Response(status_code=status, headers=headers))
    if method == b"HEAD":
        return head
    return head + http.send(h11.Data(data=body))


def describe(
    reason: RefusalReason, limits: ClientLimits, memory: ByteBudget
) -> str:
    """Return the limit that a request is over.

    It quotes nothing of the request, which may hold an API key; the parser's
    messages do.
    """
    match reason:
        case RefusalReason.MALFORMED:
            return "not a valid HTTP/1.1 request"
        case RefusalReason.HEAD_TOO_LARGE:
            return (
                f"head over the limit of {limits.header_bytes} bytes or "
                f"{LINES_MAX} lines"
            )
        case RefusalReason.BODY_TOO_LARGE:
            return f"body over the limit of {limits.body_bytes} bytes"
        case RefusalReason.MEMORY:
            return (
                f"no memory: all requests hold {memory.used} of "
                f"{memory.limit} bytes"
            )
        case RefusalReason.TOO_SLOW:
            return (
                "no progress within the limit of "
                f"{limits.header_timeout_s:g} s, or too little in all"
            )
    return reason.value
