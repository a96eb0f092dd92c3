"""Plain versions of the request path, for comparison in tests.

``CHIVERUN_NAIVE=1 scripts/test.sh NAME`` runs a test against these instead
of the modules under test. They have what a first version would have: a kept
connection, a retry after a failure, a dictionary of keys, and a server on
the standard library.
"""

import http.client
import os
import threading
import time

from chiverun import cli
from chiverun.core.exchange import Answered
from chiverun.core.exchange import NotSent
from chiverun.core.idempotency import Replay
from chiverun.core.idempotency import Run
from chiverun.integrations import web
from chiverun.integrations.network import split_address
from chiverun.integrations.web import IncomingRequest
from chiverun.runtime import entry
from standins.web import Handler
from standins.web import serve_in_thread

IS_NAIVE = os.environ.get("CHIVERUN_NAIVE") == "1"


class NaiveBackends:
    """Keeps one connection for each address; any failure is "not run"."""

    def __init__(self, **_kwargs) -> None:
        self._conns: dict[str, http.client.HTTPConnection] = {}

    def exchange(self, address, req):
        """Send a request, once more after a failure."""
        for _ in range(2):
            conn = self._conns.get(address)
            if conn is None:
                conn = http.client.HTTPConnection(*split_address(address))
                conn.timeout = req.deadline - time.monotonic()
                self._conns[address] = conn
            try:
                conn.request(req.method, req.path, req.body, req.headers)
                resp = conn.getresponse()
                body = resp.read(req.answer_bytes_max)
                headers = tuple(resp.getheaders())
                return Answered(status=resp.status, headers=headers, body=body)
            except (OSError, http.client.HTTPException) as exc:
                del self._conns[address]
                end = NotSent(detail=str(exc))
        return end

    def close(self) -> None:
        """Close all connections."""
        for conn in self._conns.values():
            conn.close()


class NaiveKeyTable:
    """A dictionary of results by key."""

    def __init__(self, **_kwargs) -> None:
        self._results: dict[str, object] = {}
        self._count = 0

    def issue(self, count):
        """Return consecutive numbers."""
        self._count += count
        first = self._count - count
        return [str(n) for n in range(first, self._count)]

    def begin(self, key, _fingerprint, *, wait_until):
        """Run unless there is a result."""
        if key in self._results:
            return Replay(result=self._results[key])
        return Run()

    def finish(self, key, result) -> None:
        """Keep any result."""
        self._results[key] = result


class NaiveWebServer:
    """A server on the standard library that trusts what it reads."""

    def __init__(self, *, address, handler, threads) -> None:
        self._address = split_address(address)
        self._handler = handler

    def start(self) -> None:
        """Serve on a thread."""
        handle = self._handler

        class Plain(Handler):
            def do_GET(self) -> None:
                path, _, query = self.path.partition("?")
                headers = {k.lower(): v for k, v in self.headers.items()}
                reply = handle(
                    IncomingRequest(
                        method=self.command,
                        path=path,
                        query=query,
                        headers=headers,
                        body=self.body(),
                        remote="",
                    )
                )
                self.reply(reply.status, reply.body, dict(reply.headers))

            do_POST = do_GET

        self._server = serve_in_thread(self._address, Plain)

    def stop(self) -> None:
        """Close the listener."""
        threading.Thread(target=self._server.shutdown).start()
        self._server.server_close()


def main() -> None:
    """Run an instance that runs every request it gets, whatever its key."""
    entry.EntryHandler._handle_keyed = lambda self, _req, request: (
        entry._reply(self._run(request))
    )
    web._is_abandoned = lambda _sock: False
    cli.main()


if __name__ == "__main__":
    main()
