"""Tests of positions in the changes of a store."""

import unittest

from nose2.tools import params

from chiverun.core.revisions import ERA_MAX
from chiverun.core.revisions import era_of
from chiverun.core.revisions import make_revision
from chiverun.core.revisions import STORE_REVISION_MAX
from chiverun.core.revisions import store_revision_of


class RevisionTest(unittest.TestCase):
    @params((0, 0), (0, 39), (1, 1), (ERA_MAX, STORE_REVISION_MAX))
    def test_parts_are_kept(self, era, store_revision) -> None:
        """Guards against a revision of another era or number."""
        revision = make_revision(era, store_revision)
        parts = (era_of(revision), store_revision_of(revision))
        self.assertEqual((era, store_revision), parts)
        self.assertLess(revision, 2**63)

    @params(
        ((1, 39), (2, 1)), ((1, STORE_REVISION_MAX), (2, 0)), ((0, 9), (1, 9))
    )
    def test_later_era_is_larger(self, earlier, later) -> None:
        """Guards against records that look old after a restoration."""
        self.assertLess(make_revision(*earlier), make_revision(*later))
