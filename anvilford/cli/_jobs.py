"""Command `anvilctl job run`: submits one job as a caller."""

import argparse
import itertools
import json
import urllib.parse
from typing import Any

from anvilford.cli._connection import connect
from anvilford.cli._connection import Connection
from anvilford.cli._connection import NotSent
from anvilford.cli._connection import read_json
from anvilford.cli._connection import refusal_error
from anvilford.cli._connection import Reply
from anvilford.cli._connection import usage_error
from anvilford.cli._context import CommandError
from anvilford.cli._context import ExitCode
from anvilford.cli._context import Session
from anvilford.cli._output import CommandResult
from anvilford.cli._output import format_table

RETRY_DELAY_S = 0.2
MAX_ROUNDS_WITHOUT_PROGRESS = 3

# Time after the deadline of the job in which requests are still repeated.
EXTRA_WAIT_S = 10.0

_EXIT_CODES = {
    "complete": ExitCode.DONE,
    "conflict": ExitCode.CONFLICT,
    "outcome_unknown": ExitCode.UNKNOWN,
}


def run_job(arguments: argparse.Namespace, session: Session) -> CommandResult:
    """Runs `anvilctl job run`."""
    job = read_json(arguments.file)
    deadline_ms = job.get("deadline_ms") if isinstance(job, dict) else None
    if not isinstance(deadline_ms, int):
        raise usage_error(
            f"{arguments.file}: deadline_ms must be an integer, found "
            f"{json.dumps(deadline_ms)}."
        )
    connection = connect(arguments, session, callers=True)
    wait = arguments.wait
    if wait is None:
        wait = deadline_ms / 1000 + EXTRA_WAIT_S
    submission_id = arguments.id or _request_submission_id(connection)
    session.progress.message = f"waiting for the answer to {submission_id}"
    reply = _submit_until_final(connection, submission_id, job, wait)
    return _format_result(submission_id, reply)


def _request_submission_id(connection: Connection) -> str:
    """Requests a new submission id from the first entry that issues one.

    An issued id whose response is lost is never used, which does no harm.

    Raises:
        CommandError: An entry refused the request, or none answered.
    """
    refusal = None
    for address in connection.addresses:
        reply = connection.send(
            address, "POST", "/v1/submission-ids?count=1", body={}
        )
        match reply:
            case Reply(200 | 201, {"ids": [str() as submission_id, *_]}):
                return submission_id
            case Reply(status):
                refusal = reply
                if status < 500:
                    break
    raise refusal_error(refusal) if refusal else connection.unreachable_error()


def _submit_until_final(
    connection: Connection, submission_id: str, job: Any, wait: float
) -> Reply:
    """Sends the job to the entries in turn until one returns a final answer.

    All requests carry the same id, so the job starts at most once however
    often it is sent.

    Args:
        connection: Connection to the callers' listeners.
        submission_id: Id of the submission.
        job: Job as a JSON value.
        wait: Time limit in seconds.

    Returns:
        The final answer. If no entry gave one and at least one answered
        `outcome_unknown`, the last such answer.

    Raises:
        CommandError: No answer of either kind came, either within the limit or
            in `MAX_ROUNDS_WITHOUT_PROGRESS` rounds over all addresses.
    """
    context = connection.session.context
    limit = context.monotonic() + wait
    path = f"/v1/submissions/{urllib.parse.quote(submission_id, safe='~:')}"
    unknown = None
    sent = False
    attempts_without_progress = 0
    for address in itertools.cycle(connection.addresses):
        remaining = limit - context.monotonic()
        if (
            remaining <= 0
            or attempts_without_progress
            >= MAX_ROUNDS_WITHOUT_PROGRESS * len(connection.addresses)
        ):
            break
        reply = connection.send(
            address, "PUT", path, job, read_timeout=remaining
        )
        sent = sent or not isinstance(reply, NotSent)
        match reply:
            case Reply(body={"outcome": "pending"}):
                attempts_without_progress = 0
                continue
            case Reply(body={"outcome": "outcome_unknown"}):
                unknown = reply
            case Reply(status, body) if "outcome" in body or status < 500:
                return reply
        # Another entry may have the answer, or this one may have it later.
        attempts_without_progress += 1
        context.sleep(RETRY_DELAY_S)
    if unknown is not None:
        return unknown
    if not sent:
        raise connection.unreachable_error()
    raise _no_final_answer_error(submission_id)


def _no_final_answer_error(submission_id: str) -> CommandError:
    return CommandError(
        ExitCode.UNKNOWN,
        "outcome_unknown",
        f"No final answer within the time limit. Ask again with --id "
        f"{submission_id}.",
        id=submission_id,
    )


def _format_result(submission_id: str, reply: Reply) -> CommandResult:
    answer = reply.body
    outcome = answer.get("outcome") or answer.get("type", "refused")
    value = {"id": submission_id, "status": reply.status, "answer": answer}
    lines = [f"Submission {submission_id}: {outcome}"]
    lines += [
        f"{key}: {answer[key]}"
        for key in ("type", "reason", "message", "retry_id")
        if answer.get(key)
    ]
    if "results" in answer:
        rows = [
            {"task": index, "result": json.dumps(result)}
            for index, result in enumerate(answer["results"])
        ]
        lines.append(format_table({"task": "TASK", "result": "RESULT"}, rows))
    elif answer.get("tasks"):
        rows = [
            {"task": index, "state": state}
            for index, state in enumerate(answer["tasks"])
        ]
        lines.append(format_table({"task": "TASK", "state": "STATE"}, rows))
    code = _EXIT_CODES.get(outcome, ExitCode.REFUSED)
    return CommandResult(value, "\n".join(lines), code)
