"""Tests with a real instance against clients that misbehave.

A crowd keeps its connections open while the process is checked: it lives,
its memory and descriptors are within bounds, and each listener answers an
ordinary request.
"""

import sys
import time

from nose2.tools import params

from tests.integrations.crowds import Caller
from tests.integrations.crowds import Crowd
from tests.integrations.webcase import MEMORY_KIB_MAX
from tests.integrations.webcase import WebCase

_CALLERS = 100
# Descriptors of a process by the default of Linux.
_DESCRIPTORS_MAX = 1024
_SEND_LIMIT_S = 1.5
_BODY_BYTES = 1024 * 1024
_ANSWER_BYTES = 900_000


def _post(path: bytes, fields: bytes) -> bytes:
    return b"POST " + path + b" HTTP/1.1\r\nHost: a\r\n" + fields + b"\r\n"


def _short_fields(size: int) -> bytes:
    """Return distinct short fields of `size` bytes or a little less."""
    fields = b""
    for number in range(size):
        field = b"%x:\r\n" % number
        if len(fields) + len(field) > size:
            break
        fields += field
    return fields


def _sized(path: bytes) -> bytes:
    """Return a request of the largest body without its last byte."""
    head = _post(path, b"Content-Length: %d\r\n" % _BODY_BYTES)
    return head + bytes(_BODY_BYTES - 1)


def _chunked(path: bytes, chunk: bytes, count: int) -> bytes:
    """Return a request in chunks without its end."""
    head = _post(path, b"Transfer-Encoding: chunked\r\n")
    return head + b"%x\r\n%s\r\n" % (len(chunk), chunk) * count


_CROWDS = {
    "silent": lambda _path: Caller(first=b""),
    "part of a head": lambda path: Caller(first=_post(path, b"")[:-2]),
    "dripped head": lambda path: Caller(
        first=b"POST " + path + b" HTTP/1.1\r\nX-A: ", drip=b"a" * 1000
    ),
    "body without its end": lambda path: Caller(first=_sized(path)),
    "dripped body": lambda path: Caller(
        first=_post(path, b"Content-Length: 9999\r\n"), drip=b"a" * 1000
    ),
    "large chunks": lambda path: Caller(
        first=_chunked(path, bytes(60_000), 17)
    ),
    "small chunks": lambda path: Caller(first=_chunked(path, b"a", 100_000)),
    "body over the limit": lambda path: Caller(
        first=_post(path, b"Content-Length: 999999999\r\n")
        + bytes(_BODY_BYTES),
        repeats=True,
    ),
    "endless chunk": lambda path: Caller(
        first=_post(path, b"Transfer-Encoding: chunked\r\n")
        + b"ffffffff\r\n"
        + bytes(_BODY_BYTES),
        repeats=True,
    ),
    "many short fields": lambda path: Caller(
        first=_post(path, _short_fields(15_000))
    ),
    "many short fields without an end": lambda path: Caller(
        first=_post(path, _short_fields(15_000))[:-2]
    ),
    "requests ahead": lambda path: Caller(
        first=b"GET %s HTTP/1.1\r\nHost: a\r\n\r\n" % path * 2000
    ),
    "answers not read": lambda path: Caller(
        first=b"GET %s HTTP/1.1\r\nHost: a\r\n\r\n" % path,
        receive_buffer=4096,
    ),
}
_ENTRY = ("entry", b"/s/s/list")
_LOOKUP = ("lookup", b"/readyz")
_FORWARD = ("forward", b"/f/s/list")
_ROUTES_BY_CROWD = {
    "silent": (_LOOKUP, _ENTRY),
    "part of a head": (_LOOKUP, _ENTRY, _FORWARD),
    "dripped head": (_LOOKUP, _ENTRY),
    "body without its end": (
        _LOOKUP,
        _ENTRY,
        ("entry", b"/unknown"),
        _FORWARD,
    ),
    "dripped body": (_ENTRY,),
    "large chunks": (_ENTRY, _FORWARD),
    "small chunks": (_ENTRY,),
    "body over the limit": (_LOOKUP, _ENTRY),
    "endless chunk": (_ENTRY,),
    "many short fields": (_ENTRY,),
    "many short fields without an end": (_ENTRY,),
    "requests ahead": (("lookup", b"/unknown"), _ENTRY),
    "answers not read": (_ENTRY,),
}
_ROWS = tuple(
    (listener, path, crowd)
    for crowd, routes in _ROUTES_BY_CROWD.items()
    for listener, path in routes
)


class CrowdTest(WebCase):
    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        cls.http.request(
            "POST",
            f"http://{cls._of('backend')}/admin",
            body=b'{"answer_bytes": %d}' % _ANSWER_BYTES,
        )

    @params(*_ROWS)
    def test_crowd(self, listener, path, crowd_name):
        """Guards against clients that end, fill or occupy the process."""
        host, _, port = self._of(listener).rpartition(":")
        crowd = Crowd(
            address=(host, int(port)),
            count=_CALLERS,
            caller=_CROWDS[crowd_name](path),
        )
        self.addCleanup(crowd.close)
        crowd.start()
        crowd.wait(_SEND_LIMIT_S)
        descriptors = self._descriptors()
        began_at = time.monotonic()
        unanswered = self._unanswered()
        print(
            f"{crowd_name} at {listener} {path.decode()}: peak "
            f"{self._memory_kib() // 1024} MiB, {descriptors} descriptors, "
            f"unanswered {unanswered} after "
            f"{time.monotonic() - began_at:.1f} s",
            file=sys.stderr,
        )
        self.assertIsNone(self.process.poll())
        self.assertEqual([], unanswered)
        self.assertLess(self._memory_kib(), MEMORY_KIB_MAX)
        self.assertLess(descriptors, _DESCRIPTORS_MAX)
