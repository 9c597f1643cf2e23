"""Tests of placement that keeps interfering tasks on different targets."""

import random

import attrs

from anvilford.order_model import Arrival
from anvilford.order_model import draw_arrivals
from anvilford.order_model import PlacementSimulation
from anvilford.placement import OutcomeKind
from anvilford.placement import PlacementOptions
from anvilford.placement.tests._shared import CHECK
from anvilford.placement.tests._shared import job
from anvilford.placement.tests._shared import KINDS
from anvilford.placement.tests._shared import make_target
from anvilford.placement.tests._shared import oscillating_rate
from anvilford.placement.tests._shared import PLAN
from testkit import function_tests

load_tests = function_tests(__name__)

PARTNERS = {("check", 0): {("plan", 0): 2.0}, ("plan", 0): {("check", 0): 2.0}}
OFF = PlacementOptions(separate_interfering_tasks=False)
DAY_S = 14.0
# Jobs per second for 72 targets. At the first rate half of the cores are free on
# average, at the second one there is no room.
CALM_RATE = 130.0
FULL_RATE = 330.0


def plan_job(seconds: float, tasks: int = 1) -> Arrival:
    """Returns a job of kind "plan"."""
    return attrs.evolve(job(seconds, tasks), kind=PLAN)


def site_with_pair(*speeds: float) -> PlacementSimulation:
    """Returns a site whose placer knows that "check" and "plan" interfere.

    Args:
        *speeds: Speeds of the targets, which the placer knows.
    """
    site = PlacementSimulation(
        [make_target(f"t{n}", speed=s) for n, s in enumerate(speeds, 1)]
    )
    fleet = site.add_placer("p", 1).fleet
    site.run(0.1)
    fleet.interference.partners = PARTNERS
    fleet.interference.evaluate = lambda now: []
    for name, target in fleet.targets.items():
        target.speed = site.targets[name].speed
    return site


def targets_of(site: PlacementSimulation, job_id: str) -> set[str]:
    """Returns the ids of the targets that have started tasks of a job."""
    return {
        name
        for name, target in site.targets.items()
        if any(task.startswith(job_id) for _, task, _ in target.starts)
    }


def test_task_avoids_a_target_with_a_bad_partner(case):
    """Guards against known pairs that share a target while others are free.

    The second target is slower, but not by as much as the pair costs. Both
    orders of arrival count, as the runs in progress are slowed down too.
    """
    for kinds in ((CHECK, PLAN), (PLAN, CHECK)):
        with case.subTest(first=kinds[0].policy.name):
            site = site_with_pair(1.0, 0.8)
            first, second = (attrs.evolve(job(0.5), kind=k) for k in kinds)
            site.offer("p", first)
            site.run(0.12)
            site.offer("p", second)
            site.run(2.0)
            case.assertEqual(targets_of(site, first.job_id), {"t1"})
            case.assertEqual(targets_of(site, second.job_id), {"t2"})


def test_separation_is_not_bought_by_a_slower_target(case):
    """Guards against a detour that takes longer than the slowdown itself."""
    site = site_with_pair(1.6, 0.75)
    site.offer("p", plan_job(0.5))
    site.run(0.12)
    later = job(0.5)
    site.offer("p", later)
    site.run(2.0)
    case.assertEqual(targets_of(site, later.job_id), {"t1"})


def test_separation_never_makes_a_task_late(case):
    """Guards against a target that is avoided although the other one is late.

    A task of 0.5 s has 0.86 s. On the target of speed 0.65 it would take 0.77 s,
    more than the share of that time that estimates leave.
    """
    site = site_with_pair(1.0, 0.65)
    site.offer("p", plan_job(0.5))
    site.run(0.12)
    later = job(0.5)
    site.offer("p", later)
    site.run(2.0)
    case.assertEqual(targets_of(site, later.job_id), {"t1"})


def test_task_starts_at_once_without_another_target(case):
    """Guards against a task that waits or is refused for a bad partner."""
    site = site_with_pair(1.0)
    site.offer("p", plan_job(0.5))
    site.run(0.12)
    later = job(0.5)
    site.offer("p", later)
    site.run(0.125)
    case.assertEqual(targets_of(site, later.job_id), {"t1"})
    site.run(2.0)
    kinds = {outcome.kind for _, _, _, outcome in site.outcomes}
    case.assertEqual(kinds, {OutcomeKind.COMPLETED})


def test_scarce_targets_are_chosen_in_their_order(case):
    """Guards against fast targets that are taken without need.

    With most cores in use, a task goes to the slowest target that meets its
    objective and has no bad partner; without such a target, to the slowest.
    """
    for used, expected in (((), "t4"), (("t4",), "t3"), (("t3", "t4"), "t4")):
        with case.subTest(used_by_plan=used):
            site = site_with_pair(1.6, 1.6, 1.0, 0.9)
            targets = site.placers["p"].fleet.targets
            filler = [attrs.evolve(job(0.9, 2), kind=KINDS[2]) for _ in "12"]
            for arrival in filler:
                site.offer("p", arrival)
            site.run(0.12)
            case.assertEqual(len(targets["t1"].runs), 2)
            case.assertEqual(len(targets["t2"].runs), 2)
            for name in ("t3", "t4"):
                kind = PLAN if name in used else KINDS[2]
                others = [
                    t for t in targets.values() if t.record.target_id != name
                ]
                for other in others:
                    other.is_full = True
                site.placers["p"]._views.clear()
                site.offer("p", attrs.evolve(job(0.5), kind=kind))
                site.run(site.now + 0.02)
                for other in others:
                    other.is_full = False
            case.assertEqual(
                [len(t.runs) for t in targets.values()], [2, 2, 1, 1]
            )
            site.placers["p"]._views.clear()
            later = job(0.3)
            site.offer("p", later)
            site.run(site.now + 0.02)
            case.assertEqual(targets_of(site, later.job_id), {expected})


def replay(rate, seed, slowdowns, options=None):
    """Replays a day on 72 targets whose kinds of jobs slow each other down.

    Returns:
        The results by kind, and the decisions about interference.
    """
    targets = [
        make_target(f"t{n}", *((16000, 0.6), (16000, 1.0), (24000, 1.6))[n % 3])
        for n in range(72)
    ]
    for target in targets:
        target.slowdowns = slowdowns
    site = PlacementSimulation(targets, seed=seed)
    site.add_placer("p", 1, options)
    site.run(0.1)
    jobs = [
        attrs.evolve(arrival, arrival_time=arrival.arrival_time + 0.1)
        for arrival in draw_arrivals(
            KINDS, oscillating_rate(rate), DAY_S, random.Random(seed)
        )
    ]
    for arrival in jobs:
        site.schedule(arrival.arrival_time, site.offer, "p", arrival)
    site.run(0.1 + DAY_S + 6.0)
    events = [d for d in site.decisions if d.event.startswith("interference")]
    return site.results_by_kind(jobs), events


SLOWDOWNS = {("confirm", "plan"): 2.0, ("plan", "confirm"): 1.5}


def test_callers_get_more_answers_in_time(case):
    """Replays callers whose jobs are late because of what runs beside them.

    Guards against a separation that the callers do not notice.
    """
    for seed in (1, 2):
        with case.subTest(seed=seed):
            without, none = replay(CALM_RATE, seed, SLOWDOWNS, OFF)
            separated, events = replay(CALM_RATE, seed, SLOWDOWNS)
            case.assertEqual(none, [])
            case.assertIn("interference known", {d.event for d in events})
            late = {
                name: 1 - results["all"].in_time / results["all"].asked
                for name, results in (
                    ("without", without), ("separated", separated)
                )
            }  # fmt: skip
            case.assertLess(late["separated"], 0.6 * late["without"], late)


def test_load_without_interference_is_placed_as_before(case):
    """Guards against a feature that changes days which do not call for it."""
    for rate in (CALM_RATE, FULL_RATE):
        with case.subTest(rate=rate):
            without, _ = replay(rate, 1, {}, OFF)
            separated, events = replay(rate, 1, {})
            case.assertEqual(events, [])
            case.assertEqual(separated, without)


def test_no_room_to_separate(case):
    """Guards against a preference that costs answers when no target is free.

    All targets are full, and more jobs arrive than they can run.
    """
    for seed in (1, 2):
        with case.subTest(seed=seed):
            without, _ = replay(FULL_RATE, seed, SLOWDOWNS, OFF)
            separated, events = replay(FULL_RATE, seed, SLOWDOWNS)
            case.assertIn("interference known", {d.event for d in events})
            case.assertGreater(
                separated["all"].share, without["all"].share - 0.01
            )
