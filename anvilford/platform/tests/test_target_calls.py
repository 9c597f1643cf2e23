"""Tests of the calls to targets, against a stand-in of a target."""

import asyncio
import json
import time

from anvilford.http1 import HttpClient
from anvilford.placement import Accepted
from anvilford.placement import Poll
from anvilford.placement import Report
from anvilford.placement import Restarted
from anvilford.placement import StartRun
from anvilford.platform import TargetClient
from standins.runner import FakeTargetServer
from testkit import function_tests

load_tests = function_tests(__name__)

TIMEOUT_S = 1.0


def make_start(server, number=0):
    """Returns the order to start a task of half a second at a target."""
    return StartRun(
        server.name,
        server.incarnation,
        f"job.0.0.{number}",
        1,
        json.dumps({"seconds": 0.5, "cpu": 100}),
        server.target.clock_ms(time.monotonic()) + 1000,
        1,
    )


def with_target(scenario):
    """Runs an async test body with a target and a client for it."""

    async def main():
        async with FakeTargetServer("t1", "a", "line") as server:
            with HttpClient() as http:
                await scenario(server, http, TargetClient(http))

    asyncio.run(main())


def test_start_reaches_a_target_that_has_restarted_as_another_kind(case):
    """Guards against a task on a target without the label that it requires.

    A start names its target by the id only. The target had crashed unnoticed
    and was back under its id as another kind.
    """

    async def scenario(server, http, client):
        order = make_start(server)
        poll = Poll("t1", server.incarnation, 1, None, 0, 0, 0.0)
        report = await client.poll(server.address, poll, TIMEOUT_S)
        case.assertIsInstance(report, Report)
        server.restart()
        # The connections of a process end with it.
        http.close_idle_connections(server.address)
        answer = await client.start(server.address, order, TIMEOUT_S)
        case.assertEqual(answer, Restarted(server.incarnation))
        case.assertEqual(server.target.starts, [])

    with_target(scenario)


def test_starts_of_a_wide_job_are_all_sent(case):
    """Starts that need new connections at the same time must not fail."""

    async def scenario(server, http, client):
        del http
        answers = await asyncio.gather(
            *(
                client.start(server.address, make_start(server, n), TIMEOUT_S)
                for n in range(12)
            )
        )
        for answer in answers:
            case.assertIsInstance(answer, Accepted)
        case.assertEqual(len(server.target.starts), 12)

    with_target(scenario)


def test_start_to_a_known_process_needs_no_poll(case):
    """Each start must not cost a poll: targets answer hundreds a second."""

    async def scenario(server, http, client):
        del http
        polls = []
        answer_poll = server.target.poll
        server.target.poll = lambda order, now: (
            polls.append(order) or answer_poll(order, now)
        )
        for n in range(5):
            order = make_start(server, n)
            answer = await client.start(server.address, order, TIMEOUT_S)
            case.assertIsInstance(answer, Accepted)
        case.assertEqual(len(polls), 1)

    with_target(scenario)
