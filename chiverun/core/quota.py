"""Outcome of checking a request against the quota of its client account."""

import dataclasses
import enum
from typing import Protocol

from chiverun.core.catalog import ClientAccount


@dataclasses.dataclass(frozen=True, kw_only=True)
class Admitted:
    """The request may run; its token is used unless it is given back."""


class QuotaReason(enum.Enum):
    """Why there is no token for a request."""

    EXHAUSTED = "exhausted"
    NO_ANSWER = "no-answer"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Exceeded:
    """The account is over its limit.

    `wait_s` is the time in seconds until a token is expected.
    """

    wait_s: float
    reason: QuotaReason = QuotaReason.EXHAUSTED


class AccountQuotas(Protocol):
    """Admits requests within the limits of client accounts."""

    async def admit(
        self, account: ClientAccount, deadline: float
    ) -> Admitted | Exceeded:
        """Admit a request; `deadline` is in event loop time."""

    def give_back(self, account: ClientAccount) -> None:
        """Return what an admitted request that did not run has used."""


class Unlimited:
    """Quotas that no request exceeds."""

    async def admit(
        self, account: ClientAccount, deadline: float
    ) -> Admitted | Exceeded:
        """Admit every request."""
        return Admitted()

    def give_back(self, account: ClientAccount) -> None:
        """Do nothing."""
