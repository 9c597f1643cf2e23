"""Tests of targets that fail tasks, crash or lose responses."""

import collections

from anvilford.daemon.tests import system
from standins import cluster
from testkit import function_tests

load_tests = function_tests(__name__)


def check_states(case, sent, log):
    """Checks the task states of a failed job against the log of starts.

    Args:
        case: The test case.
        sent: Result of the submission.
        log: Starts at the targets.
    """
    case.assertEqual((sent.status, sent.outcome), (200, "failed"), sent)
    case.assertEqual(len(sent.body["tasks"]), len(sent.echoes))
    counts = collections.Counter(start["echo"] for start in log)
    ends = {start["echo"]: start["outcome"] for start in log}
    for echo, state in zip(sent.echoes, sent.body["tasks"], strict=True):
        case.assertLessEqual(counts[echo], 1, sent)
        # An attempt that was cancelled before it was sent may be `unknown` too,
        # because the job is answered before it is known that the attempt did
        # not start.
        if state == "not_run":
            case.assertEqual(counts[echo], 0, sent)
        if state in ("failed", "succeeded"):
            case.assertEqual(counts[echo], 1, sent)
            case.assertEqual(ends[echo], state, sent)


def test_faulty_targets(case):
    """Tasks that failed or whose response was lost are not started again.

    Each fault of the only target leads to its own reason and truthful task
    states. The answer to a repeated request is the same, and the target is used
    again once the fault is gone.
    """
    faults = {
        "fail_all": ("task_failed", {"failed"}),
        "drop_after_start": ("task_unknown", {"unknown"}),
        "truncate": ("task_unknown", {"unknown"}),
        "wrong_attempt": ("task_unknown", {"unknown"}),
    }
    with cluster.Site(targets_per_zone=1) as site:
        ((address, _),) = site.targets.values()
        for fault, (reason, first_states) in faults.items():
            site.set_faults(address, **{fault: True})
            sent = system.submit(
                site, site.entries[0], system.distinct_job(12, 40)
            )
            case.assertEqual(sent.body.get("reason"), reason, sent)
            case.assertTrue(first_states & set(sent.body["tasks"]), sent)
            check_states(case, sent, site.starts())
            again = system.submit_with_id(
                site, site.entries[0], sent.submission_id, sent.job
            )
            case.assertEqual(again.body, sent.body)
            check_states(case, again, site.starts())
            site.set_faults(address, **{fault: False})

            def recovered():
                sent = system.submit(
                    site, site.entries[0], system.distinct_job()
                )
                return sent.outcome == "complete"

            system.wait_until(case, recovered, 15)


def test_failing_target_beside_others(case):
    """A task that failed on one target is not started on another.

    One of three targets fails every task.
    """
    with cluster.Site(targets_per_zone=3) as site:
        address, _ = site.targets["target-quimper-a-0"]
        site.set_faults(address, fail_all=True)
        jobs = []
        for _ in range(20):
            job = system.distinct_job(4, 20)
            jobs.append(system.submit(site, site.entries[0], job))
        log = site.starts()
        outcomes = collections.Counter(sent.outcome for sent in jobs)
        case.assertGreater(outcomes["failed"], 0)
        case.assertGreater(outcomes["complete"], 0)
        system.check_answers(case, jobs)
        system.check_starts(case, site, jobs)
        for sent in jobs:
            if sent.outcome == "failed":
                check_states(case, sent, log)


def test_target_killed_in_mid_task(case):
    """Tasks running on a killed target end as `unknown` and do not restart.

    The job fails well before its deadline, and new jobs complete on the
    remaining target.
    """
    with cluster.Site(targets_per_zone=2) as site:
        entry = site.entries[0]
        job = system.distinct_job(6, 1500)
        with system.BackgroundSubmission(site, entry, job) as background:
            system.wait_until(
                case, lambda: len(system.starts_by_echo(site)) == 6, 5
            )
            before = site.starts()
            _, member = site.targets["target-quimper-a-0"]
            member.end()
        sent = background.result
        case.assertEqual(sent.body["reason"], "task_unknown", sent)
        case.assertLess(sent.ended_at - sent.started_at, 4)
        case.assertIn("unknown", sent.body["tasks"])
        again = system.submit_with_id(site, entry, sent.submission_id, job)
        case.assertEqual(again.body, sent.body)
        fresh = [
            system.submit(site, entry, system.distinct_job(4)) for _ in range(4)
        ]
        for one in fresh:
            case.assertEqual(one.outcome, "complete", one)
        ran_before = {start["attempt"]: start for start in before}
        log = ran_before | {s["attempt"]: s for s in site.starts()}
        check_states(case, sent, log.values())
