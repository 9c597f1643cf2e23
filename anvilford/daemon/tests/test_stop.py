"""Tests of entries that stop, are killed or are suspended under load."""

import signal
import time

from anvilford.daemon.tests import system
from standins import cluster
from testkit import fixture
from testkit import function_tests

load_tests = function_tests(__name__)


@fixture
def site():
    """Runs two entries in one zone."""
    with cluster.Site(entries_per_zone=2) as running:
        yield running


def test_graceful_stop_under_load(case, site):
    """A planned stop completes running jobs and starts no task twice.

    Jobs that run when the stop begins complete, later ones are rejected as
    `draining`, and the remaining entry returns the answers of the stopped one.
    """
    first, second = site.entries
    never_submitted = site.issue(first)[0]
    with system.LoadGenerator(
        site, [first, second], lambda: system.distinct_job(2, 120), threads=12
    ) as load:
        time.sleep(0.8)
        # This job runs longer than the notice period of 300 ms.
        long_job = system.distinct_job(2, 1200)
        with (
            system.BackgroundSubmission(site, first, long_job) as background,
            system.BackgroundSubmission(
                site, second, long_job, background.submission_id
            ) as forwarded,
        ):
            time.sleep(0.2)
            stopped_at = time.monotonic()
            first.member.signal(signal.SIGTERM)
            case.assertEqual(first.member.wait(), 0)
        time.sleep(0.3)
    case.assertEqual(forwarded.result.body, background.result.body)
    load.results.append(background.result)
    case.assertEqual(load.failures, [])
    case.assertNotIn(second, load.abandoned_entries)
    system.check_answers(case, load.results)
    mine = [sent for sent in load.results if sent.entry is first]
    in_flight = [s for s in mine if s.started_at < stopped_at < s.ended_at]
    case.assertIn(background.result, in_flight)
    case.assertGreaterEqual(len(in_flight), 3)
    for sent in load.results:
        if sent in in_flight or sent.entry is second:
            case.assertEqual(sent.outcome, "complete", sent)
        elif sent.outcome != "complete":
            case.assertEqual(sent.body.get("reason"), "draining", sent)
    check_successor(case, site, mine)
    late = system.submit_with_id(
        site, second, never_submitted, system.distinct_job()
    )
    case.assertEqual(late.outcome, "not_run", late)
    case.assertEqual(late.body["reason"], "owner_stopped")
    system.check_starts(case, site, [*load.results, late])


def check_successor(case, site, answered):
    """Checks that the second entry returns the stopped entry's answers."""
    for sent in answered:
        again = system.submit_with_id(
            site, site.entries[1], sent.submission_id, sent.job
        )
        if sent.outcome == "complete":
            case.assertEqual(again.body, sent.body)
        else:
            case.assertEqual(again.outcome, "not_run")


def test_killed_owner(case, site):
    """After a crash of the owner, its submissions have an unknown outcome.

    Neither the other entry nor the replacement knows whether tasks started, so
    `not_run` could be false and a new start would be a second one.
    """
    first, second = site.entries
    unused = site.issue(first)[0]
    job = system.distinct_job(4, 1500)
    with system.BackgroundSubmission(site, first, job) as background:
        system.wait_until(
            case, lambda: len(system.starts_by_echo(site)) == 4, 5
        )
        first.member.signal(signal.SIGKILL)
    case.assertNotEqual(background.result.error, "")
    old_id = background.submission_id

    def check_unknown(entry):
        for submission_id in (old_id, unused):
            sent = system.submit_with_id(site, entry, submission_id, job)
            case.assertEqual(sent.outcome, "outcome_unknown", sent)
            case.assertEqual(sent.status, 504)
            case.assertLess(sent.ended_at - sent.started_at, 5)

    check_unknown(second)
    first.member.wait()
    replacement = site.start_entry(first.zone, first.peers)
    site.wait_ready(replacement)
    check_unknown(replacement)
    check_unknown(second)
    time.sleep(1.0)
    counts = system.starts_by_echo(site)
    echoes = background.result.echoes
    case.assertEqual([counts[echo] for echo in echoes], [1] * len(echoes))
    fresh = system.submit(site, replacement, system.distinct_job(2))
    case.assertEqual(fresh.outcome, "complete", fresh)


def test_suspended_owner(case, site):
    """A job is not run again while the owner of its id is suspended.

    The other entry reports an unknown outcome; once the owner resumes, both
    return the same complete answer.
    """
    first, second = site.entries
    job = system.distinct_job(24, 300, deadline_ms=20_000)
    with system.BackgroundSubmission(site, first, job) as background:
        system.wait_until(case, site.starts, 5)
        with system.suspended(first.member):
            sent = system.submit_with_id(
                site, second, background.submission_id, job
            )
            case.assertEqual(sent.outcome, "outcome_unknown", sent)
            case.assertLess(sent.ended_at - sent.started_at, 6)
            during = system.starts_by_echo(site)
            case.assertLess(len(during), 24)
    answers = [background.result] + [
        system.submit_with_id(site, entry, background.submission_id, job)
        for entry in (first, second)
    ]
    system.check_answers(case, answers)
    for sent in answers:
        case.assertEqual(sent.body, background.result.body)
    case.assertEqual(background.result.outcome, "complete")
    system.check_starts(case, site, answers)
