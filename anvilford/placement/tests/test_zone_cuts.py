"""Randomized test of two leaders while a zone is cut off and reached again."""

import random

import attrs

from anvilford.order_model import PlacementSimulation
from anvilford.order_model import ZoneCutSimulation
from anvilford.placement.tests._shared import job
from anvilford.placement.tests._shared import make_target
from testkit import function_tests

load_tests = function_tests(__name__)
__all__ = ["load_tests"]

SEEDS = (*range(1, 16), 17, 31, 35, 38, 55, 56)


def simulate_zone_cuts(seed, make=ZoneCutSimulation):
    """Returns a site after 14 s with four cuts, and jobs on shared targets."""
    rng = random.Random(seed)
    targets = [make_target(f"a{n}", 48000, speed=0.7 + n / 4) for n in range(3)]
    for n in range(3):
        target = make_target(f"b{n}", 48000, speed=0.8 + n / 4)
        target.record = attrs.evolve(target.record, zone="b")
        targets.append(target)
    site = make(targets, seed)
    site.faults.lost_answer_share = rng.choice((0.0, 0.02))
    site.faults.delayed_order_share = rng.choice((0.0, 0.01))
    end = 0.0
    for _ in range(4):
        begin = end + rng.uniform(0.5, 2.0)
        end = begin + rng.uniform(0.3, 2.5)
        site.schedule(begin, setattr, site, "is_cut", True)
        site.schedule(end, setattr, site, "is_cut", False)
    at = 0.1
    while at < 12.0:
        arrival = job(rng.uniform(0.3, 1.6), rng.randint(1, 4), at)
        site.submit(rng.choice(site.entries), arrival)
        at += rng.expovariate(5.0)
    site.run(14.0)
    return site


def test_task_runs_twice_around_a_zone_cut(case):
    """Guards against two runs of a task while two leaders place jobs."""
    for seed in SEEDS:
        with case.subTest(seed=seed):
            site = simulate_zone_cuts(seed)
            case.assertEqual(site.find_overlapping_tasks(), [])


def test_raised_token_claims_targets_that_are_left(case):
    """Guards against a placer that takes targets which it leaves to another.

    It raised its token for another reason. Targets of that zone that obey it
    are claimed like all others.
    """
    targets = [make_target(name) for name in ("a0", "b0", "b1")]
    for target in targets[1:]:
        target.record = attrs.evolve(target.record, zone="b")
    site = PlacementSimulation(targets)
    placer = site.add_placer("site", 1)
    site.run(0.1)
    targets[1].fence = 2
    site.offer("site", job(seconds=0.2, tasks=6, at=0.1))
    site.run(0.2)
    case.assertEqual(placer.fleet.fenced_zones(), {"b"})
    for left_zones, fences in (({"b"}, [3, 2, 3]), ((), [4, 4, 4])):
        placer.raise_fence(fences[0], site.now, left_zones)
        site.run(site.now + 0.2)
        case.assertEqual([target.fence for target in targets], fences)
    case.assertEqual(placer.fleet.fenced_zones(), set())
