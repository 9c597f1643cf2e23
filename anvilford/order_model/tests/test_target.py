"""Tests of the simulated target and of the check for overlapping runs."""

from anvilford.order_model import FakeTarget
from anvilford.order_model import overlapping_tasks
from anvilford.placement import Resources
from anvilford.placement import RunEnd
from anvilford.placement import TargetRecord
from testkit import function_tests

load_tests = function_tests(__name__)


def target_with_runs(*runs):
    """Returns a target that has run a task with the same run number each time.

    Args:
        *runs: Start and end of each run; the end is None while it continues.
    """
    capacity = Resources(16000)
    target = FakeTarget(
        TargetRecord("t", 1, "t", "a", "s", False, 0, capacity, (), 1)
    )
    for start, end in runs:
        target.starts.append((start, "job.0.0.0", 17))
        if end is not None:
            target.ends.append((end, "job.0.0.0", 17, RunEnd.DONE))
    return target


def test_run_number_used_again_after_a_restart_is_no_overlap(case):
    """A target that restarted accepts the number of an earlier run again.

    The leader uses it if the job was lost and comes back as a new one. The
    check took the end of the second run for that of the first one.
    """
    restarted = target_with_runs((8.0, 8.8), (11.0, 11.8))
    case.assertEqual(overlapping_tasks([restarted]), [])


def test_overlapping_runs_on_two_targets_are_found(case):
    """The check must find each overlap, whichever run it is with."""
    restarted = target_with_runs((8.0, 8.8), (11.0, 11.8))
    for other in ((8.5, 9.0), (7.0, 8.1), (11.7, None), (8.9, 11.1)):
        pair = [restarted, target_with_runs(other)]
        case.assertEqual(overlapping_tasks(pair), ["job.0.0.0"])
    between = [restarted, target_with_runs((8.9, 10.9))]
    case.assertEqual(overlapping_tasks(between), [])
    case.assertEqual(
        overlapping_tasks([target_with_runs((1.0, None)), restarted]),
        ["job.0.0.0"],
    )
