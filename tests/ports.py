"""Ports for processes and servers that tests start."""

import collections.abc
import itertools
import pathlib
import random
import socket

# From where the system takes ports for outgoing connections and for listeners
# that leave the choice to it.
_SYSTEM_RANGE = pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range")
_DEFAULT_SYSTEM_RANGE = "32768 60999"
_LOWEST_PORT = 10_000
_HIGHEST_PORT = 65_535


def _usable_ports() -> list[int]:
    """Return the ports that the system doesn't give to others by itself."""
    text = _DEFAULT_SYSTEM_RANGE
    if _SYSTEM_RANGE.exists():
        text = _SYSTEM_RANGE.read_text()
    low, high = map(int, text.split())
    ports = range(_LOWEST_PORT, _HIGHEST_PORT + 1)
    outside = [port for port in ports if not low <= port <= high]
    return outside or list(ports)


def _rotate_ports() -> collections.abc.Iterator[int]:
    """Yield the usable ports in turn.

    The start is random: runs beside each other are at different ports, and
    meet only if they are at the same one at the same moment.
    """
    ports = _usable_ports()
    start = random.SystemRandom().randrange(len(ports))
    return itertools.cycle(ports[start:] + ports[:start])


_ports = _rotate_ports()


def free_address() -> str:
    """Return a loopback address with a port that nothing listens on.

    A port is handed out again only after all others have been.
    """
    for port in _ports:
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        return f"127.0.0.1:{port}"
    raise AssertionError("unreachable: the ports are cycled through")
