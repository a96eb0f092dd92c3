"""Tests of log lines with odd values and of a slow reader."""

import json
import os
import threading
import unittest
from unittest import mock

import logbook
from nose2.tools import params

from chiverun.integrations import logs

_LINE_BYTES = 30_000


class LogsTest(unittest.TestCase):
    @params(
        10**400, -(2**64), "\ud800", {"a": "\udfff"}, float("inf"), b"\xff"
    )
    def test_odd_value(self, value):
        """Guards against a line whose values cannot be encoded."""
        line = logs._encode({"message": "x", "value": value})
        self.assertEqual("x", json.loads(line)["message"])

    def test_lines_that_wait_are_bounded_in_size(self):
        """Guards against long texts that fill the memory for a slow reader."""
        is_read = threading.Event()

        def write(_descriptor, data) -> int:
            is_read.wait()
            return len(data)

        with mock.patch.object(os, "write", write):
            handler = logs._QueueHandler(level="INFO", bubble=False)
            handler.formatter = logs._formatter("i")
            with handler.applicationbound():
                for _ in range(2000):
                    text = "a" * _LINE_BYTES
                    logbook.Logger("x").info("x", extra={"target": text})
                waiting = sum(len(line) for line in handler._lines)
                self.assertLess(
                    waiting, logs._QUEUED_CHARACTERS_MAX + 2 * _LINE_BYTES
                )
                self.assertGreater(handler._dropped, 0)
                is_read.set()
                while handler._lines or handler._waiting_characters:
                    threading.Event().wait(0.01)
