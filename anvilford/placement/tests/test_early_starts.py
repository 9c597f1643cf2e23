"""Tests of repeated jobs that start early by what was known at another time."""

from anvilford.order_model import PlacementSimulation
from anvilford.placement.tests._shared import job
from anvilford.placement.tests._shared import make_target
from testkit import function_tests

load_tests = function_tests(__name__)


def test_repeated_job_starts_beside_its_run_on_an_added_target(case):
    """Guards against a list of targets that was complete when it was read.

    Both placers are active. The target is added later, and only the first one
    has read its row when the entry turns to the second one.
    """
    site = PlacementSimulation([make_target("listed")])
    site.add_placer("first", 1)
    site.run(0.1)
    site.add_placer("second", 2)
    site.run(0.5)
    added = make_target("added")
    site.targets["added"] = added
    site.list_targets("first")
    site.run(0.6)
    started = job(seconds=1.0)
    site.offer("first", started)
    site.run(0.7)
    case.assertEqual(len(added.running), 1)
    site.faults.silent_placers.add("first")
    site.offer("second", started, again=True, placed_is_known=False)
    site.run(4.0)
    case.assertEqual(site.find_overlapping_tasks(), [])


def test_repeated_job_starts_beside_its_run_on_a_target_that_was_taken(case):
    """Guards against control of a target as of an answer long ago.

    The first placer has raised its token since and taken the target back, which
    neither the second one nor the entry has learned.
    """
    site = PlacementSimulation([make_target("near"), make_target("far")])
    site.add_placer("first", 1)
    site.run(0.1)
    site.add_placer("second", 2)
    site.run(0.5)
    site.faults.partitioned_pairs = {("first", "near"), ("second", "far")}
    site.placers["first"].raise_fence(3, site.now)
    site.run(0.6)
    started = job(seconds=1.0)
    site.offer("first", started)
    site.run(1.0)
    case.assertEqual(len(site.targets["far"].running), 1)
    site.faults.silent_placers.add("first")
    site.offer("second", started, again=True, placed_is_known=False, fence=1)
    site.run(4.0)
    case.assertEqual(site.find_overlapping_tasks(), [])
