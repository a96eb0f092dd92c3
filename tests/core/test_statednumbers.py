"""Tests of numbers that peers state."""

import unittest

from nose2.tools import params

from chiverun.core.statednumbers import COLD_MS
from chiverun.core.statednumbers import is_credible_load
from chiverun.core.statednumbers import is_later_message
from chiverun.core.statednumbers import is_port
from chiverun.core.statednumbers import LIMIT_PER_S
from chiverun.core.statednumbers import LOAD_COUNT
from chiverun.core.statednumbers import parse_decimal
from chiverun.core.statednumbers import parse_size
from chiverun.core.statednumbers import parse_whole
from chiverun.core.statednumbers import PAUSE_S

# Digits that `int` takes or `str.isdigit` is true for.
_ODD_DIGITS = ("\u00b2", "\u0663", "\uff15", "1_0", "+1", "-1", "0x1", "1e3")
_ODD_TEXTS = (
    None,
    "",
    " ",
    "x",
    "nan",
    "inf",
    "7" * 16,
    "7" * 309,
    "7" * 400,
    "7" * 5000,
    "1 2",
    "1\x00",
    *_ODD_DIGITS,
)


class StatedNumbersTest(unittest.TestCase):
    @params(*_ODD_TEXTS)
    def test_odd_text(self, text):
        """Guards against a text that raises, or that becomes a number."""
        self.assertIsNone(parse_whole(text, COLD_MS))
        self.assertIsNone(parse_decimal(text, LIMIT_PER_S))

    @params(("0", 0), ("0012", 12), (" 5\t", 5), ("1000000", 1_000_000))
    def test_whole(self, text, value):
        """Guards against a credible number that is not read."""
        self.assertEqual(value, parse_whole(text, LOAD_COUNT))

    @params(("0", 0.0), ("2.5", 2.5), ("300", 300.0), ("0.000", 0.0))
    def test_decimal(self, text, value):
        """Guards against a credible number that is not read."""
        self.assertEqual(value, parse_decimal(text, PAUSE_S))

    @params(".5", "5.", "1.2.3", "300.1", "86400", "1.\u00b2")
    def test_decimal_that_is_not_credible(self, text):
        """Guards against a pause that is longer than any server's."""
        self.assertIsNone(parse_decimal(text, PAUSE_S))

    @params((b"0\r", 0), (b"1F\r", 31), (b"a ", 10))
    def test_size(self, data, size):
        """Guards against a chunk whose size is not read."""
        self.assertEqual(size, parse_size(data))

    @params(b"", b"0x1f", b"1_0", b"+5", b"-1", b"\xb2", b"f" * 16, b"1 0")
    def test_size_that_is_none(self, data):
        """Guards against a size that another parser reads differently."""
        self.assertIsNone(parse_size(data))

    @params(("1", True), ("65535", True), ("00080", True))
    def test_port(self, text, expected):
        """Guards against a port that is refused."""
        self.assertEqual(expected, is_port(text))

    @params("", "0", "65536", "-1", " 80", "80 ", "\u00b2", "7" * 5000)
    def test_port_that_is_none(self, text):
        """Guards against an address that fails only when it is used."""
        self.assertFalse(is_port(text))

    @params((9, 9, True), (200, 9, True), (10**6, 9, False))
    def test_load(self, requests, slots, is_credible):
        """Guards against a load that keeps a server unused."""
        self.assertEqual(is_credible, is_credible_load(requests, slots))

    @params(
        (5, 4, True),
        (4, 4, False),
        (3, 4, False),
        (5, 2**53, True),
        (10**6, 5, True),
    )
    def test_later_message(self, number, last, is_later):
        """Guards against one wrong number that mutes a process for good."""
        self.assertEqual(is_later, is_later_message(number, last))
