"""Tests of telling when a request has arrived."""

import unittest

from nose2.tools import params

from chiverun.core.requestframe import Arrived
from chiverun.core.requestframe import RequestFrame

_GET = b"GET / HTTP/1.1\r\nHost: a\r\n"
_POST = b"POST / HTTP/1.1\r\nHost: a\r\n"
_CHUNKED = _POST + b"Transfer-Encoding: chunked\r\n\r\n"


def _frame() -> RequestFrame:
    return RequestFrame(head_bytes_max=200, body_bytes_max=100)


class RequestFrameTest(unittest.TestCase):
    @params(
        ("no body", _GET + b"\r\n"),
        ("length", _POST + b"content-length: 4\r\n\r\nbody"),
        ("chunks", _CHUNKED + b"4\r\nbody\r\n3;a=b\r\nend\r\n0\r\n"),
    )
    def test_request_arrives_with_its_last_byte(self, _case, raw):
        """Guards against workers that get incomplete requests, and against
        complete requests that wait for more.
        """
        frame = _frame()
        data = bytearray()
        for number, byte in enumerate(raw):
            data.append(byte)
            is_last = number == len(raw) - 1
            arrived = frame.update(data)
            self.assertEqual(is_last, arrived is Arrived.ALL, bytes(data))

    @params(
        ("long head", b"a" * 201),
        ("long complete head", _GET + b"A: " + b"a" * 200 + b"\r\n\r\n"),
        ("two lengths", _POST + b"Content-Length: 9\r\n" * 2 + b"\r\n"),
        ("other coding", _POST + b"Transfer-Encoding: gzip\r\n\r\n"),
        (
            "length and coding",
            _POST + b"Content-Length: 9\r\nTransfer-Encoding: chunked\r\n\r\n",
        ),
        ("signed length", _POST + b"Content-Length: +9\r\n\r\n"),
        ("large body", _POST + b"Content-Length: 101\r\n\r\n"),
    )
    def test_refusable_request_waits_for_no_more(self, _case, raw):
        """Guards against waiting for requests that the parser refuses."""
        self.assertIs(Arrived.ALL, _frame().update(bytearray(raw)))

    @params(
        ("large chunk", b"65\r\n"),
        ("malformed size", b"zz\r\n"),
        ("negative size", b"-1\r\n"),
        ("no end of chunk", b"1\r\nabc"),
        ("many chunks", b"1\r\na\r\n" * 27),
        ("endless size line", b"1" * 400),
    )
    def test_invalid_chunks_wait_for_no_more(self, _case, chunks):
        """Guards against chunks without an end or over the limit."""
        data = bytearray(_CHUNKED + chunks)
        self.assertIs(Arrived.INVALID, _frame().update(data))

    def test_chunks_are_joined(self):
        """Guards against a body that differs from what was sent."""
        frame = _frame()
        data = bytearray(_CHUNKED)
        for part in (b"4\r\nbo\r", b"\n\r\n1;a=b\r\nd\r\n", b"0\r\n\r\n"):
            data += part
            arrived = frame.update(data)
        self.assertIs(Arrived.ALL, arrived)
        self.assertEqual(b"bo\r\nd", frame.chunked_body)
        self.assertEqual(len(_CHUNKED), frame.head_bytes)

    def test_expectation_is_told(self):
        """Guards against callers that wait for "100 Continue" in vain."""
        frame = _frame()
        raw = _POST + b"Expect: 100-continue\r\nContent-Length: 4\r\n\r\n"
        self.assertIs(Arrived.HEAD, frame.update(bytearray(raw)))
        self.assertTrue(frame.expects_continue)
