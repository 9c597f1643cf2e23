"""Tests of `TargetClient` over real sockets."""

import asyncio
import json
import random
import re
import subprocess
import sys
import threading
import time

import attrs

from anvilford.model import AttemptFailed
from anvilford.model import AttemptNotStarted
from anvilford.model import AttemptSucceeded
from anvilford.targets import TargetClient
from anvilford.targets.tests._shared import Attempt
from anvilford.targets.tests._shared import encode_answer
from anvilford.targets.tests._shared import LOST
from anvilford.targets.tests._shared import NOT_SENT
from anvilford.targets.tests._shared import run_attempts
from anvilford.targets.tests._shared import SETTINGS
from standins import RawServer
from standins import TargetStandin
from testkit import function_tests

load_tests = function_tests(__name__)

# Fails to start the third of four threads.
FAILING_START = """
import threading
from anvilford.targets._client import _start_threads
start, count = threading.Thread.start, 0
def limited(thread):
    global count
    count += 1
    if count == 3:
        raise RuntimeError("can't start new thread")
    start(thread)
threading.Thread.start = limited
_start_threads(4, "target")
"""


def test_waiting_attempts_end_unsent_at_the_deadline(case):
    """Guards against tasks that are sent after their deadline.

    The second attempt waits for the only connection, or the only thread, until
    its deadline has passed. It must end as not sent and never reach the target.
    """
    for limits in ({"connections": 1}, {"threads": 1}):
        threads = limits.get("threads", 16)
        settings = attrs.evolve(SETTINGS, threads=threads)
        with RawServer(
            ["read", 0.5, encode_answer(200, {"result": 1})]
        ) as target:

            async def start(limit=limits, settings=settings, target=target):
                connections = limit.get("connections", 4)
                with TargetClient(settings, lambda _: connections) as client:
                    now = time.monotonic()
                    first = Attempt(target.address, now + 2)
                    late = attrs.evolve(
                        first, deadline=now + 0.1, attempt_id="a/2"
                    )
                    return await asyncio.gather(
                        client.start(first, 9000, ""),
                        client.start(late, 9000, ""),
                    )

            outcomes = asyncio.run(start())
        case.assertEqual(outcomes, [AttemptSucceeded(1), NOT_SENT])
        case.assertEqual(len(target.requests), 1)


def test_cancelled_attempt_is_never_sent(case):
    """Guards against a task that is sent after it was reported as not sent.

    The second attempt is cancelled while it waits for the only connection. Its
    thread gets the connection later and must not send the request.
    """

    async def start(target):
        with TargetClient(SETTINGS, lambda _: 1) as client:
            now = time.monotonic()
            first = Attempt(target.address, now + 2)
            second = attrs.evolve(first, attempt_id="a/2")
            running = asyncio.create_task(client.start(first, 9000, ""))
            waiting = asyncio.create_task(client.start(second, 9000, ""))
            await asyncio.sleep(0.05)
            await client.cancel(second)
            outcome = await waiting
            elapsed = time.monotonic() - now
            await running
            # In this time the second attempt's thread gets the connection.
            await asyncio.sleep(0.05)
            return outcome, elapsed

    ok = encode_answer(200, {"result": 1})
    with RawServer(["read", 0.3, ok, "read", ok], ["read", ok]) as target:
        outcome, elapsed = asyncio.run(start(target))
    case.assertEqual(outcome, NOT_SENT)
    case.assertLess(elapsed, 0.25)
    case.assertEqual(len(target.requests), 1)


def test_idle_connections_are_not_reused(case):
    """Guards against requests on a connection that the target is closing.

    A connection that was idle for longer than `idle_ms`, or was closed by the
    target, must be replaced; one that was idle for less must be reused.
    """
    ok = encode_answer(200, {"result": 1})
    settings = attrs.evolve(SETTINGS, idle_ms=60)

    async def start(pause, target):
        with TargetClient(settings, lambda _: 4) as client:
            outcomes = []
            for _ in range(2):
                attempt = Attempt(target.address, time.monotonic() + 2)
                outcomes.append(await client.start(attempt, 9000, "00-t"))
                # Prevents the idle check from closing the target's pool, so
                # that only the connection's own idle time counts.
                client._next_idle_check = time.monotonic() + 9
                await asyncio.sleep(pause)
        return outcomes

    table = [
        (["read", ok, "read", ok, "hold"], 0.0, 1),
        (["read", ok, "hold"], 0.12, 2),
        (["read", ok], 0.02, 2),
    ]
    for script, pause, connections in table:
        with RawServer(script, script) as target:
            outcomes = asyncio.run(start(pause, target))
        case.assertEqual(outcomes, [AttemptSucceeded(1)] * 2)
        case.assertEqual(target.connections, connections, script)


def test_request_carries_attempt_lease_and_trace(case):
    """Guards against a lease beyond the deadline and a lost trace context.

    The lease sent may exceed the 500 ms to the deadline by the grace period of
    40 ms only.
    """
    with RawServer(["read", encode_answer(200, {"result": 1})]) as target:
        run_attempts(target.address, (0.5, {"k": "é"}))
    head, _, body = target.requests[0].partition("\r\n\r\n")
    case.assertEqual(
        json.loads(body), {"operation": "op", "payload": {"k": "é"}}
    )
    lines = dict(line.split(": ") for line in head.split("\r\n")[1:])
    case.assertEqual(lines["Anvilford-Attempt"], "a/1")
    case.assertEqual(lines["traceparent"], "00-t")
    case.assertTrue(400 < int(lines["Anvilford-Lease-Ms"]) <= 540)


def test_cancel_reaches_a_target_whose_connections_are_all_used(case):
    """Guards against cancelled tasks that hold a slot until the lease ends.

    If the running attempt uses the only connection, that connection must be
    closed for the cancellation; with a second one it must stay open.
    """

    async def start(connections, target):
        with TargetClient(SETTINGS, lambda _: connections) as client:
            attempt = Attempt(
                target.address, time.monotonic() + 5, {"run_ms": 4000}
            )
            running = asyncio.create_task(client.start(attempt, 9000, ""))
            while not target.log:
                await asyncio.sleep(0.005)
            await client.cancel(attempt)
            # The target answers the cancellation before it records the
            # outcome.
            async with asyncio.timeout(2):
                while target.log[0].outcome is None:
                    await asyncio.sleep(0.005)
            return await running

    for connections, expected in ((1, LOST), (2, AttemptFailed("cancelled"))):
        with TargetStandin("127.0.0.1:0") as target:
            outcome = asyncio.run(start(connections, target))
            case.assertEqual(outcome, expected)
            case.assertEqual(target.log[0].outcome, "cancelled")
            case.assertLessEqual(
                target.stats()["max_open_connections"], connections
            )


def test_calls_start_no_threads(case):
    """Guards against a loop that waits for a new thread to get a core.

    The failure: the loop stood still for up to 1 s on a busy machine, since the
    first calls started the threads that they needed.
    """

    async def start(target):
        with TargetClient(SETTINGS, lambda _: 4) as client:
            before = set(threading.enumerate())
            attempts = [
                Attempt(
                    target.address, time.monotonic() + 9, None, f"a/{number}"
                )
                for number in range(12)
            ]
            starts = asyncio.gather(
                *(client.start(attempt, 9000, "") for attempt in attempts)
            )
            await asyncio.gather(starts, *map(client.cancel, attempts))
            return {
                thread.name for thread in set(threading.enumerate()) - before
            }

    with TargetStandin("127.0.0.1:0") as target:
        case.assertEqual(asyncio.run(start(target)), set())


def test_loop_runs_while_many_calls_wait(case):
    """Guards against calls that block the event loop's thread.

    Twelve calls share four connections. The target answers only when the loop,
    in a step of its own, has seen four requests wait for their answers, so a
    call that blocked the loop would get no answer. The loop's steps must also
    use little processor time.
    """
    waiting = []

    def answer_when_released(request):
        attempt_id = re.search("Anvilford-Attempt: (.*)\r", request)[1]
        released = threading.Event()
        waiting.append(released)
        released.wait(9)
        return encode_answer(200, {"result": attempt_id}, attempt=attempt_id)

    async def start(target):
        steps = []

        async def release():
            while True:
                before = time.thread_time()
                await asyncio.sleep(0.005)
                steps.append(time.thread_time() - before)
                if len(waiting) == 4:
                    requests = waiting[:]
                    waiting.clear()
                    for released in requests:
                        released.set()

        releasing = asyncio.create_task(release())
        with TargetClient(SETTINGS, lambda _: 4) as client:
            deadline = time.monotonic() + 8
            outcomes = await asyncio.gather(
                *(
                    client.start(
                        Attempt(target.address, deadline, None, f"a/{i}"),
                        9000,
                        "",
                    )
                    for i in range(12)
                )
            )
        releasing.cancel()
        return max(steps), outcomes

    script = ["read", answer_when_released] * 12
    with RawServer(*[script] * 12) as target:
        step, outcomes = asyncio.run(start(target))
    case.assertEqual(outcomes, [AttemptSucceeded(f"a/{i}") for i in range(12)])
    case.assertLess(step, 0.06)
    case.assertEqual(target.connections, 4)


def test_outcomes_agree_with_the_targets_log(case):
    """Guards against outcomes that contradict what the target ran.

    Attempts are started and cancelled at random while the target restarts.
    An attempt that ended as not started must be absent from the target's log,
    one with a result must be in it, and no attempt may be in it twice.
    """
    rng = random.Random(7)
    settings = attrs.evolve(SETTINGS, idle_ms=30, connect_timeout_ms=100)
    outcomes = {}
    logs = []

    async def call(client, caller, address, end):
        while time.monotonic() < end:
            now = time.monotonic()
            attempt = Attempt(
                address,
                now + rng.choice((0.02, 0.05, 0.3)),
                {"run_ms": rng.choice((0, 5, 40))},
                f"{caller}/{len(outcomes)}",
            )
            running = asyncio.create_task(client.start(attempt, 5000, ""))
            if rng.random() < 0.2:
                await asyncio.sleep(rng.random() * 0.02)
                await client.cancel(attempt)
            outcomes[attempt.attempt_id] = await running
            case.assertLess(time.monotonic(), attempt.deadline + 0.5)
            await asyncio.sleep(rng.random() * rng.choice((0, 0.05)))

    def crash(target, end):
        # Runs in a thread of its own, since the start and stop of a target
        # block. The calls' random source must not be shared with it.
        draw = random.Random(8).random
        while time.monotonic() < end:
            with target:
                time.sleep(draw() * 0.2)
                target.set_faults(drop_after_start=draw() < 0.3)
                time.sleep(draw() * 0.1)
            logs.extend(target.log)
            target = TargetStandin(target.address)
            time.sleep(draw() * 0.03)

    async def start(target):
        end = time.monotonic() + 1.5
        with TargetClient(settings, lambda _: 12) as client:
            calls = (call(client, i, target.address, end) for i in range(14))
            await asyncio.gather(asyncio.to_thread(crash, target, end), *calls)

    with TargetStandin("127.0.0.1:0") as first:
        pass
    asyncio.run(start(first))
    started = [entry.attempt for entry in logs]
    case.assertEqual(len(started), len(set(started)))
    for attempt_id, outcome in outcomes.items():
        if isinstance(outcome, AttemptNotStarted):
            case.assertNotIn(attempt_id, started, outcome)
        if isinstance(outcome, (AttemptSucceeded, AttemptFailed)):
            case.assertIn(attempt_id, started, outcome)
    kinds = {type(outcome) for outcome in outcomes.values()}
    case.assertGreaterEqual(len(kinds), 3, kinds)


def test_process_hangs_if_a_thread_cannot_start(case):
    """Guards against a process that neither starts nor ends.

    The threads that had started wait for the missing one without end.
    """
    try:
        ended = subprocess.run(
            [sys.executable, "-c", FAILING_START],
            timeout=5,
            capture_output=True,
            check=False,
        )
    except subprocess.TimeoutExpired:
        case.fail("still running after 5 s")
    case.assertEqual(ended.returncode, 1)
