"""Interfaces to external systems that core and runtime depend on."""

import dataclasses
from collections.abc import Callable
from typing import Protocol

from chiverun.core.ids import Address
from chiverun.core.ids import ServerName


@dataclasses.dataclass(frozen=True, kw_only=True)
class Item:
    """A key of the key-value store with its value and modify index."""

    key: str
    value: bytes
    index: int


class StoreUnavailable(Exception):
    """Raised when the store rejects a call; nothing has been written."""


class StoreAnswerLost(Exception):
    """Raised when the response to a write is lost.

    The write may have taken effect.
    """


class KeyValueStore(Protocol):
    """The platform's key-value store.

    Reads raise `StoreUnavailable`; writes raise `StoreUnavailable` when the
    write provably did not take effect and `StoreAnswerLost` otherwise.
    """

    def get(
        self, key: str, *, index: int = 0, wait_s: float = 0.0
    ) -> Item | None:
        """Read a key; if `index` is given, wait for a higher modify index."""
        ...

    def put(self, key: str, value: bytes, *, cas: int) -> bool:
        """Write if the key's modify index is `cas`, 0 if it does not exist.

        Return whether it was written.
        """
        ...

    def delete(self, key: str, *, cas: int) -> bool: ...

    def keys(self, prefix: str) -> list[str]: ...


class InstanceList(Protocol):
    """The platform's list of live and leaving instances, which may lag."""

    def leaving(self) -> frozenset[ServerName]:
        """Return the listed instances that are leaving, in one call.

        Raises
        ------
        StoreUnavailable
            If the list cannot be read.
        """
        ...


class PeerTransport(Protocol):
    """Datagram-like messages between instances, which may be lost."""

    def start(self, receive: Callable[[bytes], None]) -> None: ...

    def send(self, address: Address, payload: bytes) -> None: ...

    def stop(self) -> None: ...
