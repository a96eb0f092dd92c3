"""Tests of the identification of callers."""

import unittest

import msgspec
from nose2.tools import params

from chiverun.core.accounts import AccountTable
from chiverun.core.accounts import digest_of
from chiverun.core.accounts import UndecidedKey
from chiverun.core.accounts import UnknownKey
from chiverun.core.catalog import ClientAccount
from chiverun.core.catalog import Route
from chiverun.runtime.callers import Caller
from chiverun.runtime.callers import Callers
from chiverun.runtime.callers import DisjointHomes
from chiverun.runtime.headercodec import RequestMetadata

_ROUTE = Route(
    name="r",
    host="h",
    prefix="/",
    repeatable=True,
    parts=(),
    timeout_s=1.0,
    objective_s=0.3,
    attempts=1,
    priority=0,
    sticky=False,
    homes=(),
)
_ACCOUNT = ClientAccount(name="mill", key_digests=(digest_of("k1"),))


def _metadata(key: str | None) -> RequestMetadata:
    return RequestMetadata(
        request_id="1", affinity_key="", deadline_s=None, api_key=key
    )


class CallersTest(unittest.TestCase):
    def _callers(self, *, age_s=0.0, trust_s=None, account=_ACCOUNT):
        callers = Callers(catalog_age_s=lambda: age_s, key_trust_s=trust_s)
        callers.accounts = AccountTable((account,))
        return callers

    @params(
        # (key, age of the catalog, trust in keys, kind of result)
        ("k1", 0.0, None, Caller),
        ("new", 0.0, None, UnknownKey),
        (None, 0.0, None, UnknownKey),
        # Out of touch: a key may be new, and a known one stays valid.
        ("new", 3.0, None, UndecidedKey),
        (None, 3.0, None, UnknownKey),
        ("k1", 60.0, None, Caller),
        ("k1", 4.0, 5.0, Caller),
        ("k1", 6.0, 5.0, UndecidedKey),
    )
    def test_key_is_judged_by_what_is_known(
        self, key, age_s, trust_s, kind
    ) -> None:
        """Guards against an old catalog that turns valid keys away."""
        callers = self._callers(age_s=age_s, trust_s=trust_s)
        self.assertIsInstance(callers.identify(_metadata(key), _ROUTE), kind)

    def test_public_route_needs_no_key(self) -> None:
        """Guards against a key or an account that is passed on there."""
        route = msgspec.structs.replace(_ROUTE, public=True)
        caller = self._callers().identify(_metadata(None), route)
        self.assertIsNone(caller.account)
        self.assertIsNone(caller.identity.account)

    @params(
        # (homes of the route, homes of the account, permitted regions)
        ((), (), ()),
        (("a", "b"), (), ("a", "b")),
        ((), ("b",), ("b",)),
        (("a", "b"), ("b", "c"), ("b",)),
        (("a",), ("b",), None),
    )
    def test_homes_of_both_bind(self, route, account, expected) -> None:
        """Guards against a request that leaves the homes of either."""
        callers = self._callers(
            account=msgspec.structs.replace(_ACCOUNT, homes=account)
        )
        result = callers.identify(
            _metadata("k1"), msgspec.structs.replace(_ROUTE, homes=route)
        )
        if expected is None:
            self.assertIsInstance(result, DisjointHomes)
        else:
            self.assertEqual(expected, result.permitted_regions)

    @params(
        # (accounts after the change, whether the key is revoked)
        ((_ACCOUNT,), False),
        ((), True),
        ((msgspec.structs.replace(_ACCOUNT, name="club"),), True),
        (None, False),
    )
    def test_key_taken_away_while_a_request_waits(
        self, accounts, expected
    ) -> None:
        """Guards against a retry of a request whose key was revoked."""
        callers = self._callers()
        callers.accounts = AccountTable(accounts)
        self.assertEqual(
            expected, callers.is_revoked(_metadata("k1"), _ACCOUNT)
        )
