"""Predicts run times and waits of jobs before they are queued."""

from anvilford.model import JobSpec
from anvilford.scheduling._admission import JobForecast
from anvilford.scheduling._admission import LoadSnapshot
from anvilford.scheduling._attempts import RunningAttempts
from anvilford.scheduling._demand import OfferedWork
from anvilford.scheduling._estimates import RunTimes
from anvilford.scheduling._jobs import BULK_LANE
from anvilford.scheduling._jobs import LONG_LANE
from anvilford.scheduling._jobs import SHORT_LANE
from anvilford.scheduling._placement import Placement
from anvilford.scheduling._policy import Policy
from anvilford.scheduling._queue import JobQueue

# A job with more tasks than this many per usable slot is bulk work.
BULK_TASKS_PER_SLOT = 0.5


class Forecaster:
    """Derives forecasts from measured run times and the state of the queue.

    Attributes:
        policy: Policy in force, replaced by the dispatcher.
        run_times: Run time estimates.
        queue: Tasks that wait for a slot.
        placement: Source of slot counts and capacity.
        attempts: Attempts that occupy a slot.
        offered_work: Rate of submitted work, including refused jobs.
    """

    def __init__(
        self,
        policy: Policy,
        run_times: RunTimes,
        queue: JobQueue,
        placement: Placement,
        attempts: RunningAttempts,
    ):
        self.policy = policy
        self.run_times = run_times
        self.queue = queue
        self.placement = placement
        self.attempts = attempts
        self.offered_work = OfferedWork()

    def forecast_job(
        self, job: JobSpec, caller: str
    ) -> tuple[JobForecast, list[float]]:
        """Predicts the run times of a job.

        Args:
            job: Submitted job.
            caller: Name of the caller.

        Returns:
            The forecast, and the expected run time of each task in seconds at
            a target of typical speed.
        """
        estimate_by_kind: dict[tuple[str, float | None], float] = {}
        estimates = []
        for task in job.tasks:
            kind = (task.operation, task.declared_ms)
            if kind not in estimate_by_kind:
                estimate_by_kind[kind] = self.run_times.estimate(
                    job.service, *kind
                )
            estimates.append(estimate_by_kind[kind])
        operations = {operation for operation, _ in estimate_by_kind}
        medians = [
            self.run_times.operation_median_run_time(job.service, o)
            for o in operations
        ]
        forecast = JobForecast(
            service=job.service,
            caller=caller,
            task_count=len(job.tasks),
            work=sum(estimates),
            longest_run_time=max(
                (m for m in medians if m is not None), default=0.0
            ),
            has_measured_run_times=None not in medians,
            time_to_deadline=job.deadline_ms / 1000,
        )
        return forecast, estimates

    def record_and_measure_load(
        self,
        job: JobSpec,
        forecast: JobForecast,
        weight: float,
        now: float,
    ) -> LoadSnapshot:
        """Adds a job to the offered work and returns the load it meets.

        Args:
            job: Submitted job.
            forecast: Forecast of the job.
            weight: Weight of the service of the job.
            now: Loop time in seconds.

        Returns:
            The load; the rates of offered work exclude this job.
        """
        slots = self.placement.count_slots()
        capacity = self.placement.capacity()
        lane = SHORT_LANE
        lane_slots = max(1, slots - self.attempts.long_count)
        if any(self._is_long_task(job, index) for index in (0, -1)):
            lane = LONG_LANE
            lane_slots = self.max_long_slots()
        elif self._is_bulk_job(forecast.task_count):
            lane = BULK_LANE
        smaller, equal = self.offered_work.rates(forecast.work, now)
        self.offered_work.record_job(forecast.work, now)
        start_order = self.queue.start_order(now, forecast.work, weight)
        return LoadSnapshot(
            usable_slots=slots,
            lane_capacity=capacity * min(1.0, lane_slots / max(1, slots)),
            total_capacity=capacity,
            work_ahead=self.queue.work_ahead(lane, start_order),
            smaller_job_rate=smaller,
            equal_job_rate=equal,
        )

    def lane_of_task(self, job: JobSpec, task_index: int) -> int:
        """Returns the queue lane of the task at `task_index`."""
        if self._is_long_task(job, task_index):
            return LONG_LANE
        return BULK_LANE if self._is_bulk_job(len(job.tasks)) else SHORT_LANE

    def _is_bulk_job(self, task_count: int) -> bool:
        return task_count > max(1, BULK_TASKS_PER_SLOT * self.queue.slot_count)

    def _is_long_task(self, job: JobSpec, task_index: int) -> bool:
        return self.run_times.is_long(
            job.service,
            job.tasks[task_index].operation,
            self.policy.long_factor,
        )

    def max_long_slots(self) -> int:
        """Returns the maximum number of slots that long work may occupy."""
        return max(
            1, int(self.policy.long_share * self.placement.count_slots())
        )
