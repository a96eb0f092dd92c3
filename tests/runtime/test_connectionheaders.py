"""Tests of headers that concern one connection."""

import unittest

from chiverun.runtime.connectionheaders import end_to_end
from chiverun.runtime.connectionheaders import idle_limit_s
from chiverun.runtime.connectionheaders import KEEP_ALIVE_DEFAULT_S

_KNOWN_S = 9.0


class ConnectionHeadersTest(unittest.TestCase):
    def test_idle_limit(self):
        """Guards against an odd idle timeout that is believed for good."""
        rows = {
            "stated": ([("Keep-Alive", "timeout=5, max=9")], 4.5),
            "short": ([("Keep-Alive", "timeout=0")], 0.0),
            "none stated": ([("Server", "x")], KEEP_ALIVE_DEFAULT_S),
            "closes": ([("Connection", "Close")], _KNOWN_S),
            "too long": ([("Keep-Alive", f"timeout={10**9}")], _KNOWN_S),
            "too many digits": (
                [("Keep-Alive", "timeout=" + "7" * 5000)],
                _KNOWN_S,
            ),
            "no digit": ([("Keep-Alive", "timeout=\xb2")], _KNOWN_S),
            "no timeout": ([("Keep-Alive", "max=9")], _KNOWN_S),
        }
        for name, (headers, expected) in rows.items():
            with self.subTest(name):
                self.assertEqual(expected, idle_limit_s(headers, _KNOWN_S))

    def test_headers_of_a_connection_are_dropped(self):
        """Guards against headers that hold for the caller's connection."""
        headers = [
            ("Host", "a"),
            ("Connection", "X-Own, host"),
            ("X-Own", "1"),
            ("TE", "trailers"),
            ("Content-Length", "3"),
            ("Accept", "*/*"),
        ]
        self.assertEqual(
            [("Host", "a"), ("Accept", "*/*")], end_to_end(headers)
        )
