"""Tests of two placers that reach different parts of the site."""

from unittest import mock

import attrs

from anvilford.order_model import PlacementSimulation
from anvilford.placement import Offer
from anvilford.placement import OutcomeKind
from anvilford.placement import PlacementOptions
from anvilford.placement import RunEnd
from anvilford.placement import StopRun
from anvilford.placement.tests._shared import job
from anvilford.placement.tests._shared import make_target
from anvilford.placement.tests._shared import outcome_kinds
from testkit import function_tests

load_tests = function_tests(__name__)
__all__ = ["load_tests"]

ONE_WAY_DELAY_S = 0.01


def make_site():
    """Returns a site whose target "far" lies in another zone than "near".

    Placer "site" has claimed both targets.
    """
    made = PlacementSimulation(
        [make_target("near", speed=2.0), make_target("far")],
        one_way_delay_s=ONE_WAY_DELAY_S,
    )
    made.add_placer("site", 1)
    made.run(0.1)
    return made


def cut_zone(site):
    """Starts a network partition between the zones of the targets."""
    site.faults.partitioned_pairs = {("site", "far"), ("zone", "near")}


def start_on_far(site, seconds):
    """Starts a job of one task on target "far"."""
    site.placers["site"].fleet.targets["near"].suspended_until = 0.3
    started = job(seconds=seconds)
    site.offer("site", started)
    site.run(0.2)
    return started


def start_on_near_and_far(seconds):
    """Returns a site and a job with a task on "near" and one on "far".

    A third target, "spare", is free. Each target has room for one task.
    """
    site = PlacementSimulation(
        [make_target(name, cpu=8000) for name in ("near", "far", "spare")],
        one_way_delay_s=ONE_WAY_DELAY_S,
    )
    site.add_placer("site", 1)
    site.run(0.1)
    site.placers["site"].fleet.targets["spare"].suspended_until = 0.3
    started = job(seconds=seconds, tasks=2)
    site.offer("site", started)
    site.run(0.2)
    return site, started


def test_run_kept_alive_by_another_placer_starts_again(case):
    """Guards against a second run after another placer extended the lease.

    A target has one lease for all its runs. The leader of a cut-off zone
    extended it for a job of its own and kept runs of the site's leader alive.
    """
    site = make_site()
    outside, inside = job(seconds=1.5), job(seconds=1.5)
    site.placers["site"].fleet.targets["near"].suspended_until = 0.3
    site.offer("site", outside)
    site.offer("site", inside)
    site.run(0.2)
    case.assertEqual(len(site.targets["far"].running), 2)
    cut_zone(site)
    site.run(0.8)
    site.add_placer("zone", 2)
    site.offer("zone", inside, again=True, placed=("far",))
    site.run(1.0)
    site.placers["site"].withdraw(
        inside.job_id, "entry", "entry_silent", site.now
    )
    site.run(8.0)
    case.assertEqual(site.find_overlapping_tasks(), [])


def test_job_of_a_silent_entry_starts_again(case):
    """Guards against a second run after the end of a lease known too early.

    The entry had offered its job to the leader of a cut-off zone, which kept
    the run alive, and the first leader had not noticed its silence yet.
    """
    site = make_site()
    inside = start_on_far(site, 1.5)
    cut_zone(site)
    site.faults.silent_placers.add("site")
    site.run(0.8)
    site.add_placer("zone", 2)
    site.offer("zone", inside, again=True, placed=("far",))
    site.run(8.0)
    case.assertEqual(site.find_overlapping_tasks(), [])
    case.assertIn(
        OutcomeKind.COMPLETED,
        [o.kind for _, name, _, o in site.outcomes if name == "zone"],
    )


def test_job_of_two_entries_outlives_a_silent_one(case):
    """Guards against a second run after one of two entries became silent.

    That entry had offered the job to the leader of its zone. The other one was
    still heard, so that the first leader went on with the job.
    """
    site = make_site()
    shared = start_on_far(site, 1.5)
    placer = site.placers["site"]
    again = Offer(
        shared.job_id, "inside", shared.kind.policy, shared.spec, 0.0, 1.5
    )
    placer.offer(again, site.now)
    cut_zone(site)
    site.run(0.8)
    placer.stop_jobs_of("inside", site.now)
    site.add_placer("zone", 2)
    site.offer("zone", shared, again=True, placed_is_known=False)
    site.run(8.0)
    case.assertEqual(site.find_overlapping_tasks(), [])


def test_offer_of_a_returning_entry_joins_blindly(case):
    """Guards against a second run when an entry offers a kept job again.

    The offer names a target that another placer has used; the placer joined it
    to the job and started a waiting task without the target's report.
    """
    site = make_site()
    moved = start_on_far(site, 1.55)
    cut_zone(site)
    site.faults.silent_placers.add("site")
    site.run(0.8)
    site.add_placer("zone", 2)
    site.offer("zone", moved, again=True, placed_is_known=False)
    site.run(1.36)
    site.remove_placer("zone")
    site.faults.partitioned_pairs.clear()
    site.faults.silent_placers.clear()
    site.placers["site"].record_contact("entry", site.now)
    site.placers["site"].raise_fence(3, site.now)
    site.offer("site", moved, again=True, placed=("far",))
    site.run(8.0)
    case.assertEqual(site.find_overlapping_tasks(), [])


def test_refusal_of_an_earlier_fence_releases_runs(case):
    """Guards against a second run after a refusal that came too late.

    A poll was refused after the placer had raised its fencing token. The runs
    in the next report were stopped, and their tasks started before the stop
    had taken effect.
    """
    for offset_ms in range(0, 300, 5):
        with case.subTest(offset_ms=offset_ms):
            site = make_site()
            site.placers["site"].fleet.targets["near"].suspended_until = 0.2
            site.offer("site", job(seconds=0.2))
            # The target's end is not acknowledged, so that polls continue.
            site.run(0.36)
            cut_zone(site)
            site.run(1.4)
            site.add_placer("zone", 2)
            site.run(1.6)
            inside = job(seconds=1.0, at=1.6)
            site.offer("zone", inside)
            site.run(2.0)
            case.assertTrue(site.targets["far"].running)
            site.remove_placer("zone")
            site.faults.partitioned_pairs.clear()
            site.run(2.0 + offset_ms / 1000)
            site.placers["site"].raise_fence(3, site.now)
            site.run(site.now + 0.05)
            site.offer("site", inside, again=True, placed=("far",))
            site.run(6.0)
            case.assertEqual(site.find_overlapping_tasks(), [])


def test_start_refused_by_fence_is_waited_for(case):
    """Guards against a job that waits for a run that was never started.

    The placer kept the refused run and, after claiming the target again with a
    higher fencing token, extended its lease without end.
    """
    site = make_site()
    site.add_placer("zone", 2)
    site.run(0.2)
    first = job(seconds=0.2, at=0.2)
    site.offer("site", first)
    site.run(0.3)
    site.placers["site"].raise_fence(3, site.now)
    site.run(0.8)
    case.assertEqual(
        [outcome.kind for _, _, _, outcome in site.outcomes],
        [OutcomeKind.COMPLETED],
    )


def test_withdrawn_run_keeps_its_lease(case):
    """Guards against a run that goes on although its job was withdrawn.

    The stop was lost, and polls extended the lease for the run alone. Another
    placer waits only 1.2 s before it starts the job.
    """
    site = make_site()
    first = start_on_far(site, 4.0)
    target = site.targets["far"]
    target.ignores_stops = True
    site.placers["site"].withdraw(
        first.job_id, "entry", "caller_left", site.now
    )
    site._execute_effects("site")
    withdrawn_at = site.now
    site.run(4.0)
    case.assertEqual([how for *_, how in target.ends], [RunEnd.LAPSED])
    case.assertLess(target.ends[0][0], withdrawn_at + 1.1)


def test_stopped_run_keeps_the_lease_of_other_runs(case):
    """Guards against a run that goes on after its job was withdrawn.

    Its stop was lost, and polls and starts extended the lease of the target for
    other runs. Another placer waits only 1.2 s before it starts the job.
    """
    for starts_another in (False, True):
        with case.subTest(starts_another=starts_another):
            site = make_site()
            site.placers["site"].fleet.targets["near"].suspended_until = 9.0
            site.job_deadline_s = 9.0
            first = job(seconds=6.0)
            site.offer("site", first)
            if not starts_another:
                site.offer("site", job(seconds=6.0))
            site.run(0.2)
            target = site.targets["far"]
            target.ignores_stops = True
            site.placers["site"].withdraw(
                first.job_id, "entry", "caller_left", site.now
            )
            site._execute_effects("site")
            withdrawn_at = site.now
            if starts_another:
                site.offer("site", job(seconds=6.0, at=site.now))
            site.run(0.3)
            case.assertEqual(len(target.running), 2)
            site.run(4.0)
            ended_at = min(
                (at for at, task, *_ in target.ends if first.job_id in task),
                default=9.0,
            )
            case.assertLess(ended_at, withdrawn_at + 1.1)


def test_run_ends_since_the_stop_of_another_was_lost(case):
    """Guards against a lease that ends with the runs of jobs in progress.

    While the stop of one run is not confirmed, the lease that all runs on the
    target share is not extended. A lost stop is repeated in time.
    """
    site = make_site()
    site.placers["site"].fleet.targets["near"].suspended_until = 9.0
    site.job_deadline_s = 9.0
    stopped, kept = job(seconds=3.0), job(seconds=3.0)
    site.offer("site", stopped)
    site.offer("site", kept)
    site.run(0.2)
    target = site.targets["far"]
    target.ignores_stops = True
    site.placers["site"].withdraw(
        stopped.job_id, "entry", "caller_left", site.now
    )
    site._execute_effects("site")
    site.run(0.85)
    target.ignores_stops = False
    site.run(4.0)
    case.assertEqual(
        {how: kept.job_id in task for _, task, _, how in target.ends},
        {RunEnd.STOPPED: False, RunEnd.DONE: True},
    )


def test_lease_outlasts_the_proof_of_an_entry(case):
    """Guards against a second run of a job whose entry has left.

    The placer is late in checking its entries, as one of a zone that also waits
    for the answers of other zones, and has not stopped the job yet.
    """
    site = make_site()
    site.job_deadline_s = 9.0
    start_on_far(site, 6.0)
    placer = site.placers["site"]
    site.faults.silent_placers.add("site")
    placer.limit_leases(site.now)
    left_at = site.now
    site.schedule(0.6, placer.limit_leases, 0.5)
    site.run(4.0)
    target = site.targets["far"]
    case.assertEqual([how for *_, how in target.ends], [RunEnd.LAPSED])
    lifetime = placer.options.permission_lifetime
    case.assertGreater(target.ends[0][0], left_at + lifetime)
    case.assertLess(target.ends[0][0], 0.5 + lifetime)


def test_released_job_names_only_its_own_targets(case):
    """Guards against a second run of a job that is handed on twice.

    The placer had not found the runs of the first one yet when it left, and did
    not pass on the targets that the offer had named.
    """
    site = make_site()
    moved = job(seconds=1.0)
    site.placers["site"].fleet.targets["near"].suspended_until = 9.0
    site.offer("site", moved, again=True, placed=("gone",))
    site.placers["site"].release_jobs(site.now)
    site._execute_effects("site")
    _, _, _, outcome = site.outcomes[-1]
    case.assertIs(outcome.kind, OutcomeKind.MOVED)
    case.assertIn("gone", outcome.placed)


def test_job_sent_again_outside_a_cut_off_zone(case):
    """Guards against a second run of a job that the leader has withdrawn.

    The entry in the zone does not notice that its caller is gone, so that the
    zone's leader continues the run. The caller resubmits outside the zone.
    """
    site = make_site()
    moved = start_on_far(site, 1.55)
    cut_zone(site)
    site.run(0.8)
    site.placers["site"].stop_jobs_of("entry", site.now)
    site.add_placer("zone", 2)
    site.offer("zone", moved, again=True, placed_is_known=False)
    site.run(1.5)
    case.assertTrue(site.targets["far"].running)
    resubmitted = attrs.evolve(moved, arrival_time=site.now)
    site.offer("site", resubmitted, entry="outside")
    site.run(8.0)
    case.assertEqual(site.find_overlapping_tasks(), [])


def test_job_sent_again_to_a_new_leader(case):
    """Guards against a second run of a job that is offered as if it were new.

    The caller resubmits at another entry just after a change of the leader, and
    the first poll of the target that runs the job is lost.
    """
    site = make_site()
    first = start_on_far(site, 2.0)
    site.remove_placer("site")
    site.run(0.65)
    site.faults.partitioned_pairs = {("new", "far")}
    site.add_placer("new", 2)
    site.run(0.66)
    site.faults.partitioned_pairs.clear()
    site.offer("new", first, entry="other")
    site.run(8.0)
    case.assertEqual(site.find_overlapping_tasks(), [])


def test_job_sent_again_while_a_claim_takes_long(case):
    """Guards against a second run if a target is claimed late.

    The caller resubmits at another entry, which offers the job as new. The new
    leader has waited for the claims for as long as unknown jobs wait, and the
    target that runs the job answers after that. The first entry has reported
    the job, before or after that offer.
    """
    for report_delay in (-0.02, 0.02):
        with case.subTest(report_delay=report_delay):
            site = make_site()
            first = start_on_far(site, 2.0)
            site.remove_placer("site")
            site.run(0.65)
            site.faults.partitioned_pairs = {("new", "far")}
            new = site.add_placer("new", 2)
            if report_delay < 0:
                new.expect_resent_jobs((first.job_id,), "entry", site.now)
            site.run(0.67)
            resubmitted = attrs.evolve(first, arrival_time=site.now)
            site.offer("new", resubmitted, entry="other")
            site.run(0.69)
            if report_delay > 0:
                new.expect_resent_jobs((first.job_id,), "entry", site.now)
            site.run(1.05)
            site.faults.partitioned_pairs.clear()
            site.run(8.0)
            case.assertEqual(site.find_overlapping_tasks(), [])


def test_resent_job_with_a_found_run_waits_for_the_claims(case):
    """Guards against a second run of a task beside the found run of another.

    The caller resubmits at another entry just after a change of the leader,
    which nobody has told of the job. The new leader finds the run of one task
    before or after the offer; the first poll of the target that runs the other
    task is lost.
    """
    for offered_after in (0.005, 0.03):
        with case.subTest(offered_after=offered_after):
            site, first = start_on_near_and_far(2.0)
            for name in ("near", "far"):
                case.assertEqual(len(site.targets[name].running), 1)
            site.remove_placer("site")
            site.run(0.65)
            site.faults.partitioned_pairs = {("new", "far")}
            site.add_placer("new", 2)
            site.run(0.65 + offered_after)
            resubmitted = attrs.evolve(first, arrival_time=site.now)
            site.offer("new", resubmitted, entry="other")
            site.run(0.7)
            site.faults.partitioned_pairs.clear()
            site.run(8.0)
            case.assertEqual(site.find_overlapping_tasks(), [])


def test_new_job_waits_for_the_claims_of_a_raised_token(case):
    """Guards against a second run of a job that another placer started.

    Two placers acted at once, and one of them claims all targets with a higher
    token. The first poll of the target that runs the job is lost. The caller
    resubmits at an entry that follows this placer when another target has
    answered.
    """
    site = make_site()
    other = site.add_placer("other", 2)
    other.fleet.targets["near"].suspended_until = 0.5
    site.run(0.15)
    first = job(seconds=2.0)
    site.offer("other", first)
    site.run(0.312)
    case.assertEqual(len(site.targets["far"].running), 1)
    site.faults.partitioned_pairs = {("site", "far")}
    site.placers["site"].raise_fence(3, site.now)
    site._execute_effects("site")
    site.faults.partitioned_pairs.clear()
    site.run(0.334)
    fleet = site.placers["site"].fleet
    case.assertTrue(fleet.owns_all(["near"]))
    case.assertFalse(fleet.owns_all(["far"]))
    resubmitted = attrs.evolve(first, arrival_time=site.now)
    site.offer("site", resubmitted, entry="outside")
    site.run(8.0)
    case.assertEqual(site.find_overlapping_tasks(), [])


def test_job_is_not_refused_while_targets_are_claimed_again(case):
    """Guards against a refusal for lack of targets just after a raised token.

    No target counts as usable before its first answer, some milliseconds later.
    """
    site = make_site()
    site.run(0.3)
    work = job(seconds=0.1, at=site.now)
    site.placers["site"].raise_fence(3, site.now)
    site.offer("site", work)
    site.run(1.0)
    case.assertEqual(outcome_kinds(site), {work.job_id: OutcomeKind.COMPLETED})


def test_job_sent_again_after_its_placer_was_cut_off(case):
    """Guards against a second run on a target that the new placer reaches.

    The earlier placer was cut off with the target that runs the job, and goes
    on with it until it misses the entry. Entries told the new placer that the
    caller got no answer. Without that, a job of the same kind starts at once.
    """
    site = make_site()
    first = start_on_far(site, 4.0)
    site.run(0.5)
    site.faults.partitioned_pairs = {("new", "far"), ("site", "near")}
    new = site.add_placer("new", 2)
    new.expect_resent_jobs((first.job_id,), "", site.now)
    site.run(0.9)
    other = job(seconds=0.2, at=site.now)
    site.offer("new", attrs.evolve(first, arrival_time=site.now), entry="other")
    site.offer("new", other, entry="other")
    site.run(0.95)
    case.assertEqual(
        {task.partition(".")[0] for task in site.targets["near"].running},
        {other.job_id},
    )
    site.placers["site"].stop_jobs_of("entry", site.now)
    site._execute_effects("site")
    site.run(8.0)
    case.assertEqual(site.find_overlapping_tasks(), [])


def test_expected_job_is_admitted_without_a_check(case):
    """Guards against a queue of resent jobs that nobody may refuse.

    With all targets claimed, the placer knows all runs, so that a job that is
    sent again under overload is refused like any other.
    """
    site = make_site()
    late = job(seconds=0.1, tasks=8, at=site.now)
    site.placers["site"].expect_resent_jobs((late.job_id,), "", site.now)
    for _ in range(200):
        site.offer("site", job(seconds=0.1, tasks=8, at=site.now))
    site.offer("site", late, entry="other")
    site.run(0.15)
    kinds = [
        outcome.kind
        for _, _, job_id, outcome in site.outcomes
        if job_id == late.job_id
    ]
    case.assertEqual(kinds, [OutcomeKind.REFUSED])


def test_report_of_a_job_hides_where_it_may_run(case):
    """Guards against a second run of a job that two entries waited for.

    The leader stops the job of the entry that is cut off, and names its
    targets as those that the zone's leader may use. The other entry then
    reports the job as left without an answer, which names no targets.
    """
    for reports in (0, 1):
        with case.subTest(reports=reports):
            site = make_site()
            moved = start_on_far(site, 4.0)
            site.offer("site", moved, entry="outside")
            cut_zone(site)
            site.run(0.8)
            placer = site.placers["site"]
            placer.stop_jobs_of("entry", site.now)
            site.add_placer("zone", 2)
            site.offer("zone", moved, again=True, placed_is_known=False)
            site.run(0.9)
            for _ in range(reports):
                placer.expect_resent_jobs((moved.job_id,), "outside", site.now)
            site.run(1.95)
            case.assertTrue(site.targets["far"].running)
            site.placers["zone"].stop_jobs_of("entry", site.now)
            site._execute_effects("zone")
            resubmitted = attrs.evolve(moved, arrival_time=site.now)
            site.offer("site", resubmitted, entry="outside")
            site.run(8.0)
            case.assertEqual(site.find_overlapping_tasks(), [])


def test_lease_that_ended_hides_where_a_job_may_run(case):
    """Guards against a second run of a job whose lease ended at one placer.

    Its target was cut off shortly before its entry, and the leader of the zone
    has extended the lease. The first leader forgets the target, and stops the
    job of the silent entry or leaves. The caller sends the job again.
    """
    for leaves in (False, True):
        with case.subTest(leaves=leaves):
            site = make_site()
            site.job_deadline_s = 8.0
            moved = start_on_far(site, 1.8)
            cut_zone(site)
            site.run(0.75)
            site.faults.silent_placers.add("site")
            site.run(0.9)
            zone = site.add_placer("zone", 2)
            site.offer("zone", moved, again=True, placed=("far",))
            site.run(1.4)
            placer = site.placers["site"]
            case.assertTrue(placer.jobs[moved.job_id].lease_ended_at)
            resubmitted = attrs.evolve(moved, arrival_time=site.now)
            if leaves:
                placer.release_jobs(site.now)
                site._execute_effects("site")
                _, _, _, outcome = site.outcomes[-1]
                case.assertIn("far", outcome.placed)
            else:
                placer.stop_jobs_of("entry", site.now)
                site.offer("site", resubmitted, entry="outside")
            site.run(8.0)
            case.assertTrue(zone.outcomes)
            case.assertEqual(site.find_overlapping_tasks(), [])


def test_target_behind_a_long_cut_is_forgotten(case):
    """Guards against a second run of a job that returns from a long cut.

    The target that runs it is off the list, and the entry that offers it does
    not know where it runs. The placer had dropped the target after 20 s of
    silence, and all targets that it knew were claimed.
    """
    site = make_site()
    site.job_deadline_s = 60.0
    placer = site.placers["site"]
    cut_zone(site)
    placer.apply_target_list([site.targets["near"].record], [], site.now)
    long_job = job(seconds=50.0)
    site.add_placer("zone", 2)
    site.run(0.8)
    site.offer("zone", long_job)
    while site.now < 30.0:
        placer.record_missing_members(site.now)
        site.run(site.now + 1.0)
    case.assertTrue(site.targets["far"].running)
    site.remove_placer("zone")
    placer.raise_fence(3, site.now)
    site.offer("site", long_job, again=True, placed_is_known=False)
    site.run(40.0)
    case.assertEqual(site.find_overlapping_tasks(), [])


def test_target_that_is_gone_is_kept_for_good(case):
    """Guards against targets that pile up once all members are heard."""
    site = make_site()
    placer = site.placers["site"]
    cut_zone(site)
    placer.apply_target_list([site.targets["near"].record], [], site.now)
    site.run(10.0)
    placer.record_missing_members(site.now)
    site.run(29.0)
    case.assertIn("far", placer.fleet.targets)
    site.run(31.0)
    case.assertNotIn("far", placer.fleet.targets)


def test_new_process_counts_its_list_as_complete_during_a_cut(case):
    """Guards against a list without targets that lapsed before the start.

    They are listed again after the cut, however long it lasts.
    """
    site = PlacementSimulation([make_target("near")])
    options = PlacementOptions(list_complete_at=20.0)
    placer = site.add_placer("new", 1, options)
    while site.now < 30.0:
        placer.record_missing_members(site.now)
        site.run(site.now + 1.0)
    case.assertTrue(placer.fleet.has_unclaimed_targets(48.0))
    case.assertFalse(placer.fleet.has_unclaimed_targets(51.0))


def test_run_whose_stops_are_lost_lives_on_with_the_lease_of_another(case):
    """Guards against a second run of a job whose entry was cut off.

    The stops of its run got lost, and the lease of its target was extended for
    the run of another job, beyond the time that the zone's placer waits.
    """
    site = make_site()
    site.job_deadline_s = 60.0
    placer = site.placers["site"]
    placer.fleet.targets["far"].suspended_until = 0.3
    jobs = [job(seconds=20.0), job(seconds=20.0)]
    site.offer("site", jobs[0], entry="zone-entry")
    site.offer("site", jobs[1])
    site.run(1.0)
    case.assertEqual(len(site.targets["near"].running), 2)
    cut_zone(site)
    send = site._send_order

    def lose_stops(name, order):
        if not isinstance(order, StopRun):
            send(name, order)

    with mock.patch.object(site, "_send_order", lose_stops):
        site.run(1.7)
        placer.stop_jobs_of("zone-entry", site.now)
        site.add_placer("zone", 2)
        site.run(1.8)
        site.offer("zone", jobs[0], again=True, placed_is_known=False)
        site.run(6.0)
    case.assertTrue(site.targets["far"].running)
    case.assertEqual(site.find_overlapping_tasks(), [])


def test_targets_of_a_member_that_was_forgotten_are_forgotten_as_well(case):
    """Guards against a second run of a job that returns with such a member.

    It was cut off with some targets of its zone. The others obeyed the leader,
    which took the member for lost, and dropped those targets 20 s later.
    """
    site = make_site()
    site.job_deadline_s = 120.0
    placer = site.placers["site"]
    cut_zone(site)
    placer.apply_target_list([site.targets["near"].record], [], site.now)
    long_job = job(seconds=70.0)
    site.add_placer("zone", 2)
    site.run(0.8)
    site.offer("zone", long_job)
    while site.now < 22.0:
        placer.record_missing_members(site.now)
        site.run(site.now + 1.0)
    site.run(45.0)
    case.assertTrue(site.targets["far"].running)
    case.assertNotIn("far", placer.fleet.targets)
    site.remove_placer("zone")
    placer.raise_fence(3, site.now)
    site.offer("site", long_job, again=True, placed_is_known=False)
    site.run(55.0)
    case.assertTrue(site.targets["near"].running)
    case.assertEqual(site.find_overlapping_tasks(), [])
