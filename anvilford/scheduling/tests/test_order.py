"""Tests of queue order, lanes, admission and other zones."""

import random

from anvilford import model
from anvilford import scheduling
from testkit import function_tests

load_tests = function_tests(__name__)

DONE = model.AttemptSucceeded("ok")
BUSY = model.AttemptNotStarted(model.NotStartedReason.BUSY)


def job(operation="seal", tasks=1, deadline_ms=100_000):
    """Makes a job of equal tasks."""
    task = model.TaskSpec(operation, None, None)
    return model.JobSpec("line", (task,) * tasks, deadline_ms, True, "")


def view(name, zone, slots):
    """Makes one target view."""
    return scheduling.TargetView(name, name, zone, slots, True)


def make(*targets, **changes):
    """Makes a dispatcher in zone "a"."""
    service = scheduling.ServicePolicy("line")
    policy = scheduling.Policy("ordinary", {"line": service}, **changes)
    dispatcher = scheduling.Dispatcher("a", "x", policy, random.Random(1))
    dispatcher.apply_targets(targets, 0.0)
    return dispatcher


def starts(effects):
    """Returns the started attempts among effects."""
    return [e for e in effects if isinstance(e, scheduling.StartAttempt)]


def refusal(effects):
    """Returns the answer if the job was refused."""
    for effect in effects:
        if isinstance(effect, scheduling.JobFinished):
            return effect.answer
    return None


def teach(dispatcher, operation, seconds, runs=10):
    """Lets the dispatcher observe run times of an operation."""
    for n in range(runs):
        key = f"{operation}-{n}"
        for start in starts(dispatcher.submit(key, job(operation), "c", 0.0)):
            dispatcher.finish(start.attempt_id, DONE, seconds)


def test_long_operations_leave_slots_for_short_work(case):
    """Guards against short work blocked behind long work."""
    dispatcher = make(view("t", "a", 10), long_share=0.4)
    teach(dispatcher, "seal", 0.1, runs=30)
    teach(dispatcher, "plan", 5.0, runs=10)
    running = []
    for n in range(20):
        running += starts(dispatcher.submit(n, job("plan"), "c", 10.0))
    case.assertEqual(len(running), 4)
    case.assertEqual(len(starts(dispatcher.submit(50, job(), "c", 10.0))), 1)


def test_task_that_overstays_counts_as_long(case):
    """Guards against long work that hides behind a short operation."""
    dispatcher = make(view("t", "a", 10), long_share=0.2)
    teach(dispatcher, "seal", 0.1, runs=30)
    teach(dispatcher, "plan", 5.0, runs=10)
    dispatcher.submit(1, job(), "c", 10.0)
    dispatcher.submit(2, job(), "c", 10.0)
    dispatcher.advance(12.0)
    case.assertEqual(starts(dispatcher.submit(3, job("plan"), "c", 12.0)), [])


def test_many_tasks_do_not_hold_every_slot(case):
    """Guards against small jobs that wait for a job of 1,100 tasks."""
    dispatcher = make(view("t", "a", 20), bulk_reserve=0.2)
    for n in range(8):
        dispatcher.submit(n, job(), "c", 0.0)
    big = starts(dispatcher.submit(100, job(tasks=1100), "c", 0.0))
    case.assertEqual(len(big), 8)
    case.assertEqual(len(starts(dispatcher.submit(101, job(), "c", 0.0))), 1)


def test_nearly_finished_jobs_go_first(case):
    """Guards against many half finished jobs instead of finished ones."""
    dispatcher = make(view("t", "a", 16))
    first = starts(dispatcher.submit(0, job(tasks=8), "c", 0.0))
    first += starts(dispatcher.submit(1, job(tasks=8), "c", 0.0))
    dispatcher.submit(2, job(tasks=8), "c", 0.0)
    dispatcher.submit(3, job(tasks=2), "c", 0.01)
    order = []
    for start in first:
        effects = dispatcher.finish(start.attempt_id, DONE, 0.02)
        order += [s.job_key for s in starts(effects)]
    case.assertEqual(order, [3, 3] + [2] * 8)


def test_other_zones_only_when_a_queue_has_formed(case):
    """Guards against visits to other zones that nothing calls for."""
    dispatcher = make(view("home", "a", 2), view("away", "b", 1))
    zones = []
    for n in range(3):
        effects = dispatcher.submit(n, job(), "c", 0.0)
        zones += [s.target_id for s in starts(effects)]
    case.assertEqual(zones, ["home", "home", "away"])


def test_busy_target_is_not_asked_at_once_again(case):
    """Guards against a storm of refused starts at a full target."""
    dispatcher = make(view("home", "a", 1), view("away", "b", 1))
    dispatcher.submit(0, job(), "c", 0.0)
    (visit,) = starts(dispatcher.submit(1, job(), "c", 0.0))
    case.assertEqual(
        starts(dispatcher.finish(visit.attempt_id, BUSY, 0.01)), []
    )
    case.assertEqual(starts(dispatcher.advance(0.02)), [])
    wakeup = dispatcher.next_wakeup()
    case.assertLessEqual(wakeup, 0.2)
    (again,) = starts(dispatcher.advance(wakeup))
    case.assertEqual(again.job_key, 1)


def test_overload_is_refused_at_once(case):
    """Guards against a queue that nobody in it survives."""
    dispatcher = make(view("t", "a", 2))
    teach(dispatcher, "seal", 0.1)
    answers = []
    for n in range(400):
        effects = dispatcher.submit(n, job(deadline_ms=1000), "c", 1 + n / 400)
        answers.append(refusal(effects))
    refused = [a for a in answers if a is not None]
    case.assertGreater(len(refused), 300)
    for answer in refused:
        case.assertEqual(answer.reason, model.RefusalReason.OVERLOADED)
        case.assertGreater(answer.retry_after_ms, 0)


def test_one_caller_cannot_fill_the_queue(case):
    """Guards against a caller that shuts all others out."""
    dispatcher = make(
        view("t", "a", 1), max_queued_tasks=10, caller_queue_share=0.5
    )
    dispatcher.submit(0, job(), "greedy", 0.0)
    for n in range(1, 6):
        case.assertIsNone(refusal(dispatcher.submit(n, job(), "greedy", 0.0)))
    answer = refusal(dispatcher.submit(9, job(), "greedy", 0.0))
    case.assertEqual(answer.reason, model.RefusalReason.QUOTA)
    case.assertIsNone(refusal(dispatcher.submit(10, job(), "other", 0.0)))


def test_new_policy_refuses_new_jobs_only(case):
    """Guards against a preset change that drops admitted work."""
    dispatcher = make(view("t", "a", 1))
    (start,) = starts(dispatcher.submit(0, job(), "c", 0.0))
    dispatcher.submit(1, job(), "c", 0.0)
    closed = scheduling.ServicePolicy("line", accepting=False)
    policy = scheduling.Policy("maintenance", {"line": closed})
    dispatcher.apply_policy(policy, 0.1)
    answer = refusal(dispatcher.submit(2, job(), "c", 0.1))
    case.assertEqual(answer.reason, model.RefusalReason.MAINTENANCE)
    effects = dispatcher.finish(start.attempt_id, DONE, 0.2)
    case.assertEqual([s.job_key for s in starts(effects)], [1])
