"""Tests of `benchmarks.real_path`, partly with a real daemon."""

from benchmarks import _real_sections as sections
from benchmarks import real_path
from benchmarks._real_site import wait_for_targets
from testkit import function_tests

load_tests = function_tests(__name__)

SECONDS = 1.5
OUTCOMES = {"complete", "not_run"}


def test_no_reset_and_no_lost_answer_at_64_and_256_connections(case):
    """Checks that a daemon answers all requests on 64 and 256 connections.

    A listen queue that is too short resets connections, and an answer sent on
    the wrong connection is lost to its caller. Each completed job must have
    started exactly one attempt at a target.
    """
    with sections.make_site() as site:
        wait_for_targets(site)
        rows = sections.measure_connections(site, SECONDS)
        starts = site.task_starts()
    for row in rows:
        with case.subTest(connections=row["connections"]):
            faults = ("resets", "refused", "timeouts", "lost", "wrong", "no_id")
            case.assertEqual([row[name] for name in faults], [0] * len(faults))
            case.assertEqual(row["answered"], row["sent"])
            case.assertEqual(sum(row["outcomes"].values()), row["sent"])
            case.assertLessEqual(set(row["outcomes"]), OUTCOMES)
            case.assertGreaterEqual(row["sent"], row["connections"])
    complete = sum(row["outcomes"].get("complete", 0) for row in rows)
    case.assertEqual(len(starts), complete)
    case.assertEqual(len({start["attempt"] for start in starts}), complete)


def test_missed_targets_are_reported(case):
    """Checks that the report shows every limit that is not met.

    Of several rounds, the worst one must count.
    """
    round_ = {"added_ms": {"p50": 4.0, "p99": 15.1}}
    row = dict.fromkeys(("refused", "lost", "wrong", "no_id", "timeouts"), 0)
    row |= {"connections": 64, "resets": 1, "sent": 5, "answered": 5}
    row["errors"] = 1
    report = {
        "added": {"closed": [round_, {"added_ms": {"p50": 1, "p99": 1}}]},
        "connections": [row],
        "waste": {"per_task_total": 0.051},
    }
    met = [verdict.is_met for verdict in real_path.check_limits(report)]
    case.assertEqual(met, [True, False, False, False, False])
