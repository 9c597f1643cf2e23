"""Offline reference plan that knows every job and run time in advance.

The plan is greedy. Jobs are considered in decreasing order of worth per
core-second, and each reserves CPU for all its tasks so that they end in time.
Jobs for which that is impossible are then considered once more, to end before
their answers lose all worth. The optimal plan would take too long to compute.
At peak load no policy without knowledge of the future comes near this plan.
"""

import bisect
from collections.abc import Sequence

import attrs

from anvilford.order_model._load import Arrival
from anvilford.order_model._load import Ending
from anvilford.order_model._load import LATE_LIMIT_FACTOR
from anvilford.order_model._load import Result
from anvilford.order_model._target import FakeTarget
from anvilford.placement import Resources


@attrs.define
class _Timeline:
    """CPU reservations of one target over time.

    Attributes:
        cpu_millis: CPU of the target, in thousandths of a core.
        speed: Speed of the target; run times are divided by it.
        reservations: Reservations as (start, end, CPU in thousandths of a
            core), sorted by start.
        longest_reservation_s: Longest duration of any reservation so far, in
            seconds. It bounds how early a reservation can start that is still
            active at a given time.
    """

    cpu_millis: int
    speed: float
    reservations: list[tuple[float, float, int]] = attrs.field(factory=list)
    longest_reservation_s: float = 0.0

    def find_start(
        self, need: Resources, seconds: float, after: float, end_by: float
    ) -> float | None:
        """Finds the earliest start from which a task has enough CPU.

        Args:
            need: Resources of the task, of which only the CPU counts.
            seconds: Run time of the task at speed 1.
            after: Earliest start allowed, in seconds.
            end_by: Latest end allowed, in seconds.

        Returns:
            The start in seconds, or None if there is none.
        """
        length = seconds / self.speed
        if after + length > end_by or need.cpu_millis > self.cpu_millis:
            return None
        near = self._overlapping(after, end_by)
        starts = [after, *sorted(end for _, end, _ in near if end > after)]
        for start in starts:
            if start + length > end_by:
                return None
            if self._fits(need.cpu_millis, start, start + length, near):
                return start
        return None

    def reserve(self, need: Resources, start: float, end: float) -> None:
        """Reserves the CPU of a task from `start` to `end`."""
        bisect.insort(self.reservations, (start, end, need.cpu_millis))
        self.longest_reservation_s = max(
            self.longest_reservation_s, end - start
        )

    def release(self, need: Resources, start: float, end: float) -> None:
        """Removes a reservation."""
        self.reservations.remove((start, end, need.cpu_millis))

    def _overlapping(
        self, start: float, end: float
    ) -> list[tuple[float, float, int]]:
        first = bisect.bisect_left(
            self.reservations, (start - self.longest_reservation_s,)
        )
        last = bisect.bisect_left(self.reservations, (end,))
        return [
            span for span in self.reservations[first:last] if span[1] > start
        ]

    def _fits(
        self,
        cpu: int,
        start: float,
        end: float,
        near: Sequence[tuple[float, float, int]],
    ) -> bool:
        within = [s for s in near if s[0] < end and s[1] > start]
        moments = [start, *(s[0] for s in within if s[0] > start)]
        return all(
            cpu + sum(s[2] for s in within if s[0] <= at < s[1])
            <= self.cpu_millis
            for at in moments
        )


def plan(jobs: Sequence[Arrival], targets: Sequence[FakeTarget]) -> Result:
    """Computes the reference plan and its result.

    Args:
        jobs: All jobs with their true run times.
        targets: The targets; the plan assumes that none of them fails.
    """
    timelines = [
        _Timeline(t.record.capacity.cpu_millis, t.speed)
        # Slow targets come first, so that fast ones remain free for the jobs
        # that would end late on a slow one.
        for t in sorted(targets, key=lambda t: t.speed)
    ]
    result = Result()
    postponed = []
    for job in sorted(jobs, key=lambda job: -job.worth / _cpu_work(job)):
        if _reserve_job(job, timelines, job.objective_s):
            result.add_job(job, job.objective_s, Ending.ANSWERED)
        else:
            postponed.append(job)
    for job in postponed:
        latest = LATE_LIMIT_FACTOR * job.objective_s
        placed = _reserve_job(job, timelines, latest)
        ending = Ending.ANSWERED if placed else Ending.REFUSED
        result.add_job(job, latest, ending)
    return result


def _cpu_work(job: Arrival) -> float:
    """Returns the CPU time of all tasks, in thousandths of a core-second."""
    return sum(job.run_times_s) * job.spec.steps[0].need.cpu_millis


def _reserve_job(
    job: Arrival, timelines: list[_Timeline], within: float
) -> bool:
    """Reserves CPU for all tasks of a job, or for none of them.

    Args:
        job: The job.
        timelines: Targets in the order in which they are tried.
        within: Time from the arrival by which all tasks must end, in seconds.

    Returns:
        True if all tasks have a reservation.
    """
    need = job.spec.steps[0].need
    reserved = []
    for seconds in sorted(job.run_times_s, reverse=True):
        for timeline in timelines:
            start = timeline.find_start(
                need, seconds, job.arrival_time, job.arrival_time + within
            )
            if start is not None:
                end = start + seconds / timeline.speed
                timeline.reserve(need, start, end)
                reserved.append((timeline, start, end))
                break
        else:
            for timeline, start, end in reserved:
                timeline.release(need, start, end)
            return False
    return True
