"""Tests of callers whose connections break."""

import asyncio
import json
import random
from unittest import mock

from anvilford.http1 import HttpListener
from anvilford.http1 import ListenerLimits
from anvilford.http1 import Request
from anvilford.http1 import Response
from standins.site import LoopbackSite
from testkit import function_tests
from testkit.cuts._callers import Break
from testkit.cuts._callers import CallerConnections
from testkit.cuts._callers import CallerOptions
from testkit.cuts._callers import Callers
from testkit.cuts._callers import CallResult
from testkit.cuts._callers import PlannedBreak
from testkit.cuts._report import CutReport
from testkit.cuts._sites import JobKind

load_tests = function_tests(__name__)

REQUEST = b"GET / HTTP/1.1\r\nHost: queue.example\r\nContent-Length: 0\r\n\r\n"
ANSWER_AFTER_S = 0.4
BREAK_AFTER_S = 0.05
SEEN = {
    Break.FIN: False,
    Break.RESET: True,
    Break.SILENT: None,
    Break.UNCLOSED: None,
}


async def call_server(planned: PlannedBreak | None, timeout_s: float):
    """Calls a product's server that answers after `ANSWER_AFTER_S`.

    Returns:
        How the call ended, and what `Request.disconnected` was before the
        answer; None if it was pending.
    """
    seen: list[bool | None] = []

    async def handle(request: Request) -> Response:
        await asyncio.wait([request.disconnected], timeout=ANSWER_AFTER_S)
        is_done = request.disconnected.done()
        seen.append(request.disconnected.result() if is_done else None)
        return Response(200, b"{}")

    async with HttpListener("127.0.0.1:0", handle, ListenerLimits()) as server:
        with CallerConnections() as connections:
            result = await connections.call(
                server.address, REQUEST, timeout_s, planned
            )
            await asyncio.sleep(ANSWER_AFTER_S)
    return result.how, result.status, seen


def test_servers_see_how_a_connection_breaks(case):
    """Guards against breaks that are not sent, or sent as another kind.

    An earlier trial meant to reset connections, and closed them in order.
    """
    for how, disconnected in SEEN.items():
        planned = PlannedBreak(how, BREAK_AFTER_S)
        result = asyncio.run(call_server(planned, 5.0))
        case.assertEqual(result, (how.value, 0, [disconnected]))


def test_answers_before_a_break_count(case):
    """Guards against a job that is sent again after its answer came."""
    planned = PlannedBreak(Break.RESET, 2.0)
    result = asyncio.run(call_server(planned, 5.0))
    case.assertEqual(result, ("answer", 200, [None]))


def test_callers_close_at_their_deadline(case):
    """Guards against a caller that waits on, or whose end counts as a break."""
    planned = PlannedBreak(Break.RESET, 2.0)
    result = asyncio.run(call_server(planned, 0.1))
    case.assertEqual(result, ("deadline", 0, [False]))
    planned = PlannedBreak(Break.UNCLOSED, 0.1)
    result = asyncio.run(call_server(planned, 0.1))
    case.assertEqual(result, ("unclosed", 0, [None]))


def test_refused_connections_have_no_answer(case):
    """Guards against a caller that ends the play if an entry is down."""

    async def call() -> CallResult:
        with CallerConnections() as connections:
            return await connections.call("127.0.0.1:1", REQUEST, 1.0)

    case.assertEqual(asyncio.run(call()), CallResult(0, "refused"))


class RecordedConnections(CallerConnections):
    """Records requests, as (run time, estimate, deadline), and answers them."""

    def __init__(self):
        super().__init__()
        self.calls: list[tuple[float, float, float]] = []

    async def call(self, address, request, timeout_s, planned=None):
        """Records a request."""
        head, _, body = request.partition(b"\r\n\r\n")
        document = json.loads(body)
        seconds = json.loads(document["spec"])["seconds"]
        estimate_ms = document["steps"][0]["estimate_ms"]
        deadline = f"X-Anvilford-Deadline-Ms: {timeout_s * 1000:.0f}\r\n"
        assert deadline.encode() in head, head
        self.calls.append((seconds, estimate_ms / 1000, timeout_s))
        return CallResult(200, "answer")


def submit(options: CallerOptions, jobs: int) -> list[tuple]:
    """Submits jobs of one kind, and returns the calls."""
    site = LoopbackSite()
    entry = mock.Mock(caller_address="127.0.0.1:1")
    site.entries = {"entry-0": entry}
    connections = RecordedConnections()
    rates = iter([1e6] * jobs + [None])
    callers = Callers(site, random.Random(1), options, connections, CutReport())
    kind = JobKind("plan", 1.0, 2, 0.5)
    asyncio.run(callers.submit_jobs(kind, lambda _: next(rates)))
    return connections.calls


def test_some_jobs_are_long(case):
    """Guards against long jobs without run time, estimate or deadline."""
    plain = submit(CallerOptions(1.5), 200)
    long = submit(CallerOptions(1.5, long_share=1.0, long_ratio=20.0), 200)
    mixed = submit(CallerOptions(1.5, long_share=0.25, long_ratio=20.0), 200)
    case.assertEqual({call[1:] for call in plain}, {(0.5, 1.5)})
    case.assertEqual({call[1:] for call in long}, {(10.0, 30.0)})
    for a, b in zip(plain, long, strict=True):
        case.assertAlmostEqual(20.0 * a[0], b[0])
    share = sum(call[2] == 30.0 for call in mixed) / len(mixed)
    case.assertTrue(0.15 < share < 0.35, share)
