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
    """A captured log with a prefix, a cut line and another job."""
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "log"
        text = [f"  1.0 e1 {json.dumps(line)}" for line in LINES]
        path.write_text("\n".join([*text, '{"cut', "plain"]))
        yield path


def explain(*arguments: str) -> tuple[int, str]:
    """Runs the command; returns its exit code and output."""
    out = io.StringIO()
    context = Context(stdout=out, stderr=out)
    return run(["explain", *arguments], context), out.getvalue()


def test_lines_and_cause_of_a_refused_job(case, log):
    """Guards against a failed request whose cause the logs don't tell."""
    code, text = explain(JOB, str(log))
    case.assertEqual(code, 0)
    case.assertIn("expected_wait_ms=129", text)
    case.assertNotIn("job started", text)
    case.assertLess(text.index("job refused"), text.index("request answered"))
    case.assertTrue(text.strip().endswith(REASON_EXPLANATIONS["overload"]))


def test_job_without_an_end(case, log):
    """Guards against taking a killed entry's silence for an answer."""
    _, text = explain("other", str(log))
    case.assertIn("wrote no end", text)
    _, text = explain("absent", str(log))
    case.assertIn("no line names the job", text)
