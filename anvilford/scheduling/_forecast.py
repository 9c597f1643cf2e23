"""What is expected of a job and of its wait, before it is queued."""

from anvilford.model import JobSpec
from anvilford.scheduling._admission import Backlog
from anvilford.scheduling._admission import JobForecast
from anvilford.scheduling._attempts import RunningAttempts
from anvilford.scheduling._demand import OfferedWork
from anvilford.scheduling._estimates import RunTimes
from anvilford.scheduling._jobs import BULK
from anvilford.scheduling._jobs import LONG
from anvilford.scheduling._jobs import SHORT
from anvilford.scheduling._placement import Placement
from anvilford.scheduling._policy import Policy
from anvilford.scheduling._queue import JobQueue

# A job with more tasks than this many per own slot is bulk work.
BULK_TASKS = 0.5


class Forecaster:
    """Derives forecasts from learned run times and the state of the queue.

    Attributes:
        policy: The policy in force.
        offered: Rate of offered work.
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
        self.offered = OfferedWork()

    def forecast(
        self, job: JobSpec, caller: str
    ) -> tuple[JobForecast, list[float]]:
        """Returns the forecast and the expected run time of each task."""
        known: dict[tuple[str, float | None], float] = {}
        estimates = []
        for task in job.tasks:
            kind = (task.operation, task.declared_ms)
            if kind not in known:
                known[kind] = self.run_times.estimate(job.service, *kind)
            estimates.append(known[kind])
        operations = {operation for operation, _ in known}
        medians = [self.run_times.median(job.service, o) for o in operations]
        forecast = JobForecast(
            service=job.service,
            caller=caller,
            tasks=len(job.tasks),
            work=sum(estimates),
            longest=max((m for m in medians if m is not None), default=0.0),
            learned=None not in medians,
            budget=job.deadline_ms / 1000,
        )
        return forecast, estimates

    def backlog(
        self,
        job: JobSpec,
        forecast: JobForecast,
        weight: float,
        now: float,
    ) -> Backlog:
        """Returns what a job has to wait for and counts it as offered."""
        slots = self.placement.slots()
        capacity = self.placement.capacity()
        lane = SHORT
        free = max(1, slots - self.attempts.long_running)
        if any(self._is_long(job, index) for index in (0, -1)):
            lane = LONG
            free = self.long_slots()
        elif self._is_bulk(forecast.tasks):
            lane = BULK
        smaller, equal = self.offered.rates(forecast.work, now)
        self.offered.observe(forecast.work, now)
        order = self.queue.order_of(now, forecast.work, weight)
        return Backlog(
            slots=slots,
            capacity=capacity * min(1.0, free / max(1, slots)),
            total=capacity,
            ahead=self.queue.work_ahead(lane, order),
            smaller=smaller,
            equal=equal,
        )

    def lane(self, job: JobSpec, index: int) -> int:
        """Returns the lane of a task."""
        if self._is_long(job, index):
            return LONG
        return BULK if self._is_bulk(len(job.tasks)) else SHORT

    def _is_bulk(self, tasks: int) -> bool:
        return tasks > max(1, BULK_TASKS * self.queue.slots)

    def _is_long(self, job: JobSpec, index: int) -> bool:
        return self.run_times.is_long(
            job.service, job.tasks[index].operation, self.policy.long_factor
        )

    def long_slots(self) -> int:
        """Returns how many slots long work may occupy."""
        return max(1, int(self.policy.long_share * self.placement.slots()))
