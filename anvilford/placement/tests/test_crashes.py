"""Tests of tasks that crash the targets on which they start."""

import attrs

from anvilford.order_model import PlacementSimulation
from anvilford.placement import CrashHistory
from anvilford.placement import JobSpec
from anvilford.placement import LossState
from anvilford.placement import OutcomeKind
from anvilford.placement import Poll
from anvilford.placement import Report
from anvilford.placement import Resources
from anvilford.placement import RunEnd
from anvilford.placement import StartRun
from anvilford.placement import TargetLoss
from anvilford.placement.tests._shared import job
from anvilford.placement.tests._shared import make_target
from testkit import fixture
from testkit import function_tests

load_tests = function_tests(__name__)

# Starts after which a task is started once too often, by the users' rule: it may
# crash three targets, and start twice more.
MAX_STARTS = 5
# The platform allows to give up a task under which this many targets crashed.
CRASHES_TO_GIVE_UP = 2
# Deadline of callers who wait for longer than a target needs to restart.
LONG_DEADLINE_S = 20.0
# Delay from the start of a deadly task to the crash, and the outcome that its job
# must have: only a target that has confirmed the start proves that the task ran.
DEADLY_CASES = ((0.0, OutcomeKind.LOST), (0.01, OutcomeKind.FAILED))


def count_starts(site, work):
    """Returns the largest number of starts of a task of the job."""
    names = [
        task
        for target in site.targets.values()
        for _, task, _ in target.starts
        if task.startswith(work.job_id)
    ]
    return max((names.count(name) for name in names), default=0)


def outcomes_of(site, work):
    """Returns the kinds of the outcomes of a job, in their order."""
    return [
        o.kind for _, _, job_id, o in site.outcomes if job_id == work.job_id
    ]


def make_site(deadly_delay_s=0.0):
    """Returns a simulated site of twelve targets with the placer "p"."""
    made = PlacementSimulation([make_target(f"t{n:02}") for n in range(12)])
    made.job_deadline_s = LONG_DEADLINE_S
    made.faults.deadly_delay_s = deadly_delay_s
    made.add_placer("p", 1)
    made.run(0.1)
    return made


@fixture
def site():
    """The site of `make_site`, where deadly tasks crash targets at their start."""
    yield make_site()


def test_task_that_crashes_targets_is_given_up(case):
    """One task must not crash target after target until its deadline.

    Each loss of a target was followed by a start on the next one.
    """
    for delay, outcome in DEADLY_CASES:
        site = make_site(delay)
        work = job(tasks=3)
        site.faults.deadly_jobs.add(work.job_id)
        site.offer("p", work)
        site.run(30.0)
        case.assertLessEqual(count_starts(site, work), MAX_STARTS)
        case.assertEqual(outcomes_of(site, work), [outcome])


def test_job_sent_again_does_not_crash_further_targets(case):
    """A job that a caller sends again has not lost its history.

    Callers send a job again after the answer 504, which ends it here.
    """
    for delay, outcome in DEADLY_CASES:
        site = make_site(delay)
        work = job()
        site.faults.deadly_jobs.add(work.job_id)
        site.job_deadline_s = 1.5
        for at in (0.1, 3.0, 6.0, 9.0, 12.0, 15.0):
            site.run(at)
            site.offer("p", attrs.evolve(work, arrival_time=at))
        site.run(20.0)
        case.assertLessEqual(count_starts(site, work), MAX_STARTS)
        case.assertIs(outcomes_of(site, work)[-1], outcome)


def crashes(site):
    """Returns the names of the runs that each crash ended, in time order."""
    broken = {}
    for target in site.targets.values():
        for at, task, _, how in target.ends:
            if how is RunEnd.BROKEN:
                broken.setdefault((at, target.record.target_id), []).append(
                    task
                )
    return [broken[key] for key in sorted(broken)]


def test_second_crash_takes_no_other_job_along(case):
    """A task that may crash its target must not run beside other jobs."""
    for delay, outcome in DEADLY_CASES:
        site = make_site(delay)
        work = job(tasks=2)
        others = [job(seconds=0.7, tasks=2) for _ in range(4)]
        site.faults.deadly_jobs.add(work.job_id)
        for other in others:
            site.offer("p", other)
        site.offer("p", work)
        site.run(30.0)
        case.assertEqual(outcomes_of(site, work), [outcome])
        for other in others:
            case.assertEqual(outcomes_of(site, other), [OutcomeKind.COMPLETED])
        case.assertEqual(len(crashes(site)), CRASHES_TO_GIVE_UP)
        for names in crashes(site)[1:]:
            case.assertTrue(all(name.startswith(work.job_id) for name in names))


def test_wide_job_crashes_one_more_target(case):
    """All tasks of a job may be deadly; each would crash a second target."""
    for delay, outcome in DEADLY_CASES:
        site = make_site(delay)
        work = job(tasks=8)
        site.faults.deadly_jobs.add(work.job_id)
        site.offer("p", work)
        site.run(0.5)
        at_first = len(crashes(site))
        case.assertGreater(at_first, 1)
        site.run(30.0)
        case.assertEqual(len(crashes(site)), at_first + 1)
        case.assertEqual(outcomes_of(site, work), [outcome])


def test_task_on_two_targets_that_were_cut_off_is_not_given_up(case, site):
    """A target that was only silent must not count as crashed."""
    work = job(seconds=2.0)
    site.offer("p", work)
    for until in (0.3, 2.0):
        site.run(until)
        used = [t for t in site.targets.values() if t.running]
        site.faults.partitioned_pairs |= {
            ("p", t.record.target_id) for t in used
        }
    site.run(4.0)
    case.assertEqual(count_starts(site, work), 2)
    site.faults.partitioned_pairs.clear()
    site.run(10.0)
    case.assertEqual(outcomes_of(site, work), [OutcomeKind.COMPLETED])
    case.assertEqual(site.find_overlapping_tasks(), [])


def test_job_after_lost_targets_is_never_refused(case, site):
    """A caller must not be told that a job has not run whose targets crashed.

    Its tasks have run there. A refusal would say that they never will.
    """
    work = job(seconds=0.05)
    site.faults.deadly_jobs.add(work.job_id)
    site.job_deadline_s = 1.5
    for at in (0.1, 1.7, 3.3):
        site.run(at)
        site.offer("p", attrs.evolve(work, arrival_time=at))
    site.run(10.0)
    case.assertNotIn(OutcomeKind.REFUSED, outcomes_of(site, work))


def test_leaders_killed_in_series_start_a_deadly_task_no_more_often(case):
    """Each new leader must go on with the history of the one before.

    Each is killed 0.2 s after a target crashed, before the lease there ends.
    """
    site = PlacementSimulation([make_target(f"t{n:02}") for n in range(12)])
    site.job_deadline_s = LONG_DEADLINE_S
    work = job()
    site.faults.deadly_jobs.add(work.job_id)
    reported = []
    for term in range(1, 8):
        name = f"p{term}"
        history = CrashHistory()
        for loss in reported:
            history.apply(loss, site.now)
        site.add_placer(name, term, crashes=history)
        site.run(site.now + 0.1)
        crashes_before = len(crashes(site))
        site.offer(name, work, again=term > 1, placed_is_known=term == 1)
        end = site.now + 4.0
        while len(crashes(site)) == crashes_before and site.now < end:
            site.run(site.now + 0.05)
        site.run(site.now + 0.2)
        reported += history.pop_changes()
        site.remove_placer(name)
    case.assertLessEqual(count_starts(site, work), CRASHES_TO_GIVE_UP)


def test_member_that_never_leads_forgets_old_losses(case):
    """The reports of the leader must not fill the memory of the other members."""
    history = CrashHistory()
    for n in range(100):
        loss = TargetLoss(f"t{n}", 1, ("a.0.0.0",), LossState.CRASHED)
        history.apply(loss, 10.0 * n)
    case.assertLess(history.count_losses("a.0.0.0"), 10)


def test_job_of_a_target_that_two_leaders_lost_raises_an_exception(case, site):
    """Guards against a leader that fails at each job of a lost target.

    Around a cut, two leaders lose the same target with different tasks on it,
    and report that to each other. The later report replaced the tasks that were
    known, which then referred to a loss that had been forgotten.
    """
    work = job(seconds=0.1, at=site.now)
    task = f"{work.job_id}.0.0.0"
    history = site.placers["p"].crashes
    history.record_loss("t00", 1, [task], [task], LossState.SILENT, site.now)
    other = TargetLoss("t00", 1, ("a.0.0.0",), LossState.SILENT, ("a.0.0.0",))
    history.apply(other, site.now)
    case.assertEqual(history.count_possible_crashes(task), 1)
    history.record_return("t00", 1)
    site.offer("p", work)
    site.run(1.0)
    case.assertEqual(outcomes_of(site, work), [OutcomeKind.COMPLETED])


def test_job_is_failed_after_starts_that_were_refused(case, site):
    """Guards against a job shown as failed of which no task has run.

    Idle targets had crashed unnoticed. Other processes answered the starts,
    which counted as crashes of the targets under the task.
    """
    for name in list(site.targets)[:-1]:
        site.targets[name].restart(9000, site.now)
    work = job(seconds=0.05)
    site.offer("p", work)
    site.run(2.0)
    case.assertEqual(outcomes_of(site, work), [OutcomeKind.COMPLETED])


def test_job_is_failed_after_starts_on_targets_that_were_dead(case, site):
    """Guards against a job shown as failed whose targets crashed before.

    They were idle and had gone silent, so that the starts got no answer, and
    were back as other incarnations later.
    """
    site.run(2.0)
    # Orders in flight to a target that has crashed never reach it.
    site.faults.delayed_order_share = 1.0
    work = job(seconds=0.05, at=2.0)
    site.offer("p", work)
    site.run(4.5)
    for name in list(site.targets)[:-1]:
        site.targets[name].restart(9000, site.now)
    site.faults.delayed_order_share = 0.0
    site.run(30.0)
    case.assertEqual(outcomes_of(site, work), [OutcomeKind.COMPLETED])


def test_task_is_given_up_after_crashes_without_an_answer_to_its_start(case):
    """A start that crashes its target before the answer is still counted.

    The target closes no connection either; it was idle for seconds before. The
    job is not shown as failed: such targets may have crashed before the start.
    """
    site = PlacementSimulation([make_target(f"t{n:02}") for n in range(12)])
    site.job_deadline_s = LONG_DEADLINE_S
    site.faults.crashes_are_silent = True
    site.add_placer("p", 1)
    site.run(3.0)
    work = job(at=3.0)
    site.faults.deadly_jobs.add(work.job_id)
    site.offer("p", work)
    site.run(30.0)
    case.assertLessEqual(count_starts(site, work), CRASHES_TO_GIVE_UP)
    case.assertEqual(outcomes_of(site, work), [OutcomeKind.LOST])


def test_job_that_started_beside_a_deadly_one_is_failed(case):
    """Guards against a job shown as failed whose neighbour crashed the targets.

    Both were sent to the same target twice, and the deadly task crashed it
    before the start of the other one arrived (soak, seed 9705).
    """
    site = PlacementSimulation(
        [make_target("t1", cpu=14000), make_target("t2", cpu=14000)]
    )
    site.job_deadline_s = LONG_DEADLINE_S
    site.faults.crashes_are_silent = True
    site.add_placer("p", 1)
    site.run(3.0)
    # A long run on the second target: none is empty for a task at risk.
    targets = site.placers["p"].fleet.targets
    targets["t1"].suspended_until = 3.1
    filler = job(seconds=15.0, at=3.0)
    step = attrs.evolve(filler.spec.steps[0], need=Resources(100, 64))
    spec = JobSpec("payload", (step,))
    site.offer("p", attrs.evolve(filler, spec=spec))
    targets["t1"].suspended_until = 0.0
    targets["t2"].suspended_until = 3.5
    deadly, sound = job(seconds=0.05, at=3.0), job(seconds=0.05, at=3.0)
    site.faults.deadly_jobs.add(deadly.job_id)
    site.offer("p", deadly)
    site.offer("p", sound)
    site.run(30.0)
    case.assertNotIn(OutcomeKind.FAILED, outcomes_of(site, sound))
    case.assertLessEqual(count_starts(site, deadly), MAX_STARTS)


def test_target_waits_for_all_runs_after_a_task_at_risk(case):
    """Guards against a target that takes no job while a long run goes on.

    A task at risk had started beside it and had ended; the target stayed closed
    to other jobs until it was empty.
    """
    site = PlacementSimulation([make_target("t1")])
    site.add_placer("p", 1)
    site.run(0.1)
    work, long_run = job(seconds=0.05), job(seconds=5.0)
    task = f"{work.job_id}.0.0.0"
    site.placers["p"].crashes.record_loss(
        "lost", 1, (task,), (), LossState.SILENT, 0.1
    )
    site.job_deadline_s = LONG_DEADLINE_S
    site.offer("p", long_run)
    site.run(0.2)
    site.offer("p", work)
    site.run(0.5)
    case.assertEqual(outcomes_of(site, work), [OutcomeKind.COMPLETED])
    other = job(seconds=0.05, at=0.5)
    site.offer("p", other)
    site.run(1.5)
    case.assertEqual(outcomes_of(site, other), [OutcomeKind.COMPLETED])


def test_target_that_restarts_twice_counts_as_two_crashes_of_a_run(case, site):
    """Guards against a job that is failed after one crash of a target.

    The target restarted again before it had reported, so that its second
    incarnation never ran the task.
    """
    work = job(seconds=1.0)
    site.offer("p", work)
    site.run(0.3)
    name = next(n for n, target in site.targets.items() if target.running)
    fleet = site.placers["p"].fleet
    for incarnation in (9000, 9001):
        site.targets[name].restart(incarnation, site.now)
        record = attrs.evolve(
            fleet.targets[name].record, incarnation=incarnation
        )
        fleet.replace_incarnation(fleet.targets[name], record, site.now)
    site.run(6.0)
    case.assertEqual(outcomes_of(site, work), [OutcomeKind.COMPLETED])


def test_start_that_crashes_its_target_counts_twice_without_an_answer(case):
    """Guards against a job that is failed after one crash at its start.

    The start got no answer, and the target restarted again before it reported.
    """
    site = PlacementSimulation([make_target("t1"), make_target("t2")])
    site.job_deadline_s = LONG_DEADLINE_S
    site.add_placer("p", 1)
    site.run(0.1)
    # Orders in flight to a target that has crashed never reach it.
    site.faults.delayed_order_share = 1.0
    work = job(seconds=0.05, at=0.1)
    site.offer("p", work)
    fleet = site.placers["p"].fleet
    target = next(t for t in fleet.targets.values() if t.runs)
    for run in target.runs.values():
        run.start_was_lost = True
    for incarnation in (9000, 9001):
        record = attrs.evolve(target.record, incarnation=incarnation)
        site.targets[record.target_id].restart(incarnation, site.now)
        target = fleet.replace_incarnation(target, record, site.now)
    history = site.placers["p"].crashes
    case.assertEqual(history.count_crashes(f"{work.job_id}.0.0.0"), 1)


def start_on_restarted_target(site, seconds):
    """Starts a job on a target whose new incarnation is not known yet.

    Returns:
        The job, and the name of the target.
    """
    name = "t00"
    site.targets[name].accepts_any_incarnation = True
    site.targets[name].restart(9000, site.now)
    targets = site.placers["p"].fleet.targets
    for other in targets.keys() - {name}:
        targets[other].suspended_until = LONG_DEADLINE_S
    work = job(seconds=seconds, at=site.now)
    site.offer("p", work)
    site.run(site.now + 0.02)
    for target in targets.values():
        target.suspended_until = 0.0
    return work, name


def test_run_that_a_new_incarnation_has_reported_is_not_counted(case, site):
    """Guards against a deadly task whose crash does not count after a restart.

    The target accepted the start after the restart, before its incarnation was
    known, and has reported the run.
    """
    work, name = start_on_restarted_target(site, seconds=2.0)
    site.run(site.now + 0.5)
    fleet = site.placers["p"].fleet
    case.assertEqual(fleet.targets[name].record.incarnation, 9000)
    case.assertTrue(site.targets[name].running)
    site.targets[name].restart(9001, site.now)
    record = attrs.evolve(fleet.targets[name].record, incarnation=9001)
    fleet.replace_incarnation(fleet.targets[name], record, site.now)
    losses = site.placers["p"].crashes.pop_changes()
    case.assertEqual(
        [loss.started for loss in losses if loss.incarnation == 9000],
        [(f"{work.job_id}.0.0.0",)],
    )


def test_start_on_a_restarted_target_is_repeated_after_a_late_report(
    case, site
):
    """Guards against a task that runs twice on a target that has restarted.

    The new process accepts the start before its incarnation is known. The
    report that shows the incarnation answers an earlier poll, and lacks the run.
    """
    polled_at = site.now
    work, name = start_on_restarted_target(site, seconds=1.0)
    fleet = site.placers["p"].fleet
    old = fleet.targets[name].record.incarnation
    case.assertNotEqual(old, 9000)
    case.assertTrue(fleet.targets[name].runs)
    poll = Poll(name, old, fleet.fence, None, 0, 0, polled_at)
    clock_ms = site.targets[name].clock_ms(polled_at)
    fleet.handle_poll_answer(poll, Report(clock_ms, (), (), 9000), site.now)
    site.run(site.now + 4.0)
    case.assertEqual(site.find_overlapping_tasks(), [])
    case.assertEqual(count_starts(site, work), 1)
    case.assertEqual(outcomes_of(site, work), [OutcomeKind.COMPLETED])


def test_starts_lost_with_targets_that_crash_by_chance_fail_no_job(case, site):
    """Guards against a job shown as failed of which no task has failed.

    Racks crash one after another. Their targets were heard a moment before a
    start was sent, and crashed before it arrived.
    """
    deliver = site._deliver_order
    crashed = []

    def crash_before_start(name, order):
        if isinstance(order, StartRun) and len(crashed) < CRASHES_TO_GIVE_UP:
            target = site.targets[order.target_id]
            crashed.append(order.target_id)
            site._crash(target, [[name, order]])
            return
        deliver(name, order)

    site._deliver_order = crash_before_start
    work = job(seconds=0.05, at=site.now)
    site.offer("p", work)
    site.run(30.0)
    case.assertEqual(len(crashed), CRASHES_TO_GIVE_UP)
    case.assertEqual(count_starts(site, work), 0)
    case.assertEqual(outcomes_of(site, work), [OutcomeKind.LOST])
