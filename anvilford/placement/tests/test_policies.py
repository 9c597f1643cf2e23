"""Tests of the policy that governs a job after its queue has changed."""

import attrs

from anvilford.order_model import Arrival
from anvilford.order_model import PlacementSimulation
from anvilford.placement import OutcomeKind
from anvilford.placement import QueuePolicy
from anvilford.placement.tests._shared import job
from anvilford.placement.tests._shared import make_target
from anvilford.placement.tests._shared import outcome_kinds
from anvilford.placement.tests._shared import SERVICE
from testkit import fixture
from testkit import function_tests

load_tests = function_tests(__name__)

NEW_SERVICE = "line-2"
OLD_VERSION = 7
NEW_VERSION = 8


def make_service_target(name: str, service: str):
    """Returns a fake target of a service."""
    target = make_target(name)
    target.record = attrs.evolve(target.record, service=service)
    return target


@fixture
def site():
    """A site whose placer "p" has claimed one target of each service."""
    made = PlacementSimulation(
        [
            make_service_target("old", SERVICE),
            make_service_target("new", NEW_SERVICE),
        ],
        seed=1,
    )
    made.job_deadline_s = 20.0
    made.add_placer("p", 1)
    made.run(0.1)
    yield made


def with_policy(arrival: Arrival, **changes: object) -> Arrival:
    """Returns a job whose queue has another policy."""
    policy = attrs.evolve(arrival.kind.policy, **changes)
    kind = attrs.evolve(arrival.kind, policy=policy)
    return attrs.evolve(arrival, kind=kind)


def starts_of(site: PlacementSimulation, name: str) -> int:
    """Returns the number of runs that were started on a target."""
    return len(site.targets[name].starts)


def policy_of(site: PlacementSimulation, arrival: Arrival) -> QueuePolicy:
    """Returns the policy by which placer "p" handles a job in progress."""
    return site.placers["p"].jobs[arrival.job_id].policy


def test_repeated_task_starts_on_the_old_service(case, site):
    """Guards against a start on a service that a later request excludes.

    The queue moved while the task ran. The caller sent the job again, the first
    run failed, and the task was started again where it had failed.
    """
    first = job(seconds=1.0)
    moved = with_policy(first, service=NEW_SERVICE)
    site.faults.hopeless_jobs.add(first.job_id)
    site.offer("p", first, configuration_version=OLD_VERSION)
    site.run(0.5)
    case.assertEqual(starts_of(site, "old"), 1)
    site.faults.hopeless_jobs.clear()
    site.offer("p", moved, entry="other", configuration_version=NEW_VERSION)
    site.run(4.0)
    case.assertEqual((starts_of(site, "old"), starts_of(site, "new")), (1, 1))
    case.assertEqual(outcome_kinds(site), {first.job_id: OutcomeKind.COMPLETED})


def test_run_in_progress_is_stopped_by_a_change(case, site):
    """Guards against work lost to a change: runs on the old service may end."""
    first = job(seconds=1.0)
    moved = with_policy(first, service=NEW_SERVICE)
    site.offer("p", first, configuration_version=OLD_VERSION)
    site.run(0.5)
    site.offer("p", moved, entry="other", configuration_version=NEW_VERSION)
    site.run(3.0)
    case.assertEqual((starts_of(site, "old"), starts_of(site, "new")), (1, 0))
    case.assertEqual(outcome_kinds(site), {first.job_id: OutcomeKind.COMPLETED})


def test_waiting_job_starts_on_the_old_service(case, site):
    """Guards against a job that waits for targets which its queue has left."""
    blocker = job(seconds=1.0, tasks=2)
    waiting = job(seconds=5.0)
    site.offer("p", blocker, configuration_version=OLD_VERSION)
    site.offer("p", waiting, configuration_version=OLD_VERSION)
    site.run(0.3)
    case.assertEqual(starts_of(site, "old"), 2)
    moved = with_policy(waiting, service=NEW_SERVICE)
    site.offer("p", moved, entry="other", configuration_version=NEW_VERSION)
    site.run(0.6)
    case.assertEqual((starts_of(site, "old"), starts_of(site, "new")), (2, 1))


def test_late_offer_brings_an_older_policy_back(case, site):
    """Guards against an older policy that replaces a newer one.

    An entry that has not read the change may offer the job last.
    """
    first = job(seconds=1.0)
    moved = with_policy(
        first,
        name="renamed",
        service=NEW_SERVICE,
        priority=2,
        max_attempts=1,
        stretch=3.0,
        allowance_ms=500,
    )
    site.offer("p", moved, configuration_version=NEW_VERSION)
    site.run(0.3)
    for version in (OLD_VERSION, 0):
        site.offer("p", first, entry="late", configuration_version=version)
        case.assertEqual(policy_of(site, first), moved.kind.policy)


def test_newer_offer_leaves_parts_of_the_older_policy(case, site):
    """Guards against a mix of two policies.

    The objective and the limit of failures were those of the first request.
    """
    first = job(seconds=1.0)
    changed = with_policy(
        first,
        name="renamed",
        priority=2,
        max_attempts=1,
        stretch=3.0,
        allowance_ms=500,
    )
    site.faults.hopeless_jobs.add(first.job_id)
    site.offer("p", first, configuration_version=OLD_VERSION)
    site.run(0.3)
    site.offer("p", changed, entry="other", configuration_version=NEW_VERSION)
    case.assertEqual(policy_of(site, first), changed.kind.policy)
    objective = site.placers["p"].jobs[first.job_id].objective
    case.assertAlmostEqual(objective, 3.0 * 1.0 + 0.5)
    site.run(2.0)
    case.assertEqual(outcome_kinds(site), {first.job_id: OutcomeKind.FAILED})
    case.assertEqual((starts_of(site, "old"), starts_of(site, "new")), (1, 0))


def test_adopted_job_keeps_the_policy_of_its_first_request(case, site):
    """Guards against a new placer that goes by the older of two requests.

    Two entries offer the job to it again, the one with the older request first.
    """
    first = job(seconds=1.0)
    moved = with_policy(first, service=NEW_SERVICE)
    site.faults.hopeless_jobs.add(first.job_id)
    site.offer("p", first, configuration_version=OLD_VERSION)
    site.run(0.4)
    site.remove_placer("p")
    site.faults.hopeless_jobs.clear()
    site.add_placer("q", 2)
    for arrival, version in ((first, OLD_VERSION), (moved, NEW_VERSION)):
        site.offer(
            "q",
            arrival,
            again=True,
            entry=f"entry-{version}",
            placed_is_known=False,
            configuration_version=version,
        )
    site.run(6.0)
    case.assertEqual((starts_of(site, "old"), starts_of(site, "new")), (1, 1))
    case.assertEqual(outcome_kinds(site), {first.job_id: OutcomeKind.COMPLETED})
    case.assertEqual(site.find_overlapping_tasks(), [])
