"""Tests of `benchmarks.explain_failures`."""

import contextlib
import io
import json
import pathlib
import tempfile

from benchmarks import explain_failures
from testkit import fixture
from testkit import function_tests

load_tests = function_tests(__name__)


def line(at: int, job: str, message: str, **fields: object) -> str:
    """Returns a captured log line with the prefix of the users' test bench."""
    value = {"time": f"2026-01-01T00:00:{at:02d}", "job": job, "node": "e"}
    return f"  {at}.0 e " + json.dumps({**value, "message": message, **fields})


@fixture
def log():
    """Yields the path of a log with one served and two failed requests.

    The served request was repeated once. Of the others, one was refused and
    one has no final line.
    """
    lines = [
        "started in 3 s",
        line(1, "a1", "job accepted"),
        line(2, "a1", "request answered", status=504, reason="no_placer"),
        line(5, "a1", "request answered", status=200, reason="completed"),
        line(3, "b2", "request answered", status=429, reason="overload"),
        line(4, "c3", "job accepted"),
        line(4, "c3", "job started"),
    ]
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "day.log"
        path.write_text("\n".join(lines), "utf-8")
        yield path


def explain(log: pathlib.Path) -> tuple[int, str]:
    """Explains all failures; returns the exit status and the output."""
    output = io.StringIO()
    with contextlib.redirect_stdout(output):
        status = explain_failures.main([str(log), "--count", "9"])
    return status, output.getvalue()


def test_only_failures_are_chosen_and_explained(case, log):
    """Checks that a job counts as failed only if its last request failed.

    A refused request that the caller repeats with success is no failure.
    """
    case.assertEqual(
        explain_failures.find_failed_jobs([log]),
        {"b2": "overload", "c3": "no final log line"},
    )
    status, text = explain(log)
    case.assertEqual(status, 0)
    case.assertIn("cause: refused: it could not have started in time", text)
    case.assertIn("its entry was killed or lost after 'job started'", text)


def test_reason_without_an_explanation_fails(case, log):
    """Checks that a failure reason without an explanation fails the run.

    This happens when a new reason is added without an entry in `REASON_EXPLANATIONS`.
    """
    text = log.read_text("utf-8")
    log.write_text(text.replace("overload", "unheard_of"), "utf-8")
    case.assertEqual(explain(log)[0], 1)
