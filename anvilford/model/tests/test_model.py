"""Tests of submission ids, job validation and answer encoding."""

import json

from anvilford import model
from testkit import function_tests

load_tests = function_tests(__name__)

JOB = {
    "service": "line-brain",
    "deadline_ms": 500,
    "tasks": [{"operation": "seal", "payload": {"n": 1}}],
}


def test_id_round_trip(case):
    """Parsing the text form of an id must yield the same id.

    Otherwise a caller that sends the id back in a URL path is not recognized.
    """
    owner = model.Incarnation("quimper-a", "127.0.0.1:7101", "a1b2")
    text = str(model.SubmissionId(owner, 42, "f00"))
    parsed = model.parse_submission_id(text)
    case.assertEqual(str(parsed.ok), text)


def test_malformed_ids_are_typed_failures(case):
    """Malformed ids are returned as failures and raise no exception.

    Ids come from callers, who may send any text.
    """
    for text in ("", "a~b~c~1", "a~b~c~-1~t", "a~b~c~x~t", "~b~c~1~t"):
        result = model.parse_submission_id(text)
        case.assertEqual(result.error, model.InvalidSubmissionId(), text)


def test_equal_jobs_have_equal_digests(case):
    """The digest must not depend on the order of keys or on white space.

    Otherwise a resubmission whose client serializes JSON differently is
    answered with a conflict.
    """
    first = model.parse_job(json.dumps(JOB).encode())
    second = model.parse_job(
        json.dumps(dict(reversed(JOB.items())), indent=2).encode()
    )
    case.assertEqual(first.ok.digest, second.ok.digest)


def test_bad_jobs_name_the_path(case):
    """A job that violates a limit is rejected with the path of the violation."""
    deep = {}
    for _ in range(40):
        deep = {"x": deep}
    table = [
        ({"extra": 1}, "extra"),
        ({"service": ""}, "service"),
        ({"deadline_ms": True}, "deadline_ms"),
        ({"deadline_ms": 0}, "deadline_ms"),
        ({"tasks": []}, "tasks"),
        ({"tasks": [{"operation": 3}]}, "tasks/0/operation"),
        ({"tasks": [{"operation": "a", "x": 1}]}, "tasks/0/x"),
        ({"tasks": [{"operation": "a", "payload": deep}]}, "tasks/0/payload"),
        ({"repeatable": "no"}, "repeatable"),
    ]
    for change, path in table:
        body = json.dumps(JOB | change).encode()
        case.assertEqual(model.parse_job(body).error.path, path)


def test_answers_round_trip(case):
    """Encoding and decoding must preserve an answer.

    Daemons decode answers of forwarded requests and of handovers; a field lost
    there would change what the caller receives.
    """
    states = (model.TaskState.UNKNOWN, model.TaskState.NOT_RUN)
    for answer in (
        model.Complete(({"ok": True}, None)),
        model.Failed(model.FailureReason.TASK_UNKNOWN, states, "lost"),
        model.NotRun(model.RefusalReason.OVERLOADED, 20, "id"),
        model.OutcomeUnknown(model.UnknownReason.OWNER_GONE),
        model.Expired(),
    ):
        encoded = model.encode_answer(answer)
        case.assertEqual(model.decode_answer(encoded), answer)
