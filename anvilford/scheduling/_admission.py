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
OVERLOAD_WAIT_DEADLINE_FRACTION = 0.1
OVERLOAD_WAIT_WORK_FACTOR = 4.0
# The same when smaller jobs alone exceed the capacity.
SMALLER_OVERLOAD_WAIT_DEADLINE_FRACTION = 0.0


@attrs.frozen
class JobForecast:
    """What is expected of a job before it is queued.

    Attributes:
        service: Name of the service.
        caller: Name of the caller.
        task_count: Number of tasks.
        work: Sum of expected run times, in seconds.
        longest_run_time: Longest expected run time of a task, in seconds.
        has_measured_run_times: Whether the run times were observed rather than
            declared.
        time_to_deadline: Time until the answer is due, in seconds.
    """

    service: str
    caller: str
    task_count: int
    work: float
    longest_run_time: float
    has_measured_run_times: bool
    time_to_deadline: float


@attrs.frozen
class LoadSnapshot:
    """What a job has to wait for.

    Attributes:
        usable_slots: Slots that take work now.
        lane_capacity: Seconds of ordinary work done per second by the slots that
            the job may use.
        total_capacity: The same of all slots. Offered work is compared with this one,
            since it includes the long work that occupies slots.
        work_ahead: Queued work that starts before the job, in seconds.
        smaller_job_rate: Rate of offered work in smaller jobs, seconds per second.
        equal_job_rate: Rate of offered work in jobs of the same size.
    """

    usable_slots: int
    lane_capacity: float
    total_capacity: float
    work_ahead: float
    smaller_job_rate: float
    equal_job_rate: float


def check_admission(
    forecast: JobForecast,
    policy: Policy,
    queue: JobQueue,
    load: LoadSnapshot,
) -> NotRun | None:
    """Returns the refusal of a job, or None when it is admitted."""
    service = policy.services.get(forecast.service)
    if service is None:
        return NotRun(RefusalReason.UNKNOWN_SERVICE)
    if not service.accepting:
        return NotRun(RefusalReason.MAINTENANCE)
    if load.usable_slots == 0 or load.lane_capacity <= 0:
        return NotRun(RefusalReason.NO_TARGET)
    if queue.task_count + forecast.task_count > policy.max_queued_tasks:
        return NotRun(RefusalReason.OVERLOADED)
    caller_tasks = (
        queue.task_count_by_caller.get(forecast.caller, 0) + forecast.task_count
    )
    if caller_tasks > policy.caller_queue_share * policy.max_queued_tasks:
        return NotRun(RefusalReason.QUOTA)
    return _check_predicted_finish(forecast, load)


def _check_predicted_finish(
    forecast: JobForecast, load: LoadSnapshot
) -> NotRun | None:
    wait = load.work_ahead / load.lane_capacity
    own_run_time = 0.0
    # Declared run times may be far too long; a job must not be refused for
    # good because of them, since its run times would never be learned.
    if forecast.has_measured_run_times:
        own_run_time = max(
            forecast.longest_run_time, forecast.work / load.lane_capacity
        )
        if own_run_time > forecast.time_to_deadline:
            return NotRun(RefusalReason.DEADLINE_INFEASIBLE)
    allowed_wait = forecast.time_to_deadline - own_run_time
    if load.smaller_job_rate > load.total_capacity:
        allowed_wait = min(
            allowed_wait,
            SMALLER_OVERLOAD_WAIT_DEADLINE_FRACTION * forecast.time_to_deadline,
        )
    elif load.smaller_job_rate + load.equal_job_rate > load.total_capacity:
        queue_time = (
            OVERLOAD_WAIT_WORK_FACTOR * forecast.work / load.lane_capacity
        )
        allowed_wait = min(
            allowed_wait,
            OVERLOAD_WAIT_DEADLINE_FRACTION * forecast.time_to_deadline
            + queue_time,
        )
    if wait <= allowed_wait:
        return None
    return NotRun(
        RefusalReason.OVERLOADED, int((wait - allowed_wait) * 1000) + 1
    )
