"""Measure the cost of the control plane of an instance.

`run` yields one dictionary per measurement. Byte counts are those of encoded
messages. Control planes share one process and a manual clock, except in the
measurement with real processes, which use the pyzmq transport.
"""

import gc
import math
import multiprocessing
import os
import random
import resource
import socket
import statistics
import time
from collections.abc import Iterator
from typing import Any

import logbook

from chiverun.core.admission import Admission
from chiverun.core.clock import SystemClock
from chiverun.core.errors import ChiverunError
from chiverun.core.ids import Address
from chiverun.core.ids import BootId
from chiverun.core.ids import InstanceId
from chiverun.core.ids import RegionName
from chiverun.core.ids import ZoneName
from chiverun.core.messages import Ack
from chiverun.core.messages import Advert
from chiverun.core.messages import decode_message
from chiverun.core.messages import encode_message
from chiverun.core.messages import Gossip
from chiverun.core.messages import Message
from chiverun.core.messages import Ping
from chiverun.core.state import apply_ticket
from chiverun.core.state import empty_state
from chiverun.core.state import State
from chiverun.core.ticket import Region
from chiverun.core.ticket import Zone
from chiverun.integrations.network import AddressMap
from chiverun.integrations.peers import ZmqPeers
from chiverun.runtime.control import ControlPlane
from chiverun.runtime.control import Identity
from chiverun.runtime.control import TICK_S
from chiverun.runtime.events import StateRead
from standins.planes import make_ticket
from standins.planes import Planes
from standins.planes import REGION
from standins.planes import SERVICE
from standins.planes import ZONE

INSTANCE_COUNTS = (4, 16, 32, 64, 67)
ZONE_COUNTS = (0, 8, 24, 72)
INSTANCES_PER_ZONE = 4
PROCESS_COUNT = 6
_TARGET_INSTANCES = 67
_WARMUP_S = 50.0
_DETECT_WARMUP_S = 20.0
_MEASURE_S = 20.0
_PROCESS_DURATION_S = 12.0
_DETECT_LIMIT_S = 30.0
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def run(seed: int) -> Iterator[dict[str, Any]]:
    """Yield the results of all measurements."""
    with logbook.NullHandler().applicationbound():
        for count in INSTANCE_COUNTS:
            yield _measure_cost(seed, instances=count, zones=0)
        for zones in ZONE_COUNTS[1:]:
            yield _measure_cost(seed, instances=_TARGET_INSTANCES, zones=zones)
        for count in INSTANCE_COUNTS[1:]:
            yield _measure_detection(seed, count)
        yield _measure_processes(PROCESS_COUNT)


def _make_state(instances: int, zones: int) -> State:
    ticket = make_ticket(
        seats=2 * instances, servers=max(3, instances // 2), slots=8
    )
    others = tuple(
        Zone(name=_zone_name(z), region=RegionName(f"region-{z // 2}"))
        for z in range(zones)
    )
    regions = {z.region for z in others}
    ticket = _replace_fields(
        ticket,
        zone=(*ticket.zone, *others),
        region=(
            Region(name=REGION),
            *(Region(name=r) for r in sorted(regions)),
        ),
    )
    return apply_ticket(empty_state(), ticket)


def _replace_fields(ticket, **fields):
    values = {f: getattr(ticket, f) for f in ticket.__struct_fields__}
    return type(ticket)(**{**values, **fields})


def _zone_name(number: int) -> ZoneName:
    return ZoneName(f"region-{number // 2}-zone-{number % 2}")


class _OtherZones:
    """Instances of other zones, which only answer pings."""

    def __init__(self, *, planes: Planes, zones: int) -> None:
        self._planes = planes
        self._adverts: list[Advert] = []
        for number in range(zones * INSTANCES_PER_ZONE):
            host = f"127.{1 + number // 200}.0.{number % 200 + 1}"
            advert = self._advert(number, host)
            self._adverts.append(advert)
            planes.other_handlers[advert.peer] = self._ping_handler(number)

    def _advert(self, number: int, host: str) -> Advert:
        zone = _zone_name(number // INSTANCES_PER_ZONE)
        return Advert(
            instance=InstanceId(f"{zone}-{number % INSTANCES_PER_ZONE}"),
            boot_id=BootId(f"{number:016x}"),
            incarnation=1,
            sequence=1,
            zone=zone,
            lookup=Address(f"{host}:7001"),
            entry=Address(f"{host}:7002"),
            forward=Address(f"{host}:7003"),
            peer=Address(f"{host}:7000"),
            leaving=False,
            seats=(),
            free_slots={SERVICE: 7},
            number=1,
        )

    def _ping_handler(self, number: int):
        def handle(message: Message) -> None:
            if not isinstance(message, Ping):
                return
            sender = self._next_advert(number)
            sampled = self._planes.rng.sample(range(len(self._adverts)), 2)
            gossip = Gossip(
                sender=sender,
                number=1,
                digest=self._planes.state.digest,
                adverts=tuple(self._next_advert(i) for i in sampled),
            )
            self._planes.exchange.send(
                sender.peer,
                message.gossip.sender.peer,
                Ack(sequence=message.sequence, gossip=gossip),
            )

        return handle

    def _next_advert(self, number: int) -> Advert:
        advert = _replace_fields(
            self._adverts[number],
            sequence=self._adverts[number].sequence + 1,
        )
        self._adverts[number] = advert
        return advert

    @property
    def seeds(self) -> tuple[Address, ...]:
        return tuple(a.peer for a in self._adverts[:2])


def _build_planes(seed: int, instances: int, zones: int) -> Planes:
    planes = Planes(seed=seed, state=_make_state(instances, zones), load=())
    others = _OtherZones(planes=planes, zones=zones)
    planes.seeds = (*planes.seeds, *others.seeds)
    for number in range(instances):
        planes.start(number)
    return planes


def _resident_bytes() -> int:
    with open("/proc/self/statm") as stream:
        return int(stream.read().split()[1]) * _PAGE_BYTES


def _measure_cost(seed: int, *, instances: int, zones: int) -> dict[str, Any]:
    gc.collect()
    baseline_bytes = _resident_bytes()
    planes = _build_planes(seed, instances, zones)
    planes.run(_WARMUP_S)
    exchange = planes.exchange
    for counter in (exchange.bytes_sent, exchange.bytes_received):
        counter.clear()
    exchange.counts.clear()
    started = time.process_time()
    planes.run(_MEASURE_S)
    used_s = time.process_time() - started
    peers = [p.peer for p in planes.lifetimes]
    sent = [exchange.bytes_sent[p] / _MEASURE_S for p in peers]
    received = [exchange.bytes_received[p] / _MEASURE_S for p in peers]
    per_instance = 1.0 / (instances * _MEASURE_S)
    return {
        "measure": "control_cost",
        "seed": seed,
        "instances": instances,
        "other_zones": zones,
        "bytes_sent_per_s": round(statistics.mean(sent)),
        "bytes_sent_per_s_max": round(max(sent)),
        "bytes_received_per_s": round(statistics.mean(received)),
        "messages_per_s": round(exchange.counts.total() * per_instance, 2),
        "cpu_s_per_s": round(used_s * per_instance, 5),
        "resident_bytes": round(
            (_resident_bytes() - baseline_bytes) / instances
        ),
        "members_known": round(
            statistics.mean(
                len(p.plane.members.rows) for p in planes.lifetimes
            ),
            1,
        ),
        "seats_held": sum(len(p.held) for p in planes.lifetimes),
    }


def _measure_detection(seed: int, instances: int) -> dict[str, Any]:
    planes = _build_planes(seed, instances, 0)
    planes.run(_DETECT_WARMUP_S)
    killed = planes.lifetimes[instances // 2]
    seats = killed.held
    killed.is_dead = True
    killed_at = planes.clock.monotonic()
    detected: dict[str, float] = {}
    claimed: dict[int, float] = {}
    while planes.clock.monotonic() - killed_at < _DETECT_LIMIT_S:
        planes.run(TICK_S)
        after_s = planes.clock.monotonic() - killed_at
        for lifetime in planes.running():
            row = lifetime.plane.members.rows.get(killed.name)
            if row is not None and not row.is_live:
                detected.setdefault(lifetime.name, after_s)
            for seat in lifetime.held & seats:
                claimed.setdefault(seat, after_s)
    times = sorted(detected.values())
    return {
        "measure": "dead_member_detection",
        "seed": seed,
        "instances": instances,
        "seen_by": len(times),
        "first_s": round(times[0], 1) if times else None,
        "median_s": round(statistics.median(times), 1) if times else None,
        "last_s": round(times[-1], 1) if times else None,
        "seats": len(seats),
        "seats_claimed": len(claimed),
        "last_claim_s": round(max(claimed.values(), default=math.nan), 1),
    }


# Real processes.


def _measure_processes(count: int) -> dict[str, Any]:
    context = multiprocessing.get_context("spawn")
    ports = _free_ports(count)
    results = context.Queue()
    processes = [
        context.Process(target=_run_process, args=(n, ports, results))
        for n in range(count)
    ]
    for process in processes:
        process.start()
    rows = [results.get(timeout=10 * _PROCESS_DURATION_S) for _ in processes]
    for process in processes:
        process.join(timeout=10)
    return {
        "measure": "control_cost_processes",
        "instances": count,
        **{
            key: round(statistics.mean(r[key] for r in rows), 5)
            for key in rows[0]
        },
    }


def _free_ports(count: int) -> list[int]:
    sockets = [socket.socket() for _ in range(count)]
    for sock in sockets:
        sock.bind(("127.0.0.1", 0))
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


def _run_process(number: int, ports: list[int], results) -> None:
    """Run one control plane on the pyzmq transport and report its cost.

    As in the control actor, the main thread handles messages between ticks.
    """
    logbook.NullHandler().push_application()
    addresses = [Address(f"127.0.0.1:{p}") for p in ports]
    own = addresses[number]
    clock = SystemClock()
    rng = random.Random(number)
    baseline_bytes = _resident_bytes()
    peers = ZmqPeers(bind=own, addresses=AddressMap(mapping={}))
    inbox: list[bytes] = []
    peers.start(inbox.append)
    plane = ControlPlane(
        identity=Identity(
            instance=InstanceId(f"{ZONE}-{number}"),
            boot_id=BootId(f"{number:016x}"),
            zone=ZONE,
            lookup=own,
            entry=own,
            forward=own,
            peer=own,
            seeds=tuple(addresses[:2]),
        ),
        clock=clock,
        rng=rng,
        admission=Admission(zone=ZONE, clock=clock, rng=rng),
        send=lambda to, message: peers.send(to, encode_message(message)),
        submit=lambda job: None,
    )
    plane.handle(StateRead(state=_make_state(len(ports), 0)))
    time.sleep(1.0)
    usage = resource.getrusage(resource.RUSAGE_SELF)
    used_s = usage.ru_utime + usage.ru_stime
    sent, received = peers.bytes_sent, peers.bytes_received
    started = time.monotonic()
    while time.monotonic() - started < _PROCESS_DURATION_S:
        time.sleep(TICK_S)
        while inbox:
            try:
                plane.receive(decode_message(inbox.pop(0)))
            except ChiverunError:
                continue
        plane.tick()
    elapsed_s = time.monotonic() - started
    usage = resource.getrusage(resource.RUSAGE_SELF)
    results.put(
        {
            "bytes_sent_per_s": (peers.bytes_sent - sent) / elapsed_s,
            "bytes_received_per_s": (peers.bytes_received - received)
            / elapsed_s,
            "cpu_s_per_s": (usage.ru_utime + usage.ru_stime - used_s)
            / elapsed_s,
            "resident_bytes": _resident_bytes() - baseline_bytes,
            "members_known": len(plane.members.rows),
        }
    )
    peers.stop()


if __name__ == "__main__":
    import json

    for result in run(1):
        print(json.dumps(result), flush=True)
