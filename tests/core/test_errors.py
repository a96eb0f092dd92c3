"""Tests that docs/RESULT-CODES.md describes each result code."""

import pathlib
import re
import unittest

from chiverun.core.errors import ResultCode

_PAGE = pathlib.Path(__file__).parents[2] / "docs" / "RESULT-CODES.md"
_ROW = re.compile(r"^\| (\d+) \| ([A-Z_]+) \|(.*)\|$", re.MULTILINE)


class ResultCodesPageTest(unittest.TestCase):
    def test_page_and_enum_agree(self):
        """Guards against a missing, wrong or partly described code."""
        rows = _ROW.findall(_PAGE.read_text())
        listed = [(int(code), name) for code, name, _ in rows]
        self.assertEqual([(c.value, c.name) for c in ResultCode], listed)
        for _, name, rest in rows:
            cells = [cell.strip() for cell in rest.split("|")]
            self.assertEqual(3, len(cells), name)
            self.assertTrue(all(cells), name)
