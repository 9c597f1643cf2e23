"""Tests of cancellations at real entry processes."""

import asyncio
import signal
import time

from anvilford.http1 import ClientResponse
from standins.site import HOST
from standins.site import LoopbackSite
from testkit import function_tests

load_tests = function_tests(__name__)

# `cancel_ms` and `stop_timeout_ms` of the sites with the shortest bounds.
CANCEL_S = 3.05
CANCELED = (200, b'{"state":"canceled"}')
# A job of two steps with two tasks each, one step after the other.
TASK_S = 2.0
STEP = {"count": 2, "cpu": 6800, "mem_mb": 64, "estimate_ms": 2000}
STEPS = [STEP, {**STEP, "after": [0]}]


async def cancel(site: LoopbackSite, entry: str, job_id: str):
    """Sends DELETE for a job; returns status and body of the answer."""
    answer = await site.http.call(
        site.entries[entry].caller_address,
        f"DELETE /jobs/{job_id}",
        b"",
        2.0,
        f"Host: {HOST}\r\n",
    )
    return describe(answer)


def describe(answer) -> tuple[int, bytes]:
    """Returns status and body of an answer; (0, b"") if there was none."""
    if isinstance(answer, ClientResponse):
        return answer.status, answer.body
    return 0, b""


def submit(site: LoopbackSite, entry: str, job_id: str) -> asyncio.Future:
    """Starts a request with a job of two steps; returns its future answer."""
    return asyncio.ensure_future(
        site.submit(entry, job_id, seconds=TASK_S, timeout=12.0, steps=STEPS)
    )


def count_runs(site: LoopbackSite) -> tuple[int, int]:
    """Returns the number of runs that have started and that go on."""
    for server in site.targets:
        server.target.advance(time.monotonic())
    started = sum(len(server.target.starts) for server in site.targets)
    running = sum(len(server.target.running) for server in site.targets)
    return started, running


async def lead(site: LoopbackSite) -> tuple[str, list[str]]:
    """Runs a job; returns the names of the leader and of the other entries."""
    await site.submit("entry-0", site.new_job_id())
    leader = site.leader_name()
    return leader, [name for name in site.entries if name != leader]


def test_cancelled_job_goes_on(case):
    """Guards against tasks of a job that its caller has cancelled.

    The request for the job waits at one entry; each entry cancels one job.
    """

    async def scenario():
        async with LoopbackSite() as site:
            leader, others = await lead(site)
            for by in (leader, *others):
                before, _ = count_runs(site)
                job = site.new_job_id()
                answer = submit(site, others[0], job)
                await asyncio.sleep(0.4)
                case.assertEqual(count_runs(site), (before + 2, 2))
                case.assertEqual(await cancel(site, by, job), CANCELED)
                case.assertEqual(describe(await answer), CANCELED)
                await asyncio.sleep(0.3)
                case.assertEqual(count_runs(site), (before + 2, 0))
                again = await site.submit(others[1], job)
                case.assertEqual(describe(again), CANCELED)
            await asyncio.sleep(TASK_S)
            case.assertEqual(count_runs(site), (before + 2, 0))

    asyncio.run(scenario())


def test_job_that_is_not_in_progress_counts_as_cancelled(case):
    """Guards against an acknowledgement for a job that has ended or never was."""

    async def scenario():
        async with LoopbackSite() as site:
            _, others = await lead(site)
            job = site.new_job_id()
            answer = await site.submit(others[0], job)
            case.assertEqual(describe(answer)[0], 200)
            for ended in (job, site.new_job_id()):
                status, _ = await cancel(site, others[1], ended)
                case.assertEqual(status, 410)
            again = await site.submit(others[1], job)
            case.assertEqual(describe(again), describe(answer))

    asyncio.run(scenario())


def test_cancellation_ends_with_its_leader(case):
    """Guards against a cancelled job that a new leader takes over.

    The leader is killed right after the acknowledgement, before it has told
    the entry at which the request waits.
    """

    async def scenario():
        async with LoopbackSite() as site:
            leader, others = await lead(site)
            job = site.new_job_id()
            answer = submit(site, others[0], job)
            await asyncio.sleep(0.4)
            before = count_runs(site)
            status, _ = await cancel(site, others[1], job)
            site.entries[leader].stop(signal.SIGKILL)
            case.assertEqual(status, 200)
            await asyncio.sleep(CANCEL_S)
            case.assertEqual(count_runs(site), (before[0], 0))
            case.assertEqual(describe(await answer), CANCELED)
            again = await site.submit(others[1], job)
            case.assertEqual(describe(again), CANCELED)
            case.assertEqual(count_runs(site), (before[0], 0))

    asyncio.run(scenario())


def test_cancellation_is_lost_without_a_leader(case):
    """Guards against a cancellation that is dropped while there is no leader.

    The leader is suspended, and the cancellation arrives before the others have
    found another one.
    """

    async def scenario():
        async with LoopbackSite() as site:
            leader, others = await lead(site)
            job = site.new_job_id()
            answer = submit(site, others[0], job)
            await asyncio.sleep(0.4)
            started, _ = count_runs(site)
            site.entries[leader].send_signal(signal.SIGSTOP)
            sent_at = time.monotonic()
            status, _ = await cancel(site, others[1], job)
            elapsed = time.monotonic() - sent_at
            case.assertIn(status, (200, 410, 503))
            case.assertLess(elapsed, 1.9)
            await asyncio.sleep(CANCEL_S)
            case.assertEqual(count_runs(site), (started, 0))
            case.assertEqual(describe(await answer), CANCELED)
            site.entries[leader].send_signal(signal.SIGCONT)
            await asyncio.sleep(1.0)
            case.assertEqual(count_runs(site), (started, 0))

    asyncio.run(scenario())
