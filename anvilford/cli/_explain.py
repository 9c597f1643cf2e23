"""Command `anvilctl explain`: shows from captured logs how a job ended."""

import argparse
import pathlib
import sys
from collections.abc import Iterable
from typing import Any

from anvilford.captured_logs import read_lines
from anvilford.cli._connection import usage_error
from anvilford.cli._context import Session
from anvilford.cli._output import CommandResult
from anvilford.cli._output import format_table

# Fields left out of the column DETAILS, because every line has them or because
# they have a column of their own.
_FIELDS_OUTSIDE_DETAILS = ("time", "node", "message", "level", "logger", "job")
# Explanations of the field `reason` in the last line of a request, in the terms
# of docs/OPERATIONS.md. benchmarks/explain_failures.py requires one for each
# reason that occurs.
REASON_EXPLANATIONS = {
    "completed": "served",
    "attempts_exhausted": (
        "failed: a task used up the attempts that its queue allows"
    ),
    "overload": "refused: it could not have started in time",
    "no_target": "refused: no target of its service was usable",
    "evacuated": (
        "it fitted only on targets of a zone that the operator has evacuated"
    ),
    "no_placer": (
        "no entry was placing jobs as the leader; see the lines on leaders"
    ),
    "too_late": (
        "it waited so long that it could no longer finish in time to be of use"
    ),
    "deadline": "the deadline of its caller passed",
    "entry_silent": (
        "the leader no longer received messages from the caller's entry"
    ),
    "caller_left": "the caller closed its connection",
    "caller_lost": "the caller's connection was lost, or its deadline passed",
    "entry_stopping": "refused: the entry was about to stop",
    "no_configuration": "refused: the entry had no configuration yet",
}


def explain(arguments: argparse.Namespace, session: Session) -> CommandResult:
    """Runs `anvilctl explain`."""
    del session
    lines = sorted(
        (
            line
            for line in _read_files(arguments.files)
            if line.get("job") == arguments.job_id
        ),
        key=lambda line: str(line.get("time", "")),
    )
    cause = _find_cause(lines)
    value = {"job": arguments.job_id, "cause": cause, "lines": lines}
    if not lines:
        return CommandResult(value, cause)
    rows = [
        {
            **line,
            "details": " ".join(
                f"{key}={text}"
                for key, text in line.items()
                if key not in _FIELDS_OUTSIDE_DETAILS
            ),
        }
        for line in lines
    ]
    table = format_table(
        {
            "time": "TIME",
            "node": "ENTRY",
            "message": "EVENT",
            "details": "DETAILS",
        },
        rows,
    )
    return CommandResult(value, f"{table}\n\ncause: {cause}")


def _read_files(files: Iterable[str]) -> Iterable[dict[str, Any]]:
    """Yields the lines of entries in captured logs.

    Args:
        files: Paths of the logs; "-" reads standard input.

    Yields:
        Fields of each line.

    Raises:
        CommandError: A file cannot be read.
    """
    for name in files:
        try:
            text = (
                sys.stdin.read()
                if name == "-"
                else pathlib.Path(name).read_text("utf-8", "replace")
            )
        except OSError as error:
            raise usage_error(
                f"Cannot read {name}: {error.strerror}."
            ) from error
        yield from read_lines(text.splitlines())


def _find_cause(lines: list[dict[str, Any]]) -> str:
    """Returns why a job ended as it did, from its lines in order of time."""
    if not lines:
        return (
            "no line names the job: it reached no entry, or its lines were "
            "left out because of the rate limit (see `log lines left out`)"
        )
    for line in reversed(lines):
        if line.get("message") in ("request answered", "caller gone"):
            reason = str(line.get("reason", ""))
            return REASON_EXPLANATIONS.get(reason, reason)
    last = lines[-1]
    return (
        "no line reports the end of the job: "
        "its entry was killed or lost after "
        f"{last.get('message')!r} at {last.get('time')}"
    )
