"""Tests of an edge instance whose servers repeat their refusals."""

from standins.upstream import UpstreamFaults
from tests.adapter.edgecase import build_request
from tests.adapter.edgecase import call
from tests.adapter.edgecase import EdgeCase

_COPY_AFTER_S = 0.3
# The copy arrives while the next request runs.
_RUN_S = 0.6
# Statuses that promise that a request has not run and never will.
_NOT_RUN = {408, 421, 429, 503}


class EdgeRefusalsTest(EdgeCase):
    async def _call(self, request_id: str, method: str, path: str) -> int:
        raw = build_request(path, request_id, method=method)
        return (await call(self.listen["front"], raw)).status

    def _set_faults(self, **faults) -> None:
        for upstream in self.upstreams:
            upstream.faults = UpstreamFaults(**faults)

    async def test_refusal_sent_once_more_refuses_no_other_request(
        self,
    ) -> None:
        """Guards against "not run" for what has run, and a second run.

        The refusal of one request arrives again on a kept connection on which
        the next one runs.
        """
        await self._start_until_ready()
        for method, path, runs_max in (
            ("POST", "/book/1", 1),
            ("GET", "/read/1", 2),
        ):
            with self.subTest(method):
                self._set_faults(shed=True, copy_after_s=_COPY_AFTER_S)
                first = await self._call(f"{method}-1", method, path)
                self.assertEqual(503, first)
                self._set_faults(delay_s=_RUN_S)
                second = await self._call(f"{method}-2", method, path)
                runs = self._run_count(f"{method}-2")
                self.assertIn(runs, range(1, runs_max + 1))
                self.assertNotIn(second, _NOT_RUN)

    async def test_status_of_a_server_that_has_run_promises_nothing(
        self,
    ) -> None:
        """Guards against "not run" for what has run.

        A server that does not say that it has not run a request may have.
        """
        await self._start_until_ready()
        for status in (408, 429, 503):
            self._set_faults(status=status)
            for method, path in (("POST", "/book/1"), ("GET", "/read/1")):
                with self.subTest(f"{method}, {status}"):
                    name = f"{method}-{status}"
                    answer = await self._call(name, method, path)
                    self.assertEqual(502, answer)
                    self.assertGreater(self._run_count(name), 0)
