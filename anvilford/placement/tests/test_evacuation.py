"""Tests of placement while zones are evacuated."""

import attrs

from anvilford.order_model import PlacementSimulation
from anvilford.placement import _health as health
from anvilford.placement import JobSpec
from anvilford.placement import Outcome
from anvilford.placement import OutcomeKind
from anvilford.placement import PlacementOptions
from anvilford.placement.tests._shared import job
from anvilford.placement.tests._shared import make_target
from testkit import fixture
from testkit import function_tests

load_tests = function_tests(__name__)

# Targets by zone, with the label and the rack that only this zone has.
ZONES = {"a": ("t1", "t2"), "b": ("t3", "t4")}
# Time within which a waiting job must be refused; more than one tick.
IMMEDIATELY_S = 0.03


@fixture
def site():
    """Two zones with two targets each, which placer "p" has claimed."""
    targets = []
    for zone, names in ZONES.items():
        for name in names:
            target = make_target(name)
            target.record = attrs.evolve(
                target.record, zone=zone, labels=(f"kind-{zone}", f"r-{zone}")
            )
            targets.append(target)
    made = PlacementSimulation(targets, seed=1)
    made.add_placer("p", 1)
    made.run(0.1)
    yield made


def evacuate(site, *zones):
    """Passes the list of targets and the evacuated zones to the placer."""
    records = [target.record for target in site.targets.values()]
    site.placers["p"].apply_target_list(
        records, [], site.now, True, frozenset(zones)
    )
    site._execute_effects("p")


def change_step(arrival, **fields):
    """Returns a job of which the step is changed."""
    step = attrs.evolve(arrival.spec.steps[0], **fields)
    return attrs.evolve(arrival, spec=JobSpec("payload", (step,)))


def started_in(site, zone):
    """Returns the number of runs that were started in a zone."""
    return sum(len(site.targets[name].starts) for name in ZONES[zone])


def answers(site):
    """Returns time and outcome of the last answer to each job, by id."""
    return {job_id: (at, o) for at, _, job_id, o in site.outcomes}


def test_tasks_start_in_an_evacuated_zone(case, site):
    """No task may start in the zone, and the others take its jobs at once."""
    evacuate(site, "a")
    jobs = [job(tasks=2, at=0.1) for _ in range(2)]
    for work in jobs:
        site.offer("p", work)
    site.run(1.0)
    case.assertEqual(started_in(site, "a"), 0)
    kinds = {answers(site)[work.job_id][1].kind for work in jobs}
    case.assertEqual(kinds, {OutcomeKind.COMPLETED})


def test_evacuation_ends_runs_in_progress(case, site):
    """Runs in the zone must end undisturbed, longer than any lease.

    Their leases are extended, although nothing more is sent there.
    """
    works = [job(seconds=3.0, tasks=8)]
    site.job_deadline_s = 6.0
    site.offer("p", works[0])
    site.run(0.3)
    case.assertEqual(started_in(site, "a"), 4)
    evacuate(site, "a")
    site.run(5.0)
    case.assertEqual(started_in(site, "a"), 4)
    _, outcome = answers(site)[works[0].job_id]
    case.assertIs(outcome.kind, OutcomeKind.COMPLETED)
    ends = {how.name for t in site.targets.values() for *_, how in t.ends}
    case.assertEqual(ends, {"DONE"})


def test_start_without_an_answer_is_repeated_in_the_zone(case, site):
    """A start that was lost must be repeated elsewhere."""
    for name in ZONES["b"]:
        site.faults.partitioned_pairs.add(("p", name))
    site.run(1.0)
    work = job(at=1.0, seconds=0.2)
    site.faults.lost_answer_share = 1.0
    site.offer("p", work)
    site.run(1.01)
    case.assertEqual(started_in(site, "a"), 1)
    site.faults.lost_answer_share = 0.0
    site.faults.partitioned_pairs.clear()
    target = next(t for n in ZONES["a"] for t in [site.targets[n]] if t.starts)
    target.fails_all_tasks = True
    evacuate(site, "a")
    site.run(3.0)
    case.assertEqual(started_in(site, "a"), 1)
    case.assertEqual(started_in(site, "b"), 1)
    _, outcome = answers(site)[work.job_id]
    case.assertIs(outcome.kind, OutcomeKind.COMPLETED)
    case.assertEqual(site.find_overlapping_tasks(), [])


def outcome_at_once(site, work):
    """Offers a job and returns its outcome; None if it does not come at once."""
    work = attrs.evolve(work, arrival_time=site.now)
    site.offer("p", work)
    return answers(site).get(work.job_id, (0.0, None))[1]


def test_job_that_fits_nowhere_else_waits(case, site):
    """A job that only the zone can run must be refused at once.

    It waited until it could no longer be answered in time: admission counted
    the cores of all targets, whatever their labels, racks and size.
    """
    big = make_target("t5", cpu=32000)
    big.record = attrs.evolve(big.record, zone="a")
    site.targets["t5"] = big
    evacuate(site)
    site.run(0.4)
    evacuate(site, "a")
    refused = Outcome(OutcomeKind.REFUSED, "evacuated")
    need = attrs.evolve(
        job().spec.steps[0].need, cpu_millis=20000, memory_mb=64
    )
    for change in (
        {"label": "kind-a"},
        {"need": need},
        {"rack": "r-a", "estimate_ms": 400},
    ):
        outcome = outcome_at_once(site, change_step(job(), **change))
        case.assertIsNotNone(outcome, change)
        case.assertEqual(
            attrs.evolve(outcome, retry_after_ms=0), refused, change
        )
        case.assertGreaterEqual(outcome.retry_after_ms, 1000)
    case.assertEqual(started_in(site, "a") + len(big.starts), 0)
    # The same jobs are served in time or not refused once the zone is back.
    evacuate(site)
    back = change_step(job(at=site.now), label="kind-a")
    site.offer("p", back)
    site.run(site.now + 0.5)
    case.assertIs(answers(site)[back.job_id][1].kind, OutcomeKind.COMPLETED)


def test_job_whose_rack_is_evacuated_is_refused_in_vain(case, site):
    """A job that meets its objective outside of its rack must be served."""
    evacuate(site, "a")
    work = change_step(job(seconds=0.05), rack="r-a")
    site.offer("p", work)
    site.run(1.0)
    _, outcome = answers(site)[work.job_id]
    case.assertIs(outcome.kind, OutcomeKind.COMPLETED)


def test_job_waits_while_all_zones_are_evacuated(case, site):
    """Every new job must be refused at once, also by a new leader.

    A leader that still claims its targets otherwise lets jobs wait for them.
    """
    evacuate(site, "a", "b")
    outcome = outcome_at_once(site, job())
    case.assertIs(outcome.kind, OutcomeKind.REFUSED)
    case.assertEqual(outcome.reason, "evacuated")
    site.remove_placer("p")
    site.add_placer("p", 2, PlacementOptions())
    evacuate(site, "a", "b")
    outcome = outcome_at_once(site, job())
    case.assertIs(outcome.kind, OutcomeKind.REFUSED)
    case.assertEqual(outcome.reason, "evacuated")


def test_waiting_job_that_fits_nowhere_any_more_goes_on_waiting(case, site):
    """A job that waits for the zone must be refused when it is evacuated."""
    blocker = change_step(job(seconds=1.0, tasks=4), label="kind-a")
    site.offer("p", blocker)
    site.run(0.2)
    waiting = change_step(job(at=0.2, seconds=1.0), label="kind-a")
    site.offer("p", waiting)
    site.run(0.25)
    case.assertNotIn(waiting.job_id, answers(site))
    evacuate(site, "a")
    site.run(0.25 + IMMEDIATELY_S)
    _, outcome = answers(site)[waiting.job_id]
    case.assertIs(outcome.kind, OutcomeKind.REFUSED)
    site.run(3.0)
    _, outcome = answers(site)[blocker.job_id]
    case.assertIs(outcome.kind, OutcomeKind.COMPLETED)


def test_zone_is_not_used_again_at_once(case, site):
    """Jobs must start there as soon as the evacuation is taken back."""
    evacuate(site, "a", "b")
    evacuate(site, "b")
    work = job(tasks=2, at=site.now)
    site.offer("p", work)
    site.run(site.now + 0.01)
    case.assertEqual(started_in(site, "a"), 2)


def test_all_targets_outside_the_zone_are_suspended(case, site):
    """Failures of tasks must not suspend all targets that are left.

    Evacuated targets counted as if tasks could start there instead.
    """
    evacuate(site, "a")
    targets = list(site.placers["p"].fleet.targets.values())
    suspended = [
        target.record.target_id
        for target in targets
        if target.record.zone == "b"
        for n in range(2)
        if health.record_failure(target, f"job-{n}", targets, site.now)
    ]
    case.assertEqual(suspended, ["t3"])


def test_restarted_and_new_targets_of_the_zone_are_used(case, site):
    """A target that restarts or joins meanwhile is evacuated like the others."""
    evacuate(site, "a")
    for name in ZONES["a"]:
        site.targets[name].restart(5000, site.now)
    site.targets["t6"] = make_target("t6")  # In zone "a".
    evacuate(site, "a")
    site.run(0.5)
    for _ in range(4):
        site.offer("p", job(at=site.now, tasks=2))
    site.run(1.5)
    case.assertEqual(started_in(site, "a"), 0)
    case.assertEqual(site.targets["t6"].starts, [])
