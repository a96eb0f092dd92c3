"""Tests of request handling in a stopping edge instance."""

import asyncio
import collections
import unittest

import msgspec
from nose2.tools import params

from chiverun.core.catalog import ClientLimits
from chiverun.core.catalog import Part
from chiverun.core.catalog import Route
from chiverun.core.catalog import RouteTable
from chiverun.core.edgesettings import EdgeBounds
from chiverun.core.exchange import Answered
from chiverun.core.exchange import Shed
from chiverun.core.exchange import ShedReason
from chiverun.core.quota import Unlimited
from chiverun.core.suspects import SuspectTable
from chiverun.integrations.asyncserver import IncomingRequest
from chiverun.platform.headercodec import PlatformHeaderCodec
from chiverun.runtime.edgemetrics import EdgeMetrics
from chiverun.runtime.sending import SendResult
from chiverun.runtime.servertable import ServerRow
from chiverun.runtime.steering import Steering
from chiverun.runtime.stopping import may_outlast
from chiverun.runtime.stopping import StopProgress
from tests.records import make_row
from tests.records import make_server

_ROUTE = Route(
    name="r",
    host="h",
    prefix="/p/",
    repeatable=True,
    parts=(Part(service="mill", weight=1.0),),
    timeout_s=1.2,
    objective_s=0.3,
    attempts=2,
    priority=0,
    sticky=True,
    homes=(),
)


class StopTest(unittest.TestCase):
    @params(
        # (seconds since the stop request, seconds until exit, may outlast)
        (0.0, 5.1, False),
        (2.7, 1.0, False),
        (2.7, 0.7, True),
        # Some runs take over 4 times the typical time: 0.85 s at 0.2 s.
        (4.1, 1.0, True),
        (3.0, 1.4, False),
        (4.1, 0.9, True),
    )
    def test_stopping_instance_refuses_requests_that_may_outlast_it(
        self, elapsed_s, remaining_s, expected
    ) -> None:
        """Guards against requests accepted 4 s after SIGTERM and cut at exit.

        Found by inzira-race, trouble-2 with seed 44687999556.
        """
        stopping = StopProgress(elapsed_s=elapsed_s, remaining_s=remaining_s)
        self.assertEqual(expected, may_outlast(stopping, _ROUTE, 0.2))

    @params(
        # (seconds since the stop request, seconds until exit, may outlast)
        (0.0, 5.1, False),
        (1.0, 1.4, False),
        (1.0, 1.2, True),
        (4.1, 1.2, True),
    )
    def test_unrepeatable_requests_have_their_whole_timeout(
        self, elapsed_s, remaining_s, expected
    ) -> None:
        """Guards against a booking that is cut off and may have run."""
        route = msgspec.structs.replace(_ROUTE, repeatable=False)
        stopping = StopProgress(elapsed_s=elapsed_s, remaining_s=remaining_s)
        self.assertEqual(expected, may_outlast(stopping, route, 0.2))


class _OneServer:
    """Selector that always chooses the same server."""

    def __init__(self) -> None:
        self._row = make_row(make_server())

    def choose(self, *_args) -> ServerRow:
        return self._row


class LateRetryTest(unittest.IsolatedAsyncioTestCase):
    async def _serve(self, *, stops: bool) -> tuple[int, int]:
        """Serve a request that its first server refuses after a while.

        Return the response's status and the number of sends. With `stops`
        the instance is about to exit by then.
        """
        progress = []
        sends = []

        class RefusesFirst:
            def start(self, row, _order) -> asyncio.Task[SendResult]:
                return asyncio.create_task(self._send(row))

            async def _send(self, row) -> SendResult:
                sends.append(row.server.name)
                await asyncio.sleep(0.01)
                if len(sends) > 1:
                    answer = Answered(status=200, headers=(), body=b"")
                    return SendResult(end=answer)
                if stops:
                    progress.append(
                        StopProgress(elapsed_s=4.6, remaining_s=0.5)
                    )
                return SendResult(end=Shed(reason=ShedReason.OVERLOAD))

        steering = Steering(
            header_codec=PlatformHeaderCodec(),
            selector=_OneServer(),
            sender=RefusesFirst(),
            bounds=EdgeBounds(),
            fleet=lambda: [],
            catalog_age_s=lambda: 0.0,
            metrics=EdgeMetrics(),
            stop_progress=lambda: progress[-1] if progress else None,
            suspects=SuspectTable(),
            on_end=lambda fingerprint, server, request_id, sent_at: None,
            quotas=Unlimited(),
            arrivals=collections.Counter(),
        )
        steering.routes = RouteTable(
            version=1,
            by_host={"h": (_ROUTE,)},
            services={},
            limits=ClientLimits(),
        )
        response = await steering.handle(
            IncomingRequest(
                method="GET",
                target="/p/1",
                headers=[("Host", "h")],
                body=b"",
                arrived_at=asyncio.get_running_loop().time(),
            )
        )
        return response.status, len(sends)

    async def test_refused_request_is_not_sent_again_late_in_a_stop(
        self,
    ) -> None:
        """Guards against a send in the last moment that the exit cuts off."""
        self.assertEqual((503, 1), await self._serve(stops=True))

    async def test_refused_request_is_sent_again(self) -> None:
        """Checks that the request of the test above would be sent again."""
        self.assertEqual((200, 2), await self._serve(stops=False))
