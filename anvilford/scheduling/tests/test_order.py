"""Tests of queue order, lanes, admission and use of other zones."""

import random

from anvilford import model
from anvilford import scheduling
from testkit import function_tests

load_tests = function_tests(__name__)

SUCCEEDED = model.AttemptSucceeded("ok")
BUSY = model.AttemptNotStarted(model.NotStartedReason.BUSY)


def make_job(operation="seal", tasks=1, deadline_ms=100_000):
    """Returns a job of equal tasks."""
    task = model.TaskSpec(operation, None, None)
    return model.JobSpec("line", (task,) * tasks, deadline_ms, True, "")


def make_view(name, zone, slots):
    """Returns a target view that accepts tasks."""
    return scheduling.TargetView(name, name, zone, slots, True)


def make_dispatcher(*targets, **changes):
    """Returns a dispatcher in zone "a"; `changes` are policy fields."""
    service = scheduling.ServicePolicy("line")
    policy = scheduling.Policy("ordinary", {"line": service}, **changes)
    dispatcher = scheduling.Dispatcher("a", "x", policy, random.Random(1))
    dispatcher.apply_targets(targets, 0.0)
    return dispatcher


def find_starts(effects):
    """Returns the `StartAttempt` effects."""
    return [e for e in effects if isinstance(e, scheduling.StartAttempt)]


def find_answer(effects):
    """Returns the answer of the first finished job, or None."""
    for effect in effects:
        if isinstance(effect, scheduling.JobFinished):
            return effect.answer
    return None


def complete_runs(dispatcher, operation, seconds, runs=10):
    """Completes `runs` jobs of an operation, each after `seconds`."""
    for n in range(runs):
        key = f"{operation}-{n}"
        for start in find_starts(
            dispatcher.submit(key, make_job(operation), "c", 0.0)
        ):
            dispatcher.finish(start.attempt_id, SUCCEEDED, seconds)


def test_long_operations_leave_slots_for_short_work(case):
    """Long operations occupy only their share of the slots.

    Otherwise long tasks occupy every slot and short tasks wait for them.
    """
    dispatcher = make_dispatcher(make_view("t", "a", 10), long_share=0.4)
    complete_runs(dispatcher, "seal", 0.1, runs=30)
    complete_runs(dispatcher, "plan", 5.0, runs=10)
    running = []
    for n in range(20):
        running += find_starts(
            dispatcher.submit(n, make_job("plan"), "c", 10.0)
        )
    case.assertEqual(len(running), 4)
    case.assertEqual(
        len(find_starts(dispatcher.submit(50, make_job(), "c", 10.0))), 1
    )


def test_task_that_overstays_counts_as_long(case):
    """A running task that exceeds the limit of short work counts as long.

    Tasks of a usually short operation that run long use up the slots for long
    work, so no task of a long operation may start.
    """
    dispatcher = make_dispatcher(make_view("t", "a", 10), long_share=0.2)
    complete_runs(dispatcher, "seal", 0.1, runs=30)
    complete_runs(dispatcher, "plan", 5.0, runs=10)
    dispatcher.submit(1, make_job(), "c", 10.0)
    dispatcher.submit(2, make_job(), "c", 10.0)
    dispatcher.advance(12.0)
    case.assertEqual(
        find_starts(dispatcher.submit(3, make_job("plan"), "c", 12.0)), []
    )


def test_many_tasks_do_not_hold_every_slot(case):
    """A job of 1,100 tasks leaves slots free for small jobs.

    Otherwise small jobs wait until one of its tasks ends.
    """
    dispatcher = make_dispatcher(make_view("t", "a", 20), bulk_reserve=0.2)
    for n in range(8):
        dispatcher.submit(n, make_job(), "c", 0.0)
    big = find_starts(dispatcher.submit(100, make_job(tasks=1100), "c", 0.0))
    case.assertEqual(len(big), 8)
    case.assertEqual(
        len(find_starts(dispatcher.submit(101, make_job(), "c", 0.0))), 1
    )


def test_nearly_finished_jobs_go_first(case):
    """Small and nearly finished jobs start before larger ones.

    Otherwise slots are spread over many jobs, which all finish late.
    """
    dispatcher = make_dispatcher(make_view("t", "a", 16))
    first = find_starts(dispatcher.submit(0, make_job(tasks=8), "c", 0.0))
    first += find_starts(dispatcher.submit(1, make_job(tasks=8), "c", 0.0))
    dispatcher.submit(2, make_job(tasks=8), "c", 0.0)
    dispatcher.submit(3, make_job(tasks=2), "c", 0.01)
    order = []
    for start in first:
        effects = dispatcher.finish(start.attempt_id, SUCCEEDED, 0.02)
        order += [s.job_key for s in find_starts(effects)]
    case.assertEqual(order, [3, 3] + [2] * 8)


def test_other_zones_only_when_a_queue_has_formed(case):
    """Targets in other zones get tasks only once a queue has formed.

    Otherwise tasks displace each other across zones without need.
    """
    dispatcher = make_dispatcher(
        make_view("home", "a", 2), make_view("away", "b", 1)
    )
    zones = []
    for n in range(3):
        effects = dispatcher.submit(n, make_job(), "c", 0.0)
        zones += [s.target_id for s in find_starts(effects)]
    case.assertEqual(zones, ["home", "home", "away"])


def test_busy_target_is_retried_after_backoff(case):
    """A target that refused a task as busy is retried after a back-off.

    Otherwise the queued task is sent to the full target again and again.
    """
    dispatcher = make_dispatcher(
        make_view("home", "a", 1), make_view("away", "b", 1)
    )
    dispatcher.submit(0, make_job(), "c", 0.0)
    (visit,) = find_starts(dispatcher.submit(1, make_job(), "c", 0.0))
    case.assertEqual(
        find_starts(dispatcher.finish(visit.attempt_id, BUSY, 0.01)), []
    )
    case.assertEqual(find_starts(dispatcher.advance(0.02)), [])
    wakeup = dispatcher.next_wakeup()
    case.assertLessEqual(wakeup, 0.2)
    (again,) = find_starts(dispatcher.advance(wakeup))
    case.assertEqual(again.job_key, 1)


def test_overload_is_refused_at_once(case):
    """Overload is refused at submission, with a time for the retry.

    If all jobs were admitted, the queue would become so long that no job in it
    met its deadline.
    """
    dispatcher = make_dispatcher(make_view("t", "a", 2))
    complete_runs(dispatcher, "seal", 0.1)
    answers = []
    for n in range(400):
        effects = dispatcher.submit(
            n, make_job(deadline_ms=1000), "c", 1 + n / 400
        )
        answers.append(find_answer(effects))
    refused = [a for a in answers if a is not None]
    case.assertGreater(len(refused), 300)
    for answer in refused:
        case.assertEqual(answer.reason, model.RefusalReason.OVERLOADED)
        case.assertGreater(answer.retry_after_ms, 0)


def test_one_caller_cannot_fill_the_queue(case):
    """A caller cannot occupy more than its share of the queue.

    Otherwise one caller can fill the queue, and jobs of all others are refused.
    """
    dispatcher = make_dispatcher(
        make_view("t", "a", 1), max_queued_tasks=10, caller_queue_share=0.5
    )
    dispatcher.submit(0, make_job(), "greedy", 0.0)
    for n in range(1, 6):
        case.assertIsNone(
            find_answer(dispatcher.submit(n, make_job(), "greedy", 0.0))
        )
    answer = find_answer(dispatcher.submit(9, make_job(), "greedy", 0.0))
    case.assertEqual(answer.reason, model.RefusalReason.QUOTA)
    case.assertIsNone(
        find_answer(dispatcher.submit(10, make_job(), "other", 0.0))
    )


def test_new_policy_refuses_new_jobs_only(case):
    """A new policy refuses new jobs and keeps admitted ones.

    A change of preset must not drop work that was already admitted.
    """
    dispatcher = make_dispatcher(make_view("t", "a", 1))
    (start,) = find_starts(dispatcher.submit(0, make_job(), "c", 0.0))
    dispatcher.submit(1, make_job(), "c", 0.0)
    closed = scheduling.ServicePolicy("line", accepting=False)
    policy = scheduling.Policy("maintenance", {"line": closed})
    dispatcher.apply_policy(policy, 0.1)
    answer = find_answer(dispatcher.submit(2, make_job(), "c", 0.1))
    case.assertEqual(answer.reason, model.RefusalReason.MAINTENANCE)
    effects = dispatcher.finish(start.attempt_id, SUCCEEDED, 0.2)
    case.assertEqual([s.job_key for s in find_starts(effects)], [1])
