"""`anvilctl explain`: what captured logs tell of one job."""

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

# Fields that every line has, or that have a column of their own.
_COLUMNS = ("time", "node", "message", "level", "logger", "job")
# What an answer's reason means, in the words of docs/OPERATIONS.md.
REASON_EXPLANATIONS = {
    "completed": "served",
    "attempts_exhausted": "a task failed as often as its queue allows",
    "overload": "refused: it could not have started in time",
    "no_target": "refused: no target of its service was usable",
    "no_placer": "no entry placed jobs; see the lines on leaders",
    "too_late": "it waited until it had lost its worth",
    "deadline": "its caller's time was over",
    "entry_silent": "the leader no longer heard the caller's entry",
    "caller_left": "the caller closed its connection",
    "caller_lost": "the caller's connection was lost, or its time was over",
    "entry_stopping": "refused: the entry was about to stop",
    "no_configuration": "refused: the entry had no configuration yet",
}


def explain(arguments: argparse.Namespace, session: Session) -> CommandResult:
    """Runs `anvilctl explain`."""
    del session
    lines = sorted(
        (
            line
            for line in _read(arguments.files)
            if line.get("job") == arguments.job_id
        ),
        key=lambda line: str(line.get("time", "")),
    )
    cause = _cause(lines)
    value = {"job": arguments.job_id, "cause": cause, "lines": lines}
    if not lines:
        return CommandResult(value, cause)
    rows = [
        {
            **line,
            "details": " ".join(
                f"{key}={text}"
                for key, text in line.items()
                if key not in _COLUMNS
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


def _read(files: Iterable[str]) -> Iterable[dict[str, Any]]:
    """Reads the lines of captured logs; - is standard input."""
    for name in files:
        try:
            text = (
                sys.stdin.read()
                if name == "-"
                else pathlib.Path(name).read_text("utf-8", "replace")
            )
        except OSError as error:
            raise usage_error(f"{name}: {error.strerror}.") from error
        yield from read_lines(text.splitlines())


def _cause(lines: list[dict[str, Any]]) -> str:
    if not lines:
        return (
            "no line names the job: it reached no entry, or its lines were "
            "left out (see `log lines left out`)"
        )
    for line in reversed(lines):
        if line.get("message") in ("request answered", "caller gone"):
            reason = str(line.get("reason", ""))
            return REASON_EXPLANATIONS.get(reason, reason)
    last = lines[-1]
    return (
        f"the entry wrote no end: it was killed or lost after "
        f"{last.get('message')!r} at {last.get('time')}"
    )
