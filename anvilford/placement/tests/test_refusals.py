"""Tests of the refusal of new jobs while cores are free."""

import random

import attrs

from anvilford.order_model import draw_arrivals
from anvilford.order_model import PlacementSimulation
from anvilford.placement import Offer
from anvilford.placement import OutcomeKind
from anvilford.placement._fit import fits_now
from anvilford.placement.tests._shared import job
from anvilford.placement.tests._shared import KINDS
from anvilford.placement.tests._shared import make_target
from anvilford.placement.tests._shared import mixed_speed_targets
from anvilford.placement.tests._shared import oscillating_rate
from anvilford.placement.tests._shared import outcome_kinds
from testkit import function_tests

load_tests = function_tests(__name__)

# Mean arrival rate, in jobs per second. The targets can process about 95.
PEAK_RATE = 150.0
START_S = 0.1


def make_site(targets):
    """Returns a site whose placer "p" has claimed targets and knows their speed."""
    site = PlacementSimulation(targets, seed=1)
    placer = site.add_placer("p", 1)
    site.run(START_S)
    for target in targets:
        placer.fleet.targets[target.record.target_id].speed = target.speed
    return site


def make_offer(arrival) -> Offer:
    """Returns an offer of a job that has just arrived."""
    policy = arrival.kind.policy
    return Offer(arrival.job_id, "entry", policy, arrival.spec, 0.0, 2.0)


def test_small_job_that_fits_passes_jobs_that_wait_for_faster_targets(case):
    """Guards against the refusal of a job whose tasks fit and are in time.

    Two slow targets of six were free. Jobs that would be late there waited for
    the fast ones, and were counted as if they took the free cores first.
    """
    fast = [make_target(f"fast{n}", speed=1.6) for n in range(4)]
    slow = [make_target(f"slow{n}", speed=0.5) for n in range(2)]
    site = make_site([*fast, *slow])
    # Fills the fast targets for longer than it was estimated.
    long = attrs.evolve(job(0.6, tasks=8, at=0.1), run_times_s=(1.6,) * 8)
    late_on_slow = [job(0.3, tasks=2, at=0.12) for _ in range(3)]
    small = job(0.1, tasks=2, at=0.35)
    for arrival in [long, *late_on_slow, small]:
        site.schedule(arrival.arrival_time, site.offer, "p", arrival)
    site.run(3.0)
    case.assertEqual(outcome_kinds(site)[small.job_id], OutcomeKind.COMPLETED)
    case.assertEqual(site.results_by_kind([small])["all"].in_time, 1)


def test_free_cores_on_many_targets_admit_no_job_that_fits_on_none(case):
    """Guards against a sum of cores that are free in pieces too small.

    Each target has 2,400 free cores in thousandths, and a task needs 6,800.
    """
    targets = [make_target(f"t{n}") for n in range(6)]
    site = make_site(targets)
    placer = site.placers["p"]
    full = attrs.evolve(job(0.6, tasks=12, at=0.1), run_times_s=(1.6,) * 12)
    site.schedule(full.arrival_time, site.offer, "p", full)
    site.run(0.3)
    small = job(0.1, tasks=1, at=0.3)
    created = placer._create_job(make_offer(small), site.now)
    view = placer._view(created.policy.service, site.now)
    case.assertGreater(view.capacity.free, 6800)
    case.assertFalse(
        fits_now(created, [], view.targets, 1.0, 0.0, placer.options, site.now)
    )


def test_jobs_ahead_take_their_room_first(case):
    """Guards against two jobs that are both admitted to the same free cores.

    Offers that arrive together are all checked before any task starts.
    """
    site = make_site([make_target("t1"), make_target("t2")])
    placer = site.placers["p"]
    ahead = placer._create_job(make_offer(job(0.2, tasks=3)), site.now)
    new = placer._create_job(make_offer(job(0.2, tasks=2)), site.now)
    targets = placer._view(new.policy.service, site.now).targets

    def fits(others):
        return fits_now(
            new, others, targets, 1.0, 0.0, placer.options, site.now
        )

    case.assertTrue(fits([]))
    case.assertFalse(fits([ahead]))


def test_no_refused_job_would_have_fitted(case):
    """Guards against refusals at peak load while all tasks would fit.

    Counts in another way than the admission: the free places on the targets
    that are fast enough.
    """
    site = make_site(mixed_speed_targets())
    placer = site.placers["p"]
    load = [
        attrs.evolve(arrival, arrival_time=arrival.arrival_time + START_S)
        for arrival in draw_arrivals(
            KINDS, oscillating_rate(PEAK_RATE), 13.0, random.Random(3)
        )
    ]
    fitted = []

    def offer(arrival):
        refused = len(site.outcomes)
        targets = placer._view("line", site.now).targets
        (step,) = arrival.spec.steps
        objective = 1.6 * step.estimate_ms / 1000 + 0.06
        places = sum(
            target.available.cpu_millis // step.need.cpu_millis
            for target in targets
            if step.estimate_ms / 1000 / target.speed <= objective - 0.01
        )
        site.offer("p", arrival)
        if len(site.outcomes) > refused and places >= step.count:
            fitted.append(arrival.job_id)

    for arrival in load:
        site.schedule(arrival.arrival_time, offer, arrival)
    site.run(18.0)
    case.assertGreater(site.results_by_kind(load)["all"].refused, 50)
    case.assertEqual(fitted, [])


def test_jobs_that_waited_for_a_leader_use_idle_targets(case):
    """Guards against refusals beside idle targets after a cut or loss of power.

    The jobs arrived before there was a leader and can only be late. Those beyond
    half of the cores are refused, and a job that can be in time is not held up.
    """
    site = make_site([make_target(f"t{n}", cpu=13600) for n in range(10)])
    # The objective is 0.38 s, and an answer has value for 1.14 s.
    late = [job(0.2, at=START_S - 0.4) for _ in range(30)]
    too_late = job(0.2, at=START_S - 1.0)
    fresh = job(0.2, tasks=4, at=START_S)
    for arrival in (*late, too_late, fresh):
        site.offer("p", arrival)
    site.run(3.0)
    kinds = outcome_kinds(site)
    served = sum(kinds[j.job_id] is OutcomeKind.COMPLETED for j in late)
    case.assertGreaterEqual(served, 9)
    case.assertLessEqual(served, 10)
    case.assertIs(kinds[too_late.job_id], OutcomeKind.REFUSED)
    case.assertEqual(site.results_by_kind([fresh])["all"].in_time, 1)
