"""Texts of HTTP heads: one codec for those received and those sent.

Each byte of a field value stands for the character of the same number
(Latin-1), so that whatever one peer sends reaches another one unchanged.
"""

import re
import urllib.parse
from collections.abc import Iterable

Headers = list[tuple[str, str]]
EncodedHeaders = list[tuple[bytes, bytes]]

_CODING = "latin-1"
# Control characters end a line for one reader or another.
_FIELD_VALUE = re.compile(
    r"[^\x00-\x20\x7f](?:[^\x00-\x08\x0a-\x1f\x7f]*"
    r"[^\x00-\x20\x7f])?"
)
_LINE_FOLD = re.compile(r"[ \t]*[\r\n]+[ \t]*")
# Visible ASCII characters, which a request target may have.
_TARGET_CHARACTERS = "".join(map(chr, range(0x21, 0x7F)))


def decode_headers(rows: Iterable[tuple[bytes, bytes]]) -> Headers:
    """Return received headers as texts."""
    return [
        (name.decode(_CODING), value.decode(_CODING)) for name, value in rows
    ]


def encode_headers(headers: Iterable[tuple[str, str]]) -> EncodedHeaders:
    """Return headers as bytes to send.

    Raises
    ------
    UnicodeEncodeError
        If a text is not Latin-1; no received one is.
    """
    return [
        (name.encode(_CODING), value.encode(_CODING))
        for name, value in headers
    ]


def is_field_value(text: str) -> bool:
    """Return whether a text can be the value of a header."""
    try:
        text.encode(_CODING)
    except UnicodeEncodeError:
        return False
    return _FIELD_VALUE.fullmatch(text) is not None


def unfold(value: str) -> str:
    """Return a value that was folded over several lines as one line."""
    return _LINE_FOLD.sub(" ", value)


def encode_target(target: str) -> str:
    """Percent-encode what a request target cannot have (RFC 3986).

    Such characters stand in the paths that operators declare, not in those
    that callers send.
    """
    return urllib.parse.quote(target, safe=_TARGET_CHARACTERS)
