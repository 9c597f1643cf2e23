"""Tests of operator marks that outlive the entries that received them."""

import signal

from anvilford.daemon._marks import encode_marks
from anvilford.daemon._marks import parse_marks
from anvilford.daemon.tests import system
from anvilford.protocol import Mark
from anvilford.tables import Row
from standins import cluster
from testkit import fixture
from testkit import function_tests

load_tests = function_tests(__name__)

ZONE = "quimper-a"


@fixture
def site():
    """Runs one entry and two targets in one zone."""
    with cluster.Site((ZONE,), 1, 2) as running:
        yield running


def test_a_drain_survives_the_last_entry(case, site):
    """A target stays drained after the only entry was replaced.

    No other entry can pass the mark on, so the new entry must read it from the
    platform's table.
    """
    drained, other = sorted(site.targets)
    (entry,) = site.entries
    status, _ = system.anvilctl(entry, "target", "drain", drained)
    case.assertEqual(status, 0)
    entry.process.signal(signal.SIGTERM)
    case.assertEqual(entry.process.wait(), 0)
    fresh = site.start_entry(ZONE, site.reserve_address())
    site.wait_ready(fresh)
    answer = site.submit(
        fresh, site.issue_submission_ids(fresh)[0], cluster.job_document(8, 20)
    )
    case.assertEqual(answer["outcome"], "complete", answer)
    targets = {result["target"] for result in answer["results"]}
    case.assertEqual(targets, {other})
    status, _ = system.anvilctl(fresh, "target", "resume", drained)
    case.assertEqual(status, 0)


def test_marks_keep_their_content(case):
    """Marks survive encoding as a row; malformed rows count as empty."""
    marks = (Mark("t1", True, 3, "a"), Mark("t2", False, 4, "b"))
    row = Row("target-marks", 7, encode_marks(marks))
    case.assertEqual(parse_marks(row), (7, marks))
    case.assertEqual(parse_marks(None), (0, ()))
    for damaged in ({}, {"marks": [{"vm_id": 1}]}, {"marks": 3}):
        row = Row("target-marks", 7, damaged)
        case.assertEqual(parse_marks(row), (7, ()), damaged)
