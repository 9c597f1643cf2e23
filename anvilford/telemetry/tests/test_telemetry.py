"""Tests of counters, latencies, traces and logs."""

import io
import json
import logging
import tempfile
import threading

from hdrh.histogram import HdrHistogram
from hdrh.log import HistogramLogReader

from anvilford.telemetry import configure_logging
from anvilford.telemetry import Counters
from anvilford.telemetry import Tracing
from testkit import function_tests

load_tests = function_tests(__name__)

PARENT = "00-0af7651916cd43dd0000000000000001-b7ad6b7169203331-00"


def test_counts_from_threads(case):
    """Concurrent updates from several threads are all counted."""
    counters = Counters()

    def work():
        for _ in range(2000):
            counters.increment("started", zone="a")
            counters.observe("run", 0.05)

    threads = [threading.Thread(target=work) for _ in range(4)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    case.assertEqual(counters.count("started"), 8000)
    case.assertIn(
        "anvilford_run_seconds_count 8000", counters.prometheus_text()
    )


def test_text_format(case):
    """The text output follows the Prometheus format.

    Label values with quotes, backslashes and line breaks are escaped, and
    latencies outside the range of the histogram are still counted.
    """
    counters = Counters()
    counters.increment("seen", 2, kind='a"b\\\n', zone="z")
    counters.increment("seen", 3, kind="c", zone="z")
    counters.observe("run", 0.25, kind="c")
    counters.observe("run", -1.0, kind="c")
    counters.observe("run", 1e9, kind="c")
    lines = counters.prometheus_text().splitlines()
    case.assertEqual(counters.count("seen", zone="z"), 5)
    case.assertEqual(lines[0], "# TYPE anvilford_seen_total counter")
    case.assertEqual(
        lines[1], 'anvilford_seen_total{kind="a\\"b\\\\\\n",zone="z"} 2'
    )
    case.assertEqual(lines.count("# TYPE anvilford_run_seconds summary"), 1)
    case.assertIn('anvilford_run_seconds_count{kind="c"} 3', lines)
    name = 'anvilford_run_seconds{kind="c",quantile="0.5"} '
    (median,) = (line for line in lines if line.startswith(name))
    case.assertAlmostEqual(float(median.removeprefix(name)), 0.25, delta=0.003)


def test_series_are_bounded(case):
    """The number of series is limited if a label takes many values.

    Otherwise a label such as an id would exhaust the memory.
    """
    counters = Counters(max_series=5)
    for number in range(20):
        counters.increment("seen", id=str(number))
        counters.observe("run", 0.1, id=str(number))
    case.assertLessEqual(len(counters.prometheus_text().splitlines()), 25)
    case.assertEqual(counters.count("series_dropped"), 35)


def test_hdr_log_is_readable(case):
    """`HistogramLogReader` reads back the tag, values and time of a log."""
    now = [100.0]
    counters = Counters(clock=lambda: now[0])
    for milliseconds in range(1, 101):
        counters.observe("run", milliseconds / 1000, kind="a, b")
    now[0] = 160.0
    with tempfile.NamedTemporaryFile("w", suffix=".hlog") as file:
        file.write(counters.hdr_log())
        file.flush()
        reader = HistogramLogReader(file.name, HdrHistogram(1, 3600000000, 2))
        histogram = reader.get_next_interval_histogram()
        case.assertIsNone(reader.get_next_interval_histogram())
        reader.close()
    case.assertEqual(histogram.get_tag(), "run;kind=a__b")
    case.assertEqual(histogram.get_total_count(), 100)
    case.assertEqual(histogram.get_start_time_stamp(), 100_000)
    median_us = histogram.get_value_at_percentile(50)
    case.assertAlmostEqual(median_us, 50_000, delta=500)


def test_logs_are_json_lines(case):
    """A log line is one JSON object with all fields.

    This holds even if the message contains a line break.
    """
    root = logging.getLogger()
    handlers, level = root.handlers[:], root.level
    case.addCleanup(root.setLevel, level)
    case.addCleanup(setattr, root, "handlers", handlers)
    stream = io.StringIO()
    configure_logging(stream, "INFO", {"zone": "vannes-a"})
    logger = logging.getLogger("anvilford.test")
    logger.debug("hidden")
    logger.info("state changed\nto %s", "ready", extra={"peer": "p"})
    (line,) = stream.getvalue().splitlines()
    fields = json.loads(line)
    case.assertTrue(fields.pop("time"))
    expected = {"zone": "vannes-a", "peer": "p", "level": "INFO"}
    expected["logger"] = "anvilford.test"
    expected["message"] = "state changed\nto ready"
    case.assertEqual(fields, expected)


def test_spans_form_a_tree_across_hops(case):
    """Spans of several processes refer to their parents.

    A span recorded with given times is sorted by its start.
    """
    first, second = Tracing("one", 10), Tracing("two", 10)
    with first.span("http", service="s") as outer:
        with second.span("owner", outer) as inner:
            pass
        second.record("attempt", inner, 5.0, 6.5, target="t")
    trace_id = outer.split("-")[1]
    (http,) = first.find(trace_id)
    attempt, owner = second.find(trace_id)
    case.assertEqual((http["name"], http["parent_id"]), ("http", ""))
    case.assertEqual(http["attributes"], {"service": "s"})
    case.assertEqual(owner["parent_id"], http["span_id"])
    case.assertEqual(attempt["parent_id"], owner["span_id"])
    case.assertEqual((attempt["start"], attempt["end"]), (5.0, 6.5))
    case.assertEqual(attempt["instance"], "two")
    json.dumps([http, owner, attempt])


def test_sampling_agrees_between_hops(case):
    """Two processes with the same ratio sample the same traces.

    Otherwise some hops of a trace would be missing.
    """
    first, second = Tracing("one", 2000, 0.25), Tracing("two", 2000, 0.25)
    sampled = 0
    for _ in range(1000):
        with first.span("a") as outer, second.span("b", outer) as inner:
            trace_id = outer.split("-")[1]
        found = len(first.find(trace_id)), len(second.find(trace_id))
        case.assertIn(found, ((0, 0), (1, 1)))
        case.assertEqual(inner.endswith("-01"), found == (1, 1))
        case.assertEqual(inner.split("-")[1], trace_id)
        sampled += found[0]
    # Seven standard deviations (13.7 each) around the expected 250.
    case.assertIn(sampled, range(154, 347))
    for ratio, expected in ((0.0, 0), (1.0, 1)):
        tracing = Tracing("x", 10, ratio)
        with tracing.span("a", PARENT):
            pass
        case.assertEqual(len(tracing.find(PARENT.split("-")[1])), expected)


def test_store_drops_the_oldest(case):
    """A full span store removes the oldest span for each new one.

    Otherwise memory would grow with the number of requests.
    """
    tracing = Tracing("one", 3)
    for number in range(5):
        tracing.record("a", PARENT, number, number + 1)
    found = tracing.find(PARENT.split("-")[1])
    case.assertEqual([span["start"] for span in found], [2, 3, 4])
    case.assertEqual(tracing.store.dropped, 2)


def test_hostile_traceparents_and_errors(case):
    """Malformed traceparents start a new trace instead of failing.

    An exception inside a span propagates, and its type is stored.
    """
    tracing = Tracing("one", 100)
    for text in ("", "x", PARENT + "\n", PARENT.upper(), "ff" + PARENT[2:]):
        with tracing.span("a", text) as traceparent:
            pass
        case.assertNotEqual(traceparent.split("-")[1], PARENT.split("-")[1])
        tracing.record("b", text, 0, 1)
    case.assertEqual(tracing.find("not hexadecimal"), [])
    with case.assertRaises(KeyError), tracing.span("a", PARENT):
        raise KeyError
    (span,) = tracing.find(PARENT.split("-")[1])
    case.assertEqual(span["error"], "KeyError")
