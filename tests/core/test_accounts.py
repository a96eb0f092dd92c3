"""Tests of client accounts by key."""

import unittest

from nose2.tools import params

from chiverun.core.accounts import AccountTable
from chiverun.core.accounts import digest_of
from chiverun.core.accounts import KnownKey
from chiverun.core.accounts import UndecidedKey
from chiverun.core.accounts import UnknownKey
from chiverun.core.catalog import ClientAccount

_MILL = ClientAccount(
    name="mill", key_digests=(digest_of("k1"), digest_of("k2"))
)
_BROKEN = ClientAccount(
    name="club", key_digests=(digest_of("k3"),), fault="ratePerS: -1"
)
_KEYLESS = ClientAccount(name="", key_digests=(), fault="no list")


class AccountTableTest(unittest.TestCase):
    @params(
        # (accounts, key, kind of owner)
        ((_MILL, _BROKEN), "k1", KnownKey),
        ((_MILL, _BROKEN), "k2", KnownKey),
        ((_MILL, _BROKEN), "k3", UndecidedKey),
        ((_MILL, _BROKEN), "other", UnknownKey),
        ((_MILL, _BROKEN), "", UnknownKey),
        ((_MILL, _BROKEN), None, UnknownKey),
        # Any key may be one that cannot be read.
        ((_MILL, _KEYLESS), "other", UndecidedKey),
        ((_MILL, _KEYLESS), "k1", KnownKey),
        ((_MILL, _KEYLESS), None, UnknownKey),
        ((), "k1", UnknownKey),
    )
    def test_owner(self, accounts, key, kind) -> None:
        """Guards against a caller that is taken for another account."""
        owner = AccountTable(accounts).owner(key)
        self.assertIsInstance(owner, kind)
        if kind is KnownKey:
            self.assertEqual("mill", owner.account.name)

    def test_keys_are_required_only_with_accounts(self) -> None:
        """Guards against a deployment without accounts that refuses all."""
        self.assertFalse(AccountTable(None).is_required)
        self.assertTrue(AccountTable(()).is_required)
