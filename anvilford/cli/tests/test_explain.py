"""Tests of `anvilctl explain`."""

import io
import json
import pathlib
import tempfile

from anvilford.cli._context import Context
from anvilford.cli._explain import REASON_EXPLANATIONS
from anvilford.cli._main import run
from testkit import fixture
from testkit import function_tests

load_tests = function_tests(__name__)

JOB = "47169fb304a7e1bd"
LINES = [
    {"time": "2", "node": "e2", "message": "request answered", "job": JOB,
     "status": 429, "reason": "overload"},
    {"time": "1", "node": "e1", "message": "job refused", "job": JOB,
     "expected_wait_ms": 129},
    {"time": "1", "node": "e1", "message": "job started", "job": "other"},
]  # fmt: skip


@fixture
def log():
    """Yields the path of a log of `LINES`, each after a time and a VM name.

    The last two lines are not valid JSON: a truncated object and plain text.
    """
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "log"
        text = [f"  1.0 e1 {json.dumps(line)}" for line in LINES]
        path.write_text("\n".join([*text, '{"cut', "plain"]))
        yield path


def explain(*arguments: str) -> tuple[int, str]:
    """Runs `anvilctl explain`; returns its exit code and both outputs."""
    out = io.StringIO()
    context = Context(stdout=out, stderr=out)
    return run(["explain", *arguments], context), out.getvalue()


def test_lines_and_cause_of_a_refused_job(case, log):
    """The lines of a job are shown in order of time, then its cause."""
    code, text = explain(JOB, str(log))
    case.assertEqual(code, 0)
    case.assertIn("expected_wait_ms=129", text)
    case.assertNotIn("job started", text)
    case.assertLess(text.index("job refused"), text.index("request answered"))
    case.assertTrue(text.strip().endswith(REASON_EXPLANATIONS["overload"]))


def test_job_without_an_end(case, log):
    """The command states that no log line reports the end of a job.

    An entry that is killed does not log the end of its jobs, so the last line
    must not be presented as the answer. A job that no line names gets a
    different explanation.
    """
    _, text = explain("other", str(log))
    case.assertIn("no line reports the end of the job", text)
    _, text = explain("absent", str(log))
    case.assertIn("no line names the job", text)
