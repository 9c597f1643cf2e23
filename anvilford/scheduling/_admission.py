"""Admits or refuses whole jobs by their predicted finish."""

import attrs

from anvilford.model import NotRun
from anvilford.model import RefusalReason
from anvilford.scheduling._policy import Policy
from anvilford.scheduling._queue import JobQueue

# Once jobs of the same size or smaller ones offer more work than there is
# capacity, jobs may wait for this part of their time, plus this many times the
# time that their work takes on all slots. The queue is then empty again soon
# after the demand peak, and refused jobs cost nothing because others of their
# size keep arriving.
OVERLOAD_WAIT = 0.1
OVERLOAD_JOBS = 4.0
# The same when smaller jobs alone exceed the capacity.
SMALLER_OVERLOAD_WAIT = 0.0


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


@attrs.frozen
class Backlog:
    """What a job has to wait for.

    Attributes:
        slots: Slots that take work now.
        capacity: Seconds of ordinary work done per second by the slots that
            the job may use.
        total: The same of all slots. Offered work is compared with this one,
            since it includes the long work that occupies slots.
        ahead: Queued work that starts before the job, in seconds.
        smaller: Rate of offered work in smaller jobs, seconds per second.
        equal: Rate of offered work in jobs of the same size.
    """

    slots: int
    capacity: float
    total: float
    ahead: float
    smaller: float
    equal: float


def refuse(
    forecast: JobForecast,
    policy: Policy,
    queue: JobQueue,
    backlog: Backlog,
) -> NotRun | None:
    """Returns the refusal of a job, or None when it is admitted."""
    service = policy.services.get(forecast.service)
    if service is None:
        return NotRun(RefusalReason.UNKNOWN_SERVICE)
    if not service.accepting:
        return NotRun(RefusalReason.MAINTENANCE)
    if backlog.slots == 0 or backlog.capacity <= 0:
        return NotRun(RefusalReason.NO_TARGET)
    if queue.tasks + forecast.tasks > policy.max_queued_tasks:
        return NotRun(RefusalReason.OVERLOADED)
    held = queue.tasks_of_caller.get(forecast.caller, 0) + forecast.tasks
    if held > policy.caller_queue_share * policy.max_queued_tasks:
        return NotRun(RefusalReason.QUOTA)
    return _refuse_late(forecast, backlog)


def _refuse_late(forecast: JobForecast, backlog: Backlog) -> NotRun | None:
    wait = backlog.ahead / backlog.capacity
    own = 0.0
    # Declared run times may be far too long; a job must not be refused for
    # good because of them, since its run times would never be learned.
    if forecast.learned:
        own = max(forecast.longest, forecast.work / backlog.capacity)
        if own > forecast.budget:
            return NotRun(RefusalReason.DEADLINE_INFEASIBLE)
    allowed = forecast.budget - own
    if backlog.smaller > backlog.total:
        allowed = min(allowed, SMALLER_OVERLOAD_WAIT * forecast.budget)
    elif backlog.smaller + backlog.equal > backlog.total:
        queue_time = OVERLOAD_JOBS * forecast.work / backlog.capacity
        allowed = min(allowed, OVERLOAD_WAIT * forecast.budget + queue_time)
    if wait <= allowed:
        return None
    return NotRun(RefusalReason.OVERLOADED, int((wait - allowed) * 1000) + 1)
