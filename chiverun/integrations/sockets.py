"""Socket options that detect unresponsive peers."""

import socket


def set_peer_timeout(sock: socket.socket, *, timeout_ms: int) -> None:
    """Fail a connection if its peer is unresponsive for `timeout_ms`.

    This covers both unacknowledged data and idle connections, which would
    otherwise stay open for minutes after a partition or a power failure.
    """
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    probe_interval_s = max(1, timeout_ms // 2000)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, probe_interval_s)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, probe_interval_s)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2)
