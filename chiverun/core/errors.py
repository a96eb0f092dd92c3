"""Numbered result codes and the exception that carries them.

docs/RESULT-CODES.md describes the codes for operators and callers.
"""

import enum

import msgspec

# What decoding of untrusted data can raise; the last one for data that is
# nested too deeply.
DECODE_ERRORS = (msgspec.MsgspecError, ValueError, RecursionError)


class Outcome(enum.Enum):
    """Known outcome of a request."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class ResultCode(enum.IntEnum):
    """Result codes, grouped by hundreds.

    1xx input, 2xx tickets, 3xx admission, 4xx exchanges with backend servers
    and peers, 5xx idempotency, 6xx platform, 7xx instance state.
    """

    OK = 0
    USAGE = 100
    FILE_NOT_READABLE = 101
    SETTING_UNKNOWN = 102
    SETTING_MISSING = 103
    SETTING_INVALID = 104
    REQUEST_MALFORMED = 110
    SERVICE_UNKNOWN = 111
    CLASS_UNKNOWN = 112
    DEADLINE_INVALID = 113
    CLIENT_INVALID = 114
    ROUTE_UNREADABLE = 115
    API_KEY_UNKNOWN = 117
    API_KEY_UNDECIDED = 118
    ACCOUNT_HOMES_DISJOINT = 119
    STATE_PART_INVALID = 120
    TICKET_MALFORMED = 200
    TICKET_INVALID = 201
    TICKET_OUT_OF_ORDER = 202
    TICKET_LOST_RACE = 203
    TICKET_OUTCOME_UNKNOWN = 204
    TICKET_NOT_FOUND = 205
    STORE_BEHIND = 206
    TICKET_FORK = 207
    TICKET_TOO_LARGE = 208
    NO_CAPACITY = 300
    DEADLINE_UNREACHABLE = 301
    QUEUE_FULL = 302
    SHIFT_CAP = 303
    LINK_CAP = 304
    NO_SEAT = 305
    NO_ZONE_REACHABLE = 306
    QUOTA_EXCEEDED = 307
    CALLER_MEMORY = 309
    CALLER_CONNECTIONS = 310
    CALLER_TOO_SLOW = 311
    BACKEND_SHED = 400
    BACKEND_UNREACHABLE = 401
    BACKEND_RESET = 402
    BACKEND_TIMEOUT = 403
    ANSWER_INCOMPLETE = 404
    ANSWER_MISMATCH = 405
    ANSWER_TOO_LARGE = 406
    SERVER_LIMIT_INVALID = 407
    REQUEST_ENDS_SERVERS = 408
    KEY_REQUIRED = 500
    KEY_UNKNOWN = 501
    KEY_OTHER_LIFE = 502
    KEY_IN_PROGRESS = 503
    KEY_REUSED = 504
    KEY_OUTCOME_UNKNOWN = 505
    KEY_ANSWER_GONE = 506
    STORE_UNAVAILABLE = 600
    STORE_ANSWER_LOST = 601
    NO_INSTANCE_REACHABLE = 602
    NOT_READY = 700
    LEAVING = 701
    PORT_IN_USE = 702
    INTERNAL = 799


class ChiverunError(Exception):
    """An error with a numbered result code.

    Parameters
    ----------
    code : ResultCode
    message : str
        One line with the invalid value and the valid values.
    """

    def __init__(self, code: ResultCode, message: str) -> None:
        super().__init__(message)
        self.code = code
        self.message = message

    def __str__(self) -> str:
        return f"{self.code.name} ({int(self.code)}): {self.message}"
