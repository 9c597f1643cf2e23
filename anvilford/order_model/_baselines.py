"""Baseline scheduling policies for comparison with the placer.

The baselines see without delay when a task ends. They know the free capacity
of each target but not its speed, accept every job and start tasks in order of
arrival.
"""

import collections
import enum
import heapq
import itertools
import random
from collections.abc import Sequence

import attrs

from anvilford.order_model._load import Arrival
from anvilford.order_model._load import Ending
from anvilford.order_model._load import LATE_LIMIT_FACTOR
from anvilford.order_model._load import Result
from anvilford.order_model._target import FakeTarget


class Baseline(enum.Enum):
    """Rule by which a baseline chooses among targets with enough free CPU."""

    LEAST_LOADED_FIFO = "least_loaded_fifo"
    RANDOM_FIT = "random_fit"


@attrs.define
class _TargetState:
    """A target and its CPU that no task uses, in thousandths of a core."""

    target: FakeTarget
    free_cpu_millis: int

    @property
    def load(self) -> float:
        """Fraction of the target's CPU that is in use."""
        return (
            1.0 - self.free_cpu_millis / self.target.record.capacity.cpu_millis
        )


def simulate(
    baseline: Baseline,
    jobs: Sequence[Arrival],
    targets: Sequence[FakeTarget],
    rng: random.Random,
) -> Result:
    """Simulates a baseline policy on a sequence of jobs.

    Args:
        baseline: The policy.
        jobs: Jobs in order of arrival.
        targets: Targets, of which only the capacity and the speed are used.
        rng: Random number generator for `RANDOM_FIT`.

    Returns:
        Counts of the jobs by how they ended.
    """
    states = [_TargetState(t, t.record.capacity.cpu_millis) for t in targets]
    waiting: collections.deque[tuple[Arrival, float]] = collections.deque()
    unfinished_tasks = {job.job_id: len(job.run_times_s) for job in jobs}
    ended_at: dict[str, float] = {}
    order = itertools.count()
    events: list[tuple] = [
        (job.arrival_time, next(order), job, None, 0) for job in jobs
    ]
    heapq.heapify(events)
    while events:
        now, _, job, state, cpu = heapq.heappop(events)
        if state is None:
            waiting.extend((job, seconds) for seconds in job.run_times_s)
        else:
            state.free_cpu_millis += cpu
            unfinished_tasks[job.job_id] -= 1
            if not unfinished_tasks[job.job_id]:
                ended_at[job.job_id] = now
        while waiting:
            first, seconds = waiting[0]
            if now > first.arrival_time + LATE_LIMIT_FACTOR * first.objective_s:
                waiting.popleft()  # The caller no longer waits.
                continue
            cpu = first.spec.steps[0].need.cpu_millis
            chosen = _choose_target(baseline, states, cpu, rng)
            if chosen is None:
                break
            waiting.popleft()
            chosen.free_cpu_millis -= cpu
            end = now + seconds / chosen.target.speed
            heapq.heappush(events, (end, next(order), first, chosen, cpu))
    result = Result()
    for job in jobs:
        at = ended_at.get(job.job_id)
        ending = Ending.LOST if at is None else Ending.ANSWERED
        result.add_job(job, (at or job.arrival_time) - job.arrival_time, ending)
    return result


def _choose_target(
    baseline: Baseline,
    states: Sequence[_TargetState],
    cpu: int,
    rng: random.Random,
) -> _TargetState | None:
    fitting = [state for state in states if state.free_cpu_millis >= cpu]
    if not fitting:
        return None
    match baseline:
        case Baseline.LEAST_LOADED_FIFO:
            return min(fitting, key=lambda state: state.load)
        case Baseline.RANDOM_FIT:
            return rng.choice(fitting)
