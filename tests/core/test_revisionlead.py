"""Tests of how a wrong revision is told from a late message."""

import unittest

from chiverun.core.revisionlead import LEAD_MAX_S
from chiverun.core.revisionlead import RevisionLead

_LATE_S = LEAD_MAX_S + 0.1


class RevisionLeadTest(unittest.TestCase):
    def test_lead_lasts_until_another_reaches_it(self):
        """Guards against a replica that goes back because of a late update."""
        rows = {
            "nothing heard": ([], False),
            "one late update": ([(0.0, 4)], True),
            "reached meanwhile": ([(0.0, 4), (1.0, 5), (2.0, 4)], False),
            "behind all the time": ([(0.0, 4), (1.0, 4), (5.0, 4)], True),
            "equal": ([(0.0, 5)], False),
            "ahead": ([(0.0, 6)], False),
        }
        for name, (updates, expected) in rows.items():
            with self.subTest(name):
                lead = RevisionLead()
                for at, as_of in updates:
                    lead.note_update(as_of, known=5, now=at)
                self.assertFalse(lead.is_too_long(LEAD_MAX_S))
                self.assertEqual(expected, lead.is_too_long(_LATE_S))

    def test_lead_starts_over(self):
        """Guards against a second change for the same late updates."""
        lead = RevisionLead()
        lead.note_update(4, known=5, now=0.0)
        lead.end()
        self.assertFalse(lead.is_too_long(_LATE_S))
