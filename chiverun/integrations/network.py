"""Parsing of addresses and their translation between networks."""

from collections.abc import Mapping

from chiverun.core.ids import Address


class AddressMap:
    """Maps announced addresses to addresses reachable from this process."""

    def __init__(self, *, mapping: Mapping[Address, Address]) -> None:
        self._mapping = dict(mapping)

    def translate(self, address: Address) -> Address:
        """Return the address to connect to."""
        return self._mapping.get(address, address)


def split_address(address: Address) -> tuple[str, int]:
    """Split ``ip:port`` into host and port."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
