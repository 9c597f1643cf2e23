"""Tests of isolation, rejections, cancellation and connections of callers."""

import atexit
import functools
import http.client
import json
import re
import socket
import threading

from anvilford.daemon.tests import system
from standins import cluster
from testkit import fixture
from testkit import function_tests

load_tests = function_tests(__name__)

CONNECTIONS = 64
ROUNDS = 6
# Slots of a target, as `standins.target` sets them.
TARGET_SLOTS = 8
AUTHORIZATION = {"Authorization": f"Bearer {cluster.CALLER_TOKEN}"}


@functools.cache
def shared_site():
    """Returns one system for all tests of the module; none damages it."""
    site = cluster.Site(entries_per_zone=2).__enter__()
    atexit.register(site.__exit__, None, None, None)
    return site


@fixture
def site():
    """Two entries of one zone."""
    yield shared_site()


def test_other_caller_sees_nothing(case, site):
    """A caller gets `unknown_id` for submission ids of another caller.

    GET, PUT and DELETE must neither reveal the submission nor affect it, at its
    owner and at another entry.
    """
    first, second = site.entries
    job = system.distinct_job(2, 600)
    other = cluster.OTHER_CALLER_TOKEN
    with system.BackgroundSubmission(site, first, job) as background:
        system.wait_until(case, site.task_starts, 5)
        unused = site.issue_submission_ids(first)[0]
        mine = background.submission_id
        foreign = system.distinct_job()
        for entry in (first, second):
            for submission_id in (mine, unused):
                path = f"submissions/{submission_id}"
                for method in ("GET", "PUT", "DELETE"):
                    body = foreign if method == "PUT" else None
                    reply = site.caller_request(
                        method, entry, path, body, other
                    )
                    answer = (reply.status, reply.json())
                    case.assertEqual(
                        answer, (404, {"outcome": "unknown_id"}), method
                    )
    case.assertEqual(background.result.outcome, "complete")
    reply = site.caller_request(
        "GET", second, f"submissions/{mine}", None, other
    )
    case.assertEqual(reply.json(), {"outcome": "unknown_id"})
    system.check_answers(case, [background.result])
    system.check_starts(case, site, [background.result])
    (echo,) = system.echoes_of(foreign)
    case.assertEqual(system.starts_by_echo(site)[echo], 0)


def refused_requests(path, good):
    """Returns requests that must be rejected.

    Args:
        path: Path of a submission that was not submitted yet.
        good: A valid job.

    Returns:
        Method, path, body, headers, expected status and expected error type
        or outcome of each request.
    """
    guessed = re.sub(r"~\d+~", "~99999~", path)
    malformed = [
        b"",
        b"{",
        b"[]",
        b'{"service": "line-brain"}',
        json.dumps(good | {"deadline_ms": -1}).encode(),
        json.dumps(good | {"tasks": []}).encode(),
    ]
    body = json.dumps(good).encode()
    no_token = {"Authorization": "Bearer guessed"}
    return [
        ("PUT", path, body, no_token, 401, "unauthorized"),
        ("GET", path, None, no_token, 401, "unauthorized"),
        ("PUT", path, body, {}, 401, "unauthorized"),
        ("POST", "/v1/submission-ids", None, {}, 401, "unauthorized"),
        ("PUT", guessed, body, AUTHORIZATION, 404, "unknown_id"),
        ("PUT", path[:-24], body, AUTHORIZATION, 400, "invalid_submission_id"),
        ("POST", path, body, AUTHORIZATION, 405, "method_not_allowed"),
        ("GET", "/v1/other", None, AUTHORIZATION, 404, "no_such_path"),
        *(
            ("PUT", path, wrong, AUTHORIZATION, 400, "invalid_job")
            for wrong in malformed
        ),
    ]


def test_refusals(case, site):
    """Invalid requests get their status and type and start no task.

    The submission id of the rejected requests stays usable; a different job
    under a used id is a conflict.
    """
    started = len(site.task_starts())
    good = system.distinct_job()
    submission_id = site.issue_submission_ids(site.entries[0])[0]
    table = refused_requests(f"/v1/submissions/{submission_id}", good)
    for entry in site.entries:
        for method, path, body, headers, status, kind in table:
            reply = site.http.request(
                method,
                f"http://{entry.callers}{path}",
                body=body,
                headers=headers,
                timeout=10.0,
            )
            document = reply.json()
            found = document.get("type") or document.get("outcome")
            case.assertEqual((reply.status, found), (status, kind), path)
    case.assertEqual(len(site.task_starts()), started)
    sent = system.submit_with_id(site, site.entries[0], submission_id, good)
    case.assertEqual(sent.outcome, "complete", sent)
    for entry in site.entries:
        other = system.distinct_job()
        conflict = system.submit_with_id(site, entry, submission_id, other)
        case.assertEqual((conflict.status, conflict.outcome), (409, "conflict"))
    case.assertEqual(len(site.task_starts()), started + 1)


def test_oversized_bodies(case, site):
    """A body over the limit is answered with 413, one below it is accepted.

    If the entry closed the connection with unread bytes, the connection would
    be reset and the caller would not receive the response.
    """
    entry = site.entries[0]
    path = f"submissions/{site.issue_submission_ids(entry)[0]}"
    max_body_bytes = 4 * 1024 * 1024
    for size in (max_body_bytes + 1, 4 * max_body_bytes):
        job = system.distinct_job()
        job["tasks"][0]["payload"]["fill"] = "x" * size
        reply = site.caller_request("PUT", entry, path, job)
        case.assertEqual(reply.status, 413)
        case.assertEqual(reply.json()["type"], "body_too_large")
    fits = system.distinct_job()
    fits["tasks"][0]["payload"]["fill"] = "x" * (max_body_bytes - 10_000)
    case.assertEqual(system.submit(site, entry, fits).outcome, "complete")


def free_slots(site):
    """Returns the number of slots at all targets in which no task runs."""
    free = 0
    for address, _ in site.targets.values():
        url = f"http://{address}/stats"
        free += (
            TARGET_SLOTS - site.http.request("GET", url).json()["slots_in_use"]
        )
    return free


def test_cancel(case, site):
    """A cancelled job reports truthfully which of its tasks have started.

    A waiting job ends as `not_run` without any start; a running job ends as
    `failed`, and exactly the tasks that never started are `not_run`.
    """
    first, second = site.entries
    running = system.distinct_job(40, 30_000, 60_000)
    # Without it the second entry could lend slots while the queued job waits.
    other = system.distinct_job(40, 30_000, 60_000)
    queued = system.distinct_job(2, 50)
    with (
        system.BackgroundSubmission(site, first, running) as long,
        system.BackgroundSubmission(site, second, other) as others,
    ):
        system.wait_until(case, lambda: free_slots(site) == 0, 15)
        with system.BackgroundSubmission(site, first, queued) as waiting:
            # The other entry forwards the cancellation to the owner.
            for background, entry in (
                (waiting, second),
                (long, second),
                (others, first),
            ):
                path = f"submissions/{background.submission_id}"
                system.wait_until(
                    case,
                    lambda path=path, owner=background.entry: (
                        site.caller_request("GET", owner, path).json()
                        == {"outcome": "pending", "submitted": True}
                    ),
                    5,
                )
                site.caller_request("DELETE", entry, path)
    case.assertEqual(waiting.result.outcome, "not_run", waiting.result)
    case.assertEqual(waiting.result.body["reason"], "cancelled")
    results = [long.result, others.result]
    system.check_starts(case, site, [waiting.result, *results])
    counts = system.starts_by_echo(site)
    for result in results:
        case.assertEqual(result.outcome, "failed", result)
        case.assertEqual(result.body["reason"], "cancelled")
        states = zip(result.echoes, result.body["tasks"], strict=True)
        for echo, state in states:
            case.assertEqual(counts[echo] == 0, state == "not_run", echo)
    again = system.submit_with_id(site, second, long.submission_id, running)
    case.assertEqual(again.body, long.result.body)


def keep_alive_session(address, failures, sent):
    """Sends requests on one connection, which must stay open throughout."""
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=30)
    connection.connect()
    connection.auto_open = 0
    try:
        for _ in range(ROUNDS):
            connection.request(
                "POST", "/v1/submission-ids", headers=AUTHORIZATION
            )
            (submission_id,) = json.load(connection.getresponse())["ids"]
            job = system.distinct_job(1, 20)
            connection.request(
                "PUT",
                f"/v1/submissions/{submission_id}",
                json.dumps(job),
                AUTHORIZATION,
            )
            answer = json.load(connection.getresponse())
            if "results" not in answer:
                raise AssertionError(f"answer without results: {answer}")
            results = [result["echo"] for result in answer["results"]]
            sent.append((system.echoes_of(job), results))
    except Exception as failure:  # noqa: BLE001 (reported by the test)
        failures.append(repr(failure))
    finally:
        connection.close()


def test_concurrent_keep_alive_connections(case, site):
    """Many keep-alive connections stay open and get their own answers."""
    failures, sent = [], []
    threads = [
        threading.Thread(
            target=keep_alive_session,
            args=(site.entries[0].callers, failures, sent),
        )
        for _ in range(CONNECTIONS)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    case.assertEqual(failures, [])
    case.assertEqual(len(sent), CONNECTIONS * ROUNDS)
    counts = system.starts_by_echo(site)
    for echoes, results in sent:
        case.assertEqual(results, echoes)
        case.assertEqual([counts[echo] for echo in echoes], [1])


def test_chunked_body_gets_one_response(case, site):
    """A chunked body is rejected with one response and a closed connection.

    If the unread chunks were parsed as another request, the caller would read
    the second response as the answer to its next request.
    """
    entry = site.entries[0]
    (submission_id,) = site.issue_submission_ids(entry)
    body = json.dumps(system.distinct_job()).encode()
    head = (
        f"PUT /v1/submissions/{submission_id} HTTP/1.1\r\nHost: entry\r\n"
        f"Authorization: {AUTHORIZATION['Authorization']}\r\n"
        "Transfer-Encoding: chunked\r\n\r\n"
    )
    chunks = b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
    host, _, port = entry.callers.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=20) as connection:
        connection.sendall(head.encode() + chunks)
        received = b""
        while data := connection.recv(65536):
            received += data
    case.assertTrue(received.startswith(b"HTTP/1.1 411 "), received)
    case.assertIn(b"\r\nConnection: close\r\n", received)
    case.assertEqual(received.count(b"HTTP/1.1 "), 1, received)
