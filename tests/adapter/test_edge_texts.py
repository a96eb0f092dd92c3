"""Tests of texts that pass through an edge instance in both directions."""

from tests.adapter.edgecase import build_request
from tests.adapter.edgecase import call
from tests.adapter.edgecase import EdgeCase

# Lines of a server's head, and what the caller gets of them.
_SERVER_ROWS = {
    "file name": (
        b'Content-Disposition: attachment; filename="re\xe7u"\r\n',
        b'Content-Disposition: attachment; filename="re\xe7u"\r\n',
    ),
    "cookie in UTF-8": (
        b"Set-Cookie: a=\xc3\xa9\r\n",
        b"Set-Cookie: a=\xc3\xa9\r\n",
    ),
    "each byte above 127": (
        b"X-A: a" + bytes(range(128, 256)) + b"\r\n",
        b"X-A: a" + bytes(range(128, 256)) + b"\r\n",
    ),
    "name of the server": (
        b"X-Chiverun-Instance-Id: i-\xe7\r\n",
        b"X-Chiverun-Instance-Id: i-\xe7\r\n",
    ),
    "folded line": (b"X-A: a\r\n \xe7b\r\n", b"X-A: a \xe7b\r\n"),
    "folded ASCII line": (b"X-A: a\r\n\tb\r\n", b"X-A: a b\r\n"),
    "control character": (b"X-A: a\x01b\r\n", b"X-A: a\x01b\r\n"),
}
# Lines of a caller's head, and what the server gets.
_CALLER_ROWS = {
    "byte above 127": (b"X-A: a\xe7\r\n", "a\xe7"),
    "UTF-8": (b"X-A: \xc3\xa9\r\n", "\xc3\xa9"),
    "folded line": (b"X-A: a\r\n \xe7b\r\n", "a \xe7b"),
}
_PATHS = {"safe": ("GET", "/read/a"), "unsafe": ("POST", "/book/a")}
# Ids that no header can carry.
_ODD_IDS = ("i-\u0142", " i", "i ", "i\r\nX-A: b", "i\n", "i\x7f", "")


class EdgeTextsTest(EdgeCase):
    async def _send(self, kind: str, request_id: str, rows: bytes = b""):
        method, path = _PATHS[kind]
        raw = build_request(path, request_id, method=method)
        head, _, rest = raw.partition(b"\r\n")
        return await call(self.listen["front"], head + b"\r\n" + rows + rest)

    async def test_head_of_a_server(self) -> None:
        """Guards against answers that are never passed on.

        The request has run, and the caller would wait until its deadline.
        """
        await self._start_until_ready()
        for name, (rows, expected) in _SERVER_ROWS.items():
            for upstream in self.upstreams:
                upstream.faults.rows = rows
            for kind in _PATHS:
                with self.subTest(f"{name}, {kind}"):
                    response = await self._send(kind, f"{kind}-{name}")
                    head = response.head.encode("latin-1") + b"\r\n"
                    self.assertEqual(200, response.status, head)
                    self.assertIn(expected, head)
                    self.assertEqual(1, self._run_count(f"{kind}-{name}"))

    async def test_stamp(self) -> None:
        """Guards against an answer that is not passed on for its stamp."""
        await self._start_until_ready()
        for upstream in self.upstreams:
            upstream.faults.stamp = b"s\xe7"
        for kind in _PATHS:
            response = await self._send(kind, kind)
            self.assertEqual(200, response.status)
            self.assertIn("Stamp: s\xe7", response.head)

    async def test_head_of_a_caller(self) -> None:
        """Guards against a caller's text that changes on its way."""
        await self._start_until_ready()
        for name, (rows, expected) in _CALLER_ROWS.items():
            with self.subTest(name):
                response = await self._send("safe", name, rows)
                self.assertEqual(200, response.status)
                [headers] = [
                    headers
                    for upstream in self.upstreams
                    for headers in upstream.headers
                    if headers["x-chiverun-request-id"] == name
                ]
                self.assertEqual(expected, headers["x-a"])

    async def test_ids_that_no_header_can_carry(self) -> None:
        """Guards against one record that makes requests fail."""
        for number, name in enumerate(_ODD_IDS):
            entry = self.upstreams[0].entry(address=f"127.0.0.1:{9 + number}")
            await self.store.put(f"servers/{name}", entry)
        await self._start_until_ready()
        for number in range(30):
            raw = build_request(
                f"/read/{number}", f"r{number}", key=f"{number}"
            )
            response = await call(self.listen["front"], raw)
            self.assertEqual(200, response.status)

    async def test_declared_path_outside_ascii(self) -> None:
        """Guards against a route that no request can match."""
        await self._start_until_ready()
        await self._put_route(8, "/caf\xe9/")
        path = "/caf%C3%A9/1"

        async def is_served() -> bool:
            raw = build_request(path, "r1")
            return (await call(self.listen["front"], raw)).status == 200

        await self._wait_until(is_served, "served on the added route")
        targets = [t for up in self.upstreams for t in up.targets]
        self.assertIn(path, targets)
