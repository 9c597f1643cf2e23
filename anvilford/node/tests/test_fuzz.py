"""Test of a running entry that receives malformed messages on all listeners."""

import asyncio
import contextlib
import json
import random

from anvilford.http1 import ClientResponse
from anvilford.leadership import Member
from anvilford.model import Incarnation
from anvilford.peers import PeerLimits
from anvilford.placement import JobSpec
from anvilford.placement import LossState
from anvilford.placement import Offer
from anvilford.placement import QueuePolicy
from anvilford.placement import Resources
from anvilford.placement import StepSpec
from anvilford.placement import TargetLoss
from anvilford.protocol import CancelJob
from anvilford.protocol import encode
from anvilford.protocol import Envelope
from anvilford.protocol import Hello
from anvilford.protocol import LeaderQuery
from anvilford.protocol import TargetLossReport
from anvilford.protocol import WithdrawJob
from standins.site import HOST
from standins.site import LoopbackSite
from testkit import function_tests

load_tests = function_tests(__name__)

MESSAGES = 150
# Time for which a message is allowed to be answered.
ANSWER_TIME_S = 0.05
SENDER = Incarnation("a", "127.0.0.1:1", "token")
STEP = {"count": 1, "cpu": 1000, "mem_mb": 64, "estimate_ms": 50}
JOB = {"spec": '{"seconds": 0.05, "cpu": 1000}', "steps": [STEP]}
VALUES = (
    None, -1, 0, 2**70, 1e308, float("nan"), "", "x" * 5000, [], {}, [[]], True,
)  # fmt: skip


async def send(address, data):
    """Sends bytes on a new connection and reads what comes back for a while."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    with contextlib.suppress(OSError, TimeoutError):
        writer.write(data)
        await writer.drain()
        if data[-1:] in b"\n}":
            writer.write_eof()
        async with asyncio.timeout(ANSWER_TIME_S):
            await reader.read()
    writer.close()


def damaged(rng, data):
    """Returns the bytes with one damage: cut off, replaced or repeated."""
    position = rng.randrange(len(data))
    match rng.randrange(4):
        case 0:
            return data[:position]
        case 1:
            return data[:position] + rng.randbytes(4) + data[position + 4 :]
        case 2:
            return data[:position] + data
        case _:
            return data[:position] + b"\xff" * rng.randrange(1, 4000)


def job_body(rng):
    """Returns a job with one strange value, or with very deep nesting."""
    if rng.random() < 0.1:
        return b'{"steps":' * 20000
    if rng.random() < 0.1:
        return b'{"spec":"a","spec":1,"steps":[],"steps":[' + b"[" * 50 + b"]}"
    job = json.loads(json.dumps(JOB))
    part = job if rng.random() < 0.4 else job["steps"][0]
    part[rng.choice(list(part))] = rng.choice(VALUES)
    return json.dumps(job).encode()


def caller_request(rng, job_id):
    """Returns a request of a caller that is strange or damaged."""
    body = job_body(rng)
    head = (
        f"POST /jobs/{job_id} HTTP/1.1\r\nHost: {HOST}\r\n"
        f"X-Anvilford-Deadline-Ms: {rng.choice(VALUES)}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    ).encode()
    request = head + body
    return damaged(rng, request) if rng.random() < 0.5 else request


def frame(message):
    """Returns the frame of a message."""
    body = encode(Envelope(1, False, message))
    return len(body).to_bytes(4, "big") + body


def peer_bytes(rng, job_id):
    """Returns damaged frames of another entry, most of them after its hello."""
    policy = QueuePolicy("q", "s", 0, 3, 1.6, 60)
    spec = JobSpec("{}", (StepSpec(1, Resources(1000), 50),))
    message = rng.choice(
        (
            Offer(job_id, "entry-9", policy, spec, 0.0, 1.0),
            LeaderQuery(Member("entry-9", "a", "127.0.0.1:1", 1.0, "t"), 1),
            WithdrawJob(job_id, "entry-9"),
            CancelJob(job_id),
            TargetLossReport(
                (TargetLoss("r", 1, ("t",), LossState.SILENT, ("t",)),)
            ),
        )
    )
    hello = frame(Hello("anvilford", SENDER))
    if rng.random() < 0.2:
        return damaged(rng, hello)
    if rng.random() < 0.1:
        return hello + PeerLimits().max_frame_bytes.to_bytes(5, "big") + hello
    return hello + damaged(rng, frame(message))


def test_malformed_messages_do_not_end_or_block_an_entry(case):
    """One malformed message must not take a process or its event loop down.

    The messages come from callers, other entries and operators, while the
    entry serves jobs.
    """
    rng = random.Random(25)

    async def scenario():
        async with LoopbackSite(entries=2) as site:
            entry = site.entries["entry-0"]
            process = entry.process
            peers = json.loads(entry.settings_path.read_text())["peers"]
            for _ in range(MESSAGES):
                job_id = site.new_job_id()
                await asyncio.gather(
                    send(entry.caller_address, caller_request(rng, job_id)),
                    send(peers, peer_bytes(rng, job_id)),
                    send(
                        entry.metrics_address,
                        damaged(rng, b"GET /v1/status HTTP/1.1\r\n\r\n"),
                    ),
                )
            answer = await site.submit("entry-0", site.new_job_id())
            case.assertIsInstance(answer, ClientResponse)
            case.assertEqual(answer.status, 200)
            case.assertIs(entry.process, process)
            case.assertIsNone(process.poll())
            log = entry.log_path.read_text("utf-8", "replace")
            case.assertNotIn("Traceback", log)

    asyncio.run(scenario())
