"""Tests for the lending of unused slots between entries."""

from anvilford.protocol import LoadReport
from anvilford.shares import LoadReporter
from anvilford.shares import LoadReports
from testkit import fixture
from testkit import function_tests

load_tests = function_tests(__name__)


@fixture
def reports():
    """Load reports that expire after three seconds."""
    yield LoadReports(3.0)


def test_only_idle_slots_of_entries_without_backlog_are_lent(case, reports):
    """Slots must be borrowed only from entries that do not need them.

    An entry that has a backlog, that used its slots lately or whose load is
    unknown lends none of them, because it may need them at once.
    """
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
            reports.record(report, 0.0)
        found = reports.borrowable_slots("t", {"a": 4, "b": 4})
        case.assertEqual(found, expected, heard)


def test_stale_and_reordered_reports_are_ignored(case, reports):
    """An expired report or one that arrives out of order must not count.

    An expired report may come from a dead entry, and a delayed one may state an
    idle load while its sender has a backlog by now.
    """
    reports.record(LoadReport("a", 2, 1, {}), 0.0)
    reports.record(LoadReport("a", 1, 0, {}), 0.1)
    case.assertEqual(reports.borrowable_slots("t", {"a": 4}), 0)
    reports.record(LoadReport("a", 3, 0, {}), 0.2)
    case.assertEqual(reports.borrowable_slots("t", {"a": 4}), 3)
    reports.expire(3.3)
    case.assertEqual(reports.borrowable_slots("t", {"a": 4}), 0)


def run_reporter(loads):
    """Returns the reports for samples of (time, backlog, slots in use)."""
    reporter = LoadReporter("a", 0.1, 1.0, 2.0)
    made = [(at, reporter.report_if_due(*load, at)) for at, *load in loads]
    return [(at, r.backlog, r.in_use) for at, r in made if r is not None]


def test_reports_state_the_peak_and_are_infrequent(case):
    """A report must state the peak use, and reports must stay infrequent.

    Without the peak, an entry would lend slots between two bursts of its own
    tasks. Without a minimum interval, each change of the load would send a
    message to every entry of the zone.
    """
    made = run_reporter(
        [
            (0.0, 0, {}),
            (0.1, 0, {"t": 4}),
            (0.2, 0, {"t": 1}),
            (0.9, 0, {}),
            (1.0, 0, {}),
            (1.1, 0, {}),
            (2.1, 0, {}),
            (3.0, 0, {}),
            (4.2, 0, {}),
        ]
    )
    case.assertEqual(
        made, [(0.0, 0, {}), (1.0, 0, {"t": 4}), (2.1, 0, {}), (4.2, 0, {})]
    )


def test_new_backlog_is_reported_at_once(case):
    """A new backlog must be reported at once.

    Otherwise other entries keep using the slots that this entry lent while its
    own tasks are queued.
    """
    made = run_reporter(
        [
            (0.0, 0, {}),
            (0.2, 3, {"t": 4}),
            (0.3, 5, {"t": 4}),
            (0.4, 0, {"t": 4}),
            (0.5, 2, {"t": 4}),
        ]
    )
    case.assertEqual([at for at, *_ in made], [0.0, 0.2])
