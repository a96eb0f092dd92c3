"""Look-up of the machines that a client should connect to."""

import asyncio
from collections.abc import Callable

from chiverun.core.ids import Address
from chiverun.core.ids import RegionName
from chiverun.core.ids import ZoneName
from chiverun.core.peertable import PeerTable

ADDRESSES_MAX = 64
LOOKUP_TTL_S = 2.0


class Directory:
    """Answers look-ups with machines of the client's region."""

    def __init__(
        self, *, table: PeerTable, leaving: Callable[[], bool]
    ) -> None:
        self._table = table
        self._leaving = leaving
        self._loop = asyncio.get_running_loop()

    def addresses(self, region: RegionName, zone: ZoneName) -> list[Address]:
        """Return entry addresses, starting with those in the client's zone.

        Machines of other regions are returned only if no live machine of
        the client's region is known.
        """
        machines = self._table.live(self._loop.time())
        if not self._leaving():
            machines.append(self._table.me)
        near = [m for m in machines if m.region == region]
        chosen = near or machines or [self._table.me]
        chosen.sort(key=lambda m: (m.zone != zone, m.name))
        return [machine.entry for machine in chosen[:ADDRESSES_MAX]]
