"""Backend servers for tests."""

from chiverun.core.catalog import Server
from chiverun.core.catalog import ServerState
from chiverun.core.coldlimit import ColdLimit
from chiverun.core.health import ServerHealth
from chiverun.runtime.servertable import ServerRow


def make_server(name: str = "s1", **changes) -> Server:
    """Return a server's record; `changes` replace single fields."""
    values = {
        "name": name,
        "service": "mill",
        "address": "10.1.0.1:80",
        "zone": "z",
        "slots": 4,
        "state": ServerState.READY,
        "cold_left_s": 0.0,
        "started_ms": 1,
    }
    return Server(**{**values, **changes})


def make_row(
    server: Server, *, region: str = "r", machine: str = "m"
) -> ServerRow:
    """Return the row of a server in the table of a machine."""
    return ServerRow(
        server=server,
        region=region,
        health=ServerHealth(name=server.name, address=server.address),
        cold=ColdLimit(server=server.name, machine=machine),
    )
