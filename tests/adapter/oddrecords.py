"""Records as another writer may leave them in the store."""

import json

from tests.adapter.examples import server_entry

_HUGE = 10**30
_DIGITS = "9" * 400
# Entries of servers by name, each with one value that a server never writes.
ODD_SERVERS = {
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
_ODD_FIELDS = {
    "peer": {"peer": "127.0.0.1:99999"},
    "peer-host": {"peer": "x\x00y:80"},
    "entry": {"entry": "y:-1"},
    "capacity": {"capacity": -1},
    "huge-capacity": {"capacity": 1e308},
    "zone": {"zone": "\ud800"},
    "other-name": {"name": "somebody"},
}

ODD_MACHINES = {
    name: json.dumps({**_MACHINE, "name": f"odd-{name}", **odd}).encode()
    for name, odd in _ODD_FIELDS.items()
}
