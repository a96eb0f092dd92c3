"""Tests of the codec of header values."""

import unittest

import h11
from nose2.tools import params

from chiverun.core.headertext import decode_headers
from chiverun.core.headertext import encode_headers
from chiverun.core.headertext import encode_target
from chiverun.core.headertext import is_field_value
from chiverun.core.headertext import unfold

_ALL_BYTES = bytes(b for b in range(256) if b not in b"\x00\r\n")
_VALUES = {
    "i-1": True,
    "i 1": True,
    "i-\xe7": True,
    "x" * 200: True,
    "": False,
    " i": False,
    "i ": False,
    "i\t": False,
    "a\r\nb": False,
    "a\nb": False,
    "a\x00b": False,
    "a\x7fb": False,
    "i-\u0142": False,
    "i-\ud800": False,
}


class HeaderTextTest(unittest.TestCase):
    def test_all_bytes_pass_through(self):
        """Guards against a received value that cannot be sent on."""
        rows = [(b"X-A", _ALL_BYTES)]
        self.assertEqual(rows, encode_headers(decode_headers(rows)))

    @params(*_VALUES)
    def test_field_value(self, text):
        """Guards against an id that no header can carry."""
        self.assertEqual(_VALUES[text], is_field_value(text))
        if _VALUES[text]:
            headers = encode_headers([("Host", "x"), ("X-A", text)])
            h11.Request(method="GET", target="/", headers=headers)

    @params(
        ("/a/b?c=%2F&d", "/a/b?c=%2F&d"),
        ("/caf\xe9/\u0142 x", "/caf%C3%A9/%C5%82%20x"),
        ("/a\r\nb", "/a%0D%0Ab"),
    )
    def test_target(self, target, encoded):
        """Guards against a declared path that no request can have."""
        self.assertEqual(encoded, encode_target(target))
        h11.Request(
            method="GET", target=encode_target(target), headers=[("Host", "x")]
        )

    @params(
        ("a\r\n  b", "a b"),
        ("a \n\tb", "a b"),
        ("a\rb", "a b"),
        ("a b", "a b"),
    )
    def test_unfold(self, value, unfolded):
        """Guards against a folded value that splits a head."""
        self.assertEqual(unfolded, unfold(value))
