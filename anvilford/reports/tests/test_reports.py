"""Tests of the HTML reports generated from log lines."""

import json
import pathlib
import tempfile

from anvilford.reports import summarize_logs
from anvilford.reports import write_page
from testkit import function_tests

load_tests = function_tests(__name__)


def line(second: int, message: str, node: str = "e-1", **fields) -> str:
    """Returns a captured line with the prefix of the log collector.

    Args:
        second: Time of the line, in seconds since the start of the log.
        message: Log message.
        node: Name of the entry that wrote the line.
        **fields: Further fields of the line.
    """
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


def test_request_counts(case):
    """Requests are counted by second, outcome, zone and queue.

    The lines are passed in reverse order; a repeated announcement of the same
    leader is a single event.
    """
    day = summarize_logs(reversed(LINES))
    case.assertEqual(day.duration_s, 5)
    case.assertEqual(dict(day.by_second[3]), {"refused": 1, "lost": 1})
    case.assertEqual(dict(day.by_zone["a"]), {"served": 1, "lost": 1})
    case.assertEqual(dict(day.by_zone["b"]), {"refused": 1})
    case.assertEqual(dict(day.by_queue["plan"]), {"refused": 1, "lost": 1})
    case.assertEqual(day.start_delays_ms, {2: [30]})
    case.assertEqual(
        dict(day.failures_by_reason), {"full": 1, "caller_lost": 1}
    )
    case.assertEqual(day.lines_left_out, 7)
    leaders = [text for _, text in day.events if text.endswith("leads")]
    case.assertEqual(leaders, ["e-1 leads", "e-2 leads"])


def test_page_is_repeatable_and_complete(case):
    """Equal summaries give identical pages with three plots.

    The title is escaped.
    """
    with tempfile.TemporaryDirectory() as folder:
        paths = [pathlib.Path(folder) / name for name in ("a.html", "b.html")]
        for path in paths:
            write_page(summarize_logs(LINES), path, "<day>")
        texts = [path.read_text("utf-8") for path in paths]
    case.assertEqual(texts[0], texts[1])
    case.assertEqual(texts[0].count("<svg"), 3)
    case.assertIn("&lt;day&gt;", texts[0])


def test_logs_without_requests_make_a_page(case):
    """Logs without any request give a page instead of an error.

    The logs of an entry that failed to start contain no request.
    """
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "page.html"
        write_page(summarize_logs(["nothing"]), path, "empty")
        case.assertTrue(path.stat().st_size)
