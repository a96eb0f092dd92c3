"""Proxy that carries answers at the rate of a slow link."""

import asyncio
import socket

MSS_BYTES = 1400
WINDOW_BYTES = 64 * 1024
STEP_S = 0.02


class SlowLink:
    """Passes bytes to a machine at once, and back at `bytes_per_s`.

    The segments and the window are those of an ordinary link, not those of
    loopback.
    """

    def __init__(self, address: str, bytes_per_s: float) -> None:
        self._target = address
        self._bytes_per_s = bytes_per_s
        self._server = None
        self.address = ""

    async def start(self) -> None:
        """Listen at a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def _serve(self, reader, writer) -> None:
        host, _, port = self._target.rpartition(":")
        sock = socket.socket()
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, MSS_BYTES)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
        loop = asyncio.get_running_loop()
        try:
            await loop.sock_connect(sock, (host, int(port)))
        except OSError:
            writer.transport.abort()
            sock.close()
            return
        there = asyncio.create_task(self._there(reader, sock))
        try:
            await self._back(sock, writer)
        finally:
            there.cancel()
            sock.close()
            writer.close()

    async def _there(self, reader, sock) -> None:
        loop = asyncio.get_running_loop()
        while data := await reader.read(65536):
            await loop.sock_sendall(sock, data)
        sock.shutdown(socket.SHUT_WR)

    async def _back(self, sock, writer) -> None:
        loop = asyncio.get_running_loop()
        step = max(1, int(self._bytes_per_s * STEP_S))
        next_at = loop.time()
        try:
            while data := await loop.sock_recv(sock, step):
                writer.write(data)
                await writer.drain()
                next_at = max(next_at, loop.time() - 0.1)
                next_at += len(data) / self._bytes_per_s
                await asyncio.sleep(max(0.0, next_at - loop.time()))
        except ConnectionError:
            writer.transport.abort()
