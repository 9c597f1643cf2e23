"""Tests of the weights of queues and sizes."""

import attrs

from anvilford.placement import JobSpec
from anvilford.placement import Resources
from anvilford.placement import StepSpec
from anvilford.placement._fairness import Fairness
from anvilford.placement._state import Job
from anvilford.placement.tests._shared import CHECK
from anvilford.placement.tests._shared import policy
from testkit import function_tests

load_tests = function_tests(__name__)

BUSY = policy("busy")


def make_job(queue=CHECK.policy, tasks: int = 4) -> Job:
    """A job of equal tasks."""
    step = StepSpec(tasks, Resources(1000), 100)
    made = Job("00000000000000b1", queue, JobSpec("", (step,)), 0.0, 2.0)
    made.prepare()
    return made


def test_all_jobs_are_alike_at_first(case):
    """Guards against judging a queue by its first jobs."""
    fairness = Fairness(0.0)
    fairness.observe(make_job(), 0.0)
    case.assertEqual(fairness.weight(make_job(tasks=40)), 1.0)


def test_busy_queue_weighs_less(case):
    """Guards against a queue that takes room by asking for most of it."""
    fairness = Fairness(0.0)
    for n in range(200):
        fairness.observe(make_job(BUSY), 0.01 * n)
        if n % 10 == 0:
            fairness.observe(make_job(), 0.01 * n)
    case.assertLess(fairness.weight(make_job(BUSY)), 0.7)
    case.assertEqual(fairness.weight(make_job()), 2.0)


def test_weight_follows_the_offers(case):
    """Guards against a queue that stays last after its burst has passed."""
    fairness = Fairness(0.0)
    for n in range(200):
        fairness.observe(make_job(BUSY), 0.01 * n)
    for n in range(1200):
        fairness.observe(make_job(BUSY), 2.0 + 0.1 * n)
        fairness.observe(make_job(), 2.0 + 0.1 * n)
    case.assertAlmostEqual(fairness.weight(make_job(BUSY)), 1.0, delta=0.1)


def test_small_jobs_weigh_more(case):
    """Guards against ignoring the part of the value that all jobs have."""
    fairness = Fairness(0.0)
    for n in range(100):
        fairness.observe(make_job(tasks=2 + n % 7), 0.01 * n)
    small, large = make_job(tasks=2), make_job(tasks=16)
    case.assertGreater(fairness.weight(small), fairness.weight(large))
    empty = attrs.evolve(CHECK.policy, name="unknown")
    case.assertEqual(fairness.weight(make_job(empty)), 1.0)
