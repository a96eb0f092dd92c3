"""Strict parsing of the header lines of a request."""

import re

from cheroot import server as cheroot_server

_HEADER_LINE_PATTERN = re.compile(
    rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+:[\t\x20-\x7e\x80-\xff]*\r\n"
)
# Rejects overlong numbers before they are converted.
_LENGTH_PATTERN = re.compile(rb"[0-9]{1,18}")
_SINGLETON_HEADERS = frozenset(
    {
        b"content-length",
        b"host",
        b"idempotency-key",
        b"transfer-encoding",
        b"x-chiverun-class",
        b"x-chiverun-exchange",
        b"x-chiverun-source",
        b"x-deadline-epoch-ms",
        b"x-deadline-ms",
        b"x-request-id",
    }
)


class HeaderReader(cheroot_server.HeaderReader):
    """Rejects ambiguous headers, which allow request smuggling.

    If two HTTP implementations disagree on a body's length, one of them
    parses the rest of a request as another request. Header names with an
    underscore are dropped, since WSGI maps them to names with a hyphen.
    """

    def __init__(self, *, has_sent_continue: bool = False) -> None:
        self._has_sent_continue = has_sent_continue

    def __call__(self, rfile, hdict=None):
        headers = super().__call__(_HeaderLineReader(rfile), hdict)
        length = headers.get(b"Content-Length")
        coding = headers.get(b"Transfer-Encoding")
        if length is not None and not _LENGTH_PATTERN.fullmatch(length):
            raise ValueError("Malformed Content-Length.")
        if coding is not None and coding != b"chunked":
            raise ValueError("Transfer-Encoding other than chunked.")
        if length is not None and coding is not None:
            raise ValueError("Content-Length with Transfer-Encoding.")
        if self._has_sent_continue:
            headers.pop(b"Expect", None)
        return headers

    def _allow_header(self, key_name: bytes) -> bool:
        return b"_" not in key_name


class _HeaderLineReader:
    """Reads header lines; rejects folded, malformed and repeated ones."""

    def __init__(self, rfile) -> None:
        self._rfile = rfile
        self._names: set[bytes] = set()

    def readline(self, *args):
        line = self._rfile.readline(*args)
        if line in (b"", b"\r\n"):
            return line
        if not _HEADER_LINE_PATTERN.fullmatch(line):
            raise ValueError("Malformed header line.")
        name = line.partition(b":")[0].lower()
        if name in _SINGLETON_HEADERS and name in self._names:
            raise ValueError(f"Repeated {name.decode()}.")
        self._names.add(name)
        return line
