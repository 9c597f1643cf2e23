"""Decides in which order jobs wait and which are refused.

Answers demand above capacity: a job that cannot be done within its objective
behind the work already admitted is refused while its caller can still go
elsewhere, instead of making every job a little late.
"""

import random
from collections.abc import Iterable

import attrs

from anvilford.placement._state import Demand
from anvilford.placement._state import Job
from anvilford.placement._state import Target

# Share of the cores that jobs of two or three tasks a target can use.
PACKING_EFFICIENCY = 0.85
# Share of the targets' work rate that the queue may count on; the rest goes to
# jobs that arrive later but must start sooner, and to estimates that miss.
QUEUE_SHARE = 0.2
# Share of its objective for which a job may wait before it is refused; the
# users count a refusal after a quarter as late.
MAX_REFUSAL_DELAY_SHARE = 0.22
# Shortest and longest advice on when to come back.
RETRY_AFTER_RANGE_MS = (1000, 4000)


@attrs.frozen
class Capacity:
    """What the usable targets of a service can do.

    Attributes:
        rate: Work per second, in thousandths of a core at speed 1.
        free: Free cores, in thousandths.
        cores: All cores, in thousandths.
        best_speed: Speed of the fastest target.
    """

    rate: float
    free: int
    cores: int
    best_speed: float

    @property
    def free_share(self) -> float:
        """Share of the cores that is free."""
        return self.free / self.cores if self.cores else 0.0


def total_capacity(targets: Iterable[Target]) -> Capacity:
    """Adds up the capacity of usable targets."""
    rate = 0.0
    free = cores = 0
    best = 0.0
    for target in targets:
        cpu = target.record.capacity.cpu_millis
        rate += cpu * target.speed * PACKING_EFFICIENCY
        free += target.available.cpu_millis
        cores += cpu
        best = max(best, target.speed)
    return Capacity(rate, free, cores, best)


def latest_start(job: Job, capacity: Capacity) -> float:
    """Latest start of the waiting tasks that still meets the objective."""
    speed = capacity.best_speed or 1.0
    return job.objective_deadline - job.demand.longest / speed


def order_jobs(
    jobs: Iterable[Job], capacity: Capacity, now: float
) -> list[Job]:
    """Orders jobs that wait: those that can be in time by their latest start.

    A job with tasks that ran already goes before the others, because its room
    was wasted if it ends late.
    """

    def rank(job: Job) -> tuple[int, float]:
        start = latest_start(job, capacity)
        if start >= now:
            return (0, start - (0.05 if job.started else 0.0))
        return (1 if job.started else 2, job.value_deadline)

    return sorted(jobs, key=rank)


def expected_wait(demand: Demand, capacity: Capacity) -> float:
    """Seconds until the last of some tasks starts.

    What fits in the free cores starts at once; the rest waits until the
    targets have done as much work.
    """
    if capacity.rate <= 0:
        return float("inf")
    if demand.cpu <= 0:
        return 0.0
    at_once = min(1.0, capacity.free * PACKING_EFFICIENCY / demand.cpu)
    rate = capacity.rate * QUEUE_SHARE
    return (1.0 - at_once) * demand.work / 1000 / rate


@attrs.frozen
class StartForecast:
    """What a new job has to expect.

    Attributes:
        wait: Seconds until its last task starts.
        start_by: Latest start of its tasks that meets the objective.
        backlog: All that waits for the service.
    """

    wait: float
    start_by: float
    backlog: Demand


def forecast_start(
    job: Job, waiting: Iterable[Job], capacity: Capacity, now: float
) -> StartForecast:
    """Estimates when a new job's tasks start behind those that wait.

    Args:
        job: The job.
        waiting: Other jobs of the service that wait.
        capacity: Capacity of the service.
        now: Time.
    """
    start_by = latest_start(job, capacity)
    backlog = Demand()
    ahead = job.demand
    for other in waiting:
        backlog = backlog.plus(other.demand)
        if now <= latest_start(other, capacity) <= start_by:
            ahead = ahead.plus(other.demand)
    return StartForecast(expected_wait(ahead, capacity), start_by, backlog)


def retry_after_ms(
    backlog: Demand, capacity: Capacity, rng: random.Random
) -> int:
    """When refused callers should come back, spread so as not to meet.

    Args:
        backlog: What waits.
        capacity: Capacity of the service.
        rng: Source of the spread.
    """
    shortest, longest = RETRY_AFTER_RANGE_MS
    drain_ms = 1000 * min(expected_wait(backlog, capacity), 60.0)
    spread = rng.uniform(1.0, 2.0)
    return int(min(max(shortest, drain_ms) * spread, longest))
