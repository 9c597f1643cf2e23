"""Admission control and ordering of waiting jobs.

Under overload, a job that cannot meet its latency objective behind the work
already admitted is refused at once, while its caller can still use another
service. Without refusals, every job would become late.
"""

import random
from collections.abc import Iterable

import attrs

from anvilford.placement._state import Demand
from anvilford.placement._state import Job
from anvilford.placement._state import sum_demand
from anvilford.placement._state import Target

# Share of a target's cores that tasks can use when only two or three tasks fit
# on the target.
PACKING_EFFICIENCY = 0.85
# Share of the targets' work rate that is assumed to serve jobs already queued.
# The rest serves later arrivals that must start sooner, and absorbs estimation
# errors.
QUEUE_SHARE = 0.2
# Share of its objective for which a job may wait and still be refused. Callers
# count a refusal after a quarter of the objective as a late answer.
MAX_REFUSAL_DELAY_SHARE = 0.22
# Bounds of the retry delay returned with a refusal.
RETRY_AFTER_RANGE_MS = (1000, 4000)


@attrs.frozen
class Capacity:
    """Total capacity of the usable targets of a service.

    Attributes:
        rate: Usable processing rate, in thousandths of a core of speed 1.
        free: Free cores, in thousandths.
        cores: Free and busy cores, in thousandths.
        best_speed: Speed of the fastest target.
    """

    rate: float
    free: int
    cores: int
    best_speed: float

    @property
    def free_share(self) -> float:
        """Free share of the cores, from 0 to 1; 0 without cores."""
        return self.free / self.cores if self.cores else 0.0


def total_capacity(targets: Iterable[Target]) -> Capacity:
    """Returns the total capacity of usable targets."""
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
    """Returns the latest start of waiting tasks that meets the objective.

    Assumes that the longest waiting task runs on the fastest target.
    """
    speed = capacity.best_speed or 1.0
    return job.objective_deadline - job.demand.longest / speed


def order_jobs(
    jobs: Iterable[Job], capacity: Capacity, now: float
) -> list[Job]:
    """Sorts waiting jobs by urgency.

    Jobs that can still meet their objective come first, by their latest start.
    Jobs with started tasks are preferred, because the resources that they have
    used are wasted if they end late.
    """

    def rank(job: Job) -> tuple[int, float]:
        start = latest_start(job, capacity)
        # A started job sorts as if it had to start 50 ms earlier.
        if start >= now:
            return (0, start - (0.05 if job.started else 0.0))
        return (1 if job.started else 2, job.value_deadline)

    return sorted(jobs, key=rank)


def expected_wait(demand: Demand, capacity: Capacity) -> float:
    """Estimates the seconds until the last of the given tasks starts.

    The share of the demand that fits on free cores starts at once. The
    remaining work waits until the targets have processed the same amount, at
    the `QUEUE_SHARE` of their rate.

    Returns:
        Infinity if the service has no capacity.
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
    """Expected start of a new job.

    Attributes:
        wait: Expected seconds until the last task of the job starts.
        start_by: Latest time to start its tasks and meet the objective.
        backlog: Total demand of the jobs that wait for the service.
    """

    wait: float
    start_by: float
    backlog: Demand


def jobs_ahead(
    start_by: float, waiting: Iterable[Job], capacity: Capacity, now: float
) -> list[Job]:
    """Returns the waiting jobs that start before a new job.

    They have an earlier latest start and can still meet their objectives.

    Args:
        start_by: Latest start of the new job.
        waiting: Other waiting jobs of the service.
        capacity: Capacity of the service.
        now: Current time in seconds.
    """
    return [
        other
        for other in waiting
        if now <= latest_start(other, capacity) <= start_by
    ]


def forecast_start(
    job: Job, waiting: Iterable[Job], capacity: Capacity, now: float
) -> StartForecast:
    """Estimates when the tasks of a new job will start.

    Counts as ahead of it the waiting jobs with an earlier latest start that can
    still meet their objectives.

    Args:
        job: The new job.
        waiting: Other waiting jobs of the service.
        capacity: Capacity of the service.
        now: Current time in seconds.
    """
    start_by = latest_start(job, capacity)
    jobs = list(waiting)
    backlog = sum_demand(other.demand for other in jobs)
    others = jobs_ahead(start_by, jobs, capacity, now)
    ahead = sum_demand((job.demand, *(other.demand for other in others)))
    return StartForecast(expected_wait(ahead, capacity), start_by, backlog)


def retry_after_ms(
    backlog: Demand, capacity: Capacity, rng: random.Random
) -> int:
    """Returns a jittered retry delay for a refused caller, in milliseconds.

    Random jitter keeps refused callers from retrying at the same time.

    Args:
        backlog: Demand of the waiting jobs.
        capacity: Capacity of the service.
        rng: Random generator for the jitter.
    """
    shortest, longest = RETRY_AFTER_RANGE_MS
    drain_ms = 1000 * min(expected_wait(backlog, capacity), 60.0)
    spread = rng.uniform(1.0, 2.0)
    return int(min(max(shortest, drain_ms) * spread, longest))
