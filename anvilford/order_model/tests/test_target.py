"""Tests of the simulated target and of the check for overlapping runs."""

from anvilford.order_model import FakeTarget
from anvilford.order_model import overlapping_tasks
from anvilford.placement import Resources
from anvilford.placement import RunEnd
from anvilford.placement import StartRun
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


def test_kinds_slow_each_other_down_while_both_run(case):
    """Guards against a model in which a slowdown outlasts its cause.

    "plan" needs 0.4 s and "check" 0.1 s. While both run, they take 1.5 times and
    twice as long: "check" ends after 0.2 s, in which "plan" gets 0.133 s done,
    and "plan" 0.267 s later. A third kind changes nothing.
    """
    capacity = Resources(16000)
    target = FakeTarget(
        TargetRecord("t", 1, "t", "a", "s", False, 0, capacity, (), 1)
    )
    target.slowdowns = {("plan", "check"): 1.5, ("check", "plan"): 2.0}
    for kind, seconds in (("plan", 0.4), ("check", 0.1), ("other", 0.1)):
        order = StartRun("t", 1, kind, 17, "", target.clock_ms(1.9), 1)
        target.start(order, Resources(1000), seconds, 1.0, kind=kind)
    target.advance(2.0)
    ends = {task: at for at, task, _, _ in target.ends}
    case.assertEqual(list(ends), ["other", "check", "plan"])
    for task, end in (("other", 1.1), ("check", 1.2), ("plan", 1.2 + 4 / 15)):
        case.assertAlmostEqual(ends[task], end, places=6)
