"""Responses to requests that an edge instance does not pass on."""

import dataclasses

import logbook

from chiverun.core.errors import ResultCode
from chiverun.core.exchange import CODE_HEADER
from chiverun.core.quota import Exceeded
from chiverun.integrations.asyncserver import OutgoingResponse
from chiverun.runtime.edgemetrics import EdgeMetrics
from chiverun.runtime.headercodec import RequestMetadata
from chiverun.runtime.selection import LimitReached
from chiverun.runtime.selection import Overloaded

_LOG = logbook.Logger("request")

# Retry-After for requests that did not run, unless the expected wait for a
# slot is longer.
RETRY_AFTER_S = 0.3
RETRY_AFTER_MAX_S = 3.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class KeyRevoked:
    """The key of the request's account has been taken away meanwhile."""


Refusal = Overloaded | LimitReached | KeyRevoked


class Refusals:
    """Builds, logs and counts the responses.

    Each method takes the `details` to log beside the reason.
    """

    def __init__(self, *, metrics: EdgeMetrics) -> None:
        self._metrics = metrics

    def not_run(
        self,
        metadata: RequestMetadata,
        reason: str,
        *,
        wait_s: float | None = None,
        code: ResultCode | None = None,
        **details,
    ) -> OutgoingResponse:
        """Return 503 to a request that has not run and will not.

        `wait_s` is the expected time until one would be served.
        """
        retry_s = min(RETRY_AFTER_MAX_S, max(RETRY_AFTER_S, wait_s or 0.0))
        headers = [("Retry-After", f"{retry_s:.3g}")]
        return self._response(
            metadata, 503, reason, headers, code, wait_s=wait_s, **details
        )

    def unknown_key(
        self, metadata: RequestMetadata, **details
    ) -> OutgoingResponse:
        """Return 401 to a request without a valid key."""
        return self._response(
            metadata,
            401,
            "unknown key",
            [("WWW-Authenticate", "ApiKey")],
            ResultCode.API_KEY_UNKNOWN,
            **details,
        )

    def over_quota(
        self, metadata: RequestMetadata, outcome: Exceeded, **details
    ) -> OutgoingResponse:
        """Return 429 to a request over the limit of its account."""
        retry_s = min(RETRY_AFTER_MAX_S, max(RETRY_AFTER_S, outcome.wait_s))
        return self._response(
            metadata,
            429,
            "over quota",
            [("Retry-After", f"{retry_s:.3g}")],
            ResultCode.QUOTA_EXCEEDED,
            retry_s=retry_s,
            **details,
        )

    def ends_servers(
        self, metadata: RequestMetadata, **details
    ) -> OutgoingResponse:
        """Return 502 to a request under which servers ended.

        It may have run before, under another id too, and must not return.
        """
        self._metrics.suspects_refused.add(1)
        return self._response(
            metadata,
            502,
            "servers ended under request",
            [],
            ResultCode.REQUEST_ENDS_SERVERS,
            **details,
        )

    def _response(
        self,
        metadata: RequestMetadata,
        status: int,
        reason: str,
        headers: list[tuple[str, str]],
        code: ResultCode | None,
        **details,
    ) -> OutgoingResponse:
        _LOG.info(
            reason,
            extra={"id": metadata.request_id, "status": status, **details},
        )
        self._metrics.record_request(status, 0.0)
        if code is not None:
            headers.append((CODE_HEADER, str(int(code))))
        return OutgoingResponse(status=status, headers=headers)


def refusal_reason(refusal: Overloaded | LimitReached | None) -> str:
    """Return why no server may get a request."""
    match refusal:
        case Overloaded():
            return "overload"
        case LimitReached():
            return "server limits reached"
        case None:
            return "no server may get it"
