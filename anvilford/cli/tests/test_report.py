"""Tests of `anvilctl report`."""

import io
import json
import pathlib
import tempfile

from anvilford.cli import Context
from anvilford.cli import run
from testkit import fixture
from testkit import function_tests

load_tests = function_tests(__name__)

LINES = [
    {"time": "2026-01-01T00:00:01+00:00", "message": "request answered",
     "status": 200, "queue": "check"},
    {"time": "2026-01-01T00:00:02+00:00", "message": "request answered",
     "status": 429, "queue": "check", "reason": "overload"},
]  # fmt: skip


@fixture
def folder():
    """A folder with one captured log."""
    with tempfile.TemporaryDirectory() as name:
        path = pathlib.Path(name)
        text = "\n".join(json.dumps(line) for line in LINES)
        (path / "day.log").write_text(text)
        yield path


def report(*arguments: str) -> tuple[int, str]:
    """Runs the command; returns its exit code and output."""
    # A slow import of the plots is reported on the other stream.
    out = io.StringIO()
    context = Context(stdout=out, stderr=io.StringIO())
    return run(["report", *arguments], context), out.getvalue()


def test_page_and_summary(case, folder):
    """Guards against a command that draws nothing or miscounts."""
    page = folder / "day.html"
    log = str(folder / "day.log")
    code, text = report(log, "--page", str(page), "--output", "json")
    case.assertEqual(code, 0, text)
    value = json.loads(text)
    case.assertEqual(value["requests"], 2)
    case.assertEqual(value["not_served"], {"overload": 1})
    case.assertIn("<svg", page.read_text("utf-8"))


def test_missing_log_is_a_usage_error(case, folder):
    """Guards against an empty page for a mistyped name."""
    page = folder / "day.html"
    code, text = report(str(folder / "absent.log"), "--page", str(page))
    case.assertEqual(code, 2, text)
    case.assertFalse(page.exists())
