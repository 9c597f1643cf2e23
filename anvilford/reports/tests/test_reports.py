"""Tests of pages drawn from log lines."""

import json
import pathlib
import tempfile

from anvilford.reports import summarize_logs
from anvilford.reports import write_page
from testkit import function_tests

load_tests = function_tests(__name__)


def line(second: int, message: str, node: str = "e-1", **fields) -> str:
    """One captured line with a prefix of the platform's log collector."""
    value = {"time": f"2026-01-01T00:00:{second:02d}+00:00", "node": node}
    return f"  {second}.0 {node} " + json.dumps(
        {**value, "message": message, **fields}
    )


LINES = [
    line(0, "started", zone="a"),
    line(0, "started", "e-2", zone="b"),
    line(1, "leader changed", leader="e-1"),
    line(1, "leader changed", "e-2", leader="e-1"),
    line(2, "job started", waited_ms=30),
    line(2, "request answered", status=200, queue="check"),
    line(3, "request answered", "e-2", status=429, queue="plan", reason="full"),
    line(3, "caller gone", status=0, queue="plan", reason="caller_lost"),
    line(4, "log lines left out", omitted=5, dropped=2),
    line(4, "leader changed", "e-2", leader="e-2"),
    "not a line",
    '{"cut',
]


def test_figures_of_a_day(case):
    """Guards against requests counted under a wrong outcome, zone or time."""
    day = summarize_logs(reversed(LINES))
    case.assertEqual(day.seconds, 5)
    case.assertEqual(dict(day.outcomes[3]), {"refused": 1, "lost": 1})
    case.assertEqual(dict(day.by_zone["a"]), {"served": 1, "lost": 1})
    case.assertEqual(dict(day.by_zone["b"]), {"refused": 1})
    case.assertEqual(dict(day.by_queue["plan"]), {"refused": 1, "lost": 1})
    case.assertEqual(day.waits_ms, {2: [30]})
    case.assertEqual(dict(day.refusals), {"full": 1, "caller_lost": 1})
    case.assertEqual(day.left_out, 7)
    leaders = [text for _, text in day.events if text.endswith("leads")]
    case.assertEqual(leaders, ["e-1 leads", "e-2 leads"])


def test_page_is_repeatable_and_complete(case):
    """Guards against pages that differ for equal days or miss a plot."""
    with tempfile.TemporaryDirectory() as folder:
        paths = [pathlib.Path(folder) / name for name in ("a.html", "b.html")]
        for path in paths:
            write_page(summarize_logs(LINES), path, "<day>")
        texts = [path.read_text("utf-8") for path in paths]
    case.assertEqual(texts[0], texts[1])
    case.assertEqual(texts[0].count("<svg"), 3)
    case.assertIn("&lt;day&gt;", texts[0])


def test_logs_without_requests_make_a_page(case):
    """Guards against a report that fails on the logs of a failed start."""
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "page.html"
        write_page(summarize_logs(["nothing"]), path, "empty")
        case.assertTrue(path.stat().st_size)
