"""Generates the settings files and tickets of the two deployments.

``python -m standins.deployment`` writes the folders under ``deployments/``,
which are committed. Their addresses are in 127.10.0.0/16; a local run
replaces them by a free part of the loopback range.
"""

import dataclasses
import pathlib
import textwrap

ROOT = pathlib.Path(__file__).parent.parent / "deployments"
NETWORK = "127.10."
LOOKUP_PORT = 7001
ENTRY_PORT = 7002
FORWARD_PORT = 7003
PEER_PORT = 7004
SERVER_PORT = 8080
STORE = "127.10.0.1:8500"
SEATS = 12  # of each zone
# Third octet of the source addresses of callers of the first zone.
CALLERS_OCTET = 231


@dataclasses.dataclass(frozen=True, kw_only=True)
class ServiceSpec:
    """A service: its servers, slots and request classes."""

    name: str
    servers: int
    slots: int
    long_slots: int
    read: str
    long_read: str
    write: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Spec:
    """A deployment; its latencies are one-way."""

    name: str
    regions: tuple[str, ...]
    instances_by_zone: tuple[int, ...]
    link_mbit_per_s: int
    zone_ms: float
    region_ms: float
    connections: int
    services: tuple[ServiceSpec, ...]

    def zones(self) -> list[tuple[str, str]]:
        """Return pairs of zone and region."""
        return [(f"{r}-{z}", r) for r in self.regions for z in "ab"]


SPECS = {
    "inzira": Spec(
        name="inzira",
        regions=("amajyaruguru", "amajyepfo", "iburengerazuba"),
        instances_by_zone=(2, 2, 2, 1, 1, 1),
        link_mbit_per_s=4000,
        zone_ms=1.0,
        region_ms=35.0,
        connections=330,
        services=(
            ServiceSpec(
                name="race-works",
                servers=12,
                slots=4,
                long_slots=1,
                read="condition",
                long_read="export",
                write="dispatch",
            ),
            ServiceSpec(
                name="crew-ledger",
                servers=14,
                slots=4,
                long_slots=1,
                read="roster",
                long_read="history",
                write="payment",
            ),
        ),
    ),
    "pwani": Spec(
        name="pwani",
        regions=("dar", "arusha", "mwanza"),
        instances_by_zone=(2, 2, 2, 2, 1, 1),
        link_mbit_per_s=280,
        zone_ms=0.5,
        region_ms=35.0,
        connections=360,
        services=(
            ServiceSpec(
                name="hire-desk",
                servers=14,
                slots=8,
                long_slots=2,
                read="kits",
                long_read="export",
                write="booking",
            ),
            ServiceSpec(
                name="meet-archive",
                servers=16,
                slots=7,
                long_slots=2,
                read="heats",
                long_read="history",
                write="correction",
            ),
        ),
    ),
}


@dataclasses.dataclass(frozen=True, kw_only=True)
class InstanceSpec:
    """An instance and its IP address."""

    name: str
    zone: str
    region: str
    host: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class ServerSpec:
    """A backend server and its address."""

    name: str
    service: ServiceSpec
    zone: str
    region: str
    address: str


def instances(spec: Spec) -> list[InstanceSpec]:
    """Return the instances of a deployment."""
    result = []
    for index, (zone, region) in enumerate(spec.zones()):
        for number in range(spec.instances_by_zone[index]):
            result.append(
                InstanceSpec(
                    name=f"{zone}-{number + 1}",
                    zone=zone,
                    region=region,
                    host=f"{NETWORK}{index + 1}.{10 + number}",
                )
            )
    return result


def servers(spec: Spec) -> list[ServerSpec]:
    """Return the backend servers, assigned to the zones round-robin."""
    zones = spec.zones()
    result = []
    for row, service in enumerate(spec.services):
        for number in range(service.servers):
            index = number % len(zones)
            host = f"{index + 1}.{100 + 50 * row + number // len(zones)}"
            result.append(
                ServerSpec(
                    name=f"{service.name}-{number + 1}",
                    service=service,
                    zone=zones[index][0],
                    region=zones[index][1],
                    address=f"{NETWORK}{host}:{SERVER_PORT}",
                )
            )
    return result


def settings_text(spec: Spec, instance: InstanceSpec) -> str:
    """Return the settings file of an instance."""
    seeds = ", ".join(
        f"{other.host}:{PEER_PORT}"
        for other in instances(spec)
        if other.name != instance.name
    )
    return textwrap.dedent(
        f"""\
        [instance]
        name = {instance.name}
        zone = {instance.zone}
        lookup_address = {instance.host}:{LOOKUP_PORT}
        entry_address = {instance.host}:{ENTRY_PORT}
        forward_address = {instance.host}:{FORWARD_PORT}
        peer_address = {instance.host}:{PEER_PORT}

        [peers]
        seeds = {seeds}

        [platform]
        store = {STORE}
        instance_list = {STORE}

        [lookup]
        ttl_s = 2
        """
    )


def operator_text(spec: Spec) -> str:
    """Return the operators' settings file."""
    addresses = ", ".join(f"{i.host}:{LOOKUP_PORT}" for i in instances(spec))
    return textwrap.dedent(
        f"""\
        [operator]
        store = {STORE}
        instances = {addresses}
        """
    )


def first_ticket(spec: Spec) -> str:
    """Return the first ticket, which declares the whole deployment."""
    parts = [
        'number = 1\nreason = "Declare the deployment"\nauthor = "operations"'
    ]
    parts += [f'[[region]]\nname = "{r}"' for r in spec.regions]
    for zone, region in spec.zones():
        parts.append(
            f'[[zone]]\nname = "{zone}"\nregion = "{region}"\nseats = {SEATS}'
        )
    for source in spec.regions:
        for target in spec.regions:
            if source != target:
                parts.append(
                    f'[[link]]\nname = "{source}-{target}"\n'
                    f'source = "{source}"\ntarget = "{target}"\n'
                    f"mbit_per_s = {spec.link_mbit_per_s}"
                )
    parts += [_service_text(service) for service in spec.services]
    parts += [_server_text(spec, server) for server in servers(spec)]
    for index, (zone, _) in enumerate(spec.zones()):
        parts.append(
            f'[[site]]\nname = "site-{zone}"\nzone = "{zone}"\n'
            f'blocks = ["10.{index + 1}.0.0/16", '
            f'"{NETWORK}{CALLERS_OCTET + index}.0/24"]'
        )
    return "\n\n".join(parts) + "\n"


def _service_text(service: ServiceSpec) -> str:
    return textwrap.dedent(
        f"""\
        [[service]]
        name = "{service.name}"

        [[service.classes]]
        name = "{service.read}"
        methods = ["GET"]
        path_prefix = "/{service.read}"
        repeatable = true
        attempts = 3
        deadline_ms = 2000

        [[service.classes]]
        name = "{service.long_read}"
        methods = ["GET"]
        path_prefix = "/{service.long_read}"
        repeatable = true
        length = "long"
        attempts = 2
        deadline_ms = 10000
        answer_bytes_max = 1048576

        [[service.classes]]
        name = "{service.write}"
        methods = ["POST"]
        path_prefix = "/{service.write}"
        deadline_ms = 3000"""
    )


def _server_text(spec: Spec, server: ServerSpec) -> str:
    return server_text(spec, server, state="active")


def server_text(spec: Spec, server: ServerSpec, *, state: str) -> str:
    """Return the complete ticket section of a server."""
    return textwrap.dedent(
        f"""\
        [[server]]
        name = "{server.name}"
        service = "{server.service.name}"
        zone = "{server.zone}"
        address = "{server.address}"
        slots = {server.service.slots}
        long_slots = {server.service.long_slots}
        connections_max = {spec.connections}
        state = "{state}\""""
    )


def shift_ticket(
    spec: Spec,
    number: int,
    *,
    fraction: float,
    cap_per_s: int,
    state: str = "active",
) -> str:
    """Return a ticket that shifts requests from the second region."""
    service = spec.services[0].name
    return textwrap.dedent(
        f"""\
        number = {number}
        reason = "Shift {service} from {spec.regions[1]}: {state}"
        author = "operations"

        [[shift]]
        name = "{service}-relief"
        service = "{service}"
        source = "{spec.regions[1]}"
        target = "{spec.regions[0]}"
        fraction = {fraction}
        cap_per_s = {cap_per_s}
        warm_s = 1.0
        state = "{state}"
        """
    )


def drain_ticket(spec: Spec, number: int, server: ServerSpec) -> str:
    """Return a ticket that drains one server."""
    header = (
        f"number = {number}\n"
        f'reason = "Drain {server.name} for maintenance"\n'
        'author = "operations"\n\n'
    )
    return header + server_text(spec, server, state="drain") + "\n"


def write(spec: Spec) -> None:
    """Write the files of a deployment."""
    folder = ROOT / spec.name
    for name in ("instances", "tickets"):
        (folder / name).mkdir(parents=True, exist_ok=True)
    for instance in instances(spec):
        path = folder / "instances" / f"{instance.name}.ini"
        path.write_text(settings_text(spec, instance))
    (folder / "operator.ini").write_text(operator_text(spec))
    tickets = {
        "0001-declare.toml": first_ticket(spec),
        "0002-shift.toml": shift_ticket(spec, 2, fraction=0.5, cap_per_s=20),
        "0003-drain.toml": drain_ticket(spec, 3, servers(spec)[0]),
        "0004-end-shift.toml": shift_ticket(
            spec, 4, fraction=0.5, cap_per_s=20, state="ended"
        ),
    }
    for name, text in tickets.items():
        (folder / "tickets" / name).write_text(text)


def main() -> None:
    """Write the files of both deployments."""
    for spec in SPECS.values():
        write(spec)


if __name__ == "__main__":
    main()
