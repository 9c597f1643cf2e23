"""Tests of the classification of attempts against scripted raw sockets."""

import socket
import time

from anvilford.model import AttemptFailed
from anvilford.model import AttemptNotStarted
from anvilford.model import AttemptSucceeded
from anvilford.model import AttemptUnknown
from anvilford.model import NotStartedReason
from anvilford.targets.tests._shared import BAD
from anvilford.targets.tests._shared import encode_answer
from anvilford.targets.tests._shared import LOST
from anvilford.targets.tests._shared import MISMATCH
from anvilford.targets.tests._shared import NOT_SENT
from anvilford.targets.tests._shared import REFUSED
from anvilford.targets.tests._shared import run_attempts
from anvilford.targets.tests._shared import TIMEOUT
from standins import RawServer
from testkit import function_tests

load_tests = function_tests(__name__)

OK = {"result": {"x": 1}}
FAILED = {"type": "task_failed", "message": "no"}
BUSY = {"type": "not_run", "reason": "busy"}
CHUNK = b'1d\r\n{"attempt": "a/1","result":3}\r\n'
CHUNKED = b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n"
ANSWERS = [
    (encode_answer(200, OK), AttemptSucceeded({"x": 1})),
    (encode_answer(200, {"result": None}), AttemptSucceeded(None)),
    (encode_answer(500, FAILED), AttemptFailed("no")),
    (encode_answer(503, BUSY), AttemptNotStarted(NotStartedReason.BUSY)),
    (
        encode_answer(503, BUSY, reason="leaving"),
        AttemptNotStarted(NotStartedReason.LEAVING),
    ),
    (
        encode_answer(503, BUSY, reason="lease"),
        AttemptNotStarted(NotStartedReason.LEASE),
    ),
    (encode_answer(503, BUSY, reason="not_sent"), BAD),
    (encode_answer(503, BUSY, attempt="a/2"), MISMATCH),
    (encode_answer(200, OK, attempt="a/2"), MISMATCH),
    (encode_answer(200, OK, attempt=None), MISMATCH),
    (encode_answer(500, BUSY), BAD),
    (encode_answer(503, FAILED), BAD),
    (encode_answer(503, "busy"), BAD),
    (encode_answer(200, {}), BAD),
    (encode_answer(200, "[1]"), BAD),
    (encode_answer(200, '{"attempt": "a/1", "result": NaN}'), BAD),
    (encode_answer(200, "[" * 1900), BAD),
    (encode_answer(200, OK, length=100), BAD),
    (encode_answer(200, {"result": "x" * 2000}), BAD),
    (CHUNKED + CHUNK + b"0\r\n\r\n", AttemptSucceeded(3)),
    (CHUNKED + CHUNK, BAD),
    (CHUNKED + CHUNK[:20], BAD),
    (b"HTTP/1.1 200 X\r\n\r\n" + CHUNK[4:], AttemptSucceeded(3)),
    (b"HTTP/1.1 200 X\r\n\r\n" + CHUNK[4:20], BAD),
    (encode_answer(302, OK, "Location: /v1/tasks\r\n"), BAD),
    (encode_answer(429, OK), BAD),
    (encode_answer(200, OK, "Content-Encoding: gzip\r\n"), AttemptSucceeded),
    (b"SSH-2.0-x\r\n\r\n", BAD),
    (b"HTTP/1.1 200 X\r\n" + b"A: b\r\n" * 200, BAD),
    (b"", LOST),
    (b"HTTP/1.1 20", BAD),
]


def test_answers_are_classified_exactly(case):
    """Guards against responses that are taken for another outcome.

    A task that may have run would be run again if its response counted as not
    started, and a malformed response must not count as a result. Each response
    must be classified without a second connection.
    """
    for sent, expected in ANSWERS:
        with RawServer(["read", sent]) as target:
            (outcome,) = run_attempts(target.address)
        if isinstance(expected, type):
            case.assertIsInstance(outcome, expected)
        else:
            case.assertEqual(outcome, expected, sent)
        case.assertEqual(target.connections, 1, sent)


def test_connection_of_a_bad_answer_is_replaced(case):
    """Guards against a target that stays unusable after a bad response.

    The target may have one connection. After a response that is too large,
    truncated or missing, the next attempt must succeed on a new connection.
    """
    ok = ["read", encode_answer(200, {"result": 1})]
    for bad in (
        encode_answer(200, "x" * 300_000),
        encode_answer(200, "{}", length=9),
        b"",
    ):
        with RawServer(["read", bad], ok) as target:
            outcomes = run_attempts(
                target.address, *[(2.0, None)] * 2, connections=1
            )
        case.assertIsInstance(outcomes[0], AttemptUnknown)
        case.assertEqual(outcomes[1], AttemptSucceeded(1))


def test_lost_connections_are_unknown(case):
    """Guards against retries of tasks that may have run.

    The target resets the connection, stops responding or responds slowly while
    the request is sent or the response is read. The outcome must be unknown,
    and each attempt must end soon after its deadline.

    On a busy machine the deadline can pass before the first byte. If the target
    received none either, the attempt is repeated with more time.
    """
    big = "x" * 8_000_000
    table = [
        # If the reset arrives while connecting, nothing was sent.
        (["reset"], None, {LOST, NOT_SENT}),
        (["read", "reset"], None, {LOST}),
        (["read", "hold"], None, {TIMEOUT}),
        (["read", *[b"H", 0.05] * 40], None, {TIMEOUT}),
        ([2.0], big, {TIMEOUT}),
        ([0.05, "reset"], big, {LOST}),
        (
            ["read", encode_answer(200, {}, length=900), "reset"],
            None,
            {LOST, BAD},
        ),
    ]
    for script, payload, expected in table:
        for seconds in (0.2, 0.4, 0.8, 1.6):
            started = time.monotonic()
            with RawServer(script) as target:
                (outcome,) = run_attempts(target.address, (seconds, payload))
                elapsed = time.monotonic() - started
                if outcome in expected or outcome != NOT_SENT:
                    break
                target.wait()
            case.assertFalse(target.received_any, script)
        case.assertIn(outcome, expected, script)
        case.assertLess(elapsed, seconds + 0.6)


def test_nothing_sent_is_provable(case):
    """Guards against an unknown outcome for tasks that were not sent.

    Covers a refused connection, an expired deadline or lease, a target without
    connections, a payload that is not JSON, and a connect that times out.
    """
    with socket.create_server(("127.0.0.1", 0)) as closed:
        address = f"127.0.0.1:{closed.getsockname()[1]}"
    case.assertEqual(run_attempts(address), [REFUSED])
    with RawServer() as target:
        case.assertEqual(
            run_attempts(target.address, (-0.01, None)), [NOT_SENT]
        )
        case.assertEqual(run_attempts(target.address, lease_ms=0), [NOT_SENT])
        case.assertEqual(
            run_attempts(target.address, connections=0), [NOT_SENT]
        )
        case.assertEqual(
            run_attempts(target.address, (1, object())), [NOT_SENT]
        )
    # A listener with a backlog of 0 holds one connection in its queue; the next
    # one is never established.
    with socket.create_server(("127.0.0.1", 0), backlog=0) as full:
        host, port = full.getsockname()
        with socket.create_connection((host, port)):
            case.assertEqual(
                run_attempts(f"{host}:{port}", (0.1, None)), [NOT_SENT]
            )
