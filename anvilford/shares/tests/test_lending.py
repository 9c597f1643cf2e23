"""Tests of the use of slots that other entries leave free."""

from anvilford.protocol import LoadReport
from anvilford.shares import LoadReporter
from anvilford.shares import LoadReports
from testkit import fixture
from testkit import function_tests

load_tests = function_tests(__name__)


@fixture
def reports():
    """Reports that are valid for three seconds."""
    yield LoadReports(3.0)


def test_only_idle_slots_of_entries_without_backlog_are_lent(case, reports):
    """Guards against borrowing what its owner is about to use."""
    table = [
        ((LoadReport("a", 1, 0, {"t": 1}),), 2),
        ((LoadReport("a", 1, 0, {"t": 4}),), 0),
        ((LoadReport("a", 1, 3, {}),), 0),
        ((LoadReport("a", 1, 0, {}), LoadReport("b", 1, 5, {})), 1),
        ((), 0),
    ]
    for heard, expected in table:
        reports = LoadReports(3.0)
        for report in heard:
            reports.observe(report, 0.0)
        found = reports.borrowable("t", {"a": 4, "b": 4})
        case.assertEqual(found, expected, heard)


def test_recent_use_is_not_lent(case, reports):
    """Guards against refused starts after each short pause of a lender."""
    reports.observe(LoadReport("a", 1, 0, {"t": 4}), 0.0)
    reports.observe(LoadReport("a", 2, 0, {}), 0.5)
    case.assertEqual(reports.borrowable("t", {"a": 4}), 0)
    reports.observe(LoadReport("a", 3, 0, {}), 1.2)
    case.assertEqual(reports.borrowable("t", {"a": 4}), 3)


def test_stale_and_reordered_reports_are_ignored(case, reports):
    """Guards against lending by the report of a dead or slow entry."""
    reports.observe(LoadReport("a", 2, 1, {}), 0.0)
    reports.observe(LoadReport("a", 1, 0, {}), 0.1)
    case.assertEqual(reports.borrowable("t", {"a": 4}), 0)
    reports.observe(LoadReport("a", 3, 0, {}), 0.2)
    case.assertEqual(reports.borrowable("t", {"a": 4}), 3)
    reports.expire(3.3)
    case.assertEqual(reports.borrowable("t", {"a": 4}), 0)


def test_reports_are_sent_on_change_and_refreshed(case):
    """Guards against reports that flood the zone or stay away."""
    reporter = LoadReporter("a", 0.1, 1.0)
    sent = [
        reporter.make(backlog, in_use, at / 10) is not None
        for at, (backlog, in_use) in enumerate(
            [(0, {}), (0, {}), (0, {"t": 1}), (0, {"t": 1}), (2, {"t": 1})]
        )
    ]
    case.assertEqual(sent, [True, False, True, False, True])
    case.assertIsNone(reporter.make(5, {"t": 1}, 1.3))
    case.assertIsNotNone(reporter.make(5, {"t": 1}, 1.45))
