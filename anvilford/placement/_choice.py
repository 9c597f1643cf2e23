"""Chooses the target of a task.

Answers runners of unequal speed under changing load: while there is room the
fastest target takes the task; when room is short, the slowest target that
still meets the objective takes it, so that fast ones stay free for jobs that
have already waited. A task that only a faster target than the free ones brings
home in time waits for one, instead of being late for certain.
"""

from anvilford.placement._model import PlacementOptions
from anvilford.placement._state import Ownership
from anvilford.placement._state import Target
from anvilford.placement._state import Task

# Share of the service's cores that must be free for the fastest target to be
# taken first. Below it, fast targets are kept for jobs with little time left.
AMPLE_FREE_SHARE = 0.5
# Share of the time left that a run may be expected to take; estimates miss by
# 40% either way on the users' sheets.
MAX_BUDGET_SHARE = 0.85

# An entry that the list dropped may come back within two seconds of the
# store's return; until then the target serves on if it answers.
UNLISTED_USABLE_S = 2.5


def is_usable(target: Target, now: float) -> bool:
    """Whether new tasks may start at a target."""
    if not target.listed and now - target.unlisted_at > UNLISTED_USABLE_S:
        return False
    return (
        target.ownership is Ownership.OWNED
        and target.reachable
        and not target.has_unclaimed_runs
        and not target.record.draining
        and not target.is_full
        and target.clock_ms is not None
        and target.suspended_until <= now
        and target.retry_at <= now
        and target.record.cold_ms == 0
    )


def expected_run_seconds(
    task: Task, target: Target, options: PlacementOptions
) -> float:
    """Expected run time of a task at a target."""
    step = task.spec
    seconds = step.estimate_ms / 1000 / target.speed
    if step.rack and step.rack not in target.record.labels:
        seconds *= options.remote_penalty
    return seconds


def _can_run(task: Task, target: Target) -> bool:
    step = task.spec
    if not step.need.fits_in(target.available):
        return False
    if task.name in target.runs:
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


def choose_target(
    task: Task,
    targets: list[Target],
    now: float,
    has_ample_capacity: bool,
    best_speed: float,
    options: PlacementOptions,
) -> Target | None:
    """Chooses where a task starts.

    Args:
        task: A task that is ready.
        targets: Usable targets of its service, the fastest first.
        now: Time.
        has_ample_capacity: True if the service has room to spare.
        best_speed: Speed of the fastest usable target, free or not.
        options: Parameters.

    Returns:
        None if no target has room, or none that is fast enough while a faster
        one may come free in time.
    """
    if task.spec.rack:
        targets = sorted(
            targets, key=lambda t: expected_run_seconds(task, t, options)
        )
    time_left = task.job.objective_deadline - now
    budget = time_left * MAX_BUDGET_SHARE
    if not has_ample_capacity:
        for target in reversed(targets):
            if expected_run_seconds(
                task, target, options
            ) <= budget and _can_run(task, target):
                return target
    fastest = next((t for t in targets if _can_run(task, t)), None)
    if fastest is None:
        return None
    is_late = expected_run_seconds(task, fastest, options) > time_left
    if is_late and task.spec.estimate_ms / 1000 / best_speed <= budget:
        return None
    return fastest
