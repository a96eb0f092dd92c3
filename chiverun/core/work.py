"""Requests to admit, their grants and their rejections."""

import dataclasses

from chiverun.core.errors import ChiverunError
from chiverun.core.errors import ResultCode
from chiverun.core.ids import RegionName
from chiverun.core.ids import SeatIndex
from chiverun.core.ids import ServiceName
from chiverun.core.ticket import Length
from chiverun.core.ticket import RequestClass
from chiverun.core.ticket import Server
from chiverun.core.waiting import QueueKey


@dataclasses.dataclass(frozen=True, kw_only=True)
class Work:
    """A request to admit; `deadline` is monotonic seconds.

    `source_region` is the region of the instance that received the request.
    `origin_region` is that of the caller; None if it is unknown.
    """

    service: ServiceName
    request_class: RequestClass
    source_region: RegionName
    deadline: float
    origin_region: RegionName | None = None

    @property
    def key(self) -> QueueKey:
        """The service name and class name."""
        return self.service, self.request_class.name

    @property
    def is_long(self) -> bool:
        """Whether the class is declared long."""
        return self.request_class.length is Length.LONG


@dataclasses.dataclass(frozen=True, kw_only=True)
class Grant:
    """Permission to send one request to one server.

    `unit` is the seat whose unit of the region's cap is charged, if any.
    """

    number: int
    server: Server
    slot: int
    seat: SeatIndex
    unit: SeatIndex | None
    work: Work
    granted_at: float


def deadline_rejection(work: Work) -> ChiverunError:
    """Return the error of a request that cannot meet its deadline."""
    return rejection(
        ResultCode.DEADLINE_UNREACHABLE, work, "no slot became free in time"
    )


def rejection(code: ResultCode, work: Work, reason: str) -> ChiverunError:
    """Return the error of a rejected request, with service and class."""
    return ChiverunError(
        code,
        f"service {work.service}, class {work.request_class.name}: {reason}",
    )
