"""Replays the load patterns that the decisions answer."""

import random
from unittest import mock

import attrs

from anvilford.order_model import draw_arrivals
from anvilford.order_model import PlacementSimulation
from anvilford.placement import _admission as admission
from anvilford.placement import OutcomeKind
from anvilford.placement.tests._shared import CHECK
from anvilford.placement.tests._shared import CONFIRM
from anvilford.placement.tests._shared import job
from anvilford.placement.tests._shared import KINDS
from anvilford.placement.tests._shared import make_target
from anvilford.placement.tests._shared import users_targets
from anvilford.placement.tests._shared import wave
from testkit import function_tests

load_tests = function_tests(__name__)

# Mean demand in jobs a second. The model's targets do the work of about 95.
ORDINARY = 60.0
CREST = 150.0
LENGTH_S = 13.0
START_S = 0.1


def play(mean: float, seed: int = 3, before=None):
    """Plays one swing of demand.

    Args:
        mean: Mean demand.
        seed: Source of chance.
        before: Called with the site before the first job.

    Returns:
        The site and its results by kind of job.
    """
    site = PlacementSimulation(users_targets(), seed=seed)
    site.add_placer("p", 1)
    site.run(START_S)
    if before is not None:
        before(site)
    rng = random.Random(seed)
    load = [
        attrs.evolve(arrival, arrival_time=arrival.arrival_time + START_S)
        for arrival in draw_arrivals(KINDS, wave(mean), LENGTH_S, rng)
    ]
    for arrival in load:
        site.schedule(arrival.arrival_time, site.offer, "p", arrival)
    site.run(START_S + LENGTH_S + 4.0)
    return site, site.results_by_kind(load)


def test_ordinary_demand_is_served_in_time(case):
    """Guards against refusing or delaying what free targets could take."""
    _, results = play(ORDINARY)
    case.assertGreaterEqual(results["all"].share, 0.95)
    case.assertEqual(results["all"].refused, 0)


def test_crest_is_worth_more_with_refusals(case):
    """Guards against a crest at which every job becomes a little late."""
    _, ours = play(CREST)
    with mock.patch.object(admission, "QUEUE_SHARE", 1e6):
        _, admits_all = play(CREST)
    case.assertGreater(ours["all"].share, 1.1 * admits_all["all"].share)
    case.assertLess(ours["all"].late, admits_all["all"].late / 2)


def test_no_kind_starves_at_the_crest(case):
    """Guards against long jobs that are never served beside short ones."""
    _, results = play(CREST)
    for kind in KINDS:
        with case.subTest(kind=kind.policy.name):
            result = results[kind.policy.name]
            case.assertGreaterEqual(result.share, 0.6 * results["all"].share)


def test_refusals_are_immediate_and_true(case):
    """Guards against refusals that come late, or of work that ran."""
    site, _ = play(CREST)
    started = {
        task.partition(".")[0]
        for target in site.targets.values()
        for _, task, _ in target.starts
    }
    waits = {
        decision.job_id: decision.fields
        for decision in site.decisions
        if decision.event == "job given up"
    }
    for _, _, job_id, outcome in site.outcomes:
        if outcome.kind is OutcomeKind.REFUSED:
            case.assertNotIn(job_id, started)
            case.assertGreaterEqual(outcome.retry_after_ms, 1000)
    late = [
        fields
        for fields in waits.values()
        if fields["waited_ms"] > 0.3 * fields["objective_ms"]
        and fields["outcome"] == "refused"
    ]
    case.assertLess(len(late), 0.02 * len(site.outcomes))


def test_refused_callers_do_not_return_together(case):
    """Guards against a second crest made of those who were refused."""
    site, _ = play(CREST)
    advice = {
        outcome.retry_after_ms
        for _, _, _, outcome in site.outcomes
        if outcome.kind is OutcomeKind.REFUSED
    }
    case.assertGreater(len(advice), 20)


def test_failing_targets_do_not_swallow_the_crest(case):
    """Guards against targets that attract tasks by failing them at once."""

    def fail_two(site):
        for name in ("t2", "t5"):
            site.targets[name].fails_all_tasks = True

    _, sound = play(ORDINARY)
    _, results = play(ORDINARY, before=fail_two)
    case.assertGreaterEqual(results["all"].share, 0.9 * sound["all"].share)


def test_hanging_targets_do_not_hold_jobs(case):
    """Guards against jobs that wait for tasks that stand still."""

    def hang_two(site):
        for name in ("t2", "t5"):
            site.targets[name].is_stalled = True

    site, results = play(ORDINARY, before=hang_two)
    case.assertEqual(site.find_overlapping_tasks(), [])
    case.assertGreaterEqual(results["all"].share, 0.75)


def test_slow_targets_get_less(case):
    """Guards against targets that turned slow and keep their share."""

    def slow_four(site):
        for name in ("t2", "t5", "t8", "t11"):
            site.targets[name].speed /= 6

    site, results = play(ORDINARY, before=slow_four)
    case.assertGreaterEqual(results["all"].share, 0.75)
    del site


def test_short_jobs_pass_long_ones(case):
    """Guards against short jobs that wait behind long ones."""
    site, results = play(ORDINARY)
    for kind in (CHECK, CONFIRM):
        result = results[kind.policy.name]
        case.assertGreaterEqual(result.in_time, 0.95 * result.asked)
    del site


def test_job_waits_for_a_target_that_is_in_time(case):
    """Guards against jobs that are late for certain on a slow, free target.

    At a crest the slow targets are free first. A job that would miss its
    objective there went to them, though a faster one came free soon after.
    """
    slow, fast = make_target("slow", speed=0.4), make_target("fast", speed=2.0)
    site = PlacementSimulation([slow, fast], seed=1)
    placer = site.add_placer("p", 1)
    site.run(START_S)
    for target in (slow, fast):
        placer.fleet.targets[target.record.target_id].speed = target.speed
    # Two tasks fill the fast target for 0.1 s, one half of the slow one.
    load = [job(0.2, tasks=3, at=START_S), job(0.4, at=START_S + 0.01)]
    for arrival in load:
        site.schedule(arrival.arrival_time, site.offer, "p", arrival)
    site.run(3.0)
    case.assertEqual([task for _, task, _ in slow.starts], [])
    results = site.results_by_kind(load[1:])
    case.assertEqual(results["all"].in_time, 1)
