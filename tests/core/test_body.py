"""Tests of bodies that are kept in pieces."""

import unittest

from nose2.tools import params

from chiverun.core.body import Body
from chiverun.core.body import PIECE_BYTES
from chiverun.core.body import pieces_of
from chiverun.core.bytebudget import ByteBudget


class BodyTest(unittest.TestCase):
    # Guards against a body that is not the one that was received, and against
    # an object for each of many small parts.
    @params((1, 1000), (100, 3000), (PIECE_BYTES, 5), (20_000, 9))
    def test_pieces(self, size, count):
        parts = [bytes([i % 256]) * size for i in range(count)]
        body = Body()
        for part in parts:
            body.add(part)
        whole = b"".join(parts)
        self.assertEqual(len(whole), len(body))
        self.assertLessEqual(
            len(list(body.pieces())), 1 + 4 * len(whole) // PIECE_BYTES
        )
        self.assertEqual(whole[:70_000], body[:70_000])
        done = body.complete()
        self.assertEqual(whole, bytes(done))
        self.assertEqual(whole, b"".join(pieces_of(done)))
        self.assertEqual(0, len(body))

    def test_holding_ends_with_the_body(self):
        """Guards against bytes that stay counted for a dropped response."""
        budget = ByteBudget()
        body = Body()
        body.holding = budget.hold(lambda: None)
        body.holding.grow(5)
        del body
        self.assertEqual(0, budget.used)
