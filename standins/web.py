"""A threaded HTTP server for stand-ins, based on the standard library."""

import http.server
import json
import socketserver
import threading
from typing import Any


class Server(socketserver.ThreadingMixIn, http.server.HTTPServer):
    """Serves each connection on its own daemon thread."""

    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 256

    def handle_error(self, request, client_address) -> None:
        """Ignore errors of connections that the peer closed."""


class Handler(http.server.BaseHTTPRequestHandler):
    """Base class of the stand-ins' request handlers."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, format: str, *args: Any) -> None:
        """Disable the per-request log."""

    def body(self) -> bytes:
        """Read the request body."""
        return self.rfile.read(int(self.headers.get("Content-Length", 0)))

    def reply(
        self,
        status: int,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
    ) -> None:
        """Send a complete response in one write."""
        self.send_response(status)
        for name, value in (headers or {}).items():
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self._headers_buffer.append(b"\r\n")
        data = b"".join(self._headers_buffer) + body
        self._headers_buffer = []
        self.wfile.write(data)

    def reply_json(self, value: Any, status: int = 200, **headers) -> None:
        """Send a JSON response."""
        headers["Content-Type"] = "application/json"
        self.reply(status, json.dumps(value).encode(), headers)


def serve_in_thread(address: tuple[str, int], handler: type) -> Server:
    """Start a server on a thread and return it."""
    server = Server(address, handler)
    threading.Thread(
        target=server.serve_forever,
        kwargs={"poll_interval": 0.1},
        daemon=True,
    ).start()
    return server
