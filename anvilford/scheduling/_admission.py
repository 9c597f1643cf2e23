"""Admits or refuses whole jobs by their predicted finish."""

import attrs

from anvilford.model import NotRun
from anvilford.model import RefusalReason
from anvilford.scheduling._policy import Policy
from anvilford.scheduling._queue import JobQueue


@attrs.frozen
class JobForecast:
    """What is expected of a job before it is queued.

    Attributes:
        service: Name of the service.
        caller: Name of the caller.
        tasks: Number of tasks.
        work: Sum of expected run times, in seconds.
        longest: Longest expected run time of a task, in seconds.
        learned: Whether the run times were observed rather than declared.
        budget: Time until the answer is due, in seconds.
    """

    service: str
    caller: str
    tasks: int
    work: float
    longest: float
    learned: bool
    budget: float


def refuse(
    forecast: JobForecast,
    policy: Policy,
    queue: JobQueue,
    slots: int,
    capacity: float,
) -> NotRun | None:
    """Returns the refusal of a job, or None when it is admitted.

    Args:
        forecast: The job.
        policy: The policy in force.
        queue: Admitted work that has not started.
        slots: Slots that take work now.
        capacity: Seconds of ordinary work done per second at full use.
    """
    service = policy.services.get(forecast.service)
    if service is None:
        return NotRun(RefusalReason.UNKNOWN_SERVICE)
    if not service.accepting:
        return NotRun(RefusalReason.MAINTENANCE)
    if slots == 0 or capacity <= 0:
        return NotRun(RefusalReason.NO_TARGET)
    if queue.tasks + forecast.tasks > policy.max_queued_tasks:
        return NotRun(RefusalReason.OVERLOADED)
    held = queue.tasks_of_caller.get(forecast.caller, 0) + forecast.tasks
    if held > policy.caller_queue_share * policy.max_queued_tasks:
        return NotRun(RefusalReason.QUOTA)
    return _refuse_late(forecast, queue, capacity)


def _refuse_late(
    forecast: JobForecast, queue: JobQueue, capacity: float
) -> NotRun | None:
    wait = queue.work / capacity
    own = 0.0
    # Declared run times may be far too long; a job must not be refused for
    # good because of them, since its run times would never be learned.
    if forecast.learned:
        own = max(forecast.longest, forecast.work / capacity)
        if own > forecast.budget:
            return NotRun(RefusalReason.DEADLINE_INFEASIBLE)
    excess = wait + own - forecast.budget
    if excess <= 0:
        return None
    return NotRun(RefusalReason.OVERLOADED, int(excess * 1000) + 1)
