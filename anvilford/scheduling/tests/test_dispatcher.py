"""Tests of the safety rules of the dispatcher."""

import random

from anvilford import model
from anvilford import scheduling
from testkit import fixture
from testkit import function_tests

load_tests = function_tests(__name__)

ONE = model.TaskSpec("seal", None, 100)
REFUSED = model.AttemptNotStarted(model.NotStartedReason.CONNECTION_REFUSED)
LEAVING = model.AttemptNotStarted(model.NotStartedReason.LEAVING)
LOST = model.AttemptUnknown(model.UnknownAttemptReason.CONNECTION_LOST)
BROKEN = model.AttemptFailed("broken")
DONE = model.AttemptSucceeded("ok")


def job(tasks=1, deadline_ms=1000, repeatable=True, service="line"):
    """Makes a job of equal tasks."""
    return model.JobSpec(
        service, (ONE,) * tasks, deadline_ms, repeatable, "digest"
    )


def views(*slots, accepting=True):
    """Makes one target view per number of slots."""
    return [
        scheduling.TargetView(f"t{i}", f"127.0.0.1:{i}", "a", n, accepting)
        for i, n in enumerate(slots)
    ]


def make(*slots, restart_failed=False, retry_ratio=1.0):
    """Makes a dispatcher with one target per number of slots."""
    service = scheduling.ServicePolicy("line", restart_failed)
    policy = scheduling.Policy(
        "ordinary", {"line": service}, retry_ratio=retry_ratio
    )
    dispatcher = scheduling.Dispatcher("a", "x", policy, random.Random(1))
    dispatcher.apply_targets(views(*slots), 0.0)
    return dispatcher


@fixture
def pair():
    """Yields a dispatcher with two targets of two slots."""
    yield make(2, 2)


def starts(effects):
    """Returns the started attempts among effects."""
    return [e for e in effects if isinstance(e, scheduling.StartAttempt)]


def cancels(effects):
    """Returns the ids of cancelled attempts among effects."""
    return [
        e.attempt_id for e in effects if isinstance(e, scheduling.CancelAttempt)
    ]


def answers(effects):
    """Returns the answers among effects."""
    return [e.answer for e in effects if isinstance(e, scheduling.JobFinished)]


def test_attempt_is_recorded_before_it_is_sent(case, pair):
    """Guards against a start that is forgotten when its effect is lost."""
    (start,) = starts(pair.submit(1, job(), "c", 5.0))
    case.assertEqual(start.attempt_id, "x-0")
    case.assertEqual(start.deadline, 6.0)
    case.assertEqual(pair.stats().running, 1)
    case.assertEqual(pair.stats().slots_in_use[start.target_id], 1)
    (answer,) = answers(pair.cancel(1, 5.1))
    case.assertEqual(answer.tasks, (model.TaskState.UNKNOWN,))


def test_which_outcomes_start_a_task_again(case):
    """Guards against a second start of a task that may have run."""
    table = [
        (REFUSED, False, True, True),
        (REFUSED, False, False, True),
        (LEAVING, False, True, True),
        (LOST, False, True, False),
        (LOST, True, True, False),
        (BROKEN, False, True, False),
        (BROKEN, True, False, False),
        (BROKEN, True, True, True),
    ]
    for outcome, restart, repeatable, again in table:
        dispatcher = make(1, 1, restart_failed=restart)
        effects = dispatcher.submit(1, job(repeatable=repeatable), "c", 0.0)
        (first,) = starts(effects)
        effects = dispatcher.finish(first.attempt_id, outcome, 0.1)
        label = f"{outcome} {restart} {repeatable}"
        case.assertEqual(len(starts(effects)), again, label)
        case.assertEqual(len(answers(effects)), not again, label)
        if again:
            (second,) = starts(effects)
            case.assertNotEqual(second.target_id, first.target_id)
            case.assertNotEqual(second.attempt_id, first.attempt_id)


def test_retry_budget_bounds_retries(case):
    """Guards against retries that multiply the load of a failing service."""
    dispatcher = make(1, 1, restart_failed=True, retry_ratio=0.1)
    retried = 0
    for key in range(40):
        pending = starts(dispatcher.submit(key, job(), "c", float(key)))
        for start in pending:
            effects = dispatcher.finish(start.attempt_id, BROKEN, float(key))
            retried += len(starts(effects))
            case.assertLess(retried, 40)
            pending.extend(starts(effects))
            dispatcher.finish(start.attempt_id, DONE, float(key))
    case.assertLessEqual(retried, 0.1 * dispatcher.stats().started)
    case.assertEqual(retried, dispatcher.stats().retried)
    case.assertGreater(retried, 0)


def test_state_of_a_failed_task_survives_its_retry(case):
    """Guards against `not_run` for a task that ran and failed before."""
    dispatcher = make(1, 1, restart_failed=True)
    (first,) = starts(dispatcher.submit(1, job(), "c", 0.0))
    (second,) = starts(dispatcher.finish(first.attempt_id, BROKEN, 0.1))
    dispatcher.apply_targets([], 0.1)
    dispatcher.finish(second.attempt_id, REFUSED, 0.2)
    (answer,) = answers(dispatcher.advance(1.0))
    case.assertEqual(answer.tasks, (model.TaskState.FAILED,))


def test_late_duplicate_and_unknown_ends_change_nothing(case, pair):
    """Guards against a slot freed twice or an answer given twice."""
    (start,) = starts(pair.submit(1, job(), "c", 0.0))
    effects = pair.finish(start.attempt_id, DONE, 0.1)
    case.assertEqual(answers(effects), [model.Complete(("ok",))])
    for attempt_id in (start.attempt_id, "x-99", "y-0", ""):
        for outcome in (DONE, REFUSED, BROKEN, LOST):
            case.assertEqual(pair.finish(attempt_id, outcome, 0.2), [])
    case.assertEqual(set(pair.stats().slots_in_use.values()), {0})
    case.assertEqual(pair.stats().ejected, 0)
    case.assertEqual(pair.stats().late_finishes, 16)


def test_first_hopeless_task_ends_the_whole_job(case, pair):
    """Guards against work that goes on for a job that cannot complete."""
    running = starts(pair.submit(1, job(tasks=6), "c", 0.0))
    case.assertEqual(len(running), 4)
    pair.finish(running[0].attempt_id, DONE, 0.1)
    effects = pair.finish(running[1].attempt_id, BROKEN, 0.2)
    case.assertEqual(starts(effects), [])
    (answer,) = answers(effects)
    case.assertEqual(answer.reason, model.FailureReason.TASK_FAILED)
    case.assertEqual(answer.message, "broken")
    case.assertEqual(
        [str(s) for s in answer.tasks],
        ["succeeded", "failed", "unknown", "unknown", "unknown", "not_run"],
    )
    case.assertEqual(cancels(effects), ["x-2", "x-3", "x-4"])
    case.assertEqual(pair.stats().queued, 0)


def test_deadline_answers_at_once_and_keeps_slots(case, pair):
    """Guards against late answers and against overbooked targets."""
    running = starts(pair.submit(1, job(tasks=5), "c", 0.0))
    case.assertEqual(pair.next_wakeup(), 1.0)
    effects = pair.advance(1.0)
    (answer,) = answers(effects)
    case.assertEqual(answer.reason, model.FailureReason.DEADLINE)
    case.assertEqual(len(cancels(effects)), 4)
    case.assertEqual(starts(pair.submit(2, job(), "c", 1.1)), [])
    effects = pair.finish(running[0].attempt_id, LOST, 1.2)
    case.assertEqual([s.job_key for s in starts(effects)], [2])
    case.assertEqual(answers(effects), [])


def test_result_after_the_deadline_is_not_an_answer(case, pair):
    """Guards against an answer that depends on the order of late events."""
    (start,) = starts(pair.submit(1, job(), "c", 0.0))
    (answer,) = answers(pair.finish(start.attempt_id, DONE, 1.5))
    case.assertEqual(answer.reason, model.FailureReason.DEADLINE)


def test_not_run_is_answered_only_when_nothing_ran(case):
    """Guards against a false `not_run`, and against a missing true one."""
    table = [
        (None, model.Failed),
        (REFUSED, model.NotRun),
        (LEAVING, model.NotRun),
        (BROKEN, model.Failed),
        (LOST, model.Failed),
        (DONE, model.Failed),
    ]
    for outcome, kind in table:
        dispatcher = make(1)
        (start,) = starts(dispatcher.submit(1, job(tasks=2), "c", 0.0))
        effects = []
        if outcome is not None:
            dispatcher.apply_targets(views(0), 0.0)
            effects += dispatcher.finish(start.attempt_id, outcome, 0.1)
        effects += dispatcher.advance(1.0)
        (answer,) = answers(effects)
        case.assertIsInstance(answer, kind, outcome)
    dispatcher = make(1)
    dispatcher.submit(1, job(), "c", 0.0)
    dispatcher.submit(2, job(), "c", 0.0)
    (answer,) = answers(dispatcher.cancel(2, 0.1))
    case.assertEqual(answer, model.NotRun(model.RefusalReason.CANCELLED))


def test_leaving_target_gets_no_new_work(case):
    """Guards against work for a target that said it leaves."""
    dispatcher = make(4, 4)
    (start,) = starts(dispatcher.submit(1, job(), "c", 0.0))
    left = start.target_id
    dispatcher.finish(start.attempt_id, LEAVING, 0.1)
    for now, listed in ((0.2, (4, 4)), (9.0, ()), (9.1, (4, 4))):
        dispatcher.apply_targets(views(*listed), now)
        effects = dispatcher.submit(int(now * 10), job(tasks=8), "c", now)
        case.assertNotIn(left, [s.target_id for s in starts(effects)])


def test_drained_and_full_targets_get_no_work(case):
    """Guards against starts beyond the share and at drained targets."""
    dispatcher = make(3, 2)
    for key in range(9):
        dispatcher.submit(key, job(), "c", 0.0)
    case.assertEqual(dispatcher.stats().slots_in_use, {"t0": 3, "t1": 2})
    dispatcher.apply_targets(views(3, 2, accepting=False), 0.1)
    effects = dispatcher.finish("x-0", DONE, 0.2)
    case.assertEqual(starts(effects), [])
    dispatcher.apply_targets(views(1, 1), 0.3)
    case.assertEqual(starts(dispatcher.advance(0.3)), [])


def test_failing_targets_are_ejected_up_to_half(case):
    """Guards against a failing target that attracts work, and an outage."""
    dispatcher = make(1, 1, 1, 1)
    for key in range(200):
        now = key * 0.001
        for start in starts(dispatcher.submit(key, job(), "c", now)):
            outcome = DONE if start.target_id == "t3" else BROKEN
            dispatcher.finish(start.attempt_id, outcome, now + 0.0005)
        case.assertLessEqual(dispatcher.stats().ejected, 2)
    case.assertEqual(dispatcher.stats().ejected, 2)
    ejected = {i for i, t in dispatcher.targets.items() if t.ejected}
    rest = [v for v in views(1, 1, 1, 1) if v.target_id in ejected]
    dispatcher.apply_targets(rest, 0.5)
    case.assertEqual(dispatcher.stats().ejected, 1)


def test_cancelled_attempts_are_no_failures_of_the_target(case):
    """Guards against callers that get healthy targets ejected."""
    dispatcher = make(1, 1)
    for key in range(20):
        now = key * 0.01
        for start in starts(dispatcher.submit(key, job(), "c", now)):
            dispatcher.cancel(key, now)
            dispatcher.finish(start.attempt_id, LOST, now)
    case.assertEqual(dispatcher.stats().ejected, 0)


def test_ejected_target_returns_after_a_good_probe(case):
    """Guards against capacity that is lost for good."""
    dispatcher = make(1, 1)
    for key in range(20):
        now = key * 0.001
        for start in starts(dispatcher.submit(key, job(), "c", now)):
            outcome = DONE if start.target_id == "t1" else BROKEN
            dispatcher.finish(start.attempt_id, outcome, now)
    case.assertEqual(dispatcher.stats().ejected, 1)
    (start,) = starts(dispatcher.submit(50, job(), "c", 2.0))
    case.assertEqual(start.target_id, "t0")
    dispatcher.finish(start.attempt_id, DONE, 2.1)
    case.assertEqual(dispatcher.stats().ejected, 0)


def test_refusals_before_queueing(case, pair):
    """Guards against jobs that are admitted though they cannot finish."""
    infeasible = job(tasks=500)
    for key in range(10):
        (start,) = starts(pair.submit(key, job(), "c", 0.0))
        pair.finish(start.attempt_id, DONE, 0.2)
    table = [
        (job(service="other"), model.RefusalReason.UNKNOWN_SERVICE),
        (infeasible, model.RefusalReason.DEADLINE_INFEASIBLE),
    ]
    for spec, reason in table:
        (answer,) = answers(pair.submit(100, spec, "c", 1.0))
        case.assertEqual(answer.reason, reason)
    pair.apply_targets(views(0, 0), 1.0)
    (answer,) = answers(pair.submit(101, job(), "c", 1.0))
    case.assertEqual(answer.reason, model.RefusalReason.NO_TARGET)


def test_equal_runs_give_equal_effects(case):
    """Guards against decisions that depend on anything but the inputs."""

    def run():
        dispatcher, log, now = make(3, 3, 2), [], 0.0
        rng = random.Random(7)
        for key in range(100):
            now += rng.random() * 0.05
            log += dispatcher.submit(key, job(tasks=3), f"c{key % 4}", now)
            for attempt_id in list(dispatcher.attempts.by_id):
                if rng.random() < 0.5:
                    log += dispatcher.finish(attempt_id, DONE, now)
        return log

    case.assertEqual(run(), run())
