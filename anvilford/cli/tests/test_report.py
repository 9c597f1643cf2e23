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
    """Yields a folder that contains one captured log, day.log."""
    with tempfile.TemporaryDirectory() as name:
        path = pathlib.Path(name)
        text = "\n".join(json.dumps(line) for line in LINES)
        (path / "day.log").write_text(text)
        yield path


def report(*arguments: str) -> tuple[int, str]:
    """Runs `anvilctl report`; returns its exit code and standard output."""
    # Importing matplotlib may take long enough for a progress line on stderr.
    out = io.StringIO()
    context = Context(stdout=out, stderr=io.StringIO())
    return run(["report", *arguments], context), out.getvalue()


def test_page_and_summary(case, folder):
    """The command writes a page with plots and counts requests by reason."""
    page = folder / "day.html"
    log = str(folder / "day.log")
    code, text = report(log, "--page", str(page), "--output", "json")
    case.assertEqual(code, 0, text)
    value = json.loads(text)
    case.assertEqual(value["requests"], 2)
    case.assertEqual(value["not_served"], {"overload": 1})
    case.assertIn("<svg", page.read_text("utf-8"))


def test_missing_log_is_a_usage_error(case, folder):
    """A log file that does not exist is an error, and no page is written.

    Otherwise a mistyped name would give an empty page.
    """
    page = folder / "day.html"
    code, text = report(str(folder / "absent.log"), "--page", str(page))
    case.assertEqual(code, 2, text)
    case.assertFalse(page.exists())
