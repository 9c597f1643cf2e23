"""Tests of targets that return, are replaced, shrink or get hopeless jobs."""

from unittest import mock

import attrs

from anvilford.order_model import PlacementSimulation
from anvilford.placement import JobSpec
from anvilford.placement import OutcomeKind
from anvilford.placement import Poll
from anvilford.placement import Resources
from anvilford.placement._target_list import CLAIM_RETRY_S
from anvilford.placement.tests._shared import job
from anvilford.placement.tests._shared import make_target
from anvilford.placement.tests._shared import outcome_kinds
from anvilford.placement.tests._shared import site
from testkit import function_tests

load_tests = function_tests(__name__)
__all__ = ["load_tests", "site"]


def test_target_that_was_cut_off_is_used_again(case, site):
    """A target that was silent for longer than its lease must not be lost.

    Without runs it got no further poll, so that it counted as unreachable for
    as long as the placer led.
    """
    site.targets.pop("t2")
    site.list_targets("p")
    first = job(seconds=1.0)
    site.offer("p", first)
    site.run(0.3)
    site.faults.partitioned_pairs.add(("p", "t1"))
    site.run(4.0)
    site.faults.partitioned_pairs.clear()
    site.run(5.0)
    second = job(at=5.0)
    site.offer("p", second)
    site.run(6.0)
    case.assertIs(outcome_kinds(site)[second.job_id], OutcomeKind.COMPLETED)


def test_replaced_target_is_not_polled_again_for_its_old_row(case, site):
    """The list may show a target for seconds after its process was replaced.

    With each copy of the list it was added, polled and dropped again.
    """
    site.targets["t1"].restart(5000, site.now)
    old = make_target("t1").record
    rest = [site.targets["t2"].record]
    placer = site.placers["p"]
    site.offer("p", job(seconds=0.5, tasks=4))
    site.run(1.0)
    before = len(site.decisions)
    for _ in range(8):
        placer.apply_target_list([old, *rest], [], site.now)
        site.run(site.now + 0.25)
        placer.apply_target_list(rest, [old], site.now)
        site.run(site.now + 0.25)
    events = [d.event for d in site.decisions[before:]]
    case.assertLessEqual(events.count("target replaced"), 1)
    case.assertNotIn("t1", placer.fleet.targets)
    placer.apply_target_list([site.targets["t1"].record, *rest], [], site.now)
    site.run(site.now + 0.1)
    case.assertIn("t1", placer.fleet.targets)


def test_task_started_on_a_target_that_was_just_replaced_hangs(case, site):
    """Guards against a request that gets no answer.

    The answer to a start showed that the target had been replaced. The list of
    usable targets was up to 10 ms old and still had it, so that the task
    started there again. No order went out, and no answer to it came.
    """
    site.targets["t1"].restart(5000, site.now)
    work = job(seconds=0.05)
    site.offer("p", work)
    site.run(1.0)
    case.assertIs(outcome_kinds(site)[work.job_id], OutcomeKind.COMPLETED)


def test_restarted_target_is_used_by_its_old_labels(case):
    """Guards against a task on a target without the label that it requires.

    A target came back under its id as another kind. A poll showed the new
    incarnation before the list did, and the old labels went on to count.
    """
    site = PlacementSimulation([make_target("t1")])
    site.add_placer("p", 1)
    target = site.targets["t1"]
    target.accepts_any_incarnation = True
    old_record = target.record
    site.run(0.1)
    work = job(seconds=1.0)
    step = attrs.evolve(work.spec.steps[0], label="a")
    site.offer("p", attrs.evolve(work, spec=JobSpec("payload", (step,))))
    site.run(0.3)
    case.assertEqual(len(target.starts), 1)
    target.restart(5000, site.now)
    target.record = attrs.evolve(target.record, labels=("b", "r1"))
    site.run(0.5)
    placer = site.placers["p"]
    case.assertEqual(placer.fleet.targets["t1"].record.incarnation, 5000)
    placer.apply_target_list([old_record], [], site.now)
    site.run(0.6)
    site.list_targets("p")
    site.run(2.0)
    case.assertEqual(len(target.starts), 1)
    # The target is usable again for tasks that do not require the label.
    other = job(at=2.0)
    site.offer("p", other)
    site.run(3.0)
    case.assertIs(outcome_kinds(site)[other.job_id], OutcomeKind.COMPLETED)


def test_jobs_that_fail_everywhere_suspend_no_target(case):
    """A sound target must not be suspended for the failures of one job.

    The tasks of a job that can never be done fail together on a target, and
    again on the next one. Suspended targets serve nobody for a second or more.
    """
    site = PlacementSimulation([make_target(f"t{n}") for n in range(6)])
    site.add_placer("p", 1)
    for n in range(4):
        at = 0.2 + n
        hopeless = job(seconds=0.05, tasks=8, at=at)
        site.faults.hopeless_jobs.add(hopeless.job_id)
        site.schedule(at, site.offer, "p", hopeless)
        for k in range(12):
            sound = job(seconds=0.05, at=at + 0.5 + k / 50)
            site.schedule(sound.arrival_time, site.offer, "p", sound)
    site.run(6.0)
    events = [d.event for d in site.decisions]
    case.assertNotIn("target suspended", events)


def test_job_that_ran_before_is_not_refused_when_sent_again(case, site):
    """A refusal says that a job has not run; this one has.

    Its caller's connection broke, so that the job was stopped. The caller
    sends it again while no target has room.
    """
    first = job(seconds=0.5)
    site.offer("p", first)
    site.run(0.3)
    site.placers["p"].withdraw(first.job_id, "entry", "caller_lost", site.now)
    site.run(0.5)
    for _ in range(4):
        site.offer("p", job(seconds=3.0, at=site.now))
    site.run(0.6)
    site.offer("p", attrs.evolve(first, arrival_time=site.now))
    site.run(4.0)
    kinds = [o.kind for _, _, name, o in site.outcomes if name == first.job_id]
    case.assertEqual(len(kinds), 2)
    case.assertNotIn(OutcomeKind.REFUSED, kinds)


def test_job_that_ran_long_ago_is_refused(case, site):
    """Guards against a refusal of a job that has run, under a long overload.

    Its caller sent it again several times meanwhile, each time in vain.
    """
    first = job(seconds=0.5)
    site.offer("p", first)
    site.run(0.3)
    site.placers["p"].withdraw(first.job_id, "entry", "caller_lost", site.now)
    for at in (12.0, 24.0, 36.0):
        site.run(at)
        for _ in range(40):
            site.offer("p", job(seconds=0.5, at=site.now))
        site.run(at + 0.05)
        site.offer("p", attrs.evolve(first, arrival_time=site.now))
    site.run(40.0)
    kinds = [o.kind for _, _, name, o in site.outcomes if name == first.job_id]
    case.assertEqual(kinds, [OutcomeKind.LOST] * 4)


def test_target_that_shrinks_gets_no_task_beyond_its_room(case, site):
    """A target may not guard its capacity, which may shrink while it runs.

    The stand-in keeps its old capacity and would accept the task. The run that
    is being stopped still counts.
    """
    target = site.targets["t1"]
    site.targets.pop("t2")
    site.list_targets("p")
    works = [job(seconds=0.6), job(seconds=0.4)]
    for work in works:
        site.offer("p", work)
    site.run(0.3)
    case.assertEqual(len(target.running), 2)
    smaller = attrs.evolve(target.record, capacity=Resources(8000, 65536))
    site.placers["p"].apply_target_list([smaller], [], site.now)
    site.placers["p"].withdraw(works[0].job_id, "entry", "left", site.now)
    third = job(seconds=0.1, at=site.now)
    site.offer("p", third, again=True)
    site.run(2.0)
    ends = {task.partition(".")[0]: at for at, task, _, _ in target.ends}
    starts = {task.partition(".")[0]: at for at, task, _ in target.starts}
    case.assertIn(third.job_id, starts)
    for work in works:
        case.assertGreaterEqual(starts[third.job_id], ends[work.job_id])


def test_zone_is_controlled_while_its_targets_obey_another_leader(case, site):
    """Guards against a leader that takes a zone with its own leader for its own.

    Idle targets are not polled: an old answer does not show whom they obey.
    """
    fleet = site.placers["p"].fleet
    zone = fleet.targets["t1"].record.zone

    def check() -> bool | None:
        fleet.controls_zone(zone, site.now)  # Sends the probes.
        site.run(site.now + 0.1)
        return fleet.controls_zone(zone, site.now)

    site.run(5.0)
    case.assertIs(fleet.controls_zone("elsewhere", site.now), None)
    case.assertIs(fleet.controls_zone(zone, site.now), False)
    case.assertIs(check(), True)
    site.faults.partitioned_pairs.add(("p", "t1"))
    site.run(6.0)
    case.assertIs(check(), False)
    site.faults.partitioned_pairs.clear()
    site.run(7.0)
    case.assertIs(check(), True)
    site.add_placer("other", 2)
    site.run(8.0)
    case.assertIs(check(), False)


def test_targets_behind_a_cut_are_probed_without_a_pause(case, site):
    """Guards against hundreds of probes a second while a zone is cut off.

    Each check of lost members probed the targets that had not answered.
    """
    fleet = site.placers["p"].fleet
    zone = fleet.targets["t1"].record.zone
    site.run(1.0)
    site.faults.partitioned_pairs.add(("p", "t1"))
    polls = []
    send = site._send_order

    def count_polls(name, order):
        if isinstance(order, Poll) and order.target_id == "t1":
            polls.append(site.now)
        send(name, order)

    with mock.patch.object(site, "_send_order", count_polls):
        while site.now < 12.0:
            fleet.controls_zone(zone, site.now)
            site.run(site.now + 0.05)
    late = [at for at in polls if at > 2.0]
    case.assertGreater(len(late), 10)
    case.assertLessEqual(len(late), 10 / CLAIM_RETRY_S)
