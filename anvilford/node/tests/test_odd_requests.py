"""Tests of requests with odd fields, at a real entry process."""

import asyncio
import json
import time

from standins.site import HOST
from standins.site import LoopbackSite
from testkit import function_tests

load_tests = function_tests(__name__)

ANSWER_TIME_S = 5.0
STEP = {"count": 1, "cpu": 1000, "mem_mb": 64, "estimate_ms": 50}
# Changes of a step, and the field that the answer must name.
ODD_STEPS = (
    ({"estimate_ms": 1e308}, "steps[0].estimate_ms"),
    ({"estimate_ms": -5}, "steps[0].estimate_ms"),
    ({"estimate_ms": True}, "steps[0].estimate_ms"),
    ({"cpu": 1e308}, "steps[0].cpu"),
    ({"cpu": -1000}, "steps[0].cpu"),
    ({"cpu": 10**400}, "steps[0].cpu"),
    ({"mem_mb": 2**64}, "steps[0].mem_mb"),
    ({"gpu": 1e308}, "steps[0].gpu"),
    ({"count": 10**9}, "steps[0].count"),
    ({"count": -1}, "steps[0].count"),
    ({"anti_affinity": -1}, "steps[0].anti_affinity"),
    ({"anti_affinity": 2**64}, "steps[0].anti_affinity"),
    ({"after": [0]}, "steps[0].after"),
    ({"after": 5}, "steps[0].after"),
    ({"requires": "\ud800"}, "steps[0].requires"),
    ({"affinity": "\ud800"}, "steps[0].affinity"),
    ({"affinity": "x" * 100_000}, "steps[0].affinity"),
)
# Changes of a job.
ODD_JOBS = (
    ({"spec": "\ud800"}, "spec"),
    ({"spec": "x" * 4001}, "spec"),
    ({"spec": {"a": 1}}, "spec"),
    ({"steps": 5}, "steps"),
    ({"steps": [5]}, "steps[0]"),
    ({"steps": [{}] * 60_000}, "steps"),
    ({"steps": []}, "steps[].count"),
)
# Bytes in place of the request line and the Host header, and whole heads.
ODD_HEADS = (
    b"POST /jobs/\xff\xfe\x80 HTTP/1.1\r\nHost: queue.example\r\n",
    b"POST /jobs/%00%ff?a=\xff HTTP/1.1\r\nHost: queue.example\r\n",
    b"POST /jobs/00000000000000a1#x HTTP/1.1\r\nHost: queue.example\r\n",
    b"POST http://[::1 HTTP/1.1\r\nHost: queue.example\r\n",
    b"POST * HTTP/1.1\r\nHost: queue.example\r\n",
    b"POST /jobs/00000000000000a2 HTTP/1.1\r\nHost: \xff\xfe:\x80\r\n",
    b"POST /jobs/00000000000000a3 HTTP/1.1\r\nHost: :::::\r\n",
    b"POST /jobs/00000000000000a4 HTTP/1.1\r\nHost:\r\n",
    b"POST /jobs/00000000000000a5 HTTP/1.1\r\n",
    b"DELETE /jobs/\xff HTTP/1.1\r\nHost: queue.example\r\n",
    b"DELETE /jobs/ HTTP/1.1\r\nHost: queue.example\r\n",
    b"PATCH /jobs/00000000000000a6 HTTP/1.1\r\nHost: queue.example\r\n",
)
DEADLINES = (
    str(10**400), "-" + str(10**400), "-1", "0", "", "x", "1e400", "nan", "inf",
    str(2**63), str(2**64), "9" * 5000, "\u00b2".encode().decode("latin-1"),
)  # fmt: skip


def make_body(change=None, **fields) -> bytes:
    """Returns the body of a job of one step with changes."""
    steps = [{**STEP, **(change or {})}]
    job = {
        "spec": '{"seconds": 0.05, "cpu": 1000}',
        "steps": steps,
        "best_effort": True,
        **fields,
    }
    return json.dumps(job).encode()


async def send(address: str, head: bytes, body: bytes) -> tuple[int, bytes]:
    """Sends a request on a new connection; returns status and body.

    The status is 0 if the connection was closed without an answer.
    """
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    length = f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
    writer.write(head + length.encode() + body)
    async with asyncio.timeout(ANSWER_TIME_S):
        answer = await reader.read()
    writer.close()
    if not answer:
        return 0, b""
    head, _, content = answer.partition(b"\r\n\r\n")
    return int(head.split(b" ", 2)[1]), content


def make_head(job_id: str, deadline: str = "1540") -> bytes:
    """Returns request line and headers of a submission."""
    head = (
        f"POST /jobs/{job_id} HTTP/1.1\r\nHost: {HOST}\r\n"
        f"X-Anvilford-Deadline-Ms: {deadline}\r\n"
    )
    return head.encode("latin-1")


def test_odd_field_is_answered_late_or_as_an_error_of_the_entry(case):
    """Guards against jobs with impossible values that are run or answered 500.

    The caller must learn at once which field is wrong.
    """

    async def scenario():
        async with LoopbackSite(entries=2) as site:
            address = site.entries["entry-0"].caller_address
            bodies = [(make_body(change), name) for change, name in ODD_STEPS]
            bodies += [(make_body(**job), name) for job, name in ODD_JOBS]
            bodies += [(b"[" * 100_000, ""), (b'{"steps":' * 20_000, "")]
            for body, name in bodies:
                with case.subTest(field=name, body=body[-60:]):
                    head = make_head(site.new_job_id())
                    started_at = time.monotonic()
                    status, content = await send(address, head, body)
                    case.assertEqual(status, 400)
                    case.assertLess(time.monotonic() - started_at, 1.0)
                    answer = json.loads(content)
                    case.assertEqual(answer["field"], name)
                    case.assertTrue(answer["allowed"])
            started = sum(len(t.target.starts) for t in site.targets)
            case.assertEqual(started, 0)
            answer = await site.submit("entry-0", site.new_job_id())
            case.assertEqual(answer.status, 200)

    asyncio.run(scenario())


def test_odd_head_is_answered_as_an_error_of_the_entry(case):
    """Guards against paths, hosts and deadlines that raise an exception."""

    async def scenario():
        async with LoopbackSite(entries=2) as site:
            entry = site.entries["entry-0"]
            for head in ODD_HEADS:
                with case.subTest(head=head):
                    status, _ = await send(
                        entry.caller_address, head, make_body()
                    )
                    case.assertIn(status, (400, 404, 405))
            for deadline in DEADLINES:
                with case.subTest(deadline=deadline[:20]):
                    head = make_head(site.new_job_id(), deadline)
                    status, _ = await send(
                        entry.caller_address, head, make_body()
                    )
                    case.assertIn(status, (200, 503))
            log = entry.log_path.read_text("utf-8", "replace")
            case.assertNotIn("Traceback", log)

    asyncio.run(scenario())
