"""Headers that concern one connection and are not passed on."""

from chiverun.core.headertext import Headers
from chiverun.core.statednumbers import KEEP_ALIVE_S
from chiverun.core.statednumbers import parse_whole

# Idle timeout of a server that sends no Keep-Alive header.
KEEP_ALIVE_DEFAULT_S = 4.0
# Idle connections are discarded this long before the server closes them.
_KEEP_ALIVE_MARGIN_S = 0.5

_HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
_OWN_FRAMING = frozenset({"content-length", "expect"})


def end_to_end(headers: Headers) -> Headers:
    """Return the end-to-end headers, without hop-by-hop and framing ones."""
    listed = {
        token.strip().lower()
        for name, value in headers
        if name.lower() == "connection"
        for token in value.split(",")
    }
    dropped = _HOP_BY_HOP | _OWN_FRAMING | (listed - {"host"})
    return [
        (name, value) for name, value in headers if name.lower() not in dropped
    ]


def idle_limit_s(headers: Headers, known_s: float) -> float:
    """Return for how long connections to a server may be idle, in seconds.

    A response that states no time ends what earlier ones have stated, unless
    it closes its connection. One that cannot be read changes nothing.
    """
    values = {name.lower(): value for name, value in headers}
    if "keep-alive" in values:
        stated_s = _parse_keep_alive(values["keep-alive"])
        if stated_s is None:
            return known_s
        return max(0.0, stated_s - _KEEP_ALIVE_MARGIN_S)
    if "close" in values.get("connection", "").lower():
        return known_s
    return KEEP_ALIVE_DEFAULT_S


def _parse_keep_alive(value: str) -> int | None:
    """Return the timeout in seconds, None if none is stated."""
    for part in value.split(","):
        key, _, text = part.strip().partition("=")
        if key == "timeout":
            return parse_whole(text, KEEP_ALIVE_S)
    return None
