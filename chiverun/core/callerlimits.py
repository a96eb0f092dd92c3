"""Limits of the connections of edge listeners, and why they are refused."""

import dataclasses
import enum

from chiverun.core.bytebudget import REST_BYTES
from chiverun.core.errors import ResultCode

# Descriptors that the platform counts for files: logs, libraries, pipes.
FILE_DESCRIPTORS = 200
# Descriptors of a process whose limit is not known.
DESCRIPTORS_DEFAULT = 1024
# Connections accepted at once; they exist before they can be refused.
ACCEPT_BATCH = 16
# Buffers, parser, protocol and timer of a connection.
CONNECTION_BYTES = 16 * 1024
# Part of the memory beyond `REST_BYTES` for connections alone.
_CONNECTION_MEMORY_FRACTION = 0.2
# Parts of the descriptors. Each request that runs has a connection to a
# server as well.
_ENTRY_FRACTION = 0.5
_SERVICE_FRACTION = 0.06
_SERVICE_CONNECTIONS_MIN = 8
_SERVICE_CONNECTIONS_MAX = 64


class RefusalReason(enum.Enum):
    """Why a client was refused, or its connection closed."""

    MALFORMED = "malformed"
    HEAD_TOO_LARGE = "head too large"
    BODY_TOO_LARGE = "body too large"
    MEMORY = "memory"
    CONNECTIONS = "connections"
    TOO_SLOW = "too slow"


CODES = {
    RefusalReason.MALFORMED: ResultCode.REQUEST_MALFORMED,
    RefusalReason.MEMORY: ResultCode.CALLER_MEMORY,
    RefusalReason.CONNECTIONS: ResultCode.CALLER_CONNECTIONS,
    RefusalReason.TOO_SLOW: ResultCode.CALLER_TOO_SLOW,
}


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallerLimits:
    """Connection limits of one edge listener (asyncio).

    While all connections are in use, those of an address that has more than
    `address_fraction` of them are closed first. More than `ahead_bytes` of
    requests that follow one that runs are not read, and have not run.
    """

    connections: int = 512
    address_fraction: float = 0.5
    ahead_bytes: int = 64 * 1024
    # A body takes this long, and longer at `body_bytes_per_s`, a tenth of the
    # slowest documented link.
    body_timeout_s: float = 60.0
    body_bytes_per_s: float = 64.0 * 1024
    # A response of which no more is read in this time is given up.
    read_stall_s: float = 30.0
    # After a refusal the rest of the request is discarded for this long and
    # up to this size: closing with unread bytes would reset the connection,
    # and the caller could lose the response.
    linger_s: float = 1.0
    linger_bytes: int = 1024 * 1024
    # Fields of a head up to this number are part of a connection's memory.
    free_fields: int = 64
    # Memory of a field, as the parser has it, as the handler gets it and as
    # it is sent on.
    field_bytes: int = 500


def entry_limits(
    *, memory_bytes: int | None, descriptors: int | None
) -> CallerLimits:
    """Return the limits of the clients' listener."""
    count = int(_ENTRY_FRACTION * _sockets(descriptors))
    if memory_bytes is not None:
        room = max(memory_bytes - REST_BYTES, memory_bytes // 10)
        of_memory = int(room * _CONNECTION_MEMORY_FRACTION / CONNECTION_BYTES)
        count = min(count, of_memory)
    return CallerLimits(connections=max(_SERVICE_CONNECTIONS_MIN, count))


def service_limits(*, descriptors: int | None) -> CallerLimits:
    """Return the limits of the readiness, look-up and metrics listeners."""
    count = int(_SERVICE_FRACTION * _sockets(descriptors))
    return CallerLimits(
        connections=min(
            _SERVICE_CONNECTIONS_MAX, max(_SERVICE_CONNECTIONS_MIN, count)
        ),
        linger_bytes=64 * 1024,
        linger_s=0.3,
    )


def _sockets(descriptors: int | None) -> int:
    return max(0, (descriptors or DESCRIPTORS_DEFAULT) - FILE_DESCRIPTORS)
