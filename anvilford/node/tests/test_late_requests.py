"""Tests of requests that an entry reads long after their callers sent them."""

import asyncio
import contextlib
import json
import signal
import time

import uvloop

from anvilford.node import _clock as clock
from anvilford.node._progress import LoopProgress
from standins.site import HOST
from standins.site import LoopbackSite
from testkit import function_tests

load_tests = function_tests(__name__)

DEADLINE_S = 1.5
TASK_S = 0.3
# Longest time in which an entry reads what has arrived while it was suspended
# and answers, unless a task runs first.
ANSWER_S = 5.0


def make_request(
    job_id: str, deadline_s: float = DEADLINE_S, task_s: float = TASK_S
) -> bytes:
    """Returns the bytes of a request with a job of one task."""
    document = {
        "spec": json.dumps({"seconds": task_s, "cpu": 6800}),
        "steps": [
            {
                "count": 1,
                "cpu": 6800,
                "mem_mb": 64,
                "estimate_ms": int(task_s * 1000),
            }
        ],
        "best_effort": True,
    }
    body = json.dumps(document)
    return (
        f"POST /jobs/{job_id} HTTP/1.1\r\nHost: {HOST}\r\n"
        f"X-Anvilford-Deadline-Ms: {int(deadline_s * 1000)}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n{body}"
    ).encode()


async def read_head(reader: asyncio.StreamReader) -> tuple[int, bytes]:
    """Returns status and head of an answer, and reads its body."""
    head = await reader.readuntil(b"\r\n\r\n")
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            await reader.readexactly(int(line.partition(b":")[2]))
    return int(head.split(b" ", 2)[1]), head


def started_jobs(site: LoopbackSite) -> set[str]:
    """Returns the ids of the jobs of which a task has started."""
    return {
        task.partition(".")[0]
        for server in site.targets
        for _, task, _ in server.target.starts
    }


@contextlib.asynccontextmanager
async def connected_follower():
    """Starts a site; yields it, an entry that does not lead, and a connection.

    The connection has carried a request before.
    """
    async with LoopbackSite() as site:
        await site.submit("entry-0", site.new_job_id())
        leader = site.leader_name()
        entry = next(e for n, e in site.entries.items() if n != leader)
        host, _, port = entry.caller_address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(make_request(site.new_job_id()))
        await read_head(reader)
        yield site, entry, (reader, writer)
        writer.close()


async def open_connection(
    entry,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Opens a connection for a caller."""
    host, _, port = entry.caller_address.rpartition(":")
    return await asyncio.open_connection(host, int(port))


async def send_while_suspended(
    deadline_s: float, asleep_s: float, task_s: float = TASK_S
):
    """Sends jobs to a suspended entry over an open and a new connection.

    Args:
        deadline_s: Time for which the callers wait, in seconds.
        asleep_s: Time for which the entry is suspended, in seconds.
        task_s: Run time of the task of each job.

    Returns:
        For each of the two jobs status, head of the answer, and whether a task
        of it has started.
    """
    async with connected_follower() as (site, entry, (reader, writer)):
        entry.send_signal(signal.SIGSTOP)
        await asyncio.sleep(0.2)
        jobs = [site.new_job_id(), site.new_job_id()]
        writer.write(make_request(jobs[0], deadline_s, task_s))
        new_reader, new_writer = await open_connection(entry)
        new_writer.write(make_request(jobs[1], deadline_s, task_s))
        await asyncio.sleep(asleep_s)
        entry.send_signal(signal.SIGCONT)
        async with asyncio.timeout(ANSWER_S):
            answers = [await read_head(reader), await read_head(new_reader)]
        new_writer.close()
        started = started_jobs(site)
        return [
            (status, head, job in started)
            for (status, head), job in zip(answers, jobs, strict=True)
        ]


def test_request_read_after_its_deadline_starts_a_task(case):
    """Guards against a task that runs twice after an entry was suspended.

    The callers' deadlines were over when the entry read the requests. They had
    left without closing, and had sent the jobs to other entries (seed 44112).
    """
    for status, head, is_started in asyncio.run(
        send_while_suspended(DEADLINE_S, DEADLINE_S + 0.5)
    ):
        case.assertEqual((status, is_started), (503, False))
        case.assertIn(b"\r\nRetry-After: ", head)


def test_request_read_before_its_deadline_is_lost(case):
    """Guards against jobs refused although their callers still wait.

    The tasks are so long that the jobs still meet the objective of their queue.
    """
    for status, _, is_started in asyncio.run(
        send_while_suspended(4.0, 0.5, 1.0)
    ):
        case.assertEqual((status, is_started), (200, True))


def test_request_read_late_has_the_whole_deadline(case):
    """Guards against a run that goes on after its caller has given up.

    The entry read the request 1 s after it was sent, and counted the deadline
    from then.
    """

    async def scenario():
        async with connected_follower() as (site, entry, (reader, writer)):
            entry.send_signal(signal.SIGSTOP)
            await asyncio.sleep(0.2)
            writer.write(make_request(site.new_job_id(), 2.0, 10.0))
            sent_at = time.monotonic()
            await asyncio.sleep(1.0)
            entry.send_signal(signal.SIGCONT)
            job = site.new_job_id()
            # A new request of the same length, read when it arrives.
            await asyncio.sleep(0.5)
            other_reader, other_writer = await open_connection(entry)
            other_writer.write(make_request(job, 2.0, 10.0))
            other_at = time.monotonic()
            async with asyncio.timeout(ANSWER_S + 5.0):
                await read_head(reader)
                late_s = time.monotonic() - sent_at
                await read_head(other_reader)
            other_s = time.monotonic() - other_at
            other_writer.close()
            return late_s, other_s

    late_s, other_s = asyncio.run(scenario())
    # As from a caller that is read in time, within the precision of the marks.
    case.assertLess(late_s, other_s + 0.3)
    case.assertGreater(other_s, 1.5)


def test_request_starts_a_task_after_its_caller_has_closed(case):
    """Guards against a run for a caller that closed its connection in order.

    The entry read the request and, after the offer, that the caller was gone.
    """

    async def scenario():
        async with connected_follower() as (site, entry, (_, writer)):
            entry.send_signal(signal.SIGSTOP)
            await asyncio.sleep(0.2)
            job = site.new_job_id()
            writer.write(make_request(job, 10.0))
            await writer.drain()
            writer.close()
            await asyncio.sleep(1.0)
            entry.send_signal(signal.SIGCONT)
            await asyncio.sleep(1.0)
            case.assertNotIn(job, started_jobs(site))

    asyncio.run(scenario())


def test_pipelined_request_has_the_whole_deadline_at_its_turn(case):
    """Guards against a run of a job that waited behind a long one.

    Its caller's deadline was over when the answer before it was written. The job
    behind it is so long that it still meets the objective of its queue.
    """

    async def scenario():
        async with connected_follower() as (site, _, (reader, writer)):
            first, second, third = (site.new_job_id() for _ in range(3))
            writer.write(make_request(first, 4.0, 1.0))
            writer.write(make_request(second, 0.7))
            writer.write(make_request(third, 6.0, 2.0))
            async with asyncio.timeout(ANSWER_S):
                statuses = [(await read_head(reader))[0] for _ in range(3)]
            case.assertEqual(statuses, [200, 503, 200])
            case.assertEqual(
                {first, second, third} & started_jobs(site), {first, third}
            )

    asyncio.run(scenario())


def test_data_read_after_a_pause_of_the_loop_counts_as_new(case):
    """Guards against marks that hide a pause from what is read just after it.

    The loop reads what has waited in one or two rounds, and marks lie between.
    """

    async def scenario():
        with LoopProgress() as progress:
            await asyncio.sleep(0.3)
            case.assertLess(clock.now() - progress.earliest_arrival(), 0.01)
            paused_at = clock.now()
            time.sleep(0.5)
            for _ in range(5):
                case.assertLess(progress.earliest_arrival(), paused_at)
                await asyncio.sleep(0)
            await asyncio.sleep(0.3)
            case.assertLess(clock.now() - progress.earliest_arrival(), 0.01)

    for run in (asyncio.run, uvloop.run):
        run(scenario())
