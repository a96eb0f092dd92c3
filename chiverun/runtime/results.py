"""Results and responses for callers, and request fingerprints."""

import xxhash

from chiverun.core.errors import Outcome
from chiverun.core.errors import ResultCode
from chiverun.core.exchange import Answered
from chiverun.core.exchange import classify
from chiverun.core.exchange import CODE_HEADER
from chiverun.core.exchange import ExchangeEnd
from chiverun.core.idempotency import StoredResult
from chiverun.core.ids import IdempotencyKey
from chiverun.integrations.web import error_response
from chiverun.integrations.web import IncomingRequest
from chiverun.integrations.web import Response


def fingerprint(req: IncomingRequest) -> str:
    """Return a hash that binds an idempotency key to its request."""
    hashed = xxhash.xxh3_128()
    for part in (req.method, req.path, req.query):
        hashed.update(part.encode() + b"\0")
    hashed.update(req.body)
    return hashed.hexdigest()


def make_result(
    end: ExchangeEnd, *, may_have_run: bool = False
) -> StoredResult:
    """Return the result that a caller gets for an exchange."""
    classified = classify(end)
    if isinstance(end, Answered):
        return StoredResult(
            outcome=classified.outcome,
            code=classified.code,
            status=end.status,
            headers=end.headers,
            body=end.body,
        )
    outcome = Outcome.UNKNOWN if may_have_run else classified.outcome
    status = 503 if outcome is Outcome.NOT_RUN else 502
    reply = error_response(
        status, outcome, classified.code, type(end).__name__
    )
    return StoredResult(
        outcome=outcome,
        code=classified.code,
        status=status,
        headers=reply.headers[:1],
        body=reply.body,
    )


def to_response(result: StoredResult) -> Response:
    """Return the response with the outcome and code headers."""
    return Response(
        status=result.status,
        headers=(
            *result.headers,
            ("X-Chiverun-Outcome", result.outcome.value),
            (CODE_HEADER, str(int(result.code))),
        ),
        body=result.body,
    )


def unknown_outcome_response(key: IdempotencyKey, reason: str) -> Response:
    """Return the response for a key with an unknown outcome."""
    return error_response(
        409,
        Outcome.UNKNOWN,
        ResultCode.KEY_OUTCOME_UNKNOWN,
        f"key {key}: {reason}; its request will not be run again",
    )
