"""Tests of retries, answers, slot limits and target health."""

import random

from anvilford import model
from anvilford import scheduling
from testkit import fixture
from testkit import function_tests

load_tests = function_tests(__name__)

TASK = model.TaskSpec("seal", None, 100)
REFUSED = model.AttemptNotStarted(model.NotStartedReason.CONNECTION_REFUSED)
LEAVING = model.AttemptNotStarted(model.NotStartedReason.LEAVING)
LOST = model.AttemptUnknown(model.UnknownAttemptReason.CONNECTION_LOST)
FAILED = model.AttemptFailed("broken")
SUCCEEDED = model.AttemptSucceeded("ok")


def make_job(tasks=1, deadline_ms=1000, repeatable=True, service="line"):
    """Returns a job of equal tasks."""
    return model.JobSpec(
        service, (TASK,) * tasks, deadline_ms, repeatable, "digest"
    )


def make_views(*slots, accepting=True):
    """Returns one target view for each given number of slots."""
    return [
        scheduling.TargetView(f"t{i}", f"127.0.0.1:{i}", "a", n, accepting)
        for i, n in enumerate(slots)
    ]


def make_dispatcher(*slots, restart_failed=False, retry_ratio=1.0):
    """Returns a dispatcher with one target for each given number of slots."""
    service = scheduling.ServicePolicy("line", restart_failed)
    policy = scheduling.Policy(
        "ordinary", {"line": service}, retry_ratio=retry_ratio
    )
    dispatcher = scheduling.Dispatcher("a", "x", policy, random.Random(1))
    dispatcher.apply_targets(make_views(*slots), 0.0)
    return dispatcher


@fixture
def dispatcher():
    """Yields a dispatcher with two targets of two slots each."""
    yield make_dispatcher(2, 2)


def find_starts(effects):
    """Returns the `StartAttempt` effects."""
    return [e for e in effects if isinstance(e, scheduling.StartAttempt)]


def find_cancelled_ids(effects):
    """Returns the attempt ids of the `CancelAttempt` effects."""
    return [
        e.attempt_id for e in effects if isinstance(e, scheduling.CancelAttempt)
    ]


def find_answers(effects):
    """Returns the answers of the `JobFinished` effects."""
    return [e.answer for e in effects if isinstance(e, scheduling.JobFinished)]


def test_attempt_is_recorded_before_it_is_sent(case, dispatcher):
    """An attempt occupies its slot before its effect is carried out.

    A task that is sent without a record could be started a second time, or be
    reported as not run.
    """
    (start,) = find_starts(dispatcher.submit(1, make_job(), "c", 5.0))
    case.assertEqual(start.attempt_id, "x-0")
    case.assertEqual(start.deadline, 6.0)
    case.assertEqual(dispatcher.stats().running, 1)
    case.assertEqual(dispatcher.stats().slots_in_use[start.target_id], 1)
    (answer,) = find_answers(dispatcher.cancel(1, 5.1))
    case.assertEqual(answer.tasks, (model.TaskState.UNKNOWN,))


def test_which_outcomes_start_a_task_again(case):
    """A task is started again only if it did not run or may be repeated.

    After a lost connection the task may have run, so it must not start again.
    After a definite failure it may, if both the service and the job allow it.
    """
    table = [
        (REFUSED, False, True, True),
        (REFUSED, False, False, True),
        (LEAVING, False, True, True),
        (LOST, False, True, False),
        (LOST, True, True, False),
        (FAILED, False, True, False),
        (FAILED, True, False, False),
        (FAILED, True, True, True),
    ]
    for outcome, restart, repeatable, again in table:
        dispatcher = make_dispatcher(1, 1, restart_failed=restart)
        effects = dispatcher.submit(
            1, make_job(repeatable=repeatable), "c", 0.0
        )
        (first,) = find_starts(effects)
        effects = dispatcher.finish(first.attempt_id, outcome, 0.1)
        label = f"{outcome} {restart} {repeatable}"
        case.assertEqual(len(find_starts(effects)), again, label)
        case.assertEqual(len(find_answers(effects)), not again, label)
        if again:
            (second,) = find_starts(effects)
            case.assertNotEqual(second.target_id, first.target_id)
            case.assertNotEqual(second.attempt_id, first.attempt_id)


def test_retry_budget_bounds_retries(case):
    """Retries stay within the budget when every attempt fails.

    Unlimited retries would multiply the load on a failing service.
    """
    dispatcher = make_dispatcher(1, 1, restart_failed=True, retry_ratio=0.1)
    retried = 0
    for key in range(40):
        pending = find_starts(
            dispatcher.submit(key, make_job(), "c", float(key))
        )
        for start in pending:
            effects = dispatcher.finish(start.attempt_id, FAILED, float(key))
            retried += len(find_starts(effects))
            case.assertLess(retried, 40)
            pending.extend(find_starts(effects))
            dispatcher.finish(start.attempt_id, SUCCEEDED, float(key))
    case.assertLessEqual(retried, 0.1 * dispatcher.stats().started)
    case.assertEqual(retried, dispatcher.stats().retried)
    case.assertGreater(retried, 0)


def test_state_of_a_failed_task_survives_its_retry(case):
    """A task that failed is not reported as `not_run` after its retry.

    The retry is refused by its target, which must restore the failed state of
    the task rather than reset it.
    """
    dispatcher = make_dispatcher(1, 1, restart_failed=True)
    (first,) = find_starts(dispatcher.submit(1, make_job(), "c", 0.0))
    (second,) = find_starts(dispatcher.finish(first.attempt_id, FAILED, 0.1))
    dispatcher.apply_targets([], 0.1)
    dispatcher.finish(second.attempt_id, REFUSED, 0.2)
    (answer,) = find_answers(dispatcher.advance(1.0))
    case.assertEqual(answer.tasks, (model.TaskState.FAILED,))


def test_late_duplicate_and_unknown_ends_change_nothing(case, dispatcher):
    """Outcomes of ended and unknown attempts have no effect.

    A repeated outcome must not free a slot or answer a job a second time.
    """
    (start,) = find_starts(dispatcher.submit(1, make_job(), "c", 0.0))
    effects = dispatcher.finish(start.attempt_id, SUCCEEDED, 0.1)
    case.assertEqual(find_answers(effects), [model.Complete(("ok",))])
    for attempt_id in (start.attempt_id, "x-99", "y-0", ""):
        for outcome in (SUCCEEDED, REFUSED, FAILED, LOST):
            case.assertEqual(dispatcher.finish(attempt_id, outcome, 0.2), [])
    case.assertEqual(set(dispatcher.stats().slots_in_use.values()), {0})
    case.assertEqual(dispatcher.stats().ejected, 0)
    case.assertEqual(dispatcher.stats().late_finishes, 16)


def test_first_failed_task_ends_the_job(case, dispatcher):
    """The first task that fails ends the job and cancels its other attempts.

    Otherwise slots are spent on a job that cannot complete any more.
    """
    running = find_starts(dispatcher.submit(1, make_job(tasks=6), "c", 0.0))
    case.assertEqual(len(running), 4)
    dispatcher.finish(running[0].attempt_id, SUCCEEDED, 0.1)
    effects = dispatcher.finish(running[1].attempt_id, FAILED, 0.2)
    case.assertEqual(find_starts(effects), [])
    (answer,) = find_answers(effects)
    case.assertEqual(answer.reason, model.FailureReason.TASK_FAILED)
    case.assertEqual(answer.message, "broken")
    case.assertEqual(
        [str(s) for s in answer.tasks],
        ["succeeded", "failed", "unknown", "unknown", "unknown", "not_run"],
    )
    case.assertEqual(find_cancelled_ids(effects), ["x-2", "x-3", "x-4"])
    case.assertEqual(dispatcher.stats().queued, 0)


def test_deadline_answers_at_once_and_keeps_slots(case, dispatcher):
    """A job is answered at its deadline while its attempts keep their slots.

    Freeing the slots before the targets report the end of the attempts would
    start more tasks than the targets have slots.
    """
    running = find_starts(dispatcher.submit(1, make_job(tasks=5), "c", 0.0))
    case.assertEqual(dispatcher.next_wakeup(), 1.0)
    effects = dispatcher.advance(1.0)
    (answer,) = find_answers(effects)
    case.assertEqual(answer.reason, model.FailureReason.DEADLINE)
    case.assertEqual(len(find_cancelled_ids(effects)), 4)
    case.assertEqual(
        find_starts(dispatcher.submit(2, make_job(), "c", 1.1)), []
    )
    effects = dispatcher.finish(running[0].attempt_id, LOST, 1.2)
    case.assertEqual([s.job_key for s in find_starts(effects)], [2])
    case.assertEqual(find_answers(effects), [])


def test_result_after_the_deadline_is_not_an_answer(case, dispatcher):
    """A result that arrives after the deadline does not complete the job.

    The deadline is handled before the result, even if the timer was not yet
    handled when the result arrived.
    """
    (start,) = find_starts(dispatcher.submit(1, make_job(), "c", 0.0))
    (answer,) = find_answers(
        dispatcher.finish(start.attempt_id, SUCCEEDED, 1.5)
    )
    case.assertEqual(answer.reason, model.FailureReason.DEADLINE)


def test_not_run_is_answered_only_when_nothing_ran(case):
    """A job is answered `NotRun` exactly if no task can have run.

    Callers resubmit after `NotRun`, so it must not be given while an attempt is
    running or after one ran or may have run.
    """
    table = [
        (None, model.Failed),
        (REFUSED, model.NotRun),
        (LEAVING, model.NotRun),
        (FAILED, model.Failed),
        (LOST, model.Failed),
        (SUCCEEDED, model.Failed),
    ]
    for outcome, kind in table:
        dispatcher = make_dispatcher(1)
        (start,) = find_starts(
            dispatcher.submit(1, make_job(tasks=2), "c", 0.0)
        )
        effects = []
        if outcome is not None:
            dispatcher.apply_targets(make_views(0), 0.0)
            effects += dispatcher.finish(start.attempt_id, outcome, 0.1)
        effects += dispatcher.advance(1.0)
        (answer,) = find_answers(effects)
        case.assertIsInstance(answer, kind, outcome)
    dispatcher = make_dispatcher(1)
    dispatcher.submit(1, make_job(), "c", 0.0)
    dispatcher.submit(2, make_job(), "c", 0.0)
    (answer,) = find_answers(dispatcher.cancel(2, 0.1))
    case.assertEqual(answer, model.NotRun(model.RefusalReason.CANCELLED))


def test_leaving_target_gets_no_new_work(case):
    """A target that refused a task because it is leaving gets no more tasks.

    This holds even if an outdated membership view lists it again.
    """
    dispatcher = make_dispatcher(4, 4)
    (start,) = find_starts(dispatcher.submit(1, make_job(), "c", 0.0))
    left = start.target_id
    dispatcher.finish(start.attempt_id, LEAVING, 0.1)
    for now, listed in ((0.2, (4, 4)), (9.0, ()), (9.1, (4, 4))):
        dispatcher.apply_targets(make_views(*listed), now)
        effects = dispatcher.submit(int(now * 10), make_job(tasks=8), "c", now)
        case.assertNotIn(left, [s.target_id for s in find_starts(effects)])


def test_drained_and_full_targets_get_no_work(case):
    """No task starts at a full or drained target.

    A target may also be full because its number of slots was reduced while
    tasks were running.
    """
    dispatcher = make_dispatcher(3, 2)
    for key in range(9):
        dispatcher.submit(key, make_job(), "c", 0.0)
    case.assertEqual(dispatcher.stats().slots_in_use, {"t0": 3, "t1": 2})
    dispatcher.apply_targets(make_views(3, 2, accepting=False), 0.1)
    effects = dispatcher.finish("x-0", SUCCEEDED, 0.2)
    case.assertEqual(find_starts(effects), [])
    dispatcher.apply_targets(make_views(1, 1), 0.3)
    case.assertEqual(find_starts(dispatcher.advance(0.3)), [])


def test_failing_targets_are_ejected_up_to_half(case):
    """Failing targets are ejected, but never more than half of all targets.

    A target that fails quickly has free slots and would attract more tasks. In
    an outage of all targets, ejecting every one would stop all work.
    """
    dispatcher = make_dispatcher(1, 1, 1, 1)
    for key in range(200):
        now = key * 0.001
        for start in find_starts(dispatcher.submit(key, make_job(), "c", now)):
            outcome = SUCCEEDED if start.target_id == "t3" else FAILED
            dispatcher.finish(start.attempt_id, outcome, now + 0.0005)
        case.assertLessEqual(dispatcher.stats().ejected, 2)
    case.assertEqual(dispatcher.stats().ejected, 2)
    ejected = {i for i, t in dispatcher.targets.items() if t.ejected}
    rest = [v for v in make_views(1, 1, 1, 1) if v.target_id in ejected]
    dispatcher.apply_targets(rest, 0.5)
    case.assertEqual(dispatcher.stats().ejected, 1)


def test_cancelled_attempts_are_no_failures_of_the_target(case):
    """Cancelled attempts do not count as failures of their target.

    Otherwise a caller that cancels many jobs gets healthy targets ejected.
    """
    dispatcher = make_dispatcher(1, 1)
    for key in range(20):
        now = key * 0.01
        for start in find_starts(dispatcher.submit(key, make_job(), "c", now)):
            dispatcher.cancel(key, now)
            dispatcher.finish(start.attempt_id, LOST, now)
    case.assertEqual(dispatcher.stats().ejected, 0)


def test_successful_probe_readmits_ejected_target(case):
    """An ejected target is readmitted after a successful probe.

    Otherwise its capacity would be lost for good.
    """
    dispatcher = make_dispatcher(1, 1)
    for key in range(20):
        now = key * 0.001
        for start in find_starts(dispatcher.submit(key, make_job(), "c", now)):
            outcome = SUCCEEDED if start.target_id == "t1" else FAILED
            dispatcher.finish(start.attempt_id, outcome, now)
    case.assertEqual(dispatcher.stats().ejected, 1)
    (start,) = find_starts(dispatcher.submit(50, make_job(), "c", 2.0))
    case.assertEqual(start.target_id, "t0")
    dispatcher.finish(start.attempt_id, SUCCEEDED, 2.1)
    case.assertEqual(dispatcher.stats().ejected, 0)


def test_refusals_before_queueing(case, dispatcher):
    """Jobs that cannot finish are refused when they are submitted.

    The service is unknown, the measured run times exceed the deadline, or no
    target has slots.
    """
    infeasible = make_job(tasks=500)
    for key in range(10):
        (start,) = find_starts(dispatcher.submit(key, make_job(), "c", 0.0))
        dispatcher.finish(start.attempt_id, SUCCEEDED, 0.2)
    table = [
        (make_job(service="other"), model.RefusalReason.UNKNOWN_SERVICE),
        (infeasible, model.RefusalReason.DEADLINE_INFEASIBLE),
    ]
    for spec, reason in table:
        (answer,) = find_answers(dispatcher.submit(100, spec, "c", 1.0))
        case.assertEqual(answer.reason, reason)
    dispatcher.apply_targets(make_views(0, 0), 1.0)
    (answer,) = find_answers(dispatcher.submit(101, make_job(), "c", 1.0))
    case.assertEqual(answer.reason, model.RefusalReason.NO_TARGET)


def test_equal_runs_give_equal_effects(case):
    """Equal inputs and equal random numbers yield equal effects.

    Simulations and replays rely on decisions that depend on nothing else.
    """

    def run():
        dispatcher, log, now = make_dispatcher(3, 3, 2), [], 0.0
        rng = random.Random(7)
        for key in range(100):
            now += rng.random() * 0.05
            log += dispatcher.submit(key, make_job(tasks=3), f"c{key % 4}", now)
            for attempt_id in list(dispatcher.attempts.by_id):
                if rng.random() < 0.5:
                    log += dispatcher.finish(attempt_id, SUCCEEDED, now)
        return log

    case.assertEqual(run(), run())
