"""Parses callers' requests against the state in force."""

import dataclasses
import uuid
from typing import TYPE_CHECKING

from chiverun.core.errors import ChiverunError
from chiverun.core.errors import ResultCode
from chiverun.core.ids import RegionName
from chiverun.core.ids import ServiceName
from chiverun.core.lookup import origin_region
from chiverun.core.statednumbers import DEADLINE_MS
from chiverun.core.statednumbers import parse_whole
from chiverun.core.ticket import Region
from chiverun.core.ticket import RequestClass
from chiverun.core.ticket import Service
from chiverun.core.ticket import Zone
from chiverun.core.work import Work
from chiverun.integrations.web import IncomingRequest
from chiverun.runtime.execution import ForwardedContent
from chiverun.runtime.forward import ORIGIN_HEADER

if TYPE_CHECKING:
    from chiverun.core.clock import Clock
    from chiverun.core.ids import ZoneName
    from chiverun.core.lookup import BlockTables
    from chiverun.runtime.control import ControlPlane

_PREFIX = "/s/"


@dataclasses.dataclass(frozen=True, kw_only=True)
class ParsedRequest:
    """A parsed request with its service, class, deadline and regions."""

    work: Work
    content: ForwardedContent


class RequestParser:
    """Determines service, class, deadline and regions of a request."""

    def __init__(
        self,
        *,
        zone: "ZoneName",
        clock: "Clock",
        plane: "ControlPlane",
        blocks: "BlockTables",
    ) -> None:
        self._zone = zone
        self._clock = clock
        self._plane = plane
        self._blocks = blocks

    def parse(self, req: IncomingRequest) -> ParsedRequest:
        """Parse a request.

        Raises
        ------
        ChiverunError
            With a 1xx code if the request is invalid, or with NOT_READY.
        """
        state = self._plane.snapshot.state
        if not req.path.startswith(_PREFIX):
            raise ChiverunError(
                ResultCode.REQUEST_MALFORMED,
                f"path is {req.path!r}; valid: /s/<service>/...",
            )
        name, _, rest = req.path.removeprefix(_PREFIX).partition("/")
        services = state.of(Service)
        service = services.get(ServiceName(name))
        if service is None:
            valid = ", ".join(sorted(services)) or "none yet"
            raise ChiverunError(
                ResultCode.SERVICE_UNKNOWN,
                f"service is {name!r}; valid: {valid}",
            )
        path = "/" + rest
        request_class = match_class(service, req.method, path)
        region = self._home_region(state)
        return ParsedRequest(
            work=Work(
                service=service.name,
                request_class=request_class,
                source_region=region,
                deadline=self._deadline(req, request_class),
                origin_region=self._origin(req, state),
            ),
            content=ForwardedContent(
                method=req.method,
                path=path + (f"?{req.query}" if req.query else ""),
                headers=req.headers,
                body=req.body,
                request_id=uuid.uuid4().hex,
            ),
        )

    def _home_region(self, state) -> RegionName:
        zone = state.of(Zone).get(self._zone)
        if zone is None:
            raise ChiverunError(
                ResultCode.NOT_READY,
                f"zone {self._zone} is in no ticket",
            )
        return zone.region

    def _origin(self, req: IncomingRequest, state) -> RegionName | None:
        """Return the caller's region, from a header if a peer forwards it."""
        table = self._blocks.get(state)
        origin = origin_region(state, table, req.remote)
        stated = RegionName(req.header(ORIGIN_HEADER.lower()))
        if origin is None and stated in state.of(Region):
            return stated
        return origin

    def _deadline(
        self, req: IncomingRequest, request_class: RequestClass
    ) -> float:
        max_ms = request_class.deadline_ms
        text = req.header("x-deadline-ms", str(max_ms))
        deadline_ms = parse_whole(text, DEADLINE_MS)
        if not deadline_ms:
            raise ChiverunError(
                ResultCode.DEADLINE_INVALID,
                f"X-Deadline-Ms is {text[:80]!r}; valid: 1 to {max_ms}",
            )
        return self._clock.monotonic() + min(deadline_ms, max_ms) / 1000.0


def match_class(service: Service, method: str, path: str) -> RequestClass:
    """Return the first matching class.

    Raises
    ------
    ChiverunError
        With CLASS_UNKNOWN if no class matches.
    """
    for request_class in service.classes:
        if method in request_class.methods and path.startswith(
            request_class.path_prefix
        ):
            return request_class
    raise ChiverunError(
        ResultCode.CLASS_UNKNOWN,
        f"{method} {path} matches no class of service {service.name}; "
        f"valid: {', '.join(_describe_class(c) for c in service.classes)}",
    )


def _describe_class(request_class: RequestClass) -> str:
    return f"{'|'.join(request_class.methods)} {request_class.path_prefix}"
