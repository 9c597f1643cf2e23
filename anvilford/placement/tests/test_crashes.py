"""Tests of tasks that crash the targets on which they start."""

import attrs

from anvilford.order_model import PlacementSimulation
from anvilford.placement import OutcomeKind
from anvilford.placement.tests._shared import job
from anvilford.placement.tests._shared import make_target
from testkit import fixture
from testkit import function_tests

load_tests = function_tests(__name__)

# Starts after which a task is started once too often, by the users' rule: it may
# crash three targets, and start twice more.
MAX_STARTS = 5
# The platform allows to give up a task under which this many targets crashed.
CRASHES_TO_GIVE_UP = 2
# Deadline of callers who wait for longer than a target needs to restart.
LONG_DEADLINE_S = 20.0


def count_starts(site, work):
    """Returns the largest number of starts of a task of the job."""
    names = [
        task
        for target in site.targets.values()
        for _, task, _ in target.starts
        if task.startswith(work.job_id)
    ]
    return max((names.count(name) for name in names), default=0)


def outcomes_of(site, work):
    """Returns the kinds of the outcomes of a job, in their order."""
    return [
        o.kind for _, _, job_id, o in site.outcomes if job_id == work.job_id
    ]


@fixture
def site():
    """A simulated site of twelve targets with the placer "p"."""
    made = PlacementSimulation([make_target(f"t{n:02}") for n in range(12)])
    made.job_deadline_s = LONG_DEADLINE_S
    made.add_placer("p", 1)
    made.run(0.1)
    yield made


def test_task_that_crashes_targets_is_given_up(case, site):
    """One task must not crash target after target until its deadline.

    Each loss of a target was followed by a start on the next one.
    """
    work = job(tasks=3)
    site.faults.deadly_jobs.add(work.job_id)
    site.offer("p", work)
    site.run(30.0)
    case.assertLessEqual(count_starts(site, work), MAX_STARTS)
    case.assertEqual(outcomes_of(site, work), [OutcomeKind.FAILED])


def test_job_sent_again_does_not_crash_further_targets(case, site):
    """A job that a caller sends again has not lost its history.

    Callers send a job again after the answer 504, which ends it here.
    """
    work = job()
    site.faults.deadly_jobs.add(work.job_id)
    site.job_deadline_s = 1.5
    for at in (0.1, 3.0, 6.0, 9.0, 12.0, 15.0):
        site.run(at)
        site.offer("p", attrs.evolve(work, arrival_time=at))
    site.run(20.0)
    case.assertLessEqual(count_starts(site, work), MAX_STARTS)
    case.assertIs(outcomes_of(site, work)[-1], OutcomeKind.FAILED)
