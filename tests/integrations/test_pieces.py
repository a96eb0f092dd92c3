"""Tests of the pieces in which a parser gets received bytes."""

import time
import unittest

import h11
from nose2.tools import params

from chiverun.integrations.pieces import LINES_MAX
from chiverun.integrations.pieces import Pieces

_HEAD = b"HTTP/1.1 200 OK\r\n"
_CHUNKED = _HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
# What sound peers send, with more lines than a head may have.
_TEXT = b"a,b\n" * (4 * LINES_MAX)
_SHORT_ROWS = b"a: b\r\n" * (LINES_MAX - 10)
_MANY_ROWS = b"a:\r\n" * 15_000
# Longest time that a piece may hold up everything else.
_PIECE_TIME_MAX_S = 0.02


def _client() -> h11.Connection:
    http = h11.Connection(h11.CLIENT, max_incomplete_event_size=65536)
    http.send(h11.Request(method="GET", target="/", headers=[("Host", "x")]))
    http.send(h11.EndOfMessage())
    return http


def _read(pieces: Pieces, http: h11.Connection) -> tuple[bytes, float]:
    """Return the body and the longest time that one event took."""
    body = b""
    longest_s = 0.0
    while True:
        started_at = time.thread_time()
        event = http.next_event()
        longest_s = max(longest_s, time.thread_time() - started_at)
        if event is h11.NEED_DATA:
            if not pieces.feed(http):
                return body, longest_s
            continue
        pieces.note_event()
        if isinstance(event, h11.Data):
            body += event.data
        if isinstance(event, h11.EndOfMessage):
            return body, longest_s


class PiecesTest(unittest.TestCase):
    @params(
        (b"%sContent-Length: %d\r\n\r\n%s" % (_HEAD, len(_TEXT), _TEXT),),
        (b"%s%x\r\n%s\r\n0\r\n\r\n" % (_CHUNKED, len(_TEXT), _TEXT),),
        (
            b"%s%sContent-Length: %d\r\n\r\n%s"
            % (_HEAD, _SHORT_ROWS, len(_TEXT), _TEXT),
        ),
    )
    def test_text_of_many_lines_is_read_whole(self, raw) -> None:
        """Guards against a body whose lines are taken for a head's."""
        for size in (len(raw), 65536, 1000, 7):
            pieces = Pieces()
            http = _client()
            body = b""
            for at in range(0, len(raw), size):
                pieces.add(raw[at : at + size])
                body += _read(pieces, http)[0]
            self.assertEqual(_TEXT, body)

    @params(
        (_HEAD + _MANY_ROWS + b"\r\n",),
        (_HEAD + _MANY_ROWS,),
        (_CHUNKED + b"1\r\nx\r\n0\r\n" + _MANY_ROWS + b"\r\n",),
        (b"HTTP/1.1 100 Continue\r\n" + _MANY_ROWS + b"\r\n",),
    )
    def test_head_of_many_lines_is_given_up(self, raw) -> None:
        """Guards against a head whose lines hold the event loop."""
        for size in (len(raw), 1000):
            pieces = Pieces()
            http = _client()
            with self.assertRaises(h11.RemoteProtocolError) as caught:
                for at in range(0, len(raw), size):
                    pieces.add(raw[at : at + size])
                    _, longest_s = _read(pieces, http)
                    self.assertLess(longest_s, _PIECE_TIME_MAX_S)
            self.assertEqual(431, caught.exception.error_status_hint)

    def test_end_comes_after_all_bytes(self) -> None:
        """Guards against a connection's end that hides its last bytes."""
        pieces = Pieces()
        http = _client()
        pieces.add(_HEAD + b"\r\n" + _TEXT)
        pieces.end()
        self.assertEqual(_TEXT, _read(pieces, http)[0])
        self.assertIs(h11.DONE, http.their_state)
