"""Tests of the double of a target that receives orders over HTTP."""

import asyncio
import json
import time
from unittest import mock

from anvilford.http1 import CallFailed
from anvilford.http1 import HttpClient
from standins.runner import FakeTargetServer
from testkit import function_tests

load_tests = function_tests(__name__)

LATE_S = (0.2, 0.3)


async def send_late(restarts: bool) -> tuple[bool, list[int]]:
    """Sends a start that is late.

    Args:
        restarts: Whether the target restarts before it is carried out.

    Returns:
        Whether there was no answer, and the number of runs that had been
        started right after the order, after the call, and in the end.
    """
    order = {
        "task": "7.0",
        "run": 16,
        "spec": json.dumps({"seconds": 0.1, "cpu": 1}),
    }
    counts = []
    server = FakeTargetServer("t0", "a", "line")
    server.late_share = 1.0
    with HttpClient() as http, mock.patch("standins.runner.LATE_S", LATE_S):
        async with server:
            clock_ms = server.target.clock_ms(server.now())
            order["deadline_ms"] = clock_ms + 5000
            body = json.dumps(order).encode()
            sent_at = time.monotonic()
            answer = await http.call(
                server.address, "POST /v1/run-start", body, LATE_S[0] / 2
            )
            if restarts:
                server.restart()
            counts.append(len(server.target.starts))
            wait_s = sent_at + LATE_S[0] - 0.02 - time.monotonic()
            await asyncio.sleep(wait_s)
            counts.append(len(server.target.starts))
            await asyncio.sleep(LATE_S[1])
            counts.append(len(server.target.starts))
    return isinstance(answer, CallFailed), counts


def test_late_orders_are_carried_out_without_an_answer(case):
    """Guards against late orders that are lost, answered or not late."""
    case.assertEqual(asyncio.run(send_late(False)), (True, [0, 0, 1]))


def test_restarted_targets_do_not_carry_out_earlier_orders(case):
    """Guards against runs that the target's earlier process was to start."""
    case.assertEqual(asyncio.run(send_late(True)), (True, [0, 0, 0]))
