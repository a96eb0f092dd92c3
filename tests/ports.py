"""Ports for processes and servers that tests start."""

import socket


def free_address() -> str:
    """Return a loopback address with a currently unused port."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"
