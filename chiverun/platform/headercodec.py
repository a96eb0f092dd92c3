"""Headers of the platform's requests and responses."""

from chiverun.core.catalog import Server
from chiverun.core.headertext import Headers
from chiverun.core.ids import ServerName
from chiverun.core.statednumbers import COLD_MS
from chiverun.core.statednumbers import DEADLINE_MS
from chiverun.core.statednumbers import LIMIT_PER_S
from chiverun.core.statednumbers import LOAD_COUNT
from chiverun.core.statednumbers import parse_decimal
from chiverun.core.statednumbers import parse_whole
from chiverun.core.statednumbers import PAUSE_S
from chiverun.core.statednumbers import SLOWDOWN_PERCENT
from chiverun.integrations.asyncserver import IncomingRequest
from chiverun.runtime.headercodec import CallerIdentity
from chiverun.runtime.headercodec import RequestMetadata
from chiverun.runtime.headercodec import ResponseMetadata
from chiverun.runtime.headercodec import ServerLoad

_REQUEST_ID = "x-chiverun-request-id"
_AFFINITY_KEY = "x-chiverun-affinity-key"
# Remaining time in milliseconds when the request is sent, not a timestamp.
_DEADLINE_MS = "x-chiverun-deadline-ms"
_EXPECTED_SERVER = "x-chiverun-expect-instance"
# Only an upstream sets this header, so it proves the response's origin.
_RESPONSE_STAMP = "x-chiverun-response-stamp"
_NOT_RUN = "x-chiverun-not-run"
_LOAD = "x-chiverun-server-load"
_API_KEY = "api-key"
# The platform calls a client account a tenant.
_ACCOUNT = "x-chiverun-tenant"
_SERVER_NAME = "x-chiverun-instance-id"
_COLD_MS = "x-chiverun-cold-ms"
# Requests a second, from all machines together.
_LIMIT = "server-limit"
_LEAVING = "server-leaving"
# Of a rejection: seconds, from the machine that gets it.
_PAUSE = "retry-after"
_DEADLINE_MS_MAX = 3_600_000
# Figures of a server's load that are read, and those that must be there.
_LOAD_PARTS = 4
_LOAD_PARTS_MIN = 3
# Part of a number that cannot be read which is logged.
_FAULT_LENGTH_MAX = 80
# A server sends each of these at most once in a response.
_SINGLE = frozenset({_REQUEST_ID, _RESPONSE_STAMP, _NOT_RUN, _SERVER_NAME})


class PlatformHeaderCodec:
    """Parses and writes the platform's own headers."""

    def request_metadata(self, request: IncomingRequest) -> RequestMetadata:
        """Return the metadata in the headers of a client's request."""
        return RequestMetadata(
            request_id=request.header(_REQUEST_ID) or "",
            affinity_key=request.header(_AFFINITY_KEY) or "",
            deadline_s=_parse_deadline_s(request.header(_DEADLINE_MS)),
            api_key=_single_value(request.headers, _API_KEY),
        )

    def request_headers(
        self,
        headers: Headers,
        server: Server,
        remaining_s: float,
        caller: CallerIdentity | None = None,
    ) -> Headers:
        """Return the headers to forward to a server.

        The client's deadline and expected server are replaced. While client
        accounts are declared, the key is removed, and so is an account that
        the client claims to be.
        """
        own = {_DEADLINE_MS, _EXPECTED_SERVER}
        account = []
        if caller is not None:
            own |= {_API_KEY, _ACCOUNT}
            if caller.account is not None:
                account = [(_ACCOUNT, caller.account)]
        kept = [
            (name, value) for name, value in headers if name.lower() not in own
        ]
        return [
            *kept,
            *account,
            (_DEADLINE_MS, str(max(1, int(remaining_s * 1000)))),
            (_EXPECTED_SERVER, server.name),
        ]

    def response_metadata(
        self, status: int, headers: Headers
    ) -> ResponseMetadata:
        """Return the metadata in the headers of a server's response."""
        values = {name.lower(): value for name, value in headers}
        limit_per_s = parse_decimal(values.get(_LIMIT), LIMIT_PER_S)
        return ResponseMetadata(
            request_id=values.get(_REQUEST_ID),
            is_stamped=_RESPONSE_STAMP in values,
            not_run=_NOT_RUN in values or status == 421,
            is_other_server=status == 421,
            server=ServerName(values[_SERVER_NAME])
            if _SERVER_NAME in values
            else None,
            load=_parse_load(values.get(_LOAD)),
            cold_s=_parse_ms(values.get(_COLD_MS)),
            limit_per_s=limit_per_s,
            limit_fault=values[_LIMIT][:_FAULT_LENGTH_MAX]
            if limit_per_s is None and _LIMIT in values
            else None,
            is_leaving=values.get(_LEAVING, "").strip() == "1",
            # A date or another value asks for no pause.
            pause_s=parse_decimal(values.get(_PAUSE), PAUSE_S) or None
            if status == 503
            else None,
            is_mixed=_is_mixed(headers),
        )


def _single_value(headers: Headers, name: str) -> str | None:
    """Return a header's value, None if it is missing or has several."""
    values = {value.strip() for key, value in headers if key.lower() == name}
    return values.pop() if len(values) == 1 else None


def _is_mixed(headers: Headers) -> bool:
    """Return whether a head has parts of more than one response."""
    single = [name.lower() for name, _ in headers if name.lower() in _SINGLE]
    return len(single) > len(set(single))


def _parse_deadline_s(text: str | None) -> float | None:
    deadline_ms = parse_whole(text, DEADLINE_MS)
    if deadline_ms is None:
        return None
    return min(_DEADLINE_MS_MAX, deadline_ms) / 1000.0


def _parse_ms(text: str | None) -> float | None:
    cold_ms = parse_whole(text, COLD_MS)
    return None if cold_ms is None else cold_ms / 1000.0


def _parse_load(text: str | None) -> ServerLoad | None:
    """Parse ``running,waiting,slots[,slowdown in percent]``."""
    parts = (text or "").split(",", maxsplit=_LOAD_PARTS)[:_LOAD_PARTS]
    ranges = (LOAD_COUNT, LOAD_COUNT, LOAD_COUNT, SLOWDOWN_PERCENT)
    numbers = [
        parse_whole(part, number)
        for part, number in zip(parts, ranges, strict=False)
    ]
    if len(numbers) < _LOAD_PARTS_MIN or None in numbers:
        return None
    return ServerLoad(
        running=numbers[0],
        waiting=numbers[1],
        slots=numbers[2],
        slowdown=numbers[3] / 100.0 if len(numbers) > 3 else 1.0,
    )
