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
    free: int

    @property
    def load(self) -> float:
        return 1.0 - self.free / self.target.record.capacity.cpu_millis


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
    """
    rooms = [_TargetState(t, t.record.capacity.cpu_millis) for t in targets]
    waiting: collections.deque[tuple[Arrival, float]] = collections.deque()
    left = {job.job_id: len(job.run_times_s) for job in jobs}
    ended: dict[str, float] = {}
    order = itertools.count()
    events: list[tuple] = [
        (job.arrival_time, next(order), job, None, 0) for job in jobs
    ]
    heapq.heapify(events)
    while events:
        now, _, job, room, cpu = heapq.heappop(events)
        if room is None:
            waiting.extend((job, seconds) for seconds in job.run_times_s)
        else:
            room.free += cpu
            left[job.job_id] -= 1
            if not left[job.job_id]:
                ended[job.job_id] = now
        while waiting:
            first, seconds = waiting[0]
            if now > first.arrival_time + LATE_LIMIT_FACTOR * first.objective_s:
                waiting.popleft()  # The caller no longer waits.
                continue
            cpu = first.spec.steps[0].need.cpu_millis
            chosen = _choose_target(baseline, rooms, cpu, rng)
            if chosen is None:
                break
            waiting.popleft()
            chosen.free -= cpu
            end = now + seconds / chosen.target.speed
            heapq.heappush(events, (end, next(order), first, chosen, cpu))
    result = Result()
    for job in jobs:
        at = ended.get(job.job_id)
        ending = Ending.LOST if at is None else Ending.ANSWERED
        result.add_job(job, (at or job.arrival_time) - job.arrival_time, ending)
    return result


def _choose_target(
    baseline: Baseline,
    rooms: Sequence[_TargetState],
    cpu: int,
    rng: random.Random,
) -> _TargetState | None:
    fitting = [room for room in rooms if room.free >= cpu]
    if not fitting:
        return None
    match baseline:
        case Baseline.LEAST_LOADED_FIFO:
            return min(fitting, key=lambda room: room.load)
        case Baseline.RANDOM_FIT:
            return rng.choice(fitting)
