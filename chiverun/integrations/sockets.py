"""Socket options that detect unresponsive peers."""

import socket


def watch_peer(sock: socket.socket, *, silence_ms: int) -> None:
    """Fail a connection if its peer is unresponsive for `silence_ms`.

    This covers both unacknowledged data and idle connections, which would
    otherwise stay open for minutes after a partition or a power failure.
    """
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, silence_ms)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    seconds = max(1, silence_ms // 2000)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, seconds)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, seconds)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2)
