"""Tests of an edge instance that reads odd records among those of others."""

import asyncio
import json

from tests.adapter.edgecase import build_request
from tests.adapter.edgecase import call
from tests.adapter.edgecase import EdgeCase
from tests.adapter.examples import server_entry

# A confirmed change is in force everywhere after this time.
_IN_FORCE_S = 3.0
_REQUESTS = 30
_HUGE = 10**30
_DIGITS = "9" * 400
# Entries of servers by name, each with one value that a server never writes.
_SERVERS = {
    "deep": b"[" * 100_000,
    "slots": server_entry(slots=_HUGE),
    "many-slots": server_entry(slots=2**62),
    "born": server_entry(born=_HUGE),
    "zone": server_entry(zone="\ud800"),
    "service": server_entry(service="\udfff"),
    "port": server_entry(address="127.0.0.1:70000"),
    "long-port": server_entry(address=f"127.0.0.1:{_DIGITS}"),
    "superscript-port": server_entry(address="127.0.0.1:8\u00b2"),
    "port-0": server_entry(address="127.0.0.1:0"),
    "host-nul": server_entry(address="127.0.0.1\x00:80"),
    "host-name": server_entry(address="works.example:80"),
    "cold": server_entry(coldLeft=f"{_DIGITS}s"),
    "cold-long": server_entry(coldLeft=f"1{'0' * 300}s"),
    "infinite": server_entry().replace(b'"slots": 4', b'"slots": 1e400'),
}
_MACHINE = {
    "name": "m",
    "peer": "127.0.0.1:1",
    "entry": "127.0.0.1:2",
    "zone": "musanze-a",
    "region": "amajyaruguru",
    "capacity": 1.0,
}
# Records of machines by name, in the same way.
_MACHINES = {
    "peer": {"peer": "127.0.0.1:99999"},
    "peer-host": {"peer": "x\x00y:80"},
    "entry": {"entry": "y:-1"},
    "capacity": {"capacity": -1},
    "huge-capacity": {"capacity": 1e308},
    "zone": {"zone": "\ud800"},
    "other-name": {"name": "somebody"},
}


class EdgeOddRecordsTest(EdgeCase):
    async def _write_odd_records(self) -> None:
        for name, entry in _SERVERS.items():
            await self.store.put(f"servers/odd-{name}", entry)
        for name, odd in _MACHINES.items():
            body = {**_MACHINE, "name": f"odd-{name}", **odd}
            key = f"chiverun/machines/odd-{name}"
            await self.store.put(key, json.dumps(body).encode())
        await self.store.put("op/evacuate/\ud800", b"{}")
        await self.store.put("servers/\ud800", server_entry())

    async def _are_served(self) -> None:
        for number in range(_REQUESTS):
            raw = build_request(f"/read/{number}", f"r{number}")
            response = await call(self.listen["front"], raw)
            self.assertEqual(200, response.status)

    async def _assert_followed(self) -> None:
        """Check that a new state is in force, whose route is new."""
        await self._put_route(9, "/new/")
        async with asyncio.timeout(_IN_FORCE_S):
            raw = build_request("/new/a")
            while (await call(self.listen["front"], raw)).status != 200:
                await asyncio.sleep(0.1)

    async def test_odd_records_change_nothing_for_others(self) -> None:
        """Guards against one record that ends or stalls all who read it."""
        await self._start_until_ready()
        await self._write_odd_records()
        await asyncio.sleep(1.0)
        await self._are_served()
        await self._assert_followed()
        self.assertIsNone(self.process.returncode)

    async def test_odd_records_are_there_at_the_start(self) -> None:
        """Guards against an instance that never becomes ready."""
        await self._write_odd_records()
        await self._start_until_ready()
        await self._are_served()
        await self._assert_followed()
        self.assertIsNone(self.process.returncode)
