"""Tests of the ports that tests use."""

import unittest

from tests.ports import free_address


class PortsTest(unittest.TestCase):
    # Guards against two listeners of one test with the same port: the process
    # that starts last ends at once, and its test waits for it in vain.
    def test_no_port_is_handed_out_twice(self):
        addresses = [free_address() for _ in range(4000)]
        self.assertEqual(4000, len(set(addresses)))


if __name__ == "__main__":
    unittest.main()
