"""Tests of a small edge instance whose peers send bytes without end.

The bytes are a multiple of the machine's memory. What is checked does not
depend on speed: the process lives, its memory stays within the machine's, and
an ordinary request is answered afterwards.
"""

import asyncio
import contextlib
import json
import pathlib
import time

from standins.upstream import HEALTH_PATH
from standins.upstream import Upstream
from standins.upstream import UpstreamFaults
from tests.adapter.edgecase import build_request
from tests.adapter.edgecase import call
from tests.adapter.edgecase import EdgeCase
from tests.adapter.edgecase import PROCESS_TIMEOUT_S
from tests.adapter.examples import desired_state
from tests.adapter.test_edge_turns import free_address
from tests.integrations import zmtp
