"""Tests of jobs that their callers cancel."""

import attrs

from anvilford.placement import CANCELED_OUTCOME
from anvilford.placement import CancelResult
from anvilford.placement import OutcomeKind
from anvilford.placement import StepSpec
from anvilford.placement._earlier_jobs import EarlierJobs
from anvilford.placement._earlier_jobs import MAX_CANCELLED_JOBS
from anvilford.placement._earlier_jobs import OUTCOME_RETENTION_S
from anvilford.placement.tests._shared import job
from anvilford.placement.tests._shared import outcome_kinds
from anvilford.placement.tests._shared import site
from testkit import function_tests

load_tests = function_tests(__name__)
__all__ = ["load_tests", "site"]

# `cancel_ms` and `stop_timeout_ms` of the sites with the shortest bounds.
CANCEL_S = 3.05


def cancel(site, job_id: str, name: str = "p") -> CancelResult:
    """Cancels a job at a placer, as its owner does."""
    result = site.placers[name].cancel(job_id, site.now)
    site._execute_effects(name)
    return result


def count_starts(site) -> int:
    """Returns the number of runs that were started on all targets."""
    return sum(len(t.starts) for t in site.targets.values())


def find_running(site) -> list:
    """Returns the names of the tasks that run on any target."""
    return [task for t in site.targets.values() for task in t.running]


def outcomes_of(site, job_id: str) -> list:
    """Returns the outcomes of a job, in order."""
    return [o for _, _, ended, o in site.outcomes if ended == job_id]


def in_two_steps(arrival):
    """Returns a job whose second step follows its first one."""
    (step,) = arrival.spec.steps
    second = StepSpec(step.count, step.need, step.estimate_ms, (0,))
    spec = attrs.evolve(arrival.spec, steps=(step, second))
    return attrs.evolve(arrival, spec=spec)


def test_cancelled_job_goes_on(case, site):
    """Guards against tasks at work, and later steps, after a cancellation."""
    site.job_deadline_s = 20.0
    first = in_two_steps(job(seconds=2.0, tasks=2))
    for index in range(2):
        task = f"{first.job_id}.0.1.{index}"
        site.task_demands[task] = (first.spec.steps[1].need, 2.0)
    site.offer("p", first)
    site.run(0.5)
    case.assertEqual(len(find_running(site)), 2)
    case.assertIs(cancel(site, first.job_id), CancelResult.CANCELED)
    case.assertEqual(outcomes_of(site, first.job_id), [CANCELED_OUTCOME])
    site.run(0.5 + 0.2)
    case.assertEqual(find_running(site), [])
    site.run(8.0)
    case.assertEqual(count_starts(site), 2)


def test_waiting_job_starts_after_its_cancellation(case, site):
    """Guards against a start of tasks that waited for a free target."""
    site.job_deadline_s = 20.0
    blocker = job(seconds=1.0, tasks=4)
    waiting = job(seconds=5.0, tasks=2)
    site.offer("p", blocker)
    site.offer("p", waiting)
    site.run(0.5)
    case.assertEqual(count_starts(site), 4)
    case.assertIs(cancel(site, waiting.job_id), CancelResult.CANCELED)
    site.run(4.0)
    case.assertEqual(count_starts(site), 4)
    case.assertIs(outcome_kinds(site)[blocker.job_id], OutcomeKind.COMPLETED)


def test_cancelled_job_that_is_sent_again_starts(case, site):
    """Guards against a start for a request that a caller repeats.

    The first answer may be lost with its connection.
    """
    first = job(seconds=2.0)
    site.offer("p", first)
    site.run(0.5)
    cancel(site, first.job_id)
    for wait in (0.5, 1.3, 5.0):
        site.run(site.now + wait)
        site.offer("p", first, entry="other")
    site.run(site.now + 2.0)
    case.assertEqual(outcomes_of(site, first.job_id), [CANCELED_OUTCOME] * 4)
    case.assertEqual(count_starts(site), 1)


def test_job_starts_that_was_cancelled_before_its_offer(case, site):
    """Guards against a start if the cancellation overtakes the offer.

    The entry with the job may have waited for a leader meanwhile. The second
    question shows that the offer was stopped.
    """
    first = job(seconds=2.0)
    case.assertIs(cancel(site, first.job_id), CancelResult.UNKNOWN)
    site.run(0.3)
    case.assertIs(cancel(site, first.job_id), CancelResult.UNKNOWN)
    site.offer("p", first, again=True, placed_is_known=False)
    site.run(2.0)
    case.assertEqual(outcomes_of(site, first.job_id), [CANCELED_OUTCOME])
    case.assertEqual(count_starts(site), 0)
    case.assertIs(cancel(site, first.job_id), CancelResult.CANCELED)


def test_ended_job_counts_as_cancelled(case, site):
    """Guards against an acknowledgement for a job that has been completed."""
    first = job(seconds=0.1)
    site.offer("p", first)
    site.run(1.0)
    case.assertIs(cancel(site, first.job_id), CancelResult.ENDED)
    site.offer("p", first, entry="other")
    kinds = [outcome.kind for outcome in outcomes_of(site, first.job_id)]
    case.assertEqual(kinds, [OutcomeKind.COMPLETED] * 2)


def test_job_without_a_caller_goes_on(case, site):
    """Guards against a run that is kept for a caller who has cancelled it."""
    first = job(seconds=2.0)
    site.offer("p", first)
    site.run(0.5)
    placer = site.placers["p"]
    placer.expect_resent_jobs((first.job_id,), "entry", site.now)
    case.assertEqual(placer.kept_jobs, [first.job_id])
    case.assertIs(cancel(site, first.job_id), CancelResult.CANCELED)
    case.assertEqual(placer.kept_jobs, [])
    site.run(1.0)
    case.assertEqual(find_running(site), [])


def test_new_placer_goes_on_with_a_cancelled_job(case, site):
    """Guards against a cancellation that ends with its leader.

    The new placer finds the runs on the targets, and the job is offered again.
    """
    first = job(seconds=6.0, tasks=2)
    site.offer("p", first)
    site.run(0.5)
    site.remove_placer("p")
    site.add_placer("q", 2)
    cancel(site, first.job_id, "q")
    site.offer("q", first, again=True, placed_is_known=False)
    site.run(0.5 + CANCEL_S)
    case.assertEqual(outcomes_of(site, first.job_id), [CANCELED_OUTCOME])
    case.assertEqual((find_running(site), count_starts(site)), ([], 2))


def test_lost_stop_lets_a_cancelled_run_go_on(case, site):
    """Guards against a run that outlasts the bound if stops are lost.

    The lease of its target ends instead.
    """
    first = job(seconds=6.0, tasks=1)
    site.offer("p", first)
    site.run(0.5)
    cancel(site, first.job_id)
    pairs = {("p", "t1"), ("p", "t2")}
    site.faults.partitioned_pairs.update(pairs)
    site.run(0.5 + CANCEL_S)
    case.assertEqual(find_running(site), [])


def test_memory_of_cancelled_jobs_grows(case):
    """Guards against memory that callers fill with ids that never existed."""
    jobs = EarlierJobs()
    for number in range(MAX_CANCELLED_JOBS + 10):
        jobs.cancel(str(number), 1.0)
    case.assertFalse(jobs.is_cancelled("9"))
    case.assertTrue(jobs.is_cancelled("10"))
    case.assertTrue(jobs.is_cancelled(str(MAX_CANCELLED_JOBS + 9)))
    jobs.drop_old(1.0 + OUTCOME_RETENTION_S)
    case.assertFalse(jobs.is_cancelled(str(MAX_CANCELLED_JOBS + 9)))
