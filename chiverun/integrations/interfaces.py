"""Interfaces to outside systems, which core and runtime depend on."""

import dataclasses
from collections.abc import Callable
from typing import Protocol

from chiverun.core.ids import Address
from chiverun.core.ids import ServerName


@dataclasses.dataclass(frozen=True, kw_only=True)
class Item:
    """A value of the key-value store with its modification index."""

    key: str
    value: bytes
    index: int


class StoreUnavailable(Exception):
    """The store did not take the call; nothing was written."""


class StoreAnswerLost(Exception):
    """A write was sent and its answer did not arrive; it may be in force."""


class KeyValueStore(Protocol):
    """The platform's key-value store.

    Reads raise `StoreUnavailable`; writes raise `StoreUnavailable` when the
    write provably did not take effect and `StoreAnswerLost` otherwise.
    """

    def get(
        self, key: str, *, index: int = 0, wait_s: float = 0.0
    ) -> Item | None:
        """Read a key; with `index`, wait until its index is past it."""
        ...

    def put(self, key: str, value: bytes, *, cas: int) -> bool:
        """Write if the key's index is `cas`; 0 creates only."""
        ...

    def delete(self, key: str, *, cas: int) -> bool: ...

    def keys(self, prefix: str) -> list[str]: ...


class InstanceList(Protocol):
    """The platform's lagging list of live and leaving instances."""

    def leaving(self) -> frozenset[ServerName]:
        """Return the listed instances that are leaving, in one call.

        Raises `StoreUnavailable` when the list could not be read.
        """
        ...


class PeerTransport(Protocol):
    """Datagram-like messages between instances; loss is allowed."""

    def start(self, receive: Callable[[bytes], None]) -> None: ...

    def send(self, address: Address, payload: bytes) -> None: ...

    def stop(self) -> None: ...
