"""Tests of jobs that return to a placer, or reach a new one, with runs."""

from anvilford.order_model import PlacementSimulation
from anvilford.placement import OutcomeKind
from anvilford.placement import RunEnd
from anvilford.placement.tests._shared import job
from anvilford.placement.tests._shared import make_target
from testkit import function_tests

load_tests = function_tests(__name__)
__all__ = ["load_tests"]


def make_cut_off_site(lease_ends_early):
    """Returns a site and a job with a run on "far", which is then cut off.

    The leader of the zone has found the run; the site's leader still has the
    job. Its lease for "far" has ended if `lease_ends_early`.
    """
    site = PlacementSimulation(
        [
            make_target("near", speed=2.0),
            make_target("far", speed=1.0),
            make_target("far2", speed=0.9),
        ],
        one_way_delay_s=0.005,
    )
    site.add_placer("site", 1)
    site.run(0.1)
    site.placers["site"].fleet.targets["near"].suspended_until = 0.3
    work = job(seconds=2.0)
    site.offer("site", work)
    site.run(0.36)
    site.faults.partitioned_pairs = {
        ("site", "far"), ("site", "far2"), ("zone", "near")
    }  # fmt: skip
    site.run(0.9)
    site.faults.silent_placers.add("site")
    site.run(1.15 if lease_ends_early else 0.95)
    site.add_placer("zone", 2)
    site.offer("zone", work, again=True, placed=("far",))
    site.run(1.4 if lease_ends_early else 1.0)
    return site, work


def return_to_site(site, work, placed, late_target="", offer_delay=0.0):
    """Ends the cut; the entry offers the job to the site's leader again.

    The first polls of `late_target` get no answer. The offer comes
    `offer_delay` seconds after the heartbeat with the higher token.
    """
    site.placers["zone"].release_jobs(site.now)
    site.remove_placer("zone")
    site.faults.partitioned_pairs = {("site", late_target)}
    site.faults.silent_placers.clear()
    site.placers["site"].record_contact("entry", site.now)
    site.placers["site"].raise_fence(3, site.now)
    site.run(site.now + offer_delay)
    site.offer("site", work, again=True, placed=placed)
    site.run(site.now + 0.1)
    site.faults.partitioned_pairs.clear()
    site.run(8.0)


def test_job_that_returns_after_its_lease_runs_twice(case):
    """Guards against a second run of a job that another placer has kept.

    The entry came back before its silence was noticed; the job that it offered
    again was joined without regard to the targets that it named.
    """
    for offer_delay in (0.0, 0.03):
        with case.subTest(offer_delay=offer_delay):
            site, work = make_cut_off_site(lease_ends_early=True)
            case.assertTrue(site.targets["far"].running)
            return_to_site(site, work, ("far",), "far", offer_delay)
            case.assertEqual(site.find_overlapping_tasks(), [])


def test_run_on_a_second_target_is_overlooked(case):
    """Guards against a second run if another placer moved the task.

    Its first run had failed, and the next one was on another target. Their
    reports came in either order, before or after the repeated offer.
    """
    for late_target in ("", "far", "far2"):
        for offer_delay in (0.0, 0.03):
            with case.subTest(late=late_target, offer_delay=offer_delay):
                site, work = make_cut_off_site(lease_ends_early=False)
                far = site.targets["far"]
                zone = site.placers["zone"]
                zone.fleet.targets["far"].suspended_until = 3.0
                far.fails_all_tasks = True
                site.run(site.now + 0.01)
                far.fails_all_tasks = False
                # The pending poll reports the failure after its wait.
                site.run(site.now + 0.2)
                case.assertTrue(site.targets["far2"].running)
                return_to_site(site, work, ("far2",), late_target, offer_delay)
                case.assertEqual(site.find_overlapping_tasks(), [])


def test_released_job_hides_that_its_targets_are_unknown(case):
    """Guards against a second run of a job that is handed on twice.

    An entry named no target but said that they are unknown; another entry that
    waits for the job offers it to the next placer with the targets of `MOVED`.
    """
    site = PlacementSimulation(
        [make_target("near", speed=2.0), make_target("far")],
        one_way_delay_s=0.005,
    )
    site.add_placer("first", 1)
    site.run(0.1)
    site.placers["first"].fleet.targets["near"].suspended_until = 0.3
    work = job(seconds=2.0)
    site.offer("first", work)
    site.run(0.3)
    case.assertTrue(site.targets["far"].running)
    site.remove_placer("first")
    site.faults.partitioned_pairs = {("second", "far"), ("third", "far")}
    site.add_placer("second", 2)
    site.run(0.4)
    # "inside" lost the first placer; "outside" has the caller's second request.
    site.placers["second"].fleet.targets["near"].suspended_until = 9.0
    site.offer("second", work, entry="outside")
    site.offer(
        "second", work, again=True, entry="inside", placed_is_known=False
    )
    site.run(0.42)
    site.placers["second"].release_jobs(site.now)
    site._execute_effects("second")
    *_, outcome = site.outcomes[-1]
    site.remove_placer("second")
    site.add_placer("third", 3)
    site.run(0.45)
    site.offer(
        "third", work, again=True, entry="outside", placed=outcome.placed
    )
    site.run(0.5)
    site.faults.partitioned_pairs.clear()
    site.run(6.0)
    case.assertEqual(site.find_overlapping_tasks(), [])


def test_task_done_at_another_placer_starts_again(case):
    """Guards against a run after one that ended as done elsewhere.

    The returning offer names the task as done, but the placer still has a run.
    """
    site = PlacementSimulation(
        [make_target("near", speed=2.0), make_target("far")],
        one_way_delay_s=0.005,
    )
    site.add_placer("site", 1)
    site.run(0.1)
    site.placers["site"].fleet.targets["near"].suspended_until = 0.3
    work = job(seconds=0.5)
    site.offer("site", work)
    site.run(0.3)
    site.faults.partitioned_pairs = {("site", "far"), ("zone", "near")}
    site.run(0.4)
    site.add_placer("zone", 2)
    site.offer("zone", work, again=True, placed=("far",))
    site.run(0.85)
    ends = [how for *_, how in site.targets["far"].ends]
    case.assertEqual(ends, [RunEnd.DONE])
    site.remove_placer("zone")
    site.faults.partitioned_pairs.clear()
    placer = site.placers["site"]
    case.assertIn(work.job_id, placer.jobs)
    placer.record_contact("entry", site.now)
    placer.raise_fence(3, site.now)
    site.offer("site", work, again=True, done=("0.0",), placed=("far",))
    site.run(6.0)
    ends = [e for t in site.targets.values() for e in t.ends]
    case.assertEqual(len(ends), 1, ends)


def test_new_leader_lacks_a_target_that_was_just_added(case):
    """Guards against a second run of a task on a target that just registered.

    The leader started it there and was killed. The members read the list less
    often, so that the next leader had claimed all targets that it knew.
    """
    site = PlacementSimulation(
        [make_target("t1", speed=0.5), make_target("added", speed=1.6)]
    )
    site.add_placer("old", 1)
    site.run(0.1)
    site.placers["old"].fleet.targets["t1"].suspended_until = 0.3
    work = job(seconds=1.0)
    site.offer("old", work)
    site.run(0.2)
    site.remove_placer("old")
    added = site.targets.pop("added")
    case.assertTrue(added.running)
    site.add_placer("new", 2)
    site.list_targets("new", is_current=False)
    site.run(0.25)
    site.offer("new", work, again=True, placed_is_known=False)
    site.run(0.35)
    site.targets["added"] = added
    site.list_targets("new")
    site.run(3.0)
    case.assertEqual(site.find_overlapping_tasks(), [])
    case.assertEqual(len(added.starts), 1)
    case.assertEqual(
        [o.kind for *_, o in site.outcomes], [OutcomeKind.COMPLETED]
    )


def test_new_leader_uses_a_target_that_had_left(case):
    """Guards against tasks on a target that left while a member did not lead.

    Members read the list less often than the leader. A new leader started jobs
    by its old copy before it had read the list.
    """
    site = PlacementSimulation([make_target("left"), make_target("t1")])
    site.add_placer("new", 1)
    site.list_targets("new", is_current=False)
    site.run(0.05)
    work = job()
    site.offer("new", work)
    site.run(0.1)
    left = site.targets.pop("left")
    site.list_targets("new")
    site.placers["new"].fleet.targets["left"].unlisted_at = -10.0
    site.run(1.0)
    case.assertEqual(left.starts, [])
    case.assertEqual(
        [o.kind for *_, o in site.outcomes], [OutcomeKind.COMPLETED]
    )


def test_job_is_given_up_before_its_run_is_found(case):
    """Guards against work that is lost when the leader changes.

    Most of the run is done, but the new leader has not seen it yet: a run from
    the start would end too late. The longer the tasks, the more jobs are lost.
    """
    for late_s in (0.0, 0.1):
        with case.subTest(late_s=late_s):
            site = PlacementSimulation(
                [make_target("near"), make_target("far")], one_way_delay_s=0.015
            )
            site.add_placer("first", 1)
            site.run(0.1)
            site.placers["first"].fleet.targets["near"].suspended_until = 0.3
            work = job(seconds=1.8)
            site.offer("first", work)
            site.run(1.2)
            site.remove_placer("first")
            site.run(1.5)
            if late_s:
                site.faults.partitioned_pairs = {("second", "far")}
            site.add_placer("second", 2)
            site.offer("second", work, again=True, placed_is_known=False)
            site.schedule(
                site.now + late_s, site.faults.partitioned_pairs.clear
            )
            site.run(8.0)
            kinds = [outcome.kind for _, _, _, outcome in site.outcomes]
            case.assertEqual(kinds, [OutcomeKind.COMPLETED])
            ends = [end for t in site.targets.values() for *_, end in t.ends]
            case.assertEqual(ends, [RunEnd.DONE])
