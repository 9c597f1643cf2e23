"""Selection of the target for a task.

Targets differ in speed, and load changes. With ample free capacity, a task goes
to the fastest target. When capacity is scarce, it goes to the slowest target
that still meets the objective, so that fast targets stay free for jobs that
have already waited. A task that would miss its objective on every free target
waits if a faster, busy target could still meet it.
"""

from anvilford.placement._interference import InterferenceMonitor
from anvilford.placement._model import PlacementOptions
from anvilford.placement._state import Job
from anvilford.placement._state import Ownership
from anvilford.placement._state import Target
from anvilford.placement._state import Task
from anvilford.placement._state import TaskPhase

# Share of a service's cores that must be free for the fastest target to be
# chosen first. Below it, fast targets are kept for jobs with little time left.
AMPLE_FREE_SHARE = 0.5
# Maximum ratio of the expected run time of a task to the time left until the
# objective of its job. The margin is needed because estimates in the
# users' workload descriptions are off by 40% either way.
MAX_BUDGET_SHARE = 0.85

# How long a target stays usable after the platform's list has dropped its row,
# as long as it answers. After an outage of the store, a row may reappear up to
# two seconds after the store has recovered.
UNLISTED_USABLE_S = 2.5


def is_usable(target: Target, now: float) -> bool:
    """Returns whether new tasks may start on a target."""
    if not target.listed and now - target.unlisted_at > UNLISTED_USABLE_S:
        return False
    return (
        target.ownership is Ownership.OWNED
        and target.reachable
        and not target.has_old_record
        and not target.record.draining
        and not target.is_full
        and target.clock_ms is not None
        and target.suspended_until <= now
        and target.retry_at <= now
        and target.record.cold_ms == 0
        and (target.may_extend_lease or target.accepts_starts_within_lease(now))
    )


def expected_run_seconds(
    task: Task, target: Target, options: PlacementOptions
) -> float:
    """Returns the expected run time of a task on a target, in seconds."""
    step = task.spec
    seconds = step.estimate_ms / 1000 / target.speed
    if step.rack and step.rack not in target.record.labels:
        seconds *= options.remote_penalty
    return seconds


def _can_run(task: Task, target: Target, now: float) -> bool:
    """Returns whether a task may start on a target, and fits on it.

    Checks the resources first: under overload most targets lack them.
    """
    step = task.spec
    if not step.need.fits_in(target.available) or not is_usable(target, now):
        return False
    if task.name in target.runs:
        return False
    if target.isolated_job and not (
        task.has_lost_target and target.isolated_job == task.job.job_id
    ):
        return False
    if step.label and step.label not in target.record.labels:
        return False
    if step.spread_limit:
        same = sum(
            1
            for run in target.runs.values()
            if run.task is not None
            and run.task.job is task.job
            and run.task.step == task.step
        )
        return same < step.spread_limit
    return True


def waits_for_faster_target(
    job: Job, best_free_speed: float, best_speed: float, now: float
) -> bool:
    """Returns whether `choose_target` would find no target for a job's tasks.

    It takes far less time. Under overload, most waiting jobs would be late on
    the few free targets and wait for a faster one.

    Args:
        job: Waiting job; the answer is False if it has several steps.
        best_free_speed: Speed of the fastest target with free resources.
        best_speed: Speed of the fastest usable target, free or busy.
        now: Current time in seconds.
    """
    if len(job.spec.steps) != 1:
        return False
    seconds = job.demand.longest
    time_left = job.objective_deadline - now
    return (
        seconds / best_free_speed > time_left
        and seconds / best_speed <= time_left * MAX_BUDGET_SHARE
    )


def _targets_at_risk(task: Task, targets: list[Target]) -> list[Target]:
    """Returns the targets on which a task may start that may crash them.

    Such tasks of a job share one target, so that they crash no more targets
    than it takes to find out. It is an empty one if there is any, since a
    target that crashes takes its other runs along.
    """
    in_use = {
        other.target_id
        for other in task.job.tasks
        if other.has_lost_target and other.phase is TaskPhase.PLACED
    }
    if in_use:
        return [t for t in targets if t.record.target_id in in_use]
    return [t for t in targets if not t.runs] or targets


def _slowest_in_time(
    task: Task,
    targets: list[Target],
    budget: float,
    now: float,
    options: PlacementOptions,
    interference: InterferenceMonitor | None,
) -> Target | None:
    """Returns the slowest target on which a task ends in time.

    Args:
        task: Task that can start.
        targets: Targets, the least expected run time first.
        budget: Longest expected run time, in seconds.
        now: Current time in seconds.
        options: Parameters of the placer.
        interference: If given, targets where the task and the runs do not slow
            each other down come first.
    """
    slowest = None
    for target in reversed(targets):
        if expected_run_seconds(task, target, options) > budget or not _can_run(
            task, target, now
        ):
            continue
        if interference is None or interference.penalty(task, target) <= 1.0:
            return target
        slowest = slowest or target
    return slowest


def _separate(
    task: Task,
    targets: list[Target],
    fastest: Target,
    now: float,
    options: PlacementOptions,
    interference: InterferenceMonitor,
) -> Target:
    """Returns the target on which a task costs least, with what it slows down.

    The cost is the expected run time, multiplied by the slowdowns of the task
    and of the runs beside it. Slow targets that would use up the margin for the
    objective are left out, so that the fastest target is the last choice.

    Args:
        task: Task that can start.
        targets: Targets, the least expected run time first.
        fastest: First of them that can run the task.
        now: Current time in seconds.
        options: Parameters of the placer.
        interference: Provides the slowdowns.
    """
    best = fastest
    best_cost = expected_run_seconds(task, fastest, options)
    best_cost *= interference.penalty(task, fastest)
    time_left = task.job.objective_deadline - now
    for target in targets:
        seconds = expected_run_seconds(task, target, options)
        if seconds >= best_cost or seconds > time_left * MAX_BUDGET_SHARE:
            break
        if target is fastest or not _can_run(task, target, now):
            continue
        cost = seconds * interference.penalty(task, target)
        if cost < best_cost:
            best, best_cost = target, cost
    return best


def choose_target(
    task: Task,
    targets: list[Target],
    now: float,
    has_ample_capacity: bool,
    best_speed: float,
    options: PlacementOptions,
    interference: InterferenceMonitor | None = None,
) -> Target | None:
    """Chooses the target on which a task starts.

    Args:
        task: Task whose dependencies have completed.
        targets: Targets of the service, the fastest first.
        now: Current time in seconds.
        has_ample_capacity: True if the free share of the service's cores
            exceeds `AMPLE_FREE_SHARE`.
        best_speed: Speed of the fastest usable target, free or busy.
        options: Parameters of the placer.
        interference: Kinds of tasks that slow each other down; they are kept
            apart on targets that would be chosen without it too, or that meet
            the objective as well.

    Returns:
        None if no target can run the task, or if the task would be late on
        every free target while a faster one may become free in time.
    """
    if task.has_lost_target:
        targets = _targets_at_risk(task, targets)
    if task.spec.rack:
        targets = sorted(
            targets, key=lambda t: expected_run_seconds(task, t, options)
        )
    time_left = task.job.objective_deadline - now
    budget = time_left * MAX_BUDGET_SHARE
    if interference is not None and not interference.concerns(task):
        interference = None
    if not has_ample_capacity:
        slowest = _slowest_in_time(
            task, targets, budget, now, options, interference
        )
        if slowest is not None:
            return slowest
    fastest = next((t for t in targets if _can_run(task, t, now)), None)
    if fastest is None:
        return None
    is_late = expected_run_seconds(task, fastest, options) > time_left
    if is_late and task.spec.estimate_ms / 1000 / best_speed <= budget:
        return None
    if interference is None or is_late:
        return fastest
    return _separate(task, targets, fastest, now, options, interference)
