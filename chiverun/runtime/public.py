"""Handler of the look-up address: look-ups, keys, health and status."""

import urllib.parse
from typing import TYPE_CHECKING

from chiverun.core.errors import ChiverunError
from chiverun.core.errors import Outcome
from chiverun.core.errors import ResultCode
from chiverun.core.lookup import answer_lookup
from chiverun.core.lookup import parse_client
from chiverun.core.statednumbers import parse_whole
from chiverun.core.statednumbers import StatedNumber
from chiverun.core.ticket import Service
from chiverun.integrations.web import error_response
from chiverun.integrations.web import IncomingRequest
from chiverun.integrations.web import json_response
from chiverun.integrations.web import Response
from chiverun.runtime.status import make_status

if TYPE_CHECKING:
    from chiverun.core.idempotency import KeyTable
    from chiverun.core.lookup import BlockTables
    from chiverun.core.state import State
    from chiverun.integrations.telemetry import Telemetry
    from chiverun.runtime.status import StatusSources

KEYS_PER_CALL_MAX = 1000
_KEY_COUNT = StatedNumber(low=1, high=KEYS_PER_CALL_MAX, unit="keys")


class LookupHandler:
    """Handler of the look-up address."""

    def __init__(
        self,
        *,
        sources: "StatusSources",
        keys: "KeyTable",
        blocks: "BlockTables",
        telemetry: "Telemetry",
        ttl_s: float,
    ) -> None:
        self._sources = sources
        self._keys = keys
        self._telemetry = telemetry
        self._ttl_s = ttl_s
        self._blocks = blocks

    def handle(self, req: IncomingRequest) -> Response:
        """Handle a request; none of them runs on a backend server."""
        try:
            return self._handle(req)
        except ChiverunError as exc:
            return error_response(400, Outcome.NOT_RUN, exc.code, exc.message)

    def _handle(self, req: IncomingRequest) -> Response:
        match (req.method, req.path):
            case ("GET", "/v1/lookup"):
                return self._lookup(req)
            case ("POST", "/v1/keys"):
                return self._issue_keys(req)
            case ("GET", "/v1/status"):
                return json_response(make_status(self._sources))
            case ("GET", "/healthz"):
                return json_response({"status": "ok"})
            case ("GET", "/readyz"):
                return self._readiness()
            case _:
                return error_response(
                    404,
                    Outcome.NOT_RUN,
                    ResultCode.REQUEST_MALFORMED,
                    f"{req.method} {req.path} is unknown; valid: "
                    "GET /v1/lookup, POST /v1/keys, GET /v1/status, "
                    "GET /healthz, GET /readyz",
                )

    def _lookup(self, req: IncomingRequest) -> Response:
        query = _query(req)
        snapshot = self._sources.plane.snapshot
        with self._telemetry.span("lookup", parent=req.headers):
            client = parse_client(query.get("client", req.remote))
            _check_service(snapshot.state, query.get("service"))
            result = answer_lookup(
                snapshot,
                self._blocks.get(snapshot.state),
                client,
                self._sources.plane.identity.zone,
                self._ttl_s,
            )
        self._telemetry.lookups.add(1)
        if not result.instances:
            return error_response(
                503,
                Outcome.NOT_RUN,
                ResultCode.NOT_READY,
                "no instance is known to serve",
            )
        return json_response(result)

    def _issue_keys(self, req: IncomingRequest) -> Response:
        text = _query(req).get("count", "1")
        count = parse_whole(text, _KEY_COUNT)
        # Neither blanks nor leading zeros.
        if count is None or text != str(count):
            raise ChiverunError(
                ResultCode.REQUEST_MALFORMED,
                f"count is {text[:80]!r}; valid: {_KEY_COUNT}",
            )
        if self._sources.plane.is_leaving:
            return error_response(
                503,
                Outcome.NOT_RUN,
                ResultCode.LEAVING,
                "this instance is stopping; ask another",
            )
        reasons = self._startup_reasons()
        if reasons:
            # A request with such a key would be refused here, and peers that
            # do not know this instance yet cannot prove that it never ran.
            return error_response(
                503,
                Outcome.NOT_RUN,
                ResultCode.NOT_READY,
                f"{', '.join(reasons)}; ask another instance",
            )
        identity = self._sources.plane.identity
        keys = self._keys.issue(count)
        if not keys:
            return error_response(
                503,
                Outcome.NOT_RUN,
                ResultCode.NO_CAPACITY,
                "the key table is full; ask another instance",
            )
        return json_response(
            {
                "keys": keys,
                "entry": identity.entry,
                "ttl_s": self._ttl_s,
            }
        )

    def _readiness(self) -> Response:
        """Report readiness.

        An instance is ready if it holds confirmed seats, has a ticket in
        force without a fork, and is not leaving.
        """
        plane = self._sources.plane
        reasons = self._startup_reasons()
        if plane.seats.suspended_at is not None:
            reasons.append("seats are suspended after a pause")
        if plane.is_leaving:
            reasons.append("the instance is leaving")
        if plane.fork_reason:
            reasons.append(plane.fork_reason)
        return json_response(
            {"ready": not reasons, "reasons": reasons},
            status=503 if reasons else 200,
        )

    def _startup_reasons(self) -> list[str]:
        """Return why a process that has just started cannot serve yet."""
        plane = self._sources.plane
        reasons = []
        if plane.state.number == 0:
            reasons.append("no ticket is in force here")
        if not plane.seats.held:
            reasons.append("no seat is held")
        return reasons


def _query(req: IncomingRequest) -> dict[str, str]:
    return dict(urllib.parse.parse_qsl(req.query))


def _check_service(state: "State", service: str | None) -> None:
    known = state.of(Service)
    if service is not None and service not in known:
        raise ChiverunError(
            ResultCode.SERVICE_UNKNOWN,
            f"service is {service!r}; valid: {', '.join(sorted(known))}",
        )
