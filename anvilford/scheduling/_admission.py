"""Admission control: refuses jobs that are not expected to finish in time."""

import attrs

from anvilford.model import NotRun
from anvilford.model import RefusalReason
from anvilford.scheduling._policy import Policy
from anvilford.scheduling._queue import JobQueue

# While jobs of the same size class and smaller ones offer more work than the
# total capacity, a job may wait for this fraction of its time to the deadline,
# plus this many times the time that its work takes at the capacity of its lane.
# The queue is then empty again soon after a demand peak. Refused jobs do not
# reduce throughput, because others of their size keep arriving.
OVERLOAD_WAIT_DEADLINE_FRACTION = 0.1
OVERLOAD_WAIT_WORK_FACTOR = 4.0
# Fraction of its time to the deadline that a job may wait while smaller jobs
# alone offer more work than the total capacity.
SMALLER_OVERLOAD_WAIT_DEADLINE_FRACTION = 0.0


@attrs.frozen
class JobForecast:
    """Expected run times of a job, determined before it is queued.

    Attributes:
        service: Name of the service.
        caller: Name of the caller.
        task_count: Number of tasks of the job.
        work: Sum of the expected run times of the tasks, in seconds.
        longest_run_time: Largest median run time among the operations of the
            job, in seconds; 0 if none was measured.
        has_measured_run_times: Whether the run times of all operations were
            measured rather than declared by the caller.
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
    """Capacity, queued work and offered work when a job is submitted.

    Amounts of work are sums of run times at a target of typical speed.

    Attributes:
        usable_slots: Number of slots that accept ordinary work.
        lane_capacity: Capacity of the slots that the lane of the job may use,
            in seconds of work per second.
        total_capacity: Capacity of all usable slots, in seconds of work per
            second. Offered work is compared with this value, since it includes
            the long work that occupies slots.
        work_ahead: Queued work that starts before the job, in seconds.
        smaller_job_rate: Work offered in jobs of smaller size classes, in
            seconds of work per second.
        equal_job_rate: Work offered in jobs of the same size class, in seconds
            of work per second.
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
    """Decides whether a job is admitted to the queue.

    Args:
        forecast: Expected run times of the job.
        policy: Policy in force.
        queue: Queue that the job would join.
        load: Load at the submission of the job.

    Returns:
        The refusal, or None when the job is admitted.
    """
    service = policy.services.get(forecast.service)
    if service is None:
        return NotRun(RefusalReason.UNKNOWN_SERVICE)
    if not service.accepting:
        return NotRun(RefusalReason.MAINTENANCE)
    if load.usable_slots == 0 or load.lane_capacity <= 0:
        return NotRun(RefusalReason.NO_TARGET)
    if queue.task_count + forecast.task_count > policy.max_queued_tasks:
        return NotRun(RefusalReason.OVERLOADED)
    caller_task_count = (
        queue.task_count_by_caller.get(forecast.caller, 0) + forecast.task_count
    )
    if caller_task_count > policy.caller_queue_share * policy.max_queued_tasks:
        return NotRun(RefusalReason.QUOTA)
    return _check_predicted_finish(forecast, load)


def _check_predicted_finish(
    forecast: JobForecast, load: LoadSnapshot
) -> NotRun | None:
    wait = load.work_ahead / load.lane_capacity
    own_run_time = 0.0
    # Declared run times may be far too long. Jobs that were refused because of
    # them would never run, so their actual run times would never be measured.
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
